package scheduler

import (
	"fmt"
	"slices"
	"time"
)

// CheckIndex recounts all totals and fit tables, and reports the first that differs in the
// index.
func (c *Core) CheckIndex(now time.Time) error {
	c.updateSchedulable(now)
	c.refresh()
	totals := map[string]usableCapacity{}
	for _, w := range c.sortedWorkers {
		sum, own := totals[w.info.Service], usableCapacityOf(w)
		sum.capacity, sum.free = sum.capacity.Plus(own.capacity), sum.free.Plus(own.free)
		sum.registered, sum.used = sum.registered.Plus(own.registered), sum.used.Plus(own.used)
		for i := range sum.freeBySize {
			sum.freeBySize[i] += own.freeBySize[i]
		}
		totals[w.info.Service] = sum
	}
	for service, sum := range totals {
		if c.index.totals[service] != sum {
			return fmt.Errorf("service %s: %+v, recounted %+v", service, c.index.totals[service], sum)
		}
	}
	for key, ft := range c.index.fitTables {
		want := &fitTable{fitKey: key}
		c.countFits(want)
		if ft.total != want.total {
			return fmt.Errorf("%+v: %+v in total, recounted %+v", key, ft.total, want.total)
		}
		for i := range ft.buckets {
			if !slices.Equal(ft.buckets[i], want.buckets[i]) {
				return fmt.Errorf("%+v: bucket %d is wrong", key, i)
			}
		}
		for _, r := range c.index.racks {
			if ft.fitIn(r) != want.fitIn(r) {
				return fmt.Errorf("%+v on %s: %+v, recounted %+v", key, r, ft.fitIn(r), want.fitIn(r))
			}
		}
		for _, w := range c.sortedWorkers {
			if ft.fitFree[w.pos] != want.fitFree[w.pos] || ft.fitPreempt[w.pos] != want.fitPreempt[w.pos] {
				return fmt.Errorf("%+v on %s: counts are wrong", key, w.id)
			}
			if w.rack != nil && ft.fitFree[w.pos] > 0 && ft.bucket[w.pos] != want.bucket[w.pos] {
				return fmt.Errorf("%+v on %s: in bucket %d, recounted %d", key, w.id, ft.bucket[w.pos], want.bucket[w.pos])
			}
		}
	}
	return nil
}

// Evaluations returns how many workers have been evaluated so far to place tasks.
func (c *Core) Evaluations() int64 { return c.evaluations }

// Quarantined returns how many workers get no new work because runs went wrong there.
func (c *Core) Quarantined(now time.Time) int {
	n := 0
	for _, w := range c.sortedWorkers {
		if now.Before(w.quarantinedUntil) {
			n++
		}
	}
	return n
}

// QuarantinedOf returns how many workers of a service get no new work because runs went wrong there.
func (c *Core) QuarantinedOf(now time.Time, service string) int {
	n := 0
	for _, w := range c.sortedWorkers {
		if w.info.Service == service && now.Before(w.quarantinedUntil) {
			n++
		}
	}
	return n
}

// GangReservations returns for how many gangs capacity is reserved until running work ends.
func (c *Core) GangReservations() int {
	n := 0
	for _, j := range c.active {
		for _, o := range j.occs {
			for _, s := range o.steps {
				if s.spec.Gang && j.level >= levelOther && s.tasks[0].reservation != nil {
					n++
				}
			}
		}
	}
	return n
}

// GangReservationEnd returns the job with a gang reservation in a service and when that expires.
func (c *Core) GangReservationEnd(service string) (job string, expires time.Time) {
	h := c.gangReservations[service]
	if h == nil {
		return "", time.Time{}
	}
	return h.step.occ.job.spec.ID, h.step.tasks[0].reservation.expires
}

// Due returns when an occurrence of a timed job is due.
func Due(j *Job, number int) time.Time { return newOccurrence(&job{spec: *j}, number).due }
