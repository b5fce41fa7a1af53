package scheduler_test

import (
	"container/heap"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbshore/internal/scheduler"
)

// kindOfJob describes the jobs of a queue as the sheets of the grown sites do. Rate is
// jobs a second for 350 workers, width the mean number of tasks, work their run time.
type kindOfJob struct {
	priority       int
	rate, width    float64
	work           time.Duration
	need           scheduler.Resources
	accelerators   []int64
	gang           bool
	tight, saves   float64 // shares of the jobs
	stretch        float64
	target         time.Duration
	cancelledShare float64
}

var kindsOfJobs = []kindOfJob{
	{
		priority: 1, rate: 3.7, width: 10, work: 6800 * time.Millisecond, need: scheduler.Resources{CPU: 13000, Memory: 38000},
		accelerators: []int64{1, 2, 4, 8, 8}, gang: true, tight: 0.6, saves: 0.45, stretch: 3, target: time.Second, cancelledShare: 0.05,
	},
	{
		priority: 0, rate: 11.1, width: 4.7, work: 2500 * time.Millisecond, need: scheduler.Resources{CPU: 3700, Memory: 15000},
		accelerators: []int64{1, 2, 4, 8, 8}, gang: true, tight: 0.8, stretch: 1.5, target: 300 * time.Millisecond,
	},
	{
		priority: 2, rate: 2.9, width: 30, work: 7600 * time.Millisecond, need: scheduler.Resources{CPU: 2800, Memory: 8200},
		accelerators: []int64{1}, saves: 0.45, stretch: 3, target: 3 * time.Second, cancelledShare: 0.15,
	},
}

// load drives a core with a stream of jobs in virtual time, as the leader does: what
// happened within a step is served by one round of scheduling.
type load struct {
	core    *scheduler.Core
	rand    *rand.Rand
	now     time.Time
	jobs    int
	runs    map[string]*loadRun // by task
	ends    loadEnds
	workers map[string]*loadWorker
	spent   time.Duration // real time in the core
	rounds  int
	starts  int
	stops   int
	done    map[string]int // completed jobs by queue
	late    map[string]int
	begun   map[string]time.Time
}

type loadRun struct {
	scheduler.Start
	end     time.Time
	began   time.Time
	length  time.Duration
	stopped bool
	over    bool
	cause   scheduler.Cause
}

type loadWorker struct {
	listed time.Time
	count  int64
	runs   map[string]*loadRun
}

// loadEnds orders runs by their end.
type loadEnds []*loadRun

func (h loadEnds) Len() int           { return len(h) }
func (h loadEnds) Less(i, k int) bool { return h[i].end.Before(h[k].end) }
func (h loadEnds) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }
func (h *loadEnds) Push(x any)        { *h = append(*h, x.(*loadRun)) }
func (h *loadEnds) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

const (
	loadRack  = 12
	loadStep  = 10 * time.Millisecond
	loadEvery = time.Second // renewals of a worker where nothing ends
)

func newLoad(workers int, seed uint64) *load {
	l := &load{
		rand: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1_800_000_000, 0), runs: map[string]*loadRun{}, workers: map[string]*loadWorker{},
		done: map[string]int{}, late: map[string]int{}, begun: map[string]time.Time{},
	}
	l.core = scheduler.New(scheduler.Config{
		Logger: slog.New(slog.DiscardHandler), MaxLease: 6 * time.Second, Penalty: 3, KeepEnded: time.Minute, Silence: time.Hour,
		Restore: 600 * time.Millisecond, SaveEvery: time.Second,
	})
	guaranteed := map[string]int64{}
	for i := range 10 {
		guaranteed[fmt.Sprint("c", i)] = int64(float64(workers) * 8 * 0.06)
	}
	l.core.SetPolicy(nil, guaranteed)
	for i := range workers {
		id := fmt.Sprintf("w%04d", i)
		l.workers[id] = &loadWorker{runs: map[string]*loadRun{}}
		rack := fmt.Sprintf("r%03d", i/loadRack)
		l.core.SeeWorker(l.now, scheduler.Worker{
			ID: id, Address: "x:1", Service: "s", Rack: rack, Labels: []string{"a", rack},
			Capacity: scheduler.Resources{CPU: 32000, Memory: 131072, Accelerators: 8},
		})
		l.report(id)
	}
	return l
}

// timed runs f and counts its real time.
func (l *load) timed(f func()) {
	begun := time.Now()
	f()
	l.spent += time.Since(begun)
}

func (l *load) report(id string) {
	w := l.workers[id]
	w.listed = l.now
	rep := scheduler.Report{Worker: id, Sent: l.now, Full: true}
	for task, r := range w.runs {
		if r.over {
			w.count++
			rep.Ended = append(rep.Ended, scheduler.EndedTask{Number: w.count, Task: task, Run: r.Run, Cause: r.cause, Saved: r.Saved})
			delete(w.runs, task)
			if l.runs[task] == r {
				delete(l.runs, task)
			}
			continue
		}
		percent := 100 * float64(l.now.Sub(r.began)) / float64(r.length)
		rep.Running = append(rep.Running, scheduler.RunningTask{Task: task, Run: r.Run, Percent: math.Floor(percent)})
	}
	l.timed(func() { l.core.Report(l.now, rep) })
}

// arrive submits jobs of each kind, times the usual rate.
func (l *load) arrive(times float64) {
	for _, k := range kindsOfJobs {
		for range l.poisson(k.rate * times * float64(len(l.workers)) / 350 * loadStep.Seconds()) {
			l.jobs++
			n := max(1, int(k.width*math.Exp(0.8*l.rand.NormFloat64()-0.32)))
			s := scheduler.Step{Count: min(n, 6*int(k.width)), Need: k.need, Estimate: k.work, Gang: k.gang}
			s.Need.Accelerators = k.accelerators[l.rand.IntN(len(k.accelerators))]
			s.Tight, s.Checkpoints = l.rand.Float64() < k.tight, l.rand.Float64() < k.saves
			j := scheduler.Job{
				ID: fmt.Sprintf("%016x", l.jobs), Customer: fmt.Sprint("c", l.rand.IntN(10)), Accepted: l.now.UnixMilli(), Steps: []scheduler.Step{s},
				Queue: scheduler.Queue{Name: fmt.Sprint("q", k.priority), Service: "s", Priority: k.priority, Attempts: 3, Stretch: k.stretch, Target: k.target},
			}
			l.begun[j.ID] = l.now
			l.timed(func() { l.core.AddJob(l.now, j) })
		}
	}
}

func (l *load) poisson(mean float64) int {
	n, p := 0, l.rand.Float64()
	for limit := math.Exp(-mean); p > limit; n++ {
		p *= l.rand.Float64()
	}
	return n
}

// step lets loadStep pass.
func (l *load) step(times float64) {
	l.now = l.now.Add(loadStep)
	l.arrive(times)
	touched := map[string]bool{}
	for len(l.ends) > 0 && !l.ends[0].end.After(l.now) {
		r := heap.Pop(&l.ends).(*loadRun)
		if !r.over && (r.stopped || !l.now.Before(r.began.Add(r.length))) {
			r.over, r.cause = true, scheduler.Done
			if r.stopped {
				r.cause = scheduler.Stopped
			}
			touched[r.Worker] = true
		}
	}
	for id, w := range l.workers {
		if touched[id] || len(w.runs) > 0 && l.now.Sub(w.listed) >= loadEvery {
			l.report(id)
		}
	}
	var out scheduler.Effects
	l.timed(func() {
		if l.now.UnixMilli()%100 < loadStep.Milliseconds() {
			l.core.Tick(l.now)
		}
		out = l.core.Flush(l.now)
	})
	l.rounds++
	l.starts += len(out.Starts)
	l.stops += len(out.Stops)
	for _, s := range out.Starts {
		r := &loadRun{Start: s, began: l.now, length: l.lengthOf(s.Task)}
		r.end = l.now.Add(r.length)
		l.runs[s.Task] = r
		l.workers[s.Worker].runs[s.Task] = r
		heap.Push(&l.ends, r)
		l.timed(func() { l.core.StartAnswered(l.now, s.Worker, s.Task, s.Run, scheduler.Accepted) })
	}
	for _, s := range out.Stops {
		if r := l.workers[s.Worker].runs[s.Task]; r != nil && r.Run == s.Run && !r.stopped {
			r.stopped = true
			heap.Push(&l.ends, &loadRun{Start: r.Start, end: l.now.Add(300 * time.Millisecond), stopped: true, over: true})
			r.end = l.now.Add(300 * time.Millisecond)
			heap.Init(&l.ends)
		}
	}
}

// lengthOf is how long a task runs: the mean of its queue, off by some, and the same for
// all members of a gang.
func (l *load) lengthOf(task string) time.Duration {
	var id int
	_, _ = fmt.Sscanf(task, "%16x", &id)
	return time.Duration((2 + float64(id%7)) / 5 * float64(5*time.Second))
}

// What the index counts is what the workers say, whatever has happened: a worker that it
// counts too high takes a start that doesn't fit, one too low stays idle.
func TestIndexFollowsTheWorkers(t *testing.T) {
	l := newLoad(60, 3)
	for i := range 1500 {
		id := fmt.Sprintf("w%04d", l.rand.IntN(60))
		switch l.rand.IntN(40) {
		case 0:
			l.core.Suspect(l.now, id)
		case 1:
			l.core.SeeWorker(l.now, scheduler.Worker{
				ID: id, Address: "x:1", Service: "s", Rack: fmt.Sprint("r", l.rand.IntN(6)), Draining: l.rand.IntN(4) == 0, Remaining: time.Second,
				Capacity: scheduler.Resources{CPU: 32000, Memory: 131072, Accelerators: 8},
			})
		case 2:
			l.core.DropWorker(id)
		case 3:
			l.core.Lapse(l.now, id)
		case 4:
			if l.jobs > 0 {
				_, err := l.core.Cancel(l.now, fmt.Sprintf("%016x", 1+l.rand.IntN(l.jobs)), "")
				assert.Assert(t, err == nil || errors.Is(err, scheduler.ErrUnknown))
			}
		}
		l.step(2)
		if i%5 == 0 {
			assert.NilError(t, l.core.CheckIndex(l.now), "step %d", i)
		}
	}
	assert.Assert(t, l.starts > 500 && l.stops > 50, "%d starts and %d stops: the pool was not full", l.starts, l.stops)
}

// A round looks at the workers that matter, not at all: with 40 times the workers and the
// load, a start takes at most three times the looks. A leader of 350 workers once spent
// half of a core on looking at full workers again.
func TestLooksAStartDoNotGrowWithThePool(t *testing.T) {
	looks := func(workers int) float64 {
		l := newLoad(workers, 1)
		for range 300 {
			l.step(1.5)
		}
		before, starts := l.core.Looks(), l.starts
		for range 300 {
			l.step(1.5)
		}
		return float64(l.core.Looks()-before) / float64(l.starts-starts)
	}
	few, many := looks(50), looks(2000)
	t.Logf("looks a start: %.1f with 50 workers, %.1f with 2,000", few, many)
	assert.Assert(t, many <= 3*few, "%.1f with 50 workers, %.1f with 2,000", few, many)
}

// BenchmarkLoad measures the scheduler under a stream of jobs that fills the pool, at
// sizes with the same load a worker: the cost of a round and of a start.
func BenchmarkLoad(b *testing.B) {
	for _, workers := range []int{50, 350, 2000} {
		b.Run(fmt.Sprint("workers=", workers), func(b *testing.B) {
			l := newLoad(workers, 1)
			for range 500 { // the pool fills
				l.step(1.5)
			}
			l.spent, l.rounds, l.starts, l.stops = 0, 0, 0, 0
			b.ResetTimer()
			for b.Loop() {
				l.step(1.5)
			}
			seconds := float64(l.rounds) * loadStep.Seconds()
			b.ReportMetric(float64(l.spent.Microseconds())/float64(l.rounds), "us/round")
			b.ReportMetric(float64(l.spent.Microseconds())/math.Max(1, float64(l.starts)), "us/start")
			b.ReportMetric(float64(l.starts)/seconds, "starts/s")
			b.ReportMetric(float64(l.stops)/seconds, "stops/s")
		})
	}
}
