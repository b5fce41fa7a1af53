package scheduler

import (
	"math"
	"time"
)

const (
	// rateWindow is the time over which the arrival rate of urgent work is averaged: bursts
	// on the sites last some seconds.
	rateWindow = 2 * time.Second
	// maxHeadroomShare limits the share of a service's capacity that is kept free, so that
	// a single large job doesn't hold up all others.
	maxHeadroomShare = 0.25
)

// usableCapacity is the capacity of the schedulable workers of a service, or one worker's
// part of it.
type usableCapacity struct {
	capacity, free Resources
	// registered and used cover all registered workers, schedulable or not.
	registered, used Resources
	// freeBySize sums the free accelerators of workers by the number that a worker has
	// free; the last entry is for maxBucket and more.
	freeBySize [maxBucket + 1]int64
}

// usableCapacityOf returns a worker's part of the usable capacity of its service.
func usableCapacityOf(w *worker) usableCapacity {
	var r usableCapacity
	if w.listed {
		r.registered, r.used = w.info.Capacity, w.used
	}
	if !w.schedulable {
		return r
	}
	r.capacity, r.free = w.info.Capacity, w.free(math.MaxInt).clampToZero()
	r.freeBySize[min(r.free.Accelerators, maxBucket)] = r.free.Accelerators
	return r
}

// clampToZero replaces negative amounts by zero.
func (r Resources) clampToZero() Resources {
	return Resources{max(r.CPU, 0), max(r.Memory, 0), max(r.Accelerators, 0)}
}

// updateTotals updates the totals of a worker's service after the worker has changed.
func (ix *index) updateTotals(w *worker) {
	current := usableCapacityOf(w)
	if current == w.usableCapacity {
		return
	}
	sum := ix.totals[w.info.Service]
	sum.capacity = sum.capacity.Plus(current.capacity).Minus(w.usableCapacity.capacity)
	sum.free = sum.free.Plus(current.free).Minus(w.usableCapacity.free)
	sum.registered = sum.registered.Plus(current.registered).Minus(w.usableCapacity.registered)
	sum.used = sum.used.Plus(current.used).Minus(w.usableCapacity.used)
	for i := range sum.freeBySize {
		sum.freeBySize[i] += current.freeBySize[i] - w.usableCapacity.freeBySize[i]
	}
	ix.totals[w.info.Service], w.usableCapacity = sum, current
}

// demandRate is a moving average of the resources that arriving work requests per second.
// It decays by a factor of e in each rateWindow.
type demandRate struct {
	cpu, memory float64
	// accelerators by the number that a task requests; the last entry is for maxBucket and
	// more.
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

// recordUrgentArrival adds an urgent job to the demand rate. A job that was accepted
// earlier, under a previous leader, is added with the weight to which it would have decayed
// by now.
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

// headroom returns the capacity that a service keeps free for future urgent work: as much
// as arrives in the time that a stop takes. Without it, all urgent work in a full pool has
// to wait for stops, and work that has just been started is lost. Free accelerators don't
// count for urgent tasks that request more of them than the worker has free. Workers with
// at least freeLimit free accelerators are left to urgent work; 0 means that there are
// none.
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

// blockedByHeadroom reports whether the step has to leave all free capacity to future
// urgent work. It also sets the step's freeLimit. A gang with reserved capacity is not
// restricted.
func (c *Core) blockedByHeadroom(s *step) bool {
	s.freeLimit = 0
	if s.occ.job.level < levelOther || s.right.anywhere || s.tasks[0].reservation != nil {
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

// exceedsFreeLimit reports whether the step has to leave a worker with this many free
// accelerators to urgent work.
func (s *step) exceedsFreeLimit(free int64) bool { return s.freeLimit > 0 && free >= s.freeLimit }

// bucketsFor returns the buckets without those of workers that the step has to leave to
// urgent work.
func (ft *fitTable) bucketsFor(s *step) []bitset {
	if s.freeLimit == 0 {
		return ft.buckets[:]
	}
	return ft.buckets[:min(max(s.freeLimit-ft.need.Accelerators, 0), int64(len(ft.buckets)))]
}
