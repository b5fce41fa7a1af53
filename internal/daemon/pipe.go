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

// maxDelegations is the most VMs that are asked in turn to settle a key's owner.
const maxDelegations = 4

// incomingRequest is a caller's request before it is checked.
type incomingRequest struct {
	in     api.Request
	key    string
	ticket string
	settle bool
	// owner is set on a request that a peer forwarded to the owner of its key.
	owner string
	// delegated is set on a request whose owner a peer asks this VM to settle.
	delegated bool
}

// execute takes a request through the pipe and returns its outcome.
func (d *Daemon) execute(ctx context.Context, a incomingRequest) api.Response {
	begun := time.Now()
	resp := d.dispatch(ctx, a)
	resp.Request = a.in.ID
	metric.Observe("request_seconds", begun)
	if resp.Outcome != api.Done {
		metric.Refusal("request", resp.Reason)
	}
	if d.logger.Enabled(ctx, slog.LevelDebug) {
		d.logger.DebugContext(ctx, "request", "request", a.in.ID, "customer", a.in.Customer, "kind", a.in.Kind,
			"outcome", resp.Outcome, "reason", resp.Reason, "server", resp.Server, "attempts", resp.Attempts)
	}
	return resp
}

// dispatch decides which VM runs the request: this one, or the key's owner.
func (d *Daemon) dispatch(ctx context.Context, a incomingRequest) api.Response {
	cfg, _ := d.configStore.Current()
	keyOrTicket := a.key
	if a.ticket != "" {
		keyOrTicket = a.ticket
	}
	r, refusal := check.Check(cfg, a.in, keyOrTicket, time.Now())
	if refusal != nil {
		return *refusal
	}
	r.Settle = a.settle
	r.Ticket = a.ticket != ""
	switch {
	case a.owner != "":
		return d.runForwarded(ctx, r, a.owner)
	case a.ticket != "":
		return d.runWithTicket(ctx, r)
	case a.key != "":
		return d.runWithKey(ctx, r, a.delegated)
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

// runWithTicket runs the request at the owner that its ticket names.
func (d *Daemon) runWithTicket(ctx context.Context, r *request.Request) api.Response {
	owner, err := idempotency.OwnerOf(r.Key)
	if err != nil {
		return r.Refuse(api.Retry, request.ReasonTicket)
	}
	return d.runAtOwner(ctx, r, owner)
}

// runWithKey settles the owner of the caller's own key through the log. A VM that
// can't tell, since the log has dropped claims that it never read, asks one that
// has read them.
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

// delegateClaim passes the request to VMs in turn until one takes it in, or may have.
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

// scopedKey keeps customers' keys apart.
func scopedKey(r *request.Request) string { return r.Customer + "/" + r.Key }

// runAtOwner runs the request here if this VM answers for the owner, and forwards it
// otherwise.
func (d *Daemon) runAtOwner(ctx context.Context, r *request.Request, owner string) api.Response {
	if d.lookupOwner(owner) != nil {
		return d.runOwned(ctx, r, owner)
	}
	p, ok := d.members.Serving(owner)
	if !ok {
		return r.Refuse(api.Unknown, request.ReasonOwner)
	}
	return d.forward(ctx, r, owner, p)
}

func (d *Daemon) lookupOwner(name string) *keyOwner {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.owners[name]
}

// runOwned decides about a key that this VM is the owner of.
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

// runForwarded decides about a key that a peer has found this VM to be the owner of.
func (d *Daemon) runForwarded(ctx context.Context, r *request.Request, owner string) api.Response {
	if !r.Ticket {
		r.Deadline = earlier(r.Deadline, d.claimDeadline(ctx, r, owner))
	}
	return d.runOwned(ctx, r, owner)
}

// claimDeadline is the deadline that the owner gave the key when it claimed it, by the
// owner's own clock. It has passed if no claim is known: then only a copy that the
// table still knows is answered. A copy must not go by the time of its arrival, which
// may be after the key was forgotten.
//
// A copy may come by way of a VM that has read the owner's claim before the owner did.
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

// runOnce runs the request if this copy is the first, to its end whether or not its
// caller still waits, and waits for the first copy's outcome otherwise.
func (d *Daemon) runOnce(ctx context.Context, o *keyOwner, r *request.Request, key string, deadline time.Time) api.Response {
	claim, err := o.table.Begin(key, print(r), deadline)
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

// print identifies what a keyed request asks for.
func print(r *request.Request) uint64 {
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

// runFirst runs a keyed request for all its copies, so that it does not end with
// the caller of the first.
func (d *Daemon) runFirst(r *request.Request, claim idempotency.Claim) {
	// A request that a peer forwarded has not been counted on arrival.
	d.inflight.Add(1)
	defer d.inflight.Add(-1)
	q := d.lookupQueue(r)
	if q == nil {
		claim.Finish(r.Refuse(api.Retry, request.ReasonNoServer))
		return
	}
	claim.Finish(q.Do(context.Background(), r))
}

// forward carries the request to its owner.
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

// unsent reports whether a call to a peer provably never reached it.
func unsent(err error) bool {
	return httpjson.Unsent(err)
}
