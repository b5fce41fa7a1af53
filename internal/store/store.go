// Package store holds the types of a log of keyed records, of which the newest
// of each key is kept for good, and the errors of its calls.
package store

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("store")

// Errors of a call. Callers test for them with errors.Is.
var (
	// ErrRefused: the call did nothing.
	ErrRefused = errorx.NewType(namespace, "refused").New("the store refused the call or was not reached")
	// ErrUncertain: the call may have taken effect, or may still.
	ErrUncertain = errorx.NewType(namespace, "uncertain").New("the store's answer was lost")
	// ErrCondition: the topic ends elsewhere than the append demanded.
	ErrCondition = errorx.NewType(namespace, "condition").New("the topic has gone on")
	// ErrFenced: a higher epoch has written to the topic.
	ErrFenced = errorx.NewType(namespace, "fenced").New("a higher epoch has taken over")
	// ErrGone: the records asked for are dropped; read the newest of each key.
	ErrGone = errorx.NewType(namespace, "gone").New("the records are no longer kept")
)

// Record is an entry of a topic. A record without a value drops its key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64 // set where the newest records are listed
}

// Stream is a partition of a topic. Records of one key belong in one stream.
type Stream struct {
	Topic string
	Part  int
}

// Page is a run of records. Next is the offset to read from next.
type Page struct {
	Records []Record
	Next    int64
	End     int64
}

// AppendOptions make an append conditional, fenced or safe to repeat.
type AppendOptions struct {
	Conditional bool
	At          int64 // where the topic has to end, if Conditional
	Producer    string
	Epoch       int64
	Sequence    int64
}
