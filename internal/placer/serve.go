package placer

import (
	"context"
	"maps"
	"slices"
	"sort"
	"time"

	"rhubarbshore/internal/cell"
	"rhubarbshore/internal/metric"
	"rhubarbshore/pkg/api"
)

// Reasons for which a job is refused.
const (
	reasonInfeasible = "infeasible"
	reasonCustomer   = "customer"
	reasonGuarantee  = "guarantee"
	reasonFull       = "full"
)

// Submit accepts a job, or refuses it with the reason why it will never run. For a
// job that is already known it returns the job's status.
func (p *Placer) Submit(ctx context.Context, in api.Job) (api.JobStatus, error) {
	var status api.JobStatus
	var accepted *job
	var failure error
	err := p.runSync(ctx, func() {
		if !p.leading {
			failure = ErrNotLeading
			return
		}
		if j := p.jobs[in.ID]; j != nil {
			status = j.status
			return
		}
		j := newJob(in, p.cfg.Zone)
		status = j.status
		if reason := p.refusalReason(j); reason != "" {
			metric.Refusal("job", reason)
			status.State, status.Reason, status.Ended = api.Refused, reason, time.Now()
			return
		}
		accepted = j
		p.enqueue(j)
	})
	if err != nil || failure != nil || accepted == nil {
		return status, firstError(failure, err)
	}
	return p.journalAccept(ctx, accepted, status)
}

// journalAccept writes the job to the journal. While the platform's log is
// unavailable, the job is kept in memory by this and other VMs, as the returned status
// shows.
func (p *Placer) journalAccept(ctx context.Context, j *job, status api.JobStatus) (api.JobStatus, error) {
	if p.cfg.Journal == nil {
		return status, nil
	}
	written := p.cfg.Journal.Accept(ctx, status.Job)
	status.Durable = written.Durable
	status.Copies = written.Copies
	_ = p.runSync(ctx, func() { p.onWritten(j, written) })
	return status, nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// refusalReason returns why the job is refused, or "" if it is accepted.
func (p *Placer) refusalReason(j *job) string {
	in := j.status.Job
	limit, known := p.maxWaiting[in.Customer]
	if !known {
		return reasonCustomer
	}
	if !p.feasible(j) {
		return reasonInfeasible
	}
	if in.Class == string(cell.Guaranteed) && (j.isCPUJob() || !p.fitsGuarantees(j)) {
		return reasonGuarantee
	}
	if len(p.jobs) >= maxJobs || p.waitingCount(in.Customer) >= limit {
		return reasonFull
	}
	return ""
}

// fitsGuarantees reports whether the job fits into the customer's guarantees when
// they are unused.
func (p *Placer) fitsGuarantees(j *job) bool {
	free := 0
	for _, u := range p.tree.Units() {
		if u.Customer() == j.status.Job.Customer && u.Level() >= j.level {
			free += cell.Size(u.Level() - j.level)
		}
	}
	return free >= j.status.Job.Cells
}

// waitingCount returns the number of the customer's waiting jobs.
func (p *Placer) waitingCount(customer string) int {
	n := 0
	for _, queues := range []map[string]*queue{p.queues, p.cpuQueues} {
		if q := queues[customer]; q != nil {
			n += len(q.jobs)
		}
	}
	return n
}

// Cancel ends a job. All members of a gang that is starting or running are stopped. For a
// job that this placer doesn't know it returns ErrNotLeading.
func (p *Placer) Cancel(ctx context.Context, id string) (api.JobStatus, error) {
	var status api.JobStatus
	var failure error
	err := p.runSync(ctx, func() {
		j := p.jobs[id]
		if !p.leading || j == nil {
			failure = ErrNotLeading
			return
		}
		p.cancel(j)
		status = j.status
	})
	return status, firstError(failure, err)
}

func (p *Placer) cancel(j *job) {
	if j.ended() {
		return
	}
	j.cancelled = true
	switch {
	case j.evicting || j.launching:
		// The launch or eviction in flight ends the job when it completes.
	case j.status.State == api.Running:
		p.requeue(j, "cancelled")
	default:
		p.dequeue(j)
		p.endJob(j, api.Cancelled, "caller")
	}
}

// Jobs lists the jobs that the placer knows, including those that ended recently.
func (p *Placer) Jobs(ctx context.Context) (api.JobList, error) {
	var out api.JobList
	err := p.runSync(ctx, func() {
		for _, j := range p.jobs {
			out.Jobs = append(out.Jobs, j.status)
		}
	})
	sort.Slice(out.Jobs, func(i, k int) bool { return out.Jobs[i].Job.ID < out.Jobs[k].Job.ID })
	return out, err
}

// Workers lists the zone's workers.
func (p *Placer) Workers(ctx context.Context) (api.WorkerList, error) {
	var out api.WorkerList
	err := p.runSync(ctx, func() {
		used := map[string]int{}
		leases := map[string]int{}
		for _, j := range p.jobs {
			if !j.placed() {
				continue
			}
			for _, name := range j.workerNames {
				leases[name]++
				used[name] += j.accelerators() / len(j.workerNames)
			}
		}
		for _, r := range p.layout.Racks {
			for _, w := range r.Workers {
				cpuUse := p.account.Used(w.Name)
				out.Workers = append(out.Workers, api.Worker{
					Name: w.Name, Zone: p.cfg.Zone, State: p.stateOf(w.Name), Accelerators: w.Accelerators,
					Used: used[w.Name], Leases: leases[w.Name], Cores: cpuUse.Cores, Memory: cpuUse.Memory,
				})
			}
		}
	})
	return out, err
}

func (p *Placer) stateOf(name string) string {
	w := p.workers[name]
	switch {
	case w == nil:
		return "absent"
	case time.Now().Before(w.quarantinedUntil):
		return "quarantined"
	case w.down:
		return "lost"
	case w.unknown:
		return "unknown"
	}
	return "live"
}

// Customers lists the zone's customers with their guaranteed, bound and suspended
// accelerators.
func (p *Placer) Customers(ctx context.Context) (api.CustomerList, error) {
	var out api.CustomerList
	err := p.runSync(ctx, func() {
		at := map[string]int{}
		for _, name := range slices.Sorted(maps.Keys(p.maxWaiting)) {
			at[name] = len(out.Customers)
			out.Customers = append(out.Customers, api.Customer{Name: name, Zone: p.cfg.Zone})
		}
		for _, u := range p.tree.Units() {
			i, ok := at[u.Customer()]
			if !ok {
				continue
			}
			c := &out.Customers[i]
			c.Guaranteed += cell.Size(u.Level())
			if _, bound := u.Bound(); bound {
				c.Bound += cell.Size(u.Level())
			}
			if u.Suspended() {
				c.Suspended += cell.Size(u.Level())
			}
		}
	})
	return out, err
}

// Orphans returns, once, the open jobs of a lost leadership, which no other process may
// know. The caller passes them to the next placer.
func (p *Placer) Orphans(ctx context.Context) []api.JobStatus {
	var out []api.JobStatus
	_ = p.runSync(ctx, func() {
		out = p.orphans
		p.orphans = nil
	})
	return out
}

// Summary describes the free capacity of a zone.
type Summary struct {
	Cells cell.Summary
	// FreeEighths is the share of the zone's processors or memory that is free for CPU
	// jobs, in eighths, whichever is less.
	FreeEighths int
	// Waiting is the number of waiting jobs.
	Waiting int
}

// Summary returns the zone's free capacity. It returns false if this VM does not lead
// or has not rebuilt its state yet.
func (p *Placer) Summary(ctx context.Context) (Summary, bool) {
	var s Summary
	ok := false
	err := p.runSync(ctx, func() {
		if !p.leading || !p.ready {
			return
		}
		ok = true
		s.Cells = p.tree.Summary()
		s.FreeEighths = p.account.FreeEighths()
		for customer := range p.maxWaiting {
			s.Waiting += p.waitingCount(customer)
		}
	})
	return s, ok && err == nil
}

// Ready reports whether this VM leads and has rebuilt its state.
func (p *Placer) Ready(ctx context.Context) bool {
	_, ok := p.Summary(ctx)
	return ok
}
