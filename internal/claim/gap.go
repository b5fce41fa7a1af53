package claim

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"rhubarbshore/internal/metric"
	"rhubarbshore/internal/platform"
)

// Bounds of what the log may have dropped.
const (
	// lateness is the most by which a claim may reach the log after it was made.
	lateness = time.Minute
	// markEvery is how long the stream goes without a record before some VM adds
	// a mark.
	markEvery = 10 * time.Minute
)

// skipped notes that records were dropped before they were read. They were made
// before the oldest one that is left.
func (c *Claimer) skipped(page platform.Page) {
	if c.trusting {
		return
	}
	metric.Count("claim_gaps_total")
	made := time.Now()
	var oldest Record
	if len(page.Records) > 0 && json.Unmarshal(page.Records[0].Data, &oldest) == nil && oldest.At > 0 {
		made = time.UnixMilli(oldest.At)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if made.After(c.gap) {
		c.gap = made
	}
}

// matters reports whether claims made before the gap could still be asked for.
func (c *Claimer) matters(gap time.Time) bool {
	if gap.IsZero() {
		return false
	}
	lasts := c.cfg.Keep + lateness
	if c.cfg.Window != nil {
		lasts += c.cfg.Window()
	}
	return time.Now().Before(gap.Add(lasts))
}

// mark appends a mark if the stream has had no record for long, so that a VM that
// starts later can tell from the oldest record how long the log keeps them. More
// than one does no harm.
func (c *Claimer) mark(ctx context.Context) {
	if time.Now().Before(c.due) {
		return
	}
	data, err := json.Marshal(Record{At: time.Now().UnixMilli()})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := c.cfg.Log.Append(ctx, Stream, [][]byte{data}); err == nil {
		c.postpone()
	}
}

// postpone sets the next mark, by a drawn part later, so that VMs seldom add one
// at once.
func (c *Claimer) postpone() { c.due = time.Now().Add(markEvery + rand.N(markEvery)) }
