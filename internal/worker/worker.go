// Package worker is the client of the workers that run tasks. It covers leases under a
// fence, start, renewal, checkpoint and stop.
//
// A worker must refuse a fence lower than the highest it has seen, grant an accelerator
// to one job at a time, list its leases, and stop a task whose lease has expired. Lease
// terms are transmitted as durations, and each side measures them by its own clock: the
// worker from when it grants the lease, the holder from before it sent the request.
package worker

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"rhubarbshore/internal/httpjson"
)

// Errors of a call to a worker. Callers test for them with errors.Is.
var (
	namespace = errorx.NewNamespace("worker")
	// ErrFenced is returned if the worker has seen a higher fence. The call had no
	// effect.
	ErrFenced = errorx.NewType(namespace, "fenced").New("a higher fence is in force")
	// ErrRefused is returned if the worker refused the call. The call had no effect.
	ErrRefused = errorx.NewType(namespace, "refused").New("the worker refused")
	// ErrUnsent is returned if the worker could not be reached. The call had no effect.
	ErrUnsent = errorx.NewType(namespace, "unsent").New("the worker was not reached")
	// ErrUnknownOutcome is returned if the call may have taken effect, or may still do
	// so.
	ErrUnknownOutcome = errorx.NewType(namespace, "unknown").New("the worker's answer was lost")
)

// Reasons for which a worker refuses a call.
const (
	ReasonFenced = "fenced"
	ReasonHeld   = "held"
	ReasonAbsent = "absent"
	ReasonBroken = "broken"
)

// Fence is a fencing token: it orders the holders of a zone's workers.
type Fence struct {
	Epoch  uint64 `json:"epoch"`
	Holder string `json:"holder"`
}

// Less orders fences by epoch, then by holder.
func (f Fence) Less(g Fence) bool {
	if f.Epoch != g.Epoch {
		return f.Epoch < g.Epoch
	}
	return f.Holder < g.Holder
}

// Ref identifies a cell across processes by its level and first accelerator.
type Ref struct {
	Level  int    `json:"level"`
	Worker string `json:"worker"`
	Index  int    `json:"index"`
}

// Part is one cell of a job. Bound is the guaranteed cell that contains it, nil for spare
// work.
type Part struct {
	Cell  Ref  `json:"cell"`
	Bound *Ref `json:"bound,omitempty"`
}

// State is the state of a lease.
type State string

// The states of a lease.
const (
	Held     State = "held"
	Running  State = "running"
	Finished State = "finished"
	Failed   State = "failed"
)

// Spec tells a worker what to run.
type Spec struct {
	Tasks   int     `json:"tasks"`
	Seconds float64 `json:"seconds"`
	// Saved is the run time saved by earlier checkpoints, in seconds.
	Saved   float64 `json:"saved,omitempty"`
	Command string  `json:"command,omitempty"`
}

// Lease is the lease of one job on accelerators of one worker. It contains all data about
// the job, so that a placer that lost its state can rebuild it from the workers.
type Lease struct {
	Job          string   `json:"job"`
	Generation   uint64   `json:"generation"`
	Customer     string   `json:"customer"`
	Class        string   `json:"class"`
	Wanted       string   `json:"wanted,omitempty"`
	Durable      bool     `json:"durable,omitempty"`
	Worth        float64  `json:"worth"`
	Tasks        int      `json:"tasks"`
	Parts        []Part   `json:"parts"`
	Members      []string `json:"members"`
	Accelerators []int    `json:"accelerators"`
	// Cores and Memory, in GB, are what each task of a job without accelerators declares.
	// Reserve is the memory that each task is expected to use.
	Cores   float64   `json:"cores,omitempty"`
	Memory  float64   `json:"memory,omitempty"`
	Reserve float64   `json:"reserve,omitempty"`
	Spec    Spec      `json:"spec"`
	State   State     `json:"state"`
	Since   time.Time `json:"since"`
}

// Grant is the body of a call that requests or changes a lease. Term is how long the
// worker keeps the lease, in milliseconds.
type Grant struct {
	Fence      Fence   `json:"fence"`
	Job        string  `json:"job,omitempty"`
	Generation uint64  `json:"generation,omitempty"`
	Term       int64   `json:"term,omitempty"`
	Lease      *Lease  `json:"lease,omitempty"`
	Limits     *Limits `json:"limits,omitempty"`
	Usage      bool    `json:"usage,omitempty"`
	Stops      []Stop  `json:"stops,omitempty"`
}

// Stop identifies one generation of a job that is to be stopped.
type Stop struct {
	Job        string `json:"job"`
	Generation uint64 `json:"generation"`
}

// Limits throttles jobs. A job that is not listed runs without a limit.
type Limits struct {
	Jobs []Limit `json:"jobs,omitempty"`
}

// Limit is the number of processors that the tasks of one job may use together.
type Limit struct {
	Job        string  `json:"job"`
	Generation uint64  `json:"generation"`
	Cores      float64 `json:"cores"`
}

// Usage is the recently measured total usage of one job's tasks. Memory is in GB.
type Usage struct {
	Job        string  `json:"job"`
	Generation uint64  `json:"generation"`
	Cores      float64 `json:"cores"`
	Memory     float64 `json:"memory"`
}

// Renew extends all running leases of a worker by Term. Limits, if set, replaces the
// limits in force. Usage requests the usage of the jobs.
type Renew struct {
	Term   time.Duration
	Limits *Limits
	Usage  bool
}

// Table lists a worker's leases and the highest fence it has seen. Silence is the time
// since the last call under that fence, in milliseconds.
type Table struct {
	Fence   Fence   `json:"fence"`
	Silence int64   `json:"silence,omitempty"`
	Leases  []Lease `json:"leases,omitempty"`
}

// Change is a lease that has stopped running since the last renewal.
type Change struct {
	Job        string `json:"job"`
	Generation uint64 `json:"generation"`
	State      State  `json:"state"`
}

// Renewal is the response to a renewal: the leases that are no longer running, and the
// number of those that are.
type Renewal struct {
	Running int      `json:"running"`
	Changes []Change `json:"changes,omitempty"`
	Usage   []Usage  `json:"usage,omitempty"`
}

// Client is the HTTP client of one worker.
type Client struct {
	client *http.Client
	url    string
}

// NewClient returns a client of the worker at url.
func NewClient(client *http.Client, url string) *Client { return &Client{client: client, url: url} }

// Fence raises the worker's fence and reads its lease table. If the table has a higher
// fence, that fence remains in force and nothing changed.
func (c *Client) Fence(ctx context.Context, f Fence) (Table, error) {
	return call[Table](ctx, c, "/fence", Grant{Fence: f})
}

// Hold reserves the lease's accelerators without running anything.
func (c *Client) Hold(ctx context.Context, f Fence, l Lease, term time.Duration) error {
	_, err := call[struct{}](ctx, c, "/hold", Grant{Fence: f, Lease: &l, Term: term.Milliseconds()})
	return err
}

// Start runs the tasks of a held lease.
func (c *Client) Start(ctx context.Context, f Fence, job string, generation uint64, term time.Duration) error {
	_, err := call[struct{}](ctx, c, "/start", Grant{Fence: f, Job: job, Generation: generation, Term: term.Milliseconds()})
	return err
}

// Renew extends all running leases of the worker and sets its limits.
func (c *Client) Renew(ctx context.Context, f Fence, r Renew) (Renewal, error) {
	return call[Renewal](ctx, c, "/renew", Grant{Fence: f, Term: r.Term.Milliseconds(), Limits: r.Limits, Usage: r.Usage})
}

// Checkpoint asks the job's tasks to save their work and waits until they have.
func (c *Client) Checkpoint(ctx context.Context, f Fence, job string, generation uint64) error {
	_, err := call[struct{}](ctx, c, "/checkpoint", Grant{Fence: f, Job: job, Generation: generation})
	return err
}

// Stop stops the tasks of the jobs, if any, and releases their leases, if any.
func (c *Client) Stop(ctx context.Context, f Fence, stops []Stop) error {
	_, err := call[struct{}](ctx, c, "/stop", Grant{Fence: f, Stops: stops})
	return err
}

func call[Out any](ctx context.Context, c *Client, path string, in Grant) (Out, error) {
	out, err := httpjson.Call[Grant, Out](ctx, c.client, http.MethodPost, c.url+path, &in)
	return out, classify(err)
}

func classify(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, httpjson.ErrUnsent):
		return ErrUnsent
	case httpjson.Reason(err) == ReasonFenced:
		return ErrFenced
	case httpjson.Reason(err) != "":
		return ErrRefused
	}
	return ErrUnknownOutcome
}
