package daemon

import (
	"context"
	"time"

	"rhubarbshore/internal/metric"
	"rhubarbshore/internal/peer"
	"rhubarbshore/internal/peer/rpc"
)

// Tuning of a stop.
const (
	inflightPollInterval  = 20 * time.Millisecond
	adoptTimeout          = 2 * time.Second
	leaveTimeout          = time.Second
	handoverRetryInterval = 100 * time.Millisecond
)

// Stop shuts the daemon down gracefully: health turns to leaving, the lead
// is handed on, what was admitted is finished, and the keys go to a successor.
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
		d.logger.Warn("connections were open at the end", "error", err)
	}
	d.cancel()
	d.wg.Wait()
	d.logger.Info("stopped", "cut", cut)
	if cut > 0 {
		return ErrStop
	}
	return nil
}

// announce sends this VM's state, and what it has heard lately, to every peer at once.
func (d *Daemon) announce() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	d.members.Tell(ctx)
}

// handOverLeadership gives the zone's leadership up and passes on its open jobs. Those in the
// log are found there if the next placer does not answer.
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

// syncJournal leaves what the log lacks with other VMs.
func (d *Daemon) syncJournal(deadline time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	d.journal.Sync(ctx)
}

// drainRequests waits for all requests that were admitted. It returns how many were
// still under way at the deadline.
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

// handOverKeys hands every owner to a successor.
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

// handOverOwner asks one successor until it confirms: once it may have taken the keys, no
// other VM may be given them. Only a VM that was never reached is passed over. The
// successor's new state is asked for, so that this VM's last message can tell others who
// answers for the keys.
func (d *Daemon) handOverOwner(o *keyOwner, deadline time.Time) {
	in := newHandover(o)
	successor, ok := d.successor()
	for ok && time.Now().Before(deadline) {
		ctx, cancel := context.WithTimeout(context.Background(), adoptTimeout)
		_, err := successor.Client.Adopt(ctx, in)
		cancel()
		if err == nil {
			d.members.Ask(context.Background(), successor)
			return
		}
		metric.Retry("adopt")
		if unsent(err) {
			d.members.Failed(successor.Info.GetName())
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
			Key: k.Key, Print: k.Print, Remaining: time.Until(k.Deadline).Milliseconds(), Reply: toReply(k.Response),
		})
	}
	return in
}

// successor is a VM to take this one's keys over: of the own zone, or else of any.
func (d *Daemon) successor() (peer.Peer, bool) {
	for _, zone := range d.members.Zones() {
		for _, p := range d.members.Live(zone) {
			return p, true
		}
	}
	return peer.Peer{}, false
}
