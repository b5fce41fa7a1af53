package scheduler

import (
	"fmt"
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

// ErrInvalidJob is returned for a job that exceeds a limit or contradicts itself. Callers test
// for it with errors.Is.
var ErrInvalidJob = errorx.NewType(errorx.NewNamespace("scheduler"), "invalidjob").New("the job is invalid")

// Limits on a job. They keep one job from exhausting the memory of a small VM, and sums of its
// figures from overflowing.
const (
	maxSteps        = 256
	maxTasks        = 20_000         // over all steps and occurrences
	maxAmount       = int64(1) << 40 // thousandths of a core, MB or accelerators
	maxEstimate     = 30 * 24 * time.Hour
	maxInterval     = 365 * 24 * time.Hour
	maxUnixMS       = int64(1) << 43 // in the year 2248
	maxFactor       = 1e6
	maxQueueStretch = 1000 // of a configuration; jobs of earlier versions may have up to maxFactor
	maxQueueLatency = 365 * 24 * time.Hour
	// maxObjective bounds computed run times and objectives.
	maxObjective = 50 * 365 * 24 * time.Hour
)

// Check returns an error that wraps ErrInvalidJob if the job cannot be scheduled safely.
func (j *Job) Check() error {
	if j.ID == "" {
		return fmt.Errorf("%w: no ID", ErrInvalidJob)
	}
	if err := j.checkTimes(); err != nil {
		return err
	}
	if len(j.Steps) == 0 || len(j.Steps) > maxSteps {
		return fmt.Errorf("%w: %d steps, at most %d are allowed", ErrInvalidJob, len(j.Steps), maxSteps)
	}
	tasks := 0
	for i := range j.Steps {
		s := &j.Steps[i]
		if err := s.check(i); err != nil {
			return err
		}
		// Neither factor exceeds maxTasks, so that the sum cannot overflow.
		if tasks += s.Count * max(j.Repeat, 1); tasks > maxTasks {
			return fmt.Errorf("%w: more than %d tasks", ErrInvalidJob, maxTasks)
		}
	}
	return nil
}

// checkTimes checks the occurrences and the objective.
func (j *Job) checkTimes() error {
	switch {
	case j.Repeat < 0 || j.Repeat > maxTasks:
		return fmt.Errorf("%w: %d occurrences, at most %d are allowed", ErrInvalidJob, j.Repeat, maxTasks)
	case j.First < 0 || j.First > maxUnixMS || j.Interval < 0 || j.Interval > maxInterval:
		return fmt.Errorf("%w: occurrences start at %d Unix ms, every %s", ErrInvalidJob, j.First, j.Interval)
	case !(j.Queue.Stretch >= 0 && j.Queue.Stretch <= maxFactor) || j.Queue.Target < 0 || j.Queue.Target > maxQueueLatency:
		return fmt.Errorf("%w: queue %s has stretch %g and target %s", ErrInvalidJob, j.Queue.Name, j.Queue.Stretch, j.Queue.Target)
	}
	return nil
}

// Limited returns the queue with its figures cut to what jobs may have, and whether any was.
func (q Queue) Limited() (limited Queue, cut bool) {
	limited = q
	limited.Stretch = min(max(q.Stretch, 0), maxQueueStretch)
	limited.Target = min(max(q.Target, 0), maxQueueLatency)
	return limited, limited != q
}

func (s *Step) check(i int) error {
	switch {
	case s.Count <= 0 || s.Count > maxTasks:
		return fmt.Errorf("%w: step %d has %d tasks", ErrInvalidJob, i, s.Count)
	case !s.Need.valid():
		return fmt.Errorf("%w: step %d needs cpu %d, memory %d MB, accelerators %d", ErrInvalidJob, i, s.Need.CPU, s.Need.Memory, s.Need.Accelerators)
	case s.Estimate < 0 || s.Estimate > maxEstimate:
		return fmt.Errorf("%w: step %d is estimated to take %s", ErrInvalidJob, i, s.Estimate)
	case s.MaxPerWorker < 0:
		return fmt.Errorf("%w: step %d allows %d tasks on a worker", ErrInvalidJob, i, s.MaxPerWorker)
	}
	for _, a := range s.After {
		if a < 0 || a >= i {
			return fmt.Errorf("%w: step %d depends on step %d, which is not an earlier one", ErrInvalidJob, i, a)
		}
	}
	return nil
}

// valid reports whether the amounts are neither negative nor so large that sums overflow.
func (r Resources) valid() bool {
	for _, v := range [...]int64{r.CPU, r.Memory, r.Accelerators} {
		if v < 0 || v > maxAmount {
			return false
		}
	}
	return true
}

// ErrInvalidWorker is returned for a worker whose registry entry cannot be used. Callers test for
// it with errors.Is.
var ErrInvalidWorker = errorx.NewType(errorx.NewNamespace("scheduler"), "invalidworker").New("the worker is invalid")

// Limits on a worker. Its ID is sent in a header of each call.
const (
	maxIDBytes       = 128
	maxServiceBytes  = 256
	maxWorkerCPU     = 100_000_000 // thousandths of a core
	maxWorkerMemory  = 1 << 32     // MB
	maxWorkerDevices = 1 << 16     // accelerators
)

// Check returns an error that wraps ErrInvalidWorker if the worker cannot be used safely.
func (w *Worker) Check() error {
	if w.ID == "" || len(w.ID) > maxIDBytes || strings.ContainsFunc(w.ID, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return fmt.Errorf("%w: ID %.140q", ErrInvalidWorker, w.ID)
	}
	if w.Service == "" || len(w.Service) > maxServiceBytes {
		return fmt.Errorf("%w: service name of %d bytes", ErrInvalidWorker, len(w.Service))
	}
	largest := Resources{CPU: maxWorkerCPU, Memory: maxWorkerMemory, Accelerators: maxWorkerDevices}
	if !w.Capacity.valid() || !largest.Fits(w.Capacity) {
		return fmt.Errorf("%w: capacity of cpu %d, memory %d MB, accelerators %d", ErrInvalidWorker, w.Capacity.CPU, w.Capacity.Memory, w.Capacity.Accelerators)
	}
	return nil
}
