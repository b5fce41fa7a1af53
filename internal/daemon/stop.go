package daemon

import (
	"context"
	"time"

	"rhubarbshore/internal/metric"
	"rhubarbshore/internal/peer"
	"rhubarbshore/internal/peer/rpc"
)

// Intervals and timeouts of a stop.
const (
	inflightPollInterval = 20 * time.Millisecond
	adoptTimeout         = 2 * time.Second
	// leaveTimeout bounds the gossip at a stop, and the draining of connections after
	// the deadline of the stop.
	leaveTimeout          = time.Second
	handoverRetryInterval = 100 * time.Millisecond
)

// Stop shuts the daemon down gracefully. The health check reports the VM as leaving,
// the zone's leadership is handed over, admitted requests are finished, and the keys
// are handed over to a successor.
func (d *Daemon) Stop() error {
	deadline := time.Now().Add(time.Duration(d.opts.Deadlines.Stop))
	d.leaving.Store(true)
	d.logger.Info("leaving")
	d.members.Change(func(self *rpc.Member) { self.State = peer.Leaving })
	d.announce()
	d.handOverLeadership()
	time.Sleep(time.Duration(d.opts.Deadlines.Drain))
	d.stopping.Store(true)
	cut := d.drainRequests(deadline)
	d.handOverKeys(deadline)
	d.syncJournal(deadline)
	d.members.Change(func(self *rpc.Member) { self.State = peer.Gone; self.Owners = nil })
	d.announce()
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(leaveTimeout))
	defer cancel()
	if err := d.server.Drain(ctx); err != nil {
		d.logger.Warn("connections were still open after the drain", "error", err)
	}
	d.cancel()
	d.wg.Wait()
	d.logger.Info("stopped", "cut", cut)
	if cut > 0 {
		return ErrStop
	}
	return nil
}

// announce sends this VM's state and its recent gossip to all peers in parallel.
func (d *Daemon) announce() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	d.members.GossipAll(ctx)
}

// handOverLeadership releases the zone's leadership and submits its open jobs to the
// next placer. A failed submission is repeated only for a job that is not in the log,
// since the next placer finds the others there.
func (d *Daemon) handOverLeadership() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(d.opts.Deadlines.Stop)/2)
	defer cancel()
	d.placer.SetLeading(false)
	for _, orphan := range d.placer.Orphans(ctx) {
		j := orphan.Job
		j.Zone = d.opts.Zone
		for ctx.Err() == nil {
			if _, err := d.submitJob(ctx, j); err == nil || orphan.Durable {
				break
			}
			metric.Retry("handover")
			sleep(ctx, handoverRetryInterval)
		}
	}
}

// syncJournal waits until the records that the log lacks are replicated to the other
// VMs that can be reached.
func (d *Daemon) syncJournal(deadline time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	d.journal.Sync(ctx)
}

// drainRequests waits for all admitted requests. It returns how many of them were
// still in flight at the deadline.
func (d *Daemon) drainRequests(deadline time.Time) int64 {
	for d.inflight.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(inflightPollInterval)
	}
	cut := d.inflight.Load()
	if cut > 0 {
		metric.Count("requests_cut_total")
	}
	return cut
}

// handOverKeys hands the keys of all owners over to a successor.
func (d *Daemon) handOverKeys(deadline time.Time) {
	d.mu.Lock()
	owners := make([]*keyOwner, 0, len(d.owners))
	for _, o := range d.owners {
		owners = append(owners, o)
	}
	d.mu.Unlock()
	for _, o := range owners {
		d.handOverOwner(o, deadline)
	}
}

// handOverOwner repeats the handover to one successor until it confirms, because once
// it may have adopted the keys no other VM may get them. Another successor is tried
// only if the call certainly did not reach the first. After the handover this VM
// fetches the successor's new state, so that its last gossip tells the peers which VM
// decides about the keys.
func (d *Daemon) handOverOwner(o *keyOwner, deadline time.Time) {
	in := newHandover(o)
	successor, ok := d.successor()
	for ok && time.Now().Before(deadline) {
		ctx, cancel := context.WithTimeout(context.Background(), adoptTimeout)
		_, err := successor.Client.Adopt(ctx, in)
		cancel()
		if err == nil {
			d.members.Gossip(context.Background(), successor)
			return
		}
		metric.Retry("adopt")
		if unsent(err) {
			d.members.RecordFailure(successor.Info.GetName())
			successor, ok = d.successor()
			continue
		}
		time.Sleep(handoverRetryInterval)
	}
}

func newHandover(o *keyOwner) *rpc.Handover {
	in := &rpc.Handover{Owner: o.minter.Owner(), Secret: o.minter.Secret()}
	for _, k := range o.table.Export() {
		in.Entries = append(in.Entries, &rpc.Entry{
			Key: k.Key, Print: k.Fingerprint, Remaining: time.Until(k.Deadline).Milliseconds(), Reply: toReply(k.Response),
		})
	}
	return in
}

// successor returns a live VM to take over this VM's keys, preferably of its own zone.
func (d *Daemon) successor() (peer.Peer, bool) {
	for _, zone := range d.members.Zones() {
		for _, p := range d.members.Live(zone) {
			return p, true
		}
	}
	return peer.Peer{}, false
}
