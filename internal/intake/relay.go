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

// relayTimeout limits the time in which the scheduling VM stores a job for another VM: an append
// of 4 ms, network latency of some milliseconds, and the queue of a small VM.
const relayTimeout = 500 * time.Millisecond

// RelayRequest asks the scheduling VM to store a job for a VM that cannot reach the store.
type RelayRequest struct {
	Job  scheduler.Job  `json:"job"`
	From catalog.Origin `json:"from"`
}

// RelayResult answers a RelayRequest. If neither Stored nor Unknown is set, nothing was stored. Taken
// means that the ID belongs to another customer's job.
type RelayResult struct {
	Stored  bool   `json:"stored,omitempty"`
	Unknown bool   `json:"unknown,omitempty"`
	Taken   bool   `json:"taken,omitempty"`
	Reason  string `json:"why,omitempty"`
}

// Accept stores a job for another VM if this VM's configuration allows it as well. A VM that
// cannot reach the store may have missed a version of the configuration.
func (in *Intake) Accept(ctx context.Context, r RelayRequest) RelayResult {
	a, err := in.cfg.Admit(ctx, r.From, r.Job.QueueOffset)
	if err != nil || a.Customer != r.Job.Customer || a.Rest != r.Job.ID {
		in.cfg.Logger.Info("relayed job refused", "job", r.Job.ID, "config", a.Version, "customer", r.Job.Customer, "owner", a.Customer, "error", err)
		if err != nil {
			return RelayResult{Reason: err.Error()}
		}
		return RelayResult{Reason: "the job is another one than the call is admitted for"}
	}
	r.Job.Queue, r.Job.QueueOffset = a.Route.Queue, a.Offset
	err = in.store(ctx, r.Job)
	switch {
	case err == nil:
		return RelayResult{Stored: true}
	case errors.Is(err, ErrUncertain):
		return RelayResult{Unknown: true}
	case errors.Is(err, ErrTaken):
		return RelayResult{Taken: true, Reason: err.Error()}
	}
	return RelayResult{Reason: err.Error()}
}

// relay asks the scheduling VM to store a job that this VM could not store because of busy. It
// returns busy if the job is not stored there either, ErrUncertain if that is unknown, and ErrTaken if
// the ID belongs to another customer.
func (in *Intake) relay(ctx context.Context, r RelayRequest, busy *BusyError) error {
	address, _ := in.cfg.LeaderTracker.Leader()
	if address == "" || in.cfg.LocalScheduler() != nil || !in.cfg.LeaderTracker.Answers() {
		return busy
	}
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	out, err := httpjson.Post[RelayRequest, RelayResult](ctx, in.cfg.Client, "http://"+address+"/store", &r, nil)
	if err == nil && out.Stored {
		metric.Count("relays_total")
		in.cfg.Logger.Info("job relayed", "job", r.Job.ID, "to", address, "why", busy.Reason, "took_ms", time.Since(start).Milliseconds())
		return nil
	}
	metric.Count("relays_failed_total")
	in.cfg.Logger.Warn("job not relayed", "job", r.Job.ID, "to", address, "why", busy.Reason, "answer", out.Reason, "unknown", out.Unknown, "error", err)
	if out.Taken {
		return ErrTaken
	}
	var refused *httpjson.StatusError
	if out.Unknown || err != nil && !errors.Is(err, httpjson.ErrUnsent) && !errors.As(err, &refused) {
		return ErrUncertain
	}
	return busy
}
