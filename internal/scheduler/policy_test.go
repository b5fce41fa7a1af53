package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbshore/internal/scheduler"
)

// Guards against a job that runs on the service of an older configuration: the leader replaced the queue
// that the job was accepted with by the one that it had, although it was behind.
func TestLeaderThatIsBehindKeepsTheQueueOfAJob(t *testing.T) {
	queue := func(service string) scheduler.Queue {
		return scheduler.Queue{Name: "q", Service: service, Priority: 1, Attempts: 2, Stretch: 2, Target: time.Second}
	}
	policy := func(offset int64, service string) scheduler.Policy {
		return scheduler.Policy{Offset: offset, Queues: map[string]scheduler.Queue{"q": queue(service)}}
	}
	for name, c := range map[string]struct {
		accepted, policy int64 // offsets of the configurations
		before           bool  // the job is added before the policy is set
		runs             bool
	}{
		"policy is older":                         {accepted: 7, policy: 6, runs: true},
		"policy is older and comes after the job": {accepted: 7, policy: 6, before: true, runs: true},
		"policy is the same":                      {accepted: 7, policy: 7},
		"policy is newer":                         {accepted: 7, policy: 8},
		"job of an earlier version of the daemon": {accepted: 0, policy: 6},
	} {
		p := newPool(t, 1) // of service s
		add := func() {
			p.core.AddJob(p.now, scheduler.Job{ID: "j", Customer: "c", Accepted: p.now.UnixMilli(), Queue: queue("s"), QueueOffset: c.accepted, Steps: []scheduler.Step{tasks(1, 1)}})
		}
		if c.before {
			add()
		}
		p.core.SetPolicy(policy(c.policy, "other"))
		if !c.before {
			add()
		}
		p.step(50 * time.Millisecond)
		assert.Equal(t, len(p.runs) == 1, c.runs, name)
	}
}
