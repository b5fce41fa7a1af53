// Package cell decides which accelerators of an availability zone a job may use, so that
// every customer's guaranteed shape stays reclaimable.
//
// A cell of level k is a group of 2^k accelerators, as in a buddy allocator. Two adjacent
// cells of level k-1 form one cell of level k, first within a worker, then within a rack,
// then within the zone, as far as Levels allows. Workers and racks may differ in size: a
// cell without an adjacent cell of its level remains a root, so a zone is a forest of
// perfect binary trees.
package cell

import (
	"math/bits"

	"github.com/joomcode/errorx"
)

// MaxLevel is the highest level of a cell: 2^12 accelerators.
const MaxLevel = 12

// none marks an absent cell, unit or holder.
const none = -1

// Errors of this package. Callers test for them with errors.Is.
var (
	ErrInfeasible = errorx.NewType(namespace, "infeasible").New("no cell of that shape exists in this zone")
	ErrBusy       = errorx.NewType(namespace, "busy").New("no cell of that shape is free now")
	ErrUnsafe     = errorx.NewType(namespace, "unsafe").New("a guaranteed shape can't be reclaimed")
	ErrHeld       = errorx.NewType(namespace, "held").New("the accelerators are held by another job")
)

var namespace = errorx.NewNamespace("cell")

// ID identifies a cell within its Tree.
type ID int32

// Levels bounds the spread of a cell. A cell of a level up to Worker lies within one
// worker, and a cell of a level up to Rack lies within one rack.
type Levels struct {
	Worker int
	Rack   int
}

// Worker is a declared worker: its name and number of accelerators.
type Worker struct {
	Name         string
	Accelerators int
}

// Rack lists the workers of a rack in order of proximity.
type Rack struct {
	Name    string
	Workers []Worker
}

// Guarantee entitles a customer to Count cells of Level in this zone.
type Guarantee struct {
	Customer string
	Order    int
	Level    int
	Count    int
}

// Config describes a zone for NewTree. If hardware fails, guarantees with a higher Order
// are suspended first.
type Config struct {
	Levels     Levels
	Racks      []Rack
	Guarantees []Guarantee
	Rank       Rank
}

// Slot identifies one accelerator by its worker's name and its index on that worker.
type Slot struct {
	Worker string
	Index  int
}

// Tree is the forest of cells of a zone and the jobs placed on it. It is not safe for
// concurrent use: the placer's goroutine owns it.
type Tree struct {
	cells          []node
	slots          []Slot
	leavesByWorker map[string][]ID
	cellsByLevel   [MaxLevel + 1][]ID
	// avail counts the available cells of each level, and committed the cells that the
	// unbound units need.
	avail     [MaxLevel + 1]int
	committed [MaxLevel + 1]int
	// idle, clear and withSpare list the maximal cells in each state: idle, clear, and
	// available with spare work.
	idle         freelist
	clear        freelist
	withSpare    freelist
	units        []*Unit
	shapes       map[shape]bool
	spareJobs    map[ID]string
	jobs         map[string]*job
	rank         Rank
	downWorkers  map[string]bool
	avoided      map[string]bool
	anySuspended bool
	// largeLevel is the level of the largest guaranteed cell, above MaxLevel if there is
	// none.
	largeLevel int
	// reservation is the cell reserved for a large waiting job, none if there is none.
	reservation ID

	// noCeiling disables the ceiling, for tests that show why it is needed.
	noCeiling bool
}

// node holds a cell's links in the forest and its counters, all in accelerators.
type node struct {
	level      int
	parent     ID
	left       ID
	right      ID
	down       int32
	bound      int32
	guaranteed int32
	spare      int32
	reserved   int32
	avoided    int32
	// unit is the guaranteed unit that is bound to the cell, if any.
	unit *Unit
	// Expected ends in Unix seconds. A leaf has the end of its spare and of its
	// guaranteed holder; busyUntil is the latest end of any holder in the cell.
	spareEnd      int64
	guaranteedEnd int64
	busyUntil     int64
}

// Level returns the lowest level whose cells hold n accelerators.
func Level(n int) int {
	if n <= 1 {
		return 0
	}
	return bits.Len(uint(n - 1))
}

// Size returns the number of accelerators of a cell of the level.
func Size(level int) int { return 1 << level }

// NewTree builds the forest and registers the guarantees, all unbound.
func NewTree(cfg Config) *Tree {
	t := &Tree{
		leavesByWorker: map[string][]ID{},
		shapes:         map[shape]bool{},
		spareJobs:      map[ID]string{},
		jobs:           map[string]*job{},
		downWorkers:    map[string]bool{},
		avoided:        map[string]bool{},
		rank:           cfg.Rank,
		reservation:    none,
		largeLevel:     MaxLevel + 1,
	}
	t.build(cfg)
	t.addUnits(cfg.Guarantees)
	for id := range t.cells {
		t.addToIndexes(ID(id))
	}
	t.updateSuspended()
	return t
}

func (t *Tree) build(cfg Config) {
	var zone []ID
	for _, r := range cfg.Racks {
		var rack []ID
		for _, w := range r.Workers {
			leaves := t.addWorker(w)
			rack = append(rack, t.pair(leaves, cfg.Levels.Worker)...)
		}
		zone = append(zone, t.pair(rack, cfg.Levels.Rack)...)
	}
	t.pair(zone, MaxLevel)
}

func (t *Tree) addWorker(w Worker) []ID {
	var leaves []ID
	for i := range w.Accelerators {
		leaves = append(leaves, t.addNode(node{level: 0, parent: none, left: none, right: none}))
		t.slots = append(t.slots, Slot{Worker: w.Name, Index: i})
	}
	t.leavesByWorker[w.Name] = leaves
	return leaves
}

// addNode appends the node. Leaves and inner cells share one numbering, so slots is
// padded to store a leaf's slot at the leaf's own index.
func (t *Tree) addNode(n node) ID {
	id := ID(len(t.cells))
	t.cells = append(t.cells, n)
	t.cellsByLevel[n.level] = append(t.cellsByLevel[n.level], id)
	for len(t.slots) < int(id) {
		t.slots = append(t.slots, Slot{})
	}
	return id
}

// pair joins adjacent roots of equal level, from the lowest level up, and returns the
// remaining roots in order of proximity.
func (t *Tree) pair(roots []ID, top int) []ID {
	for level := 0; level < min(top, MaxLevel); level++ {
		roots = t.pairLevel(roots, level)
	}
	return roots
}

func (t *Tree) pairLevel(roots []ID, level int) []ID {
	var next []ID
	unpaired := none
	for _, id := range roots {
		if t.cells[id].level != level {
			next = append(next, id)
			continue
		}
		if unpaired == none {
			unpaired = len(next)
			next = append(next, id)
			continue
		}
		next[unpaired] = t.join(next[unpaired], id)
		unpaired = none
	}
	return next
}

func (t *Tree) join(left, right ID) ID {
	id := t.addNode(node{level: t.cells[left].level + 1, parent: none, left: left, right: right})
	t.cells[left].parent = id
	t.cells[right].parent = id
	return id
}

// Slots lists the accelerators of the cell.
func (t *Tree) Slots(id ID) []Slot {
	leaves := t.leaves(id, nil)
	out := make([]Slot, 0, len(leaves))
	for _, leaf := range leaves {
		out = append(out, t.slots[leaf])
	}
	return out
}

func (t *Tree) leaves(id ID, out []ID) []ID {
	n := &t.cells[id]
	if n.level == 0 {
		return append(out, id)
	}
	return t.leaves(n.right, t.leaves(n.left, out))
}

// First returns the cell's first accelerator. Together with the level it identifies the
// cell across processes.
func (t *Tree) First(id ID) Slot { return t.slots[t.leftmost(id, 0)] }

// Find returns the cell of the level whose first accelerator is the slot.
func (t *Tree) Find(level int, s Slot) (ID, bool) {
	leaves := t.leavesByWorker[s.Worker]
	if s.Index < 0 || s.Index >= len(leaves) {
		return none, false
	}
	for id := leaves[s.Index]; id != none; id = t.cells[id].parent {
		if t.cells[id].level == level {
			return id, t.leftmost(id, 0) == leaves[s.Index]
		}
	}
	return none, false
}

// Valid reports whether the cell exists and has that level.
func (t *Tree) Valid(id ID, level int) bool {
	return id >= 0 && int(id) < len(t.cells) && t.cells[id].level == level
}

// Accelerators returns the number of accelerators declared in the zone.
func (t *Tree) Accelerators() int { return len(t.cellsByLevel[0]) }

// available reports whether no unit is bound here and no accelerator is down. A unit may
// be bound to an available cell once spare work on it is stopped.
func (n *node) available() bool { return n.down == 0 && n.bound == 0 }

// clear reports whether the cell is available and has no spare work.
func (n *node) clear() bool { return n.available() && n.spare == 0 }

// unoccupied reports whether spare work may start on the cell, ignoring any reservation.
func (n *node) unoccupied() bool { return n.down+n.guaranteed+n.spare+n.avoided == 0 }

// idle reports whether spare work may start on the cell.
func (n *node) idle() bool { return n.unoccupied() && n.reserved == 0 }

// adjust changes the counters of a cell, its descendants and its ancestors, and updates
// the indexes accordingly.
func (t *Tree) adjust(id ID, change func(n *node, size int32)) {
	t.adjustDown(id, change)
	size := int32(Size(t.cells[id].level))
	for up := t.cells[id].parent; up != none; up = t.cells[up].parent {
		t.updateNode(up, change, size)
	}
}

func (t *Tree) adjustDown(id ID, change func(n *node, size int32)) {
	t.updateNode(id, change, int32(Size(t.cells[id].level)))
	if t.cells[id].level > 0 {
		t.adjustDown(t.cells[id].left, change)
		t.adjustDown(t.cells[id].right, change)
	}
}

func (t *Tree) updateNode(id ID, change func(n *node, size int32), size int32) {
	t.removeFromIndexes(id)
	change(&t.cells[id], size)
	t.addToIndexes(id)
}

// removeFromIndexes removes the cell from the indexes. It is called before the cell's
// counters change.
func (t *Tree) removeFromIndexes(id ID) {
	n := &t.cells[id]
	if n.available() {
		t.avail[n.level]--
	}
	t.idle.remove(id, n.level)
	t.clear.remove(id, n.level)
	t.withSpare.remove(id, n.level)
}

// addToIndexes adds the cell and its children to the indexes according to their counters.
func (t *Tree) addToIndexes(id ID) {
	n := &t.cells[id]
	if n.available() {
		t.avail[n.level]++
	}
	t.updateFreelists(id)
	if n.level > 0 {
		t.updateFreelists(n.left)
		t.updateFreelists(n.right)
	}
}

// updateFreelists updates the cell's membership in the free lists. They hold maximal
// cells: those whose parent is not idle (idle), not clear (clear) or not available
// (withSpare).
func (t *Tree) updateFreelists(id ID) {
	n := &t.cells[id]
	top := n.parent == none
	t.idle.set(id, n.level, n.idle() && (top || !t.cells[n.parent].idle()))
	largest := n.available() && (top || !t.cells[n.parent].available())
	t.clear.set(id, n.level, n.clear() && (top || !t.cells[n.parent].clear()))
	t.withSpare.set(id, n.level, largest && n.spare > 0)
}

// LevelOf returns the level of the cell.
func (t *Tree) LevelOf(id ID) int { return t.cells[id].level }
