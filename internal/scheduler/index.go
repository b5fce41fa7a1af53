package scheduler

import (
	"math/bits"
	"slices"
	"strings"
	"time"
)

// fitTableIdleRounds is how many rounds a shape that nobody asks for is kept.
const fitTableIdleRounds = 1000

// fitKey is what decides where a task fits.
type fitKey struct {
	need           Resources
	level          int
	service, label string
}

// fitTable counts the tasks of a kind that fit, by worker and by rack. Both are indexed by
// position: that of a worker in Core.order, and that of a rack in index.racks.
type fitTable struct {
	fitKey
	fitFree    []int64 // into free capacity
	fitPreempt []int64 // once less important work has been stopped
	racks      []rackFit
	total      rackFit
	// buckets has the workers where a task fits by the accelerators that it would leave
	// free there, in sets of positions; the last set is for maxRest and more.
	buckets   [maxBucket + 1]bitset
	bucket    []int8 // by worker: its set in rest, if a task fits
	lastRound int64  // the round in which it was last asked for
}

// maxBucket is the number of accelerators left free from which on workers count as equal:
// twice those of the largest workers on the sites.
const maxBucket = 16

// bitset is a set of small numbers.
type bitset []uint64

func (b bitset) add(i int)    { b[i/64] |= 1 << (i % 64) }
func (b bitset) remove(i int) { b[i/64] &^= 1 << (i % 64) }

// all lists the numbers in the set, the smallest first.
func (b bitset) all(yield func(int) bool) {
	for i, word := range b {
		for ; word != 0; word &= word - 1 {
			if !yield(64*i + bits.TrailingZeros64(word)) {
				return
			}
		}
	}
}

// bucketOf is the set that a worker with some free capacity belongs to.
func (ft *fitTable) bucketOf(free Resources) int {
	return int(min(max(free.Accelerators-ft.need.Accelerators, 0), maxBucket))
}

// rackFit sums over the workers of a rack. Whole counts the tasks that would fit if
// nothing ran.
type rackFit struct{ fitFree, fitPreempt, fitEmpty int64 }

// rack is a rack with its listed workers, in the order of their IDs.
type rack struct {
	name    string
	pos     int
	workers []*worker
}

// String names the rack in logs; nil stands for any.
func (r *rack) String() string {
	if r == nil {
		return ""
	}
	return r.name
}

// index follows changes of workers, so that a round of scheduling costs what has
// changed and what it places, not what exists.
type index struct {
	racks       []*rack // by name
	racksByName map[string]*rack
	fitTables   map[fitKey]*fitTable
	totals      map[string]usableCapacity // by service
	dirty       []*worker
	stale       bool // workers have come, gone, or moved to another rack
	round       int64
}

func newIndex() *index {
	return &index{racksByName: map[string]*rack{}, fitTables: map[fitKey]*fitTable{}, totals: map[string]usableCapacity{}}
}

// markDirty notes that what fits on the worker may have changed.
func (w *worker) markDirty() {
	if !w.dirty {
		w.dirty = true
		w.index.dirty = append(w.index.dirty, w)
	}
}

// fitTableFor returns the up-to-date shape of a step's tasks.
func (c *Core) fitTableFor(s *step) *fitTable {
	c.refresh()
	key := fitKey{s.spec.demand(), s.occ.job.level, s.occ.job.queue.Service, s.spec.Label}
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

// rebuild lists the racks anew and counts all shapes.
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
	for pos, w := range c.sortedWorkers {
		w.pos, w.rack, w.usableCapacity = pos, nil, usableCapacity{}
		ix.updateTotals(w)
		if !w.listed {
			continue
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

// countFits counts a shape from nothing.
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

// eligible reports whether tasks of the shape may run on the worker at all.
func (ft *fitTable) eligible(w *worker) bool {
	return w.info.Service == ft.service && (ft.label == "" || slices.Contains(w.info.Labels, ft.label))
}

// update counts one worker anew.
func (ft *fitTable) update(w *worker) {
	if w.rack == nil {
		return
	}
	var fitFree, fitPreempt int64
	if w.schedulable && ft.eligible(w) {
		free := w.free(ft.level)
		fitFree = fitCount(free, ft.need)
		fitPreempt = fitFree
		if ft.level <= levelUrgent {
			fitPreempt = fitCount(free.plus(w.preemptible(ft.level)), ft.need)
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

// preemptible is what runs that are being stopped take, and those that may be stopped for
// work of a level.
func (w *worker) preemptible(level int) Resources {
	var sum Resources
	for _, r := range w.runs {
		if !r.stopOrderedAt.IsZero() || r.preemptibleBy(level) {
			sum = sum.plus(r.demand)
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

// fitIn sums a rack, or all workers if it is nil.
func (ft *fitTable) fitIn(r *rack) rackFit {
	if r == nil {
		return ft.total
	}
	return ft.racks[r.pos]
}

// workersIn lists the workers of a rack, or all if it is nil.
func (c *Core) workersIn(r *rack) []*worker {
	if r == nil {
		return c.sortedWorkers
	}
	return r.workers
}

// schedulable notes which workers may be given work now. It changes with time alone, too.
func (c *Core) schedulable(now time.Time) {
	for _, w := range c.sortedWorkers {
		if schedulable := w.usable(now, c.cfg.Silence); schedulable != w.schedulable {
			w.schedulable = schedulable
			w.markDirty()
		}
	}
}
