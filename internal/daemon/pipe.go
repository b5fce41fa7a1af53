package daemon

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbshore/internal/check"
	"rhubarbshore/internal/claim"
	"rhubarbshore/internal/httpjson"
	"rhubarbshore/internal/idempotency"
	"rhubarbshore/internal/metric"
	"rhubarbshore/internal/peer"
	"rhubarbshore/internal/peer/rpc"
	"rhubarbshore/internal/queue"
	"rhubarbshore/internal/request"
	"rhubarbshore/pkg/api"
)

// maxDelegations is how many VMs are asked in turn to determine a key's owner.
const maxDelegations = 4

// incomingRequest is a request that has not been checked yet.
type incomingRequest struct {
	in     api.Request
	key    string
	ticket string
	// settle asks for the outcome only. If the request has not run, it never will.
	settle bool
	// owner is set if a peer forwarded the request to the owner of its key.
	owner string
	// delegated is set if a peer could not determine the key's owner and asks this VM
	// to do so.
	delegated bool
}

// execute runs a request and returns its outcome.
func (d *Daemon) execute(ctx context.Context, req incomingRequest) api.Response {
	start := time.Now()
	resp := d.dispatch(ctx, req)
	resp.Request = req.in.ID
	metric.Observe("request_seconds", start)
	if resp.Outcome != api.Done {
		metric.Refusal("request", resp.Reason)
	}
	if d.logger.Enabled(ctx, slog.LevelDebug) {
		d.logger.DebugContext(ctx, "request", "request", req.in.ID, "customer", req.in.Customer, "kind", req.in.Kind,
			"outcome", resp.Outcome, "reason", resp.Reason, "server", resp.Server, "attempts", resp.Attempts)
	}
	return resp
}

// dispatch runs the request on this VM or on the owner of its key.
func (d *Daemon) dispatch(ctx context.Context, req incomingRequest) api.Response {
	cfg, _ := d.configStore.Current()
	keyOrTicket := req.key
	if req.ticket != "" {
		keyOrTicket = req.ticket
	}
	r, refusal := check.Check(cfg, req.in, keyOrTicket, time.Now())
	if refusal != nil {
		return *refusal
	}
	r.Settle = req.settle
	r.Ticket = req.ticket != ""
	switch {
	case req.owner != "":
		return d.runForwarded(ctx, r, req.owner)
	case req.ticket != "":
		return d.runWithTicket(ctx, r)
	case req.key != "":
		return d.runWithKey(ctx, r, req.delegated)
	}
	q := d.lookupQueue(r)
	if q == nil {
		return r.Refuse(api.NotRun, request.ReasonNoServer)
	}
	return q.Do(ctx, r)
}

func (d *Daemon) lookupQueue(r *request.Request) *queue.Queue {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queues[r.Service]
}

// runWithTicket runs the request on the owner that its ticket names.
func (d *Daemon) runWithTicket(ctx context.Context, r *request.Request) api.Response {
	owner, err := idempotency.OwnerOf(r.Key)
	if err != nil {
		return r.Refuse(api.Retry, request.ReasonTicket)
	}
	return d.runAtOwner(ctx, r, owner)
}

// runWithKey determines the owner of the caller's own key through the log and runs
// the request there. If the log has dropped claims that this VM never read, the owner
// is unknown here and the request goes to a VM that may have read them.
func (d *Daemon) runWithKey(ctx context.Context, r *request.Request, delegated bool) api.Response {
	won, err := d.claims.Claim(ctx, scopedKey(r), r.Deadline)
	if errors.Is(err, claim.ErrGap) {
		metric.Refusal("claim", request.ReasonGap)
		if delegated {
			return r.Refuse(api.Retry, request.ReasonGap)
		}
		return d.delegateClaim(ctx, r)
	}
	if err != nil {
		metric.Refusal("claim", request.ReasonLog)
		return r.Refuse(api.Retry, request.ReasonLog)
	}
	if won.Deadline.Before(time.Now()) {
		return r.Refuse(api.Unknown, request.ReasonExpired)
	}
	r.Deadline = won.Deadline
	return d.runAtOwner(ctx, r, won.Owner)
}

// delegateClaim forwards the request to other VMs in turn until one accepts it or may
// have accepted it.
func (d *Daemon) delegateClaim(ctx context.Context, r *request.Request) api.Response {
	tried := 0
	for _, zone := range d.members.Zones() {
		for _, p := range d.members.Live(zone) {
			if tried++; tried > maxDelegations {
				return r.Refuse(api.Retry, request.ReasonGap)
			}
			if resp := d.forward(ctx, r, "", p); resp.Outcome != api.Retry {
				return resp
			}
		}
	}
	return r.Refuse(api.Retry, request.ReasonGap)
}

// scopedKey adds the customer to the key, so that keys of customers don't collide.
func scopedKey(r *request.Request) string { return r.Customer + "/" + r.Key }

// runAtOwner runs the request here if this VM decides about the owner's keys, and
// forwards it otherwise. If no VM serves an owner that has ended, the outcome is unknown.
func (d *Daemon) runAtOwner(ctx context.Context, r *request.Request, owner string) api.Response {
	if d.lookupOwner(owner) != nil {
		return d.runOwned(ctx, r, owner)
	}
	vm, incarnation, err := idempotency.ParseOwner(owner)
	if err != nil {
		return r.Refuse(api.Retry, request.ReasonTicket)
	}
	// Asked before Serving: an owner that is heard of in between has not ended.
	heard := d.members.Heard(vm, incarnation)
	p, ok := d.members.Serving(owner)
	switch {
	case ok:
		return d.forward(ctx, r, owner, p)
	case heard:
		return r.Refuse(api.Unknown, request.ReasonOwner)
	}
	return refuseUnheard(r)
}

// refuseUnheard refuses a copy whose key's owner this VM has not heard of yet. Another VM
// may know the owner, until the key's deadline.
func refuseUnheard(r *request.Request) api.Response {
	if r.Ticket {
		deadline, err := idempotency.DeadlineOf(r.Key)
		if err != nil {
			return r.Refuse(api.Retry, request.ReasonTicket)
		}
		if !time.Now().Before(deadline) {
			return r.Refuse(api.Unknown, request.ReasonExpired)
		}
	}
	return r.Refuse(api.Retry, request.ReasonUnheard)
}

func (d *Daemon) lookupOwner(name string) *keyOwner {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.owners[name]
}

// runOwned runs a request whose key this VM decides about.
func (d *Daemon) runOwned(ctx context.Context, r *request.Request, name string) api.Response {
	o := d.lookupOwner(name)
	if o == nil {
		return r.Refuse(api.Retry, request.ReasonOwner)
	}
	key := scopedKey(r)
	if r.Ticket {
		key = r.Key
		deadline, err := o.minter.Verify(r.Key)
		if err != nil {
			return r.Refuse(api.Retry, request.ReasonTicket)
		}
		if !time.Now().Before(deadline) {
			return r.Refuse(api.Unknown, request.ReasonExpired)
		}
		r.Deadline = earlier(r.Deadline, deadline)
		return d.runOnce(ctx, o, r, key, deadline)
	}
	return d.runOnce(ctx, o, r, key, r.Deadline)
}

// runForwarded runs a request that a peer forwarded to this VM as the key's owner.
func (d *Daemon) runForwarded(ctx context.Context, r *request.Request, owner string) api.Response {
	if !r.Ticket {
		r.Deadline = earlier(r.Deadline, d.claimDeadline(ctx, r, owner))
	}
	return d.runOwned(ctx, r, owner)
}

// claimDeadline returns the deadline that the owner set when it claimed the key, by
// the owner's clock. Without a claim of that owner it returns the zero time, which has
// passed, so that only a key still in the table is answered. The deadline must not
// count from the arrival of a copy, which may come after the key was forgotten.
//
// A key that is not known yet is claimed through the log, since the forwarding VM may
// have read the owner's claim before the owner did.
func (d *Daemon) claimDeadline(ctx context.Context, r *request.Request, owner string) time.Time {
	key := scopedKey(r)
	won, ok := d.claims.Known(key)
	if !ok {
		var err error
		won, err = d.claims.Claim(ctx, key, r.Deadline)
		ok = err == nil
	}
	if !ok || won.Owner != owner {
		return time.Time{}
	}
	return won.Deadline
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// runOnce runs the request if this copy is the first, and waits for the outcome of
// the first copy otherwise. The first copy runs to its end even if its caller no
// longer waits.
func (d *Daemon) runOnce(ctx context.Context, o *keyOwner, r *request.Request, key string, deadline time.Time) api.Response {
	claim, err := o.table.Begin(key, fingerprint(r), deadline)
	if err != nil {
		return refuseKey(r, err)
	}
	switch {
	case claim.First && r.Settle:
		claim.Finish(r.Refuse(api.NotRun, request.ReasonCancelled))
	case claim.First:
		d.runFirst(r, claim)
	}
	select {
	case <-claim.Done():
		return claim.Response()
	case <-ctx.Done():
		return r.Refuse(api.Unknown, request.ReasonLost)
	}
}

// fingerprint returns a hash of a keyed request's content. It is never 0, which a
// key table treats as unknown.
func fingerprint(r *request.Request) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(r.Customer + "\x00" + r.Kind + "\x00")
	_, _ = h.Write(r.Body)
	return h.Sum64() | 1
}

func refuseKey(r *request.Request, err error) api.Response {
	switch {
	case errors.Is(err, idempotency.ErrExpired):
		return r.Refuse(api.Unknown, request.ReasonExpired)
	case errors.Is(err, idempotency.ErrMismatch):
		return r.Refuse(api.Retry, request.ReasonMismatch)
	case errors.Is(err, idempotency.ErrMoved):
		return r.Refuse(api.Retry, request.ReasonMoved)
	}
	return r.Refuse(api.Retry, request.ReasonFull)
}

// runFirst runs a keyed request on behalf of all its copies. It uses a context of its
// own, so that the request does not end when the first copy's caller disconnects.
func (d *Daemon) runFirst(r *request.Request, claim idempotency.Claim) {
	// A request forwarded by a peer was not counted by admit.
	d.inflight.Add(1)
	defer d.inflight.Add(-1)
	q := d.lookupQueue(r)
	if q == nil {
		claim.Finish(r.Refuse(api.Retry, request.ReasonNoServer))
		return
	}
	claim.Finish(q.Do(context.Background(), r))
}

// forward sends the request to the VM that decides about the owner's keys. With an
// empty owner it asks the VM to determine the owner.
func (d *Daemon) forward(ctx context.Context, r *request.Request, owner string, p peer.Peer) api.Response {
	reply, err := p.Client.Forward(ctx, &rpc.ForwardRequest{
		Owner: owner, Key: r.Key, Request: r.ID, Customer: r.Customer, Kind: r.Kind, Body: r.Body,
		Settle: r.Settle, Ticket: r.Ticket,
	})
	if err == nil {
		return api.Response{
			Outcome: api.Outcome(reply.GetOutcome()), Reason: reply.GetReason(), Attempts: int(reply.GetAttempts()),
			Server: reply.GetServer(), Hash: reply.GetHash(), Body: reply.GetBody(),
		}
	}
	metric.Retry("forward")
	if unsent(err) {
		return r.Refuse(api.Retry, request.ReasonOwner)
	}
	return r.Refuse(api.Unknown, request.ReasonLost)
}

// unsent reports whether a failed call to a peer certainly did not reach it.
func unsent(err error) bool {
	return httpjson.Unsent(err)
}
