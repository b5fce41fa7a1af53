package cell

import "time"

// maxIdleCandidates bounds how many idle cells are compared for one spare placement.
const maxIdleCandidates = 8

// SetExpectedEnd sets the time at which the job is expected to end.
func (t *Tree) SetExpectedEnd(name string, expectedEnd time.Time) {
	j := t.jobs[name]
	if j == nil {
		return
	}
	j.expectedEnd = unixSeconds(expectedEnd)
	for _, p := range j.parts {
		t.setEnd(p, j.expectedEnd)
	}
}

// unixSeconds converts a time to the form stored in a node; the zero time becomes 0.
func unixSeconds(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.Unix()
}

// setEnd records when the holder of the part's accelerators is expected to end, and
// updates the latest end of every cell that contains the part.
func (t *Tree) setEnd(p Part, end int64) {
	t.setLeafEnds(p.Cell, p.unit == nil, end)
	for up := t.cells[p.Cell].parent; up != none; up = t.cells[up].parent {
		t.updateBusyUntil(up)
	}
}

func (t *Tree) setLeafEnds(id ID, spare bool, end int64) {
	n := &t.cells[id]
	if n.level > 0 {
		t.setLeafEnds(n.left, spare, end)
		t.setLeafEnds(n.right, spare, end)
		t.updateBusyUntil(id)
		return
	}
	if spare {
		n.spareEnd = end
	} else {
		n.guaranteedEnd = end
	}
	n.busyUntil = max(n.spareEnd, n.guaranteedEnd)
}

// updateBusyUntil recomputes a cell's latest expected end from its two children.
func (t *Tree) updateBusyUntil(id ID) {
	n := &t.cells[id]
	n.busyUntil = max(t.cells[n.left].busyUntil, t.cells[n.right].busyUntil)
}

// chooseSpare first tries to backfill the reserved cell. Otherwise it chooses, among the
// smallest idle cells that are large enough, the one where the job least delays the time
// at which the enclosing large cell is entirely free.
func (t *Tree) chooseSpare(r Request) (ID, bool) {
	if id, ok := t.backfill(r); ok {
		return id, true
	}
	for k := r.Level; k <= MaxLevel; k++ {
		if r.Whole && r.Level < t.largeLevel && k >= t.largeLevel {
			break
		}
		if list := t.idle.levels[k]; len(list) > 0 {
			return t.leftmost(t.chooseAligned(list, min(t.largeLevel, MaxLevel), unixSeconds(r.ExpectedEnd)), r.Level), true
		}
	}
	return none, false
}

// chooseAligned returns the idle cell whose enclosing cell of the level becomes entirely
// free with the least additional delay if a job holds part of it until end. Ties go to
// the enclosing cell that is free earliest, which groups short jobs together.
func (t *Tree) chooseAligned(list []ID, level int, end int64) ID {
	best := list[len(list)-1]
	if end == 0 {
		return best
	}
	bestDelay, bestFreeAt := int64(-1), int64(0)
	for i := len(list) - 1; i >= max(0, len(list)-maxIdleCandidates); i-- {
		freeAt := t.cells[t.ancestor(list[i], level)].busyUntil
		delay := max(0, end-freeAt)
		if bestDelay < 0 || delay < bestDelay || delay == bestDelay && freeAt < bestFreeAt {
			best, bestDelay, bestFreeAt = list[i], delay, freeAt
		}
	}
	return best
}

// ancestor returns the enclosing cell of the level, or the root if that is lower.
func (t *Tree) ancestor(id ID, level int) ID {
	for t.cells[id].level < level && t.cells[id].parent != none {
		id = t.cells[id].parent
	}
	return id
}

// Backfills reports whether a job of the level that ends by then could run in the
// reserved cell in the meantime.
func (t *Tree) Backfills(level int, ends time.Time) bool {
	_, ok := t.backfill(Request{Level: level, ExpectedEnd: ends})
	return ok
}

// backfill returns a cell for the job within the reserved cell, if the job is expected to
// end before the rest of that cell is free.
func (t *Tree) backfill(r Request) (ID, bool) {
	if t.reservation == none || r.ExpectedEnd.IsZero() || unixSeconds(r.ExpectedEnd) > t.cells[t.reservation].busyUntil {
		return none, false
	}
	return t.findUnoccupied(t.reservation, r.Level)
}

// findUnoccupied returns a cell of the level within id that is idle except for the
// reservation.
func (t *Tree) findUnoccupied(id ID, level int) (ID, bool) {
	n := &t.cells[id]
	if n.level < level {
		return none, false
	}
	if n.unoccupied() {
		return t.leftmost(id, level), true
	}
	if n.level == level {
		return none, false
	}
	if found, ok := t.findUnoccupied(n.left, level); ok {
		return found, true
	}
	return t.findUnoccupied(n.right, level)
}
