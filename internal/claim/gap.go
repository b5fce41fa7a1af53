package claim

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"rhubarbshore/internal/metric"
	"rhubarbshore/internal/platform"
)

// Intervals for the detection of dropped records.
const (
	// maxAppendDelay is the longest time from making a claim until it reaches the log.
	maxAppendDelay = time.Minute
	// markerInterval is how long the stream goes without a record before a VM appends a
	// marker.
	markerInterval = 10 * time.Minute
)

// recordGap notes that records were dropped before they were read. They were made no
// later than the oldest remaining record.
func (c *Claimer) recordGap(page platform.Page) {
	if c.ignoreGaps {
		return
	}
	metric.Count("claim_gaps_total")
	madeBefore := time.Now()
	var oldest Record
	if len(page.Records) > 0 && json.Unmarshal(page.Records[0].Data, &oldest) == nil && oldest.At > 0 {
		madeBefore = time.UnixMilli(oldest.At)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if madeBefore.After(c.gap) {
		c.gap = madeBefore
	}
}

// gapMatters reports whether a claim made before the gap could still be valid.
func (c *Claimer) gapMatters(gap time.Time) bool {
	if gap.IsZero() {
		return false
	}
	lifetime := c.cfg.Keep + maxAppendDelay
	if c.cfg.Window != nil {
		lifetime += c.cfg.Window()
	}
	return time.Now().Before(gap.Add(lifetime))
}

// appendMarker appends a marker if the stream has had no record for a long time, so that
// a VM that starts later can tell from the oldest record how long the log retains
// records. Several markers do no harm.
func (c *Claimer) appendMarker(ctx context.Context) {
	if time.Now().Before(c.markerDue) {
		return
	}
	data, err := json.Marshal(Record{At: time.Now().UnixMilli()})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := c.cfg.Log.Append(ctx, Stream, [][]byte{data}); err == nil {
		c.scheduleMarker()
	}
}

// scheduleMarker postpones the next marker by a partly random interval, so that VMs
// rarely append one at the same time.
func (c *Claimer) scheduleMarker() {
	c.markerDue = time.Now().Add(markerInterval + rand.N(markerInterval))
}
