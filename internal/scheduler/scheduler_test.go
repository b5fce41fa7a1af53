package scheduler_test

import (
	"fmt"
	"log/slog"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbshore/internal/scheduler"
)

// pool drives a Core in virtual time. Starts are stored and accepted at once.
type pool struct {
	t          *testing.T
	core       *scheduler.Core
	now        time.Time
	runs       map[string]scheduler.Start // runs on workers, by task
	began      map[string]time.Time       // start times of runs, by task
	hung       bool                       // runs report no progress
	autoFinish bool                       // runs end by themselves after runSeconds
	runSeconds float64
	unreported map[string][]scheduler.EndedTask // ended runs that no report has listed yet, by worker
	endCount   int64                            // number of the last ended run
	steps      map[string][]scheduler.Step      // by job
	lostStops  string                           // worker that no stop reaches
	rejects    string                           // worker that rejects the next start
}

// keepEnded is how long the core keeps the outcome of a job whose description was dropped.
const keepEnded = time.Hour

func newPool(t *testing.T, workers int) *pool { return newPoolWith(t, workers, 0) }

// newPoolWith returns a pool whose core is configured with a stop time.
func newPoolWith(t *testing.T, workers int, stop time.Duration) *pool {
	t.Helper()
	p := &pool{t: t, runSeconds: 8, now: time.Unix(1_800_000_000, 0), runs: map[string]scheduler.Start{}, began: map[string]time.Time{}, unreported: map[string][]scheduler.EndedTask{}, steps: map[string][]scheduler.Step{}}
	p.core = scheduler.New(scheduler.Config{
		Logger: slog.New(slog.DiscardHandler), MaxLease: 10 * time.Second, RemotePenalty: 3, KeepEnded: keepEnded, ReportTimeout: time.Hour,
		RestoreTime: 250 * time.Millisecond, CheckpointInterval: 500 * time.Millisecond, StopTime: stop,
	})
	for i := range workers {
		p.addWorker(i, "a")
	}
	return p
}

// testCapacity is the capacity of each worker.
var testCapacity = scheduler.Resources{CPU: 64000, Memory: 64000, Accelerators: 8}

func workerID(i int) string { return fmt.Sprintf("w%02d", i) }

// testWorker returns a worker with eight accelerators and the label kind. Four workers form a
// rack.
func testWorker(i int, kind string) scheduler.Worker {
	return scheduler.Worker{
		ID: workerID(i), Address: "x:1", Service: "s", Rack: fmt.Sprint("r", i/4), Labels: []string{kind, fmt.Sprint("r", i/4)},
		Capacity: testCapacity,
	}
}

// addWorker adds a worker, which reports at once.
func (p *pool) addWorker(i int, kind string) {
	p.core.UpdateWorker(p.now, testWorker(i, kind))
	p.report(i)
}

func (p *pool) report(i int) {
	id := workerID(i)
	rep := scheduler.Report{Worker: id, Sent: p.now, Full: true, Ended: p.unreported[id]}
	delete(p.unreported, id)
	for task, s := range p.runs {
		if s.Worker == id {
			percent := 10.0
			if !p.hung {
				percent = min(100, 100*p.now.Sub(p.began[task]).Seconds()/p.runSeconds)
			}
			rep.Running = append(rep.Running, scheduler.RunningTask{Task: task, Run: s.Run, Percent: percent})
		}
	}
	p.core.Report(p.now, rep)
}

// step advances the time and carries out the effects that the core returns.
func (p *pool) step(d time.Duration) scheduler.Effects {
	p.now = p.now.Add(d)
	for task, started := range p.began {
		if p.autoFinish && p.now.Sub(started).Seconds() >= p.runSeconds {
			p.finish(task, scheduler.Done)
		}
	}
	p.core.Tick(p.now)
	out := p.core.Flush(p.now)
	for _, s := range out.Starts {
		if s.Worker == p.rejects {
			p.rejects = ""
			p.core.StartAnswered(p.now, s.Worker, s.Task, s.Run, scheduler.Rejected)
			continue
		}
		p.runs[s.Task] = s
		p.began[s.Task] = p.now
		p.core.StartAnswered(p.now, s.Worker, s.Task, s.Run, scheduler.Accepted)
	}
	p.checkCapacity()
	for _, s := range out.Stops {
		if p.runs[s.Task].Run == s.Run && s.Worker != p.lostStops {
			p.finish(s.Task, scheduler.Stopped)
		}
	}
	return out
}

// checkCapacity checks that no worker runs more than it has room for.
func (p *pool) checkCapacity() {
	used := map[string]scheduler.Resources{}
	for task, s := range p.runs {
		parts := strings.Split(task, ".")
		steps := p.steps[parts[0]]
		if steps == nil {
			continue // submitted by the test itself
		}
		index, err := strconv.Atoi(parts[2])
		assert.NilError(p.t, err)
		sum := used[s.Worker].Plus(steps[index].Need)
		assert.Assert(p.t, testCapacity.Fits(sum), "LIMIT: %s runs %+v", s.Worker, sum)
		used[s.Worker] = sum
	}
}

// finish ends a run. Its worker lists the end in its next report.
func (p *pool) finish(task string, cause scheduler.Cause) {
	s, ok := p.runs[task]
	if !ok {
		return
	}
	delete(p.runs, task)
	delete(p.began, task)
	p.endCount++
	p.unreported[s.Worker] = append(p.unreported[s.Worker], scheduler.EndedTask{Number: p.endCount, Task: task, Run: s.Run, Cause: cause})
}

// settle takes steps with reports in between, enough for the core to start all that it can.
func (p *pool) settle(workers int) {
	for range 40 {
		p.step(50 * time.Millisecond)
		for i := range workers {
			p.report(i)
		}
	}
}

func (p *pool) submit(id string, priority int, customer string, steps ...scheduler.Step) string {
	p.steps[id] = steps
	p.core.AddJob(p.now, scheduler.Job{
		ID: id, Customer: customer, Accepted: p.now.UnixMilli(), Steps: steps,
		Queue: scheduler.Queue{Name: fmt.Sprint("q", priority), Service: "s", Priority: priority, Attempts: 2, Stretch: 2, Target: time.Second},
	})
	return id
}

func tasks(count int, accelerators int64) scheduler.Step {
	return scheduler.Step{Count: count, Need: scheduler.Resources{CPU: 1000, Memory: 100, Accelerators: accelerators}, Estimate: 8 * time.Second}
}

func gang(count int, accelerators int64) scheduler.Step {
	s := tasks(count, accelerators)
	s.Gang = true
	return s
}

// runsByWorker counts the running tasks of a job by worker.
func (p *pool) runsByWorker(job string) map[string]int {
	out := map[string]int{}
	for task, s := range p.runs {
		if task[:len(job)] == job {
			out[s.Worker]++
		}
	}
	return out
}

func (p *pool) state(id string) scheduler.State {
	s, _, known := p.core.Owner(id)
	assert.Assert(p.t, known, "job %s", id)
	return s
}

// Guards against urgent guaranteed work that waits while other work uses the whole pool.
func TestGuaranteedWorkReclaimsItsCapacity(t *testing.T) {
	p := newPool(t, 4)
	p.core.SetPolicy(scheduler.Policy{Guarantees: map[string]int64{"c": 16}})
	p.submit("spare", 2, "other", tasks(32, 1))
	p.settle(4)
	assert.Equal(t, len(p.runs), 32)
	p.submit("urgent", 0, "c", gang(2, 8))
	p.settle(4)
	assert.Equal(t, len(p.runsByWorker("urgent")), 2)
}

// Guards against urgent tasks without a gang that wait in a full pool until their
// reservation expires. They wait briefly for other work to end; then that is stopped.
func TestUrgentTasksStartBeforeTheirReservationExpires(t *testing.T) {
	p := newPool(t, 2)
	p.submit("spare", 2, "other", tasks(16, 1))
	p.settle(2)
	p.submit("urgent", 0, "c", tasks(2, 8))
	for range 22 {
		p.step(50 * time.Millisecond)
		p.report(0)
		p.report(1)
	}
	assert.Equal(t, len(p.runsByWorker("urgent")), 2, "tasks must run 1.1 s after their acceptance")
}

// Guards against urgent work of a customer over its guarantee that holds the pool while
// another customer requests its guaranteed capacity.
func TestGuaranteedWorkComesBeforeOtherUrgentWork(t *testing.T) {
	p := newPool(t, 2)
	p.core.SetPolicy(scheduler.Policy{Guarantees: map[string]int64{"small": 8, "large": 8}})
	p.submit("large", 0, "large", tasks(2, 8))
	p.settle(2)
	p.submit("small", 0, "small", gang(1, 8))
	p.settle(2)
	assert.Equal(t, len(p.runsByWorker("small")), 1)
	p.submit("more", 0, "large", gang(1, 8))
	p.settle(2)
	assert.Equal(t, len(p.runsByWorker("small")), 1, "guaranteed work must not be stopped")
}

// racks returns the racks where a job runs.
func (p *pool) racks(job string) map[int]bool {
	racks := map[int]bool{}
	for w := range p.runsByWorker(job) {
		var n int
		_, err := fmt.Sscanf(w, "w%d", &n)
		assert.NilError(p.t, err)
		racks[n/4] = true
	}
	return racks
}

// Guards against urgent tightly coupled gangs that stop old work or spread over racks.
// Stopping the youngest work in one rack loses least, and a gang on two racks would take
// three times as long.
func TestUrgentTightGangStopsWhatLosesLeastInOneRack(t *testing.T) {
	p := newPool(t, 8)
	p.submit("old", 1, "o", tasks(4, 8))
	p.settle(8)
	p.step(5 * time.Second)
	for i := range 8 {
		p.report(i)
	}
	p.submit("new", 1, "o", tasks(4, 8))
	p.settle(8)
	assert.Equal(t, len(p.runs), 8)
	s := gang(3, 8)
	s.Tight = true
	p.submit("urgent", 0, "c", s)
	p.settle(8)
	assert.Equal(t, len(p.runsByWorker("urgent")), 3)
	assert.Equal(t, len(p.racks("urgent")), 1)
	assert.Equal(t, len(p.runsByWorker("old")), 4, "only the younger work may be stopped")
}

// Guards against preemption of more gangs than needed. If one member of a gang is stopped,
// the whole gang ends, so stopping its other members costs nothing more; two gangs were
// stopped where one would have been enough.
func TestUrgentGangStopsWholeGangsOnce(t *testing.T) {
	p := newPool(t, 4)
	for i := range 4 {
		p.addWorker(i, []string{"even", "odd"}[i%2])
	}
	for _, kind := range []string{"even", "odd"} {
		s := gang(2, 8)
		s.Label = kind
		p.submit(kind, 1, "o", s)
	}
	p.settle(4)
	assert.Equal(t, len(p.runs), 4)
	p.submit("urgent", 0, "c", gang(2, 8))
	p.settle(4)
	assert.Equal(t, len(p.runsByWorker("urgent")), 2)
	assert.Equal(t, len(p.runsByWorker("even"))+len(p.runsByWorker("odd")), 2, "one gang must continue")
}

// Guards against tightly coupled gangs that restart across racks, where they take three
// times as long, after a worker was drained. A gang that restarts must wait for a rack as
// it did at first; the time of its first run was counted as waiting.
func TestGangThatStartsAgainWaitsForItsRack(t *testing.T) {
	p := newPool(t, 12)
	s := gang(4, 8)
	s.Tight = true
	p.submit("urgent", 0, "c", s)
	for _, rack := range []string{"r1", "r2"} {
		other := tasks(1, 8)
		other.Rack = rack
		p.submit("on-"+rack, 0, "b", other)
	}
	p.settle(12)
	p.step(3 * time.Second)
	assert.DeepEqual(t, p.racks("urgent"), map[int]bool{0: true})
	p.core.UpdateWorker(p.now, scheduler.Worker{
		ID: workerID(0), Address: "x:1", Service: "s", Rack: "r0", Labels: []string{"a", "r0"}, Draining: true, Remaining: time.Second,
		Capacity: scheduler.Resources{CPU: 64000, Memory: 64000, Accelerators: 8},
	})
	for range 10 {
		p.step(50 * time.Millisecond)
		for i := range 12 {
			p.report(i)
		}
	}
	p.finish("on-r1.0.0.0", scheduler.Done)
	p.settle(12)
	assert.Equal(t, len(p.runsByWorker("urgent")), 4)
	assert.DeepEqual(t, p.racks("urgent"), map[int]bool{1: true})
}

// Guards against small tasks of low priority that occupy whole workers while urgent tasks
// for whole workers arrive. Small tasks must use the capacity that urgent tasks can't; as
// long as the same amount was free elsewhere, in parts, they used whole workers and were
// stopped for the next urgent task.
func TestWholeWorkersAreLeftToUrgentWork(t *testing.T) {
	p := newPoolWith(t, 8, 900*time.Millisecond)
	p.submit("parts", 1, "o", tasks(3, 6))
	p.settle(8)
	for i := range 4 {
		p.submit(fmt.Sprint("urgent-", i), 0, "c", tasks(1, 8))
	}
	p.step(50 * time.Millisecond)
	p.submit("small", 2, "o", tasks(20, 1))
	p.step(50 * time.Millisecond)
	started := 0
	for _, n := range p.runsByWorker("small") {
		started += n
		assert.Assert(t, n <= 2, "%d small tasks on one worker", n)
	}
	assert.Equal(t, started, 6)
	p.submit("next", 0, "c", tasks(1, 8))
	out := p.step(50 * time.Millisecond)
	assert.Equal(t, len(p.runsByWorker("next")), 1)
	assert.Equal(t, len(out.Stops), 0)
}

// Guards against a wide gang that never starts because many small tasks never leave whole
// workers free.
func TestCapacityIsKeptForAWideGang(t *testing.T) {
	p := newPool(t, 4)
	p.autoFinish = true
	p.submit("small-0", 2, "o", tasks(32, 1))
	p.settle(4)
	p.submit("wide", 1, "c", gang(4, 8))
	for round := 1; round <= 12; round++ {
		p.submit(fmt.Sprint("small-", round), 2, "o", tasks(8, 1))
		p.settle(4)
		if len(p.runsByWorker("wide")) == 4 {
			return
		}
	}
	t.Fatalf("the gang has not started; %d small tasks run", len(p.runs))
}

// Guards against a gang that keeps waiting for its reserved workers while other workers
// become free.
func TestWaitingGangTakesFreeCapacity(t *testing.T) {
	p := newPool(t, 4)
	p.submit("long", 1, "o", tasks(2, 8))
	p.settle(4)
	p.submit("short", 1, "o", tasks(2, 8))
	p.settle(4)
	p.submit("wide", 1, "c", gang(2, 8))
	p.settle(4)
	for task := range p.runs {
		if task[:5] == "short" {
			p.finish(task, scheduler.Done)
		}
	}
	p.settle(4)
	assert.Equal(t, len(p.runsByWorker("wide")), 2)
}

func TestTasksWaitForTheirDataForAWhile(t *testing.T) {
	p := newPool(t, 8)
	p.submit("full", 1, "o", func() scheduler.Step { s := tasks(4, 8); s.Rack = "r1"; return s }())
	p.settle(8)
	s := tasks(1, 8)
	s.Rack = "r1"
	p.submit("near", 1, "c", s)
	p.settle(8)
	assert.Equal(t, len(p.runsByWorker("near")), 0, "16 s would be lost elsewhere")
	p.step(17 * time.Second)
	p.settle(8)
	assert.Equal(t, len(p.runsByWorker("near")), 1)
}

func TestLabelsAndSpreadAreKept(t *testing.T) {
	p := newPool(t, 2)
	p.addWorker(2, "b")
	labelled := tasks(3, 1)
	labelled.Label = "b"
	p.submit("label", 1, "c", labelled)
	spread := tasks(6, 1)
	spread.MaxPerWorker = 2
	p.submit("spread", 1, "c", spread)
	p.settle(3)
	assert.DeepEqual(t, p.runsByWorker("label"), map[string]int{"w02": 3})
	assert.DeepEqual(t, p.runsByWorker("spread"), map[string]int{"w00": 2, "w01": 2, "w02": 2})
}

func TestStepsFollowEachOther(t *testing.T) {
	p := newPool(t, 2)
	after := tasks(1, 1)
	after.After = []int{0}
	p.submit("steps", 1, "c", tasks(2, 1), after)
	p.settle(2)
	assert.Equal(t, len(p.runs), 2)
	p.finish("steps.0.0.0", scheduler.Done)
	p.settle(2)
	assert.Equal(t, len(p.runs), 1)
	p.finish("steps.0.0.1", scheduler.Done)
	p.settle(2)
	assert.Equal(t, len(p.runs), 1)
	p.finish("steps.0.1.0", scheduler.Done)
	p.settle(2)
	assert.Equal(t, p.state("steps"), scheduler.Completed)
}

func TestOccurrencesStartWhenTheyAreDue(t *testing.T) {
	p := newPool(t, 1)
	p.core.AddJob(p.now, scheduler.Job{
		ID: "timed", Accepted: p.now.UnixMilli(), Repeat: 2, First: p.now.Add(10 * time.Second).UnixMilli(), Interval: 5 * time.Second,
		Queue: scheduler.Queue{Name: "q", Service: "s", Priority: 1, Attempts: 1}, Steps: []scheduler.Step{tasks(1, 1)},
	})
	p.settle(1)
	assert.Equal(t, len(p.runs), 0)
	p.step(8 * time.Second)
	assert.Equal(t, len(p.runs), 1)
	p.step(5 * time.Second)
	assert.Equal(t, len(p.runs), 2, "occurrences may overlap")
	p.finish("timed.0.0.0", scheduler.Done)
	p.finish("timed.1.0.0", scheduler.Done)
	p.settle(1)
	assert.Equal(t, p.state("timed"), scheduler.Completed)
}

func TestLongRunningTasksRestartHoweverTheyEnd(t *testing.T) {
	p := newPool(t, 1)
	s := tasks(1, 1)
	s.LongRunning = true
	p.submit("lasting", 1, "c", s)
	p.settle(1)
	for i, cause := range []scheduler.Cause{scheduler.Done, scheduler.Fault, scheduler.Fault, scheduler.Fault, scheduler.Expired} {
		p.finish("lasting.0.0.0", cause)
		p.settle(1)
		p.step(20 * time.Second)
		p.report(0)
		p.settle(1)
		assert.Equal(t, p.runs["lasting.0.0.0"].Run, i+2)
	}
	_, err := p.core.Cancel(p.now, "lasting", "c")
	assert.NilError(t, err)
	p.settle(1)
	assert.Equal(t, len(p.runs), 0)
	assert.Equal(t, p.state("lasting"), scheduler.Cancelled)
}

// Guards against counting a failed run of a gang once for each member that ends.
func TestGangFailsOnceForEachRun(t *testing.T) {
	p := newPool(t, 2)
	p.submit("gang", 1, "c", gang(3, 1))
	p.settle(2)
	fail := func() {
		p.finish("gang.0.0.1", scheduler.Fault)
		p.finish("gang.0.0.0", scheduler.GangAborted)
		p.finish("gang.0.0.2", scheduler.GangAborted)
		p.settle(2)
	}
	fail()
	assert.Equal(t, p.state("gang"), scheduler.Running)
	assert.Equal(t, p.runs["gang.0.0.0"].Run, 2)
	fail()
	assert.Equal(t, p.state("gang"), scheduler.Failed)
	assert.Equal(t, len(p.runs), 0)
}

// Guards against a worker that fails all runs and still gets enough of them to fail a job.
func TestFailingWorkerIsLeftOut(t *testing.T) {
	p := newPool(t, 2)
	for i := range 12 {
		id := p.submit(fmt.Sprintf("job%02d", i), 1, "c", tasks(1, 1))
		p.settle(2)
		cause := scheduler.Done
		if p.runsByWorker(id)["w00"] > 0 {
			cause = scheduler.Fault
		}
		p.finish(id+".0.0.0", cause)
		p.settle(2)
		if cause == scheduler.Fault {
			p.finish(id+".0.0.0", scheduler.Done)
			p.settle(2)
		}
		assert.Equal(t, p.state(id), scheduler.Completed)
	}
}

// Guards against work that stays on a worker where it makes no progress.
func TestHungWorkIsMoved(t *testing.T) {
	p := newPool(t, 2)
	p.hung = true
	p.submit("hung", 1, "c", tasks(1, 1))
	p.settle(2)
	first := p.runs["hung.0.0.0"].Worker
	for range 6 {
		p.step(time.Second)
		p.report(0)
		p.report(1)
	}
	p.settle(2)
	assert.Equal(t, p.runs["hung.0.0.0"].Run, 2)
	assert.Assert(t, p.runs["hung.0.0.0"].Worker != first)
}

// Guards against a new leader that restarts or loses work: the records that a leader stores
// must be enough for the next one to continue.
func TestStoredStateIsTakenOver(t *testing.T) {
	p := newPool(t, 2)
	after := tasks(1, 1)
	after.After = []int{0}
	stored := map[string][]byte{}
	store := func(e scheduler.Effects) {
		for _, r := range e.Records {
			stored[r.Key] = r.Value
		}
	}
	spec := scheduler.Job{
		ID: "job", Accepted: p.now.UnixMilli(), Queue: scheduler.Queue{Name: "q", Service: "s", Priority: 1, Attempts: 2},
		Steps: []scheduler.Step{tasks(2, 1), after},
	}
	p.core.AddJob(p.now, spec)
	store(p.step(0))
	p.finish("job.0.0.0", scheduler.Done)
	p.report(0)
	p.report(1)
	store(p.step(0))

	next := newPool(t, 0)
	next.runs = p.runs
	for key, value := range stored {
		assert.NilError(t, next.core.Restore(next.now, key, value))
	}
	next.core.AddJob(next.now, spec)
	next.now = next.now.Add(time.Second)
	next.addWorker(0, "a")
	next.addWorker(1, "a")
	next.settle(2)
	assert.Equal(t, len(next.runs), 1, "done tasks must not restart, and running ones must continue")
	assert.Equal(t, next.runs["job.0.0.1"].Run, 1)
	next.finish("job.0.0.1", scheduler.Done)
	next.settle(2)
	next.finish("job.0.1.0", scheduler.Done)
	next.settle(2)
	assert.Equal(t, next.state("job"), scheduler.Completed)
}

// Guards against a gang that runs more often than its attempts allow: a new leader once took the
// failures of earlier runs for those of the newest run, if one of its members had been listed
// first with another cause, and did not count the failed run that was listed later.
func TestFailedRunOfAGangCountsAcrossLeaders(t *testing.T) {
	p := newPool(t, 2)
	stored := map[string][]byte{}
	store := func(e scheduler.Effects) {
		for _, r := range e.Records {
			if stored[r.Key] = r.Value; r.Value == nil {
				delete(stored, r.Key)
			}
		}
	}
	spec := scheduler.Job{
		ID: "job", Accepted: p.now.UnixMilli(), Queue: scheduler.Queue{Name: "q", Service: "s", Priority: 1, Attempts: 2},
		Steps: []scheduler.Step{gang(2, 8)},
	}
	reportAll := func(p *pool) {
		p.report(0)
		p.report(1)
	}
	p.core.AddJob(p.now, spec)
	store(p.step(0))
	// Run 1: one member fails, the other is broken off.
	p.finish("job.0.0.0", scheduler.Fault)
	reportAll(p)
	store(p.step(0))
	reportAll(p)
	store(p.step(0))
	reportAll(p)
	store(p.step(0))
	assert.Equal(t, p.runs["job.0.0.0"].Run, 2)
	// Run 2: the end of the other member is listed and stored before the leader is lost.
	p.finish("job.0.0.1", scheduler.GangAborted)
	reportAll(p)
	store(p.core.TakeEffects())

	next := newPool(t, 0)
	next.now, next.runs, next.began = p.now.Add(time.Second), p.runs, p.began
	for key, value := range stored {
		assert.NilError(t, next.core.Restore(next.now, key, value))
	}
	next.core.AddJob(next.now, spec)
	next.addWorker(0, "a")
	next.addWorker(1, "a")
	next.finish("job.0.0.0", scheduler.Fault)
	reportAll(next)
	next.settle(2)
	assert.Equal(t, next.state("job"), scheduler.Failed)
	assert.Equal(t, len(next.runs), 0, "no third run")
}

// Guards against work that is run again although it is done: a run ended as done on a worker that
// could not be reached until its leases had expired, and its end was ignored once it was listed.
func TestLateResultOfALostRunCounts(t *testing.T) {
	for name, spec := range map[string]scheduler.Step{"task": tasks(1, 1), "gang": gang(2, 8)} {
		p := newPool(t, 4)
		p.submit("job", 1, "c", spec)
		p.settle(4)
		for task, s := range p.runs {
			p.finish(task, scheduler.Done)
			p.core.ExpireLeases(p.now, s.Worker)
		}
		for range 4 {
			p.step(50 * time.Millisecond)
			for i := range 4 {
				if p.unreported[workerID(i)] == nil {
					p.report(i)
				}
			}
		}
		assert.Equal(t, p.runs["job.0.0.0"].Run, 2, "%s: started again on another worker", name)
		p.settle(4)
		assert.Equal(t, p.state("job"), scheduler.Completed, name)
		assert.Equal(t, len(p.runs), 0, "%s: the second run is stopped", name)
	}
}

// Guards against a job that is reported as completed while a task of it has not ended: a member
// of a gang was lost with its worker, and the result of another one completed the whole gang.
func TestLateResultOfOneMemberCompletesNoGang(t *testing.T) {
	p := newPool(t, 4)
	p.submit("job", 1, "c", gang(2, 8))
	p.settle(4)
	lost, late := p.runs["job.0.0.0"], p.runs["job.0.0.1"]
	p.core.ExpireLeases(p.now, lost.Worker)
	p.core.ExpireLeases(p.now, late.Worker)
	delete(p.runs, lost.Task)
	p.finish(late.Task, scheduler.Done)
	p.settle(4)
	assert.Equal(t, p.state("job"), scheduler.Running)
	assert.Equal(t, p.runs[lost.Task].Run, 2)
}

// Guards against a late end of a run that the scheduler never started, or of a job that is over.
func TestLateResultOfAnUnknownRunIsIgnored(t *testing.T) {
	p := newPool(t, 1)
	p.submit("job", 1, "c", tasks(1, 1))
	p.settle(1)
	p.core.Report(p.now, scheduler.Report{Worker: workerID(0), Sent: p.now, Ended: []scheduler.EndedTask{
		{Number: 7, Task: "job.0.0.0", Run: 9, Cause: scheduler.Done}, {Number: 8, Task: "other.0.0.0", Run: 1, Cause: scheduler.Done},
	}})
	p.settle(1)
	assert.Equal(t, p.state("job"), scheduler.Running)
}

func TestJobsAreUnknownToOtherCustomers(t *testing.T) {
	p := newPool(t, 1)
	p.submit("job", 1, "c", tasks(1, 1))
	p.settle(1)
	_, err := p.core.JobState("job", "other")
	assert.ErrorIs(t, err, scheduler.ErrUnknown)
	_, err = p.core.Cancel(p.now, "job", "other")
	assert.ErrorIs(t, err, scheduler.ErrUnknown)
	state, err := p.core.Cancel(p.now, "job", "c")
	assert.NilError(t, err)
	assert.Equal(t, state, scheduler.Cancelled)
}

// Guards against a list of workers that grows as workers come and go for weeks: a worker
// that has left and runs nothing must be forgotten.
func TestWorkersThatLeftAreForgotten(t *testing.T) {
	p := newPool(t, 2)
	p.submit("job", 1, "c", tasks(1, 1))
	p.settle(2)
	busy := p.runs["job.0.0.0"].Worker
	for i := range 2 {
		p.core.RemoveWorker(workerID(i))
	}
	assert.DeepEqual(t, p.core.WorkerIDs(), []string{busy})
	p.core.ExpireLeases(p.now, busy)
	assert.Equal(t, len(p.core.WorkerIDs()), 0)
}

// Guards against work that is lost when its worker is drained and removed. Runs that can't
// finish in the remaining time must move at once; runs that can must stay.
func TestWorkMovesOffALeavingWorker(t *testing.T) {
	p := newPool(t, 1)
	p.submit("old", 1, "c", tasks(1, 1))
	p.settle(1)
	p.step(5 * time.Second)
	p.report(0)
	p.submit("new", 1, "c", tasks(1, 1))
	p.submit("gang", 1, "c", gang(2, 1))
	p.settle(1)
	assert.DeepEqual(t, p.runsByWorker("gang"), map[string]int{"w00": 2})
	p.addWorker(1, "a")
	p.autoFinish = true // a run that is still there when the worker is about to leave is stopped
	p.core.UpdateWorker(p.now, scheduler.Worker{
		ID: "w00", Address: "x:1", Service: "s", Rack: "r0", Labels: []string{"a", "r0"}, Draining: true, Remaining: 2 * time.Second,
		Capacity: scheduler.Resources{CPU: 64000, Memory: 64000, Accelerators: 8},
	})
	p.settle(2)
	assert.Equal(t, p.state("old"), scheduler.Completed)
	assert.DeepEqual(t, p.runsByWorker("new"), map[string]int{"w01": 1})
	assert.DeepEqual(t, p.runsByWorker("gang"), map[string]int{"w01": 2})
}

// Guards against a task that runs twice: its stop was confirmed, the worker restarted, and an attempt
// of its start reached the new process, which knows of no stop, while the task ran elsewhere.
func TestRunIsNotOverWhileItsStartIsInProgress(t *testing.T) {
	p := newPool(t, 2)
	p.submit("job", 1, "c", tasks(1, 1))
	first := p.core.Flush(p.now).Starts[0]
	entry := scheduler.Worker{ID: first.Worker, Address: "x:1", Service: "s", Capacity: testCapacity, Incarnation: 1}
	p.core.UpdateWorker(p.now, entry)
	entry.Draining = true
	p.core.UpdateWorker(p.now, entry) // moves the run
	flush := func(incarnation int64) scheduler.Effects {
		p.now = p.now.Add(500 * time.Millisecond)
		p.core.Report(p.now, scheduler.Report{Worker: first.Worker, Incarnation: incarnation, Sent: p.now, Full: true})
		return p.core.Flush(p.now)
	}
	assert.Equal(t, len(p.core.Flush(p.now).Stops), 1)
	p.core.StopAnswered(p.now, first.Worker, first.Task, first.Run)
	assert.Equal(t, len(flush(1).Starts), 0, "an attempt of the start is in progress")
	restarted := flush(2)
	assert.Equal(t, len(restarted.Starts), 0)
	assert.Equal(t, len(restarted.Stops), 1, "the new process must know of the stop")
	p.core.StartAnswered(p.now, first.Worker, first.Task, first.Run, scheduler.Uncertain)
	assert.Equal(t, len(flush(2).Starts), 0, "the stop isn't confirmed by the new process")
	p.core.StopAnswered(p.now, first.Worker, first.Task, first.Run)
	assert.Equal(t, len(flush(2).Starts), 1)
}

// Guards against a task that is started after it has used up its attempts: a run failed on a worker
// that could not be reached until its leases had expired, and its end was ignored once it was
// listed.
func TestLateFailureOfALostRunCounts(t *testing.T) {
	for name, spec := range map[string]scheduler.Step{"task": tasks(1, 1), "gang": gang(2, 8)} {
		p := newPool(t, 4)
		p.submit("job", 1, "c", spec) // two attempts
		p.settle(4)
		lost := p.runs["job.0.0.0"]
		for task, s := range p.runs {
			delete(p.runs, task)
			p.core.ExpireLeases(p.now, s.Worker)
		}
		p.settle(4)
		assert.Equal(t, p.runs["job.0.0.0"].Run, 2, name)
		for range 2 { // ends are listed until they are acknowledged
			p.core.Report(p.now, scheduler.Report{Worker: lost.Worker, Sent: p.now, Ended: []scheduler.EndedTask{{Number: 1, Task: lost.Task, Run: 1, Cause: scheduler.Fault}}})
		}
		assert.Equal(t, p.state("job"), scheduler.Running, "%s: one attempt is left", name)
		p.finish("job.0.0.0", scheduler.Fault)
		p.settle(4)
		assert.Equal(t, p.state("job"), scheduler.Failed, name)
	}
}

// Guards against a failed run that a new leader counts again, since its worker lists the end until
// it is acknowledged.
func TestFailureIsCountedOnceAcrossLeaders(t *testing.T) {
	p := newPool(t, 2)
	job := scheduler.Job{
		ID: "job", Accepted: p.now.UnixMilli(), Queue: scheduler.Queue{Name: "q", Service: "s", Priority: 1, Attempts: 2},
		Steps: []scheduler.Step{tasks(1, 1)},
	}
	p.core.AddJob(p.now, job)
	p.settle(2)
	run := p.runs["job.0.0.0"]
	end := scheduler.Report{Worker: run.Worker, Sent: p.now, Ended: []scheduler.EndedTask{{Number: 1, Task: run.Task, Run: run.Run, Cause: scheduler.Fault}}}
	p.core.Report(p.now, end)
	var stored scheduler.Record
	for _, r := range p.core.TakeEffects().Records {
		if r.Key == run.Task {
			stored = r
		}
	}
	next := newPool(t, 2)
	assert.NilError(t, next.core.Restore(next.now, stored.Key, stored.Value))
	next.core.AddJob(next.now, job)
	next.core.Report(next.now, end)
	next.settle(2)
	assert.Equal(t, next.state("job"), scheduler.Running, "one attempt is left")
}

// Guards against an attempt too many after an update: the stored state of an earlier version has the
// number of failures only, and the run in progress counted as one that had failed.
func TestFailuresOfEarlierVersionsCount(t *testing.T) {
	p := newPool(t, 1)
	assert.NilError(t, p.core.Restore(p.now, "job.0.0.0", []byte(`{"run":2,"fails":1,"worker":"w00"}`)))
	p.submit("job", 1, "c", tasks(1, 1)) // two attempts
	p.core.Report(p.now, scheduler.Report{Worker: workerID(0), Sent: p.now, Full: true, Ended: []scheduler.EndedTask{
		{Number: 1, Task: "job.0.0.0", Run: 2, Cause: scheduler.Fault},
	}})
	p.settle(1)
	assert.Equal(t, p.state("job"), scheduler.Failed)
}

// Guards against a lost start that blocks its task for ever, and against a run that is given up
// although a new process of its worker, whose clock began anew, may still accept its start.
func TestLostStartIsOverOnceItHasExpired(t *testing.T) {
	for name, restart := range map[string]bool{"same process": false, "new process": true} {
		t.Run(name, func(t *testing.T) {
			p := newPool(t, 2)
			for i := range 2 {
				w := testWorker(i, "a")
				w.Incarnation = 1
				p.core.UpdateWorker(p.now, w)
			}
			p.submit("job", 1, "c", tasks(1, 1))
			first := p.core.Flush(p.now).Starts[0]
			expires := p.now.Add(3 * time.Second)
			p.core.StartSent(first.Worker, first.Task, first.Run, expires)
			p.core.StartAnswered(p.now, first.Worker, first.Task, first.Run, scheduler.Uncertain)
			incarnation := int64(1)
			starts := func() int {
				p.core.Report(p.now, scheduler.Report{Worker: first.Worker, Incarnation: incarnation, Sent: p.now, Full: true})
				p.core.Tick(p.now)
				return len(p.core.Flush(p.now).Starts)
			}
			p.now = expires
			assert.Equal(t, starts(), 0, "the start may still be accepted")
			if restart {
				incarnation = 2
			}
			p.now = p.now.Add(time.Millisecond)
			if !restart {
				assert.Equal(t, starts(), 1)
				return
			}
			assert.Equal(t, starts(), 0, "the new process may accept the start")
			p.core.StopAnswered(p.now, first.Worker, first.Task, first.Run)
			assert.Equal(t, starts(), 1)
		})
	}
}
