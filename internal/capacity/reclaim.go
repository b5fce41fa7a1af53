package capacity

import "slices"

// Evictions lists the jobs without accelerators that have to be stopped so that the
// memory of the workers suffices, those that came last in front. What stops on one
// worker stops everywhere.
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

// tolerance is the memory in GB that is put down to tolerance.
const tolerance = 1e-6

// memoryOn is what the job has of the worker's.
func (a *Account) memoryOn(id, name string) float64 {
	j := a.jobs[id]
	return j.each.Memory * float64(j.tasksByWorker[name])
}

// Limits are the processors of each job without accelerators on the worker, if they
// have to be throttled: all by the same share. None are returned while there are
// enough.
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

// Check is the account's invariant: what is registered by worker is what the jobs
// have, and after evictions no worker's memory is given out twice.
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
			return ErrOver
		}
	}
	return nil
}
