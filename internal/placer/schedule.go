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
	depth        = 32
	firstBackOff = 50 * time.Millisecond
	maxBackOff   = 5 * time.Second
	lookUnseen   = time.Second
	patience     = time.Minute
	settleIn     = 5 * time.Minute
)

// schedule starts what can be started: first work that needs a guaranteed shape
// whole, then spare work on what is idle, and last work that uses a part of a
// guaranteed shape because nothing is idle.
func (p *Placer) schedule(now time.Time) {
	p.wake = time.Time{}
	for _, q := range p.inOrder() {
		p.scheduleQueue(q, whole, now, open())
	}
	full := open()
	for _, q := range p.inOrder() {
		p.scheduleQueue(q, spare, now, full)
	}
	for _, q := range p.inOrder() {
		p.scheduleQueue(q, partly, now, open())
	}
	for _, q := range p.plainInOrder() {
		p.schedulePlain(q, now)
	}
	p.reserve(now)
	p.compact(now)
}

// pass is one of the passes of a schedule.
type pass int

// The passes of a schedule, in their order.
const (
	whole pass = iota
	spare
	partly
)

// takes reports whether the job is tried in the pass.
func (p *Placer) takes(in pass, j *job) bool {
	wanted := cell.Class(j.status.Job.Class)
	switch in {
	case whole:
		return wanted == cell.Guaranteed || wanted == "" && p.exact(j)
	case spare:
		return wanted != cell.Guaranteed
	case partly:
		return wanted == ""
	}
	return false
}

// exact reports whether the customer is guaranteed a cell of just the job's
// level.
func (p *Placer) exact(j *job) bool {
	return p.tree.Guaranteed(j.status.Job.Customer, j.level)
}

// blocked remembers the lowest level of which no cell was left in a pass, so
// that larger shapes are not tried in vain.
type blocked struct {
	level int
	// gentle is the level for work that breaks up no large idle cell.
	gentle int
}

// open returns a memory of nothing blocked yet.
func open() *blocked { return &blocked{level: cell.MaxLevel + 1, gentle: cell.MaxLevel + 1} }

// stops reports whether a cell of the level would be looked for in vain.
func (b *blocked) stops(level int, gentle bool) bool {
	return level >= b.level || gentle && level >= b.gentle
}

// note remembers that no cell of the level was left.
func (b *blocked) note(level int, gentle bool) {
	b.gentle = min(b.gentle, level)
	if !gentle {
		b.level = min(b.level, level)
	}
}

// pauseUntil has the schedule run again at that time.
func (p *Placer) pauseUntil(at time.Time) {
	if p.wake.IsZero() || at.Before(p.wake) {
		p.wake = at
	}
}

// inOrder lists the customers with waiting jobs, the one that holds fewest
// accelerators in front.
func (p *Placer) inOrder() []*queue {
	held := map[string]float64{}
	for _, j := range p.jobs {
		if j.placed() {
			held[j.status.Job.Customer] += float64(j.accelerators())
		}
	}
	return leastHeld(p.queues, held)
}

// leastHeld lists the queues with jobs, that of the customer that holds least in
// front.
func leastHeld(queues map[string]*queue, held map[string]float64) []*queue {
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
func (p *Placer) scheduleQueue(q *queue, in pass, now time.Time, full *blocked) {
	class := cell.Guaranteed
	if in == spare {
		class = cell.Spare
	}
	for _, j := range append([]*job(nil), q.jobs[:min(depth, len(q.jobs))]...) {
		if !j.queued || !p.takes(in, j) || !p.may(j, now) {
			continue
		}
		reserved := p.kept != nil && p.kept.job == j
		gentle := p.gentle(j, class, now)
		vain := full.stops(j.level, gentle) && !reserved
		if vain && (in != spare || !p.fitsBehind(j, now)) {
			continue
		}
		if !p.try(j, class, gentle, now) && j.status.Job.Cells == 1 && !reserved {
			full.note(j.level, gentle)
		}
	}
}

// fitsBehind reports whether the job is likely to end before the reserved cell is
// free for the job that it is reserved for.
func (p *Placer) fitsBehind(j *job, now time.Time) bool {
	return p.kept != nil && j.level < p.kept.job.level && p.tree.Backfills(j.level, p.expect(j, now))
}

// may reports whether the job's pause is over and it can't be running already.
func (p *Placer) may(j *job, now time.Time) bool {
	if p.halted(j.status.Job.ID, now) {
		return false
	}
	if now.Before(j.notBefore) {
		p.pauseUntil(j.notBefore)
		return false
	}
	if p.mayRunUnseen(j, now) {
		p.pauseUntil(now.Add(lookUnseen))
		return false
	}
	return true
}

// try places the job and starts its launch. It reports false if no cell of that
// shape is left.
func (p *Placer) try(j *job, class cell.Class, gentle bool, now time.Time) bool {
	mine := p.kept != nil && p.kept.job == j && class == cell.Spare
	if mine {
		p.tree.Unkeep(p.kept.cell)
	}
	j.ends = p.expect(j, now)
	r := cell.Request{
		Job: j.status.Job.ID, Customer: j.status.Job.Customer, Level: j.level, Count: j.status.Job.Cells,
		Class: class, Since: now, Ends: j.ends, Whole: gentle,
	}
	begun := time.Now()
	placement, err := p.tree.Place(r, now)
	metric.Observe("placer_decision_seconds", begun)
	if err != nil {
		if mine {
			p.tree.Keep(p.kept.cell)
		}
		if errors.Is(err, cell.ErrInfeasible) {
			p.unqueue(j)
			p.ended(j, api.Refused, "infeasible")
		}
		return !errors.Is(err, cell.ErrBusy)
	}
	if mine {
		p.kept = nil
	}
	p.unqueue(j)
	p.launch(j, placement, now)
	return true
}

// reserve keeps a cell for the spare job that has waited longest, so that
// smaller jobs don't take every place that becomes free before it.
func (p *Placer) reserve(now time.Time) {
	if p.kept != nil {
		if p.kept.job.queued && p.jobs[p.kept.job.status.Job.ID] == p.kept.job {
			return
		}
		p.tree.Unkeep(p.kept.cell)
		p.kept = nil
	}
	var oldest *job
	for _, q := range p.queues {
		for _, j := range q.jobs {
			if j.level == 0 || !p.takes(spare, j) || now.Before(j.notBefore) {
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
	p.expectAgain(now)
	if id, ok := p.tree.Nearest(oldest.level); ok {
		p.tree.Keep(id)
		p.kept = &reservation{job: oldest, cell: id}
		p.pauseUntil(oldest.status.Submitted.Add(patience))
	}
}

// compact moves small spare jobs out of the reserved cell once the large job
// has waited for a while and there is capacity for them elsewhere.
func (p *Placer) compact(now time.Time) {
	r := p.kept
	if r == nil || r.moved || now.Sub(r.job.status.Submitted) < patience {
		return
	}
	names, ok := p.tree.Movable(r.cell)
	if !ok || p.settling(names, now) {
		p.pauseUntil(now.Add(patience))
		return
	}
	r.moved = true
	metric.Count("placer_compactions_total")
	p.evict(names, now)
}

// settling reports whether one of the jobs started too lately to be moved.
func (p *Placer) settling(names []string, now time.Time) bool {
	for _, name := range names {
		j := p.jobs[name]
		if j == nil || j.launching || j.evicting || now.Sub(j.status.Started) < settleIn {
			return true
		}
	}
	return false
}
