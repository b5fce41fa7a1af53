package scheduler

import (
	"slices"
	"time"
)

const (
	// rejectingWorkers is the number of workers that reject a step in a row at which the step
	// counts as the cause.
	rejectingWorkers = 2
	// minRejectedBackoff and maxRejectedBackoff are the first and the longest time that a step
	// waits after its starts were rejected and no other workers are left to try. The longest
	// one is less than a job may have nothing running.
	minRejectedBackoff = 250 * time.Millisecond
	maxRejectedBackoff = 2 * time.Second
	// maxRejectedDoublings limits how often that time doubles.
	maxRejectedDoublings = 3
)

// rejections tells how the starts of a step were rejected since one was accepted.
type rejections struct {
	workers   []string  // workers that rejected one
	doublings int       // of the time until the next start
	retryAt   time.Time // no start before this time; zero unless the step counts as the cause
	again     bool      // a worker that rejected one was asked again, as no other was left
}

// contains reports whether the worker rejected a start.
func (r *rejections) contains(w *worker) bool { return slices.Contains(r.workers, w.id) }

// byWork reports whether the rejections are attributed to the step instead of its workers.
func (r *rejections) byWork() bool { return !r.retryAt.IsZero() }

// recordRejection records that a worker rejected a start of the step. It reports whether this is
// attributed to the step: several workers reject it, and more than have runs of it.
func (s *step) recordRejection(now time.Time, w *worker) bool {
	r := &s.rejections
	again := r.again || len(r.workers) == maxBadWorkers
	r.again = false
	r.workers = appendUnique(r.workers, w.id)
	if !r.byWork() && len(r.workers) < max(rejectingWorkers, s.confirmedRuns()+1) {
		return false
	}
	// Starts that are rejected together count once.
	if again && !now.Before(r.retryAt) {
		r.retryAt = now.Add(min(minRejectedBackoff<<min(r.doublings, maxRejectedDoublings), maxRejectedBackoff))
		r.doublings++
	}
	r.retryAt = later(r.retryAt, now)
	dropReservations(s.tasks)
	return true
}

// confirmedRuns counts the step's runs that their workers have confirmed.
func (s *step) confirmedRuns() int {
	n := 0
	for _, t := range s.tasks {
		if r := t.activeRun; r != nil && !r.confirmedAt.IsZero() && r.stopOrderedAt.IsZero() {
			n++
		}
	}
	return n
}

// awaitsAnswer reports whether a start of the step has no answer yet.
func (s *step) awaitsAnswer() bool {
	return slices.ContainsFunc(s.tasks, func(t *task) bool { return t.activeRun != nil && !t.activeRun.startAnswered })
}
