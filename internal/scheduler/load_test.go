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
	l := &simulation{
		rand: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1_800_000_000, 0), runs: map[string]*simRun{}, workers: map[string]*simWorker{},
		onSubmit: func(scheduler.Job, jobKind) {}, onCompleted: func(string) {},
	}
	l.startTime, l.steps, l.checkpointed = l.now, map[string]scheduler.Step{}, map[string]time.Duration{}
	l.core = scheduler.New(scheduler.Config{
		Logger: slog.New(slog.DiscardHandler), MaxLease: 6 * time.Second, RemotePenalty: 3, KeepEnded: time.Minute, ReportTimeout: time.Hour,
		RestoreTime: simRestoreTime, CheckpointInterval: time.Second, StopTime: stop,
	})
	guaranteed := map[string]int64{}
	for i := range 10 {
		guaranteed[fmt.Sprint("c", i)] = int64(float64(workers) * 8 * 0.06)
	}
	l.core.SetPolicy(nil, guaranteed)
	for i := range workers {
		id := fmt.Sprintf("w%04d", i)
		rack := fmt.Sprintf("r%03d", i/simRackSize)
		l.workerIDs = append(l.workerIDs, id)
		l.workers[id] = &simWorker{rack: rack, runs: map[string]*simRun{}}
		l.core.UpdateWorker(l.now, scheduler.Worker{
			ID: id, Address: "x:1", Service: "s", Rack: rack, Labels: []string{"a", rack},
			Capacity: scheduler.Resources{CPU: 32000, Memory: 131072, Accelerators: 8},
		})
		l.report(id)
	}
	return l
}

// measure runs f and adds the real time that it takes to coreTime.
func (l *simulation) measure(f func()) {
	began := time.Now()
	f()
	l.coreTime += time.Since(began)
}

func (l *simulation) report(id string) {
	w := l.workers[id]
	w.lastReport = l.now
	rep := scheduler.Report{Worker: id, Sent: l.now, Full: true}
	for _, task := range slices.Sorted(maps.Keys(w.runs)) {
		r := w.runs[task]
		if r.ended {
			l.recordUsage(r)
			w.endCount++
			rep.Ended = append(rep.Ended, scheduler.EndedTask{Number: w.endCount, Task: task, Run: r.Run, Cause: r.cause, Checkpoint: r.Checkpoint})
			delete(w.runs, task)
			if l.runs[task] == r {
				delete(l.runs, task)
			}
			continue
		}
		percent := 100 * float64(l.now.Sub(r.began)) / float64(r.runTime)
		rep.Running = append(rep.Running, scheduler.RunningTask{Task: task, Run: r.Run, Percent: math.Floor(percent)})
	}
	l.measure(func() { l.core.Report(l.now, rep) })
}

// recordUsage adds up the accelerator time of an ended run.
func (l *simulation) recordUsage(r *simRun) {
	ran := r.end.Sub(r.began).Seconds() * float64(r.accelerators)
	l.used += ran
	if r.cause == scheduler.Stopped && !r.checkpoints {
		l.wasted += ran
	}
}

// submitJobs submits the jobs of one step: for each kind, its usual rate times its factor.
func (l *simulation) submitJobs(rateFactors []float64) {
	for i, k := range jobKinds {
		for range l.poisson(k.rate * rateFactors[i] * float64(len(l.workers)) / 350 * simStep.Seconds()) {
			l.jobs++
			n := max(1, int(k.width*math.Exp(0.8*l.rand.NormFloat64()-0.32)))
			s := scheduler.Step{Count: min(n, 6*int(k.width)), Need: k.need, Estimate: k.runTime, Gang: k.gang}
			s.Need.Accelerators = k.accelerators[l.rand.IntN(len(k.accelerators))]
			s.Tight, s.Checkpoints = l.rand.Float64() < k.tightShare, l.rand.Float64() < k.checkpointShare
			j := scheduler.Job{
				ID: fmt.Sprintf("%016x", l.jobs), Customer: fmt.Sprint("c", l.rand.IntN(10)), Accepted: l.now.UnixMilli(), Steps: []scheduler.Step{s},
				Queue: scheduler.Queue{Name: fmt.Sprint("q", k.priority), Service: "s", Priority: k.priority, Attempts: 3, Stretch: k.stretch, Target: k.target},
			}
			l.steps[j.ID] = s
			l.onSubmit(j, k)
			l.measure(func() { l.core.AddJob(l.now, j) })
		}
	}
}

func (l *simulation) poisson(mean float64) int {
	n, p := 0, l.rand.Float64()
	for limit := math.Exp(-mean); p > limit; n++ {
		p *= l.rand.Float64()
	}
	return n
}

// step advances the time by simStep, with all kinds of jobs at rateFactor times their usual
// rate.
func (l *simulation) step(rateFactor float64) {
	l.stepWithRates([]float64{rateFactor, rateFactor, rateFactor})
}

func (l *simulation) stepWithRates(rateFactors []float64) {
	l.now = l.now.Add(simStep)
	l.submitJobs(rateFactors)
	reporting := map[string]bool{}
	for len(l.pending) > 0 && !l.pending[0].end.After(l.now) {
		r := heap.Pop(&l.pending).(*simRun)
		r.ended, r.cause = true, scheduler.Done
		if worked := r.end.Sub(r.began); worked < r.runTime {
			r.cause = scheduler.Stopped
			if r.checkpoints {
				l.checkpointed[r.Task] += max(worked-simRestoreTime, 0)
				r.Checkpoint = "saved"
			}
		}
		reporting[r.Worker] = true
	}
	for _, id := range l.workerIDs {
		w := l.workers[id]
		if reporting[id] || len(w.runs) > 0 && l.now.Sub(w.lastReport) >= simReportInterval {
			l.report(id)
		}
	}
	var out scheduler.Effects
	l.measure(func() {
		if l.now.UnixMilli()%100 < simStep.Milliseconds() {
			l.core.Tick(l.now)
		}
		out = l.core.Flush(l.now)
	})
	for _, id := range out.Changed {
		if state, _, _ := l.core.Owner(id); state == scheduler.Completed {
			l.onCompleted(id)
		}
	}
	l.rounds++
	l.starts += len(out.Starts)
	l.stops += len(out.Stops)
	racks := map[string]map[string]bool{} // used by each job that starts
	for _, s := range out.Starts {
		id := s.Task[:16]
		if racks[id] == nil {
			racks[id] = map[string]bool{}
		}
		racks[id][l.workers[s.Worker].rack] = true
	}
	for _, s := range out.Starts {
		step := l.steps[s.Task[:16]]
		r := &simRun{
			Start: s, began: l.now, runTime: l.runTime(s.Task[:16]) - l.checkpointed[s.Task], accelerators: step.Need.Accelerators, checkpoints: step.Checkpoints,
		}
		if step.Gang && step.Tight && len(racks[s.Task[:16]]) > 1 {
			r.runTime *= 3
		}
		if l.checkpointed[s.Task] > 0 {
			r.runTime += simRestoreTime
		}
		r.end = l.now.Add(r.runTime)
		l.runs[s.Task] = r
		l.workers[s.Worker].runs[s.Task] = r
		heap.Push(&l.pending, r)
		l.measure(func() { l.core.StartAnswered(l.now, s.Worker, s.Task, s.Run, scheduler.Accepted) })
	}
	for _, s := range out.Stops {
		if r := l.workers[s.Worker].runs[s.Task]; r != nil && r.Run == s.Run && !r.stopped {
			r.stopped = true
			if stop := l.now.Add(simStopTime); stop.Before(r.end) {
				r.end = stop
				heap.Init(&l.pending)
			}
		}
	}
}

// runTime returns the run time of a job's tasks, which is up to 40 % off their estimate.
func (l *simulation) runTime(id string) time.Duration {
	var n int
	_, _ = fmt.Sscanf(id, "%16x", &n)
	return time.Duration((0.6 + 0.1*float64(n%9)) * float64(l.steps[id].Estimate))
}

// Guards against counts in the index that drift from the state of the workers, whatever
// happens to these: a worker counted too high is given a start that doesn't fit, and one
// counted too low stays idle.
func TestIndexFollowsTheWorkers(t *testing.T) {
	for seed := range uint64(8) {
		l := newSimulation(60, seed)
		for i := range 3000 {
			l.disturb(t)
			l.step(2)
			if i%5 == 0 {
				assert.NilError(t, l.core.CheckIndex(l.now), "seed %d, step %d", seed, i)
			}
		}
		assert.Assert(t, l.starts > 500 && l.stops > 50, "%d starts and %d stops: the pool was not full", l.starts, l.stops)
	}
}

// disturb applies a random event to a worker or a job; most of the time it does nothing.
func (l *simulation) disturb(t *testing.T) {
	id := fmt.Sprintf("w%04d", l.rand.IntN(len(l.workers)))
	switch l.rand.IntN(40) {
	case 0:
		l.core.SuspendWorker(l.now, id)
	case 1:
		l.core.UpdateWorker(l.now, scheduler.Worker{
			ID: id, Address: "x:1", Service: "s", Rack: fmt.Sprint("r", l.rand.IntN(6)), Draining: l.rand.IntN(4) == 0, Remaining: time.Second,
			Capacity: scheduler.Resources{CPU: 32000, Memory: 131072, Accelerators: 8},
		})
	case 2:
		l.core.RemoveWorker(id)
	case 3:
		l.core.ExpireLeases(l.now, id)
	case 4:
		if l.jobs > 0 {
			_, err := l.core.Cancel(l.now, fmt.Sprintf("%016x", 1+l.rand.IntN(l.jobs)), "")
			assert.Assert(t, err == nil || errors.Is(err, scheduler.ErrUnknown))
		}
	}
}

// Guards against rounds that evaluate all workers: with 40 times the workers and the load,
// a start may take at most three times the evaluations. A leader of 350 workers once spent
// half of a core on evaluating full workers again.
func TestEvaluationsPerStartDoNotGrowWithThePool(t *testing.T) {
	perStart := func(workers int) float64 {
		l := newSimulation(workers, 1)
		for range 300 {
			l.step(1.5)
		}
		before, starts := l.core.Evaluations(), l.starts
		for range 300 {
			l.step(1.5)
		}
		return float64(l.core.Evaluations()-before) / float64(l.starts-starts)
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
			l := newSimulation(workers, 1)
			for range 500 { // fill the pool
				l.step(1.5)
			}
			l.coreTime, l.rounds, l.starts, l.stops = 0, 0, 0, 0
			b.ResetTimer()
			for b.Loop() {
				l.step(1.5)
			}
			seconds := float64(l.rounds) * simStep.Seconds()
			b.ReportMetric(float64(l.coreTime.Microseconds())/float64(l.rounds), "us/round")
			b.ReportMetric(float64(l.coreTime.Microseconds())/math.Max(1, float64(l.starts)), "us/start")
			b.ReportMetric(float64(l.starts)/seconds, "starts/s")
			b.ReportMetric(float64(l.stops)/seconds, "stops/s")
		})
	}
}
