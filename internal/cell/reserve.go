package cell

// SetAvoided makes a worker's accelerators the last choice for guaranteed work and
// excludes them from spare work. Jobs that already run there are not affected.
func (t *Tree) SetAvoided(worker string, avoided bool) {
	if t.avoided[worker] == avoided {
		return
	}
	t.avoided[worker] = avoided
	for _, leaf := range t.leavesByWorker[worker] {
		t.adjust(leaf, func(n *node, size int32) {
			if avoided {
				n.avoided += size
			} else {
				n.avoided -= size
			}
		})
	}
}

// Reserve reserves a cell for a large waiting job, so that smaller spare jobs don't fill it
// again unless they end before the rest of it is free. Only one cell can be reserved at a
// time; CancelReservation cancels the reservation.
func (t *Tree) Reserve(id ID) {
	t.reservation = id
	t.adjust(id, func(n *node, size int32) { n.reserved += size })
}

// CancelReservation cancels a reservation made with Reserve.
func (t *Tree) CancelReservation(id ID) {
	t.reservation = none
	t.adjust(id, func(n *node, size int32) { n.reserved -= size })
}

// ReservationCandidate finds the cell to reserve for a large waiting job: preferably one
// without guaranteed work, which can't be moved, and with the least spare work; otherwise
// the one that is expected to be free first.
func (t *Tree) ReservationCandidate(level int) (ID, bool) {
	best := ID(none)
	for _, id := range t.cellsByLevel[level] {
		n := &t.cells[id]
		if n.down == 0 && n.reserved == 0 && n.avoided == 0 && (best == none || betterReservation(n, &t.cells[best])) {
			best = id
		}
	}
	return best, best != none
}

func betterReservation(a, b *node) bool {
	if (a.guaranteed > 0) != (b.guaranteed > 0) {
		return a.guaranteed == 0
	}
	if a.guaranteed > 0 && a.busyUntil != b.busyUntil {
		return a.busyUntil < b.busyUntil
	}
	return a.spare < b.spare
}

// Movable lists the spare jobs on a cell if nothing else holds it and the idle
// accelerators of the zone are at least as many as those jobs hold.
func (t *Tree) Movable(id ID) ([]string, bool) {
	n := &t.cells[id]
	if n.guaranteed > 0 || n.down > 0 || n.spare == 0 {
		return nil, false
	}
	names := t.spareJobsIn(id)
	moved := 0
	for _, name := range names {
		moved += t.jobSize(t.jobs[name])
	}
	idle := 0
	for k, list := range t.idle.levels {
		idle += len(list) * Size(k)
	}
	return names, moved <= idle
}
