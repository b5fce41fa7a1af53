// Package store defines the types and errors of a log of keyed records. The log
// retains the newest record of each key indefinitely.
package store

import (
	"time"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("store")

// Errors of a call. Callers test for them with errors.Is.
var (
	// ErrRefused: the call had no effect.
	ErrRefused = errorx.NewType(namespace, "refused").New("the store refused the call or was not reached")
	// ErrUncertain: the call may have taken effect or may do so later.
	ErrUncertain = errorx.NewType(namespace, "uncertain").New("the store's answer was lost")
	// ErrCondition: the stream does not end at the offset that the append requires.
	ErrCondition = errorx.NewType(namespace, "condition").New("the stream does not end at the required offset")
	// ErrFenced: the producer has written to the stream with a higher epoch.
	ErrFenced = errorx.NewType(namespace, "fenced").New("fenced by a higher epoch")
	// ErrGone: the requested records have been dropped. The caller has to read the
	// newest record of each key instead.
	ErrGone = errorx.NewType(namespace, "gone").New("the records have been dropped")
)

// Record is an entry of a stream. A record without a value is a tombstone: it deletes
// the key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Stream is a partition of a topic. All records of a key belong to the same stream.
type Stream struct {
	Topic string
	Part  int
}

// Extent tells how far a stream was read. Next is the offset at which to continue reading, End the
// offset after the stream's last record.
type Extent struct {
	AskedAt time.Time // when the read was sent
	Next    int64
	End     int64
}

// Complete reports whether the read reached the end. Only then does it prove that nothing else was
// stored before AskedAt.
func (e Extent) Complete() bool { return e.Next >= e.End }

// NewestExtent returns the extent of a read of the newest records, which reached the end that the stream
// had when it was sent.
func NewestExtent(askedAt time.Time, end int64) Extent {
	return Extent{AskedAt: askedAt, Next: end, End: end}
}

// Page is a consecutive range of a stream's records.
type Page struct {
	Records []Record
	Extent
}

// AppendOptions make an append conditional, fenced or safe to repeat. Producer, Epoch
// and Sequence identify an append: a repeat returns the first offset and adds nothing,
// and a lower epoch of the producer is fenced.
type AppendOptions struct {
	Conditional bool
	At          int64 // offset at which the stream has to end, if Conditional
	Producer    string
	Epoch       int64
	Sequence    int64
}
