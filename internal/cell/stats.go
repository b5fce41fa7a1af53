package cell

// Summary tells other zones whether to send a job here. For each level it has the number
// of idle cells, and of cells that can be reclaimed beyond those committed to guarantees.
type Summary struct {
	Idle  []int
	Slack []int
}

// Summary counts the idle cells and the slack of each level.
func (t *Tree) Summary() Summary {
	s := Summary{Idle: make([]int, MaxLevel+1), Slack: make([]int, MaxLevel+1)}
	for k, list := range t.idle.levels {
		for below := 0; below <= k; below++ {
			s.Idle[below] += len(list) * Size(k-below)
		}
	}
	for k := range s.Slack {
		s.Slack[k] = max(0, t.slack(k))
	}
	return s
}

// Fragmentation is the share of idle accelerators that are not part of an idle cell of
// the level: 0 if all are usable for that shape, 1 if none is.
func (t *Tree) Fragmentation(level int) float64 {
	total, usable := 0, 0
	for k, list := range t.idle.levels {
		total += len(list) * Size(k)
		if k >= level {
			usable += len(list) * Size(k)
		}
	}
	if total == 0 {
		return 0
	}
	return 1 - float64(usable)/float64(total)
}

// WorstLoss returns, for each level, the most cells that the loss of any n workers can
// remove.
func (t *Tree) WorstLoss(n int) [MaxLevel + 1]int {
	var out [MaxLevel + 1]int
	for k := range out {
		var counts []int
		for _, leaves := range t.leavesByWorker {
			counts = append(counts, t.cellsAbove(leaves, k))
		}
		out[k] = sumLargest(counts, n)
	}
	return out
}

// cellsAbove counts the cells of the level that contain at least one of the leaves.
func (t *Tree) cellsAbove(leaves []ID, level int) int {
	seen := map[ID]bool{}
	for _, leaf := range leaves {
		id := leaf
		for id != none && t.cells[id].level < level {
			id = t.cells[id].parent
		}
		if id != none {
			seen[id] = true
		}
	}
	return len(seen)
}

func sumLargest(counts []int, n int) int {
	sum := 0
	for range min(n, len(counts)) {
		best := 0
		for i := range counts {
			if counts[i] > counts[best] {
				best = i
			}
		}
		sum += counts[best]
		counts[best] = 0
	}
	return sum
}

// Shortfall returns the highest level at which the guarantees, all unbound, don't fit after
// the worst loss of n workers, and how many cells are missing there. ok is true if they
// fit at every level.
func Shortfall(cfg Config, n int) (level int, lacking int, ok bool) {
	guarantees := cfg.Guarantees
	cfg.Guarantees = nil
	t := NewTree(cfg)
	for _, g := range guarantees {
		t.addCommitted(min(g.Level, MaxLevel), g.Count)
	}
	loss := t.WorstLoss(n)
	for k := MaxLevel; k >= 0; k-- {
		if t.committed[k] > 0 && t.slack(k) < loss[k] {
			return k, loss[k] - t.slack(k), false
		}
	}
	return 0, 0, true
}
