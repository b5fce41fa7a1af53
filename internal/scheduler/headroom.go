package scheduler

import (
	"math"
	"time"
)

const (
	// rateWindow is over which time the arrival of urgent work is averaged: bursts on the
	// sites last some seconds.
	rateWindow = 2 * time.Second
	// maxHeadroom bounds the share of a service's capacity that is kept free, so that a
	// single large job doesn't hold up all others.
	maxHeadroom = 0.25
)

// room sums over the workers of a service that may be given work.
type room struct {
	capacity, free Resources
	// bySize has the free accelerators of workers with so many free; the last entry is
	// for maxRest and more.
	bySize [maxRest + 1]int64
}

// roomOf is what a worker adds to the room of its service.
func roomOf(w *worker) room {
	if !w.open {
		return room{}
	}
	r := room{capacity: w.info.Capacity, free: w.free(math.MaxInt).floor()}
	r.bySize[min(r.free.Accelerators, maxRest)] = r.free.Accelerators
	return r
}

// floor is the resources with nothing below zero.
func (r Resources) floor() Resources {
	return Resources{max(r.CPU, 0), max(r.Memory, 0), max(r.Accelerators, 0)}
}

// tally counts the room of one worker anew.
func (ix *index) tally(w *worker) {
	now := roomOf(w)
	if now == w.room {
		return
	}
	sum := ix.rooms[w.info.Service]
	sum.capacity = sum.capacity.plus(now.capacity).minus(w.room.capacity)
	sum.free = sum.free.plus(now.free).minus(w.room.free)
	for i := range sum.bySize {
		sum.bySize[i] += now.bySize[i] - w.room.bySize[i]
	}
	ix.rooms[w.info.Service], w.room = sum, now
}

// demandRate is an average of the resources that arriving work asks for, in resources a
// second. It decays by e in each rateWindow.
type demandRate struct {
	cpu, memory float64
	// accelerators by how many a task takes; the last entry is for maxRest and more.
	accelerators [maxRest + 1]float64
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

func (d *demandRate) add(r Resources, times float64) {
	times /= rateWindow.Seconds()
	d.cpu += times * float64(r.CPU)
	d.memory += times * float64(r.Memory)
	d.accelerators[min(r.Accelerators, maxRest)] += times * float64(r.Accelerators)
}

// arrived notes the arrival of an urgent job. One that was accepted a while ago, under
// an earlier leader, counts as much as it would by now.
func (c *Core) arrived(now time.Time, j *job) {
	d := c.urgent[j.queue.Service]
	if d == nil {
		d = &demandRate{at: now}
		c.urgent[j.queue.Service] = d
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
func (c *Core) headroom(service string) (keep Resources, below int64) {
	d := c.urgent[service]
	if d == nil {
		return Resources{}, 0
	}
	r, seconds := c.index.rooms[service], c.cfg.StopTime.Seconds()
	bound := func(rate float64, capacity int64) int64 {
		return int64(min(rate*seconds, maxHeadroom*float64(capacity)))
	}
	free, rate := int64(0), 0.0
	for size := maxRest; size > 0; size-- {
		free += r.bySize[size]
		rate += d.accelerators[size]
		keep.Accelerators = bound(rate, r.capacity.Accelerators)
		if free < keep.Accelerators {
			below = int64(size)
		}
	}
	keep.CPU, keep.Memory = bound(d.cpu, r.capacity.CPU), bound(d.memory, r.capacity.Memory)
	return keep, below
}

// yields reports whether the step has to leave all that is free to urgent work to come,
// and notes which workers it has to leave. A gang that has capacity kept for it may use
// that.
func (c *Core) yields(s *step) bool {
	s.below = 0
	if s.occ.job.level < levelOther || s.tasks[0].plan != nil {
		return false
	}
	c.refresh()
	service := s.occ.job.queue.Service
	free := c.index.rooms[service].free
	keep, below := c.headroom(service)
	s.below = below
	if below == 0 && free.Fits(keep) {
		return false
	}
	if !s.yielded {
		s.yielded = true
		c.cfg.Logger.Info("capacity is left to urgent work", "job", s.occ.job.spec.ID, "step", s.index,
			"free", free.Accelerators, "kept", keep.Accelerators, "below", below, "free_cpu", free.CPU, "kept_cpu", keep.CPU)
	}
	return below == 1 || free.CPU < keep.CPU || free.Memory < keep.Memory
}

// leaves reports whether the step leaves a worker with so many free accelerators to
// urgent work.
func (s *step) leaves(free int64) bool { return s.below > 0 && free >= s.below }

// setsFor lists the sets of workers that the step doesn't leave to urgent work.
func (sh *shape) setsFor(s *step) []bitset {
	if s.below == 0 {
		return sh.rest[:]
	}
	return sh.rest[:min(max(s.below-sh.need.Accelerators, 0), int64(len(sh.rest)))]
}
