// Package platform speaks to the platform that runs the VMs: its append-only
// log with offsets and its lagging list of VMs.
package platform

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/joomcode/errorx"

	"rhubarbshore/internal/httpjson"
)

// Errors of the log. Callers test for them with errors.Is.
var (
	namespace = errorx.NewNamespace("platform")
	// ErrOut: the log refused the call or can't be reached. Nothing happened.
	ErrOut = errorx.NewType(namespace, "out").New("the platform's log is out of reach")
	// ErrUnsettled: the append may have taken effect, now or later.
	ErrUnsettled = errorx.NewType(namespace, "unsettled").New("the append's answer was lost")
)

// Record is one entry of a stream of the log.
type Record struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// Page is a run of records of a stream. First is the oldest offset still kept,
// Next the offset to read from next, and End the offset after the last record.
type Page struct {
	First   int64    `json:"first"`
	Next    int64    `json:"next"`
	End     int64    `json:"end"`
	Records []Record `json:"records"`
}

// Batch is the body of an append.
type Batch struct {
	Records [][]byte `json:"records"`
}

// Appended answers an append with the offset of its first record.
type Appended struct {
	Offset int64 `json:"offset"`
}

// Log is the client of the platform's append-only log.
type Log struct {
	client *http.Client
	url    string
}

// NewLog returns a client of the log at url.
func NewLog(client *http.Client, url string) *Log { return &Log{client: client, url: url} }

// Append adds the records to the stream, in one call.
func (l *Log) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	in := Batch{Records: records}
	out, err := httpjson.Call[Batch, Appended](ctx, l.client, http.MethodPost, l.url+"/streams/"+stream, &in)
	if err == nil {
		return out.Offset, nil
	}
	if errors.Is(err, httpjson.ErrUnsent) || httpjson.Reason(err) != "" {
		return 0, ErrOut
	}
	return 0, ErrUnsettled
}

// Read returns up to limit records of the stream from the offset on.
func (l *Log) Read(ctx context.Context, stream string, from int64, limit int) (Page, error) {
	url := fmt.Sprintf("%s/streams/%s?from=%d&limit=%d", l.url, stream, from, limit)
	page, err := httpjson.Get[Page](ctx, l.client, url)
	if err != nil {
		return Page{}, ErrOut
	}
	return page, nil
}

// Role tells what an instance of the list is.
type Role string

// The roles of listed instances.
const (
	RoleEntry  Role = "entry"
	RoleWorker Role = "worker"
	RoleMinion Role = "minion"
)

// The states of a listed instance.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// Instance is an entry of the platform's list.
type Instance struct {
	Name    string `json:"name"`
	Role    Role   `json:"role"`
	Zone    string `json:"zone"`
	Service string `json:"service,omitempty"`
	Address string `json:"address"`
	State   string `json:"state"`
}

// Instances is the platform's list, which lags behind the facts.
type Instances struct {
	Version   int64      `json:"version"`
	Instances []Instance `json:"instances"`
}

// List is the client of the platform's list.
type List struct {
	client *http.Client
	url    string
}

// NewList returns a client of the list at url.
func NewList(client *http.Client, url string) *List { return &List{client: client, url: url} }

// Get fetches the list of one zone, or of all if zone is empty. If the list
// still has the version known to the caller, it comes without instances.
func (l *List) Get(ctx context.Context, zone string, known int64) (Instances, error) {
	url := fmt.Sprintf("%s/instances?zone=%s&known=%d", l.url, zone, known)
	return httpjson.Get[Instances](ctx, l.client, url)
}

// Put registers or changes an instance.
func (l *List) Put(ctx context.Context, in Instance) error {
	_, err := httpjson.Call[Instance, struct{}](ctx, l.client, http.MethodPut, l.url+"/instances/"+in.Name, &in)
	return err
}
