package leader_test

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"rhubarbshore/internal/fleet"
	"rhubarbshore/internal/intake"
	"rhubarbshore/internal/leader"
	"rhubarbshore/internal/scheduler"
	"rhubarbshore/internal/store"
)

// oddRegistry hides the true entry of a worker behind one that cannot be used, and has dropped
// its history, so that the leader reads the whole list.
type oddRegistry struct {
	leader.Registry
	worker string
}

// WorkerChanges implements leader.Registry.
func (oddRegistry) WorkerChanges(context.Context, int64) (fleet.Registry, error) {
	return fleet.Registry{}, store.ErrGone
}

// Workers implements leader.Registry.
func (r oddRegistry) Workers(ctx context.Context) (fleet.Registry, error) {
	reg, err := r.Registry.Workers(ctx)
	reg.Rejected = append(reg.Rejected, fleet.Rejected{ID: "odd", Err: errors.New("no such state")})
	for i, w := range reg.Workers {
		if w.ID == r.worker {
			reg.Workers = append(reg.Workers[:i:i], reg.Workers[i+1:]...)
			reg.Rejected = append(reg.Rejected, fleet.Rejected{ID: w.ID, Err: errors.New("port out of range")})
			break
		}
	}
	return reg, err
}

// switchedRegistry reads from one registry until another is set.
type switchedRegistry struct {
	current *atomic.Pointer[leader.Registry]
}

// WorkerChanges implements leader.Registry.
func (s switchedRegistry) WorkerChanges(ctx context.Context, from int64) (fleet.Registry, error) {
	return (*s.current.Load()).WorkerChanges(ctx, from)
}

// Workers implements leader.Registry.
func (s switchedRegistry) Workers(ctx context.Context) (fleet.Registry, error) {
	return (*s.current.Load()).Workers(ctx)
}

// Guards against a worker that counts as gone because another writer overwrote its entry: when
// the whole list was read again, a worker without a usable entry got no more work.
func TestWorkerBehindAnOddEntryIsStillServed(t *testing.T) {
	violations := run(t, 1, func(p *pool) {
		var current atomic.Pointer[leader.Registry]
		p.wrap = func(c leader.Config) leader.Config {
			registry := c.Registry
			current.Store(&registry)
			c.Registry = switchedRegistry{&current}
			return c
		}
		p.elect()
		p.submit(job(1, 1, step(4, 2)))
		time.Sleep(2 * time.Second)
		var odd leader.Registry = oddRegistry{*current.Load(), "w00"}
		current.Store(&odd)
		time.Sleep(2 * time.Second)
		p.submit(job(2, 1, step(4, 2)))
		if open := p.waitForJobs(20 * time.Second); len(open) > 0 {
			t.Errorf("not finished: %v", open)
		}
	})
	assert.DeepEqual(t, violations, []string(nil))
}

// Guards against work that lapses on a sound worker: another writer left an entry under its ID, of a service that is not
// configured, whose later start outdated all that the worker reported.
func TestEntryOfAnUnknownServiceEndsNoRun(t *testing.T) {
	violations := run(t, 2, func(p *pool) {
		former := &formerEntry{}
		p.wrap = func(c leader.Config) leader.Config {
			c.Registry = formerRegistry{c.Registry, former}
			return c
		}
		p.elect()
		p.submit(job(1, 1, lastingStep(2, 8)))
		time.Sleep(5 * time.Second)
		p.addWorker(2)
		odd := p.fleet.Worker("w00")
		odd.Service, odd.Incarnation = "old-desk", odd.Incarnation+2000
		former.set(odd, true)
		time.Sleep(time.Second)
		former.set(odd, false)
		time.Sleep(20 * time.Second)
		assert.Check(t, is.Equal(p.fleet.Starts(), 2))
		assert.Check(t, is.Equal(p.fleet.UsedAccelerators(), int64(16)))
		p.cancelLasting()
	})
	assert.DeepEqual(t, violations, []string(nil))
}

// Guards against a stored job that ends the processes of all leaders, one after the other: a job
// with too many tasks was created before anything checked it.
func TestStoredJobBeyondTheLimitsIsPassedOver(t *testing.T) {
	violations := run(t, 2, func(p *pool) {
		for i, odd := range []scheduler.Job{
			{Steps: []scheduler.Step{{Count: 1}, {Count: 1 << 60}}},
			{Repeat: 1 << 60, Steps: []scheduler.Step{{Count: 4}}},
			{Steps: []scheduler.Step{{Count: 1, After: []int{-1}}}},
		} {
			odd.ID = job(100+i, 1).ID
			value, err := json.Marshal(odd)
			assert.NilError(t, err)
			p.log.Put(intake.Stream(intake.PartOf(odd.ID)), store.Record{Key: odd.ID, Value: value})
		}
		p.elect()
		p.submit(job(1, 1, step(4, 2)))
		if open := p.waitForJobs(20 * time.Second); len(open) > 0 {
			t.Errorf("not finished: %v", open)
		}
	})
	assert.DeepEqual(t, violations, []string(nil))
}

// Guards against a stored job that nobody hears of again: one beyond the limits was passed over, and its
// customer was told that it doesn't exist.
func TestStoredJobBeyondTheLimitsIsShownAsFailed(t *testing.T) {
	violations := run(t, 2, func(p *pool) {
		odd := job(1, 1, step(1, 1))
		odd.Steps[0].MaxPerWorker = -1
		p.submit(odd)
		p.elect()
		time.Sleep(2 * time.Second)
		assert.Check(t, is.Equal(p.state(odd.ID), scheduler.Failed))
		p.takeOver(time.Second)
		time.Sleep(2 * time.Second)
		assert.Check(t, is.Equal(p.state(odd.ID), scheduler.Failed))
		assert.Check(t, is.Equal(p.fleet.Starts(), 0), "starts")
	})
	assert.DeepEqual(t, violations, []string(nil))
}

// Guards against a job that is shown as failed although it can be done: a version that didn't cut the
// figures of queues accepted it during a rolling update.
func TestJobOfAnEarlierVersionWithAnExtremeQueueRuns(t *testing.T) {
	for name, extreme := range map[string]func(q *scheduler.Queue){
		"target":           func(q *scheduler.Queue) { q.Target = 400 * 24 * time.Hour },
		"largest target":   func(q *scheduler.Queue) { q.Target = 1<<63 - 1 },
		"stretch":          func(q *scheduler.Queue) { q.Stretch = 1e300 },
		"negative stretch": func(q *scheduler.Queue) { q.Stretch = -1 },
	} {
		t.Run(name, func(t *testing.T) {
			violations := run(t, 2, func(p *pool) {
				read, followed := job(1, 1, step(1, 1)), job(2, 1, step(1, 1))
				extreme(&read.Queue)
				extreme(&followed.Queue)
				p.submit(read)
				p.elect()
				time.Sleep(time.Second)
				p.submit(followed)
				assert.Check(t, is.Len(p.waitForJobs(20*time.Second), 0))
				for _, id := range []string{read.ID, followed.ID} {
					assert.Check(t, is.Equal(p.state(id), scheduler.Completed))
				}
			})
			assert.DeepEqual(t, violations, []string(nil))
		})
	}
}
