package scheduler

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// stallCheckInterval is the minimum time between two checks for stalled jobs.
	stallCheckInterval = time.Second
	// minStall is how long a job has nothing running before it counts as stalled. A start and
	// the first report of its run take less.
	minStall = 2 * time.Second
)

// Conditions of a run that counts against its worker's capacity, in logs and metrics. Only a
// confirmed one is known to be running.
const (
	runConfirmed   = "confirmed"   // in the newest report of its worker
	runUnlisted    = "unlisted"    // its worker is not in the registry
	runUnsynced    = "unsynced"    // its worker has not reported to this leader yet
	runSilent      = "silent"      // its worker has not reported for too long
	runStopping    = "stopping"    // its stop is ordered
	runUnanswered  = "unanswered"  // its start has no answer yet
	runUnconfirmed = "unconfirmed" // its worker reports, but not this run
)

var (
	runConditions    = []string{runConfirmed, runUnlisted, runUnsynced, runSilent, runStopping, runUnanswered, runUnconfirmed}
	workerConditions = []string{
		workerUsable, workerUnlisted, workerUnsynced, workerOutdated, workerUnknownRuns, workerDraining, workerSuspended, workerQuarantined, workerSilent,
	}
)

// condition returns what keeps the run from being known to be running, if anything does.
func (r *run) condition(now time.Time, reportTimeout time.Duration) string {
	w := r.worker
	silent := now.Sub(w.reportedAt) >= reportTimeout
	switch {
	case w.synced && !silent && !r.reportedAt.IsZero() && r.reportedAt.Equal(w.reportedAt):
		return runConfirmed
	case !w.listed:
		return runUnlisted
	case !w.synced:
		return runUnsynced
	case silent:
		return runSilent
	case !r.stopOrderedAt.IsZero():
		return runStopping
	case !r.startAnswered:
		return runUnanswered
	}
	return runUnconfirmed
}

// runHistory tells how the last starts of a job, or of a task that runs until it is cancelled,
// went.
type runHistory struct {
	listedAt  time.Time // when a report last listed a run
	starts    int       // starts since then
	lastStart string    // answer to the last start
	lastEnd   Cause
	endReason string // why the run that ended last was stopped
}

// history returns the history that the task's runs belong to.
func (t *task) history() *runHistory {
	if !t.step.spec.LongRunning {
		return &t.step.occ.job.history
	}
	if t.ownHistory == nil {
		t.ownHistory = &runHistory{}
	}
	return t.ownHistory
}

// started records a start.
func (h *runHistory) started() {
	h.starts++
	h.lastStart = "pending"
}

// listed records that a report lists a run of the task.
func (t *task) listed(now time.Time) {
	t.begun = true
	t.step.occ.job.history.listedAt = now
	h := t.history()
	h.listedAt, h.starts = now, 0
}

// Stalls describes the jobs that have nothing running although a step is ready, and what they
// may be waiting for.
type Stalls struct {
	// Jobs counts the stalled jobs.
	Jobs int
	// Runs counts the runs, and Workers the workers, by condition.
	Runs, Workers map[string]int
	// Job is the stalled job to log, or nil. Jobs take turns, the one that has waited longest
	// first.
	Job *StalledJob
}

// StalledJob describes a stalled job.
type StalledJob struct {
	attrs []any
}

// Attrs returns the job's description as attributes of a log line.
func (s *StalledJob) Attrs() []any { return slices.Clone(s.attrs) }

// stall is a task that could run, and since when its job has had nothing running. A task that
// runs until it is cancelled stalls by itself, whatever else of its job runs.
type stall struct {
	task  *task
	since time.Time
}

// NoStalls returns a report with a count of zero for each condition.
func NoStalls() *Stalls {
	return &Stalls{Runs: zeroCounts(runConditions), Workers: zeroCounts(workerConditions)}
}

// CheckStalls looks for stalled jobs, at most once per stallCheckInterval. It returns nil if the
// next check isn't due. It changes no decision.
func (c *Core) CheckStalls(now time.Time) *Stalls {
	if now.Before(c.nextStallCheck) {
		return nil
	}
	c.nextStallCheck = now.Add(stallCheckInterval)
	report := NoStalls()
	for _, w := range c.sortedWorkers {
		report.Workers[w.condition(now, c.cfg.ReportTimeout)]++
		for _, r := range w.sortedRuns() {
			report.Runs[r.condition(now, c.cfg.ReportTimeout)]++
		}
	}
	var next *stall
	for _, j := range c.active {
		if s := c.findStall(now, j); s != nil && now.Sub(s.since) >= minStall {
			report.Jobs++
			if next == nil || s.compare(next) < 0 {
				next = s
			}
		}
	}
	if next != nil {
		next.task.step.occ.job.stallLoggedAt = now
		report.Job = &StalledJob{attrs: c.describeStall(now, next)}
	}
	return report
}

// compare orders stalls by when they were last logged, then by their age.
func (s *stall) compare(o *stall) int {
	j, other := s.task.step.occ.job, o.task.step.occ.job
	return cmp.Or(j.stallLoggedAt.Compare(other.stallLoggedAt), s.since.Compare(o.since), strings.Compare(j.spec.ID, other.spec.ID))
}

// zeroCounts returns a count of zero for each key, so that counts that fall to zero are
// published, too.
func zeroCounts(keys []string) map[string]int {
	n := make(map[string]int, len(keys))
	for _, key := range keys {
		n[key] = 0
	}
	return n
}

// findStall returns the oldest stall of the job, or nil.
func (c *Core) findStall(now time.Time, j *job) *stall {
	if j.state.Final() {
		return nil
	}
	var lasting, other *stall
	running := false
	for _, o := range j.occs {
		due := j.spec.Repeat == 0 || !now.Before(o.due)
		for _, s := range o.steps {
			first, hasRun := c.unconfirmedTask(now, s)
			running = running || hasRun
			if !due || !s.ready() {
				continue
			}
			if s.turnAt.IsZero() {
				s.turnAt = now
			}
			switch {
			case first == nil:
			case s.spec.LongRunning:
				lasting = older(lasting, &stall{first, later(s.turnAt, first.history().listedAt)})
			default:
				other = older(other, &stall{first, later(s.turnAt, j.history.listedAt)})
			}
		}
	}
	if running {
		return lasting
	}
	return older(lasting, other)
}

// unconfirmedTask returns the task of a step that has waited longest without a confirmed run, and
// whether any has one.
func (c *Core) unconfirmedTask(now time.Time, s *step) (first *task, running bool) {
	for _, t := range s.tasks {
		switch {
		case t.activeRun != nil && t.activeRun.condition(now, c.cfg.ReportTimeout) == runConfirmed:
			running = true
		case t.phase == done:
		case first == nil || t.history().listedAt.Before(first.history().listedAt):
			first = t
		}
	}
	return first, running
}

func older(a, b *stall) *stall {
	if a == nil || (b != nil && b.since.Before(a.since)) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// describeStall returns the attributes that tell why a job may have nothing running.
func (c *Core) describeStall(now time.Time, stalled *stall) []any {
	t := stalled.task
	s := t.step
	j, h := s.occ.job, t.history()
	attrs := []any{
		"job", j.spec.ID, "step", s.index, "task", t.name, "queue", j.queue.Name, "customer", j.spec.Customer,
		"gang", s.spec.Gang, "lasting", s.spec.LongRunning, "tasks", len(s.tasks) - s.done,
		"stalled_ms", now.Sub(stalled.since).Milliseconds(), "ready_ms", millisSince(now, s.readySince),
		"starts", h.starts, "last_start", h.lastStart, "last_end", string(h.lastEnd), "end_reason", h.endReason,
	}
	attrs = append(attrs, c.describeRuns(now, j)...)
	attrs = append(attrs, c.describeFit(s)...)
	return append(attrs, c.describeService(now, j.queue.Service)...)
}

// millisSince returns the milliseconds since a time, or -1 if the time isn't set.
func millisSince(now, at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds()
}

// describeRuns describes the job's runs, of which its worker need not know, and the worker of the
// first that isn't confirmed.
func (c *Core) describeRuns(now time.Time, j *job) []any {
	n := zeroCounts(runConditions)
	total, worker, reportAge := 0, "", int64(-1)
	for _, o := range j.occs {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if t.activeRun == nil {
					continue
				}
				condition := t.activeRun.condition(now, c.cfg.ReportTimeout)
				if condition != runConfirmed && worker == "" {
					worker, reportAge = t.activeRun.worker.id, millisSince(now, t.activeRun.worker.reportedAt)
				}
				n[condition]++
				total++
			}
		}
	}
	attrs := []any{"runs", total}
	for _, condition := range runConditions {
		attrs = append(attrs, "runs_"+condition, n[condition])
	}
	return append(attrs, "worker", worker, "worker_report_ms", reportAge)
}

// describeFit describes where the step's tasks fit, and what keeps them from starting there.
func (c *Core) describeFit(s *step) []any {
	ft := c.fitTableFor(s)
	fitsRack := int64(-1)
	if r := c.index.racksByName[s.homeRack()]; r != nil {
		fitsRack = ft.fitIn(r).fitFree
	}
	reservedFor := ""
	if h := c.gangReservations[s.occ.job.queue.Service]; h != nil && h.step != s {
		reservedFor = h.step.occ.job.spec.ID
	}
	return []any{
		"fits", ft.total.fitFree, "fits_empty", ft.total.fitEmpty, "rack", s.homeRack(), "fits_rack", fitsRack, "label", s.spec.Label,
		"must_start", s.right.anywhere, "headroom", s.headroomBlocks, "free_limit", s.freeLimit,
		"reserved", s.tasks[0].reservation != nil, "reserved_for", reservedFor,
	}
}

// describeService describes how much of a service is in use, how much of that by runs that aren't
// confirmed, and the conditions of its workers.
func (c *Core) describeService(now time.Time, service string) []any {
	n := zeroCounts(workerConditions)
	var unconfirmed Resources
	for _, w := range c.sortedWorkers {
		if w.info.Service != service {
			continue
		}
		n[w.condition(now, c.cfg.ReportTimeout)]++
		for _, r := range w.sortedRuns() {
			if r.condition(now, c.cfg.ReportTimeout) != runConfirmed {
				unconfirmed = unconfirmed.Plus(r.demand)
			}
		}
	}
	sum := c.index.totals[service]
	used, all := sum.used, sum.registered
	attrs := []any{
		"idle_ms", millisSince(now, c.idleSince[service].eachKind()), "idle_together_ms", millisSince(now, c.idleSince[service].together),
		"used_cpu_pct", share(used.CPU, all.CPU), "used_memory_pct", share(used.Memory, all.Memory),
		"used_accelerators_pct", share(used.Accelerators, all.Accelerators),
		"unconfirmed_pct", max(share(unconfirmed.CPU, all.CPU), share(unconfirmed.Memory, all.Memory), share(unconfirmed.Accelerators, all.Accelerators)),
	}
	for _, condition := range workerConditions {
		attrs = append(attrs, "workers_"+strings.ReplaceAll(condition, " ", "_"), n[condition])
	}
	return attrs
}

// share returns part as a percentage of all, or 0 if there is none.
func share(part, all int64) int64 {
	if all == 0 {
		return 0
	}
	return 100 * part / all
}
