package scheduler

import (
	"encoding/json"
	"log/slog"
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

// ErrUnknown is returned for a job that was never accepted or is forgotten.
var ErrUnknown = errorx.NewType(errorx.NewNamespace("scheduler"), "unknown").New("no such job")

type phase int

const (
	waiting phase = iota
	placed
	done
)

// task is one task of a step in one occurrence.
type task struct {
	step        *step
	index       int
	name        string
	phase       phase
	run         int // number of the last start
	failures    int
	checkpoint  string // newest checkpoint known
	activeRun   *run
	reservation *reservation
	// avoidWorker is the worker where the last run did badly.
	avoidWorker  string
	waitingSince time.Time // when it began to wait
}

// run is one start of a task, counted against its worker until it has surely ended.
type run struct {
	task           *task // nil if the task is unknown here
	name           string
	number         int
	worker         *worker
	demand         Resources
	confirmedAt    time.Time // when the worker last confirmed an order about it
	runningSince   time.Time // when it was first listed as running
	initialPercent float64   // percent at that time
	percent        float64
	reportedAt     time.Time // when percent was last reported
	progressAt     time.Time // when percent last rose
	checkpoint     string
	stopOrderedAt  time.Time // when its stop was ordered
	stopReason     string    // why it was stopped
	unknownDemand  bool      // it isn't known what it takes: its job is over or unknown
}

type step struct {
	occ              *occurrence
	spec             *Step
	index            int
	tasks            []*task
	done             int
	chosenRack       string    // where a tight step has begun
	lastFailedRun    int       // newest run of a gang that was counted as failed
	firstConfirmedAt time.Time // when the first member of a gang's newest run was confirmed
	readySince       time.Time // when its turn came
	// headroomLogged: it has left free capacity to urgent work, and was logged.
	headroomLogged bool
	freeLimit      int64 // workers with so many free accelerators are left to urgent work, if not 0
}

type occurrence struct {
	job     *job
	number  int
	due     time.Time
	steps   []*step
	done    int
	started bool
}

type job struct {
	spec     Job
	queue    Queue
	state    State
	occs     []*occurrence
	done     int
	started  bool
	restored bool
	deadline time.Time // of full credit
	accepted time.Time
	ended    time.Time
	work     float64 // core-seconds declared
	estimate time.Duration
	rank     int
	level    int
}

// Config holds the figures of the deployment.
type Config struct {
	Logger *slog.Logger
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// Penalty is how many times as long a task takes away from its rack.
	Penalty float64
	// KeepEnded is how long the outcome of a job is kept.
	KeepEnded time.Duration
	// Silence is how long a worker may go without a report before it gets no new work.
	Silence time.Duration
	// Restore is the time a start from a checkpoint takes before it works on.
	Restore time.Duration
	// StopTime is how long a stop takes at most.
	StopTime time.Duration
	// GangWait is how long a worker lets a member of a gang wait for the others.
	GangWait time.Duration
	// SaveEvery is the work between two checkpoints.
	SaveEvery time.Duration
}

// Core is the state of the pool and its queue. One goroutine owns it.
type Core struct {
	cfg           Config
	jobs          map[string]*job
	active        []*job
	workers       map[string]*worker
	sortedWorkers []*worker // by ID
	queues        map[string]Queue
	guaranteed    map[string]int64
	restored      map[string][]storedTask // tasks whose job isn't known yet, by job
	effects       Effects
	runTimes      map[string]*runTimeStats
	index         *index
	urgentDemand  map[string]*demandRate // arriving work of priority 0, by service
	evaluations   int64                  // workers looked at to place tasks
	changed       bool                   // since the last round of scheduling
}

type storedTask struct {
	name  string
	value taskRecord
}

// taskRecord is the stored state of a task. Worker is set while its run may be
// there.
type taskRecord struct {
	Run        int    `json:"run"`
	Failures   int    `json:"fails,omitempty"`
	Worker     string `json:"worker,omitempty"`
	Checkpoint string `json:"saved,omitempty"`
	Done       bool   `json:"done,omitempty"`
}

// jobRecord is the stored outcome of a job.
type jobRecord struct {
	State    State  `json:"state"`
	Ended    int64  `json:"ended"` // Unix milliseconds
	Customer string `json:"customer,omitempty"`
}

// New returns a core that knows nothing.
func New(cfg Config) *Core {
	return &Core{
		cfg: cfg, jobs: map[string]*job{}, workers: map[string]*worker{}, queues: map[string]Queue{},
		guaranteed: map[string]int64{}, index: newIndex(), urgentDemand: map[string]*demandRate{}, restored: map[string][]storedTask{}, runTimes: map[string]*runTimeStats{},
	}
}

// Restore takes in a record that an earlier leader stored. All records must
// come before the first job.
func (c *Core) Restore(now time.Time, key string, value []byte) error {
	if !strings.Contains(key, ".") {
		var rec jobRecord
		if err := json.Unmarshal(value, &rec); err != nil {
			return errorx.Decorate(err, "stored job %s", key)
		}
		c.jobs[key] = &job{spec: Job{ID: key, Customer: rec.Customer}, state: rec.State, ended: now, restored: true}
		c.effects.Changed = append(c.effects.Changed, key)
		return nil
	}
	id, _, ok := parseTaskName(key)
	var rec taskRecord
	if err := json.Unmarshal(value, &rec); err != nil || !ok {
		return errorx.IllegalFormat.New("stored task %q: %v", key, err)
	}
	c.restored[id] = append(c.restored[id], storedTask{key, rec})
	return nil
}

// SetPolicy replaces the policy of all queues and the customers' guarantees.
func (c *Core) SetPolicy(queues map[string]Queue, guaranteed map[string]int64) {
	c.changed = true
	c.queues, c.guaranteed = queues, guaranteed
	for _, j := range c.active {
		if q, ok := queues[j.spec.Queue.Name]; ok {
			j.queue = q
		}
	}
}

// AddJob takes in an accepted job. A job that is known already is left as it is.
func (c *Core) AddJob(now time.Time, spec Job) {
	if j, known := c.jobs[spec.ID]; known {
		if j.state.Final() {
			c.effects.Forget = append(c.effects.Forget, spec.ID)
		}
		return
	}
	c.changed = true
	j := &job{spec: spec, queue: spec.Queue, state: Queued, accepted: time.UnixMilli(spec.Accepted)}
	if q, ok := c.queues[spec.Queue.Name]; ok {
		j.queue = q
	}
	occurrences := max(spec.Repeat, 1)
	for k := range occurrences {
		j.occs = append(j.occs, newOccurrence(j, k))
	}
	j.estimate = c.longestChain(&j.spec)
	for i := range spec.Steps {
		j.work += float64(spec.Steps[i].Count) * spec.Steps[i].Need.coreEquivalents() * spec.Steps[i].Estimate.Seconds()
	}
	j.deadline = j.accepted.Add(time.Duration(j.queue.Stretch*float64(j.estimate)) + j.queue.Target)
	c.jobs[spec.ID] = j
	c.active = append(c.active, j)
	for _, t := range c.restored[spec.ID] {
		c.restoreTask(now, j, t)
	}
	delete(c.restored, spec.ID)
	if j.queue.Priority == 0 {
		c.recordUrgentArrival(now, j)
	}
	c.effects.Changed = append(c.effects.Changed, spec.ID)
	c.cfg.Logger.Info("job taken in", "job", spec.ID, "queue", j.queue.Name, "priority", j.queue.Priority,
		"customer", spec.Customer, "tasks", j.taskCount(), "steps", len(spec.Steps), "repeat", spec.Repeat)
}

func newOccurrence(j *job, number int) *occurrence {
	o := &occurrence{job: j, number: number, due: j.accepted}
	if j.spec.Repeat > 0 {
		o.due = time.UnixMilli(j.spec.First).Add(time.Duration(number) * j.spec.Interval)
	}
	for i := range j.spec.Steps {
		s := &step{occ: o, spec: &j.spec.Steps[i], index: i}
		for n := range s.spec.Count {
			s.tasks = append(s.tasks, &task{step: s, index: n, name: taskName(j.spec.ID, number, i, n)})
		}
		o.steps = append(o.steps, s)
	}
	return o
}

func (j *job) taskCount() int {
	n := 0
	for i := range j.spec.Steps {
		n += j.spec.Steps[i].Count
	}
	return n
}

// longestChain is the declared run time of the longest chain of steps.
func (c *Core) longestChain(spec *Job) time.Duration {
	ends := make([]time.Duration, len(spec.Steps))
	var longest time.Duration
	for i := range spec.Steps {
		for _, before := range spec.Steps[i].After {
			if before < i {
				ends[i] = max(ends[i], ends[before])
			}
		}
		ends[i] += spec.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

func (c *Core) restoreTask(now time.Time, j *job, st storedTask) {
	t := c.findTask(st.name)
	if t == nil {
		c.cfg.Logger.Warn("stored task of no step", "task", st.name)
		return
	}
	t.run, t.failures, t.checkpoint = st.value.Run, st.value.Failures, st.value.Checkpoint
	j.started = true
	j.state = Running
	t.step.occ.started = true
	switch {
	case st.value.Done:
		c.markDone(t)
	case st.value.Worker != "":
		w := c.worker(st.value.Worker)
		t.phase = placed
		t.activeRun = &run{task: t, name: t.name, number: t.run, worker: w, demand: t.step.spec.demand(), confirmedAt: now, progressAt: now}
		w.addRun(t.activeRun)
	case t.failures > 0:
		t.step.lastFailedRun = max(t.step.lastFailedRun, t.run)
	}
}

// findTask returns the task with the name, or nil.
func (c *Core) findTask(name string) *task {
	id, indices, ok := parseTaskName(name)
	if !ok {
		return nil
	}
	j := c.jobs[id]
	if j == nil || indices[0] >= len(j.occs) || indices[1] >= len(j.spec.Steps) {
		return nil
	}
	s := j.occs[indices[0]].steps[indices[1]]
	if indices[2] >= len(s.tasks) {
		return nil
	}
	return s.tasks[indices[2]]
}

// markDone notes that a task is done, and what that completes.
func (c *Core) markDone(t *task) {
	if t.phase == done {
		return
	}
	t.phase = done
	s := t.step
	s.done++
	if s.done < len(s.tasks) {
		return
	}
	o := s.occ
	o.done++
	if o.done < len(o.steps) {
		return
	}
	o.job.done++
}

// findJob finds a job for a customer; other customers' jobs are unknown to it. A call
// without a customer needed no key.
func (c *Core) findJob(id, customer string) (*job, error) {
	j := c.jobs[id]
	if j == nil || !MaySee(customer, j.spec.Customer) {
		return nil, ErrUnknown
	}
	return j, nil
}

// MaySee reports whether a customer may see a job of an owner. Either is empty if its
// call needed no key.
func MaySee(customer, owner string) bool { return customer == "" || owner == "" || customer == owner }

// Cancel ends a job on its customer's request. It returns the state that the
// job has then.
func (c *Core) Cancel(now time.Time, id, customer string) (State, error) {
	j, err := c.findJob(id, customer)
	if err != nil {
		return "", err
	}
	if !j.state.Final() {
		c.endJob(now, j, Cancelled, "cancelled by its customer")
	}
	return j.state, nil
}

// JobState returns the state of a customer's job.
func (c *Core) JobState(id, customer string) (State, error) {
	j, err := c.findJob(id, customer)
	if err != nil {
		return "", err
	}
	return j.state, nil
}

// Owner returns a job's state and customer, and whether it is known.
func (c *Core) Owner(id string) (State, string, bool) {
	j := c.jobs[id]
	if j == nil {
		return "", "", false
	}
	return j.state, j.spec.Customer, true
}

// Waiting counts the jobs of each queue of which no task has started.
func (c *Core) Waiting() map[string]int {
	n := map[string]int{}
	for _, j := range c.active {
		if !j.started {
			n[j.queue.Name]++
		}
	}
	return n
}

// endJob brings a job to its final state, and stops what still runs.
func (c *Core) endJob(now time.Time, j *job, state State, why string) {
	c.changed = true
	j.state, j.ended = state, now
	c.storeRecord(j.spec.ID, jobRecord{State: state, Ended: now.UnixMilli(), Customer: j.spec.Customer})
	for _, o := range j.occs {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				t.dropReservation()
				if t.run > 0 {
					c.effects.Records = append(c.effects.Records, Record{Key: t.name})
				}
				if t.activeRun != nil && state != Completed { // a gang's members end together
					c.stopRun(now, t.activeRun, why)
				}
			}
		}
	}
	c.effects.Forget = append(c.effects.Forget, j.spec.ID)
	c.effects.Changed = append(c.effects.Changed, j.spec.ID)
	c.cfg.Logger.Info("job ended", "job", j.spec.ID, "state", string(state), "why", why,
		"age_ms", now.Sub(j.accepted).Milliseconds(), "objective_ms", j.deadline.Sub(j.accepted).Milliseconds())
}

// storeRecord records the value of a key.
func (c *Core) storeRecord(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		// Only plain structs of this package come here.
		panic(err)
	}
	c.effects.Records = append(c.effects.Records, Record{Key: key, Value: data})
}

// storeTask stores a task's state.
func (c *Core) storeTask(t *task) {
	rec := taskRecord{Run: t.run, Failures: t.failures, Checkpoint: t.checkpoint, Done: t.phase == done}
	if t.phase == placed && t.activeRun != nil {
		rec.Worker = t.activeRun.worker.id
	}
	if rec.Done {
		rec.Checkpoint = ""
	}
	c.storeRecord(t.name, rec)
}

// Flush places what can be placed and hands over all that is to be carried out.
func (c *Core) Flush(now time.Time) Effects {
	if c.changed {
		c.changed = false
		c.endCompletedJobs(now)
		c.schedule(now)
	}
	return c.Take()
}

// Take hands over what is to be carried out so far, and places nothing.
func (c *Core) Take() Effects {
	effects := c.effects
	c.effects = Effects{}
	return effects
}

// endCompletedJobs ends jobs that are done or can't be, and forgets old ones.
func (c *Core) endCompletedJobs(now time.Time) {
	unfinished := c.active[:0]
	for _, j := range c.active {
		if !j.state.Final() && j.done == len(j.occs) {
			c.endJob(now, j, Completed, "all tasks are done")
		}
		if !j.state.Final() {
			unfinished = append(unfinished, j)
		}
	}
	clear(c.active[len(unfinished):])
	c.active = unfinished
}

// Tick does what only time brings about. It is to be called several times a
// second.
func (c *Core) Tick(now time.Time) {
	c.changed = true // patience and quarantines end with time alone
	for _, w := range c.sortedWorkers {
		c.checkWorker(now, w)
	}
	for id, j := range c.jobs {
		if j.state.Final() && now.Sub(j.ended) > c.cfg.KeepEnded {
			delete(c.jobs, id)
			c.effects.Changed = append(c.effects.Changed, id)
			c.effects.Records = append(c.effects.Records, Record{Key: id})
		}
	}
}
