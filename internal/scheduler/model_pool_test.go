package scheduler_test

import (
	"fmt"
	"log/slog"
	"maps"
	"math"
	"os"
	"slices"
	"strings"
	"time"

	"rhubarbshore/internal/scheduler"
)

const (
	modelStep       = 100 * time.Millisecond
	modelLease      = 6 * time.Second
	modelLeaseSlack = 500 * time.Millisecond // between the end of a lease and when the leader counts it as over
	modelStopTime   = 300 * time.Millisecond
	modelGangWait   = 3 * time.Second
	modelRestore    = 300 * time.Millisecond
	modelCheckpoint = 500 * time.Millisecond // work between two checkpoints
	modelPenalty    = 3                      // factor on the run time away from the rack
	modelAttempts   = 3
	reportInterval  = 500 * time.Millisecond
	answerTimeout   = time.Second // of a start
	rebirthTime     = 300 * time.Millisecond
)

// modelWorker is a worker of the model, from its birth to its loss. Another life under its ID is a
// new modelWorker.
type modelWorker struct {
	info         scheduler.Worker
	kind         int
	runs         map[string]*modelRun // by task
	ends         []scheduler.EndedTask
	endCount     int64
	endedRuns    map[string]int // highest run of each task that was stopped or ended here
	lease        time.Time      // when it expires
	slow         float64        // factor on run times
	hung         bool           // runs make no progress
	silent       bool           // carries out starts, but answers nothing
	lost         bool
	upAt         time.Time // when the restart is over
	goneAt       time.Time // when a draining worker is lost, zero if it stays
	reportAt     time.Time // when the next report is due
	storedEnds   int64     // the leader has stored the ends up to this one
	reported     int64     // the leader has read the ends up to this one
	granted      time.Time // until when the leader counts a lease
	unlistAt     time.Time // when a lost worker leaves the registry
	unlisted     bool
	toldDraining bool // the leader knows that it drains
	replacement  bool // a worker was added in place of it
}

type modelRun struct {
	start     scheduler.Start
	job       *modelJob
	step      *scheduler.Step
	worker    *modelWorker
	gang      string
	working   bool // all members of its gang run
	began     time.Time
	done      time.Duration // work done
	restoring time.Duration
	stopAt    time.Time
}

type modelJob struct {
	spec      scheduler.Job
	work      []time.Duration // of a task, by step
	fails     bool            // all runs fail
	cancelled bool            // a cancel is stored
	asked     bool            // its customer wants it cancelled
	state     scheduler.State // the stored outcome
	lastRan   time.Time
}

type sentStart struct {
	scheduler.Start
	deliverAt, answerAt time.Time
	sentTo              *modelWorker
	delivered           bool
	result              scheduler.StartResult
}

// model plays the workers, the store and the leaders of one history in virtual time. The store is
// the records, the workers' leases are as the leader grants them, and no call is answered before
// the next step.
type model struct {
	core        *scheduler.Core
	now         time.Time
	workers     []*modelWorker // as they were born
	byID        map[string]*modelWorker
	jobs        []*modelJob // as they were submitted
	byJob       map[string]*modelJob
	running     map[string]*modelRun // by task
	lastRan     map[string]time.Time // by task
	records     map[string][]byte
	finished    map[string]bool // tasks that are stored as done
	starts      []*sentStart
	storeFails  bool // appends fail, until the next leader
	troubleAt   time.Time
	violations  []string
	played      int             // starts that were carried out
	readDone    map[string]bool // tasks whose end as done the leader has read and not stored yet
	trace       func(format string, args ...any)
	failedSince map[string]time.Time // since when a job or a lasting task stalls
	births      int64
}

func newModel() *model {
	m := &model{
		now: time.Unix(1_800_000_000, 0), byID: map[string]*modelWorker{}, byJob: map[string]*modelJob{}, running: map[string]*modelRun{},
		lastRan: map[string]time.Time{}, records: map[string][]byte{}, finished: map[string]bool{}, readDone: map[string]bool{},
		failedSince: map[string]time.Time{}, trace: func(string, ...any) {},
	}
	m.troubleAt = m.now
	m.core = m.newCore()
	return m
}

func (m *model) newCore() *scheduler.Core {
	logger := slog.New(slog.DiscardHandler)
	if *traceModel {
		logger = slog.New(slog.NewTextHandler(os.Stdout, nil))
	}
	c := scheduler.New(scheduler.Config{
		Logger: logger, MaxLease: modelLease, RemotePenalty: modelPenalty, KeepEnded: time.Hour, ReportTimeout: 5 * time.Second,
		RestoreTime: modelRestore, CheckpointInterval: modelCheckpoint, StopTime: modelStopTime, GangWait: modelGangWait,
	})
	c.SetPolicy(scheduler.Policy{Guarantees: map[string]int64{"c0": 16}})
	return c
}

func (m *model) broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	m.trace("BROKEN %s", text)
	if *traceModel && len(m.violations) == 0 {
		m.describe()
	}
	m.violations = append(m.violations, text)
}

// up reports whether the worker runs, whether it answers or not.
func (m *model) up(w *modelWorker) bool { return !w.lost && !m.now.Before(w.upAt) }

// addWorker adds a worker, or another life of the worker with the ID.
func (m *model) addWorker(info scheduler.Worker, kind int) *modelWorker {
	m.births++
	info.Incarnation = m.now.UnixMilli()*1000 + m.births
	w := &modelWorker{info: info, kind: kind, runs: map[string]*modelRun{}, endedRuns: map[string]int{}, slow: 1, upAt: m.now, reportAt: m.now}
	if old := m.byID[info.ID]; old != nil {
		w.granted = old.granted
	}
	m.workers = append(m.workers, w)
	m.byID[info.ID] = w
	m.core.UpdateWorker(m.now, info)
	m.trace("worker %s is born: %+v", info.ID, info)
	return w
}

// lose loses a worker and its runs for good.
func (m *model) lose(w *modelWorker) {
	if w.lost {
		return
	}
	m.trace("worker %s is lost", w.info.ID)
	w.lost = true
	for _, task := range slices.Sorted(maps.Keys(w.runs)) {
		if r := w.runs[task]; r != nil {
			m.endRun(r, scheduler.Vanished)
		}
	}
	w.runs, w.ends = map[string]*modelRun{}, nil
}

// members returns the runs of a run's gang, sorted by task.
func (m *model) members(r *modelRun) []*modelRun {
	if r.gang == "" {
		return []*modelRun{r}
	}
	var out []*modelRun
	prefix := r.start.Task[:strings.LastIndexByte(r.start.Task, '.')]
	for i := range r.step.Count {
		if o := m.running[fmt.Sprint(prefix, ".", i)]; o != nil && o.gang == r.gang {
			out = append(out, o)
		}
	}
	return out
}

// endRun ends a run, and with it the other members of its gang unless that never became whole.
func (m *model) endRun(r *modelRun, cause scheduler.Cause) {
	members := []*modelRun{r}
	if cause != scheduler.GangTimeout {
		members = m.members(r)
	}
	for _, o := range members {
		own := cause
		if o != r && cause != scheduler.Done {
			own = scheduler.GangAborted
		}
		m.trace("%s run %d ends on %s: %s", o.start.Task, o.start.Run, o.worker.info.ID, own)
		m.removeRun(o)
		w := o.worker
		if w.lost {
			continue
		}
		w.endCount++
		w.endedRuns[o.start.Task] = max(w.endedRuns[o.start.Task], o.start.Run)
		saved := ""
		if o.step.Checkpoints {
			saved = o.checkpoint(cause == scheduler.Stopped)
		}
		w.ends = append(w.ends, scheduler.EndedTask{Number: w.endCount, Task: o.start.Task, Run: o.start.Run, Cause: own, Checkpoint: saved})
	}
}

func (m *model) removeRun(r *modelRun) {
	delete(r.worker.runs, r.start.Task)
	if m.running[r.start.Task] == r {
		delete(m.running, r.start.Task)
	}
	m.lastRan[r.start.Task], r.job.lastRan = m.now, m.now
}

func (r *modelRun) checkpoint(exact bool) string {
	done := r.done
	if !exact {
		done -= done % modelCheckpoint
	}
	if !r.step.Checkpoints || done <= 0 {
		return ""
	}
	return fmt.Sprint(int64(done))
}

// advance does the work of one step on all workers.
func (m *model) advance() {
	for _, w := range m.workers {
		if !m.up(w) {
			continue
		}
		if !w.goneAt.IsZero() && !m.now.Before(w.goneAt) {
			m.lose(w)
			continue
		}
		for _, task := range slices.Sorted(maps.Keys(w.runs)) {
			if r := w.runs[task]; r != nil {
				m.advanceRun(w, r)
			}
		}
	}
}

func (m *model) advanceRun(w *modelWorker, r *modelRun) {
	work := r.job.work[stepIndex(r.start.Task)]
	switch {
	case m.now.After(w.lease):
		m.endRun(r, scheduler.Expired)
		return
	case !r.stopAt.IsZero() && !m.now.Before(r.stopAt):
		m.endRun(r, scheduler.Stopped)
		return
	case !r.working && m.now.Sub(r.began) > modelGangWait:
		m.endRun(r, scheduler.GangTimeout)
		return
	case !r.working || w.hung:
		return
	case r.restoring > 0:
		r.restoring -= modelStep
		return
	}
	factor := w.slow
	if r.step.Rack != "" && r.step.Rack != w.info.Rack {
		factor *= modelPenalty
	} else if r.step.Tight && m.spansRacks(r) {
		factor *= modelPenalty
	}
	r.done += time.Duration(float64(modelStep) / factor)
	switch {
	case r.done < work:
	case r.job.fails:
		m.endRun(r, scheduler.Fault)
	case !r.step.LongRunning:
		m.endRun(r, scheduler.Done)
	}
}

func (m *model) spansRacks(r *modelRun) bool {
	return slices.ContainsFunc(m.members(r), func(o *modelRun) bool { return o.worker.info.Rack != r.worker.info.Rack })
}

// carryOut carries out a start and returns the worker's answer.
func (m *model) carryOut(s *sentStart) scheduler.StartResult {
	w := s.sentTo
	switch {
	case w.runs[s.Task] != nil && w.runs[s.Task].start.Run == s.Run:
		return scheduler.Accepted
	case w.endedRuns[s.Task] >= s.Run:
		return scheduler.RejectedOutdated
	}
	j := m.byJob[jobID(s.Task)]
	r := &modelRun{start: s.Start, job: j, step: &j.spec.Steps[stepIndex(s.Task)], worker: w, began: m.now, working: true}
	m.checkStart(r)
	m.played++
	m.trace("%s run %d starts on %s", s.Task, s.Run, w.info.ID)
	if s.Checkpoint != "" {
		var saved int64
		_, _ = fmt.Sscan(s.Checkpoint, &saved)
		r.done, r.restoring = time.Duration(saved), modelRestore
	}
	w.runs[s.Task], m.running[s.Task] = r, r
	if r.step.Gang {
		r.gang, r.working = fmt.Sprint(s.Run), false
		if members := m.members(r); len(members) == r.step.Count {
			for _, o := range members {
				o.working = true
			}
		}
	}
	return scheduler.Accepted
}

// report applies the report of a worker.
func (m *model) report(w *modelWorker) {
	w.ends = slices.DeleteFunc(w.ends, func(e scheduler.EndedTask) bool { return e.Number <= w.storedEnds })
	rep := scheduler.Report{Worker: w.info.ID, Incarnation: w.info.Incarnation, Sent: m.now, Full: true, Ended: slices.Clone(w.ends)}
	for _, task := range slices.Sorted(maps.Keys(w.runs)) {
		r := w.runs[task]
		percent := 100 * float64(r.done) / float64(max(r.job.work[stepIndex(task)], 1))
		rep.Running = append(rep.Running, scheduler.RunningTask{Task: task, Run: r.start.Run, Checkpoint: r.checkpoint(false), Percent: min(math.Floor(percent), 100)})
	}
	for _, e := range w.ends {
		w.reported = e.Number
		if e.Cause == scheduler.Done && m.core.HasRun(w.info.ID, e.Task, e.Run) {
			m.readDone[e.Task] = true
		}
	}
	m.core.Report(m.now, rep)
	w.lease, w.granted, w.reportAt = m.now.Add(modelLease), m.now.Add(modelLease+modelLeaseSlack), m.now.Add(reportInterval)
}

func jobID(task string) string { return task[:strings.IndexByte(task, '.')] }

// stepIndex returns the index of the step of a task in the only occurrence of its job.
func stepIndex(task string) int {
	parts := strings.Split(task, ".")
	n := 0
	_, _ = fmt.Sscan(parts[2], &n)
	return n
}
