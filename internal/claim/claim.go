// Package claim settles through the platform's log which owner decides about a
// caller's own key: the first claim record of the key wins, for every reader.
//
// Claims are appended in batches and read back before anything runs. Where an
// append's answer is lost, the claims count as long as they are found by
// reading; a claim that turns up later still wins, and its owner then decides.
package claim

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"rhubarbshore/internal/platform"
	"rhubarbshore/internal/ring"
)

// Stream is the stream of the platform's log that carries claims.
const Stream = "claims"

// Bounds of a Claimer.
const (
	pageRecords  = 1024
	maxBatch     = 256
	batchWindow  = 2 * time.Millisecond
	callTimeout  = 2 * time.Second
	pollInterval = 5 * time.Second
)

// Errors of a claim. Callers test for them with errors.Is.
var (
	namespace = errorx.NewNamespace("claim")
	// ErrOut: the log is out of reach and the key's owner can't be told.
	ErrOut = errorx.NewType(namespace, "out").New("the log is out of reach")
	// ErrFull: too many claims wait or are known.
	ErrFull = errorx.NewType(namespace, "full").New("too many claims")
	// ErrGap: the log has dropped records that this claimer never read, and among
	// them may be the first claim of the key.
	ErrGap = errorx.NewType(namespace, "gap").New("an earlier claim may have been dropped by the log")
)

// Record is a claim in the log. At is when it was made and Until when the key
// may be forgotten, both in Unix milliseconds by the claiming VM's clock. A record
// without a key is a mark: it shows how far back the log still reaches.
type Record struct {
	Key   string `json:"key"`
	Owner string `json:"owner"`
	At    int64  `json:"at,omitempty"`
	Until int64  `json:"until"`
}

// Won is the first claim of a key.
type Won struct {
	Owner    string
	Deadline time.Time
	// gap is the claimer's gap when it read the claim.
	gap time.Time
}

// Log is what a Claimer needs of the platform's log.
type Log interface {
	Append(ctx context.Context, stream string, records [][]byte) (int64, error)
	Read(ctx context.Context, stream string, from int64, limit int) (platform.Page, error)
}

// Config constructs a Claimer. Keep is how long an expired claim is still
// remembered, so that a late copy of it is known for what it is.
//
// Pace is the least time between two appends of this VM, so that all VMs together
// stay within what the log takes; nil asks for none. Window is the longest time
// from a claim to its deadline.
type Config struct {
	Log     Log
	Owner   string
	Pace    func() time.Duration
	Window  func() time.Duration
	Waiting int
	Known   int
	Keep    time.Duration
}

type pendingClaim struct {
	record Record
	reply  chan error
}

// Claimer claims keys for one owner.
type Claimer struct {
	cfg     Config
	pending *ring.Ring[pendingClaim]

	mu     sync.Mutex
	claims map[string]Won
	order  []string
	next   int64
	// gap is before when all claims were made that the log dropped before this
	// claimer read them, zero if there were none.
	gap time.Time
	// markerDue is when this claimer marks the stream, unless a record comes first.
	markerDue time.Time
	// lastAppend is when this claimer last lastAppend.
	lastAppend time.Time

	// skipReadBack makes claims count without being read back, for tests that show
	// what reading back prevents.
	skipReadBack bool
	// ignoreGaps makes dropped records go unnoticed, for tests that show what
	// noticing them prevents.
	ignoreGaps bool
}

// New returns a claimer that has read nothing yet.
func New(cfg Config) *Claimer {
	return &Claimer{cfg: cfg, pending: ring.New[pendingClaim](cfg.Waiting), claims: map[string]Won{}}
}

// Claim returns the key's owner, claiming it for this one if nobody has. After
// ErrGap a claimer that has read on without a gap can tell.
func (c *Claimer) Claim(ctx context.Context, key string, deadline time.Time) (Won, error) {
	if won, err := c.lookup(key); err == nil || errors.Is(err, ErrGap) {
		return won, err
	}
	now := time.Now()
	a := pendingClaim{record: Record{Key: key, Owner: c.cfg.Owner, At: now.UnixMilli(), Until: deadline.UnixMilli()}, reply: make(chan error, 1)}
	if err := c.pending.Put(a); err != nil {
		return Won{}, ErrFull
	}
	select {
	case err := <-a.reply:
		if err != nil {
			return Won{}, err
		}
	case <-ctx.Done():
		return Won{}, ErrOut
	}
	return c.lookup(key)
}

// lookup returns the first claim of the key, ErrGap if another one may have come
// before it, or ErrOut if none is known.
func (c *Claimer) lookup(key string) (Won, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	won, ok := c.claims[key]
	if ok && c.gapMatters(won.gap) || !ok && c.gapMatters(c.gap) {
		return Won{}, ErrGap
	}
	if !ok {
		return Won{}, ErrOut
	}
	return won, nil
}

// Known returns the claim of the key that was read first, if any.
func (c *Claimer) Known(key string) (Won, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	won, ok := c.claims[key]
	return won, ok
}

// Run carries claims out until ctx ends.
func (c *Claimer) Run(ctx context.Context) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	c.scheduleMarker()
	_ = c.sync(ctx)
	for {
		select {
		case a := <-c.pending.Items():
			c.commitBatch(ctx, c.collectBatch(a))
		case <-tick.C:
			_ = c.sync(ctx)
			c.appendMarker(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// collectBatch gathers the asks that arrive within a moment of the first one, or until
// the next append is due.
func (c *Claimer) collectBatch(first pendingClaim) []pendingClaim {
	pending := []pendingClaim{first}
	wait := batchWindow
	if c.cfg.Pace != nil {
		wait = max(wait, time.Until(c.lastAppend.Add(c.cfg.Pace())))
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for len(pending) < maxBatch {
		select {
		case a := <-c.pending.Items():
			pending = append(pending, a)
		case <-timer.C:
			return pending
		}
	}
	return pending
}

// commitBatch appends the batch, reads the log to its end and answers each ask.
func (c *Claimer) commitBatch(ctx context.Context, pending []pendingClaim) {
	err := c.append(ctx, pending)
	for _, a := range pending {
		a.reply <- err
	}
}

func (c *Claimer) append(ctx context.Context, pending []pendingClaim) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if c.Len() >= c.cfg.Known {
		return ErrFull
	}
	var records [][]byte
	for _, a := range pending {
		data, err := json.Marshal(a.record)
		if err != nil {
			return errorx.Decorate(err, "encode")
		}
		records = append(records, data)
	}
	c.lastAppend = time.Now()
	if c.skipReadBack {
		return c.appendWithoutReadBack(ctx, pending, records)
	}
	_, err := c.cfg.Log.Append(ctx, Stream, records)
	if err != nil && !errors.Is(err, platform.ErrUnsettled) {
		return ErrOut
	}
	return c.sync(ctx)
}

func (c *Claimer) appendWithoutReadBack(ctx context.Context, pending []pendingClaim, records [][]byte) error {
	_, err := c.cfg.Log.Append(ctx, Stream, records)
	for _, a := range pending {
		c.recordClaim(a.record)
	}
	return err
}

// sync reads the stream to its end.
func (c *Claimer) sync(ctx context.Context) error {
	for {
		page, err := c.cfg.Log.Read(ctx, Stream, c.next, pageRecords)
		if err != nil {
			return ErrOut
		}
		if page.First > c.next {
			c.recordGap(page)
		}
		if len(page.Records) > 0 {
			c.scheduleMarker()
		}
		for _, r := range page.Records {
			var record Record
			if json.Unmarshal(r.Data, &record) == nil {
				c.recordClaim(record)
			}
		}
		c.next = max(c.next, page.Next)
		if c.next >= page.End {
			c.dropExpired()
			return nil
		}
	}
}

// recordClaim keeps the first claim of a key.
func (c *Claimer) recordClaim(r Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.claims[r.Key]; ok || r.Key == "" {
		return
	}
	c.claims[r.Key] = Won{Owner: r.Owner, Deadline: time.UnixMilli(r.Until), gap: c.gap}
	c.order = append(c.order, r.Key)
}

// dropExpired drops claims that expired longer ago than the log keeps records.
func (c *Claimer) dropExpired() {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := time.Now().Add(-c.cfg.Keep)
	for len(c.order) > 0 && c.claims[c.order[0]].Deadline.Before(limit) {
		delete(c.claims, c.order[0])
		c.order = c.order[1:]
	}
}

// Len returns the number of claims known.
func (c *Claimer) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.claims)
}
