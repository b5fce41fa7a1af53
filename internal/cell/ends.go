package cell

import "time"

// maxAligned bounds how many idle cells are compared for one spare placement.
const maxAligned = 8

// Expect replaces the time at which the job is expected to end.
func (t *Tree) Expect(name string, ends time.Time) {
	j := t.jobs[name]
	if j == nil {
		return
	}
	j.ends = seconds(ends)
	for _, p := range j.parts {
		t.mark(p, j.ends)
	}
}

// seconds is the time as it is kept in a node, 0 for none.
func seconds(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.Unix()
}

// mark notes on the part's accelerators when their holder is expected to end,
// and on all cells around them the last such time.
func (t *Tree) mark(p Part, ends int64) {
	t.markDown(p.Cell, p.unit == nil, ends)
	for up := t.cells[p.Cell].parent; up != none; up = t.cells[up].parent {
		t.gather(up)
	}
}

func (t *Tree) markDown(id ID, spare bool, ends int64) {
	n := &t.cells[id]
	if n.level > 0 {
		t.markDown(n.left, spare, ends)
		t.markDown(n.right, spare, ends)
		t.gather(id)
		return
	}
	if spare {
		n.spareEnds = ends
	} else {
		n.firmEnds = ends
	}
	n.busyTo = max(n.spareEnds, n.firmEnds)
}

// gather takes a cell's last end from its two halves.
func (t *Tree) gather(id ID) {
	n := &t.cells[id]
	n.busyTo = max(t.cells[n.left].busyTo, t.cells[n.right].busyTo)
}

// chooseSpare takes from the smallest idle cells that are large enough, and
// among these from the one whose surroundings are held up least by the job.
func (t *Tree) chooseSpare(r Request) (ID, bool) {
	if id, ok := t.backfill(r); ok {
		return id, true
	}
	for k := r.Level; k <= MaxLevel; k++ {
		if r.Whole && r.Level < t.large && k >= t.large {
			break
		}
		if list := t.idle.levels[k]; len(list) > 0 {
			return t.descend(t.aligned(list, min(t.large, MaxLevel), seconds(r.Ends)), r.Level), true
		}
	}
	return none, false
}

// aligned picks the idle cell around which a large cell would be whole again
// least later if a job held a part of it until the given time. Of equal ones it
// is the cell that is busy longest, so that short work goes beside short work.
func (t *Tree) aligned(list []ID, large int, ends int64) ID {
	best := list[len(list)-1]
	if ends == 0 {
		return best
	}
	bestLate, bestBusy := int64(-1), int64(0)
	for i := len(list) - 1; i >= max(0, len(list)-maxAligned); i-- {
		busy := t.cells[t.around(list[i], large)].busyTo
		late := max(0, ends-busy)
		if bestLate < 0 || late < bestLate || late == bestLate && busy < bestBusy {
			best, bestLate, bestBusy = list[i], late, busy
		}
	}
	return best
}

// around is the cell of the level, or the root below it, that the cell lies in.
func (t *Tree) around(id ID, level int) ID {
	for t.cells[id].level < level && t.cells[id].parent != none {
		id = t.cells[id].parent
	}
	return id
}

// Backfills reports whether a job of the level that ends then could use the
// reserved cell meanwhile.
func (t *Tree) Backfills(level int, ends time.Time) bool {
	_, ok := t.backfill(Request{Level: level, Ends: ends})
	return ok
}

// backfill uses the reserved cell for a job that is expected to end before the
// rest of that cell is free.
func (t *Tree) backfill(r Request) (ID, bool) {
	if t.keep == none || r.Ends.IsZero() || seconds(r.Ends) > t.cells[t.keep].busyTo {
		return none, false
	}
	return t.unheld(t.keep, r.Level)
}

// unheld finds a cell of the level, inside the given one, that is idle but for
// the reservation.
func (t *Tree) unheld(id ID, level int) (ID, bool) {
	n := &t.cells[id]
	if n.level < level {
		return none, false
	}
	if n.unheld() {
		return t.descend(id, level), true
	}
	if n.level == level {
		return none, false
	}
	if found, ok := t.unheld(n.left, level); ok {
		return found, true
	}
	return t.unheld(n.right, level)
}
