package cell

import (
	"slices"
	"sort"
)

// Demote turns a guaranteed job into spare work where it runs. It reports
// false, and frees the job's cells, if other spare work is still on them.
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
		t.hold(name, j, Part{Cell: p.Cell, Bound: none})
	}
	return true
}

// SetDown records the loss or return of a worker and returns the jobs that
// can't go on: those that hold accelerators on it. Other guaranteed jobs of a
// unit that lost a worker become spare, so that the whole unit can be bound
// elsewhere at once.
func (t *Tree) SetDown(worker string, down bool) []string {
	leaves, ok := t.byName[worker]
	if !ok || t.lost[worker] == down {
		return nil
	}
	t.lost[worker] = down
	var hit []string
	if down {
		hit = t.jobsOn(leaves)
		hit = append(hit, t.strand(leaves)...)
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
	t.cover()
	return append(hit, t.makeWhole()...)
}

// makeWhole unbinds units, the smallest and least in order first, as long as that
// lets another unit be kept: a small unit may lie in the only large cell that the
// loss has left. Its jobs go on as spare work. It returns those that can't.
func (t *Tree) makeWhole() []string {
	var out []string
	unavoidable := t.unavoidable()
	for t.suspended() > unavoidable {
		u := t.smallestBound()
		if u == nil {
			return out
		}
		for _, name := range t.jobsIn(u) {
			if !t.Demote(name) {
				out = append(out, name)
			}
		}
		t.cover()
	}
	return out
}

// suspended counts the units that are not kept.
func (t *Tree) suspended() int {
	n := 0
	for _, u := range t.units {
		if u.suspended {
			n++
		}
	}
	return n
}

// unavoidable counts the units that could not be kept even if none was bound.
func (t *Tree) unavoidable() int {
	var avail, owed [MaxLevel + 1]int
	for id := range t.cells {
		if n := &t.cells[id]; n.down == 0 {
			avail[n.level]++
		}
	}
	lacking := 0
	for _, u := range t.units {
		fits := true
		for k := 0; k <= u.level; k++ {
			fits = fits && avail[k]-owed[k] >= Size(u.level-k)
		}
		if !fits {
			lacking++
			continue
		}
		for k := 0; k <= u.level; k++ {
			owed[k] += Size(u.level - k)
		}
	}
	return lacking
}

// smallestBound is the bound unit of the lowest level and, among these, the last
// in order.
func (t *Tree) smallestBound() *Unit {
	var best *Unit
	for _, u := range t.units {
		if u.cell != none && (best == nil || u.level <= best.level) {
			best = u
		}
	}
	return best
}

// strand frees the units that include one of the accelerators. It returns the
// jobs that could not stay where they were.
func (t *Tree) strand(leaves []ID) []string {
	var out []string
	for _, leaf := range leaves {
		u := t.boundTo(leaf)
		if u == nil {
			continue
		}
		for _, name := range t.jobsIn(u) {
			if !t.Demote(name) {
				out = append(out, name)
			}
		}
	}
	return out
}

// jobsIn lists the guaranteed jobs that run in the unit.
func (t *Tree) jobsIn(u *Unit) []string {
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
		if t.touches(j, on) {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}

func (t *Tree) touches(j *job, on map[ID]bool) bool {
	for _, p := range j.parts {
		for _, leaf := range t.leaves(p.Cell, nil) {
			if on[leaf] {
				return true
			}
		}
	}
	return false
}
