package leader_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"rhubarbshore/internal/intake"
	"rhubarbshore/internal/metric"
	"rhubarbshore/internal/scheduler"
)

// cancelUnknown cancels jobs of a customer that nobody has submitted, all at once, and returns for how many
// that was kept, and a refusal if there was one.
func (p *pool) cancelUnknown(t *testing.T, customer string, jobs int) (kept int, refusal *intake.BusyError) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	errs := make([]error, jobs)
	var calls sync.WaitGroup
	for i := range errs {
		calls.Go(func() { _, errs[i] = p.newest().leader.Cancel(ctx, fmt.Sprintf("%s%d", customer, i), customer) })
	}
	calls.Wait()
	for _, err := range errs {
		if errors.Is(err, scheduler.ErrUnknown) {
			kept++
		} else if !errors.As(err, &refusal) {
			assert.NilError(t, err)
		}
	}
	return kept, refusal
}

// Guards against a customer who uses up all places for cancellations of unknown jobs: the calls of the others
// got no definite answer for a minute, held until their deadlines, and no metric showed why.
func TestCancellationsOfOneCustomerLeavePlacesToOthers(t *testing.T) {
	violations := run(t, 2, func(p *pool) {
		p.elect()
		time.Sleep(time.Second)
		_, refusal := p.cancelUnknown(t, "one", 11_000)
		assert.Assert(t, refusal != nil)
		assert.Check(t, refusal.RetryAfter > 0 && refusal.RetryAfter <= time.Minute, "%s", refusal.RetryAfter)
		kept, refusal := p.cancelUnknown(t, "two", 1000)
		assert.Check(t, is.Equal(kept, 1000), "%v", refusal)
		time.Sleep(time.Second)
		var metrics bytes.Buffer
		metric.Write(&metrics)
		for _, name := range []string{"rhubarbshore_cancellations_kept 6000\n", "rhubarbshore_cancellations_refused_total "} {
			assert.Check(t, strings.Contains(metrics.String(), name), name)
		}
		time.Sleep(2 * time.Minute)
		kept, refusal = p.cancelUnknown(t, "one", 1000)
		assert.Check(t, is.Equal(kept, 1000), "the others have expired: %v", refusal)
	})
	assert.DeepEqual(t, violations, []string(nil))
}
