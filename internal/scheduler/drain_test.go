package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbshore/internal/scheduler"
)

// drainingWorker returns the entry of the first worker once it drains.
func drainingWorker(remaining time.Duration) scheduler.Worker {
	return scheduler.Worker{
		ID: workerID(0), Address: "x:1", Service: "s", Rack: "r0", Labels: []string{"a", "r0"}, Draining: true, Remaining: remaining,
		Capacity: testCapacity,
	}
}

// Guards against a task that runs until it is cancelled and starts again only after the lease, as it
// is left on a draining worker until that has gone.
func TestLongRunningTaskLeavesADrainingWorker(t *testing.T) {
	const remaining = 2 * time.Second
	p := newPool(t, 2)
	s := tasks(1, 1)
	s.LongRunning = true
	p.submit("serving", 1, "c", s)
	p.settle(2)
	assert.Equal(t, p.runs["serving.0.0.0"].Worker, workerID(0))
	p.core.UpdateWorker(p.now, drainingWorker(remaining))
	for range remaining / (50 * time.Millisecond) {
		p.step(50 * time.Millisecond)
		p.report(0)
		p.report(1)
	}
	assert.Equal(t, p.runs["serving.0.0.0"].Worker, workerID(1))
}

// Guards against work that is lost with a draining worker because the leader that saw the drain begin
// stopped before it moved the work.
func TestNextLeaderMovesWorkFromADrainingWorker(t *testing.T) {
	const remaining = 2 * time.Second
	p := newPool(t, 2)
	p.runSeconds = 60
	job := scheduler.Job{
		ID: "long", Customer: "c", Accepted: p.now.UnixMilli(), Steps: []scheduler.Step{tasks(1, 1)},
		Queue: scheduler.Queue{Name: "q1", Service: "s", Priority: 1, Attempts: 2, Stretch: 2, Target: time.Second},
	}
	job.Steps[0].Estimate = time.Minute
	p.steps["long"] = job.Steps
	p.core.AddJob(p.now, job)
	effects := p.step(50 * time.Millisecond)
	assert.Equal(t, p.runs["long.0.0.0"].Worker, workerID(0))

	next := newPool(t, 0)
	next.now, next.runs, next.began, next.runSeconds = p.now, p.runs, p.began, p.runSeconds
	for _, r := range effects.Records {
		assert.NilError(t, next.core.Restore(next.now, r.Key, r.Value))
	}
	next.core.AddJob(next.now, job)
	next.core.UpdateWorker(next.now, drainingWorker(remaining))
	next.addWorker(1, "a")
	for range remaining / (50 * time.Millisecond) {
		next.step(50 * time.Millisecond)
		next.report(0)
		next.report(1)
	}
	assert.Equal(t, next.runs["long.0.0.0"].Worker, workerID(1))
}

// Guards against work that is lost with a draining worker because its entry had lapsed when the drain
// began.
func TestWorkLeavesAWorkerThatIsListedAgainAsDraining(t *testing.T) {
	const remaining = 2 * time.Second
	p := newPool(t, 2)
	p.runSeconds = 60
	s := tasks(1, 1)
	s.Estimate = time.Minute
	p.submit("long", 1, "c", s)
	p.settle(2)
	assert.Equal(t, p.runs["long.0.0.0"].Worker, workerID(0))
	p.core.RemoveWorker(workerID(0))
	p.step(time.Second)
	p.core.UpdateWorker(p.now, drainingWorker(remaining))
	for range remaining / (50 * time.Millisecond) {
		p.step(50 * time.Millisecond)
		p.report(0)
		p.report(1)
	}
	assert.Equal(t, p.runs["long.0.0.0"].Worker, workerID(1))
}

// Guards against a new leader that stops runs on a draining worker that are about to end, as it does
// not know their progress before the worker has reported.
func TestNextLeaderLeavesARunThatEndsInTime(t *testing.T) {
	const remaining = 2 * time.Second
	p := newPool(t, 1)
	p.runSeconds = 60
	job := scheduler.Job{
		ID: "long", Customer: "c", Accepted: p.now.UnixMilli(), Steps: []scheduler.Step{tasks(1, 1)},
		Queue: scheduler.Queue{Name: "q1", Service: "s", Priority: 1, Attempts: 2, Stretch: 2, Target: time.Second},
	}
	job.Steps[0].Estimate = time.Minute
	p.steps["long"] = job.Steps
	p.core.AddJob(p.now, job)
	stored := p.step(50 * time.Millisecond).Records

	next := newPool(t, 0)
	next.now, next.runs, next.began, next.runSeconds = p.now.Add(59*time.Second), p.runs, p.began, p.runSeconds
	for _, r := range stored {
		assert.NilError(t, next.core.Restore(next.now, r.Key, r.Value))
	}
	next.core.AddJob(next.now, job)
	next.core.UpdateWorker(next.now, drainingWorker(remaining))
	for range 10 {
		effects := next.step(50 * time.Millisecond)
		assert.Equal(t, len(effects.Stops), 0)
		next.report(0)
	}
	assert.Equal(t, next.runs["long.0.0.0"].Worker, workerID(0))
}

// Guards against a task that runs again after it is done: it took longer than it seemed when its worker began to drain,
// and ended just before that left, too late to be reported.
func TestNoRunIsLeftOnAWorkerThatIsAboutToLeave(t *testing.T) {
	const (
		remaining  = 3 * time.Second
		reportTime = 50 * time.Millisecond // from an end to its report
	)
	for slowdown := 1.05; slowdown < 8; slowdown *= 1.1 {
		p := newPool(t, 2)
		p.autoFinish = true
		p.submit("job", 1, "c", tasks(1, 1))
		p.step(50 * time.Millisecond)
		began, w := p.now, p.runs["job.0.0.0"].Worker
		assert.Equal(t, w, workerID(0))
		for p.now.Sub(began) < 6500*time.Millisecond {
			p.step(50 * time.Millisecond)
			p.report(0)
			p.report(1)
		}
		drained := p.now
		p.core.UpdateWorker(p.now, drainingWorker(remaining))
		done := p.now.Sub(p.began["job.0.0.0"]).Seconds()
		p.runSeconds, p.began["job.0.0.0"] = p.runSeconds*slowdown, p.now.Add(-time.Duration(done*slowdown*float64(time.Second)))
		for p.now.Sub(drained) < remaining-reportTime {
			p.step(50 * time.Millisecond)
			p.report(0)
			p.report(1)
		}
		assert.Assert(t, p.state("job") == scheduler.Completed || p.runs["job.0.0.0"].Worker != w, "%.2f times slower: still on the worker", slowdown)
	}
}
