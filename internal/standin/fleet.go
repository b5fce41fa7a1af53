package standin

import (
	"context"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"rhubarbshore/internal/fleet"
	"rhubarbshore/internal/scheduler"
)

// FleetConfig configures a Fleet.
type FleetConfig struct {
	Seed uint64
	// MaxLease caps the lease that a single start or renewal grants.
	MaxLease time.Duration
	// StopTime is the upper bound of a stop; a stopped run ends after half of it.
	StopTime time.Duration
	// GangWait is how long a gang member waits for the other members to start.
	GangWait time.Duration
	// RemotePenalty multiplies the run time of a task that runs outside its data's rack.
	RemotePenalty float64
	// CheckpointInterval is the amount of work between checkpoints.
	CheckpointInterval time.Duration
	// RestoreTime is how long a run takes to load a checkpoint.
	RestoreTime time.Duration
	// Latency is the round-trip time of registry calls and renewals; starts and stops
	// take half of it.
	Latency time.Duration
	// Work returns the work of a run, as its run time on a healthy worker in its
	// data's rack, and whether the run fails at its end.
	Work func(task string, run int) (time.Duration, bool)
	// Spec returns the step that a task belongs to, or nil for an unknown task.
	Spec func(task string) *scheduler.Step
}

// OrderFault injects faults into the leader's calls to workers.
type OrderFault struct {
	// LossRate is the probability that a call gets no answer. Half of the lost calls
	// are executed after the delay Late, the other half never.
	LossRate float64
	Late     time.Duration
}

// Fleet simulates the workers that the leader schedules: leases, fencing tokens,
// gangs, checkpoints, and reports of running and ended tasks. It records a
// violation whenever an order breaks one of the platform's rules.
type Fleet struct {
	cfg           FleetConfig
	mu            sync.Mutex
	rand          *rand.Rand
	created       time.Time
	machines      map[string]*machine
	removed       []string // workers that crashed for good
	fault         OrderFault
	unreachable   map[string]bool       // by worker
	unlistedUntil map[string]time.Time  // by worker, when its registry entry comes back
	lastRan       map[string]time.Time  // by task, when a run of it last ended
	running       map[string]*execution // newest running execution by task
	completed     map[string]bool       // tasks with a run that ended as done
	acked         map[string]bool       // completed tasks whose end the leader has acknowledged
	ackedFailures map[string]int        // failed runs of each task whose end the leader has acknowledged
	failures      map[string]int        // runs of each task that failed
	advancedAt    time.Time             // when due runs were last ended
	violations    []string
	starts        int
	gangTimeouts  []string // runs that ended because other members of their gang never started
	startCheck    func(task string) string
}

// machine is a worker from its start to its crash. A restart under the same ID
// creates a new machine.
type machine struct {
	worker     scheduler.Worker
	token      int64
	lease      time.Time             // when the lease expires
	lapsed     time.Time             // when a lease last expired that was granted again since
	runs       map[string]*execution // by task
	ends       []endRecord           // not yet acknowledged by the leader
	endCount   int64                 // number of the latest end
	endedRuns  map[string]int        // highest run of each task that was stopped or ended here
	slowdown   float64               // factor on run times; 1 is a healthy worker
	failing    bool                  // every run started here fails
	hung       bool                  // runs make no progress
	upAt       time.Time             // when the restart is over; until then the registry lists previous
	previous   scheduler.Worker
	startFault fleet.Verdict // answer to starts instead of carrying them out, unless Accepted
	clockStart time.Time     // zero of the worker's steady clock
}

type endRecord struct {
	scheduler.EndedTask
	at time.Time
}

// execution is one run of a task.
type execution struct {
	task         string
	run          int
	machine      *machine
	step         *scheduler.Step
	gang         string        // equal for all members of a gang run, empty without a gang
	work         time.Duration // run time on a healthy worker in the data's rack
	fail         bool          // fails at the end of its work
	restored     time.Duration // work that the checkpoint had saved
	started      time.Time
	workingSince time.Time // zero while the gang is incomplete
	stopAt       time.Time // zero unless a stop was ordered
}

// NewFleet returns a fleet without workers.
func NewFleet(cfg FleetConfig) *Fleet {
	return &Fleet{
		cfg: cfg, rand: rand.New(rand.NewPCG(cfg.Seed, 2)), created: time.Now(), machines: map[string]*machine{}, unreachable: map[string]bool{},
		unlistedUntil: map[string]time.Time{}, lastRan: map[string]time.Time{},
		running: map[string]*execution{}, completed: map[string]bool{}, acked: map[string]bool{}, ackedFailures: map[string]int{}, failures: map[string]int{},
	}
}

// Add registers a worker.
func (f *Fleet) Add(w scheduler.Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w.Incarnation = time.Now().UnixMilli()
	f.machines[w.ID] = &machine{worker: w, runs: map[string]*execution{}, endedRuns: map[string]int{}, slowdown: 1, clockStart: time.Now()}
}

// rebootTime is how long a worker can't be reached while it restarts.
const rebootTime = 300 * time.Millisecond

// Crash stops a worker and loses its runs. The other members of their gangs end, as the tasks of
// a gang work only together. With restart the worker comes back empty under the same ID.
func (f *Fleet) Crash(id string, restart bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machines[id]
	if m == nil {
		return
	}
	now := time.Now()
	f.advance(now)
	lost := slices.Collect(maps.Values(m.runs))
	for _, e := range lost {
		f.removeRun(e, now)
	}
	for _, e := range lost {
		f.breakGang(e, now)
	}
	delete(f.machines, id)
	if !restart {
		f.removed = append(f.removed, id)
		return
	}
	worker := m.worker
	worker.Incarnation, worker.Draining = max(time.Now().UnixMilli(), worker.Incarnation+1), false
	f.machines[id] = &machine{
		worker: worker, runs: map[string]*execution{}, endedRuns: map[string]int{}, slowdown: 1, clockStart: now,
		upAt: now.Add(rebootTime), previous: m.worker,
	}
}

// Remove crashes a worker for good and returns its entry, if it was there.
func (f *Fleet) Remove(id string) (scheduler.Worker, bool) {
	f.mu.Lock()
	m := f.machines[id]
	f.mu.Unlock()
	if m == nil {
		return scheduler.Worker{}, false
	}
	f.Crash(id, false)
	return m.worker, true
}

// Worker returns a worker as it registers itself.
func (f *Fleet) Worker(id string) scheduler.Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.machines[id]; m != nil {
		return m.worker
	}
	return scheduler.Worker{ID: id}
}

// SetDraining makes a worker report that it is draining.
func (f *Fleet) SetDraining(id string) {
	f.updateMachine(id, func(m *machine) { m.worker.Draining = true })
}

// SetStartFault makes a worker answer starts with a verdict and not carry them out. Accepted ends
// that.
func (f *Fleet) SetStartFault(id string, v fleet.Verdict) {
	f.updateMachine(id, func(m *machine) { m.startFault = v })
}

// SetUnlisted hides a worker's registry entry until the given time.
func (f *Fleet) SetUnlisted(id string, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unlistedUntil[id] = until
}

// SetHealth makes a worker slow (a slowdown of 1 is healthy), failing or hung.
func (f *Fleet) SetHealth(id string, slowdown float64, failing, hung bool) {
	f.updateMachine(id, func(m *machine) {
		f.advance(time.Now())
		m.slowdown, m.failing, m.hung = slowdown, failing, hung
	})
}

func (f *Fleet) updateMachine(id string, update func(m *machine)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.machines[id]; m != nil {
		update(m)
	}
}

// SetUnreachable makes a worker unreachable, or reachable again. Its runs continue.
func (f *Fleet) SetUnreachable(id string, unreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachable[id] = unreachable
}

// SetFault replaces the fault of the leader's calls to workers.
func (f *Fleet) SetFault(o OrderFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = o
}

// Violations lists the violations so far: the broken rule, the task and the cause.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.violations...)
}

// SetStartCheck sets a check that runs at each start and returns the rule that the start
// breaks, or an empty string. It runs under the fleet's lock.
func (f *Fleet) SetStartCheck(check func(task string) string) { f.startCheck = check }

// Starts counts the runs that were started.
func (f *Fleet) Starts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts
}

// Settle ends the runs that are due by now.
func (f *Fleet) Settle() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance(time.Now())
}

// GangTimeouts lists the runs that ended because other members of their gang did not
// start within GangWait.
func (f *Fleet) GangTimeouts() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.gangTimeouts...)
}

// UsedAccelerators returns the number of accelerators in use.
func (f *Fleet) UsedAccelerators() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := int64(0)
	for _, e := range f.running {
		n += e.step.Need.Accelerators
	}
	return n
}

func (f *Fleet) addViolation(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

// clockMS returns the worker's steady clock in milliseconds.
func (m *machine) clockMS(now time.Time) int64 { return now.Sub(m.clockStart).Milliseconds() + 1 }

// Workers implements leader.Registry. It lists all registered workers.
func (f *Fleet) Workers(ctx context.Context) (fleet.Registry, error) {
	if !sleep(ctx, f.cfg.Latency) {
		return fleet.Registry{}, fleet.ErrUnanswered
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	reg := fleet.Registry{Complete: true}
	now := time.Now()
	for id, m := range f.machines {
		if !now.Before(f.unlistedUntil[id]) {
			worker := m.worker
			if now.Before(m.upAt) {
				worker = m.previous
			}
			reg.Workers = append(reg.Workers, worker)
		}
	}
	sort.Slice(reg.Workers, func(i, k int) bool { return reg.Workers[i].ID < reg.Workers[k].ID })
	return reg, nil
}

// WorkerChanges implements leader.Registry. It lists all workers on every call.
func (f *Fleet) WorkerChanges(ctx context.Context, _ int64) (fleet.Registry, error) {
	return f.Workers(ctx)
}

// transmit simulates sending a call to a worker, with the faults in force. On
// ErrUnanswered, apply may still run later.
func (f *Fleet) transmit(ctx context.Context, id, address string, apply func()) (*machine, error) {
	if !sleep(ctx, f.cfg.Latency/2) {
		return nil, fleet.ErrUnanswered
	}
	f.mu.Lock()
	m, unreachable, fault := f.machines[id], f.unreachable[id], f.fault
	unreachable = unreachable || m != nil && time.Now().Before(m.upAt)
	if m == nil && !unreachable && f.answersAt(address) {
		f.mu.Unlock()
		return nil, nil //nolint:nilnil // another worker rejects the call
	}
	lost := fault.LossRate > 0 && f.rand.Float64() < fault.LossRate
	late := lost && f.rand.Float64() < 0.5
	f.mu.Unlock()
	if m == nil || unreachable || lost {
		if late && m != nil && !unreachable {
			f.applyLate(fault.Late, id, m, apply)
		}
		<-ctx.Done()
		return nil, fleet.ErrUnanswered
	}
	return m, nil
}

// applyLate carries out a call after a delay, unless its worker has restarted, which loses calls in flight.
func (f *Fleet) applyLate(delay time.Duration, id string, m *machine, apply func()) {
	time.AfterFunc(delay, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.machines[id] == m {
			f.advance(time.Now())
			apply()
		}
	})
}

// answersAt reports whether a worker answers at an address.
func (f *Fleet) answersAt(address string) bool {
	for id, m := range f.machines {
		if m.worker.Address == address && !f.unreachable[id] && !time.Now().Before(m.upAt) {
			return true
		}
	}
	return false
}

// Start implements leader.Workers.
func (f *Fleet) Start(ctx context.Context, o scheduler.Start, token, deadline int64) (fleet.OrderAnswer, error) {
	return f.deliver(ctx, o.Worker, o.Address, func() fleet.OrderAnswer { return f.start(o, token, deadline) })
}

// deliver transmits an order to a worker and applies it there.
func (f *Fleet) deliver(ctx context.Context, worker, address string, apply func() fleet.OrderAnswer) (fleet.OrderAnswer, error) {
	if _, err := f.transmit(ctx, worker, address, func() { apply() }); err != nil {
		return fleet.OrderAnswer{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance(time.Now())
	return apply(), nil
}

// start executes a start order on a worker.
func (f *Fleet) start(o scheduler.Start, token, deadline int64) fleet.OrderAnswer {
	now := time.Now()
	m := f.machines[o.Worker]
	if m == nil {
		return fleet.OrderAnswer{Verdict: fleet.WorkerRestarted}
	}
	a := fleet.OrderAnswer{Clock: m.clockMS(now)}
	switch {
	case token < m.token:
		a.Verdict = fleet.Fenced
	case deadline < a.Clock:
		a.Verdict = fleet.DeadlinePassed
	case m.runs[o.Task] != nil && m.runs[o.Task].run == o.Run:
		m.extend(now, deadline, f.cfg.MaxLease)
	case m.endedRuns[o.Task] >= o.Run:
		a.Verdict = fleet.RunEnded
	case m.startFault != fleet.Accepted:
		a.Verdict = m.startFault
	default:
		m.extend(now, deadline, f.cfg.MaxLease)
		f.startRun(now, m, o)
	}
	m.token = max(m.token, token)
	return a
}

// extend extends the lease to the deadline on the worker's steady clock, but by at most
// maxLease from now.
func (m *machine) extend(now time.Time, deadline int64, maxLease time.Duration) {
	if now.After(m.lease) {
		m.lapsed = m.lease
	}
	lease := time.Duration(deadline-m.clockMS(now)) * time.Millisecond
	if end := now.Add(min(lease, maxLease)); end.After(m.lease) {
		m.lease = end
	}
}

// startRun starts a run and records a violation if the start breaks a rule.
func (f *Fleet) startRun(now time.Time, m *machine, o scheduler.Start) {
	f.starts++
	step := f.cfg.Spec(o.Task)
	if step == nil {
		f.addViolation("UNASKED %s: the task was never submitted", o.Task)
		return
	}
	if other := f.running[o.Task]; other != nil {
		f.addViolation("TWICE %s run %d on %s while run %d is on %s", o.Task, o.Run, m.worker.ID, other.run, other.machine.worker.ID)
	}
	if f.acked[o.Task] {
		f.addViolation("TWICE %s run %d starts after its end was acknowledged", o.Task, o.Run)
	}
	if f.startCheck != nil {
		if problem := f.startCheck(o.Task); problem != "" {
			f.addViolation("%s: %s", problem, o.Task)
		}
	}
	work, fail := f.cfg.Work(o.Task, o.Run)
	e := &execution{task: o.Task, run: o.Run, machine: m, step: step, work: work, fail: fail || m.failing, started: now}
	if o.Checkpoint != "" {
		_, _ = fmt.Sscanf(o.Checkpoint, "%d", &e.restored)
	}
	if step.Gang {
		e.gang = fmt.Sprint(o.Task[:strings.LastIndexByte(o.Task, '.')], "/", o.Run)
	} else {
		e.workingSince = now
	}
	m.runs[o.Task] = e
	f.running[o.Task] = e
	f.checkCapacity(m, o.Task)
	f.startGang(now, e)
}

// checkCapacity records a violation if the worker's runs exceed its capacity.
func (f *Fleet) checkCapacity(m *machine, task string) {
	var used scheduler.Resources
	for _, e := range m.runs {
		used = used.Plus(e.step.Need)
	}
	if !m.worker.Capacity.Fits(used) {
		f.addViolation("LIMIT %s: %+v of %+v on %s", task, used, m.worker.Capacity, m.worker.ID)
	}
}

// startGang starts the work of a gang once all of its members have started.
func (f *Fleet) startGang(now time.Time, e *execution) {
	if e.gang == "" {
		return
	}
	members := f.members(e.gang)
	if len(members) < e.step.Count {
		return
	}
	for _, m := range members {
		m.workingSince = now
	}
}

// members returns the running members of a gang run, sorted by task.
func (f *Fleet) members(gang string) []*execution {
	var out []*execution
	for _, e := range f.running {
		if e.gang == gang {
			out = append(out, e)
		}
	}
	sort.Slice(out, func(i, k int) bool { return out[i].task < out[k].task })
	return out
}

// progress returns the work that a run has done by the given time.
func (f *Fleet) progress(e *execution, now time.Time) time.Duration {
	if e.workingSince.IsZero() || e.machine.hung {
		return e.restored
	}
	factor := e.machine.slowdown
	if e.step.Rack != "" && e.step.Rack != e.machine.worker.Rack {
		factor *= f.cfg.RemotePenalty
	}
	worked := now.Sub(e.workingSince)
	if e.restored > 0 {
		worked -= f.cfg.RestoreTime
	}
	return e.restored + time.Duration(float64(max(worked, 0))/factor)
}

// checkpoint returns the latest checkpoint of a run at the given time, or an empty
// string. A stopped run also saves the work since its last periodic checkpoint.
func (f *Fleet) checkpoint(e *execution, now time.Time, stopped bool) string {
	if !e.step.Checkpoints {
		return ""
	}
	d := f.progress(e, now)
	if !stopped {
		d -= d % f.cfg.CheckpointInterval
	}
	if d <= 0 {
		return ""
	}
	return fmt.Sprint(int64(d))
}

// advance ends the runs that are due by now.
func (f *Fleet) advance(now time.Time) {
	if now.Equal(f.advancedAt) {
		return
	}
	f.advancedAt = now
	tasks := make([]string, 0, len(f.running))
	for t := range f.running {
		tasks = append(tasks, t)
	}
	sort.Strings(tasks)
	for _, t := range tasks {
		if e := f.running[t]; e != nil {
			f.advanceRun(e, now)
		}
	}
}

// advanceRun ends a run if it is due.
func (f *Fleet) advanceRun(e *execution, now time.Time) {
	switch {
	case now.After(e.machine.lease):
		f.endRun(e, scheduler.Expired, now)
	case !e.stopAt.IsZero() && !now.Before(e.stopAt):
		f.endRun(e, scheduler.Stopped, now)
	case e.workingSince.IsZero() && now.Sub(e.started) > f.cfg.GangWait:
		f.gangTimeouts = append(f.gangTimeouts, fmt.Sprintf("%s run %d", e.task, e.run))
		f.endRun(e, scheduler.GangTimeout, now)
	case e.workingSince.IsZero():
		// A gang whose checkpoint covers all of its work begins with all members as well.
	case f.progress(e, now) >= e.work && e.fail:
		f.endRun(e, scheduler.Fault, now)
	case e.step.LongRunning:
	case f.progress(e, now) >= e.work:
		f.endRun(e, scheduler.Done, now)
	}
}

// endRun ends a run. The other members of its gang end with it, unless the run
// ended because its gang was incomplete.
func (f *Fleet) endRun(e *execution, cause scheduler.Cause, now time.Time) {
	members := []*execution{e}
	if e.gang != "" && cause != scheduler.GangTimeout {
		members = f.members(e.gang)
	}
	for _, m := range members {
		memberCause := cause
		if m != e && cause != scheduler.Done {
			memberCause = scheduler.GangAborted
		}
		switch memberCause {
		case scheduler.Done:
			f.completed[m.task] = true
		case scheduler.Fault:
			f.failures[m.task]++
		default:
		}
		checkpoint := f.checkpoint(m, now, cause == scheduler.Stopped)
		f.removeRun(m, now)
		host := m.machine
		host.endCount++
		host.endedRuns[m.task] = max(host.endedRuns[m.task], m.run)
		host.ends = append(host.ends, endRecord{scheduler.EndedTask{Number: host.endCount, Task: m.task, Run: m.run, Cause: memberCause, Checkpoint: checkpoint}, now})
	}
}

// breakGang ends the other members of a gang that has begun to work.
func (f *Fleet) breakGang(e *execution, now time.Time) {
	if e.gang == "" || e.workingSince.IsZero() {
		return
	}
	for _, m := range f.members(e.gang) {
		f.endRun(m, scheduler.GangAborted, now)
	}
}

// removeRun removes a run from its worker.
func (f *Fleet) removeRun(e *execution, now time.Time) {
	f.lastRan[e.task] = now
	delete(e.machine.runs, e.task)
	if f.running[e.task] == e {
		delete(f.running, e.task)
	}
}

// Stop implements leader.Workers.
func (f *Fleet) Stop(ctx context.Context, o scheduler.Stop, token int64) (fleet.OrderAnswer, error) {
	return f.deliver(ctx, o.Worker, o.Address, func() fleet.OrderAnswer { return f.stop(o, token) })
}

// stop executes a stop order on a worker.
func (f *Fleet) stop(o scheduler.Stop, token int64) fleet.OrderAnswer {
	now := time.Now()
	m := f.machines[o.Worker]
	if m == nil {
		return fleet.OrderAnswer{Verdict: fleet.WorkerRestarted}
	}
	a := fleet.OrderAnswer{Clock: m.clockMS(now)}
	if token < m.token {
		a.Verdict = fleet.Fenced
		return a
	}
	m.token = token
	m.endedRuns[o.Task] = max(m.endedRuns[o.Task], o.Run)
	if e := m.runs[o.Task]; e != nil && e.run <= o.Run && e.stopAt.IsZero() {
		e.stopAt = now.Add(f.cfg.StopTime / 2)
	}
	return a
}

// renewalPollInterval is how often a waiting renewal checks for ended runs.
const renewalPollInterval = 20 * time.Millisecond

// Renew implements leader.Workers.
func (f *Fleet) Renew(ctx context.Context, id, address string, r fleet.Renewal) (fleet.RenewalAnswer, error) {
	sent := time.Now()
	m, err := f.transmit(ctx, id, address, func() {})
	if err != nil {
		return fleet.RenewalAnswer{}, err
	}
	for first := true; ; first = false {
		f.mu.Lock()
		if f.machines[id] != m {
			f.mu.Unlock()
			return fleet.RenewalAnswer{}, fleet.ErrUnanswered // the worker restarted, which breaks the connection
		}
		answer, listed := f.renew(id, sent, r, first)
		f.mu.Unlock()
		if listed || time.Since(sent) >= r.Wait || answer.Verdict != fleet.Accepted {
			if !sleep(ctx, f.cfg.Latency/2) {
				return fleet.RenewalAnswer{}, fleet.ErrUnanswered
			}
			return answer, nil
		}
		if !sleep(ctx, renewalPollInterval) {
			return fleet.RenewalAnswer{}, fleet.ErrUnanswered
		}
	}
}

// renew returns the worker's report and whether it lists an ended run. The first
// time within a call it also extends the lease and acknowledges ends.
func (f *Fleet) renew(id string, sent time.Time, r fleet.Renewal, first bool) (fleet.RenewalAnswer, bool) {
	now := time.Now()
	f.advance(now)
	m := f.machines[id]
	if m == nil {
		return fleet.RenewalAnswer{Verdict: fleet.WorkerRestarted}, false
	}
	answer := fleet.RenewalAnswer{Clock: m.clockMS(now), LastEnded: r.ForgetUpTo}
	if r.Token < m.token {
		answer.Verdict = fleet.Fenced
		return answer, false
	}
	m.token = r.Token
	if first && r.Deadline > 0 {
		m.extend(now, r.Deadline, f.cfg.MaxLease)
	}
	if first {
		f.ackEnds(m, r.ForgetUpTo)
	}
	answer.Report = scheduler.Report{Worker: id, Incarnation: m.worker.Incarnation, Sent: sent, Full: true}
	for _, e := range m.runs {
		percent := 100 * float64(f.progress(e, now)) / float64(max(e.work, 1))
		answer.Report.Running = append(answer.Report.Running, scheduler.RunningTask{
			Task: e.task, Run: e.run, Checkpoint: f.checkpoint(e, now, false), Percent: min(float64(int(percent)), 100),
		})
	}
	for _, e := range m.ends {
		answer.Report.Ended = append(answer.Report.Ended, e.EndedTask)
		answer.LastEnded = max(answer.LastEnded, e.Number)
	}
	return answer, len(m.ends) > 0
}

// ackEnds drops the ends up to number seen. The leader has stored them, so from now
// on a completed task must not start again.
func (f *Fleet) ackEnds(m *machine, seen int64) {
	kept := m.ends[:0]
	for _, e := range m.ends {
		if e.Number > seen {
			kept = append(kept, e)
			continue
		}
		switch e.Cause {
		case scheduler.Done:
			if now := time.Now(); e.at.Before(m.lapsed) || now.After(m.lease) {
				continue // the lease expired before the end was acknowledged, so the task may run again
			}
			f.ackDone(e.Task)
		case scheduler.Fault:
			f.ackedFailures[e.Task]++
		default:
		}
	}
	m.ends = kept
}

// ackDone marks a task as acknowledged, and with it all members of its gang.
func (f *Fleet) ackDone(task string) {
	f.acked[task] = true
	if step := f.cfg.Spec(task); step != nil && step.Gang {
		prefix := task[:strings.LastIndexByte(task, '.')]
		for i := range step.Count {
			f.acked[fmt.Sprint(prefix, ".", i)] = true
		}
	}
}

// AckedFailures returns the number of failed runs of a task that the leader has
// acknowledged. Only the function given to SetStartCheck may call it: it takes no lock.
func (f *Fleet) AckedFailures(task string) int {
	return f.ackedFailures[task]
}

// Failures returns the number of runs of a task that failed, acknowledged or not.
func (f *Fleet) Failures(task string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance(time.Now())
	return f.failures[task]
}

// Finished reports whether a run of the task has ended as done.
func (f *Fleet) Finished(task string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance(time.Now())
	return f.completed[task]
}

// FinishedLocked is Finished for the function given to SetStartCheck: it takes no lock.
func (f *Fleet) FinishedLocked(task string) bool { return f.completed[task] }

// coresPerAccelerator is the number of cores that the users count an accelerator as.
const coresPerAccelerator = 8

// coreEquivalents returns an amount of resources in cores.
func coreEquivalents(r scheduler.Resources) float64 {
	return float64(r.CPU)/1000 + coresPerAccelerator*float64(r.Accelerators)
}

// Room is the free capacity of the workers that can be reached, as a task of a step sees it.
type Room struct {
	Fits      int     // how many such tasks fit
	Used      float64 // largest share in use of any kind of resource, over all workers
	UsedCores float64 // share in use of the core equivalents of all workers
}

// RoomFor returns the room for tasks of a step: its Need, Label and MaxPerWorker count.
func (f *Fleet) RoomFor(s *scheduler.Step) Room {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance(time.Now())
	var room Room
	var total, used scheduler.Resources
	for id, m := range f.machines {
		total = total.Plus(m.worker.Capacity)
		for _, e := range m.runs {
			used = used.Plus(e.step.Need)
		}
		if !f.unreachable[id] {
			room.Fits += m.roomFor(s)
		}
	}
	for _, d := range [...][2]int64{{used.CPU, total.CPU}, {used.Memory, total.Memory}, {used.Accelerators, total.Accelerators}} {
		if d[1] > 0 {
			room.Used = max(room.Used, float64(d[0])/float64(d[1]))
		}
	}
	if all := coreEquivalents(total); all > 0 {
		room.UsedCores = coreEquivalents(used) / all
	}
	return room
}

// roomFor returns how many more tasks of a step fit on the machine.
func (m *machine) roomFor(s *scheduler.Step) int {
	if m.worker.Draining || m.startFault != fleet.Accepted || s.Label != "" && !slices.Contains(m.worker.Labels, s.Label) || s.Need == (scheduler.Resources{}) {
		return 0
	}
	free, most := m.worker.Capacity, math.MaxInt
	if s.MaxPerWorker > 0 {
		most = s.MaxPerWorker
	}
	for _, e := range m.runs {
		free = free.Minus(e.step.Need)
		if e.step == s {
			most--
		}
	}
	n := 0
	for ; n < most && free.Fits(s.Need); n++ {
		free = free.Minus(s.Need)
	}
	return n
}

// LastRan returns when a run of the task last ended, or the zero time.
func (f *Fleet) LastRan(task string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastRan[task]
}

// Running reports whether a task has a run on a worker.
func (f *Fleet) Running(task string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running[task] != nil
}

// WorkerOf returns the worker that runs a task, or an empty string.
func (f *Fleet) WorkerOf(task string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e := f.running[task]; e != nil {
		return e.machine.worker.ID
	}
	return ""
}
