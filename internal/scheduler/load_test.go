package scheduler_test

import (
	"container/heap"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbshore/internal/scheduler"
)

// jobKind describes the jobs of a queue, after the specifications of the enlarged sites.
// rate is in jobs per second for 350 workers, width is the mean number of tasks and runTime
// the run time of a task.
type jobKind struct {
	priority                    int
	rate, width                 float64
	runTime                     time.Duration
	need                        scheduler.Resources
	accelerators                []int64
	gang                        bool
	tightShare, checkpointShare float64 // shares of the jobs
	stretch                     float64
	target                      time.Duration
	cancelledShare              float64
}

var jobKinds = []jobKind{
	{
		priority: 1, rate: 3.7, width: 10, runTime: 6800 * time.Millisecond, need: scheduler.Resources{CPU: 13000, Memory: 38000},
		accelerators: []int64{1, 2, 4, 8, 8}, gang: true, tightShare: 0.6, checkpointShare: 0.45, stretch: 3, target: time.Second, cancelledShare: 0.05,
	},
	{
		priority: 0, rate: 11.1, width: 4.7, runTime: 2500 * time.Millisecond, need: scheduler.Resources{CPU: 3700, Memory: 15000},
		accelerators: []int64{1, 2, 4, 8, 8}, gang: true, tightShare: 0.8, stretch: 1.5, target: 300 * time.Millisecond,
	},
	{
		priority: 2, rate: 2.9, width: 30, runTime: 7600 * time.Millisecond, need: scheduler.Resources{CPU: 2800, Memory: 8200},
		accelerators: []int64{1}, checkpointShare: 0.45, stretch: 3, target: 3 * time.Second, cancelledShare: 0.15,
	},
}

// simulation drives a Core with a stream of jobs in virtual time, as the leader does: all
// events within a step are handled in one scheduling round.
type simulation struct {
	core         *scheduler.Core
	rand         *rand.Rand
	now          time.Time
	jobs         int
	runs         map[string]*simRun // by task
	pending      runsByEnd          // runs that have not ended
	workers      map[string]*simWorker
	workerIDs    []string      // sorted
	coreTime     time.Duration // real time spent in the core
	rounds       int
	starts       int
	stops        int
	startTime    time.Time
	steps        map[string]scheduler.Step // by job
	checkpointed map[string]time.Duration  // work saved in checkpoints, by task
	// used and wasted are accelerator-seconds of ended runs, and of those that were stopped
	// without saving their work.
	used, wasted float64
	onSubmit     func(j scheduler.Job, k jobKind) // called for each job
	onCompleted  func(id string)                  // called for each completed job
}

type simRun struct {
	scheduler.Start
	end     time.Time
	began   time.Time
	runTime time.Duration
	stopped bool
	ended   bool
	cause   scheduler.Cause
	// accelerators is the number that the run uses; checkpoints reports whether it makes
	// any.
	accelerators int64
	checkpoints  bool
}

type simWorker struct {
	rack       string
	lastReport time.Time
	endCount   int64
	runs       map[string]*simRun
}

// runsByEnd is a heap of runs ordered by their end.
type runsByEnd []*simRun

func (h runsByEnd) Len() int           { return len(h) }
func (h runsByEnd) Less(i, k int) bool { return h[i].end.Before(h[k].end) }
func (h runsByEnd) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }
func (h *runsByEnd) Push(x any)        { *h = append(*h, x.(*simRun)) }
func (h *runsByEnd) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

const (
	simRackSize       = 12
	simStep           = 10 * time.Millisecond
	simStopTime       = 900 * time.Millisecond // as the enlarged sites allow
	simRestoreTime    = 600 * time.Millisecond
	simReportInterval = time.Second // between reports of a worker where no run ends
)

func newSimulation(workers int, seed uint64) *simulation {
	return newSimulationWith(workers, seed, simStopTime)
}

// newSimulationWith returns a simulation whose core is configured with a stop time.
func newSimulationWith(workers int, seed uint64, stop time.Duration) *simulation {
	sim := &simulation{
		rand: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1_800_000_000, 0), runs: map[string]*simRun{}, workers: map[string]*simWorker{},
		onSubmit: func(scheduler.Job, jobKind) {}, onCompleted: func(string) {},
	}
	sim.startTime, sim.steps, sim.checkpointed = sim.now, map[string]scheduler.Step{}, map[string]time.Duration{}
	sim.core = scheduler.New(scheduler.Config{
		Logger: slog.New(slog.DiscardHandler), MaxLease: 6 * time.Second, RemotePenalty: 3, KeepEnded: time.Minute, ReportTimeout: time.Hour,
		RestoreTime: simRestoreTime, CheckpointInterval: time.Second, StopTime: stop,
	})
	guaranteed := map[string]int64{}
	for i := range 10 {
		guaranteed[fmt.Sprint("c", i)] = int64(float64(workers) * 8 * 0.06)
	}
	sim.core.SetPolicy(scheduler.Policy{Guarantees: guaranteed})
	for i := range workers {
		id := fmt.Sprintf("w%04d", i)
		rack := fmt.Sprintf("r%03d", i/simRackSize)
		sim.workerIDs = append(sim.workerIDs, id)
		sim.workers[id] = &simWorker{rack: rack, runs: map[string]*simRun{}}
		sim.core.UpdateWorker(sim.now, scheduler.Worker{
			ID: id, Address: "x:1", Service: "s", Rack: rack, Labels: []string{"a", rack},
			Capacity: scheduler.Resources{CPU: 32000, Memory: 131072, Accelerators: 8},
		})
		sim.report(id)
	}
	return sim
}

// measure runs f and adds the real time that it takes to coreTime.
func (sim *simulation) measure(f func()) {
	began := time.Now()
	f()
	sim.coreTime += time.Since(began)
}

func (sim *simulation) report(id string) {
	w := sim.workers[id]
	w.lastReport = sim.now
	rep := scheduler.Report{Worker: id, Sent: sim.now, Full: true}
	for _, task := range slices.Sorted(maps.Keys(w.runs)) {
		r := w.runs[task]
		if r.ended {
			sim.recordUsage(r)
			w.endCount++
			rep.Ended = append(rep.Ended, scheduler.EndedTask{Number: w.endCount, Task: task, Run: r.Run, Cause: r.cause, Checkpoint: r.Checkpoint})
			delete(w.runs, task)
			if sim.runs[task] == r {
				delete(sim.runs, task)
			}
			continue
		}
		percent := 100 * float64(sim.now.Sub(r.began)) / float64(r.runTime)
		rep.Running = append(rep.Running, scheduler.RunningTask{Task: task, Run: r.Run, Percent: math.Floor(percent)})
	}
	sim.measure(func() { sim.core.Report(sim.now, rep) })
}

// recordUsage adds up the accelerator time of an ended run.
func (sim *simulation) recordUsage(r *simRun) {
	ran := r.end.Sub(r.began).Seconds() * float64(r.accelerators)
	sim.used += ran
	if r.cause == scheduler.Stopped && !r.checkpoints {
		sim.wasted += ran
	}
}

// submitJobs submits the jobs of one step: for each kind, its usual rate times its factor.
func (sim *simulation) submitJobs(rateFactors []float64) {
	for i, k := range jobKinds {
		for range sim.poisson(k.rate * rateFactors[i] * float64(len(sim.workers)) / 350 * simStep.Seconds()) {
			sim.jobs++
			n := max(1, int(k.width*math.Exp(0.8*sim.rand.NormFloat64()-0.32)))
			s := scheduler.Step{Count: min(n, 6*int(k.width)), Need: k.need, Estimate: k.runTime, Gang: k.gang}
			s.Need.Accelerators = k.accelerators[sim.rand.IntN(len(k.accelerators))]
			s.Tight, s.Checkpoints = sim.rand.Float64() < k.tightShare, sim.rand.Float64() < k.checkpointShare
			j := scheduler.Job{
				ID: fmt.Sprintf("%016x", sim.jobs), Customer: fmt.Sprint("c", sim.rand.IntN(10)), Accepted: sim.now.UnixMilli(), Steps: []scheduler.Step{s},
				Queue: scheduler.Queue{Name: fmt.Sprint("q", k.priority), Service: "s", Priority: k.priority, Attempts: 3, Stretch: k.stretch, Target: k.target},
			}
			sim.steps[j.ID] = s
			sim.onSubmit(j, k)
			sim.measure(func() { sim.core.AddJob(sim.now, j) })
		}
	}
}

func (sim *simulation) poisson(mean float64) int {
	n, p := 0, sim.rand.Float64()
	for limit := math.Exp(-mean); p > limit; n++ {
		p *= sim.rand.Float64()
	}
	return n
}

// step advances the time by simStep, with all kinds of jobs at rateFactor times their usual
// rate.
func (sim *simulation) step(rateFactor float64) {
	sim.stepWithRates([]float64{rateFactor, rateFactor, rateFactor})
}

func (sim *simulation) stepWithRates(rateFactors []float64) {
	sim.now = sim.now.Add(simStep)
	sim.submitJobs(rateFactors)
	reporting := map[string]bool{}
	for len(sim.pending) > 0 && !sim.pending[0].end.After(sim.now) {
		r := heap.Pop(&sim.pending).(*simRun)
		r.ended, r.cause = true, scheduler.Done
		if worked := r.end.Sub(r.began); worked < r.runTime {
			r.cause = scheduler.Stopped
			if r.checkpoints {
				sim.checkpointed[r.Task] += max(worked-simRestoreTime, 0)
				r.Checkpoint = "saved"
			}
		}
		reporting[r.Worker] = true
	}
	for _, id := range sim.workerIDs {
		w := sim.workers[id]
		if reporting[id] || len(w.runs) > 0 && sim.now.Sub(w.lastReport) >= simReportInterval {
			sim.report(id)
		}
	}
	var out scheduler.Effects
	sim.measure(func() {
		if sim.now.UnixMilli()%100 < simStep.Milliseconds() {
			sim.core.Tick(sim.now)
		}
		out = sim.core.Flush(sim.now)
	})
	for _, id := range out.Changed {
		if state, _, _ := sim.core.Owner(id); state == scheduler.Completed {
			sim.onCompleted(id)
		}
	}
	sim.rounds++
	sim.starts += len(out.Starts)
	sim.stops += len(out.Stops)
	racks := map[string]map[string]bool{} // used by each job that starts
	for _, s := range out.Starts {
		id := s.Task[:16]
		if racks[id] == nil {
			racks[id] = map[string]bool{}
		}
		racks[id][sim.workers[s.Worker].rack] = true
	}
	for _, s := range out.Starts {
		step := sim.steps[s.Task[:16]]
		r := &simRun{
			Start: s, began: sim.now, runTime: sim.runTime(s.Task[:16]) - sim.checkpointed[s.Task], accelerators: step.Need.Accelerators, checkpoints: step.Checkpoints,
		}
		if step.Gang && step.Tight && len(racks[s.Task[:16]]) > 1 {
			r.runTime *= 3
		}
		if sim.checkpointed[s.Task] > 0 {
			r.runTime += simRestoreTime
		}
		r.end = sim.now.Add(r.runTime)
		sim.runs[s.Task] = r
		sim.workers[s.Worker].runs[s.Task] = r
		heap.Push(&sim.pending, r)
		sim.measure(func() { sim.core.StartAnswered(sim.now, s.Worker, s.Task, s.Run, scheduler.Accepted) })
	}
	for _, s := range out.Stops {
		if r := sim.workers[s.Worker].runs[s.Task]; r != nil && r.Run == s.Run && !r.stopped {
			r.stopped = true
			if stop := sim.now.Add(simStopTime); stop.Before(r.end) {
				r.end = stop
				heap.Init(&sim.pending)
			}
		}
	}
}

// runTime returns the run time of a job's tasks, which is up to 40 % off their estimate.
func (sim *simulation) runTime(id string) time.Duration {
	var n int
	_, _ = fmt.Sscanf(id, "%16x", &n)
	return time.Duration((0.6 + 0.1*float64(n%9)) * float64(sim.steps[id].Estimate))
}

// Guards against counts in the index that drift from the state of the workers, whatever
// happens to these: a worker counted too high is given a start that doesn't fit, and one
// counted too low stays idle.
func TestIndexFollowsTheWorkers(t *testing.T) {
	for seed := range uint64(8) {
		sim := newSimulation(60, seed)
		for i := range 3000 {
			sim.disturb(t)
			sim.step(2)
			if i%5 == 0 {
				assert.NilError(t, sim.core.CheckIndex(sim.now), "seed %d, step %d", seed, i)
			}
		}
		assert.Assert(t, sim.starts > 500 && sim.stops > 50, "%d starts and %d stops: the pool was not full", sim.starts, sim.stops)
	}
}

// disturb applies a random event to a worker or a job; most of the time it does nothing.
func (sim *simulation) disturb(t *testing.T) {
	id := fmt.Sprintf("w%04d", sim.rand.IntN(len(sim.workers)))
	switch sim.rand.IntN(40) {
	case 0:
		sim.core.SuspendWorker(sim.now, id)
	case 1:
		sim.core.UpdateWorker(sim.now, scheduler.Worker{
			ID: id, Address: "x:1", Service: "s", Rack: fmt.Sprint("r", sim.rand.IntN(6)), Draining: sim.rand.IntN(4) == 0, Remaining: time.Second,
			Capacity: scheduler.Resources{CPU: 32000, Memory: 131072, Accelerators: 8},
		})
	case 2:
		sim.core.RemoveWorker(id)
	case 3:
		sim.core.ExpireLeases(sim.now, id)
	case 4:
		if sim.jobs > 0 {
			_, err := sim.core.Cancel(sim.now, fmt.Sprintf("%016x", 1+sim.rand.IntN(sim.jobs)), "")
			assert.Assert(t, err == nil || errors.Is(err, scheduler.ErrUnknown))
		}
	}
}

// Guards against rounds that evaluate all workers: with 40 times the workers and the load,
// a start may take at most three times the evaluations. A leader of 350 workers once spent
// half of a core on evaluating full workers again.
func TestEvaluationsPerStartDoNotGrowWithThePool(t *testing.T) {
	perStart := func(workers int) float64 {
		sim := newSimulation(workers, 1)
		for range 300 {
			sim.step(1.5)
		}
		before, starts := sim.core.Evaluations(), sim.starts
		for range 300 {
			sim.step(1.5)
		}
		return float64(sim.core.Evaluations()-before) / float64(sim.starts-starts)
	}
	few, many := perStart(50), perStart(2000)
	t.Logf("evaluations per start: %.1f with 50 workers, %.1f with 2,000", few, many)
	assert.Assert(t, many <= 3*few, "%.1f with 50 workers, %.1f with 2,000", few, many)
}

// BenchmarkLoad measures the cost of a round and of a start under a stream of jobs that
// fills the pool, at several sizes with the same load per worker.
func BenchmarkLoad(b *testing.B) {
	for _, workers := range []int{50, 350, 2000} {
		b.Run(fmt.Sprint("workers=", workers), func(b *testing.B) {
			sim := newSimulation(workers, 1)
			for range 500 { // fill the pool
				sim.step(1.5)
			}
			sim.coreTime, sim.rounds, sim.starts, sim.stops = 0, 0, 0, 0
			b.ResetTimer()
			for b.Loop() {
				sim.step(1.5)
			}
			seconds := float64(sim.rounds) * simStep.Seconds()
			b.ReportMetric(float64(sim.coreTime.Microseconds())/float64(sim.rounds), "us/round")
			b.ReportMetric(float64(sim.coreTime.Microseconds())/math.Max(1, float64(sim.starts)), "us/start")
			b.ReportMetric(float64(sim.starts)/seconds, "starts/s")
			b.ReportMetric(float64(sim.stops)/seconds, "stops/s")
		})
	}
}
