package capacity

import "slices"

// Evictions lists the jobs without accelerators to stop so that the memory of the workers
// suffices, most recently placed first. A job that is stopped on one worker is stopped on
// all of them.
func (a *Account) Evictions(workers []string) []string {
	var victims []string
	for _, name := range workers {
		w := a.workersByName[name]
		if w == nil {
			continue
		}
		deficit := -a.free(w).Memory
		for _, id := range victims {
			deficit -= a.memoryOn(id, name)
		}
		for _, id := range slices.Backward(w.jobs) {
			if deficit <= tolerance {
				break
			}
			if !slices.Contains(victims, id) {
				deficit -= a.memoryOn(id, name)
				victims = append(victims, id)
			}
		}
	}
	return victims
}

// tolerance is the difference, in GB or processors, that is attributed to rounding.
const tolerance = 1e-6

// memoryOn returns the memory that the job uses on the worker.
func (a *Account) memoryOn(id, name string) float64 {
	j := a.jobs[id]
	return j.each.Memory * float64(j.tasksByWorker[name])
}

// Limits returns the processor limit of each job without accelerators on the worker, all
// reduced by the same factor. It returns nil if the processors suffice without
// throttling.
func (a *Account) Limits(name string) map[string]float64 {
	w := a.workersByName[name]
	if w == nil || w.used.Cores == 0 {
		return nil
	}
	available := a.each.Cores - a.acceleratorShare(w).Cores
	if w.used.Cores <= available {
		return nil
	}
	limits := map[string]float64{}
	for _, id := range w.jobs {
		j := a.jobs[id]
		limits[id] = j.each.Cores * float64(j.tasksByWorker[name]) * available / w.used.Cores
	}
	return limits
}

// Check verifies the account's invariants: the usage recorded for each worker equals the
// sum of its jobs, and no worker's memory is overcommitted. The latter holds only after
// evictions.
func (a *Account) Check() error {
	used, accelInUse := map[string]Size{}, map[string]int{}
	for _, j := range a.jobs {
		for name, n := range j.tasksByWorker {
			used[name] = used[name].plus(j.each.Times(n))
		}
		for name, n := range j.accelByWorker {
			accelInUse[name] += n
		}
	}
	for _, w := range a.workers {
		diff := w.used.plus(used[w.name].Times(-1))
		if max(diff.Cores, -diff.Cores, diff.Memory, -diff.Memory) > tolerance || w.accelInUse != accelInUse[w.name] {
			return ErrAccount
		}
		if a.free(w).Memory < -tolerance {
			return ErrOvercommitted
		}
	}
	return nil
}
