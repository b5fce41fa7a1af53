package estimate

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// assertClose asserts that the estimate is within 10% of want, the precision of the
// histogram.
func assertClose(t *testing.T, got, want time.Duration) {
	t.Helper()
	assert.Assert(t, got > want*9/10 && got < want*11/10, "got %s, want about %s", got, want)
}

func TestWithoutHistoryDeclarationsCount(t *testing.T) {
	e := New()
	r := Run{Customer: "a", Level: 3, Declared: time.Hour}
	assert.Equal(t, e.Quantile(r, 0, 0.7), time.Hour)
	assert.Equal(t, e.Quantile(r, 2*time.Hour, 0.7), 150*time.Minute)
	assert.Equal(t, e.Quantile(Run{}, time.Minute, 0.7), 75*time.Second)
}

func TestHistoryOfTheCustomerGoesFirst(t *testing.T) {
	e := New()
	for range minObservations {
		e.Observe(Run{Customer: "a", Level: 3, Declared: time.Hour}, 3*time.Hour)
		e.Observe(Run{Customer: "b", Level: 0, Declared: time.Hour}, 15*time.Minute)
	}
	assertClose(t, e.Quantile(Run{Customer: "a", Level: 3, Declared: 2 * time.Hour}, 0, 0.7), 6*time.Hour)
	assertClose(t, e.Quantile(Run{Customer: "b", Level: 5, Declared: 2 * time.Hour}, 0, 0.7), 30*time.Minute)
	assertClose(t, e.Quantile(Run{Customer: "new", Declared: 2 * time.Hour}, 0, 0.2), 30*time.Minute)
}

// TestJobsThatGoOnAreJudgedByThoseThatDid checks that a job that has run longer than the
// short jobs is estimated from the long ones only.
func TestJobsThatGoOnAreJudgedByThoseThatDid(t *testing.T) {
	e := New()
	r := Run{Customer: "a", Declared: time.Hour}
	for range 20 {
		e.Observe(r, 30*time.Minute)
		e.Observe(r, 4*time.Hour)
	}
	assertClose(t, e.Quantile(r, 0, 0.4), 30*time.Minute)
	assertClose(t, e.Quantile(r, time.Hour, 0.4), 4*time.Hour)
	assert.Equal(t, e.Quantile(r, 8*time.Hour, 0.4), 10*time.Hour)
}

func TestOldHistoryIsForgotten(t *testing.T) {
	e := New()
	r := Run{Customer: "a", Declared: time.Hour}
	for range windowSize {
		e.Observe(r, 8*time.Hour)
	}
	for range windows * windowSize {
		e.Observe(r, time.Hour)
	}
	assertClose(t, e.Quantile(r, 0, 0.99), time.Hour)
}

func TestTableIsBounded(t *testing.T) {
	e := New()
	for i := range 2 * maxHistories {
		e.Observe(Run{Customer: string(rune(i + 1)), Declared: time.Hour}, time.Hour)
	}
	assert.Assert(t, len(e.histories) <= maxHistories)
}

// BenchmarkQuantile measures the estimate for a running job.
func BenchmarkQuantile(b *testing.B) {
	e := New()
	r := Run{Customer: "a", Declared: time.Hour}
	for i := range 2 * windowSize {
		e.Observe(r, time.Duration(i+1)*time.Minute)
	}
	for b.Loop() {
		e.Quantile(r, time.Hour, 0.7)
	}
}

// BenchmarkHistories measures the memory of the histories with four job sizes per
// customer.
func BenchmarkHistories(b *testing.B) {
	for _, customers := range []int{4, 40, 170} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var all []*Estimator
			for b.Loop() {
				e := New()
				for i := range 4 * customers {
					for range 2 * windowSize {
						e.Observe(Run{Customer: fmt.Sprint("c", i/4), Level: i % 4, Declared: time.Hour}, time.Hour)
					}
				}
				all = append(all, e)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(all)*customers), "B/customer")
			runtime.KeepAlive(all)
		})
	}
}
