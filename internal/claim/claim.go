// Package claim settles through the platform's log which home decides about a
// caller's own key: the first claim record of the key wins, for every reader.
//
// Claims are appended in batches and read back before anything runs. Where an
// append's answer is lost, the claims count as long as they are found by
// reading; a claim that turns up later still wins, and its home then decides.
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
	pageRecords = 1024
	maxBatch    = 256
	gather      = 2 * time.Millisecond
	callTimeout = 2 * time.Second
	tail        = 5 * time.Second
)

// Errors of a claim. Callers test for them with errors.Is.
var (
	namespace = errorx.NewNamespace("claim")
	// ErrOut: the log is out of reach and the key's home can't be told.
	ErrOut = errorx.NewType(namespace, "out").New("the log is out of reach")
	// ErrFull: too many claims wait or are known.
	ErrFull = errorx.NewType(namespace, "full").New("too many claims")
)

// Record is a claim in the log. Until is when the key may be forgotten, in
// Unix milliseconds by the claiming VM's clock.
type Record struct {
	Key   string `json:"key"`
	Home  string `json:"home"`
	Until int64  `json:"until"`
}

// Won is the first claim of a key.
type Won struct {
	Home     string
	Deadline time.Time
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
// stay within what the log takes; nil asks for none.
type Config struct {
	Log     Log
	Home    string
	Pace    func() time.Duration
	Waiting int
	Known   int
	Keep    time.Duration
}

type ask struct {
	record Record
	reply  chan error
}

// Claimer claims keys for one home.
type Claimer struct {
	cfg  Config
	asks *ring.Ring[ask]

	mu    sync.Mutex
	known map[string]Won
	order []string
	next  int64
	// appended is when this claimer last appended.
	appended time.Time

	// blind makes claims count without being read back, for tests that show
	// what reading back prevents.
	blind bool
}

// New returns a claimer that has read nothing yet.
func New(cfg Config) *Claimer {
	return &Claimer{cfg: cfg, asks: ring.New[ask](cfg.Waiting), known: map[string]Won{}}
}

// Claim returns the key's home, claiming it for this one if nobody has.
func (c *Claimer) Claim(ctx context.Context, key string, deadline time.Time) (Won, error) {
	if won, ok := c.lookup(key); ok {
		return won, nil
	}
	a := ask{record: Record{Key: key, Home: c.cfg.Home, Until: deadline.UnixMilli()}, reply: make(chan error, 1)}
	if err := c.asks.Put(a); err != nil {
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
	if won, ok := c.lookup(key); ok {
		return won, nil
	}
	return Won{}, ErrOut
}

func (c *Claimer) lookup(key string) (Won, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	won, ok := c.known[key]
	return won, ok
}

// Run carries claims out until ctx ends.
func (c *Claimer) Run(ctx context.Context) {
	tick := time.NewTicker(tail)
	defer tick.Stop()
	_ = c.sync(ctx)
	for {
		select {
		case a := <-c.asks.Items():
			c.carry(ctx, c.batch(a))
		case <-tick.C:
			_ = c.sync(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// batch gathers the asks that arrive within a moment of the first one, or until
// the next append is due.
func (c *Claimer) batch(first ask) []ask {
	asks := []ask{first}
	wait := gather
	if c.cfg.Pace != nil {
		wait = max(wait, time.Until(c.appended.Add(c.cfg.Pace())))
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for len(asks) < maxBatch {
		select {
		case a := <-c.asks.Items():
			asks = append(asks, a)
		case <-timer.C:
			return asks
		}
	}
	return asks
}

// carry appends the batch, reads the log to its end and answers each ask.
func (c *Claimer) carry(ctx context.Context, asks []ask) {
	err := c.append(ctx, asks)
	for _, a := range asks {
		a.reply <- err
	}
}

func (c *Claimer) append(ctx context.Context, asks []ask) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if c.Len() >= c.cfg.Known {
		return ErrFull
	}
	var records [][]byte
	for _, a := range asks {
		data, err := json.Marshal(a.record)
		if err != nil {
			return errorx.Decorate(err, "encode")
		}
		records = append(records, data)
	}
	c.appended = time.Now()
	if c.blind {
		return c.appendBlind(ctx, asks, records)
	}
	_, err := c.cfg.Log.Append(ctx, Stream, records)
	if err != nil && !errors.Is(err, platform.ErrUnsettled) {
		return ErrOut
	}
	return c.sync(ctx)
}

func (c *Claimer) appendBlind(ctx context.Context, asks []ask, records [][]byte) error {
	_, err := c.cfg.Log.Append(ctx, Stream, records)
	for _, a := range asks {
		c.learn(a.record)
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
		for _, r := range page.Records {
			var record Record
			if json.Unmarshal(r.Data, &record) == nil {
				c.learn(record)
			}
		}
		c.next = max(c.next, page.Next)
		if c.next >= page.End {
			c.forget()
			return nil
		}
	}
}

// learn keeps the first claim of a key.
func (c *Claimer) learn(r Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.known[r.Key]; ok {
		return
	}
	c.known[r.Key] = Won{Home: r.Home, Deadline: time.UnixMilli(r.Until)}
	c.order = append(c.order, r.Key)
}

// forget drops claims that expired longer ago than the log keeps records.
func (c *Claimer) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := time.Now().Add(-c.cfg.Keep)
	for len(c.order) > 0 && c.known[c.order[0]].Deadline.Before(limit) {
		delete(c.known, c.order[0])
		c.order = c.order[1:]
	}
}

// Len returns the number of claims known.
func (c *Claimer) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.known)
}
