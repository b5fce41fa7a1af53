package intake

import (
	"context"
	"errors"
	"time"

	"rhubarbshore/internal/catalog"
	"rhubarbshore/internal/httpjson"
	"rhubarbshore/internal/metric"
	"rhubarbshore/internal/scheduler"
)

// relayTimeout is how long the scheduling VM may take to store a job for another VM: an
// append of 4 ms, ways of some milliseconds, and the queue of a small VM.
const relayTimeout = 500 * time.Millisecond

// Relayed is a job that a VM which doesn't reach the store asks the scheduling VM to
// store.
type Relayed struct {
	Job  scheduler.Job  `json:"job"`
	From catalog.Origin `json:"from"`
}

// Outcome answers a Relayed. Without Stored and Unknown, nothing was stored.
type Outcome struct {
	Stored  bool   `json:"stored,omitempty"`
	Unknown bool   `json:"unknown,omitempty"`
	Why     string `json:"why,omitempty"`
}

// Accept stores a job for another VM, if this VM's configuration allows it as well: one that
// doesn't reach the store may have missed a version.
func (in *Intake) Accept(ctx context.Context, r Relayed) Outcome {
	snap := in.cfg.Catalog()
	if snap == nil {
		return Outcome{Why: "no configuration yet"}
	}
	a, err := snap.Admit(r.From)
	if err != nil || a.Customer != r.Job.Customer || a.Rest != r.Job.ID {
		in.cfg.Logger.Info("relayed job refused", "job", r.Job.ID, "config", snap.Version(), "customer", r.Job.Customer, "owner", a.Customer, "error", err)
		return Outcome{Why: "not allowed by the configuration in force"}
	}
	r.Job.Queue = a.Route.Queue
	err = in.store(ctx, r.Job)
	switch {
	case err == nil:
		return Outcome{Stored: true}
	case errors.Is(err, ErrUncertain):
		return Outcome{Unknown: true}
	}
	return Outcome{Why: err.Error()}
}

// relay has the scheduling VM store a job that this VM could not store, for the reason
// given. That is returned if the job isn't stored there either.
func (in *Intake) relay(ctx context.Context, r Relayed, reason *BusyError) error {
	address, _ := in.cfg.Guide.Leader()
	if address == "" || in.cfg.Local() != nil || !in.cfg.Guide.Answers() {
		return reason
	}
	begun := time.Now()
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	out, err := httpjson.Post[Relayed, Outcome](ctx, in.cfg.Client, "http://"+address+"/store", &r, nil)
	if err == nil && out.Stored {
		metric.Count("relays_total")
		in.cfg.Logger.Info("job relayed", "job", r.Job.ID, "to", address, "why", reason.Why, "took_ms", time.Since(begun).Milliseconds())
		return nil
	}
	metric.Count("relays_failed_total")
	in.cfg.Logger.Warn("job not relayed", "job", r.Job.ID, "to", address, "why", reason.Why, "answer", out.Why, "unknown", out.Unknown, "error", err)
	var refused *httpjson.StatusError
	if out.Unknown || err != nil && !errors.Is(err, httpjson.ErrUnsent) && !errors.As(err, &refused) {
		return ErrUncertain
	}
	return reason
}
