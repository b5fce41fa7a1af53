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

// Tuning of the schedule.
const (
	lookahead       = 32
	minBackoff      = 50 * time.Millisecond
	maxBackoff      = 5 * time.Second
	unverifiedRetry = time.Second
	compactionDelay = time.Minute
	minMoveAge      = 5 * time.Minute
)

// schedule starts what can be started: first work that needs a guaranteed shape
// whole, then spare work on what is idle, and last work that uses a part of a
// guaranteed shape because nothing is idle.
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

// pass is one of the passes of a schedule.
type schedulePass int

// The passes of a schedule, in their order.
const (
	passWhole schedulePass = iota
	passSpare
	passPartial
)

// takes reports whether the job is tried in the pass.
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

// exact reports whether the customer is guaranteed a cell of just the job's
// level.
func (p *Placer) matchesGuarantee(j *job) bool {
	return p.tree.Guaranteed(j.status.Job.Customer, j.level)
}

// blocked remembers the lowest level of which no cell was left in a pass, so
// that larger shapes are not tried in vain.
type fullLevels struct {
	level int
	// gentle is the level for work that breaks up no large idle cell.
	keepLarge int
}

// open returns a memory of nothing blocked yet.
func newFullLevels() *fullLevels {
	return &fullLevels{level: cell.MaxLevel + 1, keepLarge: cell.MaxLevel + 1}
}

// stops reports whether a cell of the level would be looked for in vain.
func (b *fullLevels) covers(level int, keepLarge bool) bool {
	return level >= b.level || keepLarge && level >= b.keepLarge
}

// note remembers that no cell of the level was left.
func (b *fullLevels) add(level int, keepLarge bool) {
	b.keepLarge = min(b.keepLarge, level)
	if !keepLarge {
		b.level = min(b.level, level)
	}
}

// pauseUntil has the schedule run again at that time.
func (p *Placer) wakeBy(at time.Time) {
	if p.wakeAt.IsZero() || at.Before(p.wakeAt) {
		p.wakeAt = at
	}
}

// inOrder lists the customers with waiting jobs, the one that holds fewest
// accelerators in front.
func (p *Placer) orderedQueues() []*queue {
	held := map[string]float64{}
	for _, j := range p.jobs {
		if j.placed() {
			held[j.status.Job.Customer] += float64(j.accelerators())
		}
	}
	return orderByHeld(p.queues, held)
}

// leastHeld lists the queues with jobs, that of the customer that holds least in
// front.
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

// scheduleQueue tries the customer's first jobs in turn; smaller ones behind a
// job that does not fit may go before it.
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

// fitsBehind reports whether the job is likely to end before the reserved cell is
// free for the job that it is reserved for.
func (p *Placer) canBackfill(j *job, now time.Time) bool {
	return p.reserved != nil && j.level < p.reserved.job.level && p.tree.Backfills(j.level, p.predictEnd(j, now))
}

// may reports whether the job's pause is over and it can't be running already.
func (p *Placer) canStart(j *job, now time.Time) bool {
	if p.mayStillRun(j.status.Job.ID, now) {
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

// try places the job and starts its launch. It reports false if no cell of that
// shape is left.
func (p *Placer) tryStart(j *job, class cell.Class, keepLarge bool, now time.Time) bool {
	ownsReservation := p.reserved != nil && p.reserved.job == j && class == cell.Spare
	if ownsReservation {
		p.tree.Unkeep(p.reserved.cell)
	}
	j.expectedEnd = p.predictEnd(j, now)
	r := cell.Request{
		Job: j.status.Job.ID, Customer: j.status.Job.Customer, Level: j.level, Count: j.status.Job.Cells,
		Class: class, Since: now, Ends: j.expectedEnd, Whole: keepLarge,
	}
	start := time.Now()
	placement, err := p.tree.Place(r, now)
	metric.Observe("placer_decision_seconds", start)
	if err != nil {
		if ownsReservation {
			p.tree.Keep(p.reserved.cell)
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

// reserve keeps a cell for the spare job that has waited longest, so that
// smaller jobs don't take every place that becomes free before it.
func (p *Placer) reserve(now time.Time) {
	if p.reserved != nil {
		if p.reserved.job.queued && p.jobs[p.reserved.job.status.Job.ID] == p.reserved.job {
			return
		}
		p.tree.Unkeep(p.reserved.cell)
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
	if id, ok := p.tree.Nearest(oldest.level); ok {
		p.tree.Keep(id)
		p.reserved = &reservation{job: oldest, cell: id}
		p.wakeBy(oldest.status.Submitted.Add(compactionDelay))
	}
}

// compact moves small spare jobs out of the reserved cell once the large job
// has waited for a while and there is capacity for them elsewhere.
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

// settling reports whether one of the jobs started too lately to be moved.
func (p *Placer) startedRecently(names []string, now time.Time) bool {
	for _, name := range names {
		j := p.jobs[name]
		if j == nil || j.launching || j.evicting || now.Sub(j.status.Started) < minMoveAge {
			return true
		}
	}
	return false
}
