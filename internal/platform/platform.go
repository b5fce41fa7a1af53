// Package platform provides clients of the platform that runs the VMs: of its
// append-only log and of its list of instances, which lags behind the actual state.
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
	// ErrUnavailable: the log refused the call or is unreachable. The call had no effect.
	ErrUnavailable = errorx.NewType(namespace, "out").New("the platform's log is out of reach")
	// ErrUnsettled: the append may have taken effect or may do so later.
	ErrUnsettled = errorx.NewType(namespace, "unsettled").New("the append's answer was lost")
)

// Record is an entry of a stream of the log.
type Record struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// Page is a consecutive range of a stream's records. First is the oldest offset that
// the log retains, Next the offset at which to continue reading, and End the offset
// after the stream's last record.
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

// Appended is the response to an append. Offset is that of its first record.
type Appended struct {
	Offset int64 `json:"offset"`
}

// Log is a client of the platform's append-only log.
type Log struct {
	client *http.Client
	url    string
}

// NewLog returns a client of the log at url.
func NewLog(client *http.Client, url string) *Log { return &Log{client: client, url: url} }

// Append adds the records to the stream in one call and returns the offset of the
// first one.
func (l *Log) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	in := Batch{Records: records}
	out, err := httpjson.Call[Batch, Appended](ctx, l.client, http.MethodPost, l.url+"/streams/"+stream, &in)
	if err == nil {
		return out.Offset, nil
	}
	if errors.Is(err, httpjson.ErrUnsent) || httpjson.Reason(err) != "" {
		return 0, ErrUnavailable
	}
	return 0, ErrUnsettled
}

// Read returns up to limit records of the stream, starting at offset from.
func (l *Log) Read(ctx context.Context, stream string, from int64, limit int) (Page, error) {
	url := fmt.Sprintf("%s/streams/%s?from=%d&limit=%d", l.url, stream, from, limit)
	page, err := httpjson.Get[Page](ctx, l.client, url)
	if err != nil {
		return Page{}, ErrUnavailable
	}
	return page, nil
}

// Role is the function of an instance.
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

// Instances is a version of the platform's list of instances.
type Instances struct {
	Version   int64      `json:"version"`
	Instances []Instance `json:"instances"`
}

// List is a client of the platform's list of instances.
type List struct {
	client *http.Client
	url    string
}

// NewList returns a client of the list at url.
func NewList(client *http.Client, url string) *List { return &List{client: client, url: url} }

// Get returns the instances of a zone, or of all zones if zone is empty. Known is the
// version that the caller has; if the list is still at that version, the result
// contains no instances.
func (l *List) Get(ctx context.Context, zone string, known int64) (Instances, error) {
	url := fmt.Sprintf("%s/instances?zone=%s&known=%d", l.url, zone, known)
	return httpjson.Get[Instances](ctx, l.client, url)
}

// Put registers or updates an instance.
func (l *List) Put(ctx context.Context, in Instance) error {
	_, err := httpjson.Call[Instance, struct{}](ctx, l.client, http.MethodPut, l.url+"/instances/"+in.Name, &in)
	return err
}
