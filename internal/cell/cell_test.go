package cell

import (
	"errors"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rhubarbshore/internal/rapidtest"
)

func TestMain(m *testing.M) { os.Exit(rapidtest.Main(m)) }

var baseTime = time.Unix(1_700_000_000, 0)

func evenRacks(racks, workers int) []Rack {
	var out []Rack
	for r := range racks {
		rack := Rack{Name: fmt.Sprintf("r%d", r)}
		for w := range workers {
			rack.Workers = append(rack.Workers, Worker{Name: fmt.Sprintf("r%d-%d", r, w), Accelerators: 8})
		}
		out = append(out, rack)
	}
	return out
}

func TestBuildPairsNeighbours(t *testing.T) {
	racks := append(evenRacks(6, 8), Rack{Name: "last", Workers: []Worker{{"l0", 8}, {"l1", 3}}})
	tree := NewTree(Config{Levels: Levels{Worker: 3, Rack: 6}, Racks: racks})
	counts := map[int]int{}
	for level := range tree.cellsByLevel {
		counts[level] = len(tree.cellsByLevel[level])
	}
	assert.Equal(t, counts[0], 6*64+11)
	assert.Equal(t, counts[3], 49)
	assert.Equal(t, counts[4], 24)
	assert.Equal(t, counts[6], 6)
	assert.Equal(t, counts[7], 3)
	slots := tree.Slots(tree.cellsByLevel[4][0])
	assert.Equal(t, slots[0], Slot{"r0-0", 0})
	assert.Equal(t, slots[15], Slot{"r0-1", 7})
}

func TestReclaimEvictsSpareWork(t *testing.T) {
	tree := NewTree(Config{
		Levels: Levels{3, 6}, Racks: evenRacks(1, 2),
		Guarantees: []Guarantee{{Customer: "a", Level: 4, Count: 1}},
	})
	for i := range 16 {
		_, err := tree.Place(Request{Job: fmt.Sprint("s", i), Customer: "b", Level: 0, Count: 1, Class: Spare, Since: baseTime}, baseTime)
		assert.NilError(t, err)
	}
	p, err := tree.Place(Request{Job: "g", Customer: "a", Level: 4, Count: 1, Class: Guaranteed}, baseTime)
	assert.NilError(t, err)
	assert.Equal(t, len(p.Evict), 16)
	_, err = tree.Place(Request{Job: "h", Customer: "b", Level: 0, Count: 1, Class: Guaranteed}, baseTime)
	assert.Assert(t, errors.Is(err, ErrBusy))
	_, err = tree.Place(Request{Job: "x", Customer: "b", Level: 5, Count: 1, Class: Spare}, baseTime)
	assert.Assert(t, errors.Is(err, ErrInfeasible))
	assert.NilError(t, tree.Check())
}

func TestRestoreDemotesTheSecondOfTwoClaims(t *testing.T) {
	cfg := Config{Levels: Levels{3, 6}, Racks: evenRacks(1, 4), Guarantees: []Guarantee{{Customer: "a", Level: 3, Count: 1}}}
	tree := NewTree(cfg)
	first := Part{Cell: tree.cellsByLevel[3][0], UnitLevel: 3, UnitCell: tree.cellsByLevel[3][0]}
	second := Part{Cell: tree.cellsByLevel[3][1], UnitLevel: 3, UnitCell: tree.cellsByLevel[3][1]}
	class, err := tree.Restore(Request{Job: "old", Customer: "a", Class: Guaranteed}, []Part{first})
	assert.NilError(t, err)
	assert.Equal(t, class, Guaranteed)
	class, err = tree.Restore(Request{Job: "new", Customer: "a", Class: Guaranteed}, []Part{second})
	assert.NilError(t, err)
	assert.Equal(t, class, Spare)
	assert.NilError(t, tree.Check())
}

func TestShortNamesTheLevel(t *testing.T) {
	cfg := Config{Levels: Levels{3, 6}, Racks: evenRacks(1, 8), Guarantees: []Guarantee{{Customer: "a", Level: 4, Count: 3}, {Customer: "b", Level: 3, Count: 2}}}
	_, _, ok := Shortfall(cfg, 0)
	assert.Assert(t, ok)
	level, lacking, ok := Shortfall(cfg, 1)
	assert.Assert(t, !ok)
	assert.Equal(t, level, 3)
	assert.Equal(t, lacking, 1)
}

// drawConfig draws a zone with racks of different sizes and guarantees that fit it.
func drawConfig(rt *rapid.T) (Config, int) {
	cfg := Config{
		Levels: Levels{Worker: rapid.IntRange(0, 3).Draw(rt, "worker"), Rack: rapid.IntRange(3, 5).Draw(rt, "rack")},
		Rank:   Rank{Lost: 1, Broken: rapid.Float64Range(0, 100).Draw(rt, "broken")},
	}
	for r := range rapid.IntRange(1, 4).Draw(rt, "racks") {
		rack := Rack{Name: fmt.Sprint("r", r)}
		for w := range rapid.IntRange(1, 5).Draw(rt, "workers") {
			n := rapid.IntRange(0, 8).Draw(rt, "accelerators")
			rack.Workers = append(rack.Workers, Worker{Name: fmt.Sprintf("r%d-%d", r, w), Accelerators: n})
		}
		cfg.Racks = append(cfg.Racks, rack)
	}
	spare := rapid.IntRange(0, 2).Draw(rt, "spare")
	for i := range rapid.IntRange(1, 6).Draw(rt, "guarantees") {
		g := Guarantee{Customer: fmt.Sprint("c", i%3), Order: i % 3, Level: rapid.IntRange(0, 4).Draw(rt, "level"), Count: rapid.IntRange(1, 3).Draw(rt, "count")}
		cfg.Guarantees = append(cfg.Guarantees, g)
		if _, _, ok := Shortfall(cfg, spare); !ok {
			cfg.Guarantees = cfg.Guarantees[:len(cfg.Guarantees)-1]
		}
	}
	return cfg, spare
}

// machine applies random operations to a tree; verify checks the guarantees after each.
type machine struct {
	tree *Tree
	now  time.Time
	next int
	// spare is the number of workers that may be down at the same time.
	spare   int
	running []string
	down    []string
}

func (m *machine) step(rt *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 600).Draw(rt, "seconds")) * time.Second)
	switch rapid.IntRange(0, 11).Draw(rt, "step") {
	case 0, 1, 2, 3:
		m.place(rt, Guaranteed)
	case 4, 5:
		m.place(rt, Spare)
	case 6, 7:
		m.release(rt)
	case 8:
		m.loseWorker(rt)
	case 9:
		m.restoreWorker(rt)
	case 10:
		m.reservation(rt)
	case 11:
		m.changeEnd(rt)
	}
}

// reservation reserves a cell, or cancels the current reservation.
func (m *machine) reservation(rt *rapid.T) {
	if m.tree.reservation != none {
		m.tree.CancelReservation(m.tree.reservation)
		return
	}
	if id, ok := m.tree.ReservationCandidate(rapid.IntRange(0, 4).Draw(rt, "level")); ok {
		m.tree.Reserve(id)
	}
}

func (m *machine) changeEnd(rt *rapid.T) {
	if len(m.running) > 0 {
		m.tree.SetExpectedEnd(rapid.SampledFrom(m.running).Draw(rt, "job"), m.drawEnd(rt))
	}
}

func (m *machine) drawEnd(rt *rapid.T) time.Time {
	return m.now.Add(time.Duration(rapid.IntRange(0, 7200).Draw(rt, "ends")) * time.Second)
}

func (m *machine) place(rt *rapid.T, class Class) {
	m.next++
	r := Request{
		Job: fmt.Sprint("j", m.next), Customer: fmt.Sprint("c", rapid.IntRange(0, 2).Draw(rt, "customer")),
		Level: rapid.IntRange(0, 4).Draw(rt, "level"), Count: rapid.IntRange(1, 3).Draw(rt, "count"), Class: class, Since: m.now,
		ExpectedEnd: m.drawEnd(rt), Whole: rapid.Bool().Draw(rt, "whole"),
	}
	p, err := m.tree.Place(r, m.now)
	if err != nil {
		return
	}
	m.running = append(m.running, r.Job)
	for _, victim := range p.Evict {
		m.tree.Release(victim)
	}
}

func (m *machine) release(rt *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(rt, "job")
	m.tree.Release(m.running[i])
	m.running = append(m.running[:i], m.running[i+1:]...)
}

func (m *machine) loseWorker(rt *rapid.T) {
	if len(m.down) >= m.spare {
		return
	}
	var names []string
	for _, s := range m.tree.slots {
		if s.Worker != "" && s.Index == 0 && !m.tree.downWorkers[s.Worker] {
			names = append(names, s.Worker)
		}
	}
	if len(names) == 0 {
		return
	}
	w := rapid.SampledFrom(names).Draw(rt, "lost")
	m.down = append(m.down, w)
	for _, job := range m.tree.SetDown(w, true) {
		m.tree.Release(job)
	}
}

func (m *machine) restoreWorker(_ *rapid.T) {
	if len(m.down) == 0 {
		return
	}
	m.tree.SetDown(m.down[0], false)
	m.down = m.down[1:]
}

// reclaimAll binds every unbound guaranteed cell at the same time, then releases them.
func (m *machine) reclaimAll() error {
	var names []string
	defer func() {
		for _, name := range names {
			m.tree.Release(name)
		}
	}()
	for _, u := range m.tree.units {
		if u.cell != none || u.suspended {
			continue
		}
		bound, ok := m.tree.chooseBinding(u.level, m.now)
		if !ok {
			return fmt.Errorf("customer %s can't reclaim level %d", u.customer, u.level)
		}
		name := fmt.Sprint("reclaim", len(names))
		names = append(names, name)
		m.tree.bind(u, bound)
		j := &job{customer: u.customer, class: Guaranteed, checkpointedAt: m.now}
		m.tree.jobs[name] = j
		m.tree.hold(name, j, newPart(u, bound))
	}
	return nil
}

func (m *machine) verify() error {
	if err := m.tree.Check(); err != nil {
		return err
	}
	if err := m.verifyEnds(); err != nil {
		return err
	}
	for _, u := range m.tree.units {
		if u.suspended {
			return fmt.Errorf("a unit is suspended although no more than the spare workers are down")
		}
	}
	return m.reclaimAll()
}

func TestEveryGuaranteeStaysReclaimable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg, spare := drawConfig(rt)
		m := &machine{tree: NewTree(cfg), now: baseTime, spare: spare}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			m.step(rt)
			if err := m.verify(); err != nil {
				rt.Fatal(err)
			}
		}
	})
}

// TestLossFreesTheLastLargeCell guards against suspending a large unit after a worker
// loss because a small unit is bound inside the only large cell that is left.
func TestLossFreesTheLastLargeCell(t *testing.T) {
	tree := NewTree(Config{
		Levels: Levels{3, 4}, Racks: evenRacks(2, 2),
		Guarantees: []Guarantee{{Customer: "a", Level: 4, Count: 1}, {Customer: "b", Order: 1, Level: 0, Count: 1}},
	})
	_, err := tree.Place(Request{Job: "small", Customer: "b", Level: 0, Count: 1, Class: Guaranteed}, baseTime)
	assert.NilError(t, err)
	at := tree.Slots(tree.jobs["small"].parts[0].Cell)[0].Worker
	other := map[bool]string{true: "r1-0", false: "r0-0"}[at[:2] == "r0"]
	assert.Equal(t, len(tree.SetDown(other, true)), 0)
	assert.Equal(t, tree.suspended(), 0)
	assert.Equal(t, tree.jobs["small"].class, Spare)
	assert.NilError(t, tree.Check())
	p, err := tree.Place(Request{Job: "large", Customer: "a", Level: 4, Count: 1, Class: Guaranteed}, baseTime)
	assert.NilError(t, err)
	assert.DeepEqual(t, p.Evict, []string{"small"})
}

// TestCeilingIsNeeded shows that Check fails without the ceiling: a small unit is then
// bound in the middle of the only large cell.
func TestCeilingIsNeeded(t *testing.T) {
	for _, noCeiling := range []bool{true, false} {
		tree := NewTree(Config{
			Levels: Levels{3, 6}, Racks: append(evenRacks(1, 2), Rack{Workers: []Worker{{"x", 8}}}),
			Guarantees: []Guarantee{{Customer: "a", Level: 4, Count: 1}, {Customer: "b", Level: 3, Count: 1}},
		})
		tree.noCeiling = noCeiling
		_, err := tree.Place(Request{Job: "s", Customer: "c", Level: 3, Count: 1, Class: Spare}, baseTime)
		assert.NilError(t, err)
		// The spare job is on the single worker, so the cheapest cell is in the pair.
		tree.Release("s")
		_, err = tree.Place(Request{Job: "s", Customer: "c", Level: 3, Count: 1, Class: Spare}, baseTime)
		assert.NilError(t, err)
		_, err = tree.Place(Request{Job: "g", Customer: "b", Level: 3, Count: 1, Class: Guaranteed}, baseTime)
		assert.NilError(t, err)
		assert.Equal(t, errors.Is(tree.Check(), ErrUnsafe), noCeiling)
	}
}

// exhaustive tries every assignment of disjoint reclaimable cells to the unbound units.
// It is the naive reference for Check.
func exhaustive(t *Tree, units []*Unit, taken map[ID]bool) bool {
	if len(units) == 0 {
		return true
	}
	for _, id := range t.cellsByLevel[units[0].level] {
		leaves := t.leaves(id, nil)
		free := t.reclaimable(id)
		for _, leaf := range leaves {
			free = free && !taken[leaf]
		}
		if !free {
			continue
		}
		for _, leaf := range leaves {
			taken[leaf] = true
		}
		if exhaustive(t, units[1:], taken) {
			return true
		}
		for _, leaf := range leaves {
			delete(taken, leaf)
		}
	}
	return false
}

func TestCheckAgreesWithExhaustiveSearch(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := Config{Levels: Levels{Worker: rapid.IntRange(0, 2).Draw(rt, "worker"), Rack: 3}}
		for r := range rapid.IntRange(1, 2).Draw(rt, "racks") {
			rack := Rack{}
			for w := range rapid.IntRange(1, 3).Draw(rt, "workers") {
				rack.Workers = append(rack.Workers, Worker{fmt.Sprintf("%d-%d", r, w), rapid.IntRange(0, 4).Draw(rt, "n")})
			}
			cfg.Racks = append(cfg.Racks, rack)
		}
		tree := NewTree(cfg)
		var wanted []*Unit
		for range rapid.IntRange(1, 5).Draw(rt, "units") {
			wanted = append(wanted, &Unit{customer: "c", level: rapid.IntRange(0, 3).Draw(rt, "level"), cell: none})
		}
		for range rapid.IntRange(0, 2).Draw(rt, "bound") {
			u := &Unit{customer: "c", level: rapid.IntRange(0, 2).Draw(rt, "level"), cell: none}
			if ids := tree.cellsByLevel[u.level]; len(ids) > 0 {
				id := rapid.SampledFrom(ids).Draw(rt, "cell")
				if tree.cells[id].available() {
					tree.units = append(tree.units, u)
					tree.bind(u, id)
				}
			}
		}
		tree.units = append(tree.units, wanted...)
		assert.Equal(rt, exhaustive(tree, wanted, map[ID]bool{}), tree.Check() == nil)
	})
}
