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
	unit     = 1000.0
	minRatio = 1
	maxRatio = 100_000
	digits   = 1
	// windows of history, each of windowSize jobs.
	windows    = 2
	windowSize = 128
	// enough is the number of jobs from which a history is believed.
	enough = 8
	// maxHistories bounds the table.
	maxHistories = 4096
	// overrun is the share of the time run so far that is added for a job that has
	// outlived all that were seen.
	overrun = 0.25
)

// key names a history. The empty customer stands for all of them and a
// negative level for all sizes.
type key struct {
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
func (r Run) keys() []key {
	return []key{{r.Customer, r.Level}, {r.Customer, -1}, {"", -1}}
}

// Estimator keeps the histories.
type Estimator struct {
	histories map[key]*history
}

// history is the distribution of ratios over the last jobs.
type history struct {
	ring *hdrhistogram.WindowedHistogram
	all  *hdrhistogram.Histogram
}

// New returns an Estimator without history.
func New() *Estimator {
	return &Estimator{histories: map[key]*history{}}
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
			h.observe(min(max(int64(ratio*unit), minRatio), maxRatio))
		}
	}
}

// Ratio is the quantile q of the ratios seen, by the most specific history that is
// believed. It reports false if there is none.
func (e *Estimator) Ratio(r Run, q float64) (float64, bool) { return e.beyond(r, 0, q) }

// beyond is the quantile of those ratios that exceed the floor, by the most specific
// history that can tell.
func (e *Estimator) beyond(r Run, floor, q float64) (float64, bool) {
	for _, k := range r.keys() {
		h := e.histories[k]
		if h == nil || h.all.TotalCount() < enough {
			continue
		}
		if ratio, ok := h.beyond(floor*unit, q); ok {
			return ratio / unit, true
		}
	}
	return 0, false
}

// history returns the history of the key, or nil if the table is full.
func (e *Estimator) history(k key) *history {
	h := e.histories[k]
	if h == nil && len(e.histories) < maxHistories {
		h = &history{ring: hdrhistogram.NewWindowed(windows, minRatio, maxRatio, digits)}
		e.histories[k] = h
	}
	return h
}

func (h *history) observe(ratio int64) {
	if h.ring.Current.TotalCount() >= windowSize {
		h.ring.Rotate()
	}
	// The ratio lies in the histogram's range, so that this can't fail.
	_ = h.ring.Current.RecordValue(ratio)
	h.all = h.ring.Merge()
}

// Quantile predicts the whole run time of a job that has run for a while and
// not ended: the time in which the share q of such jobs ends. Without history it
// is what was declared.
func (e *Estimator) Quantile(r Run, ran time.Duration, q float64) time.Duration {
	if r.Declared <= 0 {
		return ran + time.Duration(overrun*float64(ran))
	}
	if ratio, ok := e.beyond(r, ran.Seconds()/r.Declared.Seconds(), q); ok {
		return time.Duration(ratio * float64(r.Declared))
	}
	return max(r.Declared, ran+time.Duration(overrun*float64(ran)))
}

// beyond is the quantile of those ratios that exceed the floor. It reports false
// if there are too few to tell.
func (h *history) beyond(floor, q float64) (float64, bool) {
	var below int64
	if floor == 0 {
		return float64(h.all.ValueAtQuantile(100 * q)), true
	}
	for _, bar := range h.all.Distribution() {
		if float64(bar.To) <= floor {
			below += bar.Count
		}
	}
	total := h.all.TotalCount()
	if total-below < enough/2 {
		return 0, false
	}
	rank := (float64(below) + q*float64(total-below)) / float64(total)
	return max(floor, float64(h.all.ValueAtQuantile(100*rank))), true
}
