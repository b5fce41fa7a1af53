package capacity

import "slices"

// Evictions lists the jobs without accelerators that have to be stopped so that the
// memory of the workers suffices, those that came last in front. What stops on one
// worker stops everywhere.
func (a *Account) Evictions(workers []string) []string {
	var out []string
	for _, name := range workers {
		w := a.byName[name]
		if w == nil {
			continue
		}
		lacking := -a.free(w).Memory
		for _, id := range out {
			lacking -= a.memory(id, name)
		}
		for _, id := range slices.Backward(w.jobs) {
			if lacking <= rounding {
				break
			}
			if !slices.Contains(out, id) {
				lacking -= a.memory(id, name)
				out = append(out, id)
			}
		}
	}
	return out
}

// rounding is the memory in GB that is put down to rounding.
const rounding = 1e-6

// memory is what the job has of the worker's.
func (a *Account) memory(id, name string) float64 {
	j := a.jobs[id]
	return j.each.Memory * float64(j.tasks[name])
}

// Limits are the processors of each job without accelerators on the worker, if they
// have to be throttled: all by the same share. None are returned while there are
// enough.
func (a *Account) Limits(name string) map[string]float64 {
	w := a.byName[name]
	if w == nil || w.used.Cores == 0 {
		return nil
	}
	lent := a.each.Cores - a.part(w).Cores
	if w.used.Cores <= lent {
		return nil
	}
	out := map[string]float64{}
	for _, id := range w.jobs {
		j := a.jobs[id]
		out[id] = j.each.Cores * float64(j.tasks[name]) * lent / w.used.Cores
	}
	return out
}

// Check is the account's invariant: what is registered by worker is what the jobs
// have, and after evictions no worker's memory is given out twice.
func (a *Account) Check() error {
	used, taken := map[string]Size{}, map[string]int{}
	for _, j := range a.jobs {
		for name, n := range j.tasks {
			used[name] = used[name].plus(j.each.Times(n))
		}
		for name, n := range j.accelerators {
			taken[name] += n
		}
	}
	for _, w := range a.workers {
		off := w.used.plus(used[w.name].Times(-1))
		if max(off.Cores, -off.Cores, off.Memory, -off.Memory) > rounding || w.taken != taken[w.name] {
			return ErrAccount
		}
		if a.free(w).Memory < -rounding {
			return ErrOver
		}
	}
	return nil
}
