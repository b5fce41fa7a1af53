package scheduler

import (
	"math/bits"
	"slices"
	"strings"
	"time"
)

// fitTableIdleRounds is the number of scheduling rounds for which an unused fitTable is
// kept.
const fitTableIdleRounds = 1000

// fitKey has the properties of a task that determine on which workers it fits.
type fitKey struct {
	need           Resources
	level          int
	service, label string
	inQuarantined  bool // also on workers in quarantine
}

// fitTable counts, by worker and by rack, how many tasks with one fitKey fit. Entries for
// workers are indexed by their position in Core.sortedWorkers, those for racks by their
// position in index.racks.
type fitTable struct {
	fitKey
	fitFree    []int64 // tasks that fit into free capacity
	fitPreempt []int64 // tasks that fit once less important work has been stopped
	racks      []rackFit
	total      rackFit
	// buckets has the positions of the workers where a task fits, grouped by the number
	// of accelerators that the task would leave free; the last bucket is for maxBucket and
	// more.
	buckets   [maxBucket + 1]bitset
	bucket    []int8 // index in buckets by worker, valid if a task fits there
	lastRound int64  // last round in which the table was used
}

// maxBucket is the last bucket, which workers with this many accelerators or more, and
// requests of tasks for as many, share. It is twice the number that the largest workers on
// the sites have.
const maxBucket = 16

// bitset is a set of small non-negative integers.
type bitset []uint64

func (b bitset) add(i int)    { b[i/64] |= 1 << (i % 64) }
func (b bitset) remove(i int) { b[i/64] &^= 1 << (i % 64) }

// all iterates over the numbers in the set in ascending order.
func (b bitset) all(yield func(int) bool) {
	for i, word := range b {
		for ; word != 0; word &= word - 1 {
			if !yield(64*i + bits.TrailingZeros64(word)) {
				return
			}
		}
	}
}

// bucketOf returns the bucket of a worker with the given free capacity.
func (ft *fitTable) bucketOf(free Resources) int {
	return int(min(max(free.Accelerators-ft.need.Accelerators, 0), maxBucket))
}

// rackFit sums the counts of a fitTable over the workers of a rack. fitEmpty counts the
// tasks that would fit if nothing were running.
type rackFit struct{ fitFree, fitPreempt, fitEmpty int64 }

// rack is a rack with its registered workers, ordered by ID.
type rack struct {
	name    string
	pos     int // position in index.racks
	workers []*worker
}

// String returns the rack's name for logs. A nil rack stands for any rack.
func (r *rack) String() string {
	if r == nil {
		return ""
	}
	return r.name
}

// index counts the free capacity of workers and updates the counts incrementally, so that
// the cost of a scheduling round depends on what has changed and what is placed, not on the
// size of the pool.
type index struct {
	racks       []*rack // sorted by name
	racksByName map[string]*rack
	fitTables   map[fitKey]*fitTable
	totals      map[string]usableCapacity // by service
	groupSizes  map[workerGroup]int       // registered workers by group
	dirty       []*worker                 // workers to recount
	stale       bool                      // workers were added or removed, or differ in what fits on them; needs a rebuild
	round       int64
	quarantined int // workers that would be schedulable but for their quarantine
}

func newIndex() *index {
	return &index{racksByName: map[string]*rack{}, fitTables: map[fitKey]*fitTable{}, totals: map[string]usableCapacity{}, groupSizes: map[workerGroup]int{}}
}

// markDirty marks the worker for recounting, as the tasks that fit there may have changed.
func (w *worker) markDirty() {
	if !w.dirty {
		w.dirty = true
		w.index.dirty = append(w.index.dirty, w)
	}
}

// fitTableFor returns the up-to-date fitTable for a step's tasks.
func (c *Core) fitTableFor(s *step) *fitTable {
	c.refresh()
	key := fitKey{s.spec.demand(), s.reservationLevel(), s.occ.job.queue.Service, s.spec.Label, s.inQuarantined || s.right.quarantined}
	ft := c.index.fitTables[key]
	if ft == nil {
		ft = &fitTable{fitKey: key}
		c.index.fitTables[key] = ft
		c.countFits(ft)
	}
	ft.lastRound = c.index.round
	return ft
}

// refresh brings the index up to date.
func (c *Core) refresh() {
	ix := c.index
	if ix.stale {
		c.rebuild()
		return
	}
	for _, w := range ix.dirty {
		w.dirty = false
		ix.updateTotals(w)
		for _, ft := range ix.fitTables {
			ft.update(w)
		}
	}
	ix.dirty = ix.dirty[:0]
}

// rebuild recreates the list of racks and recounts all fit tables.
func (c *Core) rebuild() {
	ix := c.index
	ix.stale = false
	for _, w := range ix.dirty {
		w.dirty = false
	}
	ix.dirty = ix.dirty[:0]
	ix.racks = ix.racks[:0]
	clear(ix.racksByName)
	clear(ix.totals)
	clear(ix.groupSizes)
	for pos, w := range c.sortedWorkers {
		w.pos, w.rack, w.usableCapacity = pos, nil, usableCapacity{}
		ix.updateTotals(w)
		if !w.listed {
			continue
		}
		for _, g := range w.groups() {
			ix.groupSizes[g]++
		}
		r := ix.racksByName[w.info.Rack]
		if r == nil {
			r = &rack{name: w.info.Rack}
			ix.racksByName[r.name] = r
			ix.racks = append(ix.racks, r)
		}
		r.workers = append(r.workers, w)
		w.rack = r
	}
	slices.SortFunc(ix.racks, func(a, b *rack) int { return strings.Compare(a.name, b.name) })
	for pos, r := range ix.racks {
		r.pos = pos
	}
	for key, ft := range ix.fitTables {
		if ix.round-ft.lastRound > fitTableIdleRounds {
			delete(ix.fitTables, key)
			continue
		}
		c.countFits(ft)
	}
}

// countFits fills a fitTable from scratch.
func (c *Core) countFits(ft *fitTable) {
	ft.fitFree, ft.fitPreempt = make([]int64, len(c.sortedWorkers)), make([]int64, len(c.sortedWorkers))
	ft.racks, ft.total = make([]rackFit, len(c.index.racks)), rackFit{}
	ft.bucket = make([]int8, len(c.sortedWorkers))
	for i := range ft.buckets {
		ft.buckets[i] = make(bitset, (len(c.sortedWorkers)+63)/64)
	}
	for _, w := range c.sortedWorkers {
		if w.rack == nil {
			continue
		}
		if ft.eligible(w) {
			fitEmpty := fitCount(w.info.Capacity, ft.need)
			ft.racks[w.rack.pos].fitEmpty += fitEmpty
			ft.total.fitEmpty += fitEmpty
		}
		ft.update(w)
	}
}

// eligible reports whether the worker has the service and the label that the table's tasks
// require.
func (ft *fitTable) eligible(w *worker) bool {
	return w.info.serves(ft.service, ft.label)
}

// update recounts one worker.
func (ft *fitTable) update(w *worker) {
	if w.rack == nil {
		return
	}
	var fitFree, fitPreempt int64
	if (w.schedulable || w.quarantined && ft.inQuarantined) && ft.eligible(w) {
		free := w.free(ft.level)
		fitFree = fitCount(free, ft.need)
		fitPreempt = fitFree
		if ft.level <= levelUrgent {
			fitPreempt = fitCount(free.Plus(w.preemptible(ft.level)), ft.need)
		}
	}
	if ft.fitFree[w.pos] > 0 {
		ft.buckets[ft.bucket[w.pos]].remove(w.pos)
	}
	if fitFree > 0 {
		ft.bucket[w.pos] = int8(ft.bucketOf(w.free(ft.level)))
		ft.buckets[ft.bucket[w.pos]].add(w.pos)
	}
	r := &ft.racks[w.rack.pos]
	freeDelta, preemptDelta := fitFree-ft.fitFree[w.pos], fitPreempt-ft.fitPreempt[w.pos]
	ft.fitFree[w.pos], ft.fitPreempt[w.pos] = fitFree, fitPreempt
	r.fitFree += freeDelta
	r.fitPreempt += preemptDelta
	ft.total.fitFree += freeDelta
	ft.total.fitPreempt += preemptDelta
}

// preemptible returns the resources of the runs that are being stopped or that may be
// stopped for work of a level. Runs whose stop is overdue may stay for any time.
func (w *worker) preemptible(level int) Resources {
	var sum Resources
	for _, r := range w.runs {
		if !r.stopOverdue && (!r.stopOrderedAt.IsZero() || r.preemptibleBy(level)) {
			sum = sum.Plus(r.demand)
		}
	}
	return sum
}

// preemptibleBy reports whether the run may be stopped for work of a level.
func (r *run) preemptibleBy(level int) bool {
	if r.task == nil {
		return false
	}
	own := r.task.step.occ.job.level
	return own > level && (own != levelUrgent || level == levelGuaranteed)
}

// fitIn returns the counts of a rack, or of all workers if r is nil.
func (ft *fitTable) fitIn(r *rack) rackFit {
	if r == nil {
		return ft.total
	}
	return ft.racks[r.pos]
}

// workersIn returns the workers of a rack, or all workers if r is nil.
func (c *Core) workersIn(r *rack) []*worker {
	if r == nil {
		return c.sortedWorkers
	}
	return r.workers
}

// updateSchedulable updates which workers may be given new work. This changes with time alone,
// too: suspensions end, and workers that don't report are excluded.
func (c *Core) updateSchedulable(now time.Time) {
	c.index.quarantined = 0
	for _, w := range c.sortedWorkers {
		condition := w.condition(now, c.cfg.ReportTimeout)
		schedulable, quarantined := condition == workerUsable, condition == workerQuarantined
		if schedulable != w.schedulable || quarantined != w.quarantined {
			w.schedulable, w.quarantined = schedulable, quarantined
			w.markDirty()
		}
		if quarantined {
			c.index.quarantined++
		}
	}
}
