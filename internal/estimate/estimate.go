// Package estimate predicts the run time of a job from the actual run times of earlier
// jobs of its customer and size, relative to their declared run times.
//
// An Estimator is not safe for concurrent use: the placer's goroutine owns it. Estimates
// improve placements, but the safety of a placement must not depend on them: a VM that
// has just started uses the declared times until some jobs have ended.
package estimate

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Parameters of the estimates. Ratios of actual to declared run time are stored in
// thousandths.
const (
	ratioScale        = 1000.0
	minRatio          = 1
	maxRatio          = 100_000
	significantDigits = 1
	// windows is the number of history windows, each of windowSize jobs.
	windows    = 2
	windowSize = 128
	// minObservations is the number of jobs that a history needs before it is used.
	minObservations = 8
	// maxHistories bounds the number of histories.
	maxHistories = 4096
	// overrunMargin is the fraction of the elapsed run time that is added for a job that
	// has run longer than every earlier one.
	overrunMargin = 0.25
)

// historyKey identifies a history. An empty customer means all customers, and a negative
// level means all sizes.
type historyKey struct {
	customer string
	level    int
}

// Run describes a job for an estimate: its customer, the level of its cells and its
// declared run time.
type Run struct {
	Customer string
	Level    int
	Declared time.Duration
}

// keys returns the keys of the run's histories, most specific first.
func (r Run) keys() []historyKey {
	return []historyKey{{r.Customer, r.Level}, {r.Customer, -1}, {"", -1}}
}

// Estimator holds the histories.
type Estimator struct {
	histories map[historyKey]*history
}

// history is the distribution of ratios over the most recent jobs.
type history struct {
	recent *hdrhistogram.WindowedHistogram
	merged *hdrhistogram.Histogram
}

// New returns an Estimator without history.
func New() *Estimator {
	return &Estimator{histories: map[historyKey]*history{}}
}

// Observe records the actual run time of a job that ran to its end.
func (e *Estimator) Observe(r Run, took time.Duration) {
	if r.Declared <= 0 || took <= 0 {
		return
	}
	e.ObserveRatio(r, took.Seconds()/r.Declared.Seconds())
}

// ObserveRatio records the ratio of a job's actual to its declared run time, or resource
// usage.
func (e *Estimator) ObserveRatio(r Run, ratio float64) {
	for _, k := range r.keys() {
		if h := e.history(k); h != nil {
			h.observe(min(max(int64(ratio*ratioScale), minRatio), maxRatio))
		}
	}
}

// Ratio returns the quantile q of the observed ratios from the most specific history with
// enough observations. It returns false if there is none.
func (e *Estimator) Ratio(r Run, q float64) (float64, bool) { return e.quantileAbove(r, 0, q) }

// quantileAbove returns the quantile of the ratios above the floor, from the most
// specific history with enough observations.
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
	// The ratio is within the histogram's range, so this can't fail.
	_ = h.recent.Current.RecordValue(ratio)
	h.merged = h.recent.Merge()
}

// Quantile predicts the total run time of a job that has been running for the time ran:
// the time within which the fraction q of such jobs ends. Without history it returns the
// declared time, or ran plus the overrun margin if that is longer.
func (e *Estimator) Quantile(r Run, ran time.Duration, q float64) time.Duration {
	if r.Declared <= 0 {
		return ran + time.Duration(overrunMargin*float64(ran))
	}
	if ratio, ok := e.quantileAbove(r, ran.Seconds()/r.Declared.Seconds(), q); ok {
		return time.Duration(ratio * float64(r.Declared))
	}
	return max(r.Declared, ran+time.Duration(overrunMargin*float64(ran)))
}

// quantileAbove returns the quantile of the ratios above the floor. It returns false if
// there are too few.
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
