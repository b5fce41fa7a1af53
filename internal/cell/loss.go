package cell

import (
	"slices"
	"sort"
)

// Demote turns a guaranteed job into a spare job on the same cells. If other spare work
// still runs on them it frees the job's cells and returns false.
func (t *Tree) Demote(name string) bool {
	j := t.jobs[name]
	if j == nil || j.class == Spare {
		return true
	}
	t.Release(name)
	parts := j.parts
	for _, p := range parts {
		if t.cells[p.Cell].spare > 0 {
			return false
		}
	}
	j.class = Spare
	j.parts = nil
	t.jobs[name] = j
	for _, p := range parts {
		t.hold(name, j, Part{Cell: p.Cell, UnitCell: none})
	}
	return true
}

// SetDown records the loss or return of a worker and returns the jobs that must stop:
// those that hold accelerators on it, and those that can't be demoted. Other guaranteed
// jobs in a unit that lost a worker become spare, so that the whole unit can be bound
// elsewhere at once.
func (t *Tree) SetDown(worker string, down bool) []string {
	leaves, ok := t.leavesByWorker[worker]
	if !ok || t.downWorkers[worker] == down {
		return nil
	}
	t.downWorkers[worker] = down
	var affected []string
	if down {
		affected = t.jobsOn(leaves)
		affected = append(affected, t.unbindUnits(leaves)...)
	}
	for _, leaf := range leaves {
		t.adjust(leaf, func(n *node, size int32) {
			if down {
				n.down += size
			} else {
				n.down -= size
			}
		})
	}
	t.updateSuspended()
	return append(affected, t.minimizeSuspended()...)
}

// minimizeSuspended unbinds units, lowest level and last in order first, while that lets
// another unit be kept: a small unit may be bound inside the only large cell left after
// the loss. Jobs of the unbound units continue as spare work; those that can't are
// returned.
func (t *Tree) minimizeSuspended() []string {
	var displaced []string
	minSuspended := t.minSuspended()
	for t.suspended() > minSuspended {
		u := t.smallestBound()
		if u == nil {
			return displaced
		}
		for _, name := range t.jobsInUnit(u) {
			if !t.Demote(name) {
				displaced = append(displaced, name)
			}
		}
		t.updateSuspended()
	}
	return displaced
}

// suspended counts the suspended units.
func (t *Tree) suspended() int {
	n := 0
	for _, u := range t.units {
		if u.suspended {
			n++
		}
	}
	return n
}

// minSuspended counts the units that would be suspended even if no unit were bound.
func (t *Tree) minSuspended() int {
	var avail, committed [MaxLevel + 1]int
	for id := range t.cells {
		if n := &t.cells[id]; n.down == 0 {
			avail[n.level]++
		}
	}
	suspended := 0
	for _, u := range t.units {
		fits := true
		for k := 0; k <= u.level; k++ {
			fits = fits && avail[k]-committed[k] >= Size(u.level-k)
		}
		if !fits {
			suspended++
			continue
		}
		for k := 0; k <= u.level; k++ {
			committed[k] += Size(u.level - k)
		}
	}
	return suspended
}

// smallestBound returns the bound unit with the lowest level; ties go to the last in
// order.
func (t *Tree) smallestBound() *Unit {
	var best *Unit
	for _, u := range t.units {
		if u.cell != none && (best == nil || u.level <= best.level) {
			best = u
		}
	}
	return best
}

// unbindUnits demotes the jobs of the units that contain one of the leaves, which unbinds
// these units. It returns the jobs that could not be demoted.
func (t *Tree) unbindUnits(leaves []ID) []string {
	var displaced []string
	for _, leaf := range leaves {
		u := t.boundTo(leaf)
		if u == nil {
			continue
		}
		for _, name := range t.jobsInUnit(u) {
			if !t.Demote(name) {
				displaced = append(displaced, name)
			}
		}
	}
	return displaced
}

// jobsInUnit lists the guaranteed jobs that run in the unit.
func (t *Tree) jobsInUnit(u *Unit) []string {
	var out []string
	for name, j := range t.jobs {
		if slices.ContainsFunc(j.parts, func(p Part) bool { return p.unit == u }) {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}

func (t *Tree) jobsOn(leaves []ID) []string {
	on := map[ID]bool{}
	for _, leaf := range leaves {
		on[leaf] = true
	}
	var out []string
	for name, j := range t.jobs {
		if t.holdsAny(j, on) {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}

func (t *Tree) holdsAny(j *job, on map[ID]bool) bool {
	for _, p := range j.parts {
		for _, leaf := range t.leaves(p.Cell, nil) {
			if on[leaf] {
				return true
			}
		}
	}
	return false
}
