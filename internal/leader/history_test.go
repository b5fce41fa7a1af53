package leader_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rhubarbshore/internal/catalog"
	"rhubarbshore/internal/fleet"
	"rhubarbshore/internal/intake"
	"rhubarbshore/internal/leader"
	"rhubarbshore/internal/rapidtest"
	"rhubarbshore/internal/scheduler"
	"rhubarbshore/internal/standin"
	"rhubarbshore/internal/store"
)

func TestMain(m *testing.M) { os.Exit(rapidtest.Main(m)) }

const (
	testLease    = 6 * time.Second
	testGangWait = 3 * time.Second
	testPenalty  = 3
	testAttempts = 3
)

// pool simulates a store, workers and VMs that lead in turn, in virtual time.
type pool struct {
	log       *standin.Log
	fleet     *standin.Fleet
	jobs      map[string]*scheduler.Job
	uncertain map[string]bool // jobs that may or may not have been accepted
	epoch     int64
	jobCount  int
	leaders   []*testLeader
	wrap      func(leader.Config) leader.Config
	fails     func(task string, run int) bool
	workOf    func(task string) (time.Duration, bool) // run time, and whether all runs fail; nil means the default
	makeJob   func(id, n int) scheduler.Job
	workers   int       // number of workers
	troubleAt time.Time // when the last disruption ended
	mu        sync.Mutex
	sightings map[int64]sighting // of the leaders, by epoch
}

type testLeader struct {
	vm     string
	leader *leader.Leader
	cancel context.CancelFunc
	done   chan struct{}
}

func newPool(workers int) *pool {
	p := &pool{workers: workers, troubleAt: time.Now(), jobs: map[string]*scheduler.Job{}, uncertain: map[string]bool{}, sightings: map[int64]sighting{}, log: standin.NewLog(standin.LogConfig{Latency: 6 * time.Millisecond, Seed: 1})}
	p.fails = func(string, int) bool { return false }
	p.makeJob = generatedJob
	p.fleet = standin.NewFleet(standin.FleetConfig{
		Seed: 1, MaxLease: 2 * testLease, StopTime: 400 * time.Millisecond, GangWait: testGangWait, RemotePenalty: testPenalty,
		CheckpointInterval: 500 * time.Millisecond, RestoreTime: 250 * time.Millisecond, Latency: 2 * time.Millisecond,
		Work: p.work, Spec: p.spec,
	})
	p.fleet.SetStartCheck(p.check)
	for i := range workers {
		p.addWorker(i)
	}
	return p
}

func (p *pool) addWorker(i int) { p.addWorkerOf(i, "a") }

// addWorkerOf adds a worker of a kind, which is its first label.
func (p *pool) addWorkerOf(i int, kind string) { p.addWorkerOn(i, kind, fmt.Sprintf("r%d", i/4)) }

// addWorkerOn adds a worker of a kind on a rack.
func (p *pool) addWorkerOn(i int, kind, rack string) {
	p.fleet.Add(scheduler.Worker{
		ID: fmt.Sprintf("w%02d", i), Address: fmt.Sprintf("w%02d:1", i), Service: "robes", Rack: rack,
		Labels: []string{kind, rack}, Capacity: scheduler.Resources{CPU: 32000, Memory: 64000, Accelerators: 8},
	})
}

func hash(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return h.Sum64()
}

// work derives a task's run time from its name: 0.4 to 4.4 seconds.
func (p *pool) work(task string, run int) (time.Duration, bool) {
	step := p.spec(task)
	name := task
	if step.Gang {
		name = task[:strings.LastIndexByte(task, '.')]
	}
	if p.workOf != nil {
		return p.workOf(name)
	}
	return 400*time.Millisecond + time.Duration(hash(name)%4000)*time.Millisecond, p.fails(name, run)
}

func splitTask(task string) (id string, k, step int) {
	parts := strings.Split(task, ".")
	_, _ = fmt.Sscan(strings.Join(parts[1:3], " "), &k, &step)
	return parts[0], k, step
}

func (p *pool) spec(task string) *scheduler.Step {
	p.mu.Lock()
	defer p.mu.Unlock()
	id, _, step := splitTask(task)
	j := p.jobs[id]
	if j == nil || step >= len(j.Steps) {
		return nil
	}
	return &j.Steps[step]
}

// check is called by the workers at each start and returns the rule that the start breaks, if any.
func (p *pool) check(task string) string {
	id, k, step := splitTask(task)
	p.mu.Lock()
	j := p.jobs[id]
	p.mu.Unlock()
	for _, dependency := range j.Steps[step].After {
		for i := range j.Steps[dependency].Count {
			if !p.fleet.FinishedLocked(fmt.Sprintf("%s.%d.%d.%d", id, k, dependency, i)) {
				return fmt.Sprintf("ORDER: step %d isn't done", dependency)
			}
		}
	}
	if !j.Steps[step].LongRunning && p.fleet.AckedFailures(task) >= testAttempts {
		return "BUDGET"
	}
	return ""
}

func (p *pool) snapshot() *catalog.Snapshot {
	routes := make([]catalog.Route, 3)
	for i := range routes {
		routes[i] = catalog.Route{Host: "h", Prefix: "/q", Queue: queue(i)}
	}
	return catalog.New(catalog.Config{Version: 1, Routes: routes, Services: []string{"robes"}})
}

func queue(priority int) scheduler.Queue {
	return scheduler.Queue{
		Name: fmt.Sprint("q", priority), Service: "robes", Priority: priority, Attempts: testAttempts, Stretch: 2, Target: time.Second,
	}
}

// elect starts a new leader. Earlier leaders keep running unless they are stopped.
func (p *pool) elect() *testLeader {
	p.epoch++
	epoch := p.epoch
	vm := fmt.Sprint("vm", epoch)
	cfg := leader.Config{
		Log: p.log.View(vm), Registry: storedRegistry{p.fleet, p.log.View(vm)}, Workers: p.fleet, Catalog: p.snapshot, Logger: testLogger(),
		Scheduler: scheduler.Config{
			Logger: testLogger(), MaxLease: testLease, RemotePenalty: testPenalty, KeepEnded: time.Hour, ReportTimeout: 5 * time.Second,
			RestoreTime: 250 * time.Millisecond, CheckpointInterval: 500 * time.Millisecond,
			GangWait: testGangWait,
		},
	}
	cfg.Identity = func() string { return vm }
	cfg.EndedFor = func(_ context.Context, vm string, epoch int64, workers []string) (time.Duration, []time.Duration, bool) {
		return p.endedFor(vm, epoch, workers)
	}
	cfg.LastSeen = p.lastSeen
	if p.wrap != nil {
		cfg = p.wrap(cfg)
	}
	l := &testLeader{vm: vm, leader: leader.New(cfg), done: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	go func() {
		defer close(l.done)
		l.leader.Lead(ctx, epoch)
	}()
	p.mu.Lock()
	p.leaders = append(p.leaders, l)
	p.mu.Unlock()
	go p.ping(l, epoch)
	return l
}

// sighting is the age of a term when its leader answered a ping.
type sighting struct {
	at  time.Time
	age time.Duration
}

// ping notes the age of a leader's term at intervals until it ends.
func (p *pool) ping(l *testLeader, epoch int64) {
	const interval = 300 * time.Millisecond
	for {
		select {
		case <-l.done:
			return
		case <-time.After(interval):
		}
		if age, ok := l.leader.TermAge(epoch); ok {
			p.mu.Lock()
			p.sightings[epoch] = sighting{time.Now(), age}
			p.mu.Unlock()
		}
	}
}

func (p *pool) lastSeen(epoch int64) (time.Time, time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, known := p.sightings[epoch]
	return s.at, s.age, known
}

// endedFor reports whether the leader on a VM has ended, and how long ago it last granted a lease, on any
// worker and on each of the given ones.
func (p *pool) endedFor(vm string, epoch int64, workers []string) (time.Duration, []time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.leaders {
		if l.vm != vm {
			continue
		}
		select {
		case <-l.done:
			since, each, _ := l.leader.SinceLastGrant(epoch, workers)
			return since, each, true
		default:
		}
	}
	return 0, nil, false
}

// storedRegistry is the registry as one VM reads it: it is out of reach while the store is.
type storedRegistry struct {
	leader.Registry
	log leader.Log
}

func (r storedRegistry) Workers(ctx context.Context) (fleet.Registry, error) {
	if _, err := r.log.Read(ctx, store.Stream{Topic: "workers"}, 0, 0); err != nil {
		return fleet.Registry{}, err
	}
	return r.Registry.Workers(ctx)
}

func (r storedRegistry) WorkerChanges(ctx context.Context, _ int64) (fleet.Registry, error) {
	return r.Workers(ctx)
}

func testLogger() *slog.Logger {
	if os.Getenv("TEST_LOG") != "" {
		return slog.New(slog.NewTextHandler(os.Stdout, nil))
	}
	return slog.New(slog.DiscardHandler)
}

// submit stores a job as a VM that accepts it does.
func (p *pool) submit(j scheduler.Job) {
	j.Accepted = time.Now().UnixMilli()
	p.mu.Lock()
	p.jobs[j.ID] = &j
	p.mu.Unlock()
	value, err := json.Marshal(j)
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	records := intake.NewRecords(j.ID, value)
	_, err = p.log.View("intake").Append(ctx, intake.Stream(intake.PartOf(j.ID)), records[:], store.AppendOptions{})
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case errors.Is(err, store.ErrRefused):
		delete(p.jobs, j.ID) // a start of it would be reported as one that nobody asked for
	case err != nil:
		p.uncertain[j.ID] = true
	}
}

// newest returns the newest leader.
func (p *pool) newest() *testLeader {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leaders[len(p.leaders)-1]
}

// state asks the newest leader for a job's state.
func (p *pool) state(id string) scheduler.State {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	s, err := p.newest().leader.State(ctx, id, "")
	if err != nil {
		return scheduler.State(err.Error())
	}
	return s
}

// waitForJobs waits until all jobs are finished and returns those that are not by the timeout.
func (p *pool) waitForJobs(timeout time.Duration) []string {
	end := time.Now().Add(timeout)
	for {
		var open []string
		for id := range p.jobs {
			switch s := p.state(id); {
			case s == scheduler.State(scheduler.ErrUnknown.Error()) && p.uncertain[id]:
			case s == scheduler.Completed, s == scheduler.Failed, s == scheduler.Cancelled:
			default:
				open = append(open, id+" "+string(s))
			}
		}
		if len(open) == 0 || time.Now().After(end) {
			return open
		}
		time.Sleep(250 * time.Millisecond)
	}
}

func (p *pool) close() {
	for _, l := range p.leaders {
		l.cancel()
	}
	for _, l := range p.leaders {
		<-l.done
	}
	// Orders in progress end by their own timeouts.
	time.Sleep(20 * time.Second)
}

func job(id int, priority int, steps ...scheduler.Step) scheduler.Job {
	return scheduler.Job{ID: fmt.Sprintf("%016x", id), Queue: queue(priority), Steps: steps}
}

func step(count int, accelerators int64) scheduler.Step {
	return scheduler.Step{
		Count: count, Need: scheduler.Resources{CPU: 2000 * accelerators, Memory: 4000, Accelerators: accelerators}, Estimate: 2 * time.Second,
	}
}

// run calls f with a pool in virtual time and returns the rules that were broken.
func run(t *testing.T, workers int, f func(p *pool)) (violations []string) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		p := newPool(workers)
		p.log.SetFault(standin.LogFault{})
		f(p)
		p.close()
		violations = p.fleet.Violations()
	})
	return violations
}

func TestCalmPool(t *testing.T) {
	violations := run(t, 8, func(p *pool) {
		p.elect()
		gang := step(4, 8)
		gang.Gang = true
		later := step(3, 2)
		later.After = []int{0}
		p.submit(job(1, 1, step(10, 1), later))
		p.submit(job(2, 1, gang))
		p.submit(job(3, 0, step(2, 8)))
		if open := p.waitForJobs(30 * time.Second); len(open) > 0 {
			t.Errorf("not finished: %v", open)
		}
		for id := range p.jobs {
			if s := p.state(id); s != scheduler.Completed {
				t.Errorf("%s is %s", id, s)
			}
		}
	})
	assert.DeepEqual(t, violations, []string(nil))
}

// A start that never arrives and whose stop is repeated must not block its task. Answers to such
// a stop once moved the time from which a worker's reports count.
func TestStopIsRepeatedForARunThatNeverCame(t *testing.T) {
	violations := run(t, 2, func(p *pool) {
		p.elect()
		time.Sleep(time.Second)
		p.fleet.SetFault(standin.OrderFault{LossRate: 0.5, Late: 3 * time.Second})
		for i := range 6 {
			p.submit(job(i+1, i%3, step(2, 4)))
		}
		time.Sleep(8 * time.Second)
		p.fleet.SetFault(standin.OrderFault{})
		if open := p.waitForJobs(40 * time.Second); len(open) > 0 {
			t.Errorf("not finished: %v", open)
		}
	})
	assert.DeepEqual(t, violations, []string(nil))
}

// Work on a worker that left during a change of leader must start elsewhere once its lease has
// expired. The new leader knows the worker from the stored state only.
func TestWorkerLeavesWhileTheLeadChanges(t *testing.T) {
	violations := run(t, 3, func(p *pool) {
		first := p.elect()
		p.submit(job(1, 1, step(12, 2)))
		time.Sleep(700 * time.Millisecond)
		first.cancel()
		p.fleet.Crash("w00", false)
		p.elect()
		if open := p.waitForJobs(3 * testLease); len(open) > 0 {
			t.Errorf("not finished: %v", open)
		}
	})
	assert.DeepEqual(t, violations, []string(nil))
}

// Attempts to reach a worker that is gone must not count as renewals of its lease.
func TestLeaseOfASilentWorkerRunsOut(t *testing.T) {
	violations := run(t, 3, func(p *pool) {
		p.elect()
		p.submit(job(1, 1, step(12, 2)))
		time.Sleep(time.Second)
		p.fleet.Crash("w01", false)
		if open := p.waitForJobs(2*testLease + 8*time.Second); len(open) > 0 {
			t.Errorf("not finished: %v", open)
		}
	})
	assert.DeepEqual(t, violations, []string(nil))
}

// A job that ended while the store failed must be known to the next leader. Its description was
// once dropped before its outcome was stored.
func TestEndedJobIsNotForgottenBeforeItsOutcomeIsStored(t *testing.T) {
	violations := run(t, 4, func(p *pool) {
		first := p.elect()
		for i := range 12 {
			p.submit(job(i+1, 1, step(2, 1)))
		}
		for range 12 {
			time.Sleep(400 * time.Millisecond)
			p.log.SetVMFault(first.vm, &standin.LogFault{Slow: 300 * time.Millisecond})
		}
		p.log.SetVMFault(first.vm, &standin.LogFault{Refuse: true})
		time.Sleep(500 * time.Millisecond)
		first.cancel()
		p.elect()
		if open := p.waitForJobs(30 * time.Second); len(open) > 0 {
			t.Errorf("not finished: %v", open)
		}
	})
	assert.DeepEqual(t, violations, []string(nil))
}

// Runs of finished jobs must count against their worker's capacity under the next leader, which
// does not know how much they use.
func TestNextLeaderCountsRunsOfEndedJobs(t *testing.T) {
	violations := run(t, 1, func(p *pool) {
		first := p.elect()
		p.submit(job(1, 1, step(1, 8)))
		time.Sleep(300 * time.Millisecond)
		p.fleet.SetFault(standin.OrderFault{LossRate: 1}) // the stop is lost
		_, err := first.leader.Cancel(context.Background(), fmt.Sprintf("%016x", 1), "")
		assert.NilError(t, err)
		first.cancel()
		p.submit(job(2, 1, step(1, 8)))
		p.fleet.SetFault(standin.OrderFault{})
		p.elect()
		if open := p.waitForJobs(20 * time.Second); len(open) > 0 {
			t.Errorf("not finished: %v", open)
		}
	})
	assert.DeepEqual(t, violations, []string(nil))
}

// Changes too large for one append must be stored in several, with the starts sent after the
// last.
func TestLargeRoundsAreStoredInParts(t *testing.T) {
	violations := run(t, 8, func(p *pool) {
		p.wrap = func(c leader.Config) leader.Config { c.MaxBatch = 1000; return c }
		p.elect()
		p.submit(job(1, 1, step(60, 1)))
		p.submit(job(2, 1, step(100, 1)))
		if open := p.waitForJobs(60 * time.Second); len(open) > 0 {
			t.Errorf("not finished: %v", open)
		}
		if largest := p.log.Largest(); largest > 1100 {
			t.Errorf("an append of %d bytes", largest)
		}
	})
	assert.DeepEqual(t, violations, []string(nil))
}

func workerID(i int) string { return fmt.Sprintf("w%02d", i) }

// action is one step of a generated history.
type action struct {
	wait time.Duration
	kind int
	n    int
}

const actionKinds = 16

// perform carries out one step of a generated history.
func (p *pool) perform(a action) {
	worker := workerID(a.n % p.workers)
	current := p.newest()
	switch a.kind {
	case 0, 1, 2, 3:
		p.jobCount++
		p.submit(p.makeJob(p.jobCount, a.n))
	case 4: // the leader dies
		current.cancel()
		p.elect()
	case 5: // it is presumed dead but keeps running
		p.elect()
	case 6: // it loses the store but keeps running
		p.log.SetVMFault(current.vm, &standin.LogFault{Silent: true})
		p.elect()
	case 7:
		p.fleet.Crash(worker, true)
	case 8:
		p.fleet.SetUnreachable(worker, true)
	case 9:
		p.fleet.SetUnreachable(worker, false)
	case 10:
		p.fleet.SetFault(standin.OrderFault{LossRate: float64(a.n%4) / 6, Late: time.Duration(a.n%5+1) * time.Second})
	case 11:
		p.log.SetFault(standin.LogFault{LossRate: float64(a.n%4) / 8, Late: time.Duration(a.n%3) * time.Second})
	case 12:
		p.log.SetFault(standin.LogFault{Refuse: a.n%2 == 0})
	case 13:
		p.fleet.SetHealth(worker, float64(a.n%7+1), a.n%5 == 0, a.n%7 == 0)
	case 14:
		if len(p.jobs) > 0 {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			_, _ = current.leader.Cancel(ctx, fmt.Sprintf("%016x", a.n%len(p.jobs)+1), "") // it may come too late
			cancel()
		}
	case 15: // the leader dies while a part of the jobs is down, or that part comes back
		p.log.SetStreamFault(intake.Stream(a.n%intake.Parts), nil)
		if a.n%4 > 0 {
			p.log.SetStreamFault(intake.Stream(a.n%intake.Parts), &standin.LogFault{Silent: a.n%3 == 0, Refuse: a.n%3 > 0})
			current.cancel()
			p.elect()
		}
	}
}

// heal ends all faults of the store, the orders and the workers.
func (p *pool) heal() {
	p.log.SetFault(standin.LogFault{})
	for part := range intake.Parts {
		p.log.SetStreamFault(intake.Stream(part), nil)
	}
	p.log.SetStreamFault(leader.Stream, nil)
	p.fleet.SetFault(standin.OrderFault{})
	for i := range p.workers {
		p.fleet.SetUnreachable(workerID(i), false)
		p.fleet.SetHealth(workerID(i), 1, false, false)
		p.fleet.SetStartFault(workerID(i), fleet.Accepted)
	}
	p.troubleAt = time.Now()
}

// generatedJob returns a job of a generated shape.
func generatedJob(id, n int) scheduler.Job {
	s := step(n%5+1, []int64{1, 2, 4, 8}[n%4])
	s.Gang = n%3 == 0
	s.Tight = n%6 == 0
	s.Checkpoints = n%2 == 0
	if n%7 == 0 {
		s.Rack = "r1"
	}
	if n%11 == 0 {
		s.MaxPerWorker = 1
	}
	steps := []scheduler.Step{s}
	if n%5 == 0 {
		after := step(2, 1)
		after.After = []int{0}
		steps = append(steps, after)
	}
	return job(id, n/3%3, steps...)
}

// TestNoHistoryBreaksARule generates histories in which leaders, workers, orders and the store
// fail, and requires that no rule is broken and that every job ends.
func TestNoHistoryBreaksARule(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		actions := make([]action, rapid.IntRange(4, 30).Draw(rt, "acts"))
		for i := range actions {
			actions[i] = action{
				wait: time.Duration(rapid.IntRange(0, 1500).Draw(rt, "wait")) * time.Millisecond,
				kind: rapid.IntRange(0, actionKinds-1).Draw(rt, "kind"), n: rapid.IntRange(0, 1000).Draw(rt, "n"),
			}
		}
		var open []string
		violations := run(t, 8, func(p *pool) {
			p.fails = func(task string, run int) bool { return hash(fmt.Sprint(task, run))%9 == 0 }
			p.elect()
			for _, a := range actions {
				p.perform(a)
				time.Sleep(a.wait)
			}
			p.heal()
			p.elect()
			open = p.waitForJobs(3 * time.Minute)
		})
		if len(violations) > 0 || len(open) > 0 {
			rt.Fatalf("broken rules: %v\nnot finished: %v", violations, open)
		}
	})
}

// discardingLog acknowledges appends to the leader's stream without storing them.
type discardingLog struct{ leader.Log }

func (d discardingLog) Append(ctx context.Context, s store.Stream, records []store.Record, o store.AppendOptions) (int64, error) {
	if s == leader.Stream {
		records = records[:0]
	}
	return d.Log.Append(ctx, s, records, o)
}

// fixedToken sends every order with the same fencing token.
type fixedToken struct{ leader.Workers }

func (f fixedToken) Start(ctx context.Context, o scheduler.Start, _, deadline int64) (fleet.OrderAnswer, error) {
	return f.Workers.Start(ctx, o, 1, deadline)
}

func (f fixedToken) Stop(ctx context.Context, o scheduler.Stop, _ int64) (fleet.OrderAnswer, error) {
	return f.Workers.Stop(ctx, o, 1)
}

func (f fixedToken) Renew(ctx context.Context, id, address string, r fleet.Renewal) (fleet.RenewalAnswer, error) {
	r.Token = 1
	return f.Workers.Renew(ctx, id, address, r)
}

// Each safety mechanism must be necessary: without it, the history that it guards against breaks
// a rule.
func TestWithoutAMechanismARuleBreaks(t *testing.T) {
	cases := map[string]struct {
		wrap func(leader.Config) leader.Config
		play func(p *pool)
		rule string
	}{
		"starts stored before they are sent": {
			wrap: func(c leader.Config) leader.Config { c.Log = discardingLog{c.Log}; return c },
			play: func(p *pool) {
				first := p.elect()
				p.submit(job(1, 1, step(4, 2)))
				time.Sleep(300 * time.Millisecond)
				p.fleet.SetUnreachable("w00", true)
				p.addWorker(1)
				first.cancel()
				p.elect()
				time.Sleep(3 * time.Second)
			},
			rule: "TWICE",
		},
		"fencing token": {
			wrap: func(c leader.Config) leader.Config { c.Workers = fixedToken{c.Workers}; return c },
			play: func(p *pool) {
				// The deposed leader is cut off from the store, but not from the worker that the next
				// one loses sight of, and would renew its lease until 11 s after its last write. As long
				// as its starts may be carried out, the next one waits for its leases anyway.
				p.longTasks(40 * time.Second)
				first := p.elect()
				time.Sleep(300 * time.Millisecond)
				p.submit(job(1, 1, step(1, 8)))
				time.Sleep(time.Second)
				p.log.SetVMFault(first.vm, &standin.LogFault{Silent: true})
				p.addWorker(1)
				var cut atomic.Bool
				p.wrap = func(c leader.Config) leader.Config {
					c.Workers = lostRenewals{fixedToken{c.Workers}, "w00", &cut}
					return c
				}
				p.elect()
				time.Sleep(3 * time.Second)
				cut.Store(true)
				time.Sleep(15 * time.Second)
			},
			rule: "TWICE",
		},
		"waiting for leases": {
			wrap: func(c leader.Config) leader.Config { c.Workers = extendedLeases{c.Workers}; return c },
			play: func(p *pool) {
				p.elect()
				p.submit(job(1, 1, step(4, 2)))
				time.Sleep(300 * time.Millisecond)
				p.fleet.SetHealth("w00", 20, false, false)
				p.addWorker(1)
				p.fleet.SetUnreachable("w00", true)
				time.Sleep(testLease + 3*time.Second)
			},
			rule: "TWICE",
		},
		"capacity": {
			wrap: func(c leader.Config) leader.Config { c.Registry = doubledCapacity{c.Registry}; return c },
			play: func(p *pool) {
				p.elect()
				p.submit(job(1, 1, step(40, 2)))
				time.Sleep(time.Second)
			},
			rule: "LIMIT",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			violations := run(t, 1, func(p *pool) {
				p.wrap = c.wrap
				c.play(p)
			})
			found := false
			for _, violation := range violations {
				found = found || strings.HasPrefix(violation, c.rule)
			}
			assert.Assert(t, found, "without the mechanism %s should be broken: %v", c.rule, violations)
		})
	}
}

// extendedLeases grants longer leases than the leader requested.
type extendedLeases struct{ leader.Workers }

func (e extendedLeases) Renew(ctx context.Context, id, address string, r fleet.Renewal) (fleet.RenewalAnswer, error) {
	if r.Deadline > 0 {
		r.Deadline += testLease.Milliseconds()
	}
	return e.Workers.Renew(ctx, id, address, r)
}

// doubledCapacity reports twice the accelerators that workers have.
type doubledCapacity struct{ leader.Registry }

func (d doubledCapacity) Workers(ctx context.Context) (fleet.Registry, error) {
	reg, err := d.Registry.Workers(ctx)
	for i := range reg.Workers {
		reg.Workers[i].Capacity.Accelerators *= 2
	}
	return reg, err
}

func (d doubledCapacity) WorkerChanges(ctx context.Context, _ int64) (fleet.Registry, error) {
	return d.Workers(ctx)
}
