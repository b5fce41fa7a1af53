package standin

import (
	"fmt"
	"slices"
	"time"

	"rhubarbshore/internal/scheduler"
)

// StallLimit is how long a job may have nothing running while there is room for it, by the users'
// rules.
const StallLimit = 3 * time.Second

// restartTime is how long a long-running task may take to start again, by the users' rules.
const restartTime = 6 * time.Second

// idleShare is the share of the workers in use below which no job may stall, by the users' rules.
const idleShare = 0.5

// StallCheck watches for jobs that have nothing running, and for long-running tasks that do not
// run, although there is room for them.
type StallCheck struct {
	fleet  *Fleet
	since  map[string]time.Time // since when a job or a long-running task could run
	lastUp map[string]time.Time // when a long-running task was last seen running
	found  map[string]string    // by job or long-running task
}

// NewStallCheck returns a check of a fleet's workers.
func NewStallCheck(f *Fleet) *StallCheck {
	return &StallCheck{fleet: f, since: map[string]time.Time{}, lastUp: map[string]time.Time{}, found: map[string]string{}}
}

// Found returns the stalls by job or long-running task.
func (c *StallCheck) Found() map[string]string { return c.found }

// Observe notes which long-running tasks of a job run, while stalls are allowed.
func (c *StallCheck) Observe(now time.Time, j *scheduler.Job) {
	for i := range j.Steps {
		for n := range j.Steps[i].Count {
			if name := taskName(j, 0, i, n); j.Steps[i].LongRunning && c.fleet.Running(name) {
				c.lastUp[name] = now
			}
		}
	}
}

// Check checks a job. Open reports whether it is known and has not ended; it is asked only for a
// job that has stalled.
func (c *StallCheck) Check(now time.Time, j *scheduler.Job, open func() bool) {
	c.Observe(now, j)
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			c.checkLongRunning(now, j, i, open)
		}
	}
	task, room := c.fleet.IdleTask(j)
	if room.Used >= idleShare {
		task = ""
	}
	c.update(now, j.ID, task, room, open)
}

// update records a stall of the key once its task could have run for StallLimit. The task is empty
// if nothing stalls.
func (c *StallCheck) update(now time.Time, key, task string, room Room, open func() bool) {
	if task == "" {
		delete(c.since, key)
		return
	}
	if c.since[key].IsZero() {
		c.since[key] = now
	}
	if now.Sub(c.since[key]) >= StallLimit && c.found[key] == "" && open() {
		c.found[key] = fmt.Sprintf("LOST %s: nothing has run from %s to %s, there is room for %d and %.0f %% are in use",
			task, c.since[key].Format("15:04:05.000"), now.Format("15:04:05.000"), room.Fits, 100*room.Used)
	}
}

// checkLongRunning checks each task of a long-running step, whether other tasks of its job run or
// not and however full the workers are.
func (c *StallCheck) checkLongRunning(now time.Time, j *scheduler.Job, step int, open func() bool) {
	s := &j.Steps[step]
	for n := range s.Count {
		name := taskName(j, 0, step, n)
		room := c.fleet.RoomFor(s)
		stalled := name
		if now.Sub(c.lastUp[name]) < restartTime || room.Fits < 2*startTogether(s) {
			stalled = ""
		}
		c.update(now, name, stalled, room, open)
	}
}

// IdleTask returns a task whose turn has come, and the room for it, if nothing of the job runs and
// there is room for it, or for all of its gang, twice over.
func (f *Fleet) IdleTask(j *scheduler.Job) (string, Room) {
	f.Settle()
	var ready []*scheduler.Step
	var names []string
	for k := range dueOccurrences(j, time.Now()) {
		waiting := map[int]string{} // a task by step
		for i := range j.Steps {
			for n := range j.Steps[i].Count {
				name := taskName(j, k, i, n)
				switch {
				case f.Running(name):
					return "", Room{}
				case !f.Finished(name):
					waiting[i] = name
				}
			}
		}
		for i, name := range waiting {
			if !slices.ContainsFunc(j.Steps[i].After, func(before int) bool { return waiting[before] != "" }) {
				ready, names = append(ready, &j.Steps[i]), append(names, name)
			}
		}
	}
	for i, s := range ready {
		if room := f.RoomFor(s); room.Fits >= 2*startTogether(s) {
			return names[i], room
		}
	}
	return "", Room{}
}

// dueOccurrences returns how many occurrences of a job are due at a time.
func dueOccurrences(j *scheduler.Job, now time.Time) int {
	k := 0
	for k < j.Repeat && !now.Before(Due(j, k)) {
		k++
	}
	if j.Repeat == 0 {
		return 1
	}
	return k
}

// Due returns when an occurrence of a job with times is due. Whole days are counted apart, as the time from
// the first occurrence may exceed the range of a duration.
func Due(j *scheduler.Job, occurrence int) time.Time {
	const day = 24 * time.Hour
	days, rest := int(j.Interval/day), j.Interval%day
	return time.UnixMilli(j.First).UTC().AddDate(0, 0, occurrence*days).Add(time.Duration(occurrence) * rest)
}

func taskName(j *scheduler.Job, occurrence, step, n int) string {
	return fmt.Sprintf("%s.%d.%d.%d", j.ID, occurrence, step, n)
}

// startTogether returns how many tasks of a step start together.
func startTogether(s *scheduler.Step) int {
	if s.Gang {
		return s.Count
	}
	return 1
}
