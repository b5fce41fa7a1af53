package scheduler

import (
	"log/slog"
	"time"

	"github.com/joomcode/errorx"
)

// ErrUnknown is returned for a job that was never accepted or that has been deleted.
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
	run         int    // number of the last run
	begun       bool   // a run of it was listed or failed
	failedRuns  []int  // runs that ended as Fault; those of a gang are in its step
	checkpoint  string // newest known checkpoint
	activeRun   *run
	strayRuns   int // runs that workers list although they counted as ended; they must end first
	reservation *reservation
	// avoidWorker is the worker where the last run failed, was lost or made no progress.
	avoidWorker string
	badWorkers  []string      // workers where its runs failed or were too slow
	moves       int           // how often its runs were moved because they were slow or hung
	bestRunTime time.Duration // shortest run time that its progress promised before it was moved
	lateDoneRun int           // run that was listed as done after it had counted as lost, 0 if none
	ownHistory  *runHistory   // of a task that runs until it is cancelled; others share their job's
	// earlyFailures counts the runs in a row that failed early, and there is no start before retryAt.
	// Both are of a task that runs until it is cancelled.
	earlyFailures int
	retryAt       time.Time
}

// mayRun reports whether the task waits and no run of it is known to be on a worker.
func (t *task) mayRun() bool { return t.phase == waiting && t.activeRun == nil && t.strayRuns == 0 }

// run is one start of a task. It counts against its worker's capacity until it has
// certainly ended.
type run struct {
	task           *task // nil if the task is unknown here
	name           string
	number         int
	worker         *worker
	demand         Resources
	startAnswered  bool      // no attempt of its start is in progress
	confirmedAt    time.Time // from when on the worker lists it if it has it, zero if unknown
	blocks         *task     // task among whose strayRuns it is
	startExpires   time.Time // when the worker certainly rejects its start as late, zero if unknown
	runningSince   time.Time // when a report first listed it as running
	initialPercent float64   // percent at runningSince
	percent        float64
	reportedAt     time.Time // when percent was last reported
	progressAt     time.Time // when percent last rose
	checkpoint     string
	stoppingSince  time.Time // when its stop was first ordered
	stopOrderedAt  time.Time // when its stop was last ordered
	stopOverdue    bool      // it has been stopping for longer than a stop takes
	stopReason     string
	unknownDemand  bool // its demand is unknown, as its job has ended or is unknown
	awaitsJob      bool // its job can't be read yet
	heldEnd        bool // its end was listed while its job could not be read
}

type step struct {
	occ              *occurrence
	spec             *Step
	index            int
	tasks            []*task
	done             int           // tasks that are done
	chosenRack       string        // rack that a tightly coupled step was placed on
	failedRuns       []int         // runs of a gang that ended as Fault
	firstConfirmedAt time.Time     // when the first member of a gang's newest run was confirmed
	readySince       time.Time     // start of its waiting time
	turnAt           time.Time     // when it was first found ready
	badWorkers       []string      // workers where runs of its tasks failed or were too slow
	badRunAge        time.Duration // longest time that one of these runs lasted
	healthyToFailed  healthyCount  // running tasks that do well, compared with failed runs
	healthyToSlow    healthyCount  // the same, compared with slow runs
	rejections       rejections    // of its starts, since one was accepted
	// headroomLogged is set once it has been logged that the step leaves capacity to
	// urgent work.
	headroomLogged bool
	headroomBlocks bool       // in the last round: left all free capacity to urgent work
	right          startRight // in this round
	backfills      bool       // in this round: may use capacity that is reserved for a gang
	freeLimit      int64      // workers with at least this many free accelerators are left to urgent work; 0 means none
	inQuarantined  bool       // while it is placed: fits on workers in quarantine, too
}

type occurrence struct {
	job     *job
	number  int
	due     time.Time
	steps   []*step
	done    int // steps that are done
	started bool
}

type job struct {
	spec     Job
	queue    Queue // current policy; spec.Queue has that at submission
	state    State
	occs     []*occurrence
	done     int       // occurrences that are done
	started  bool      // a start was ordered
	begun    bool      // a worker is known to have started a task
	deadline time.Time // end of its objective; the job earns its full worth until then
	accepted time.Time
	// pendingDrops counts the drops of the job's description that aren't confirmed yet. The
	// outcome is kept at least as long: without it, the next leader would take the description
	// for a new job.
	pendingDrops  int
	expiresAt     time.Time     // when the outcome may be deleted if no drop is pending
	work          float64       // declared core-seconds
	estimate      time.Duration // declared run time of the longest chain of steps
	history       runHistory
	stallLoggedAt time.Time // when it was last logged that it has nothing running
	rank          int       // latenessRank in the last round
	level         int
}

// Config holds the settings of a Core.
type Config struct {
	Logger *slog.Logger
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// RemotePenalty is the factor by which a task takes longer away from its rack.
	RemotePenalty float64
	// KeepEnded is how long the outcome of an ended job is kept after its description was
	// dropped.
	KeepEnded time.Duration
	// ReportTimeout is how long a worker may go without a report before it gets no new work.
	ReportTimeout time.Duration
	// RegistryDelay is how long after a worker has changed its entry the change is read, unless the store is slow or
	// another leader was in charge.
	RegistryDelay time.Duration
	// RestoreTime is the time that a run needs to restore a checkpoint before it continues.
	RestoreTime time.Duration
	// StopTime is the maximum time that a stop takes.
	StopTime time.Duration
	// GangWait is how long a worker lets a member of a gang wait for the others.
	GangWait time.Duration
	// CheckpointInterval is the run time between two checkpoints.
	CheckpointInterval time.Duration
}

// ErrUnreadable is returned for a job that exists but whose stored description can't be decoded. Callers
// test for it with errors.Is.
var ErrUnreadable = errorx.NewType(errorx.NewNamespace("scheduler"), "unreadable").New("the stored job can't be read")

// Core holds the state of the workers and of the job queue. It is not safe for concurrent
// use; one goroutine owns it.
type Core struct {
	cfg              Config
	earlierStartsEnd time.Time // no start of an earlier leader is accepted after this
	jobs             map[string]*job
	active           []*job
	workers          map[string]*worker
	sortedWorkers    []*worker // sorted by ID
	policy           Policy
	cancellations    map[string]cancellation // of unknown jobs, by cancellationKey
	cancellationsOf  map[string]int          // number of cancellations by customer
	// nextCancellationExpiry is when the first cancellation expires, as of the last tick.
	nextCancellationExpiry time.Time
	restored               map[string][]storedTask   // tasks of jobs that haven't been added yet, by job
	readAsOf               func(id string) time.Time // see AwaitJobs; nil if all are added at once
	unreadable             map[string]bool           // see AwaitUnreadable
	undecodedState         map[string]bool           // see AwaitUnreadableState
	effects                Effects
	runTimes               map[string]*runTimeStats // by queue
	index                  *index
	urgentDemand           map[string]*demandRate      // demand of arriving work of priority 0, by service
	withBadRuns            map[*worker]bool            // workers with bad runs
	gangReservations       map[string]*gangReservation // capacity reserved for waiting gangs, by service
	idleSince              map[string]idleTimes        // by service
	nextIdleLog            time.Time                   // when the next line about a job in an idle service may follow
	nextStallCheck         time.Time                   // when the next check for stalled jobs is due
	evaluations            int64                       // workers evaluated to place tasks
	changed                bool                        // something has changed since the last scheduling round
}

// New returns a Core without jobs and workers.
func New(cfg Config) *Core {
	return &Core{
		cfg: cfg, jobs: map[string]*job{}, workers: map[string]*worker{}, cancellations: map[string]cancellation{}, cancellationsOf: map[string]int{}, unreadable: map[string]bool{}, undecodedState: map[string]bool{},
		index: newIndex(), urgentDemand: map[string]*demandRate{}, withBadRuns: map[*worker]bool{}, gangReservations: map[string]*gangReservation{}, idleSince: map[string]idleTimes{}, restored: map[string][]storedTask{}, runTimes: map[string]*runTimeStats{},
	}
}

// Policy is the part of a configuration that scheduling depends on.
type Policy struct {
	Offset     int64            // of the configuration
	Queues     map[string]Queue // by name
	Guarantees map[string]int64 // accelerators by customer
}

// SetPolicy replaces the policy.
func (c *Core) SetPolicy(p Policy) {
	c.changed = true
	c.policy = p
	for _, j := range c.active {
		c.updateQueue(j)
	}
}

// updateQueue applies the policy to a job, unless the job was accepted under a later one.
func (c *Core) updateQueue(j *job) {
	if q, ok := c.policy.Queues[j.spec.Queue.Name]; ok && j.spec.QueueOffset <= c.policy.Offset {
		j.queue = q
	}
}

// HasJob reports whether a job is known, open or ended.
func (c *Core) HasJob(id string) bool { return c.jobs[id] != nil }

// AddJob adds an accepted job, whose description is in the store. A job that is already known is
// left as it is: an ID belongs to its first submission, whose customer it keeps. Submissions have
// to be added in the order in which they were stored. The record with the ID as its key stays as
// long as the job is open.
func (c *Core) AddJob(now time.Time, spec Job) {
	if c.jobs[spec.ID] == nil && c.undecodedState[spec.ID] {
		return
	}
	if j, known := c.jobs[spec.ID]; known {
		switch {
		case j.state.Final():
			c.dropDescription(j, spec.Key)
		case spec.Key != j.spec.Key && spec.Key != spec.ID:
			c.rejectSubmission(j, &spec)
		}
		return
	}
	c.changed = true
	delete(c.unreadable, spec.ID)
	j := &job{spec: spec, queue: spec.Queue, state: Queued, accepted: time.UnixMilli(spec.Accepted)}
	c.updateQueue(j)
	occurrences := max(spec.Repeat, 1)
	for k := range occurrences {
		j.occs = append(j.occs, newOccurrence(j, k))
	}
	j.estimate = c.longestChain(&j.spec)
	for i := range spec.Steps {
		j.work += float64(spec.Steps[i].Count) * spec.Steps[i].Need.coreEquivalents() * spec.Steps[i].Estimate.Seconds()
	}
	j.deadline = j.accepted.Add(time.Duration(min(j.queue.Stretch*float64(j.estimate), float64(maxObjective))) + j.queue.Target)
	c.jobs[spec.ID] = j
	c.active = append(c.active, j)
	for _, t := range c.restored[spec.ID] {
		c.restoreTask(now, j, t)
	}
	delete(c.restored, spec.ID)
	for _, o := range j.occs {
		for _, s := range o.steps {
			if s.spec.Gang {
				c.restoreGang(s)
			}
		}
	}
	if j.queue.Priority == 0 {
		c.recordUrgentArrival(now, j)
	}
	c.effects.Changed = append(c.effects.Changed, spec.ID)
	c.cfg.Logger.Info("job taken in", "job", spec.ID, "queue", j.queue.Name, "config", spec.QueueOffset, "policy", c.policy.Offset, "priority", j.queue.Priority,
		"customer", spec.Customer, "tasks", j.taskCount(), "steps", len(spec.Steps), "repeat", spec.Repeat)
	c.endSpentJob(now, j)
	c.applyCancellation(now, j)
}

// FailInvalidJob adds a job that doesn't pass its check as failed, so that its customer learns of it. It
// can't have been accepted by a version with the same limits.
func (c *Core) FailInvalidJob(now time.Time, spec Job, reason error) {
	if c.jobs[spec.ID] != nil || c.undecodedState[spec.ID] {
		c.AddJob(now, spec)
		return
	}
	delete(c.unreadable, spec.ID)
	j := &job{spec: Job{ID: spec.ID, Key: spec.Key, Customer: spec.Customer}, accepted: now, deadline: now}
	c.jobs[spec.ID] = j
	for _, t := range c.restored[spec.ID] {
		c.effects.Records = append(c.effects.Records, Record{Key: t.name})
	}
	delete(c.restored, spec.ID)
	c.endJob(now, j, Failed, reason.Error())
}

func newOccurrence(j *job, number int) *occurrence {
	o := &occurrence{job: j, number: number, due: j.accepted}
	if j.spec.Repeat > 0 {
		o.due = j.spec.dueAt(number)
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

// longestChain returns the declared run time of the longest chain of dependent steps.
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

// markDone marks a task as done, and with it its step, occurrence and job if they are
// complete.
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

// findJob returns a customer's job, ErrUnknown for a job that customer may not see, and ErrUnreadable for one
// whose customer is not known, as its description can't be decoded.
func (c *Core) findJob(id, customer string) (*job, error) {
	j := c.jobs[id]
	if j == nil && c.unreadable[id] {
		return nil, ErrUnreadable
	}
	if j == nil || !MaySee(customer, j.spec.Customer) {
		return nil, ErrUnknown
	}
	return j, nil
}

// MaySee reports whether customer may see and cancel a job that owner submitted. Each is empty
// if its call had no API key: such a call sees only jobs that were submitted without one.
func MaySee(customer, owner string) bool { return customer == owner }

// Cancel ends a job at its customer's request. It returns the state that the job has
// afterwards.
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

// Owner returns a job's state and customer, and whether the job is known.
func (c *Core) Owner(id string) (State, string, bool) {
	j := c.jobs[id]
	if j == nil {
		return "", "", false
	}
	return j.state, j.spec.Customer, true
}

// Waiting counts, by queue, the jobs of which no task has started. That a start was ordered does not
// count: it may be rejected or get lost.
func (c *Core) Waiting() map[string]int {
	n := map[string]int{}
	for _, j := range c.active {
		if !j.begun {
			n[j.queue.Name]++
		}
	}
	return n
}

// endJob moves a job to its final state, and stops its remaining runs.
func (c *Core) endJob(now time.Time, j *job, state State, reason string) {
	c.changed = true
	j.state = state
	c.storeRecord(j.spec.ID, jobRecord{State: state, Ended: now.UnixMilli(), Customer: j.spec.Customer})
	for _, o := range j.occs {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				t.dropReservation()
				if t.run > 0 {
					c.effects.Records = append(c.effects.Records, Record{Key: t.name})
				}
				if t.activeRun != nil && state != Completed { // members of a completed gang end by themselves
					c.stopRun(now, t.activeRun, reason)
				}
			}
		}
	}
	c.dropDescription(j, j.spec.Key)
	if j.spec.Key != j.spec.ID {
		c.dropDescription(j, j.spec.ID)
	}
	c.effects.Changed = append(c.effects.Changed, j.spec.ID)
	c.cfg.Logger.Info("job ended", "job", j.spec.ID, "state", string(state), "why", reason,
		"age_ms", now.Sub(j.accepted).Milliseconds(), "objective_ms", j.deadline.Sub(j.accepted).Milliseconds())
}

// Flush runs a scheduling round if anything has changed, and returns all effects that are
// due.
func (c *Core) Flush(now time.Time) Effects {
	if c.changed {
		c.changed = false
		c.endCompletedJobs(now)
		c.schedule(now)
	}
	return c.TakeEffects()
}

// TakeEffects returns the effects that are due so far, without a scheduling round.
func (c *Core) TakeEffects() Effects {
	effects := c.effects
	c.effects = Effects{}
	return effects
}

// endCompletedJobs ends jobs whose occurrences are all done, and removes ended jobs from
// the active ones.
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

// Tick does the work that depends on time alone: it checks runs and deletes old outcomes.
// It has to be called several times a second.
func (c *Core) Tick(now time.Time) {
	c.changed = true // waits for a rack and quarantines end with time alone
	for _, w := range c.sortedWorkers {
		c.checkWorker(now, w)
	}
	c.expireCancellations(now)
	for id, j := range c.jobs {
		if j.state.Final() && j.pendingDrops == 0 && now.After(j.expiresAt) && !c.mayBeStored(id, j.expiresAt) {
			delete(c.jobs, id)
			c.effects.Changed = append(c.effects.Changed, id)
			c.effects.Records = append(c.effects.Records, Record{Key: id})
		}
	}
}
