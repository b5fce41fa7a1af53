package leader_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"rhubarbshore/internal/fleet"
	"rhubarbshore/internal/leader"
)

// replacedAddress has another worker answer at an address once that is set. The worker with the ID
// can't be reached there any more.
type replacedAddress struct {
	leader.Workers
	id, address string
	set         *atomic.Bool
}

func (r replacedAddress) Renew(ctx context.Context, id, address string, req fleet.Renewal) (fleet.RenewalAnswer, error) {
	if id == r.id && address == r.address && r.set.Load() {
		return fleet.RenewalAnswer{Verdict: fleet.WorkerRestarted}, nil
	}
	return r.Workers.Renew(ctx, id, address, req)
}

// Guards against a task that lasts and waits for the lease of its crashed worker, though another process
// answers at the worker's address.
func TestTaskDoesNotWaitForTheLeaseOfAReplacedWorker(t *testing.T) {
	// maxWait is a renewal, an append and a start, with what they are retried after.
	const maxWait = 2 * time.Second
	violations := run(t, 2, func(p *pool) {
		var replaced atomic.Bool
		p.wrap = func(c leader.Config) leader.Config {
			c.Workers = replacedAddress{c.Workers, "w00", "w00:1", &replaced}
			return c
		}
		p.elect()
		p.submit(job(1, 1, lastingStep(2, 8)))
		time.Sleep(5 * time.Second)
		assert.Check(t, is.Equal(p.fleet.UsedAccelerators(), int64(16)))
		p.addWorker(2)
		p.fleet.Crash("w00", false)
		time.Sleep(time.Second)
		replaced.Store(true)
		time.Sleep(maxWait)
		assert.Check(t, is.Equal(p.fleet.UsedAccelerators(), int64(16)))
		p.cancelLasting()
	})
	assert.DeepEqual(t, violations, []string(nil))
}

// Guards against a task that runs twice, as its worker counts as ended: an entry of another writer names
// the address of another worker for it.
func TestWrongAddressDoesNotEndAWorker(t *testing.T) {
	violations := run(t, 2, func(p *pool) {
		var replaced atomic.Bool
		former := &formerEntry{}
		p.wrap = func(c leader.Config) leader.Config {
			c.Registry = formerRegistry{c.Registry, former}
			c.Workers = replacedAddress{c.Workers, "w00", "w01:1", &replaced}
			return c
		}
		replaced.Store(true)
		p.elect()
		p.submit(job(1, 1, lastingStep(2, 8)))
		time.Sleep(5 * time.Second)
		p.addWorker(2)
		wrong := p.fleet.Worker("w00")
		wrong.Address = "w01:1"
		former.set(wrong, true)
		time.Sleep(3 * time.Second)
		former.set(wrong, false)
		time.Sleep(10 * time.Second)
		p.cancelLasting()
	})
	assert.DeepEqual(t, violations, []string(nil))
}
