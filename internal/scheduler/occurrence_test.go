package scheduler_test

import (
	"fmt"
	"math/big"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rhubarbshore/internal/scheduler"
)

// Guards against occurrences that start at once although they are due in centuries: the time from the first
// one exceeded the range of a duration.
func TestOccurrencesOfCenturiesDoNotStartEarly(t *testing.T) {
	p := newPool(t, 2)
	p.core.AddJob(p.now, scheduler.Job{
		ID: "yearly", Accepted: p.now.UnixMilli(), Repeat: 2000, First: p.now.UnixMilli(), Interval: 365 * 24 * time.Hour,
		Queue: scheduler.Queue{Name: "q", Service: "s", Priority: 1, Attempts: 1}, Steps: []scheduler.Step{tasks(1, 1)},
	})
	p.settle(2)
	assert.Equal(t, len(p.runs), 1)
	assert.Equal(t, p.runs["yearly.0.0.0"].Run, 1)
}

const (
	maxOccurrences = 20_000
	maxInterval    = 365 * 24 * time.Hour
)

// upTo draws a number of the range from 0 on, which is often its end.
func upTo(t *rapid.T, limit int64, name string) int64 {
	return rapid.OneOf(rapid.Int64Range(0, limit), rapid.Just(limit)).Draw(t, name)
}

// Guards against occurrences at a wrong time, at any interval and number that jobs may have.
func TestOccurrencesAreDueAfterWholeIntervals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := scheduler.Job{
			ID: "timed", Repeat: maxOccurrences, First: upTo(t, 1<<43, "first"), Interval: time.Duration(upTo(t, int64(maxInterval), "interval")),
			Steps: []scheduler.Step{tasks(1, 1)},
		}
		assert.NilError(t, j.Check())
		number := int(upTo(t, maxOccurrences-1, "number"))
		want := new(big.Int).Mul(big.NewInt(int64(number)), big.NewInt(int64(j.Interval)))
		want.Add(want, new(big.Int).Mul(big.NewInt(j.First), big.NewInt(int64(time.Millisecond))))
		due := scheduler.Due(&j, number)
		got := new(big.Int).Mul(big.NewInt(due.Unix()), big.NewInt(int64(time.Second)))
		got.Add(got, big.NewInt(int64(due.Nanosecond())))
		assert.Equal(t, got.Cmp(want), 0, fmt.Sprintf("%s, want %s ns", got, want))
	})
}
