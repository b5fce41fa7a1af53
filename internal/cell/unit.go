package cell

import "sort"

// Unit is one guaranteed cell of a customer. It is bound to a cell of the zone while
// guaranteed jobs of that customer run in it.
type Unit struct {
	customer  string
	order     int
	level     int
	cell      ID
	jobCount  int
	suspended bool
}

// Customer returns the name of the customer that has the guarantee.
func (u *Unit) Customer() string { return u.customer }

// Level returns the level of the guaranteed cell.
func (u *Unit) Level() int { return u.level }

// Bound returns the cell that the unit is bound to, if any.
func (u *Unit) Bound() (ID, bool) { return u.cell, u.cell != none }

// Suspended reports whether too much hardware has failed to honor this guarantee.
func (u *Unit) Suspended() bool { return u.suspended }

// shape is a customer's guaranteed level.
type shape struct {
	customer string
	level    int
}

// Guaranteed reports whether the customer is guaranteed a cell of exactly that level.
func (t *Tree) Guaranteed(customer string, level int) bool {
	return t.shapes[shape{customer, level}]
}

// Units lists the guaranteed cells of the zone.
func (t *Tree) Units() []*Unit { return t.units }

func (t *Tree) addUnits(guarantees []Guarantee) {
	largest := none
	for _, g := range guarantees {
		largest = max(largest, min(g.Level, MaxLevel))
		t.shapes[shape{g.Customer, g.Level}] = true
		for range g.Count {
			t.units = append(t.units, &Unit{customer: g.Customer, order: g.Order, level: g.Level, cell: none})
		}
	}
	if largest != none {
		t.largeLevel = largest
	}
	sort.SliceStable(t.units, func(i, j int) bool {
		a, b := t.units[i], t.units[j]
		if a.order != b.order {
			return a.order < b.order
		}
		return a.level > b.level
	})
}

// addCommitted adds the cells that n unbound units of the level need to those that must
// stay reclaimable.
func (t *Tree) addCommitted(level, n int) {
	for k := 0; k <= level; k++ {
		t.committed[k] += n * Size(level-k)
	}
}

// slack is the number of cells of a level that may be used without affecting those
// committed to unbound units.
func (t *Tree) slack(level int) int { return t.avail[level] - t.committed[level] }

// updateSuspended decides after a change of hardware which unbound units can still be
// satisfied, in order. The others are suspended.
func (t *Tree) updateSuspended() {
	t.committed = [MaxLevel + 1]int{}
	t.anySuspended = false
	for _, u := range t.units {
		if u.cell != none {
			u.suspended = false
			continue
		}
		u.suspended = !t.fits(u.level)
		if u.suspended {
			t.anySuspended = true
			continue
		}
		t.addCommitted(u.level, 1)
	}
}

func (t *Tree) fits(level int) bool {
	for k := 0; k <= level; k++ {
		if t.slack(k) < Size(level-k) {
			return false
		}
	}
	return true
}

// bind binds the unit to a cell, which must be available.
func (t *Tree) bind(u *Unit, id ID) {
	u.cell = id
	t.cells[id].unit = u
	if !u.suspended {
		t.addCommitted(u.level, -1)
	}
	u.suspended = false
	t.adjust(id, func(n *node, size int32) { n.bound += size })
}

func (t *Tree) unbind(u *Unit) {
	id := u.cell
	u.cell = none
	t.cells[id].unit = nil
	t.adjust(id, func(n *node, size int32) { n.bound -= size })
	t.addCommitted(u.level, 1)
	if t.anySuspended {
		t.updateSuspended()
	}
}

// ceiling is the highest level of a maximal available cell that may be split for a unit
// of the given level. Splitting a larger one would leave too few whole cells for the
// committed units.
func (t *Tree) ceiling(level int) int {
	if t.noCeiling {
		return MaxLevel
	}
	for k := level + 1; k <= MaxLevel; k++ {
		if t.slack(k) <= 0 && t.committed[k] > 0 {
			return k - 1
		}
	}
	return MaxLevel
}

// Check verifies the safety invariant: at every level, the cells that are free or held
// only by spare work are at least as many as the unbound guaranteed cells need. It counts
// from the accelerators up and uses no index.
func (t *Tree) Check() error {
	var avail, committed [MaxLevel + 1]int
	for id := range t.cells {
		if t.reclaimable(ID(id)) {
			avail[t.cells[id].level]++
		}
	}
	for _, u := range t.units {
		if u.cell != none || u.suspended {
			continue
		}
		for k := 0; k <= u.level; k++ {
			committed[k] += Size(u.level - k)
		}
	}
	for k := range avail {
		if avail[k] < committed[k] {
			return ErrUnsafe
		}
	}
	return t.checkHolders()
}

// reclaimable reports whether no accelerator of the cell is down or bound to a unit. It
// checks each accelerator individually and uses no counters.
func (t *Tree) reclaimable(id ID) bool {
	for _, leaf := range t.leaves(id, nil) {
		if t.downWorkers[t.slots[leaf].Worker] || t.boundTo(leaf) != nil {
			return false
		}
	}
	return true
}

// boundTo returns the unit whose cell contains the accelerator.
func (t *Tree) boundTo(leaf ID) *Unit {
	for id := leaf; id != none; id = t.cells[id].parent {
		if u := t.cells[id].unit; u != nil {
			return u
		}
	}
	return nil
}

// checkHolders verifies that guaranteed jobs run only in cells bound to their own
// customer and that no accelerator has two holders of one class.
func (t *Tree) checkHolders() error {
	guaranteed := map[ID]string{}
	spare := map[ID]string{}
	for name, j := range t.jobs {
		for _, p := range j.parts {
			for _, leaf := range t.leaves(p.Cell, nil) {
				holders := spare
				if p.unit != nil {
					holders = guaranteed
				}
				if holders[leaf] != "" {
					return ErrHeld
				}
				holders[leaf] = name
				if p.unit != nil && t.boundTo(leaf) != p.unit {
					return ErrUnsafe
				}
			}
		}
	}
	return nil
}
