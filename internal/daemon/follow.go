package daemon

import (
	"context"
	"encoding/json"
	"time"

	"rhubarbshore/internal/config"
	"rhubarbshore/internal/metric"
	"rhubarbshore/internal/peer"
	"rhubarbshore/internal/peer/rpc"
	"rhubarbshore/internal/placer"
	"rhubarbshore/internal/platform"
	"rhubarbshore/internal/queue"
	"rhubarbshore/internal/route"
	"rhubarbshore/internal/worker"
)

// reserve is the number of entry VMs for which connections to a backend server
// are kept back, in case this VM does not know of them.
const reserve = 2

// applied brings a configuration into force: queues, shares and the layout.
func (d *Daemon) applied(cfg *config.Config, v config.Version) {
	d.members.Change(func(self *rpc.Member) {
		self.Number, self.Upto, self.Version = v.Number, v.Upto, v.ID
	})
	shares := map[string]float64{}
	waiting := map[string]int{}
	for name, c := range cfg.Customers {
		shares[name] = c.Share
		waiting[name] = c.Jobs
	}
	for name, s := range cfg.Services {
		q := d.queueFor(name, s)
		connections := d.connectionShare(s.Connections)
		q.Configure(func(q *queue.Queue) {
			q.SetShares(shares)
			q.Router().SetLimits(s.Slots, connections)
		})
	}
	d.placer.SetLayout(cfg.Tree(d.set.Zone), cfg.Site.Each(), waiting)
	d.routeList()
}

// connectionShare is this VM's part of a backend server's connections.
func (d *Daemon) connectionShare(connections int) int {
	return max(1, connections/(d.vms()+reserve))
}

// vms is the number of entry VMs that this one knows of, itself included.
func (d *Daemon) vms() int {
	n := 1
	for _, p := range d.members.All() {
		if p.Info.GetState() != peer.Gone {
			n++
		}
	}
	return n
}

// queueFor returns the service's queue, which is made on first use.
func (d *Daemon) queueFor(name string, s config.Service) *queue.Queue {
	d.mu.Lock()
	defer d.mu.Unlock()
	if q := d.queues[name]; q != nil {
		return q
	}
	r := route.New(route.Config{Zone: d.set.Zone, Slots: s.Slots, Connections: s.Connections})
	q := queue.New(queue.Config{
		Service: name, Zone: d.set.Zone, Size: s.Queue, Sender: d.sender, Router: r, Logger: d.logger, Left: d.members.TellLeaving,
	})
	d.queues[name] = q
	d.done.Go(func() { q.Run(d.queueCtx) })
	return q
}

func (d *Daemon) allQueues() map[string]*queue.Queue {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[string]*queue.Queue{}
	for name, q := range d.queues {
		out[name] = q
	}
	return out
}

// serverLeft stops new work for a backend server that a peer saw leaving.
func (d *Daemon) serverLeft(name string) {
	for _, q := range d.allQueues() {
		q.Configure(func(q *queue.Queue) { q.Router().MarkLeaving(name) })
	}
}

// followList reads the platform's list again and again.
func (d *Daemon) followList(ctx context.Context) {
	known := int64(0)
	for ctx.Err() == nil {
		list, err := d.list.Get(ctx, "", known)
		if err != nil {
			metric.Retry("list")
		}
		if err == nil && list.Version != known {
			known = list.Version
			d.takeList(list.Instances)
		}
		pause(ctx, time.Duration(d.set.Deadlines.List))
	}
}

func (d *Daemon) takeList(all []platform.Instance) {
	d.mu.Lock()
	d.listed = all
	d.mu.Unlock()
	for _, in := range all {
		if in.Role == platform.RoleEntry && in.State == platform.StateLive {
			d.members.Seed(in.Name, in.Address, in.Zone)
		}
	}
	d.routeList()
	d.placer.SetWorkers(d.zoneWorkers(all))
}

// zoneWorkers makes clients for the workers of this VM's zone.
func (d *Daemon) zoneWorkers(all []platform.Instance) []placer.Listed {
	var out []placer.Listed
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, in := range all {
		if in.Role != platform.RoleWorker || in.Zone != d.set.Zone {
			continue
		}
		if d.clients[in.Name] == nil {
			d.clients[in.Name] = worker.NewClient(d.workers, in.Address)
		}
		out = append(out, placer.Listed{Name: in.Name, Client: d.clients[in.Name]})
	}
	return out
}

// routeList hands each queue the backend servers of its service.
func (d *Daemon) routeList() {
	d.mu.Lock()
	byService := map[string][]route.Listed{}
	for _, in := range d.listed {
		if in.Role == platform.RoleMinion {
			byService[in.Service] = append(byService[in.Service], route.Listed{
				Name: in.Name, Address: in.Address, Zone: in.Zone, Leaving: in.State == platform.StateLeaving,
			})
		}
	}
	d.mu.Unlock()
	for name, q := range d.allQueues() {
		servers := byService[name]
		q.Configure(func(q *queue.Queue) { q.Router().Update(servers) })
	}
}

// followPeers takes a newer configuration from a peer where the log is out of
// reach or slow.
func (d *Daemon) followPeers(ctx context.Context) {
	behind := 0
	for ctx.Err() == nil {
		pause(ctx, time.Duration(d.set.Deadlines.Poll))
		ahead, ok := d.aheadPeer()
		if !ok {
			behind = 0
			continue
		}
		behind++
		if behind < 2 {
			continue
		}
		d.pullVersion(ctx, ahead)
	}
}

func (d *Daemon) aheadPeer() (peer.Peer, bool) {
	mine := d.store.Version().Number
	for _, p := range d.members.All() {
		if p.Info.GetNumber() > mine && p.Info.GetState() != peer.Gone {
			return p, true
		}
	}
	return peer.Peer{}, false
}

func (d *Daemon) pullVersion(ctx context.Context, p peer.Peer) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	reply, err := p.Client.Version(ctx, &rpc.VersionRequest{Upto: d.store.Version().Upto})
	if err != nil {
		metric.Retry("version")
		return
	}
	var v config.Version
	if json.Unmarshal(reply.GetVersion(), &v) == nil && d.store.Offer(v) {
		metric.Count("config_from_peer_total")
	}
}

// keepLead takes and leaves the zone's leadership as membership changes, and
// tells others what the zone could take.
func (d *Daemon) keepLead(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, leadEvery)
		if time.Since(d.booted) < time.Duration(d.set.Deadlines.Suspect) {
			continue
		}
		cfg, _ := d.store.Current()
		d.placer.SetLeading(cfg != nil && !d.leaving.Load() && d.members.Placer(d.set.Zone) == d.set.Name)
		d.tellSummary(ctx)
		d.passOrphans(ctx)
	}
}

func (d *Daemon) tellSummary(ctx context.Context) {
	s, ok := d.placer.Summary(ctx)
	d.members.Change(func(self *rpc.Member) {
		self.Summary = nil
		if ok {
			self.Summary = summary(s)
		}
	})
}

// summary turns a zone's summary into its message.
func summary(s placer.Summary) *rpc.Summary {
	out := &rpc.Summary{Waiting: int32(s.Waiting), Free: int32(s.Free)}
	for k := range s.Cells.Idle {
		out.Idle = append(out.Idle, int32(s.Cells.Idle[k]))
		out.Slack = append(out.Slack, int32(s.Cells.Slack[k]))
	}
	return out
}

// passOrphans hands jobs left from a lost leadership to the new placer.
func (d *Daemon) passOrphans(ctx context.Context) {
	for _, orphan := range d.placer.Orphans(ctx) {
		j := orphan.Job
		j.Zone = d.set.Zone
		if _, err := d.submit(ctx, j); err != nil && !orphan.Durable && orphan.Copies == 0 {
			d.logger.Error("job lost with the leadership", "job", j.ID, "customer", j.Customer, "error", err)
			metric.Count("jobs_lost_total")
		}
	}
}

// pause waits, but not longer than ctx.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
