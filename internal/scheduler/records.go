package scheduler

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

type storedTask struct {
	name  string
	value taskRecord
}

// taskRecord is the stored state of a task. Worker is set while a run of the task may exist
// there.
type taskRecord struct {
	Run        int    `json:"run"`
	Failures   int    `json:"fails,omitempty"`
	Worker     string `json:"worker,omitempty"`
	Checkpoint string `json:"saved,omitempty"`
	Done       bool   `json:"done,omitempty"`
	// LastFailed is the last run that Failures counts, and FailedRuns lists all of them.
	LastFailed int   `json:"failed,omitempty"`
	FailedRuns []int `json:"faults,omitempty"`
	Moves      int   `json:"moves,omitempty"`
	// Begun is set if a worker was known to have started a task of the job. The others are
	// known to the next leader once their workers report.
	Begun bool `json:"begun,omitempty"`
	// Need is what the run on Worker uses. The next leader needs it if it can't read the job.
	Need *Resources `json:"need,omitempty"`
}

// jobRecord is the stored outcome of a job.
type jobRecord struct {
	State    State  `json:"state"`
	Ended    int64  `json:"ended"` // Unix milliseconds
	Customer string `json:"customer,omitempty"`
}

// SetEarlierStartsEnd tells until when workers may accept starts that earlier leaders sent. It must be
// called before Restore.
func (c *Core) SetEarlierStartsEnd(at time.Time) { c.earlierStartsEnd = at }

// JobOf returns the ID of the job that the stored record with the key belongs to.
func JobOf(key string) string {
	if i := strings.IndexAny(key, "."+cancellationSeparator); i >= 0 {
		return key[:i]
	}
	return key
}

// StoredWorker returns the worker on which a run may exist by a stored record, or an empty string.
func StoredWorker(value []byte) (string, error) {
	var rec taskRecord
	err := json.Unmarshal(value, &rec)
	return rec.Worker, err
}

// Restore loads a record that an earlier leader stored. All records must be loaded before
// the first job is added.
func (c *Core) Restore(now time.Time, key string, value []byte) error {
	if ok, err := c.restoreCancellation(now, key, value); ok {
		return err
	}
	if !strings.Contains(key, ".") {
		var rec jobRecord
		if err := json.Unmarshal(value, &rec); err != nil {
			return errorx.Decorate(err, "stored job %s", key)
		}
		c.jobs[key] = &job{spec: Job{ID: key, Customer: rec.Customer}, state: rec.State, expiresAt: now.Add(c.cfg.KeepEnded)}
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

func (c *Core) restoreTask(now time.Time, j *job, st storedTask) {
	t := c.findTask(st.name)
	if t == nil {
		c.cfg.Logger.Warn("stored task matches no step of its job", "task", st.name)
		return
	}
	t.run, t.checkpoint, t.moves = st.value.Run, st.value.Checkpoint, st.value.Moves
	if failed := st.value.failedRuns(); len(failed) > len(*t.failures()) {
		*t.failures() = failed
	}
	j.started = true
	j.begun = j.begun || st.value.Begun || st.value.Done || st.value.Checkpoint != "" || len(st.value.failedRuns()) > 0
	j.state = Running
	t.step.occ.started = true
	switch {
	case st.value.Done:
		c.markDone(t)
	case st.value.Worker != "":
		w := c.worker(st.value.Worker)
		t.phase = placed
		t.activeRun = c.restoreRun(now, w, t)
	}
}

// restoreGang makes the restored members of a gang alike. A leader that was lost while it stored their
// records in several appends may have left some of them older than the others. One end as done
// represents all members, and the checkpoint of any is valid for all.
func (c *Core) restoreGang(s *step) {
	var newest *task // with a checkpoint; of members with the same run, the first were stored first
	for _, t := range s.tasks {
		if t.phase == done {
			c.completeTask(t)
			return
		}
		if t.checkpoint != "" && (newest == nil || t.run > newest.run) {
			newest = t
		}
	}
	if newest == nil {
		return
	}
	for _, t := range s.tasks {
		t.checkpoint = newest.checkpoint
	}
}

// failures returns the list of the task's failed runs, which the members of a gang share.
func (t *task) failures() *[]int {
	if t.step.spec.Gang {
		return &t.step.failedRuns
	}
	return &t.failedRuns
}

// countFailure notes that a run of the task failed. It reports whether that was not known yet.
// Failures of tasks that run until they are cancelled don't count.
func (t *task) countFailure(run int) bool {
	failed := t.failures()
	if t.step.spec.LongRunning || slices.Contains(*failed, run) {
		return false
	}
	*failed = append(*failed, run)
	return true
}

// failedRuns returns the runs that failed. Leaders of earlier versions stored their number and,
// for gangs, the last one only; the others get numbers that no run has.
func (r *taskRecord) failedRuns() []int {
	if len(r.FailedRuns) > 0 || r.Failures == 0 {
		return r.FailedRuns
	}
	last := r.LastFailed
	switch {
	case last > 0:
	case r.Worker != "":
		last = r.Run - 1 // Run is in progress
	default:
		last = r.Run
	}
	failed := []int{last}
	for n := 1; n < r.Failures; n++ {
		failed = append(failed, -n)
	}
	return failed
}

// storeRecord adds a record to the effects.
func (c *Core) storeRecord(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		// The values are plain structs of this package, which can always be encoded.
		panic(err)
	}
	c.effects.Records = append(c.effects.Records, Record{Key: key, Value: data})
}

// storeTask adds a record of the task's state to the effects.
func (c *Core) storeTask(t *task) {
	failed := *t.failures()
	rec := taskRecord{Run: t.run, Failures: len(failed), Checkpoint: t.checkpoint, Done: t.phase == done, FailedRuns: failed, Moves: t.moves, Begun: t.step.occ.job.begun}
	for _, run := range failed {
		rec.LastFailed = max(rec.LastFailed, run)
	}
	if t.phase == placed && t.activeRun != nil {
		rec.Worker, rec.Need = t.activeRun.worker.id, &t.activeRun.demand
	}
	if rec.Done {
		rec.Checkpoint = ""
	}
	c.storeRecord(t.name, rec)
}

// dropDescription has the caller drop a description of an ended job from the store.
func (c *Core) dropDescription(j *job, key string) {
	j.pendingDrops++
	c.effects.Forget = append(c.effects.Forget, Description{j.spec.ID, key})
}

// rejectSubmission has the caller drop a later submission under the ID of an open job. Its
// customer may be another one, to whom the ID stays unknown.
func (c *Core) rejectSubmission(j *job, spec *Job) {
	j.pendingDrops++
	c.effects.Redundant = append(c.effects.Redundant, Description{j.spec.ID, spec.Key})
	c.cfg.Logger.Info("later submission of a job dropped", "job", j.spec.ID, "customer", spec.Customer, "owner", j.spec.Customer)
}

// DescriptionDropped records that a description in Effects.Forget or Effects.Redundant was dropped.
func (c *Core) DescriptionDropped(now time.Time, id string) {
	if j := c.jobs[id]; j != nil && j.pendingDrops > 0 {
		j.pendingDrops--
		j.expiresAt = now.Add(c.cfg.KeepEnded)
	}
}
