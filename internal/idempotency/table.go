// Package idempotency lets each keyed request run at most once on its owner, the
// one VM process that decides about the key.
//
// A key is either a ticket, which names its owner, or a caller's own key, whose
// owner is settled by package claim. The owner keeps each key until its deadline:
// running, answered, or refused for good.
package idempotency

import (
	"container/heap"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"rhubarbshore/pkg/api"
)

// Errors of Begin. Callers test for them with errors.Is.
var (
	namespace = errorx.NewNamespace("idempotency")
	// ErrExpired: the key's deadline has passed; it may have run before.
	ErrExpired = errorx.NewType(namespace, "expired").New("the key has expired")
	// ErrMismatch: the key was used for another request.
	ErrMismatch = errorx.NewType(namespace, "mismatch").New("the key belongs to another request")
	// ErrFull: the table holds as many keys as it may.
	ErrFull = errorx.NewType(namespace, "full").New("too many keys")
	// ErrMoved: the keys were handed over to another VM.
	ErrMoved = errorx.NewType(namespace, "moved").New("the keys were handed over")
)

// entry is the state of one key. A closed done means that resp is final.
type entry struct {
	key      string
	print    uint64
	deadline time.Time
	done     chan struct{}
	resp     api.Response
}

// Limits bounds a Table: the number of keys and the bytes of kept answers.
type Limits struct {
	Keys  int
	Bytes int
}

// Table is the set of keys that one owner decides about.
type Table struct {
	mu         sync.Mutex
	limits     Limits
	byKey      map[string]*entry
	byDeadline deadlines
	// bodiesByDeadline are the keys with a kept answer that has a body, bytes their size in all.
	bodiesByDeadline deadlines
	bodyBytes        int
	moved            bool

	// noTombstones switches tombstones and kept answers off, for tests that show
	// what they prevent.
	noTombstones bool
}

// NewTable returns an empty table.
func NewTable(limits Limits) *Table {
	return &Table{limits: limits, byKey: map[string]*entry{}}
}

// Claim is the right to run a key, or the place to wait for its outcome.
type Claim struct {
	table *Table
	entry *entry
	// First is true if this copy is the one that has to run the request and
	// to call Finish.
	First bool
}

// Begin looks the key up. Print identifies the request's content.
func (t *Table) Begin(key string, print uint64, deadline time.Time) (Claim, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.expire(now)
	if t.moved {
		return Claim{}, ErrMoved
	}
	if e := t.byKey[key]; e != nil {
		if e.print != print && e.print != 0 && print != 0 {
			return Claim{}, ErrMismatch
		}
		return Claim{table: t, entry: e}, nil
	}
	if !now.Before(deadline) {
		return Claim{}, ErrExpired
	}
	if len(t.byDeadline) >= t.limits.Keys {
		return Claim{}, ErrFull
	}
	e := &entry{key: key, print: print, deadline: deadline, done: make(chan struct{})}
	t.insert(e)
	return Claim{table: t, entry: e, First: true}, nil
}

func (t *Table) insert(e *entry) {
	t.byKey[e.key] = e
	heap.Push(&t.byDeadline, e)
}

// Done is closed once the outcome is known.
func (c Claim) Done() <-chan struct{} { return c.entry.done }

// Response returns the outcome, after Done is closed.
func (c Claim) Response() api.Response {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	return c.entry.resp
}

// Finish records the outcome of the first copy. After Retry the key is free
// again for another copy; any other outcome stays until the deadline.
func (c Claim) Finish(resp api.Response) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	c.entry.resp = resp
	close(c.entry.done)
	if resp.Outcome == api.Retry || t.noTombstones {
		t.remove(c.entry)
		return
	}
	t.trackBody(c.entry)
	t.dropBodies()
}

// trackBody counts the entry's answer.
func (t *Table) trackBody(e *entry) {
	if len(e.resp.Body) > 0 {
		t.bodyBytes += len(e.resp.Body)
		heap.Push(&t.bodiesByDeadline, e)
	}
}

// popEarliest takes the entry whose deadline comes popEarliest out of a heap.
func popEarliest(d *deadlines) *entry {
	e, _ := heap.Pop(d).(*entry)
	return e
}

func (t *Table) remove(e *entry) {
	if t.byKey[e.key] == e {
		delete(t.byKey, e.key)
	}
}

// dropBodies drops the bodies of the answers that expire first. Their outcome
// becomes unknown: the key still can't run again.
func (t *Table) dropBodies() {
	for t.bodyBytes > t.limits.Bytes {
		e := popEarliest(&t.bodiesByDeadline)
		t.bodyBytes -= len(e.resp.Body)
		e.resp = api.Response{Outcome: api.Unknown, Reason: "dropped", Request: e.resp.Request}
	}
}

// expire forgets keys past their deadline that are not running.
func (t *Table) expire(now time.Time) {
	for len(t.bodiesByDeadline) > 0 && !now.Before(t.bodiesByDeadline[0].deadline) {
		t.bodyBytes -= len(popEarliest(&t.bodiesByDeadline).resp.Body)
	}
	for len(t.byDeadline) > 0 && !now.Before(t.byDeadline[0].deadline) {
		e := popEarliest(&t.byDeadline)
		select {
		case <-e.done:
			t.remove(e)
		default:
			// Still running: keep it until the outcome has been told.
			e.deadline = now.Add(time.Second)
			heap.Push(&t.byDeadline, e)
			return
		}
	}
}

// Len returns the number of keys.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byKey)
}

// Kept is one key of a table as it is handed over.
type Kept struct {
	Key      string
	Print    uint64
	Deadline time.Time
	Response api.Response
}

// Export closes the table for good and returns its keys. A key that still runs
// is handed over as unknown.
func (t *Table) Export() []Kept {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.moved = true
	t.expire(time.Now())
	out := make([]Kept, 0, len(t.byKey))
	for _, e := range t.byKey {
		resp := api.Response{Outcome: api.Unknown, Reason: "moved"}
		select {
		case <-e.done:
			resp = e.resp
		default:
		}
		out = append(out, Kept{Key: e.key, Print: e.print, Deadline: e.deadline, Response: resp})
	}
	return out
}

// Import takes over keys exported by another table.
func (t *Table) Import(all []Kept) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range all {
		e := &entry{key: k.Key, print: k.Print, deadline: k.Deadline, done: make(chan struct{}), resp: k.Response}
		close(e.done)
		t.trackBody(e)
		t.insert(e)
	}
}

// deadlines is a heap of entries, the earliest deadline first.
type deadlines []*entry

func (d deadlines) Len() int           { return len(d) }
func (d deadlines) Less(i, j int) bool { return d[i].deadline.Before(d[j].deadline) }
func (d deadlines) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *deadlines) Push(x any) {
	if e, ok := x.(*entry); ok {
		*d = append(*d, e)
	}
}

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	old := *d
	e := old[len(old)-1]
	*d = old[:len(old)-1]
	return e
}
