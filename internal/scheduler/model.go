// Package scheduler decides which task runs on which worker. It does no I/O and reads no
// clock: the caller passes in events together with the current time, and gets back records
// to store and orders to send to workers. The daemon and the tests run the same code.
package scheduler

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// Resources are amounts of processor, memory and accelerators: a task's request or a
// worker's capacity.
type Resources struct {
	CPU          int64 `json:"cpu,omitempty"`    // thousandths of a core
	Memory       int64 `json:"memory,omitempty"` // MB
	Accelerators int64 `json:"gpus,omitempty"`
}

// Fits reports whether need is at most r in every dimension.
func (r Resources) Fits(need Resources) bool {
	return need.CPU <= r.CPU && need.Memory <= r.Memory && need.Accelerators <= r.Accelerators
}

// Plus returns the sum in every dimension.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.Memory + o.Memory, r.Accelerators + o.Accelerators}
}

// Minus returns the difference in every dimension, which may be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.Memory - o.Memory, r.Accelerators - o.Accelerators}
}

// coresPerAccelerator converts accelerators to cores when amounts of work are compared. The
// users count an accelerator as this many cores.
const coresPerAccelerator = 8

// coreEquivalents returns the size of a request in cores, with accelerators converted to
// cores.
func (r Resources) coreEquivalents() float64 {
	return float64(r.CPU)/1000 + coresPerAccelerator*float64(r.Accelerators)
}

// Queue is the scheduling policy of the jobs of one route.
type Queue struct {
	Name     string        `json:"name"`
	Service  string        `json:"service"`
	Priority int           `json:"priority,omitempty"` // 0 is the highest and may preempt others
	Attempts int           `json:"attempts,omitempty"` // failed runs of a task after which its job fails
	Stretch  float64       `json:"stretch,omitempty"`  // factor on the run time of the longest chain of steps in the objective
	Target   time.Duration `json:"target,omitempty"`   // added to the stretched run time in the objective
}

// Step is a set of identical tasks.
type Step struct {
	Count        int           `json:"count"`
	Need         Resources     `json:"need"`
	Estimate     time.Duration `json:"estimate,omitempty"` // declared run time of a task; often wrong
	After        []int         `json:"after,omitempty"`    // indexes of steps that must be done first
	Gang         bool          `json:"gang,omitempty"`
	Tight        bool          `json:"tight,omitempty"`  // slower on more than one rack
	Label        string        `json:"label,omitempty"`  // label that the worker must have
	Rack         string        `json:"rack,omitempty"`   // rack that gangReservations its data
	MaxPerWorker int           `json:"spread,omitempty"` // maximum tasks of the step on one worker; 0 means no limit
	Checkpoints  bool          `json:"checkpoints,omitempty"`
	LongRunning  bool          `json:"lasting,omitempty"` // runs until cancelled
	Fill         bool          `json:"fill,omitempty"`    // uses idle processors only
}

// demand returns the capacity that a task of the step occupies on a worker.
func (s *Step) demand() Resources {
	need := s.Need
	if s.Fill {
		need.CPU = 0
	}
	return need
}

// Job is a job as its customer submitted it, with the policy of its queue at that time.
type Job struct {
	ID       string `json:"id"`
	Key      string `json:"-"` // of the record from which the job was read
	Customer string `json:"customer,omitempty"`
	Queue    Queue  `json:"queue"`
	// QueueOffset is the offset of the configuration that Queue is from; 0 if that is not known.
	QueueOffset int64         `json:"config,omitempty"`
	Text        string        `json:"text,omitempty"` // passed to workers unchanged
	Steps       []Step        `json:"steps"`
	Repeat      int           `json:"repeat,omitempty"` // number of occurrences; 0 means one that starts immediately
	First       int64         `json:"first,omitempty"`  // Unix milliseconds of occurrence 0
	Interval    time.Duration `json:"interval,omitempty"`
	Accepted    int64         `json:"accepted"` // Unix milliseconds, by the accepting VM's clock
}

// dueAt returns when an occurrence of a timed job is due. Seconds are counted apart from their fraction, as
// the time from the first occurrence may exceed the range of a duration.
func (j *Job) dueAt(number int) time.Time {
	n := int64(number)
	seconds, fraction := int64(j.Interval/time.Second), int64(j.Interval%time.Second)
	return time.Unix(time.UnixMilli(j.First).Unix()+n*seconds, (j.First%1000)*int64(time.Millisecond)+n*fraction)
}

// State is a stage of a job's life cycle.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether the state is terminal.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// Cause is the way in which a run ended.
type Cause string

// The causes of a run's end.
const (
	Done        Cause = "done"
	Fault       Cause = "failed"   // because of the task or the worker
	Stopped     Cause = "stopped"  // by an order of the scheduler
	Expired     Cause = "lapsed"   // its lease expired
	GangAborted Cause = "broken"   // another member of its gang ended
	GangTimeout Cause = "alone"    // the other members of its gang did not start in time
	Vanished    Cause = "vanished" // its worker has no such run, or all leases there have expired
)

// Worker describes a worker as the registry lists it.
type Worker struct {
	ID       string
	Address  string
	Service  string
	Zone     string
	Rack     string
	Labels   []string
	Capacity Resources
	Draining bool
	// Remaining is the minimum time for which a draining worker stays available.
	Remaining   time.Duration
	Incarnation int64 // start time of the worker's process in Unix milliseconds
}

// serves reports whether the worker belongs to a service and has a label, which may be empty.
func (w *Worker) serves(service, label string) bool {
	return w.Service == service && (label == "" || slices.Contains(w.Labels, label))
}

// sameForPlacement reports whether the same tasks fit on the worker if its entry is
// replaced by o.
func (w *Worker) sameForPlacement(o Worker) bool {
	return w.Rack == o.Rack && w.Service == o.Service && w.Capacity == o.Capacity && slices.Equal(w.Labels, o.Labels)
}

// RunningTask is an entry of a worker's list of running tasks.
type RunningTask struct {
	Task       string
	Run        int
	Checkpoint string
	Percent    float64
}

// EndedTask is an entry of a worker's list of ended runs. Number increases with each entry
// until the worker restarts.
type EndedTask struct {
	Number     int64
	Task       string
	Run        int
	Cause      Cause
	Checkpoint string
}

// Report is a worker's answer to a lease renewal.
type Report struct {
	Worker      string
	Incarnation int64
	Sent        time.Time // when the renewal was sent
	// Full is false if the worker has more ended runs than Ended lists.
	Full    bool
	Running []RunningTask
	Ended   []EndedTask
}

// Lists reports whether a run is among the running or the ended ones.
func (r *Report) Lists(task string, run int) bool {
	return slices.ContainsFunc(r.Running, func(e RunningTask) bool { return e.Task == task && e.Run == run }) ||
		slices.ContainsFunc(r.Ended, func(e EndedTask) bool { return e.Task == task && e.Run == run })
}

// Start orders a worker to run a task.
type Start struct {
	Worker, Address  string
	Task             string
	Run              int
	Text, Checkpoint string
}

// Stop orders a worker to end a run, and to reject the run if its start arrives later.
type Stop struct {
	Worker, Address string
	Task            string
	Run             int
}

// Record is a change of the stored state. A nil Value deletes the key.
type Record struct {
	Key   string
	Value []byte
}

// Description names a record of a submission of a job.
type Description struct{ Job, Key string }

// Effects are the actions that the caller has to carry out: it sends Stops at once, and
// Starts only after Records are stored.
type Effects struct {
	Records []Record
	Starts  []Start
	Stops   []Stop
	// Forget lists descriptions of ended jobs, which are no longer needed once Records are stored.
	// Redundant lists descriptions of later submissions under the ID of an open job, which are not
	// needed at all. Each entry of both must be answered by a call to DescriptionDropped after the
	// description was dropped.
	Forget    []Description
	Redundant []Description
	// Changed lists jobs whose state has changed or that were deleted.
	Changed []string
}

// Empty reports whether there is nothing to do.
func (e *Effects) Empty() bool {
	return len(e.Records) == 0 && len(e.Starts) == 0 && len(e.Stops) == 0 && len(e.Forget) == 0 && len(e.Redundant) == 0 && len(e.Changed) == 0
}

// taskName returns the name of a task, which is made up of its job, occurrence, step and
// index.
func taskName(id string, occurrence, step, index int) string {
	return id + "." + strconv.Itoa(occurrence) + "." + strconv.Itoa(step) + "." + strconv.Itoa(index)
}

// parseTaskName splits a task's name into the job's ID and the indices of the occurrence,
// the step and the task.
func parseTaskName(name string) (id string, indices [3]int, ok bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return "", indices, false
	}
	for i := range indices {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return "", indices, false
		}
		indices[i] = n
	}
	return parts[0], indices, true
}
