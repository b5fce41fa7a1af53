// Package scheduler decides which task runs where. It does no I/O and reads no
// clock: events go in with the time at which they are handled, records to store
// and orders to workers come out. The same code runs in the daemon and in tests.
package scheduler

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// Resources are what a task asks for and a worker has.
type Resources struct {
	CPU          int64 `json:"cpu,omitempty"`    // thousandths of a core
	Memory       int64 `json:"memory,omitempty"` // MB
	Accelerators int64 `json:"gpus,omitempty"`
}

// Fits reports whether need is at most r in every dimension.
func (r Resources) Fits(need Resources) bool {
	return need.CPU <= r.CPU && need.Memory <= r.Memory && need.Accelerators <= r.Accelerators
}

func (r Resources) plus(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.Memory + o.Memory, r.Accelerators + o.Accelerators}
}

func (r Resources) minus(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.Memory - o.Memory, r.Accelerators - o.Accelerators}
}

// coresPerAccelerator weighs an accelerator against processors when work is
// compared; the users count it so.
const coresPerAccelerator = 8

// coreEquivalents is the size of a request in cores.
func (r Resources) coreEquivalents() float64 {
	return float64(r.CPU)/1000 + coresPerAccelerator*float64(r.Accelerators)
}

// Queue is the policy that jobs of one route are run under.
type Queue struct {
	Name     string        `json:"name"`
	Service  string        `json:"service"`
	Priority int           `json:"priority,omitempty"` // 0 comes first and may preempt others
	Attempts int           `json:"attempts,omitempty"` // failed runs of a task before its job fails
	Stretch  float64       `json:"stretch,omitempty"`  // of the longest chain of work, for the objective
	Target   time.Duration `json:"target,omitempty"`   // added to the objective
}

// Step is a set of equal tasks.
type Step struct {
	Count       int           `json:"count"`
	Need        Resources     `json:"need"`
	Estimate    time.Duration `json:"estimate,omitempty"` // declared run time of a task; often wrong
	After       []int         `json:"after,omitempty"`    // steps that must be done first
	Gang        bool          `json:"gang,omitempty"`
	Tight       bool          `json:"tight,omitempty"`  // slow on more than one rack
	Label       string        `json:"label,omitempty"`  // required of the worker
	Rack        string        `json:"rack,omitempty"`   // where its data is
	Spread      int           `json:"spread,omitempty"` // most tasks of the step on one worker; 0 sets no bound
	Checkpoints bool          `json:"checkpoints,omitempty"`
	Lasting     bool          `json:"lasting,omitempty"` // runs until cancelled
	Fill        bool          `json:"fill,omitempty"`    // uses idle processors only
}

// demand is what a task of the step takes of a worker's capacity.
func (s *Step) demand() Resources {
	need := s.Need
	if s.Fill {
		need.CPU = 0
	}
	return need
}

// Job is what a customer handed in, with the policy at that time.
type Job struct {
	ID       string        `json:"id"`
	Customer string        `json:"customer,omitempty"`
	Queue    Queue         `json:"queue"`
	Text     string        `json:"text,omitempty"` // handed to workers as it is
	Steps    []Step        `json:"steps"`
	Repeat   int           `json:"repeat,omitempty"` // occurrences; 0 runs once, at once
	First    int64         `json:"first,omitempty"`  // Unix milliseconds of occurrence 0
	Interval time.Duration `json:"interval,omitempty"`
	Accepted int64         `json:"accepted"` // Unix milliseconds, by the accepting VM's clock
}

// State is a stage in a job's life.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether the state stands for good.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// Cause says how a run ended.
type Cause string

// How runs end.
const (
	Done     Cause = "done"
	Fault    Cause = "failed"  // by its own fault or the worker's
	Stopped  Cause = "stopped" // on an order
	Lapsed   Cause = "lapsed"  // its lease ran out
	Broken   Cause = "broken"  // another member of its gang ended
	Alone    Cause = "alone"   // the other members of its gang did not come
	Vanished Cause = "vanished"
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
	// Remaining is the least time that a draining worker stays.
	Remaining time.Duration
	Born      int64 // Unix milliseconds of this life's start
}

// sameForPlacement reports whether the same tasks fit on the worker by another entry.
func (w *Worker) sameForPlacement(o Worker) bool {
	return w.Rack == o.Rack && w.Service == o.Service && w.Capacity == o.Capacity && slices.Equal(w.Labels, o.Labels)
}

// RunningTask is a row of a worker's list of what runs there.
type RunningTask struct {
	Task    string
	Run     int
	Saved   string
	Percent float64
}

// EndedTask is a row of a worker's list of ends. Number rises in each life.
type EndedTask struct {
	Number int64
	Task   string
	Run    int
	Cause  Cause
	Saved  string
}

// Report is a worker's answer to a lease renewal.
type Report struct {
	Worker string
	Born   int64
	Sent   time.Time // when the renewal was sent
	// Full is false if the worker has more ends than it listed.
	Full    bool
	Running []RunningTask
	Ended   []EndedTask
}

// Start orders a worker to run a task.
type Start struct {
	Worker, Address string
	Task            string
	Run             int
	Text, Saved     string
}

// Stop orders a worker to end a run and to refuse it should it still come.
type Stop struct {
	Worker, Address string
	Task            string
	Run             int
}

// Record is a change of the stored state. A nil Value drops the key.
type Record struct {
	Key   string
	Value []byte
}

// Effects are what the caller has to carry out: Stops at once, Starts only after
// Records are stored.
type Effects struct {
	Records []Record
	Starts  []Start
	Stops   []Stop
	// Forget lists jobs whose description is needed no more.
	Forget []string
	// Changed lists jobs whose state is another, or that are forgotten.
	Changed []string
}

// Empty reports whether there is nothing to do.
func (e *Effects) Empty() bool {
	return len(e.Records) == 0 && len(e.Starts) == 0 && len(e.Stops) == 0 && len(e.Forget) == 0 && len(e.Changed) == 0
}

// taskName renders the name of a task: job, occurrence, step and index.
func taskName(id string, occurrence, step, index int) string {
	return id + "." + strconv.Itoa(occurrence) + "." + strconv.Itoa(step) + "." + strconv.Itoa(index)
}

// parseTaskName splits a task's name.
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
