// Package request defines the message that passes through the request pipeline: check,
// claim, queue, route, send and answer.
package request

import (
	"time"

	"rhubarbshore/pkg/api"
)

// Reasons for outcomes. Each is counted in the metrics.
const (
	ReasonCustomer  = "customer"
	ReasonKind      = "kind"
	ReasonSize      = "size"
	ReasonConfig    = "config"
	ReasonMismatch  = "mismatch"
	ReasonExpired   = "expired"
	ReasonFull      = "full"
	ReasonLog       = "log"
	ReasonGap       = "gap"
	ReasonOwner     = "owner"
	ReasonUnheard   = "unheard"
	ReasonTicket    = "ticket"
	ReasonStopping  = "stopping"
	ReasonOverload  = "overload"
	ReasonWindow    = "window"
	ReasonNoServer  = "noserver"
	ReasonLost      = "lost"
	ReasonBudget    = "budget"
	ReasonCancelled = "cancelled"
	ReasonDropped   = "dropped"
	ReasonMoved     = "moved"
)

// Request is one copy of a caller's request in the pipeline.
type Request struct {
	ID  string
	Key string
	// Ticket is set if Key is a ticket.
	Ticket bool
	// Settle is set if the caller asks for the outcome of an earlier copy. If none has
	// run, none ever will.
	Settle     bool
	Customer   string
	Kind       string
	Service    string
	Body       []byte
	Worth      float64
	Idempotent bool
	// Timeout is the maximum duration of one attempt.
	Timeout  time.Duration
	Deadline time.Time
	Arrived  time.Time
}

// Refuse returns a response with the outcome and the reason.
func (r *Request) Refuse(outcome api.Outcome, reason string) api.Response {
	return api.Response{Outcome: outcome, Reason: reason, Request: r.ID}
}
