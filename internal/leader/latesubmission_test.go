package leader_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"rhubarbshore/internal/scheduler"
)

// Guards against a job that runs although its cancelling was answered 410: the store carried out its
// submission later, after the answer to it had been given up.
func TestJobStoredAfterItsCancellingDoesNotRun(t *testing.T) {
	for name, takeover := range map[string]bool{"same leader": false, "next leader": true} {
		t.Run(name, func(t *testing.T) {
			violations := run(t, 4, func(p *pool) {
				l := p.elect()
				time.Sleep(time.Second)
				late := job(1, 1, step(1, 1))
				assert.Check(t, is.ErrorIs(p.cancelJob(late.ID), scheduler.ErrUnknown))
				_, err := p.stateFor(late.ID, "")
				assert.Check(t, is.ErrorIs(err, scheduler.ErrUnknown), "nobody has submitted it")
				if takeover {
					l.cancel()
					p.elect()
					time.Sleep(time.Second)
				}
				time.Sleep(6 * time.Second)
				p.submit(late)
				time.Sleep(5 * time.Second)
				assert.Check(t, is.Equal(p.fleet.Starts(), 0), "starts")
				assert.Check(t, is.Equal(p.state(late.ID), scheduler.Cancelled))
			})
			assert.DeepEqual(t, violations, []string(nil))
		})
	}
}

// Guards against a job that does not run because another customer has cancelled its ID, and against
// cancellations that stay for ever.
func TestCancellingOfAnUnknownJobHoldsForItsCustomerAndTime(t *testing.T) {
	violations := run(t, 4, func(p *pool) {
		p.elect()
		time.Sleep(time.Second)
		first, second := job(1, 1, step(1, 1)), job(2, 1, step(1, 1))
		first.Customer = "other"
		assert.Check(t, is.ErrorIs(p.cancelJob(first.ID), scheduler.ErrUnknown))
		assert.Check(t, is.ErrorIs(p.cancelJob(second.ID), scheduler.ErrUnknown))
		p.submit(first)
		time.Sleep(2 * time.Second)
		assert.Check(t, is.Equal(p.fleet.Starts(), 1), "starts")
		time.Sleep(2 * time.Minute)
		p.submit(second)
		time.Sleep(2 * time.Second)
		assert.Check(t, is.Equal(p.fleet.Starts(), 2), "starts")
	})
	assert.DeepEqual(t, violations, []string(nil))
}
