package queue

import (
	"sort"
	"time"

	"rhubarbshore/internal/request"
)

// unknownKindDivisor divides a kind's timeout to estimate the cost of its requests until
// one of them has been answered.
const unknownKindDivisor = 8

// customer holds the waiting requests of one customer, one queue per kind.
type customer struct {
	name   string
	queues []*kindQueue // highest density first
	// virtualTime is the slot time received, in seconds, divided by the customer's share.
	virtualTime float64
	count       int
}

// kindQueue holds the waiting requests of one kind in order of arrival, which is also the
// order of their deadlines.
type kindQueue struct {
	kind    string
	density float64 // worth per second of slot time
	cost    float64 // expected seconds in a slot
	items   []*item
}

// cost is the expected time in a slot, in seconds.
func (q *Queue) cost(r *request.Request) float64 {
	if c, ok := q.costs[r.Kind]; ok {
		return max(c, 1e-6)
	}
	return max(r.Timeout.Seconds()/unknownKindDivisor, 1e-6)
}

// admit queues the request, or rejects it immediately if it can't be completed within its
// window.
func (q *Queue) admit(it *item) {
	now := time.Now()
	wait := q.expectedWait(it, now)
	if now.Add(time.Duration((wait + q.cost(it.req)) * float64(time.Second))).After(it.req.Deadline) {
		q.abort(it, request.ReasonWindow)
		return
	}
	q.push(it)
	if q.waiting > q.cfg.Size {
		q.shed()
	}
}

// expectedWait estimates, in seconds, how long the requests of the same customer that are
// ahead of the item will take at the customer's share of the capacity.
func (q *Queue) expectedWait(it *item, now time.Time) float64 {
	c := q.customers[it.req.Customer]
	if c == nil || c.count == 0 {
		return 0
	}
	density := it.req.Worth / q.cost(it.req)
	workAhead := 0.0
	for _, kq := range c.queues {
		if kq.density >= density {
			workAhead += float64(len(kq.items)) * kq.cost
		}
	}
	totalShare := 0.0
	for _, o := range q.active {
		totalShare += q.share(o.name)
	}
	capacity := float64(max(1, q.cfg.Router.Capacity(now)))
	return workAhead / (capacity * q.share(c.name) / max(totalShare, q.share(c.name)))
}

func (q *Queue) share(name string) float64 {
	if s := q.shares[name]; s > 0 {
		return s
	}
	return 1
}

// push adds the request to its customer's queue for its kind, a retry at the front.
func (q *Queue) push(it *item) {
	c := q.customers[it.req.Customer]
	if c == nil {
		c = &customer{name: it.req.Customer}
		q.customers[it.req.Customer] = c
	}
	if c.count == 0 {
		c.virtualTime = max(c.virtualTime, q.virtualClock)
		q.active = append(q.active, c)
	}
	kq := c.kindQueue(it.req.Kind)
	kq.cost = q.cost(it.req)
	kq.density = it.req.Worth / kq.cost
	if it.attempts > 0 {
		kq.items = append([]*item{it}, kq.items...)
	} else {
		kq.items = append(kq.items, it)
	}
	sort.SliceStable(c.queues, func(i, j int) bool { return c.queues[i].density > c.queues[j].density })
	c.count++
	q.waiting++
}

func (c *customer) kindQueue(kind string) *kindQueue {
	for _, kq := range c.queues {
		if kq.kind == kind {
			return kq
		}
	}
	kq := &kindQueue{kind: kind}
	c.queues = append(c.queues, kq)
	return kq
}

// dequeue removes and returns the request to send next, or nil if none is left.
func (q *Queue) dequeue(now time.Time) *item {
	for q.waiting > 0 {
		c := q.leastServed()
		it := q.pop(c)
		if q.abortIfLate(it, now) {
			continue
		}
		cost := q.cost(it.req)
		q.virtualClock = max(q.virtualClock, c.virtualTime)
		c.virtualTime += cost / q.share(c.name)
		return it
	}
	return nil
}

// abortIfLate aborts a request that can no longer be completed within its window, or
// whose caller has gone and that has no key.
func (q *Queue) abortIfLate(it *item, now time.Time) bool {
	if it.ctx.Err() != nil && it.req.Key == "" {
		q.abort(it, request.ReasonCancelled)
		return true
	}
	cost := time.Duration(q.cost(it.req) * float64(time.Second))
	if now.Add(cost).Before(it.req.Deadline) {
		return false
	}
	q.abort(it, request.ReasonWindow)
	return true
}

// leastServed returns the active customer with the lowest virtual time, that is, the
// least service in relation to its share.
func (q *Queue) leastServed() *customer {
	best := q.active[0]
	for _, c := range q.active[1:] {
		if c.virtualTime < best.virtualTime {
			best = c
		}
	}
	return best
}

// pop removes the first request from the customer's densest queue that is not empty.
func (q *Queue) pop(c *customer) *item {
	for _, kq := range c.queues {
		if len(kq.items) > 0 {
			it := kq.items[0]
			kq.items[0] = nil
			kq.items = kq.items[1:]
			q.countRemoval(c)
			return it
		}
	}
	return nil
}

func (q *Queue) countRemoval(c *customer) {
	c.count--
	q.waiting--
	if c.count > 0 {
		return
	}
	for i, o := range q.active {
		if o == c {
			q.active = append(q.active[:i], q.active[i+1:]...)
			return
		}
	}
}

// shed rejects the last request of the least dense queue of the customer that has the
// most waiting requests in relation to its share.
func (q *Queue) shed() {
	worst := q.active[0]
	for _, c := range q.active[1:] {
		if float64(c.count)/q.share(c.name) > float64(worst.count)/q.share(worst.name) {
			worst = c
		}
	}
	for i := len(worst.queues) - 1; i >= 0; i-- {
		kq := worst.queues[i]
		if n := len(kq.items); n > 0 {
			it := kq.items[n-1]
			kq.items = kq.items[:n-1]
			q.countRemoval(worst)
			q.abort(it, request.ReasonOverload)
			return
		}
	}
}

// expire aborts the waiting requests whose window has ended.
func (q *Queue) expire(now time.Time) {
	for _, c := range append([]*customer(nil), q.active...) {
		for _, kq := range c.queues {
			for len(kq.items) > 0 && !now.Before(kq.items[0].req.Deadline) {
				it := kq.items[0]
				kq.items = kq.items[1:]
				q.countRemoval(c)
				q.abort(it, request.ReasonWindow)
			}
		}
	}
}
