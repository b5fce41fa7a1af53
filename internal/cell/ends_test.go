package cell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// verifyEnds compares the expected ends stored in the nodes with those computed from the
// jobs.
func (m *machine) verifyEnds() error {
	want := map[ID]int64{}
	for _, j := range m.tree.jobs {
		for _, p := range j.parts {
			for _, leaf := range m.tree.leaves(p.Cell, nil) {
				for id := leaf; id != none; id = m.tree.cells[id].parent {
					want[id] = max(want[id], j.expectedEnd)
				}
			}
		}
	}
	for id := range m.tree.cells {
		if got := m.tree.cells[id].busyUntil; got != want[ID(id)] {
			return fmt.Errorf("cell %d is busy until %d, want %d", id, got, want[ID(id)])
		}
	}
	return nil
}

// twoRackTree returns a zone with two cells of level 4, one of them guaranteed.
func twoRackTree() *Tree {
	return NewTree(Config{
		Levels: Levels{Worker: 3, Rack: 4}, Racks: evenRacks(2, 2),
		Guarantees: []Guarantee{{Customer: "a", Level: 4, Count: 1}},
	})
}

func spareJob(name string, level int, ends time.Duration) Request {
	return Request{Job: name, Customer: "x", Level: level, Count: 1, Class: Spare, Since: baseTime, ExpectedEnd: baseTime.Add(ends)}
}

func place(t *testing.T, tree *Tree, r Request) ID {
	p, err := tree.Place(r, baseTime)
	assert.NilError(t, err)
	return p.Parts[0].Cell
}

// TestBackfillEndsBeforeTheReservation guards against a reservation that is delayed by
// backfill: a job may use the reserved cell only if it ends before the other work in that
// cell.
func TestBackfillEndsBeforeTheReservation(t *testing.T) {
	tree := twoRackTree()
	long := place(t, tree, spareJob("long", 3, time.Hour))
	reserved := tree.ancestor(long, 4)
	place(t, tree, spareJob("other", 4, time.Hour))
	tree.Reserve(reserved)
	_, err := tree.Place(spareJob("late", 2, 2*time.Hour), baseTime)
	assert.ErrorIs(t, err, ErrBusy)
	early := place(t, tree, spareJob("early", 2, 50*time.Minute))
	assert.Equal(t, tree.ancestor(early, 4), reserved)
	tree.SetExpectedEnd("long", baseTime.Add(40*time.Minute))
	assert.Assert(t, !tree.Backfills(2, baseTime.Add(55*time.Minute)))
	assert.Assert(t, tree.Backfills(2, baseTime.Add(50*time.Minute)))
}

// TestWholeLeavesTheLargeCellIdle checks that a spare job with Whole set doesn't split
// the only large idle cell, and that the same job without Whole does.
func TestWholeLeavesTheLargeCellIdle(t *testing.T) {
	tree := twoRackTree()
	place(t, tree, spareJob("large", 4, time.Hour))
	r := spareJob("small", 0, time.Hour)
	r.Whole = true
	_, err := tree.Place(r, baseTime)
	assert.ErrorIs(t, err, ErrBusy)
	assert.Equal(t, tree.Fragmentation(4), 0.0)
	r.Whole = false
	place(t, tree, r)
	r.Job, r.Whole = "next", true
	place(t, tree, r)
}

// TestWorkGoesBesideWorkThatEndsWithIt checks that, of idle cells of equal size, a job
// gets the one whose enclosing cell is busy at least as long as the job, and among those
// the one that is free earliest.
func TestWorkGoesBesideWorkThatEndsWithIt(t *testing.T) {
	tree := NewTree(Config{
		Levels: Levels{Worker: 3, Rack: 4}, Racks: evenRacks(3, 2),
		Guarantees: []Guarantee{{Customer: "a", Level: 4, Count: 1}},
	})
	places := map[string]ID{}
	for i, end := range []time.Duration{time.Hour, 3 * time.Hour, 9 * time.Hour} {
		name := fmt.Sprint("w", i)
		places[name] = tree.ancestor(place(t, tree, spareJob(name, 3, end)), 4)
		place(t, tree, spareJob(name+"beside", 3, end))
	}
	for name := range places {
		tree.Release(name + "beside")
	}
	assert.Equal(t, tree.ancestor(place(t, tree, spareJob("short", 0, 30*time.Minute)), 4), places["w0"])
	assert.Equal(t, tree.ancestor(place(t, tree, spareJob("middle", 3, 2*time.Hour)), 4), places["w1"])
}
