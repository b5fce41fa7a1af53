package queue

import (
	"sort"
	"time"

	"rhubarbshore/internal/request"
)

// guess is the part of a kind's timeout that a request of an unknown kind is
// expected to take.
const guess = 8

// customer is what one customer has waiting, a line for each kind.
type customer struct {
	name  string
	lines []*line
	used  float64
	count int
}

// line holds the waiting requests of one kind in the order of arrival, which
// is that of their deadlines.
type line struct {
	kind    string
	density float64
	cost    float64
	items   []*item
}

// cost is the expected time in a slot, in seconds.
func (q *Queue) cost(r *request.Request) float64 {
	if c, ok := q.costs[r.Kind]; ok {
		return max(c, 1e-6)
	}
	return max(r.Timeout.Seconds()/guess, 1e-6)
}

// admit takes the request into the queue, or refuses it at once if it can't be
// done within its window.
func (q *Queue) admit(it *item) {
	now := time.Now()
	wait := q.expectedWait(it, now)
	if now.Add(time.Duration((wait + q.cost(it.req)) * float64(time.Second))).After(it.req.Deadline) {
		q.giveUp(it, request.ReasonWindow)
		return
	}
	q.push(it)
	if q.waiting > q.cfg.Size {
		q.shed()
	}
}

// expectedWait is how long the requests of the same customer that go first
// will take, at the customer's share of the capacity.
func (q *Queue) expectedWait(it *item, now time.Time) float64 {
	c := q.customers[it.req.Customer]
	if c == nil || c.count == 0 {
		return 0
	}
	density := it.req.Worth / q.cost(it.req)
	ahead := 0.0
	for _, l := range c.lines {
		if l.density >= density {
			ahead += float64(len(l.items)) * l.cost
		}
	}
	total := 0.0
	for _, o := range q.active {
		total += q.share(o.name)
	}
	capacity := float64(max(1, q.cfg.Router.Capacity(now)))
	return ahead / (capacity * q.share(c.name) / max(total, q.share(c.name)))
}

func (q *Queue) share(name string) float64 {
	if s := q.shares[name]; s > 0 {
		return s
	}
	return 1
}

// push adds the request to its customer's line.
func (q *Queue) push(it *item) {
	c := q.customers[it.req.Customer]
	if c == nil {
		c = &customer{name: it.req.Customer}
		q.customers[it.req.Customer] = c
	}
	if c.count == 0 {
		c.used = max(c.used, q.clock)
		q.active = append(q.active, c)
	}
	l := c.line(it.req.Kind)
	l.cost = q.cost(it.req)
	l.density = it.req.Worth / l.cost
	if it.attempts > 0 {
		l.items = append([]*item{it}, l.items...)
	} else {
		l.items = append(l.items, it)
	}
	sort.SliceStable(c.lines, func(i, j int) bool { return c.lines[i].density > c.lines[j].density })
	c.count++
	q.waiting++
}

func (c *customer) line(kind string) *line {
	for _, l := range c.lines {
		if l.kind == kind {
			return l
		}
	}
	l := &line{kind: kind}
	c.lines = append(c.lines, l)
	return l
}

// next takes the request that goes first. It returns nil if none is left.
func (q *Queue) next(now time.Time) *item {
	for q.waiting > 0 {
		c := q.least()
		it := q.pop(c)
		if q.late(it, now) {
			continue
		}
		cost := q.cost(it.req)
		q.clock = max(q.clock, c.used)
		c.used += cost / q.share(c.name)
		return it
	}
	return nil
}

// late finishes a request that can't be done within its window any more.
func (q *Queue) late(it *item, now time.Time) bool {
	if it.ctx.Err() != nil && it.req.Key == "" {
		q.giveUp(it, request.ReasonCancelled)
		return true
	}
	cost := time.Duration(q.cost(it.req) * float64(time.Second))
	if now.Add(cost).Before(it.req.Deadline) {
		return false
	}
	q.giveUp(it, request.ReasonWindow)
	return true
}

// least is the active customer that has used least for its share.
func (q *Queue) least() *customer {
	best := q.active[0]
	for _, c := range q.active[1:] {
		if c.used < best.used {
			best = c
		}
	}
	return best
}

// pop takes the first request of the customer's best line.
func (q *Queue) pop(c *customer) *item {
	for _, l := range c.lines {
		if len(l.items) > 0 {
			it := l.items[0]
			l.items[0] = nil
			l.items = l.items[1:]
			q.removed(c)
			return it
		}
	}
	return nil
}

func (q *Queue) removed(c *customer) {
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

// shed refuses the last request of the least worth line of the customer that
// waits with the most for its share.
func (q *Queue) shed() {
	worst := q.active[0]
	for _, c := range q.active[1:] {
		if float64(c.count)/q.share(c.name) > float64(worst.count)/q.share(worst.name) {
			worst = c
		}
	}
	for i := len(worst.lines) - 1; i >= 0; i-- {
		l := worst.lines[i]
		if n := len(l.items); n > 0 {
			it := l.items[n-1]
			l.items = l.items[:n-1]
			q.removed(worst)
			q.giveUp(it, request.ReasonOverload)
			return
		}
	}
}

// expire finishes the waiting requests whose window has passed.
func (q *Queue) expire(now time.Time) {
	for _, c := range append([]*customer(nil), q.active...) {
		for _, l := range c.lines {
			for len(l.items) > 0 && !now.Before(l.items[0].req.Deadline) {
				it := l.items[0]
				l.items = l.items[1:]
				q.removed(c)
				q.giveUp(it, request.ReasonWindow)
			}
		}
	}
}
