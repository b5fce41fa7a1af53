package operator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/joomcode/errorx"

	"rhubarbshore/internal/catalog"
	"rhubarbshore/internal/httpjson"
	"rhubarbshore/internal/metric"
)

// ErrUnconfirmed means that it is not known whether the configuration of this VM is in force. Callers
// test for it with errors.Is.
var ErrUnconfirmed = errorx.NewType(errorx.NewNamespace("operator"), "unconfirmed").New("the configuration is not confirmed")

var errNoConfiguration = fmt.Errorf("no configuration yet: %w", ErrUnconfirmed)

// AdmitPath is the path of the call with which a VM has the leader admit a client's call.
const AdmitPath = "/admit"

// AdmitRequest asks another VM to admit a client's call.
type AdmitRequest struct {
	Origin catalog.Origin `json:"origin"`
	// Floor is the offset of the oldest configuration that may decide.
	Floor int64 `json:"floor,omitempty"`
}

// AdmitReply answers an AdmitRequest. Confirmed is false if that VM does not know either which
// configuration is in force. A call that is not allowed has a Denial.
type AdmitReply struct {
	Confirmed bool              `json:"sure"`
	Denial    Denial            `json:"denial,omitempty"`
	Admission catalog.Admission `json:"admission"`
}

// Denial says what a call lacks.
type Denial string

// What a call may lack.
const (
	RouteDenial Denial = "route"
	KeyDenial   Denial = "key"
)

// denials are the errors that the denials stand for.
var denials = map[Denial]error{RouteDenial: catalog.ErrRoute, KeyDenial: catalog.ErrKey}

// Admit returns the route and customer of a client's call, or the reason for rejecting it, under a
// configuration that is known to be in force. If this VM does not know it, the store is asked, and then
// the leader. An error that wraps ErrUnconfirmed means that neither told; the others also come with
// the version that decided.
func (f *Follower) Admit(ctx context.Context, o catalog.Origin) (catalog.Admission, error) {
	a, err := f.AdmitLocally(ctx, o, 0)
	if errors.Is(err, ErrUnconfirmed) {
		a, err = f.admitAtLeader(ctx, o, err)
	}
	return a, err
}

// AdmitLocally is Admit without the leader, and with no configuration before the offset floor.
func (f *Follower) AdmitLocally(ctx context.Context, o catalog.Origin, floor int64) (catalog.Admission, error) {
	floor = max(floor, f.floor.Load())
	a, err := f.admit(o, floor)
	if !errors.Is(err, ErrUnconfirmed) || !f.cfg.Health.Healthy() {
		return a, err
	}
	// The callers that come while a read is on its way share its answer.
	_, _, _ = f.confirming.Do("", func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), f.share(confirmShare))
		defer cancel()
		f.apply(ctx, f.read(ctx, f.cfg.Redial, 0)) // the configuration tells whether it is confirmed
		return nil, nil
	})
	return f.admit(o, floor)
}

// admit admits a call under the configuration of this VM.
func (f *Follower) admit(o catalog.Origin, floor int64) (catalog.Admission, error) {
	// A snapshot that is loaded after the check is at least as new as the one that was confirmed.
	age, recent := f.confirmation.age()
	snap := f.snapshot.Load()
	switch {
	case snap == nil:
		return catalog.Admission{Age: -1}, errNoConfiguration
	case !recent || snap.Offset() < floor:
		return catalog.Admission{Age: age, Version: snap.Version(), Offset: snap.Offset()}, ErrUnconfirmed
	}
	a, err := snap.Admit(o)
	a.Age = age
	return a, err
}

// Answer admits a client's call for another VM.
func (f *Follower) Answer(ctx context.Context, r AdmitRequest) AdmitReply {
	a, err := f.AdmitLocally(ctx, r.Origin, r.Floor)
	if errors.Is(err, ErrUnconfirmed) {
		return AdmitReply{}
	}
	reply := AdmitReply{Confirmed: true, Admission: a}
	for denial, reason := range denials {
		if errors.Is(err, reason) {
			reply.Denial = denial
		}
	}
	return reply
}

// admitAtLeader has the leader admit a call. It returns the error unconfirmed if the leader can't.
func (f *Follower) admitAtLeader(ctx context.Context, o catalog.Origin, unconfirmed error) (catalog.Admission, error) {
	address, _ := f.cfg.Leader.Leader()
	if address == "" || f.cfg.Leads() || !f.cfg.Leader.Answers() {
		return catalog.Admission{Age: -1}, unconfirmed
	}
	ctx, cancel := context.WithTimeout(ctx, f.share(confirmShare))
	defer cancel()
	start := time.Now()
	r := AdmitRequest{Origin: o, Floor: f.floor.Load()}
	if snap := f.snapshot.Load(); snap != nil {
		r.Floor = max(r.Floor, snap.Offset())
	}
	reply, err := httpjson.Post[AdmitRequest, AdmitReply](ctx, f.cfg.Client, "http://"+address+AdmitPath, &r, nil)
	if err != nil || !reply.Confirmed {
		metric.Count("remote_admissions_failed_total")
		f.cfg.Logger.Warn("call not admitted by the leader", "leader", address, "host", o.Host, "path", o.Path, "confirmed", reply.Confirmed, "floor", r.Floor, "took_ms", time.Since(start).Milliseconds(), "error", err)
		return catalog.Admission{Age: -1}, unconfirmed
	}
	metric.Count("remote_admissions_total")
	f.raiseFloor(reply.Admission.Offset)
	return reply.Admission, denials[reply.Denial]
}

// raiseFloor lets no configuration before the offset admit a call from now on.
func (f *Follower) raiseFloor(offset int64) {
	for {
		old := f.floor.Load()
		if offset <= old || f.floor.CompareAndSwap(old, offset) {
			return
		}
	}
}
