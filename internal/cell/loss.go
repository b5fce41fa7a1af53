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
		t.hold(name, j, Part{Cell: p.Cell, Home: none})
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
	return hit
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
