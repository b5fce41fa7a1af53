// Package check is the first stage of the request pipeline. It validates a caller's
// request against the configuration in force.
package check

import (
	"time"

	"rhubarbshore/internal/config"
	"rhubarbshore/internal/request"
	"rhubarbshore/pkg/api"
)

// Check converts the caller's message to a Request. If the message is not acceptable it
// returns the response instead; this copy of the request has not run and will not run.
func Check(cfg *config.Config, in api.Request, key string, now time.Time) (*request.Request, *api.Response) {
	r := &request.Request{ID: in.ID, Key: key, Customer: in.Customer, Kind: in.Kind, Body: in.Body, Arrived: now}
	if cfg == nil {
		return nil, refuse(r, api.Retry, request.ReasonConfig)
	}
	if _, ok := cfg.Customers[in.Customer]; !ok {
		return nil, refuse(r, refusalOutcome(key), request.ReasonCustomer)
	}
	kind, ok := cfg.Kinds[in.Kind]
	if !ok {
		return nil, refuse(r, refusalOutcome(key), request.ReasonKind)
	}
	if len(in.Body) > kind.Size {
		return nil, refuse(r, refusalOutcome(key), request.ReasonSize)
	}
	r.Service = kind.Service
	r.Worth = kind.Worth
	r.Idempotent = kind.Idempotent
	r.Timeout = time.Duration(kind.Timeout)
	r.Deadline = now.Add(time.Duration(kind.Window))
	return r, nil
}

// refusalOutcome is the outcome of a copy that this VM does not accept. Other copies of a
// keyed request may be in progress elsewhere, unknown to this VM.
func refusalOutcome(key string) api.Outcome {
	if key != "" {
		return api.Retry
	}
	return api.NotRun
}

func refuse(r *request.Request, outcome api.Outcome, reason string) *api.Response {
	resp := r.Refuse(outcome, reason)
	return &resp
}
