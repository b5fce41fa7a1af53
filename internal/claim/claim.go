// Package claim decides through the platform's log which owner is responsible for a key
// chosen by a caller: for every reader, the first claim record of the key wins.
//
// Claims are appended in batches and read back before anything runs. If the answer to an
// append is lost, its claims are valid only once they are found by reading. A claim that
// reaches the log later still wins if it is the first of its key, and its owner then
// decides.
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

// Limits and intervals of a Claimer.
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
	// ErrUnavailable is returned if the log is unreachable, so that the key's owner is unknown.
	ErrUnavailable = errorx.NewType(namespace, "out").New("the log is out of reach")
	// ErrFull is returned if too many claims are pending or known.
	ErrFull = errorx.NewType(namespace, "full").New("too many claims")
	// ErrGap is returned if the log has dropped records that this claimer never read and
	// that may include the first claim of the key.
	ErrGap = errorx.NewType(namespace, "gap").New("an earlier claim may have been dropped by the log")
)

// Record is a claim in the log. At is when it was made and Until is when the key may be
// forgotten, both in Unix milliseconds by the clock of the claiming VM. A record without
// a key is a marker: it shows how far back the log's retention reaches.
type Record struct {
	Key   string `json:"key"`
	Owner string `json:"owner"`
	At    int64  `json:"at,omitempty"`
	Until int64  `json:"until"`
}

// Winner is the first claim of a key.
type Winner struct {
	Owner    string
	Deadline time.Time
	// gap is the value of Claimer.gap when the claim was read.
	gap time.Time
}

// Log is the part of the platform's log that a Claimer uses.
type Log interface {
	Append(ctx context.Context, stream string, records [][]byte) (int64, error)
	Read(ctx context.Context, stream string, from int64, limit int) (platform.Page, error)
}

// Config configures a Claimer. Keep is how long an expired claim is remembered, so that a
// late duplicate of it is recognized.
//
// Pace returns the minimum interval between two appends of this VM, which keeps all VMs
// together within the log's rate limit; nil means no minimum. Window returns the longest
// time from a claim to its deadline. Waiting and Known bound the pending and the known
// claims.
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
	claims map[string]Winner
	order  []string
	next   int64
	// gap is the latest time at which a claim may have been made that the log dropped
	// before this claimer read it. It is zero if no records were missed.
	gap time.Time
	// markerDue is when this claimer appends a marker, unless it reads a record first.
	markerDue time.Time
	// lastAppend is when this claimer last appended claims.
	lastAppend time.Time

	// skipReadBack accepts claims without reading them back, for tests that show why
	// reading back is necessary.
	skipReadBack bool
	// ignoreGaps ignores dropped records, for tests that show why they must be detected.
	ignoreGaps bool
}

// New returns a claimer that has not read the log yet.
func New(cfg Config) *Claimer {
	return &Claimer{cfg: cfg, pending: ring.New[pendingClaim](cfg.Waiting), claims: map[string]Winner{}}
}

// Claim returns the key's owner. If the key has none, it first claims the key for this
// claimer's owner. If it returns ErrGap, a claimer that has read the log without a gap
// can tell the owner.
func (c *Claimer) Claim(ctx context.Context, key string, deadline time.Time) (Winner, error) {
	if won, err := c.lookup(key); err == nil || errors.Is(err, ErrGap) {
		return won, err
	}
	now := time.Now()
	p := pendingClaim{record: Record{Key: key, Owner: c.cfg.Owner, At: now.UnixMilli(), Until: deadline.UnixMilli()}, reply: make(chan error, 1)}
	if err := c.pending.Put(p); err != nil {
		return Winner{}, ErrFull
	}
	select {
	case err := <-p.reply:
		if err != nil {
			return Winner{}, err
		}
	case <-ctx.Done():
		return Winner{}, ErrUnavailable
	}
	return c.lookup(key)
}

// lookup returns the first known claim of the key. It returns ErrGap if an earlier claim
// may have been dropped, and ErrUnavailable if none is known.
func (c *Claimer) lookup(key string) (Winner, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	won, ok := c.claims[key]
	if ok && c.gapMatters(won.gap) || !ok && c.gapMatters(c.gap) {
		return Winner{}, ErrGap
	}
	if !ok {
		return Winner{}, ErrUnavailable
	}
	return won, nil
}

// Known returns the claim of the key that was read first, if any.
func (c *Claimer) Known(key string) (Winner, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	won, ok := c.claims[key]
	return won, ok
}

// Run appends claims and follows the stream until ctx ends.
func (c *Claimer) Run(ctx context.Context) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	c.scheduleMarker()
	_ = c.sync(ctx)
	for {
		select {
		case p := <-c.pending.Items():
			c.commitBatch(ctx, c.collectBatch(p))
		case <-tick.C:
			_ = c.sync(ctx)
			c.appendMarker(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// collectBatch collects the claims that arrive within batchWindow of the first one, or
// until the next append is allowed if that is later.
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
		case p := <-c.pending.Items():
			pending = append(pending, p)
		case <-timer.C:
			return pending
		}
	}
	return pending
}

// commitBatch appends the batch, reads the log to its end and replies to each pending
// claim.
func (c *Claimer) commitBatch(ctx context.Context, pending []pendingClaim) {
	err := c.append(ctx, pending)
	for _, p := range pending {
		p.reply <- err
	}
}

func (c *Claimer) append(ctx context.Context, pending []pendingClaim) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if c.Len() >= c.cfg.Known {
		return ErrFull
	}
	var records [][]byte
	for _, p := range pending {
		data, err := json.Marshal(p.record)
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
		return ErrUnavailable
	}
	return c.sync(ctx)
}

func (c *Claimer) appendWithoutReadBack(ctx context.Context, pending []pendingClaim, records [][]byte) error {
	_, err := c.cfg.Log.Append(ctx, Stream, records)
	for _, p := range pending {
		c.recordClaim(p.record)
	}
	return err
}

// sync reads the stream to its end.
func (c *Claimer) sync(ctx context.Context) error {
	for {
		page, err := c.cfg.Log.Read(ctx, Stream, c.next, pageRecords)
		if err != nil {
			return ErrUnavailable
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

// recordClaim stores the claim unless an earlier claim of the key is known.
func (c *Claimer) recordClaim(r Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.claims[r.Key]; ok || r.Key == "" {
		return
	}
	c.claims[r.Key] = Winner{Owner: r.Owner, Deadline: time.UnixMilli(r.Until), gap: c.gap}
	c.order = append(c.order, r.Key)
}

// dropExpired removes claims that expired more than Keep ago, when the log no longer has
// their records.
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
