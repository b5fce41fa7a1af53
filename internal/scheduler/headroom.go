package scheduler

import (
	"math"
	"time"
)

const (
	// rateWindow is over which time the arrival of urgent work is averaged: bursts on the
	// sites last some seconds.
	rateWindow = 2 * time.Second
	// maxHeadroomShare bounds the share of a service's capacity that is kept free, so that a
	// single large job doesn't hold up all others.
	maxHeadroomShare = 0.25
)

// usableCapacity sums over the workers of a service that may be given work.
type usableCapacity struct {
	capacity, free Resources
	// freeBySize has the free accelerators of workers with so many free; the last entry is
	// for maxRest and more.
	freeBySize [maxBucket + 1]int64
}

// usableCapacityOf is what a worker adds to the room of its service.
func usableCapacityOf(w *worker) usableCapacity {
	if !w.schedulable {
		return usableCapacity{}
	}
	r := usableCapacity{capacity: w.info.Capacity, free: w.free(math.MaxInt).clampToZero()}
	r.freeBySize[min(r.free.Accelerators, maxBucket)] = r.free.Accelerators
	return r
}

// clampToZero is the resources with nothing below zero.
func (r Resources) clampToZero() Resources {
	return Resources{max(r.CPU, 0), max(r.Memory, 0), max(r.Accelerators, 0)}
}

// updateTotals counts the room of one worker anew.
func (ix *index) updateTotals(w *worker) {
	current := usableCapacityOf(w)
	if current == w.usableCapacity {
		return
	}
	sum := ix.totals[w.info.Service]
	sum.capacity = sum.capacity.plus(current.capacity).minus(w.usableCapacity.capacity)
	sum.free = sum.free.plus(current.free).minus(w.usableCapacity.free)
	for i := range sum.freeBySize {
		sum.freeBySize[i] += current.freeBySize[i] - w.usableCapacity.freeBySize[i]
	}
	ix.totals[w.info.Service], w.usableCapacity = sum, current
}

// demandRate is an average of the resources that arriving work asks for, in resources a
// second. It decays by e in each rateWindow.
type demandRate struct {
	cpu, memory float64
	// accelerators by how many a task takes; the last entry is for maxRest and more.
	accelerators [maxBucket + 1]float64
	at           time.Time
}

func (d *demandRate) decay(now time.Time) {
	factor := math.Exp(-max(now.Sub(d.at), 0).Seconds() / rateWindow.Seconds())
	d.cpu *= factor
	d.memory *= factor
	for i := range d.accelerators {
		d.accelerators[i] *= factor
	}
	d.at = now
}

func (d *demandRate) add(r Resources, count float64) {
	count /= rateWindow.Seconds()
	d.cpu += count * float64(r.CPU)
	d.memory += count * float64(r.Memory)
	d.accelerators[min(r.Accelerators, maxBucket)] += count * float64(r.Accelerators)
}

// recordUrgentArrival notes the arrival of an urgent job. One that was accepted a while ago, under
// an earlier leader, counts as much as it would by now.
func (c *Core) recordUrgentArrival(now time.Time, j *job) {
	d := c.urgentDemand[j.queue.Service]
	if d == nil {
		d = &demandRate{at: now}
		c.urgentDemand[j.queue.Service] = d
	}
	d.decay(now)
	weight := math.Exp(-max(now.Sub(j.accepted), 0).Seconds() / rateWindow.Seconds())
	for i := range j.spec.Steps {
		s := &j.spec.Steps[i]
		d.add(s.demand(), weight*float64(s.Count))
	}
}

// headroom is what a service's workers keep free for urgent work to come: as much as
// arrives while a stop lasts. In a full pool all urgent work has to wait for stops
// otherwise, and what was just started is thrown away. Accelerators that are free on
// workers with fewer than urgent tasks take don't count for these: below is the least
// number of free accelerators by which a worker is left to urgent work, or 0 if none is.
func (c *Core) headroom(service string) (keep Resources, freeLimit int64) {
	d := c.urgentDemand[service]
	if d == nil {
		return Resources{}, 0
	}
	r, seconds := c.index.totals[service], c.cfg.StopTime.Seconds()
	bound := func(rate float64, capacity int64) int64 {
		return int64(min(rate*seconds, maxHeadroomShare*float64(capacity)))
	}
	free, rate := int64(0), 0.0
	for size := maxBucket; size > 0; size-- {
		free += r.freeBySize[size]
		rate += d.accelerators[size]
		keep.Accelerators = bound(rate, r.capacity.Accelerators)
		if free < keep.Accelerators {
			freeLimit = int64(size)
		}
	}
	keep.CPU, keep.Memory = bound(d.cpu, r.capacity.CPU), bound(d.memory, r.capacity.Memory)
	return keep, freeLimit
}

// blockedByHeadroom reports whether the step has to leave all that is free to urgent work to come,
// and notes which workers it has to leave. A gang that has capacity kept for it may use
// that.
func (c *Core) blockedByHeadroom(s *step) bool {
	s.freeLimit = 0
	if s.occ.job.level < levelOther || s.tasks[0].reservation != nil {
		return false
	}
	c.refresh()
	service := s.occ.job.queue.Service
	free := c.index.totals[service].free
	keep, freeLimit := c.headroom(service)
	s.freeLimit = freeLimit
	if freeLimit == 0 && free.Fits(keep) {
		return false
	}
	if !s.headroomLogged {
		s.headroomLogged = true
		c.cfg.Logger.Info("capacity is left to urgent work", "job", s.occ.job.spec.ID, "step", s.index,
			"free", free.Accelerators, "kept", keep.Accelerators, "below", freeLimit, "free_cpu", free.CPU, "kept_cpu", keep.CPU)
	}
	return freeLimit == 1 || free.CPU < keep.CPU || free.Memory < keep.Memory
}

// exceedsFreeLimit reports whether the step exceedsFreeLimit a worker with so many free accelerators to
// urgent work.
func (s *step) exceedsFreeLimit(free int64) bool { return s.freeLimit > 0 && free >= s.freeLimit }

// bucketsFor lists the sets of workers that the step doesn't leave to urgent work.
func (ft *fitTable) bucketsFor(s *step) []bitset {
	if s.freeLimit == 0 {
		return ft.buckets[:]
	}
	return ft.buckets[:min(max(s.freeLimit-ft.need.Accelerators, 0), int64(len(ft.buckets)))]
}
