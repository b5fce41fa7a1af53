package placer

import (
	"errors"
	"maps"
	"slices"
	"sort"
	"time"

	"rhubarbshore/internal/cell"
	"rhubarbshore/internal/metric"
	"rhubarbshore/pkg/api"
)

// Parameters of the schedule.
const (
	// lookahead is the number of jobs at the front of a queue that a pass tries.
	lookahead  = 32
	minBackoff = 50 * time.Millisecond
	maxBackoff = 5 * time.Second
	// unverifiedRetry is the delay before checking again whether a job may already
	// be running.
	unverifiedRetry = time.Second
	// compactionDelay is how long a large job waits before smaller jobs are moved
	// out of the cell reserved for it, and the time between attempts to do so.
	compactionDelay = time.Minute
	// minMoveAge is how long a job has run before it may be moved.
	minMoveAge = 5 * time.Minute
)

// schedule starts all waiting jobs that fit. Jobs with accelerators are tried in
// three passes: first those that need a whole guaranteed shape, then spare work on
// idle cells, and last work that takes a part of a guaranteed shape because no idle
// cell is left. CPU jobs follow.
func (p *Placer) schedule(now time.Time) {
	p.wakeAt = time.Time{}
	for _, q := range p.orderedQueues() {
		p.scheduleQueue(q, passWhole, now, newFullLevels())
	}
	full := newFullLevels()
	for _, q := range p.orderedQueues() {
		p.scheduleQueue(q, passSpare, now, full)
	}
	for _, q := range p.orderedQueues() {
		p.scheduleQueue(q, passPartial, now, newFullLevels())
	}
	for _, q := range p.orderedCPUQueues() {
		p.scheduleCPUJobs(q, now)
	}
	p.reserve(now)
	p.compact(now)
}

// schedulePass is one of the passes of schedule.
type schedulePass int

// The passes of schedule, in order.
const (
	passWhole schedulePass = iota
	passSpare
	passPartial
)

// eligible reports whether the pass tries the job.
func (p *Placer) eligible(pass schedulePass, j *job) bool {
	wanted := cell.Class(j.status.Job.Class)
	switch pass {
	case passWhole:
		return wanted == cell.Guaranteed || wanted == "" && p.matchesGuarantee(j)
	case passSpare:
		return wanted != cell.Guaranteed
	case passPartial:
		return wanted == ""
	}
	return false
}

// matchesGuarantee reports whether the customer has a guarantee for a cell of
// exactly the job's level.
func (p *Placer) matchesGuarantee(j *job) bool {
	return p.tree.Guaranteed(j.status.Job.Customer, j.level)
}

// fullLevels records the lowest level at which a pass found no cell, so that the
// pass skips jobs that need cells of that level or higher.
type fullLevels struct {
	level int
	// keepLarge is that level for jobs that may not break up large idle cells.
	keepLarge int
}

// newFullLevels returns a fullLevels without any full level.
func newFullLevels() *fullLevels {
	return &fullLevels{level: cell.MaxLevel + 1, keepLarge: cell.MaxLevel + 1}
}

// covers reports whether the level is known to have no cell left.
func (f *fullLevels) covers(level int, keepLarge bool) bool {
	return level >= f.level || keepLarge && level >= f.keepLarge
}

// add records that no cell of the level is left.
func (f *fullLevels) add(level int, keepLarge bool) {
	f.keepLarge = min(f.keepLarge, level)
	if !keepLarge {
		f.level = min(f.level, level)
	}
}

// wakeBy makes the schedule run again at that time at the latest.
func (p *Placer) wakeBy(at time.Time) {
	if p.wakeAt.IsZero() || at.Before(p.wakeAt) {
		p.wakeAt = at
	}
}

// orderedQueues returns the non-empty queues of jobs with accelerators, starting
// with the customer that holds the fewest accelerators.
func (p *Placer) orderedQueues() []*queue {
	held := map[string]float64{}
	for _, j := range p.jobs {
		if j.placed() {
			held[j.status.Job.Customer] += float64(j.accelerators())
		}
	}
	return orderByHeld(p.queues, held)
}

// orderByHeld returns the non-empty queues, ordered by the amount that their
// customers hold, the smallest first.
func orderByHeld(queues map[string]*queue, held map[string]float64) []*queue {
	var out []*queue
	for _, name := range slices.Sorted(maps.Keys(queues)) {
		if len(queues[name].jobs) > 0 {
			out = append(out, queues[name])
		}
	}
	sort.SliceStable(out, func(i, k int) bool { return held[out[i].customer] < held[out[k].customer] })
	return out
}

// scheduleQueue tries the first jobs of the queue in turn. Smaller jobs may overtake
// one that does not fit.
func (p *Placer) scheduleQueue(q *queue, pass schedulePass, now time.Time, full *fullLevels) {
	class := cell.Guaranteed
	if pass == passSpare {
		class = cell.Spare
	}
	for _, j := range append([]*job(nil), q.jobs[:min(lookahead, len(q.jobs))]...) {
		if !j.queued || !p.eligible(pass, j) || !p.canStart(j, now) {
			continue
		}
		ownsReservation := p.reserved != nil && p.reserved.job == j
		keepLarge := p.keepLarge(j, class, now)
		exhausted := full.covers(j.level, keepLarge) && !ownsReservation
		if exhausted && (pass != passSpare || !p.canBackfill(j, now)) {
			continue
		}
		if !p.tryStart(j, class, keepLarge, now) && j.status.Job.Cells == 1 && !ownsReservation {
			full.add(j.level, keepLarge)
		}
	}
}

// canBackfill reports whether the job could use the reserved cell because it is
// expected to end before the rest of that cell is free.
func (p *Placer) canBackfill(j *job, now time.Time) bool {
	return p.reserved != nil && j.level < p.reserved.job.level && p.tree.Backfills(j.level, p.predictEnd(j, now))
}

// canStart reports whether the job's backoff is over and no generation of it can
// still be running.
func (p *Placer) canStart(j *job, now time.Time) bool {
	if p.hasPendingStop(j.status.Job.ID, now) {
		return false
	}
	if now.Before(j.notBefore) {
		p.wakeBy(j.notBefore)
		return false
	}
	if p.mayBeRunning(j, now) {
		p.wakeBy(now.Add(unverifiedRetry))
		return false
	}
	return true
}

// tryStart places the job and starts its launch. It returns false only if no cell of
// that shape is left.
func (p *Placer) tryStart(j *job, class cell.Class, keepLarge bool, now time.Time) bool {
	ownsReservation := p.reserved != nil && p.reserved.job == j && class == cell.Spare
	if ownsReservation {
		p.tree.CancelReservation(p.reserved.cell)
	}
	j.expectedEnd = p.predictEnd(j, now)
	r := cell.Request{
		Job: j.status.Job.ID, Customer: j.status.Job.Customer, Level: j.level, Count: j.status.Job.Cells,
		Class: class, Since: now, ExpectedEnd: j.expectedEnd, Whole: keepLarge,
	}
	start := time.Now()
	placement, err := p.tree.Place(r, now)
	metric.Observe("placer_decision_seconds", start)
	if err != nil {
		if ownsReservation {
			p.tree.Reserve(p.reserved.cell)
		}
		if errors.Is(err, cell.ErrInfeasible) {
			p.dequeue(j)
			p.endJob(j, api.Refused, "infeasible")
		}
		return !errors.Is(err, cell.ErrBusy)
	}
	if ownsReservation {
		p.reserved = nil
	}
	p.dequeue(j)
	p.launch(j, placement, now)
	return true
}

// reserve reserves a cell for the spare job that has waited longest, so that smaller
// jobs don't keep taking the accelerators it needs as they become free.
func (p *Placer) reserve(now time.Time) {
	if p.reserved != nil {
		if p.reserved.job.queued && p.jobs[p.reserved.job.status.Job.ID] == p.reserved.job {
			return
		}
		p.tree.CancelReservation(p.reserved.cell)
		p.reserved = nil
	}
	var oldest *job
	for _, q := range p.queues {
		for _, j := range q.jobs {
			if j.level == 0 || !p.eligible(passSpare, j) || now.Before(j.notBefore) {
				continue
			}
			if oldest == nil || j.status.Submitted.Before(oldest.status.Submitted) {
				oldest = j
			}
		}
	}
	if oldest == nil {
		return
	}
	p.refreshEnds(now)
	if id, ok := p.tree.ReservationCandidate(oldest.level); ok {
		p.tree.Reserve(id)
		p.reserved = &reservation{job: oldest, cell: id}
		p.wakeBy(oldest.status.Submitted.Add(compactionDelay))
	}
}

// compact evicts the small spare jobs from the reserved cell once the large job has
// waited for compactionDelay and enough accelerators are idle for all of them.
func (p *Placer) compact(now time.Time) {
	r := p.reserved
	if r == nil || r.moved || now.Sub(r.job.status.Submitted) < compactionDelay {
		return
	}
	names, ok := p.tree.Movable(r.cell)
	if !ok || p.startedRecently(names, now) {
		p.wakeBy(now.Add(compactionDelay))
		return
	}
	r.moved = true
	metric.Count("placer_compactions_total")
	p.evict(names, now)
}

// startedRecently reports whether one of the jobs started too recently to be moved,
// or is being launched or evicted.
func (p *Placer) startedRecently(names []string, now time.Time) bool {
	for _, name := range names {
		j := p.jobs[name]
		if j == nil || j.launching || j.evicting || now.Sub(j.status.Started) < minMoveAge {
			return true
		}
	}
	return false
}
