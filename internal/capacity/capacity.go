// Package capacity tracks the processors and memory of a zone's workers and chooses
// workers for jobs without accelerators.
//
// Each accelerator has an equal share of its worker's processors and memory. While it is
// idle, jobs without accelerators may use that share. When a job is placed on the
// accelerator, the share is taken back: processors by throttling, memory by stopping the
// most recently placed jobs. A job without accelerators therefore never blocks a
// guaranteed shape.
package capacity

import (
	"slices"

	"github.com/google/btree"
	"github.com/joomcode/errorx"

	"rhubarbshore/internal/cell"
)

// Errors of this package. Callers test for them with errors.Is.
var (
	namespace = errorx.NewNamespace("capacity")
	// ErrInfeasible is returned for a job that the zone could never hold.
	ErrInfeasible = errorx.NewType(namespace, "infeasible").New("the zone has no capacity for the job, even if idle")
	// ErrAccount is returned if a worker's recorded usage differs from that of its jobs.
	ErrAccount = errorx.NewType(namespace, "account").New("a worker's recorded usage differs from the usage of its jobs")
	// ErrOvercommitted is returned if a worker's memory is overcommitted.
	ErrOvercommitted = errorx.NewType(namespace, "over").New("a worker's memory is overcommitted")
	// ErrBusy is returned if there is not enough capacity now.
	ErrBusy = errorx.NewType(namespace, "busy").New("there is not enough capacity now")
)

// Size is an amount of processors, and of memory in GB.
type Size struct {
	Cores  float64
	Memory float64
}

func (s Size) plus(o Size) Size { return Size{s.Cores + o.Cores, s.Memory + o.Memory} }

// Times returns the total size of n such sizes.
func (s Size) Times(n int) Size { return Size{s.Cores * float64(n), s.Memory * float64(n)} }

// fits returns how many times the smaller size fits, at most maxTasks.
func (s Size) fits(each Size) int {
	n := maxTasks
	if each.Cores > 0 {
		n = min(n, int(s.Cores/each.Cores))
	}
	if each.Memory > 0 {
		n = min(n, int(s.Memory/each.Memory))
	}
	return max(0, n)
}

const (
	// maxTasks bounds the tasks of one job on one worker.
	maxTasks = 1 << 16
	// degree is the B-tree degree of the index.
	degree = 16
)

// Config describes a zone for New. Each is the size of every worker.
type Config struct {
	Racks []cell.Rack
	Each  Size
}

// worker is a worker with the resources that jobs use on it.
type worker struct {
	name         string
	accelerators int
	accelInUse   int
	down         bool
	avoided      bool
	used         Size
	// jobs lists the jobs without accelerators in the order of their placement.
	jobs []string
	// changed is set while the worker is in Account.changed.
	changed bool
	// entry is the worker's entry in the index, nil if it accepts no new tasks.
	entry *indexEntry
}

// indexEntry orders the workers that accept new tasks. Workers without accelerators come
// first, so that few accelerator shares are used. Among equals the worker with the least
// free memory comes first, so that jobs without accelerators are packed onto few workers.
type indexEntry struct {
	shared bool
	free   float64
	worker *worker
}

func lessEntry(x, y *indexEntry) bool {
	if x.shared != y.shared {
		return y.shared
	}
	if x.free != y.free {
		return x.free < y.free
	}
	return x.worker.name < y.worker.name
}

// job records a job's tasks, or its accelerators, by worker.
type job struct {
	each          Size
	tasksByWorker map[string]int
	accelByWorker map[string]int
}

// Account records the resources of each worker of a zone and their use by jobs. It is not
// safe for concurrent use: the placer's goroutine owns it.
type Account struct {
	each          Size
	workersByName map[string]*worker
	workers       []*worker
	jobs          map[string]*job
	index         *btree.BTreeG[*indexEntry]
	changed       []string
}

// New returns the account of an idle zone.
func New(cfg Config) *Account {
	a := &Account{each: cfg.Each, workersByName: map[string]*worker{}, jobs: map[string]*job{}, index: btree.NewG(degree, lessEntry)}
	for _, r := range cfg.Racks {
		for _, w := range r.Workers {
			v := &worker{name: w.Name, accelerators: w.Accelerators}
			a.workersByName[w.Name] = v
			a.updateIndex(v)
			a.workers = append(a.workers, v)
		}
	}
	return a
}

// acceleratorShare returns the share that belongs to the worker's accelerators in use.
func (a *Account) acceleratorShare(w *worker) Size {
	if w.accelerators == 0 {
		return Size{}
	}
	fraction := float64(min(w.accelInUse, w.accelerators)) / float64(w.accelerators)
	return Size{Cores: a.each.Cores * fraction, Memory: a.each.Memory * fraction}
}

// free is the capacity left for jobs without accelerators. It is negative if those that
// run already use too much.
func (a *Account) free(w *worker) Size {
	acceleratorShare := a.acceleratorShare(w)
	return Size{
		Cores:  a.each.Cores - acceleratorShare.Cores - w.used.Cores,
		Memory: a.each.Memory - acceleratorShare.Memory - w.used.Memory,
	}
}

// Feasible reports whether the idle zone could hold the tasks.
func (a *Account) Feasible(tasks int, each Size) bool {
	return len(a.workers)*a.each.fits(each) >= tasks
}

// Place chooses workers for all tasks of a job, or for none, and registers them.
func (a *Account) Place(id string, tasks int, each Size) (map[string]int, error) {
	if !a.Feasible(tasks, each) {
		return nil, ErrInfeasible
	}
	tasksByWorker := map[string]int{}
	remaining := tasks
	assign := func(e *indexEntry) bool {
		if n := min(remaining, a.free(e.worker).fits(each)); n > 0 {
			tasksByWorker[e.worker.name] = n
			remaining -= n
		}
		return remaining > 0
	}
	for _, shared := range []bool{false, true} {
		first := &indexEntry{shared: shared, free: each.Memory, worker: &worker{}}
		a.index.AscendGreaterOrEqual(first, func(e *indexEntry) bool { return e.shared == shared && assign(e) })
		if remaining == 0 {
			a.HoldTasks(id, tasksByWorker, each)
			return tasksByWorker, nil
		}
	}
	return nil, ErrBusy
}

// removeFromIndex removes the worker from the index.
func (a *Account) removeFromIndex(w *worker) {
	if w.entry != nil {
		a.index.Delete(w.entry)
		w.entry = nil
	}
}

// updateIndex marks the worker as changed and moves it to its current place in the index,
// or removes it if it accepts no new tasks.
func (a *Account) updateIndex(w *worker) {
	a.removeFromIndex(w)
	if !w.changed {
		w.changed = true
		a.changed = append(a.changed, w.name)
	}
	if !w.down && !w.avoided {
		w.entry = &indexEntry{shared: w.accelerators > 0, free: a.free(w).Memory, worker: w}
		a.index.ReplaceOrInsert(w.entry)
	}
}

// HoldTasks registers a job without accelerators on the workers, even if that exceeds their
// capacity, since their lease tables may show that it already runs there.
func (a *Account) HoldTasks(id string, tasksByWorker map[string]int, each Size) {
	a.Release(id)
	a.jobs[id] = &job{each: each, tasksByWorker: tasksByWorker}
	for name, n := range tasksByWorker {
		if w := a.workersByName[name]; w != nil {
			w.used = w.used.plus(each.Times(n))
			w.jobs = append(w.jobs, id)
			a.updateIndex(w)
		}
	}
}

// HoldAccelerators registers a job's accelerators by worker.
func (a *Account) HoldAccelerators(id string, accelByWorker map[string]int) {
	a.Release(id)
	a.jobs[id] = &job{accelByWorker: accelByWorker}
	for name, n := range accelByWorker {
		if w := a.workersByName[name]; w != nil {
			w.accelInUse += n
			a.updateIndex(w)
		}
	}
}

// Release frees all resources of the job. Unknown jobs are ignored.
func (a *Account) Release(id string) {
	j := a.jobs[id]
	if j == nil {
		return
	}
	delete(a.jobs, id)
	for name, n := range j.accelByWorker {
		if w := a.workersByName[name]; w != nil {
			w.accelInUse -= n
			a.updateIndex(w)
		}
	}
	for name, n := range j.tasksByWorker {
		if w := a.workersByName[name]; w != nil {
			w.used = w.used.plus(j.each.Times(-n))
			w.jobs = slices.DeleteFunc(w.jobs, func(o string) bool { return o == id })
			a.updateIndex(w)
		}
	}
}

// Resize changes the size that is accounted for each task of a running job.
func (a *Account) Resize(id string, each Size) {
	j := a.jobs[id]
	if j == nil || j.tasksByWorker == nil {
		return
	}
	for name, n := range j.tasksByWorker {
		if w := a.workersByName[name]; w != nil {
			w.used = w.used.plus(each.Times(n)).plus(j.each.Times(-n))
			a.updateIndex(w)
		}
	}
	j.each = each
}

// Changed lists the workers whose account has changed since the last call. The limits of
// all other workers are unchanged.
func (a *Account) Changed() []string {
	out := a.changed
	a.changed = nil
	for _, name := range out {
		a.workersByName[name].changed = false
	}
	return out
}

// Tasks returns the number of tasks on each worker for a job without accelerators.
func (a *Account) Tasks(id string) map[string]int {
	if j := a.jobs[id]; j != nil {
		return j.tasksByWorker
	}
	return nil
}

// eighths is the unit of FreeEighths.
const eighths = 8

// FreeEighths returns how many eighths of the zone's processors and memory are free for
// jobs without accelerators: the smaller of the two.
func (a *Account) FreeEighths() int {
	var free, total Size
	for _, w := range a.workers {
		total = total.plus(a.each)
		if f := a.free(w); !w.down && f.Cores > 0 && f.Memory > 0 {
			free = free.plus(f)
		}
	}
	if total.Cores == 0 || total.Memory == 0 {
		return 0
	}
	return int(eighths * min(free.Cores/total.Cores, free.Memory/total.Memory))
}

// Used returns the size accounted for jobs without accelerators on the worker.
func (a *Account) Used(name string) Size {
	if w := a.workersByName[name]; w != nil {
		return w.used
	}
	return Size{}
}

// Busy reports whether jobs without accelerators have tasks on the worker.
func (a *Account) Busy(name string) bool {
	w := a.workersByName[name]
	return w != nil && len(w.jobs) > 0
}

// SetDown records the loss or return of a worker and returns the jobs without
// accelerators that ran on a lost one.
func (a *Account) SetDown(name string, down bool) []string {
	w := a.workersByName[name]
	if w == nil || w.down == down {
		return nil
	}
	w.down = down
	a.updateIndex(w)
	if !down {
		return nil
	}
	return slices.Clone(w.jobs)
}

// SetAvoided excludes a worker from new placements, or includes it again.
func (a *Account) SetAvoided(name string, avoided bool) {
	if w := a.workersByName[name]; w != nil {
		w.avoided = avoided
		a.updateIndex(w)
	}
}
