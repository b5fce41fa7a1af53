package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"rhubarbshore/internal/fleet"
	"rhubarbshore/internal/scheduler"
)

// FleetConfig constructs a Fleet.
type FleetConfig struct {
	Seed     uint64
	MaxLease time.Duration
	// StopTime is how long a stop takes at most.
	StopTime time.Duration
	// GangWait is how long a member waits for the others of its gang.
	GangWait time.Duration
	Penalty  float64
	SaveEach time.Duration
	Restore  time.Duration
	Latency  time.Duration
	// Work tells how long a task works on a sound worker near its data, and
	// whether the run fails at its end.
	Work func(task string, run int) (time.Duration, bool)
	// Spec tells the step that a task belongs to; nil for an unknown task.
	Spec func(task string) *scheduler.Step
}

// OrderFault describes how workers treat the leader's orders.
type OrderFault struct {
	// Lose is the share of orders that get no answer; half of them are carried
	// out Late, the other half never.
	Lose float64
	Late time.Duration
}

// Fleet is the stand-in of the workers: leases, fencing tokens, gangs,
// checkpoints, and lists of what runs and what has ended. It checks what it is
// told to do against the platform's rules.
type Fleet struct {
	cfg      FleetConfig
	mu       sync.Mutex
	rand     *rand.Rand
	epoch    time.Time
	machines map[string]*machine
	gone     []string // since the last listing
	fault    OrderFault
	cut      map[string]bool // workers that nobody reaches
	live     map[string]*execution
	ended    map[string]bool // tasks that have ended "done"
	noted    map[string]bool // those whose end was taken note of
	fails    map[string]int  // ends "failed" of a task or gang run that were taken note of
	failed   map[string]bool
	broken   []string
	starts   int
	alone    []string // runs that ended since the others of their gang did not come
	checked  func(task string) string
}

type machine struct {
	info  scheduler.Worker
	token int64
	lease time.Time
	runs  map[string]*execution // by task
	ends  []end
	count int64
	stops map[string]int // highest run of a task that was stopped or ended here
	slow  float64
	grey  bool // fails all it starts
	hung  bool // what it runs stands still
	clock time.Time
}

type end struct {
	scheduler.EndedTask
	at time.Time
}

type execution struct {
	task     string
	run      int
	machine  *machine
	step     *scheduler.Step
	gang     string
	need     time.Duration
	fail     bool
	from     time.Duration // work restored from a checkpoint
	begun    time.Time
	atWork   time.Time // zero while a gang is incomplete
	stopping time.Time
}

// NewFleet returns a fleet without workers.
func NewFleet(cfg FleetConfig) *Fleet {
	return &Fleet{
		cfg: cfg, rand: rand.New(rand.NewPCG(cfg.Seed, 2)), epoch: time.Now(), machines: map[string]*machine{}, cut: map[string]bool{},
		live: map[string]*execution{}, ended: map[string]bool{}, noted: map[string]bool{}, fails: map[string]int{}, failed: map[string]bool{},
	}
}

// Add registers a worker.
func (f *Fleet) Add(w scheduler.Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w.Born = time.Now().UnixMilli()
	f.machines[w.ID] = &machine{info: w, runs: map[string]*execution{}, stops: map[string]int{}, slow: 1, clock: time.Now()}
}

// Crash ends a worker's life; what ran there is lost. With again it starts anew
// under the same ID.
func (f *Fleet) Crash(id string, again bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machines[id]
	if m == nil {
		return
	}
	for _, e := range m.runs {
		f.leave(e, time.Now())
	}
	delete(f.machines, id)
	if !again {
		f.gone = append(f.gone, id)
		return
	}
	info := m.info
	info.Born = time.Now().UnixMilli()
	f.machines[id] = &machine{info: info, runs: map[string]*execution{}, stops: map[string]int{}, slow: 1, clock: time.Now()}
}

// SetDraining makes a worker report that it leaves.
func (f *Fleet) SetDraining(id string) { f.with(id, func(m *machine) { m.info.Draining = true }) }

// SetHealth makes a worker slow (1 is sound), failing or hung.
func (f *Fleet) SetHealth(id string, slow float64, grey, hung bool) {
	f.with(id, func(m *machine) {
		f.advance(time.Now())
		m.slow, m.grey, m.hung = slow, grey, hung
	})
}

func (f *Fleet) with(id string, change func(m *machine)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.machines[id]; m != nil {
		change(m)
	}
}

// Cut makes a worker unreachable, or reachable again. It runs on.
func (f *Fleet) Cut(id string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[id] = cut
}

// SetFault replaces how orders are treated.
func (f *Fleet) SetFault(o OrderFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = o
}

// Broken lists the rules that were broken, with the task and the cause.
func (f *Fleet) Broken() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.broken...)
}

// Check adds a check of starts: it returns what is wrong, or empty.
func (f *Fleet) Check(check func(task string) string) { f.checked = check }

// Starts counts the runs that began.
func (f *Fleet) Starts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts
}

// Settle ends the runs that have ended by now.
func (f *Fleet) Settle() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance(time.Now())
}

// Alone lists the runs that waited in vain for the others of their gang.
func (f *Fleet) Alone() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.alone...)
}

// Used sums the accelerators in use.
func (f *Fleet) Used() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := int64(0)
	for _, e := range f.live {
		n += e.step.Need.Accelerators
	}
	return n
}

func (f *Fleet) report(format string, args ...any) {
	f.broken = append(f.broken, fmt.Sprintf(format, args...))
}

// clockMS is the machine's steady clock in milliseconds.
func (m *machine) clockMS(now time.Time) int64 { return now.Sub(m.clock).Milliseconds() + 1 }

// Workers implements the leader's registry: all that are there.
func (f *Fleet) Workers(ctx context.Context) (fleet.Registry, error) {
	if !sleep(ctx, f.cfg.Latency) {
		return fleet.Registry{}, fleet.ErrUnanswered
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	reg := fleet.Registry{Whole: true}
	for _, m := range f.machines {
		reg.Workers = append(reg.Workers, m.info)
	}
	sort.Slice(reg.Workers, func(i, k int) bool { return reg.Workers[i].ID < reg.Workers[k].ID })
	return reg, nil
}

// MoreWorkers implements the leader's registry; it lists all each time.
func (f *Fleet) MoreWorkers(ctx context.Context, _ int64) (fleet.Registry, error) {
	return f.Workers(ctx)
}

// arrive plays the way of an order to a worker. It returns false if no answer
// comes; the order may be carried out later then.
func (f *Fleet) arrive(ctx context.Context, id string, carry func()) (*machine, error) {
	if !sleep(ctx, f.cfg.Latency/2) {
		return nil, fleet.ErrUnanswered
	}
	f.mu.Lock()
	m, cut, fault := f.machines[id], f.cut[id], f.fault
	lost := fault.Lose > 0 && f.rand.Float64() < fault.Lose
	late := lost && f.rand.Float64() < 0.5
	f.mu.Unlock()
	if m == nil || cut || lost {
		if late && m != nil && !cut {
			time.AfterFunc(fault.Late, func() {
				f.mu.Lock()
				defer f.mu.Unlock()
				if f.machines[id] == m { // an order dies with the life that received it
					f.advance(time.Now())
					carry()
				}
			})
		}
		<-ctx.Done()
		return nil, fleet.ErrUnanswered
	}
	return m, nil
}

// Start implements the leader's way to workers.
func (f *Fleet) Start(ctx context.Context, o scheduler.Start, token, deadline int64) (fleet.OrderAnswer, error) {
	return f.order(ctx, o.Worker, func() fleet.OrderAnswer { return f.start(o, token, deadline) })
}

// order carries an order out once it has arrived.
func (f *Fleet) order(ctx context.Context, worker string, carry func() fleet.OrderAnswer) (fleet.OrderAnswer, error) {
	if _, err := f.arrive(ctx, worker, func() { carry() }); err != nil {
		return fleet.OrderAnswer{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance(time.Now())
	return carry(), nil
}

func (f *Fleet) start(o scheduler.Start, token, deadline int64) fleet.OrderAnswer {
	now := time.Now()
	m := f.machines[o.Worker]
	if m == nil {
		return fleet.OrderAnswer{Verdict: fleet.OtherLife}
	}
	a := fleet.OrderAnswer{Clock: m.clockMS(now)}
	switch {
	case token < m.token:
		a.Verdict = fleet.Fenced
	case deadline < a.Clock:
		a.Verdict = fleet.Late
	case m.runs[o.Task] != nil && m.runs[o.Task].run == o.Run:
		m.extend(now, deadline, f.cfg.MaxLease)
	case m.stops[o.Task] >= o.Run:
		a.Verdict = fleet.Old
	default:
		m.extend(now, deadline, f.cfg.MaxLease)
		f.begin(now, m, o)
	}
	m.token = max(m.token, token)
	return a
}

func (m *machine) extend(now time.Time, deadline int64, most time.Duration) {
	lease := time.Duration(deadline-m.clockMS(now)) * time.Millisecond
	if until := now.Add(min(lease, most)); until.After(m.lease) {
		m.lease = until
	}
}

// begin starts a run and checks that it may.
func (f *Fleet) begin(now time.Time, m *machine, o scheduler.Start) {
	f.starts++
	step := f.cfg.Spec(o.Task)
	if step == nil {
		f.report("UNASKED %s: nobody submitted it", o.Task)
		return
	}
	if other := f.live[o.Task]; other != nil {
		f.report("TWICE %s run %d on %s while run %d is on %s", o.Task, o.Run, m.info.ID, other.run, other.machine.info.ID)
	}
	if f.noted[o.Task] {
		f.report("TWICE %s run %d starts after its end was taken note of", o.Task, o.Run)
	}
	if f.checked != nil {
		if wrong := f.checked(o.Task); wrong != "" {
			f.report("%s: %s", wrong, o.Task)
		}
	}
	need, fail := f.cfg.Work(o.Task, o.Run)
	e := &execution{task: o.Task, run: o.Run, machine: m, step: step, need: need, fail: fail || m.grey, begun: now}
	if o.Saved != "" {
		_, _ = fmt.Sscanf(o.Saved, "%d", &e.from)
	}
	if step.Gang {
		e.gang = fmt.Sprint(o.Task[:strings.LastIndexByte(o.Task, '.')], "/", o.Run)
	} else {
		e.atWork = now
	}
	m.runs[o.Task] = e
	f.live[o.Task] = e
	f.checkCapacity(m, o.Task)
	f.gather(now, e)
}

// checkCapacity reports a worker that was given more than it has.
func (f *Fleet) checkCapacity(m *machine, task string) {
	var used scheduler.Resources
	for _, e := range m.runs {
		used.CPU += e.step.Need.CPU
		used.Memory += e.step.Need.Memory
		used.Accelerators += e.step.Need.Accelerators
	}
	if !m.info.Capacity.Fits(used) {
		f.report("LIMIT %s: %+v of %+v on %s", task, used, m.info.Capacity, m.info.ID)
	}
}

// gather sets a gang to work once all of its members are there.
func (f *Fleet) gather(now time.Time, e *execution) {
	if e.gang == "" {
		return
	}
	members := f.members(e.gang)
	if len(members) < e.step.Count {
		return
	}
	for _, m := range members {
		m.atWork = now
	}
}

func (f *Fleet) members(gang string) []*execution {
	var out []*execution
	for _, e := range f.live {
		if e.gang == gang {
			out = append(out, e)
		}
	}
	sort.Slice(out, func(i, k int) bool { return out[i].task < out[k].task })
	return out
}

// done returns the work done by a time.
func (f *Fleet) done(e *execution, now time.Time) time.Duration {
	if e.atWork.IsZero() || e.machine.hung {
		return e.from
	}
	factor := e.machine.slow
	if e.step.Rack != "" && e.step.Rack != e.machine.info.Rack {
		factor *= f.cfg.Penalty
	}
	worked := now.Sub(e.atWork)
	if e.from > 0 {
		worked -= f.cfg.Restore
	}
	return e.from + time.Duration(float64(max(worked, 0))/factor)
}

// saved is the checkpoint that a run has made by a time.
func (f *Fleet) saved(e *execution, now time.Time, stopped bool) string {
	if !e.step.Checkpoints {
		return ""
	}
	d := f.done(e, now)
	if !stopped {
		d -= d % f.cfg.SaveEach
	}
	if d <= 0 {
		return ""
	}
	return fmt.Sprint(int64(d))
}

// advance ends what has ended by now.
func (f *Fleet) advance(now time.Time) {
	tasks := make([]string, 0, len(f.live))
	for t := range f.live {
		tasks = append(tasks, t)
	}
	sort.Strings(tasks)
	for _, t := range tasks {
		if e := f.live[t]; e != nil {
			f.check(e, now)
		}
	}
}

func (f *Fleet) check(e *execution, now time.Time) {
	switch {
	case now.After(e.machine.lease):
		f.finish(e, scheduler.Lapsed, now)
	case !e.stopping.IsZero() && !now.Before(e.stopping):
		f.finish(e, scheduler.Stopped, now)
	case e.atWork.IsZero() && now.Sub(e.begun) > f.cfg.GangWait:
		f.alone = append(f.alone, fmt.Sprintf("%s run %d", e.task, e.run))
		f.finish(e, scheduler.Alone, now)
	case f.done(e, now) >= e.need && e.fail:
		f.finish(e, scheduler.Fault, now)
	case f.done(e, now) >= e.need:
		f.finish(e, scheduler.Done, now)
	}
}

// finish ends a run, and with it its gang.
func (f *Fleet) finish(e *execution, cause scheduler.Cause, now time.Time) {
	members := []*execution{e}
	if e.gang != "" && cause != scheduler.Alone {
		members = f.members(e.gang)
	}
	for _, m := range members {
		c := cause
		if m != e && cause != scheduler.Done {
			c = scheduler.Broken
		}
		if c == scheduler.Done {
			f.ended[m.task] = true
		}
		saved := f.saved(m, now, cause == scheduler.Stopped)
		f.leave(m, now)
		host := m.machine
		host.count++
		host.stops[m.task] = max(host.stops[m.task], m.run)
		host.ends = append(host.ends, end{scheduler.EndedTask{Number: host.count, Task: m.task, Run: m.run, Cause: c, Saved: saved}, now})
	}
}

// leave takes a run off its worker.
func (f *Fleet) leave(e *execution, _ time.Time) {
	delete(e.machine.runs, e.task)
	if f.live[e.task] == e {
		delete(f.live, e.task)
	}
}

// Stop implements the leader's way to workers.
func (f *Fleet) Stop(ctx context.Context, o scheduler.Stop, token int64) (fleet.OrderAnswer, error) {
	return f.order(ctx, o.Worker, func() fleet.OrderAnswer { return f.stop(o, token) })
}

func (f *Fleet) stop(o scheduler.Stop, token int64) fleet.OrderAnswer {
	now := time.Now()
	m := f.machines[o.Worker]
	if m == nil {
		return fleet.OrderAnswer{Verdict: fleet.OtherLife}
	}
	a := fleet.OrderAnswer{Clock: m.clockMS(now)}
	if token < m.token {
		a.Verdict = fleet.Fenced
		return a
	}
	m.token = token
	m.stops[o.Task] = max(m.stops[o.Task], o.Run)
	if e := m.runs[o.Task]; e != nil && e.run <= o.Run && e.stopping.IsZero() {
		e.stopping = now.Add(f.cfg.StopTime / 2)
	}
	return a
}

// holdStep is how often a waiting renewal looks for ends.
const holdStep = 20 * time.Millisecond

// Hold implements the leader's way to workers.
func (f *Fleet) Hold(ctx context.Context, id, _ string, r fleet.Renewal) (fleet.Held, error) {
	sent := time.Now()
	m, err := f.arrive(ctx, id, func() {})
	if err != nil {
		return fleet.Held{}, err
	}
	for first := true; ; first = false {
		f.mu.Lock()
		if f.machines[id] != m {
			f.mu.Unlock()
			return fleet.Held{}, fleet.ErrUnanswered // the connection has broken
		}
		held, listed := f.hold(id, sent, r, first)
		f.mu.Unlock()
		if listed || time.Since(sent) >= r.Wait || held.Verdict != fleet.Taken {
			if !sleep(ctx, f.cfg.Latency/2) {
				return fleet.Held{}, fleet.ErrUnanswered
			}
			return held, nil
		}
		if !sleep(ctx, holdStep) {
			return fleet.Held{}, fleet.ErrUnanswered
		}
	}
}

// hold lists, and as the call arrives it renews and takes note of ends. It reports
// whether any end is listed.
func (f *Fleet) hold(id string, sent time.Time, r fleet.Renewal, arrives bool) (fleet.Held, bool) {
	now := time.Now()
	f.advance(now)
	m := f.machines[id]
	if m == nil {
		return fleet.Held{Verdict: fleet.OtherLife}, false
	}
	h := fleet.Held{Clock: m.clockMS(now), Last: r.Seen}
	if r.Token < m.token {
		h.Verdict = fleet.Fenced
		return h, false
	}
	m.token = r.Token
	if arrives && r.Deadline > 0 {
		m.extend(now, r.Deadline, f.cfg.MaxLease)
	}
	if arrives {
		f.note(m, r.Seen)
	}
	h.Report = scheduler.Report{Worker: id, Born: m.info.Born, Sent: sent, Full: true}
	for _, e := range m.runs {
		percent := 100 * float64(f.done(e, now)) / float64(max(e.need, 1))
		h.Report.Running = append(h.Report.Running, scheduler.RunningTask{
			Task: e.task, Run: e.run, Saved: f.saved(e, now, false), Percent: min(float64(int(percent)), 100),
		})
	}
	for _, e := range m.ends {
		h.Report.Ended = append(h.Report.Ended, e.EndedTask)
		h.Last = max(h.Last, e.Number)
	}
	return h, len(m.ends) > 0
}

// note forgets ends up to seen; they stand for good now.
func (f *Fleet) note(m *machine, seen int64) {
	kept := m.ends[:0]
	for _, e := range m.ends {
		if e.Number > seen {
			kept = append(kept, e)
			continue
		}
		switch e.Cause {
		case scheduler.Done:
			f.noteDone(e.Task)
		case scheduler.Fault:
			f.fails[e.Task]++
		default:
		}
	}
	m.ends = kept
}

func (f *Fleet) noteDone(task string) {
	f.noted[task] = true
	if step := f.cfg.Spec(task); step != nil && step.Gang {
		prefix := task[:strings.LastIndexByte(task, '.')]
		for i := range step.Count {
			f.noted[fmt.Sprint(prefix, ".", i)] = true
		}
	}
}

// Fails counts the failed runs of a task that were taken note of.
func (f *Fleet) Fails(task string) int {
	// The caller is a check that runs under the lock.
	return f.fails[task]
}

// Finished reports whether a run of the task has ended done.
func (f *Fleet) Finished(task string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance(time.Now())
	return f.ended[task]
}

// EndedDone reports whether a run of the task has ended done. It is for checks.
func (f *Fleet) EndedDone(task string) bool { return f.ended[task] }
