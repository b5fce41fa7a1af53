// Package api holds the JSON messages that callers and operators exchange with
// an entry VM over HTTP, and the status code of each outcome.
package api

import (
	"fmt"
	"net/http"
	"time"
)

// Outcome says what became of a request.
type Outcome string

// The five outcomes of a request.
const (
	// Done: the backend server ran it and Body is its whole answer.
	Done Outcome = "done"
	// Failed: it ran, and the backend server reported a failure in Body.
	Failed Outcome = "failed"
	// NotRun: it did not run and never will.
	NotRun Outcome = "notrun"
	// Unknown: it may have run. The system does not repeat it.
	Unknown Outcome = "unknown"
	// Retry: this copy was not taken in, which says nothing of other copies.
	Retry Outcome = "retry"
)

// Header names used by the request interface.
const (
	// HeaderKey carries the caller's own key of a request.
	HeaderKey = "Idempotency-Key"
	// HeaderTicket carries a ticket taken from POST /v1/tickets.
	HeaderTicket = "Ticket"
	// HeaderRequest carries the request's id.
	HeaderRequest = "Request-Id"
	// HeaderAttempt carries the id of one attempt at a backend server.
	HeaderAttempt = "Attempt-Id"
	// HeaderHash carries the xxhash64 of the body, in hexadecimal.
	HeaderHash = "Body-Hash"
)

// Status is the HTTP status code that carries the outcome.
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
	// ID identifies this copy in logs. The client library chooses it.
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

// Tickets answers POST /v1/tickets?count=N. Each ticket is good for one
// request until Deadline, which is by the entry VM's clock.
type Tickets struct {
	Tickets  []string  `json:"tickets"`
	Deadline time.Time `json:"deadline"`
}

// Job describes a gang job. It asks for Cells groups of Accelerators
// neighbouring accelerators each, all in one availability zone. A job of 0
// accelerators asks for Cores processors and Memory GB for each of its Tasks, on
// any workers of one zone; it is spare work.
type Job struct {
	ID           string  `json:"id"`
	Customer     string  `json:"customer"`
	Zone         string  `json:"zone,omitempty"`
	Accelerators int     `json:"accelerators"`
	Cells        int     `json:"cells"`
	Tasks        int     `json:"tasks"`
	Cores        float64 `json:"cores,omitempty"`
	Memory       float64 `json:"memory,omitempty"`
	Worth        float64 `json:"worth"`
	// Seconds is the declared run time.
	Seconds float64 `json:"seconds"`
	// Class is guaranteed, spare, or empty for either.
	Class string `json:"class,omitempty"`
	// Command is handed to the workers as it is.
	Command string `json:"command,omitempty"`
}

// Shape renders what the job asks for: 2x16 for two cells of 16 accelerators, or
// 40x4c8g for 40 tasks of 4 processors and 8 GB.
func (j Job) Shape() string {
	if j.Accelerators == 0 {
		return fmt.Sprintf("%dx%gc%gg", j.Tasks, j.Cores, j.Memory)
	}
	return fmt.Sprintf("%dx%d", j.Cells, j.Accelerators)
}

// State is a stage in a job's life.
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

// JobStatus reports where a job stands. Durable is false while the job is
// known to the zone's VMs only, because the platform's log is out of reach: to the
// placer and, when that was last looked at, to Copies others.
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

// Publish is the body of POST /v1/config: the base file and one overlay for
// each site, and the version they were made from.
type Publish struct {
	Parent   string            `json:"parent"`
	Author   string            `json:"author"`
	Base     string            `json:"base"`
	Overlays map[string]string `json:"overlays"`
}

// Published answers a Publish that won.
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

// Worker describes a worker as its zone's placer sees it. Cores and Memory, in GB,
// are what jobs without accelerators count for there.
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

// Customer shows a customer's guarantees and what it uses in a zone.
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

// Problem is the body of an error answer that is not an outcome.
type Problem struct {
	Error   string   `json:"error"`
	Reason  string   `json:"reason"`
	Details []string `json:"details,omitempty"`
}
