package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbshore/internal/scheduler"
)

// playRuns takes steps of 50 ms with reports in between. A run ends once outcome says so for its
// task, worker and age.
func (p *pool) playRuns(d time.Duration, workers int, outcome func(task, worker string, age time.Duration) scheduler.Cause) {
	for end := p.now.Add(d); p.now.Before(end); {
		p.step(50 * time.Millisecond)
		for task, s := range p.runs {
			if cause := outcome(task, s.Worker, p.now.Sub(p.began[task])); cause != "" {
				p.finish(task, cause)
			}
		}
		for i := range workers {
			p.report(i)
		}
	}
}

// poisoned returns an outcome for playRuns: runs of jobs whose ID begins with "poison" fail
// after a second wherever they run, and all others are done after goodAge.
func poisoned(goodAge time.Duration) func(task, worker string, age time.Duration) scheduler.Cause {
	return func(task, _ string, age time.Duration) scheduler.Cause {
		switch fails := task[:6] == "poison"; {
		case fails && age >= time.Second:
			return scheduler.Fault
		case !fails && age >= goodAge:
			return scheduler.Done
		}
		return ""
	}
}

// Guards against jobs that can't be done and that put healthy workers out of use: two wide jobs
// whose runs all fail once left no worker for a minute.
func TestJobsThatAlwaysFailPutNoSoundWorkerOutOfUse(t *testing.T) {
	const workers = 48
	for _, poison := range []int{2, 6} {
		t.Run(fmt.Sprint(poison, " jobs"), func(t *testing.T) {
			p := newPool(t, workers)
			for i := range poison {
				p.submit(fmt.Sprint("poison", i), 1, "c", tasks(94, 1))
			}
			p.playRuns(2500*time.Millisecond, workers, poisoned(2500*time.Millisecond))
			for i := range 32 {
				p.submit(fmt.Sprint("sound", i), 1, "c", tasks(2, 1))
			}
			p.playRuns(6*time.Second, workers, poisoned(2500*time.Millisecond))
			for i := range 32 {
				assert.Equal(t, p.state(fmt.Sprint("sound", i)), scheduler.Completed)
			}
			for i := range poison {
				assert.Equal(t, p.state(fmt.Sprint("poison", i)), scheduler.Failed)
			}
		})
	}
}

// Guards against jobs with one task that fails everywhere: two of them on the same worker must
// not put it out of use for longer than it takes them to fail elsewhere.
func TestSingleTasksThatAlwaysFailReleaseTheirWorkers(t *testing.T) {
	p := newPool(t, 3)
	for i := range 4 {
		p.submit(fmt.Sprint("poison", i), 1, "c", tasks(1, 1))
	}
	p.playRuns(4*time.Second, 3, poisoned(time.Second))
	p.submit("sound", 1, "c", tasks(24, 1))
	p.playRuns(500*time.Millisecond, 3, poisoned(time.Second))
	assert.Equal(t, len(p.runsByWorker("sound")), 3, "all workers are in use")
}

// Guards against work that is slow wherever it runs and that puts healthy workers out of use.
func TestSlowWorkPutsNoSoundWorkerOutOfUse(t *testing.T) {
	const workers = 16
	p := newPool(t, workers)
	p.runSeconds = 2
	p.autoFinish = true
	for i := range 3 { // the run times of the queue are known from these
		p.submit(fmt.Sprint("usual", i), 1, "c", declared(tasks(8, 1), 2*time.Second))
	}
	p.playRuns(5*time.Second, workers, func(string, string, time.Duration) scheduler.Cause { return "" })
	p.runSeconds = 60
	p.submit("slow", 1, "c", declared(tasks(64, 1), 2*time.Second))
	for range 300 {
		p.playRuns(50*time.Millisecond, workers, func(string, string, time.Duration) scheduler.Cause { return "" })
		assert.Assert(t, p.core.Quarantined(p.now) <= 1, "%d workers", p.core.Quarantined(p.now))
	}
}

func declared(s scheduler.Step, d time.Duration) scheduler.Step {
	s.Estimate = d
	return s
}

// Guards against workers that fail whatever they are given and stay in use, because the work is
// taken for the cause of their failures.
func TestWorkersThatFailEverythingAreQuarantined(t *testing.T) {
	const workers, failing = 24, 6
	p := newPool(t, workers)
	p.submitMixed("early", 40)
	outcome := func(_, worker string, age time.Duration) scheduler.Cause {
		switch {
		case worker < workerID(failing) && age >= 500*time.Millisecond:
			return scheduler.Fault
		case age >= 2*time.Second:
			return scheduler.Done
		}
		return ""
	}
	p.playRuns(6*time.Second, workers, outcome)
	p.submitMixed("later", 60) // more than the other workers have room for
	p.step(50 * time.Millisecond)
	onFailing := 0
	for _, s := range p.runs {
		if s.Worker < workerID(failing) {
			onFailing++
		}
	}
	assert.Equal(t, onFailing, 0, "of %d runs", len(p.runs))
	p.playRuns(10*time.Second, workers, outcome)
	for i := range 60 {
		assert.Equal(t, p.state(fmt.Sprint("later", i)), scheduler.Completed)
	}
}

// submitMixed submits jobs of three tasks each.
func (p *pool) submitMixed(prefix string, jobs int) {
	for i := range jobs {
		p.submit(fmt.Sprint(prefix, i), 1, "c", tasks(3, 1))
	}
}

// Guards against a pool that is quarantined as a whole: many jobs of one task that fail at the same
// time look like failures of all workers until their second attempts.
func TestHalfOfTheWorkersStayInUse(t *testing.T) {
	const workers = 8
	p := newPool(t, workers)
	for i := range 8 * workers {
		p.submit(fmt.Sprintf("poison%02d", i), 1, "c", tasks(1, 1))
	}
	most := 0
	for range 40 {
		p.playRuns(50*time.Millisecond, workers, poisoned(time.Second))
		most = max(most, p.core.Quarantined(p.now))
	}
	assert.Equal(t, most, workers/2)
}

// Guards against a rack whose workers all fail and of which half stay in use, since they have a label
// in common: what others complete shows that the workers fail.
func TestRackThatFailsEverythingIsQuarantined(t *testing.T) {
	const workers, failing = 12, 4
	p := newPool(t, workers)
	p.submitMixed("early", 16)
	outcome := func(_, worker string, age time.Duration) scheduler.Cause {
		switch {
		case worker < workerID(failing) && age >= 500*time.Millisecond:
			return scheduler.Fault
		case age >= 2*time.Second:
			return scheduler.Done
		}
		return ""
	}
	p.playRuns(4*time.Second, workers, outcome)
	assert.Equal(t, p.core.Quarantined(p.now), failing)
}

// endsAfter ends runs as Done after runSeconds, whatever the task.
func (p *pool) endsAfter() func(task, worker string, age time.Duration) scheduler.Cause {
	return func(_, _ string, age time.Duration) scheduler.Cause {
		if age.Seconds() >= p.runSeconds {
			return scheduler.Done
		}
		return ""
	}
}

// Guards against a task that takes ten times as long as declared and never ends, as it is moved to
// another worker every three seconds.
func TestTaskThatIsSlowEverywhereEnds(t *testing.T) {
	for _, checkpoints := range []bool{false, true} {
		const workers = 8
		p := newPool(t, workers)
		p.runSeconds = 2.5
		for i := range 3 { // the run times of the queue are known from these
			p.submit(fmt.Sprint("usual", i), 1, "c", declared(tasks(8, 1), 2500*time.Millisecond))
		}
		p.playRuns(5*time.Second, workers, p.endsAfter())
		p.runSeconds = 25
		step := declared(tasks(1, 1), 2500*time.Millisecond)
		step.Checkpoints = checkpoints
		p.submit("slow", 1, "c", step)
		p.playRuns(35*time.Second, workers, p.endsAfter())
		assert.Equal(t, p.state("slow"), scheduler.Completed, "checkpoints: %t", checkpoints)
	}
}

// Guards against a task that is moved without end since each worker is slower than those before.
func TestSlowTaskIsMovedTwiceAtMost(t *testing.T) {
	const workers = 8
	p := newPool(t, workers)
	p.runSeconds = 2.5
	for i := range 3 { // the run times of the queue are known from these
		p.submit(fmt.Sprint("usual", i), 1, "c", declared(tasks(8, 1), 2500*time.Millisecond))
	}
	p.playRuns(5*time.Second, workers, p.endsAfter())
	p.submit("slow", 1, "c", declared(tasks(1, 1), 2500*time.Millisecond))
	for run, seconds := range []float64{12, 60, 300} {
		p.runSeconds = seconds
		p.playRuns(6*time.Second, workers, p.endsAfter())
		assert.Equal(t, p.runs["slow.0.0.0"].Run, min(run+2, 3))
	}
}

// Guards against a task that reports progress so seldom that each of its runs counts as hung.
func TestTaskWithRareProgressEnds(t *testing.T) {
	const workers = 4
	p := newPool(t, workers)
	p.runSeconds = 60
	p.hung = true // reports the same percent all the time
	p.submit("rare0", 1, "c", declared(tasks(1, 1), 5*time.Second))
	p.playRuns(4*time.Minute, workers, p.endsAfter())
	assert.Equal(t, p.state("rare0"), scheduler.Completed)
}

// Guards against a gang that fails at each attempt and takes the only worker with room out of use for
// all other work.
func TestFailingGangDoesNotQuarantineTheOnlyFreeWorker(t *testing.T) {
	const workers = 8
	p := newPool(t, workers)
	for _, i := range []int{0, 1} {
		p.addWorker(i, "b")
	}
	lasts := labelled(tasks(1, 8))
	lasts.LongRunning = true
	p.submit("lasts", 1, "o", lasts)
	p.playRuns(100*time.Millisecond, workers, noEnds)
	p.submit("poison", 1, "o", labelled(gang(2, 2)))
	p.playRuns(2500*time.Millisecond, workers, poisoned(time.Hour))
	p.submit("other", 1, "c", labelled(tasks(1, 1)))
	p.playRuns(maxIdle, workers, poisoned(time.Hour))
	assert.Equal(t, len(p.runsByWorker("other")), 1)
}

// Guards against a job that has nothing running beside a free worker: two jobs that fail wherever they
// run put the only worker with room for it into quarantine, and the others with its label are in use.
func TestJobStartsInQuarantineIfThereIsNoOtherRoom(t *testing.T) {
	const (
		workers  = 8
		poison   = 2 // as many failing jobs as put a worker into quarantine
		failTime = 1500 * time.Millisecond
	)
	lasting := tasks(2, 1)
	lasting.LongRunning = true
	for _, waits := range []scheduler.Step{gang(2, 2), tasks(6, 1), lasting} {
		t.Run(fmt.Sprintf("gang %t, lasting %t", waits.Gang, waits.LongRunning), func(t *testing.T) {
			p := newPool(t, workers)
			p.addWorker(0, "b")
			p.addWorker(1, "b")
			p.runSeconds = 60
			lasts := labelled(tasks(1, 8))
			lasts.LongRunning = true
			p.submit("lasts", 1, "o", lasts)
			p.playRuns(100*time.Millisecond, workers, noEnds)
			for i := range poison {
				p.submit(fmt.Sprint("poison", i), 1, "o", labelled(gang(2, 1)))
			}
			p.playRuns(failTime, workers, poisoned(time.Hour))
			assert.Equal(t, p.core.Quarantined(p.now), 1)
			p.submit("other", 1, "c", labelled(waits))
			p.playRuns(maxIdle, workers, poisoned(time.Hour))
			started := waits.Count
			if !waits.Gang && !waits.LongRunning {
				started = 1 // the job has something running then
			}
			assert.DeepEqual(t, p.runsByWorker("other"), map[string]int{workerID(1): started})
		})
	}
}

func labelled(s scheduler.Step) scheduler.Step {
	s.Label = "b"
	return s
}

// A task that is slow wherever it runs must not keep other jobs from the only worker that has room.
// The worker was quarantined for 6 s, since the task had been slow on no other worker yet.
func TestSlowTaskDoesNotQuarantineTheOnlyFreeWorker(t *testing.T) {
	const workers, poll = 8, 50 * time.Millisecond
	p := newPool(t, 0)
	for i := range workers - 2 {
		p.addWorker(i, "a")
	}
	p.addWorker(workers-2, "b")
	p.addWorker(workers-1, "b")
	p.runSeconds, p.autoFinish = 2, true
	for i := range 3 { // the run times of the queue are known from these
		p.submit(fmt.Sprint("usual", i), 1, "c", declared(tasks(8, 1), 2*time.Second))
	}
	play := func(d time.Duration) { p.playRuns(d, workers, noEnds) }
	play(5 * time.Second)
	p.runSeconds = 60
	labelled := func(accelerators int64) scheduler.Step {
		s := declared(tasks(1, accelerators), 2*time.Second)
		s.Label = "b"
		return s
	}
	fill := labelled(8)
	fill.LongRunning = true
	p.submit("fill", 1, "c", fill)
	p.submit("slow", 1, "c", labelled(1))
	for range 200 {
		if p.core.Quarantined(p.now) > 0 {
			break
		}
		play(poll)
	}
	p.submit("next", 1, "c", labelled(1))
	began := p.now
	for len(p.runsByWorker("next")) == 0 {
		assert.Assert(t, p.now.Sub(began) < maxIdle, "nothing of the job runs, %d workers are out of use", p.core.Quarantined(p.now))
		play(poll)
	}
}

// Guards against guaranteed work that does not begin in time, as workers in quarantine are left out although
// the others have no room for it.
func TestGuaranteedWorkReclaimsWorkersInQuarantine(t *testing.T) {
	const (
		workers, failing = 4, 2
		maxDelay         = 3 * time.Second // by the users' rules
	)
	for name, c := range map[string]struct {
		spare  int
		urgent scheduler.Step
	}{
		"tasks in an idle pool": {0, tasks(workers, 8)},
		"tasks in a used pool":  {4 * workers, tasks(workers, 8)},
		"gang in an idle pool":  {0, gang(workers, 8)},
		"gang in a used pool":   {4 * workers, gang(workers, 8)},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPool(t, workers)
			p.core.SetPolicy(scheduler.Policy{Guarantees: map[string]int64{"c": 8 * workers}})
			p.runSeconds = 600
			if c.spare > 0 {
				p.submit("spare", 2, "o", tasks(c.spare, 1))
			}
			p.submitMixed("early", 8)
			outcome := func(task, worker string, age time.Duration) scheduler.Cause {
				switch {
				case task[:5] != "early":
				case worker < workerID(failing) && age >= 500*time.Millisecond:
					return scheduler.Fault
				case age >= time.Second:
					return scheduler.Done
				}
				return ""
			}
			p.playRuns(3*time.Second, workers, outcome)
			assert.Equal(t, p.core.Quarantined(p.now), failing)
			p.submit("urgent", 0, "c", c.urgent)
			p.playRuns(maxDelay, workers, outcome)
			assert.Equal(t, len(p.runsByWorker("urgent")), workers)
		})
	}
}

// Guards against guaranteed work that does not begin, as a worker in quarantine, which it needs, rejected its
// first start: that counted as begun.
func TestGuaranteedWorkReclaimsQuarantinedWorkersAfterARejection(t *testing.T) {
	const (
		workers, failing = 4, 2
		maxDelay         = 3 * time.Second // by the users' rules
	)
	for name, urgent := range map[string]scheduler.Step{"tasks": tasks(workers, 8), "gang": gang(workers, 8)} {
		t.Run(name, func(t *testing.T) {
			p := newPool(t, workers)
			p.core.SetPolicy(scheduler.Policy{Guarantees: map[string]int64{"c": 8 * workers}})
			p.runSeconds = 600
			p.submitMixed("early", 8)
			outcome := func(task, worker string, age time.Duration) scheduler.Cause {
				switch {
				case task[:5] != "early":
				case worker < workerID(failing) && age >= 500*time.Millisecond:
					return scheduler.Fault
				case age >= time.Second:
					return scheduler.Done
				}
				return ""
			}
			p.playRuns(3*time.Second, workers, outcome)
			assert.Equal(t, p.core.Quarantined(p.now), failing)
			p.rejects = workerID(0)
			p.submit("urgent", 0, "c", urgent)
			p.playRuns(maxDelay, workers, outcome)
			assert.Equal(t, p.rejects, "")
			p.playRuns(maxDelay, workers, outcome) // a worker that rejects a start pauses for 2 s
			assert.Equal(t, len(p.runsByWorker("urgent")), workers)
		})
	}
}
