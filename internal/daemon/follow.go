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

// reservedVMs is the number of entry VMs, unknown to this one, for which connections
// to a backend server are reserved.
const reservedVMs = 2

// applyConfig applies a configuration that comes into force to the queues and their
// shares, and to the placer's layout.
func (d *Daemon) applyConfig(cfg *config.Config, version config.Version) {
	d.members.Change(func(self *rpc.Member) {
		self.Number, self.Upto, self.Version = version.Number, version.Upto, version.ID
	})
	shares := map[string]float64{}
	waiting := map[string]int{}
	for name, c := range cfg.Customers {
		shares[name] = c.Share
		waiting[name] = c.Jobs
	}
	for name, s := range cfg.Services {
		q := d.ensureQueue(name, s)
		connections := d.connectionShare(s.Connections)
		q.Configure(func(q *queue.Queue) {
			q.SetShares(shares)
			q.Router().SetLimits(s.Slots, connections)
		})
	}
	d.placer.SetLayout(cfg.Tree(d.opts.Zone), cfg.Site.WorkerSize(), waiting)
	d.updateRoutes()
}

// connectionShare returns this VM's share of a backend server's connections.
func (d *Daemon) connectionShare(connections int) int {
	return max(1, connections/(d.countVMs()+reservedVMs))
}

// countVMs returns the number of entry VMs known to this one, including itself. VMs
// that are gone don't count.
func (d *Daemon) countVMs() int {
	n := 1
	for _, p := range d.members.All() {
		if p.Info.GetState() != peer.Gone {
			n++
		}
	}
	return n
}

// ensureQueue returns the service's queue and creates it on first use.
func (d *Daemon) ensureQueue(name string, s config.Service) *queue.Queue {
	d.mu.Lock()
	defer d.mu.Unlock()
	if q := d.queues[name]; q != nil {
		return q
	}
	r := route.New(route.Config{Zone: d.opts.Zone, Slots: s.Slots, Connections: s.Connections})
	q := queue.New(queue.Config{
		Service: name, Zone: d.opts.Zone, Size: s.Queue, Sender: d.minionClient, Router: r, Logger: d.logger, OnLeaving: d.members.MarkServerLeaving,
	})
	d.queues[name] = q
	d.wg.Go(func() { q.Run(d.queueCtx) })
	return q
}

func (d *Daemon) allQueues() map[string]*queue.Queue {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := map[string]*queue.Queue{}
	for name, q := range d.queues {
		all[name] = q
	}
	return all
}

// markServerLeaving stops sending new requests to a backend server that a peer
// reported as leaving.
func (d *Daemon) markServerLeaving(name string) {
	for _, q := range d.allQueues() {
		q.Configure(func(q *queue.Queue) { q.Router().MarkLeaving(name) })
	}
}

// pollInstances polls the platform's instance list until ctx ends.
func (d *Daemon) pollInstances(ctx context.Context) {
	version := int64(0)
	for ctx.Err() == nil {
		instanceList, err := d.instanceList.Get(ctx, "", version)
		if err != nil {
			metric.Retry("list")
		}
		if err == nil && instanceList.Version != version {
			version = instanceList.Version
			d.applyInstances(instanceList.Instances)
		}
		d.seedMembers()
		sleep(ctx, time.Duration(d.opts.Deadlines.List))
	}
}

func (d *Daemon) applyInstances(all []platform.Instance) {
	d.mu.Lock()
	d.instances = all
	d.mu.Unlock()
	d.updateRoutes()
	d.placer.SetWorkers(d.zoneWorkers(all))
}

// seedMembers adds the listed entry VMs to the members, which forget a VM that can't be
// reached for long although the list has not changed.
func (d *Daemon) seedMembers() {
	d.mu.Lock()
	listed := d.instances
	d.mu.Unlock()
	for _, in := range listed {
		if in.Role == platform.RoleEntry && in.State == platform.StateLive {
			d.members.Seed(in.Name, in.Address, in.Zone)
		}
	}
}

// zoneWorkers returns the workers of this VM's zone with their clients, which it
// creates on first use.
func (d *Daemon) zoneWorkers(all []platform.Instance) []placer.ListedWorker {
	var out []placer.ListedWorker
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, in := range all {
		if in.Role != platform.RoleWorker || in.Zone != d.opts.Zone {
			continue
		}
		if d.workerClients[in.Name] == nil {
			d.workerClients[in.Name] = worker.NewClient(d.workerHTTP, in.Address)
		}
		out = append(out, placer.ListedWorker{Name: in.Name, Client: d.workerClients[in.Name]})
	}
	return out
}

// updateRoutes updates each queue's router with the backend servers of its service.
func (d *Daemon) updateRoutes() {
	d.mu.Lock()
	byService := map[string][]route.ListedServer{}
	for _, in := range d.instances {
		if in.Role == platform.RoleMinion {
			byService[in.Service] = append(byService[in.Service], route.ListedServer{
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

// followPeerConfig pulls a newer configuration from a peer that is ahead at two polls
// in a row. By then this VM should have read it from the log, so the log is unreachable
// or slow.
func (d *Daemon) followPeerConfig(ctx context.Context) {
	roundsBehind := 0
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(d.opts.Deadlines.Poll))
		ahead, ok := d.peerWithNewerConfig()
		if !ok {
			roundsBehind = 0
			continue
		}
		roundsBehind++
		if roundsBehind < 2 {
			continue
		}
		d.pullConfig(ctx, ahead)
	}
}

func (d *Daemon) peerWithNewerConfig() (peer.Peer, bool) {
	own := d.configStore.Version().Number
	for _, p := range d.members.All() {
		if p.Info.GetNumber() > own && p.Info.GetState() != peer.Gone {
			return p, true
		}
	}
	return peer.Peer{}, false
}

func (d *Daemon) pullConfig(ctx context.Context, p peer.Peer) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	reply, err := p.Client.Version(ctx, &rpc.VersionRequest{Upto: d.configStore.Version().Upto})
	if err != nil {
		metric.Retry("version")
		return
	}
	var v config.Version
	if json.Unmarshal(reply.GetVersion(), &v) == nil && d.configStore.Offer(v) {
		metric.Count("config_from_peer_total")
	}
}

// maintainLeadership takes or releases the zone's leadership as membership changes,
// and publishes the zone's free capacity to the peers.
func (d *Daemon) maintainLeadership(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, leadershipInterval)
		if time.Since(d.startedAt) < time.Duration(d.opts.Deadlines.Suspect) {
			continue
		}
		cfg, _ := d.configStore.Current()
		d.placer.SetLeading(cfg != nil && !d.leaving.Load() && d.members.Placer(d.opts.Zone) == d.opts.Name)
		d.publishSummary(ctx)
		d.resubmitOrphans(ctx)
	}
}

func (d *Daemon) publishSummary(ctx context.Context) {
	s, ok := d.placer.Summary(ctx)
	d.members.Change(func(self *rpc.Member) {
		self.Summary = nil
		if ok {
			self.Summary = toSummary(s)
		}
	})
}

// toSummary converts a zone's summary to its RPC message.
func toSummary(s placer.Summary) *rpc.Summary {
	out := &rpc.Summary{Waiting: int32(s.Waiting), Free: int32(s.FreeEighths)}
	for k := range s.Cells.Idle {
		out.Idle = append(out.Idle, int32(s.Cells.Idle[k]))
		out.Slack = append(out.Slack, int32(s.Cells.Slack[k]))
	}
	return out
}

// resubmitOrphans submits the jobs left over from a lost leadership to the zone's
// new placer. If that fails, a job that is stored nowhere else counts as lost.
func (d *Daemon) resubmitOrphans(ctx context.Context) {
	for _, orphan := range d.placer.Orphans(ctx) {
		j := orphan.Job
		j.Zone = d.opts.Zone
		if _, err := d.submitJob(ctx, j); err != nil && !orphan.Durable && orphan.Copies == 0 {
			d.logger.Error("job lost: it was not stored and the new placer did not confirm it", "job", j.ID, "customer", j.Customer, "error", err)
			metric.Count("jobs_lost_total")
		}
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
