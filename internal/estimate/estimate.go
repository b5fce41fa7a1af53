// Package estimate predicts how long a job runs from what earlier jobs of its
// customer and size took, measured against what they had declared.
//
// An Estimator is not safe for concurrent use: the placer's goroutine owns it.
// It is a hint that makes placements better and no placement safe; a VM that
// has just started goes by the declarations until it has seen some jobs end.
package estimate

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Tuning of the estimates. Ratios of a run time to its declaration are kept in
// thousandths.
const (
	ratioScale        = 1000.0
	minRatio          = 1
	maxRatio          = 100_000
	significantDigits = 1
	// windows of history, each of windowSize jobs.
	windows    = 2
	windowSize = 128
	// minObservations is the number of jobs from which a history is believed.
	minObservations = 8
	// maxHistories bounds the table.
	maxHistories = 4096
	// overrunMargin is the share of the time run so far that is added for a job that has
	// outlived all that were seen.
	overrunMargin = 0.25
)

// historyKey names a history. The empty customer stands for all of them and a
// negative level for all sizes.
type historyKey struct {
	customer string
	level    int
}

// Run identifies a job for an estimate: its customer, the level of its cells
// and the run time that was declared.
type Run struct {
	Customer string
	Level    int
	Declared time.Duration
}

// histories of a run, the most specific in front.
func (r Run) keys() []historyKey {
	return []historyKey{{r.Customer, r.Level}, {r.Customer, -1}, {"", -1}}
}

// Estimator keeps the histories.
type Estimator struct {
	histories map[historyKey]*history
}

// history is the distribution of ratios over the last jobs.
type history struct {
	recent *hdrhistogram.WindowedHistogram
	merged *hdrhistogram.Histogram
}

// New returns an Estimator without history.
func New() *Estimator {
	return &Estimator{histories: map[historyKey]*history{}}
}

// Observe takes in that a job ran to its end in the given time.
func (e *Estimator) Observe(r Run, took time.Duration) {
	if r.Declared <= 0 || took <= 0 {
		return
	}
	e.ObserveRatio(r, took.Seconds()/r.Declared.Seconds())
}

// ObserveRatio takes in how what a job of the run took, or used, compares with what
// it had declared.
func (e *Estimator) ObserveRatio(r Run, ratio float64) {
	for _, k := range r.keys() {
		if h := e.history(k); h != nil {
			h.observe(min(max(int64(ratio*ratioScale), minRatio), maxRatio))
		}
	}
}

// Ratio is the quantile q of the ratios seen, by the most specific history that is
// believed. It reports false if there is none.
func (e *Estimator) Ratio(r Run, q float64) (float64, bool) { return e.quantileAbove(r, 0, q) }

// quantileAbove is the quantile of those ratios that exceed the floor, by the most specific
// history that can tell.
func (e *Estimator) quantileAbove(r Run, floor, q float64) (float64, bool) {
	for _, k := range r.keys() {
		h := e.histories[k]
		if h == nil || h.merged.TotalCount() < minObservations {
			continue
		}
		if ratio, ok := h.quantileAbove(floor*ratioScale, q); ok {
			return ratio / ratioScale, true
		}
	}
	return 0, false
}

// history returns the history of the key, or nil if the table is full.
func (e *Estimator) history(k historyKey) *history {
	h := e.histories[k]
	if h == nil && len(e.histories) < maxHistories {
		h = &history{recent: hdrhistogram.NewWindowed(windows, minRatio, maxRatio, significantDigits)}
		e.histories[k] = h
	}
	return h
}

func (h *history) observe(ratio int64) {
	if h.recent.Current.TotalCount() >= windowSize {
		h.recent.Rotate()
	}
	// The ratio lies in the histogram's range, so that this can't fail.
	_ = h.recent.Current.RecordValue(ratio)
	h.merged = h.recent.Merge()
}

// Quantile predicts the whole run time of a job that has run for a while and
// not ended: the time in which the share q of such jobs ends. Without history it
// is what was declared.
func (e *Estimator) Quantile(r Run, ran time.Duration, q float64) time.Duration {
	if r.Declared <= 0 {
		return ran + time.Duration(overrunMargin*float64(ran))
	}
	if ratio, ok := e.quantileAbove(r, ran.Seconds()/r.Declared.Seconds(), q); ok {
		return time.Duration(ratio * float64(r.Declared))
	}
	return max(r.Declared, ran+time.Duration(overrunMargin*float64(ran)))
}

// quantileAbove is the quantile of those ratios that exceed the floor. It reports false
// if there are too few to tell.
func (h *history) quantileAbove(floor, q float64) (float64, bool) {
	var below int64
	if floor == 0 {
		return float64(h.merged.ValueAtQuantile(100 * q)), true
	}
	for _, bucket := range h.merged.Distribution() {
		if float64(bucket.To) <= floor {
			below += bucket.Count
		}
	}
	total := h.merged.TotalCount()
	if total-below < minObservations/2 {
		return 0, false
	}
	rank := (float64(below) + q*float64(total-below)) / float64(total)
	return max(floor, float64(h.merged.ValueAtQuantile(100*rank))), true
}
