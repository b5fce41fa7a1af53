package cell

import (
	"sort"
	"time"
)

// maxCandidates bounds how many cells are compared for one placement.
const maxCandidates = 16

// avoidedCost keeps guaranteed work off avoided accelerators unless there are no others.
const avoidedCost = 1e12

// reservedCost keeps guaranteed work off accelerators that are reserved for a large
// waiting job, unless the alternative loses much work.
const reservedCost = 1e6

// Class says whether a job may be stopped to make room for others.
type Class string

// Guaranteed jobs run within their customer's guaranteed shapes and are not stopped for
// others. Spare jobs may be reclaimed.
const (
	Guaranteed Class = "guaranteed"
	Spare      Class = "spare"
)

// Rank holds the site's weights for placement. Lost and Broken are the costs of placing a
// guaranteed job: work lost by stopping spare jobs, and larger cells that are split.
// Whole trades waiting time of spare work for large cells that stay idle.
type Rank struct {
	// Lost is the cost of each accelerator-second of work since the last checkpoint.
	Lost float64
	// Broken is the cost of each accelerator of the largest cell that is split.
	Broken float64
	// Whole is how long a spare job waits before it may split an idle cell of the largest
	// guaranteed level.
	Whole time.Duration
}

// Request asks for Count cells of Level for one job, all or none.
type Request struct {
	Job      string
	Customer string
	Level    int
	Count    int
	Class    Class
	// Since is when the job started or last saved a checkpoint.
	Since time.Time
	// ExpectedEnd is when the job is expected to end, zero if unknown.
	ExpectedEnd time.Time
	// Whole prevents a spare job from splitting an idle cell of the largest guaranteed
	// level.
	Whole bool
}

// Part is one cell of a placement. UnitLevel is the level of the guaranteed unit that
// contains the part, and UnitCell is the cell that this unit is bound to. UnitCell is none
// for spare work.
type Part struct {
	Cell      ID
	UnitLevel int
	UnitCell  ID
	unit      *Unit
}

// Placement is the result of a Request: the cells, and the spare jobs that must be
// stopped before the job can start.
type Placement struct {
	Class Class
	Parts []Part
	Evict []string
}

type job struct {
	customer       string
	class          Class
	parts          []Part
	checkpointedAt time.Time
	expectedEnd    int64
}

func newJob(r Request) *job {
	return &job{customer: r.Customer, class: r.Class, checkpointedAt: r.Since, expectedEnd: unixSeconds(r.ExpectedEnd)}
}

// Feasible reports whether the zone could hold the shape with every worker up and nothing
// else running.
func (t *Tree) Feasible(level, count int) bool {
	return level >= 0 && level <= MaxLevel && count > 0 && len(t.cellsByLevel[level]) >= count
}

// Place chooses cells for the job, all or none, and registers them as held by it.
func (t *Tree) Place(r Request, now time.Time) (Placement, error) {
	if !t.Feasible(r.Level, r.Count) {
		return Placement{}, ErrInfeasible
	}
	if t.jobs[r.Job] != nil {
		return Placement{}, ErrHeld
	}
	j := newJob(r)
	t.jobs[r.Job] = j
	for range r.Count {
		p, ok := t.choose(r, now)
		if !ok {
			t.Release(r.Job)
			return Placement{}, ErrBusy
		}
		t.hold(r.Job, j, p)
	}
	return Placement{Class: r.Class, Parts: j.parts, Evict: t.evictions(j)}, nil
}

func (t *Tree) choose(r Request, now time.Time) (Part, bool) {
	if r.Class == Spare {
		id, ok := t.chooseSpare(r)
		return Part{Cell: id, UnitCell: none}, ok
	}
	return t.chooseGuaranteed(r, now)
}

// leftmost returns the leftmost cell of the level within id.
func (t *Tree) leftmost(id ID, level int) ID {
	for t.cells[id].level > level {
		id = t.cells[id].left
	}
	return id
}

// chooseGuaranteed prefers free accelerators in a cell that is already bound for the
// customer. Otherwise it binds the smallest unbound unit that is large enough.
func (t *Tree) chooseGuaranteed(r Request, now time.Time) (Part, bool) {
	var unused *Unit
	for _, u := range t.units {
		if u.customer != r.Customer || u.level < r.Level {
			continue
		}
		if u.cell == none {
			if !u.suspended && (unused == nil || u.level < unused.level) {
				unused = u
			}
			continue
		}
		if id, ok := t.cheapestFreeCell(u.cell, r.Level, now); ok {
			return newPart(u, id), true
		}
	}
	if unused == nil {
		return Part{}, false
	}
	bound, ok := t.chooseBinding(unused.level, now)
	if !ok {
		return Part{}, false
	}
	t.bind(unused, bound)
	id, ok := t.cheapestFreeCell(bound, r.Level, now)
	return newPart(unused, id), ok
}

func newPart(u *Unit, id ID) Part {
	return Part{Cell: id, UnitLevel: u.level, UnitCell: u.cell, unit: u}
}

// cheapestFreeCell finds the cell of the level within a bound cell that no guaranteed
// work holds and that costs least. It avoids splitting larger free cells where it can.
func (t *Tree) cheapestFreeCell(bound ID, level int, now time.Time) (ID, bool) {
	best, bestCost := ID(none), 0.0
	var walk func(id ID, largest int)
	walk = func(id ID, largest int) {
		n := &t.cells[id]
		if n.guaranteed == 0 && n.down == 0 {
			largest = max(largest, n.level)
		}
		if n.level == level {
			cost := t.cost(id, largest, now)
			if n.guaranteed == 0 && n.down == 0 && (best == none || cost < bestCost) {
				best, bestCost = id, cost
			}
			return
		}
		walk(n.left, largest)
		walk(n.right, largest)
	}
	walk(bound, level)
	return best, best != none
}

// chooseBinding finds the cheapest cell to which a unit of the level may be bound while
// every other unbound unit stays reclaimable.
func (t *Tree) chooseBinding(level int, now time.Time) (ID, bool) {
	top := t.ceiling(level)
	best, bestCost := ID(none), 0.0
	for _, c := range t.candidates(level, top) {
		id := t.leastLoaded(c, level)
		cost := t.cost(id, t.largestAvailable(id), now)
		if best == none || cost < bestCost {
			best, bestCost = id, cost
		}
	}
	return best, best != none
}

// candidates lists the maximal cells to bind within, those without spare work first, then
// by size, smallest first. Maximal cells above the level top are left out. A clear cell
// inside a larger available cell counts by the level of the larger one, since that is the
// cell that would be split.
func (t *Tree) candidates(level, top int) []ID {
	var out []ID
	for _, f := range []*freelist{&t.clear, &t.withSpare} {
		added := 0
		for k := level; k <= MaxLevel && added < maxCandidates/2; k++ {
			for i := len(f.levels[k]) - 1; i >= 0 && added < maxCandidates/2; i-- {
				if t.largestAvailable(f.levels[k][i]) <= top {
					out = append(out, f.levels[k][i])
					added++
				}
			}
		}
	}
	return out
}

// largestAvailable returns the level of the largest available cell around id, or the
// level of id itself.
func (t *Tree) largestAvailable(id ID) int {
	level := t.cells[id].level
	for up := t.cells[id].parent; up != none && t.cells[up].available(); up = t.cells[up].parent {
		level = t.cells[up].level
	}
	return level
}

// leastLoaded returns the cell of the level within id that is reached by descending into
// the child with fewer avoided accelerators, then fewer reserved ones, then less spare
// work.
func (t *Tree) leastLoaded(id ID, level int) ID {
	for t.cells[id].level > level {
		n := &t.cells[id]
		left, right := &t.cells[n.left], &t.cells[n.right]
		id = n.left
		if lessLoaded(right, left) {
			id = n.right
		}
	}
	return id
}

func lessLoaded(a, b *node) bool {
	if a.avoided != b.avoided {
		return a.avoided < b.avoided
	}
	if a.reserved != b.reserved {
		return a.reserved < b.reserved
	}
	return a.spare < b.spare
}

// cost is the cost of using the cell, weighted by the tree's Rank.
func (t *Tree) cost(id ID, largest int, now time.Time) float64 {
	broken := float64(Size(largest) - Size(t.cells[id].level))
	cost := t.rank.Broken*broken + avoidedCost*float64(t.cells[id].avoided) + reservedCost*float64(t.cells[id].reserved)
	if t.cells[id].spare == 0 {
		return cost
	}
	for _, name := range t.spareJobsIn(id) {
		j := t.jobs[name]
		cost += t.rank.Lost * float64(t.jobSize(j)) * now.Sub(j.checkpointedAt).Seconds()
		cost += float64(t.jobSize(j))
	}
	return cost
}

func (t *Tree) jobSize(j *job) int {
	n := 0
	for _, p := range j.parts {
		n += Size(t.cells[p.Cell].level)
	}
	return n
}

// spareJobsIn lists the spare jobs that hold an accelerator of the cell.
func (t *Tree) spareJobsIn(id ID) []string {
	seen := map[string]bool{}
	var out []string
	for _, leaf := range t.leaves(id, nil) {
		name := t.spareJobs[leaf]
		if name != "" && !seen[name] {
			seen[name] = true
			out = append(out, name)
		}
	}
	return out
}

func (t *Tree) evictions(j *job) []string {
	seen := map[string]bool{}
	var out []string
	for _, p := range j.parts {
		if p.unit == nil {
			continue
		}
		for _, name := range t.spareJobsIn(p.Cell) {
			if !seen[name] {
				seen[name] = true
				out = append(out, name)
			}
		}
	}
	sort.Strings(out)
	return out
}

// hold registers the part as held by the job.
func (t *Tree) hold(name string, j *job, p Part) {
	j.parts = append(j.parts, p)
	t.setEnd(p, j.expectedEnd)
	if p.unit != nil {
		p.unit.jobCount++
		t.adjust(p.Cell, func(n *node, size int32) { n.guaranteed += size })
		return
	}
	t.adjust(p.Cell, func(n *node, size int32) { n.spare += size })
	for _, leaf := range t.leaves(p.Cell, nil) {
		t.spareJobs[leaf] = name
	}
}

// Release frees all cells that the job holds. Unknown jobs are ignored.
func (t *Tree) Release(name string) {
	j := t.jobs[name]
	if j == nil {
		return
	}
	delete(t.jobs, name)
	for _, p := range j.parts {
		t.free(p)
	}
}

func (t *Tree) free(p Part) {
	t.setEnd(p, 0)
	if p.unit == nil {
		t.adjust(p.Cell, func(n *node, size int32) { n.spare -= size })
		for _, leaf := range t.leaves(p.Cell, nil) {
			delete(t.spareJobs, leaf)
		}
		return
	}
	t.adjust(p.Cell, func(n *node, size int32) { n.guaranteed -= size })
	p.unit.jobCount--
	if p.unit.jobCount == 0 {
		t.unbind(p.unit)
	}
}

// Checkpointed records that the job's work up to now is saved.
func (t *Tree) Checkpointed(name string, now time.Time) {
	if j := t.jobs[name]; j != nil {
		j.checkpointedAt = now
	}
}

// Restore registers a job that already holds its cells, as read back from the workers'
// lease tables. A guaranteed job whose cell can no longer be bound is registered as
// spare, for example after a zone was split and both sides placed jobs in the same
// guarantee. It returns the resulting class.
func (t *Tree) Restore(r Request, parts []Part) (Class, error) {
	if t.jobs[r.Job] != nil {
		return "", ErrHeld
	}
	j := newJob(r)
	t.jobs[r.Job] = j
	for _, p := range parts {
		p.unit = nil
		if r.Class == Guaranteed {
			p.unit = t.rebind(r.Customer, p)
		}
		if r.Class == Guaranteed && p.unit == nil {
			t.Release(r.Job)
			r.Class = Spare
			return t.Restore(r, parts)
		}
		if !t.isVacant(p) {
			t.Release(r.Job)
			return "", ErrHeld
		}
		t.hold(r.Job, j, p)
	}
	return r.Class, nil
}

// rebind returns the unit that the part was placed in, binding one if necessary.
func (t *Tree) rebind(customer string, p Part) *Unit {
	if !t.Valid(p.UnitCell, p.UnitLevel) {
		return nil
	}
	var unused *Unit
	for _, u := range t.units {
		if u.customer != customer || u.level != p.UnitLevel {
			continue
		}
		if u.cell == p.UnitCell {
			return u
		}
		if u.cell == none && !u.suspended {
			unused = u
		}
	}
	if unused == nil || !t.cells[p.UnitCell].available() || t.largestAvailable(p.UnitCell) > t.ceiling(p.UnitLevel) {
		return nil
	}
	t.bind(unused, p.UnitCell)
	return unused
}

func (t *Tree) isVacant(p Part) bool {
	n := &t.cells[p.Cell]
	if p.unit != nil {
		return n.guaranteed == 0
	}
	return n.spare == 0
}
