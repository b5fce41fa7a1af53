package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/twitchtv/twirp"

	"rhubarbshore/internal/idempotency"
	"rhubarbshore/internal/journal"
	"rhubarbshore/internal/metric"
	"rhubarbshore/internal/peer"
	"rhubarbshore/internal/peer/rpc"
	"rhubarbshore/internal/placer"
	"rhubarbshore/internal/request"
	"rhubarbshore/pkg/api"
)

// peerServer serves the RPCs of other entry VMs.
type peerServer struct {
	d *Daemon
}

// Probe implements rpc.Peer.
func (s *peerServer) Probe(_ context.Context, g *rpc.Gossip) (*rpc.Gossip, error) {
	return s.d.members.HandleGossip(g), nil
}

// Forward implements rpc.Peer.
func (s *peerServer) Forward(ctx context.Context, in *rpc.ForwardRequest) (*rpc.ForwardReply, error) {
	req := incomingRequest{
		in:    api.Request{ID: in.GetRequest(), Customer: in.GetCustomer(), Kind: in.GetKind(), Body: in.GetBody()},
		owner: in.GetOwner(), settle: in.GetSettle(), delegated: in.GetOwner() == "",
	}
	if in.GetTicket() {
		req.ticket = in.GetKey()
	} else {
		req.key = in.GetKey()
	}
	return toReply(s.d.execute(ctx, req)), nil
}

func toReply(r api.Response) *rpc.ForwardReply {
	return &rpc.ForwardReply{
		Outcome: string(r.Outcome), Reason: r.Reason, Attempts: int32(r.Attempts), Server: r.Server, Hash: r.Hash, Body: r.Body,
	}
}

// Adopt implements rpc.Peer. It is idempotent.
func (s *peerServer) Adopt(_ context.Context, in *rpc.Handover) (*rpc.Done, error) {
	if err := s.d.adopt(in); err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &rpc.Done{}, nil
}

// adopt takes over the keys of a VM that is stopping.
func (d *Daemon) adopt(in *rpc.Handover) error {
	minter, err := idempotency.NewMinter(in.GetOwner(), in.GetSecret())
	if err != nil {
		return err
	}
	var keys []idempotency.ExportedKey
	now := time.Now()
	for _, e := range in.GetEntries() {
		keys = append(keys, idempotency.ExportedKey{
			Key: e.GetKey(), Fingerprint: e.GetPrint(), Deadline: now.Add(time.Duration(e.GetRemaining()) * time.Millisecond),
			Response: fromReply(e.GetReply()),
		})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopping.Load() || len(d.owners) >= maxOwners {
		return placer.ErrFull
	}
	if d.owners[in.GetOwner()] != nil {
		return nil
	}
	table := idempotency.NewTable(idempotency.Limits{Keys: d.opts.Limits.Keys, Bytes: d.opts.Limits.Bytes})
	table.Import(keys)
	d.owners[in.GetOwner()] = &keyOwner{minter: minter, table: table}
	d.members.Change(func(self *rpc.Member) { self.Owners = append(self.Owners, in.GetOwner()) })
	metric.Count("owners_adopted_total")
	d.logger.Info("keys taken over", "owner", in.GetOwner(), "keys", len(keys))
	return nil
}

func fromReply(r *rpc.ForwardReply) api.Response {
	return api.Response{
		Outcome: api.Outcome(r.GetOutcome()), Reason: r.GetReason(), Attempts: int(r.GetAttempts()),
		Server: r.GetServer(), Hash: r.GetHash(), Body: r.GetBody(),
	}
}

// Version implements rpc.Peer.
func (s *peerServer) Version(_ context.Context, in *rpc.VersionRequest) (*rpc.VersionReply, error) {
	v := s.d.configStore.Version()
	if v.Upto <= in.GetUpto() {
		return &rpc.VersionReply{}, nil
	}
	data, err := json.Marshal(v)
	return &rpc.VersionReply{Version: data}, err
}

// Submit implements rpc.Peer.
func (s *peerServer) Submit(ctx context.Context, in *rpc.JobRequest) (*rpc.JobReply, error) {
	return s.handleJob(ctx, in, s.d.placer.Submit)
}

// Cancel implements rpc.Peer.
func (s *peerServer) Cancel(ctx context.Context, in *rpc.JobRequest) (*rpc.JobReply, error) {
	return s.handleJob(ctx, in, func(ctx context.Context, j api.Job) (api.JobStatus, error) {
		return s.d.placer.Cancel(ctx, j.ID)
	})
}

func (s *peerServer) handleJob(ctx context.Context, in *rpc.JobRequest, call func(ctx context.Context, j api.Job) (api.JobStatus, error)) (*rpc.JobReply, error) {
	var j api.Job
	if err := json.Unmarshal(in.GetJob(), &j); err != nil {
		return nil, twirp.NewError(twirp.InvalidArgument, err.Error())
	}
	status, err := call(ctx, j)
	if errors.Is(err, placer.ErrNotLeading) || errors.Is(err, placer.ErrFull) {
		return nil, twirp.NewError(twirp.FailedPrecondition, err.Error())
	}
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(status)
	return &rpc.JobReply{Status: data}, err
}

// Replicate implements rpc.Peer. It is idempotent.
func (s *peerServer) Replicate(_ context.Context, u *rpc.ReplicaUpdate) (*rpc.ReplicaState, error) {
	return s.d.journal.Replicate(u), nil
}

// replicas lists the VMs of the zone that can hold replicas of journal records, the
// most likely next placer first.
func (d *Daemon) replicas() []journal.Peer {
	var out []journal.Peer
	for _, p := range d.members.Successors() {
		out = append(out, journal.Peer{Name: idempotency.Owner(p.Info.GetName(), p.Info.GetIncarnation()), Replica: p.Client})
	}
	return out
}

// View implements rpc.Peer.
func (s *peerServer) View(ctx context.Context, in *rpc.ViewRequest) (*rpc.ViewReply, error) {
	view, err := s.d.localView(ctx, in.GetWhat())
	if err != nil {
		return nil, twirp.NewError(twirp.FailedPrecondition, err.Error())
	}
	data, err := json.Marshal(view)
	return &rpc.ViewReply{View: data}, err
}

// Names of the views that a placer serves of its zone.
const (
	viewJobs      = "jobs"
	viewWorkers   = "workers"
	viewCustomers = "customers"
)

func (d *Daemon) localView(ctx context.Context, viewName string) (any, error) {
	if !d.placer.Ready(ctx) {
		return nil, placer.ErrNotLeading
	}
	switch viewName {
	case viewJobs:
		return d.placer.Jobs(ctx)
	case viewWorkers:
		return d.placer.Workers(ctx)
	}
	return d.placer.Customers(ctx)
}

// submitJob submits the job to its zone's placer, which may be on this VM.
func (d *Daemon) submitJob(ctx context.Context, j api.Job) (api.JobStatus, error) {
	if j.Zone == d.opts.Zone {
		status, err := d.placer.Submit(ctx, j)
		if !errors.Is(err, placer.ErrNotLeading) {
			return status, err
		}
	}
	return d.callPlacer(ctx, j, func(ctx context.Context, p peer.Peer, in *rpc.JobRequest) (*rpc.JobReply, error) {
		return p.Client.Submit(ctx, in)
	})
}

func (d *Daemon) cancelJob(ctx context.Context, j api.Job) (api.JobStatus, error) {
	if j.Zone == d.opts.Zone {
		status, err := d.placer.Cancel(ctx, j.ID)
		if !errors.Is(err, placer.ErrNotLeading) {
			return status, err
		}
	}
	return d.callPlacer(ctx, j, func(ctx context.Context, p peer.Peer, in *rpc.JobRequest) (*rpc.JobReply, error) {
		return p.Client.Cancel(ctx, in)
	})
}

func (d *Daemon) callPlacer(ctx context.Context, j api.Job, call func(ctx context.Context, p peer.Peer, in *rpc.JobRequest) (*rpc.JobReply, error)) (api.JobStatus, error) {
	p, ok := d.members.PlacerOf(j.Zone)
	if !ok || p.Info.GetName() == d.opts.Name {
		return api.JobStatus{}, placer.ErrNotLeading
	}
	data, err := json.Marshal(j)
	if err != nil {
		return api.JobStatus{}, err
	}
	reply, err := call(ctx, p, &rpc.JobRequest{Job: data})
	if err != nil {
		if unsent(err) {
			d.members.RecordFailure(p.Info.GetName())
		}
		return api.JobStatus{}, classifyJobError(err)
	}
	var status api.JobStatus
	return status, json.Unmarshal(reply.GetStatus(), &status)
}

// classifyJobError returns placer.ErrNotLeading if the job is certainly in no queue,
// because the placer refused it or the call was never sent. Otherwise the answer was
// lost, and it returns errAnswerLost.
func classifyJobError(err error) error {
	var t twirp.Error
	if errors.As(err, &t) && t.Code() == twirp.FailedPrecondition || unsent(err) {
		return placer.ErrNotLeading
	}
	return errAnswerLost
}

// refuseStopping returns the refusal of a request that arrives after Stop has ended
// the admission of requests.
func refuseStopping(id string) api.Response {
	metric.Refusal("request", request.ReasonStopping)
	return api.Response{Outcome: api.Retry, Reason: request.ReasonStopping, Request: id}
}
