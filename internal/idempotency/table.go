// Package idempotency runs each keyed request at most once, on the owner of its key: the
// one VM process that decides about the key.
//
// A key is either a ticket, which contains its owner, or a key chosen by the caller,
// whose owner is determined by package claim. The owner stores each key until its
// deadline, as running, answered, or permanently refused.
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
	// ErrExpired is returned if the key's deadline has passed. The key may have run
	// before.
	ErrExpired = errorx.NewType(namespace, "expired").New("the key has expired")
	// ErrMismatch is returned if the key was used for a different request.
	ErrMismatch = errorx.NewType(namespace, "mismatch").New("the key belongs to another request")
	// ErrFull is returned if the table has reached its limit of keys.
	ErrFull = errorx.NewType(namespace, "full").New("too many keys")
	// ErrMoved is returned after the keys were handed over to another VM.
	ErrMoved = errorx.NewType(namespace, "moved").New("the keys were handed over")
)

// entry is the state of one key. fingerprint is that of the request's content, 0 if
// unknown. resp is final once done is closed.
type entry struct {
	key         string
	fingerprint uint64
	deadline    time.Time
	done        chan struct{}
	resp        api.Response
}

// Limits bounds a Table: the number of keys and the bytes of stored response bodies.
type Limits struct {
	Keys  int
	Bytes int
}

// Table holds the keys of one owner.
type Table struct {
	mu         sync.Mutex
	limits     Limits
	byKey      map[string]*entry
	byDeadline deadlines
	// bodiesByDeadline has the keys with a stored response body; bodyBytes is their total
	// size.
	bodiesByDeadline deadlines
	bodyBytes        int
	moved            bool

	// noTombstones disables tombstones and stored answers, for tests that show why they
	// are needed.
	noTombstones bool
}

// NewTable returns an empty table.
func NewTable(limits Limits) *Table {
	return &Table{limits: limits, byKey: map[string]*entry{}}
}

// Claim allows its holder to run the key's request, or to wait for its outcome.
type Claim struct {
	table *Table
	entry *entry
	// First is true for the copy that has to run the request and call Finish.
	First bool
}

// Begin looks up the key and registers it if it is new. fingerprint is that of the
// request's content, 0 if unknown.
func (t *Table) Begin(key string, fingerprint uint64, deadline time.Time) (Claim, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.expire(now)
	if t.moved {
		return Claim{}, ErrMoved
	}
	if e := t.byKey[key]; e != nil {
		if e.fingerprint != fingerprint && e.fingerprint != 0 && fingerprint != 0 {
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
	e := &entry{key: key, fingerprint: fingerprint, deadline: deadline, done: make(chan struct{})}
	t.insert(e)
	return Claim{table: t, entry: e, First: true}, nil
}

func (t *Table) insert(e *entry) {
	t.byKey[e.key] = e
	heap.Push(&t.byDeadline, e)
}

// Done returns a channel that is closed once the outcome is known.
func (c Claim) Done() <-chan struct{} { return c.entry.done }

// Response returns the outcome. Call it after Done is closed.
func (c Claim) Response() api.Response {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	return c.entry.resp
}

// Finish records the outcome of the first copy. After Retry the key is free for another
// copy; any other outcome is stored until the deadline.
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

// trackBody counts the entry's response body toward the limit.
func (t *Table) trackBody(e *entry) {
	if len(e.resp.Body) > 0 {
		t.bodyBytes += len(e.resp.Body)
		heap.Push(&t.bodiesByDeadline, e)
	}
}

// popEarliest removes the entry with the earliest deadline from a heap and returns it.
func popEarliest(d *deadlines) *entry {
	e, _ := heap.Pop(d).(*entry)
	return e
}

func (t *Table) remove(e *entry) {
	if t.byKey[e.key] == e {
		delete(t.byKey, e.key)
	}
}

// dropBodies drops the response bodies with the earliest deadlines until the limit is
// met. The outcome of these keys becomes unknown, and they still can't run again.
func (t *Table) dropBodies() {
	for t.bodyBytes > t.limits.Bytes {
		e := popEarliest(&t.bodiesByDeadline)
		t.bodyBytes -= len(e.resp.Body)
		e.resp = api.Response{Outcome: api.Unknown, Reason: "dropped", Request: e.resp.Request}
	}
}

// expire removes keys that are past their deadline and not running.
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
			// Still running: keep the entry until its outcome has been reported.
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

// ExportedKey is one key of a table in a handover.
type ExportedKey struct {
	Key         string
	Fingerprint uint64
	Deadline    time.Time
	Response    api.Response
}

// Export closes the table permanently and returns its keys. The outcome of a key that is
// still running is exported as unknown.
func (t *Table) Export() []ExportedKey {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.moved = true
	t.expire(time.Now())
	out := make([]ExportedKey, 0, len(t.byKey))
	for _, e := range t.byKey {
		resp := api.Response{Outcome: api.Unknown, Reason: "moved"}
		select {
		case <-e.done:
			resp = e.resp
		default:
		}
		out = append(out, ExportedKey{Key: e.key, Fingerprint: e.fingerprint, Deadline: e.deadline, Response: resp})
	}
	return out
}

// Import adds keys exported by another table.
func (t *Table) Import(keys []ExportedKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range keys {
		e := &entry{key: k.Key, fingerprint: k.Fingerprint, deadline: k.Deadline, done: make(chan struct{}), resp: k.Response}
		close(e.done)
		t.trackBody(e)
		t.insert(e)
	}
}

// deadlines is a min-heap of entries by deadline.
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
