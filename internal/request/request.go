// Package request is the message that passes through the request pipe: check,
// claim, queue, route, send and answer.
package request

import (
	"time"

	"rhubarbshore/pkg/api"
)

// Reasons given with outcomes, each counted.
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

// Request is one copy of a caller's request on its way.
type Request struct {
	ID         string
	Key        string
	Ticket     bool
	Settle     bool
	Customer   string
	Kind       string
	Service    string
	Body       []byte
	Worth      float64
	Idempotent bool
	// Timeout is the longest that one attempt may take.
	Timeout  time.Duration
	Deadline time.Time
	Arrived  time.Time
}

// Refuse answers the request with an outcome and a reason.
func (r *Request) Refuse(outcome api.Outcome, reason string) api.Response {
	return api.Response{Outcome: outcome, Reason: reason, Request: r.ID}
}
