package scheduler

import (
	"fmt"
	"slices"
	"time"
)

// CheckIndex counts all shapes anew and reports the first that the index has wrong.
func (c *Core) CheckIndex(now time.Time) error {
	c.open(now)
	c.refresh()
	rooms := map[string]room{}
	for _, w := range c.order {
		sum, own := rooms[w.info.Service], roomOf(w)
		sum.capacity, sum.free = sum.capacity.plus(own.capacity), sum.free.plus(own.free)
		for i := range sum.bySize {
			sum.bySize[i] += own.bySize[i]
		}
		rooms[w.info.Service] = sum
	}
	for service, sum := range rooms {
		if c.index.rooms[service] != sum {
			return fmt.Errorf("service %s: %+v, counted anew %+v", service, c.index.rooms[service], sum)
		}
	}
	for key, sh := range c.index.shapes {
		fresh := &shape{shapeKey: key}
		c.count(fresh)
		if sh.all != fresh.all {
			return fmt.Errorf("%+v: %+v in all, counted anew %+v", key, sh.all, fresh.all)
		}
		for i := range sh.rest {
			if !slices.Equal(sh.rest[i], fresh.rest[i]) {
				return fmt.Errorf("%+v: set %d is wrong", key, i)
			}
		}
		for _, r := range c.index.racks {
			if sh.in(r) != fresh.in(r) {
				return fmt.Errorf("%+v on %s: %+v, counted anew %+v", key, r, sh.in(r), fresh.in(r))
			}
		}
		for _, w := range c.order {
			if sh.fit[w.at] != fresh.fit[w.at] || sh.reach[w.at] != fresh.reach[w.at] {
				return fmt.Errorf("%+v on %s: wrong", key, w.id)
			}
			if w.rack != nil && sh.fit[w.at] > 0 && sh.set[w.at] != fresh.set[w.at] {
				return fmt.Errorf("%+v on %s: in set %d, counted anew %d", key, w.id, sh.set[w.at], fresh.set[w.at])
			}
		}
	}
	return nil
}

// Looks is how many workers were looked at so far to place tasks.
func (c *Core) Looks() int64 { return c.looks }
