// Package api defines the JSON messages that callers and operators exchange with an
// entry VM over HTTP, and the status code of each outcome.
package api

import (
	"fmt"
	"net/http"
	"time"
)

// Outcome tells whether a request ran and how it ended.
type Outcome string

// The five outcomes of a request.
const (
	// Done means that the backend server ran the request and Body is its complete answer.
	Done Outcome = "done"
	// Failed means that the request ran and the backend server reported a failure in Body.
	Failed Outcome = "failed"
	// NotRun means that the request did not run and never will.
	NotRun Outcome = "notrun"
	// Unknown means that the request may have run. The system does not repeat it.
	Unknown Outcome = "unknown"
	// Retry means that this copy of the request was not accepted. It says nothing about
	// other copies.
	Retry Outcome = "retry"
)

// Header names used by the request interface.
const (
	// HeaderKey carries the caller's own idempotency key.
	HeaderKey = "Idempotency-Key"
	// HeaderTicket carries a ticket issued by POST /v1/tickets.
	HeaderTicket = "Ticket"
	// HeaderRequest carries the request's id.
	HeaderRequest = "Request-Id"
	// HeaderAttempt carries the id of one attempt to run the request on a backend server.
	HeaderAttempt = "Attempt-Id"
	// HeaderHash carries the xxhash64 of the body, in hexadecimal.
	HeaderHash = "Body-Hash"
)

// Status returns the HTTP status code of the outcome.
func (o Outcome) Status() int {
	switch o {
	case Done:
		return http.StatusOK
	case Failed:
		return http.StatusUnprocessableEntity
	case NotRun:
		return http.StatusGone
	case Unknown:
		return http.StatusGatewayTimeout
	case Retry:
		return http.StatusServiceUnavailable
	}
	return http.StatusInternalServerError
}

// Request is the body of POST /v1/requests.
type Request struct {
	// ID identifies this copy of the request in logs. The client library sets it.
	ID       string `json:"id,omitempty"`
	Customer string `json:"customer"`
	Kind     string `json:"kind"`
	Body     []byte `json:"body"`
}

// Response answers a Request. Hash is the xxhash64 of Body in hexadecimal.
type Response struct {
	Outcome  Outcome `json:"outcome"`
	Reason   string  `json:"reason,omitempty"`
	Request  string  `json:"request"`
	Attempts int     `json:"attempts,omitempty"`
	Server   string  `json:"server,omitempty"`
	Hash     string  `json:"hash,omitempty"`
	Body     []byte  `json:"body,omitempty"`
}

// Tickets answers POST /v1/tickets?count=N. Each ticket is valid for one request until
// Deadline, by the entry VM's clock.
type Tickets struct {
	Tickets  []string  `json:"tickets"`
	Deadline time.Time `json:"deadline"`
}

// Job describes a gang job. It asks for Cells groups of Accelerators neighbouring
// accelerators each, all in one availability zone. A job with 0 accelerators asks for
// Cores processors and Memory GB for each of its Tasks, on any workers of one zone. It
// counts as spare work.
type Job struct {
	ID           string  `json:"id"`
	Customer     string  `json:"customer"`
	Zone         string  `json:"zone,omitempty"`
	Accelerators int     `json:"accelerators"`
	Cells        int     `json:"cells"`
	Tasks        int     `json:"tasks"`
	Cores        float64 `json:"cores,omitempty"`
	Memory       float64 `json:"memory,omitempty"`
	// Worth orders the customer's own jobs.
	Worth float64 `json:"worth"`
	// Seconds is the declared run time.
	Seconds float64 `json:"seconds"`
	// Class is guaranteed, spare, or empty for either.
	Class string `json:"class,omitempty"`
	// Command is passed to the workers unchanged.
	Command string `json:"command,omitempty"`
}

// Shape formats the requested resources, such as 2x16 for two cells of 16 accelerators,
// or 40x4c8g for 40 tasks of 4 processors and 8 GB.
func (j Job) Shape() string {
	if j.Accelerators == 0 {
		return fmt.Sprintf("%dx%gc%gg", j.Tasks, j.Cores, j.Memory)
	}
	return fmt.Sprintf("%dx%d", j.Cells, j.Accelerators)
}

// State is the state of a job.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Starting  State = "starting"
	Running   State = "running"
	Finished  State = "finished"
	JobFailed State = "failed"
	Cancelled State = "cancelled"
	Refused   State = "refused"
)

// JobStatus reports the status of a job. Durable is false while the job is not in the
// platform's log, because that is unreachable. The job is then known only to VMs of the
// zone: the placer and, as of the last count, Copies others.
type JobStatus struct {
	Job        Job       `json:"job"`
	State      State     `json:"state"`
	Reason     string    `json:"reason,omitempty"`
	Zone       string    `json:"zone"`
	Class      string    `json:"class,omitempty"`
	Workers    []string  `json:"workers,omitempty"`
	Generation uint64    `json:"generation,omitempty"`
	Durable    bool      `json:"durable"`
	Copies     int       `json:"copies,omitempty"`
	Submitted  time.Time `json:"submitted,omitzero"`
	Started    time.Time `json:"started,omitzero"`
	Ended      time.Time `json:"ended,omitzero"`
}

// JobList answers GET /v1/jobs.
type JobList struct {
	Jobs []JobStatus `json:"jobs"`
}

// Publish is the body of POST /v1/config. It holds the base file, one overlay for each
// availability zone, and in Parent the version that the files were made from.
type Publish struct {
	Parent   string            `json:"parent"`
	Author   string            `json:"author"`
	Base     string            `json:"base"`
	Overlays map[string]string `json:"overlays"`
}

// Published answers a Publish that was accepted.
type Published struct {
	Version string `json:"version"`
	Number  int64  `json:"number"`
}

// ConfigView answers GET /v1/config.
type ConfigView struct {
	Version  string            `json:"version"`
	Number   int64             `json:"number"`
	Parent   string            `json:"parent"`
	Author   string            `json:"author"`
	Base     string            `json:"base"`
	Overlays map[string]string `json:"overlays"`
}

// VM describes an entry VM as another one sees it.
type VM struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	State   string `json:"state"`
	Version string `json:"version"`
	Number  int64  `json:"number"`
	Placer  bool   `json:"placer"`
}

// VMList answers GET /v1/vms.
type VMList struct {
	VMs []VM `json:"vms"`
}

// Worker describes a worker as its zone's placer sees it. Cores and Memory, in GB, are
// the part of the worker that the placer counts as used by jobs without accelerators.
type Worker struct {
	Name         string  `json:"name"`
	Zone         string  `json:"zone"`
	State        string  `json:"state"`
	Accelerators int     `json:"accelerators"`
	Used         int     `json:"used"`
	Leases       int     `json:"leases"`
	Cores        float64 `json:"cores,omitempty"`
	Memory       float64 `json:"memory,omitempty"`
}

// WorkerList answers GET /v1/workers.
type WorkerList struct {
	Workers []Worker `json:"workers"`
}

// Customer shows a customer's guarantees in a zone, in accelerators. Bound is the part
// that is bound to cells, Suspended the part that failed hardware leaves no room for.
type Customer struct {
	Name       string  `json:"name"`
	Zone       string  `json:"zone"`
	Share      float64 `json:"share"`
	Guaranteed int     `json:"guaranteed"`
	Bound      int     `json:"bound"`
	Suspended  int     `json:"suspended"`
}

// CustomerList answers GET /v1/customers.
type CustomerList struct {
	Customers []Customer `json:"customers"`
}

// Problem is the body of an error answer that carries no outcome.
type Problem struct {
	Error   string   `json:"error"`
	Reason  string   `json:"reason"`
	Details []string `json:"details,omitempty"`
}
