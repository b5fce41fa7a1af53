package join_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"rhubarbshore/internal/scheduler"
	"rhubarbshore/platform/platformtest"
)

// soakJob is a client's job with the results of its submission.
type soakJob struct {
	scheduler.Job
	work        []time.Duration // of a task, by step; nil if drawn from its name
	fails       bool            // all runs fail
	cancelAfter time.Duration   // from its acceptance; 0 if it isn't cancelled
	cancelEarly time.Duration   // from its submission, whether it is answered or not; 0 if it isn't cancelled
	cancelled   bool            // a cancel that may have been carried out was sent before the acceptance
	// cancelledUnknown is set if such a cancel was answered that there is no such job.
	cancelledUnknown bool
	accepted         time.Time
	rejected         bool // no attempt so far can have been accepted
}

// runClient submits jobs of drawn shapes one after the other, as client number k, and follows each
// to its end.
func (s *soak) runClient(ctx context.Context, k int, r *rand.Rand, shape func(r *rand.Rand, j *soakJob)) {
	var addresses []string
	for i := range s.vms {
		addresses = append(addresses, s.vms[(i+k)%len(s.vms)].clients.address())
	}
	c := platformtest.NewClient(s.platform, addresses)
	var wg sync.WaitGroup
	for i := 0; time.Now().Before(s.faultsEnd); i++ {
		j := &soakJob{Job: scheduler.Job{ID: fmt.Sprintf("%08x%08x", k+1, i+1), Queue: scheduler.Queue{Priority: r.IntN(3)}}, rejected: true}
		shape(r, j)
		if r.IntN(6) == 0 {
			j.cancelAfter = time.Duration(1+r.IntN(1500)) * time.Millisecond
		}
		s.register(j)
		var early sync.WaitGroup
		if j.cancelEarly > 0 {
			early.Go(func() { s.cancelBeforeAnswer(ctx, platformtest.NewClient(s.platform, addresses), j) })
		}
		s.submit(ctx, c, j)
		early.Wait()
		if j.accepted.IsZero() {
			if j.rejected {
				wg.Go(func() { s.checkNeverRan(ctx, j.ID) })
			}
			continue
		}
		jobClient := platformtest.NewClient(s.platform, addresses)
		wg.Go(func() { s.followJob(ctx, jobClient, j) })
		time.Sleep(time.Duration(r.IntN(2000)) * time.Millisecond) // keeps the workers three quarters full
	}
	wg.Wait()
}

// simpleShape draws a job of one step without preferences.
func simpleShape(r *rand.Rand, j *soakJob) {
	j.Steps = []scheduler.Step{{
		Count: 1 + r.IntN(4), Need: scheduler.Resources{CPU: 1000, Memory: 1024, Accelerators: int64(1) << r.IntN(4)},
		Estimate: time.Second, Gang: r.IntN(2) == 0, Checkpoints: r.IntN(3) == 0,
	}}
}

// mixedShape draws a job that may prefer a rack, have two steps, run until it is cancelled or need
// processors only.
func mixedShape(r *rand.Rand, j *soakJob) { j.Steps = mixedSteps(r) }

func mixedSteps(r *rand.Rand) []scheduler.Step {
	st := scheduler.Step{
		Count: 1 + r.IntN(4), Need: scheduler.Resources{CPU: 1000, Memory: 1024, Accelerators: int64(1) << r.IntN(3)},
		Estimate: 10 * time.Second, Checkpoints: r.IntN(3) == 0,
	}
	if r.IntN(3) > 0 {
		st.Rack = fmt.Sprint("r1-", r.IntN(3))
	}
	switch r.IntN(5) {
	case 0:
		st.Gang = true
	case 1:
		st.Gang, st.Tight = true, true
	case 2:
		st.Need = scheduler.Resources{CPU: 8000, Memory: 2048}
	case 3:
		st.LongRunning = true
		st.Count, st.Need.Accelerators = 1+r.IntN(2), 1
		return []scheduler.Step{st}
	}
	if r.IntN(3) > 0 {
		return []scheduler.Step{st}
	}
	next := st
	next.Count, next.After = 1+r.IntN(3), []int{0}
	return []scheduler.Step{st, next}
}

// submit submits a job, with at most three attempts.
func (s *soak) submit(ctx context.Context, c *platformtest.Client, j *soakJob) {
	for range 3 {
		start, vm := time.Now(), s.vmByAddr[c.VM()]
		status, err := c.SubmitJobOnce(ctx, &j.Job)
		s.reportIfCut(vm, start, err)
		switch {
		case err == nil && status == http.StatusOK:
			j.accepted = time.Now()
			s.setOpen(j.ID, j)
			return
		case err != nil && !refusedConnection(err), err == nil && status == http.StatusGatewayTimeout:
			j.rejected = false
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// refusedConnection reports whether a call failed to connect, so that no VM received it.
func refusedConnection(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// reportIfCut reports a call that was cut by a planned stop: the connection ended without
// a response, and the VM had recovered from its last disruption when the call started.
func (s *soak) reportIfCut(v *soakVM, start time.Time, err error) {
	if err == nil || refusedConnection(err) || errors.Is(err, context.DeadlineExceeded) || os.IsTimeout(err) {
		return
	}
	if v.clients.refusedSince(start) {
		return // the daemon was not listening
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.plannedStop && start.Sub(v.disruptedUntil) > soakRecoveryTime {
		s.reportf("a planned stop of %s cut a call: %v", v.daemon.clients, err)
	}
}

// checkNeverRan checks, after the faults have ended, that a job whose every submission was
// rejected has not run.
func (s *soak) checkNeverRan(ctx context.Context, id string) {
	select {
	case <-time.After(time.Until(s.faultsEnd.Add(soakRecoveryTime))):
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.startedJobs[id] {
		s.violations = append(s.violations, "job "+id+" was rejected at every submission, but has run")
	}
}

// followJob polls a job until its state is final, and cancels it when that is due.
func (s *soak) followJob(ctx context.Context, c *platformtest.Client, j *soakJob) {
	cancelAcked := false
	defer s.setOpen(j.ID, nil)
	for ctx.Err() == nil {
		if !cancelAcked && s.cancelDue(j) {
			s.setOpen(j.ID, nil)
			status, err := c.Cancel(ctx, j.ID, j.Queue.Priority)
			if cancelAcked = err == nil && status == http.StatusOK; cancelAcked {
				s.setEnded(j.ID)
			}
		}
		start, vm := time.Now(), s.vmByAddr[c.VM()]
		state, status, err := c.State(ctx, j.ID, j.Queue.Priority)
		s.reportIfCut(vm, start, err)
		switch {
		case err == nil && status == http.StatusGone && start.Sub(j.accepted) > soakVisibleLimit:
			s.reportf("job %s, accepted %v ago, is reported as unknown", j.ID, time.Since(j.accepted))
			return
		case state.Final():
			s.setEnded(j.ID)
			s.checkEnd(j, state)
			return
		}
		time.Sleep(150 * time.Millisecond)
	}
	s.reportf("job %s, accepted %v ago, has not ended", j.ID, time.Since(j.accepted))
}

// checkEnd checks the state in which a job has ended.
func (s *soak) checkEnd(j *soakJob, state scheduler.State) {
	switch {
	case j.cancelledUnknown && state != scheduler.Cancelled:
		s.reportf("job %s ended in state %s, though it was cancelled before it was known", j.ID, state)
	case state == scheduler.Completed:
		s.checkTasksEnded(j)
	case state == scheduler.Cancelled && s.cancelDue(j):
	case state == scheduler.Failed && j.fails:
		if !s.attemptsUsed(j) {
			s.reportf("job %s is reported as failed, but no task or gang has failed %d times", j.ID, soakAttempts)
		}
	default:
		s.reportf("job %s ended in state %s", j.ID, state)
	}
}

// checkTasksEnded checks that all tasks of a job that is reported as completed have ended.
func (s *soak) checkTasksEnded(j *soakJob) {
	for k := range max(j.Repeat, 1) {
		for i := range j.Steps {
			for n := range j.Steps[i].Count {
				if task := fmt.Sprintf("%s.%d.%d.%d", j.ID, k, i, n); !s.platform.Fleet.Finished(task) {
					s.reportf("job %s is reported as completed, but task %s has not ended", j.ID, task)
				}
			}
		}
	}
}

// attemptsUsed reports whether a task or a gang of the job has failed as often as its queue allows.
func (s *soak) attemptsUsed(j *soakJob) bool {
	for k := range max(j.Repeat, 1) {
		for i := range j.Steps {
			failures := 0 // of the gang, or of the task that has failed most
			for n := range j.Steps[i].Count {
				of := s.platform.Fleet.Failures(fmt.Sprintf("%s.%d.%d.%d", j.ID, k, i, n))
				if j.Steps[i].Gang {
					failures += of
				} else {
					failures = max(failures, of)
				}
			}
			if failures >= soakAttempts {
				return true
			}
		}
	}
	return false
}

// cancelDue reports whether the job is to be cancelled: once a cancel was sent, after cancelAfter,
// or once its long-running tasks have been watched.
func (s *soak) cancelDue(j *soakJob) bool {
	if j.cancelled || j.cancelAfter > 0 && time.Since(j.accepted) > j.cancelAfter {
		return true
	}
	if j.Steps[0].LongRunning {
		select {
		case <-s.watched:
			return true
		default:
		}
	}
	return false
}

// setOpen records a job that must not stall; nil removes it.
func (s *soak) setOpen(id string, j *soakJob) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if j == nil {
		delete(s.open, id)
		return
	}
	s.open[id] = j
}

func (s *soak) isOpen(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open[id] != nil
}

func (s *soak) openJobs() []*soakJob {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.open))
}

// setEnded records that a job's cancellation or its final state was answered.
func (s *soak) setEnded(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endedAt[id].IsZero() {
		s.endedAt[id] = time.Now()
	}
}

// register makes a job known to the checks of starts.
func (s *soak) register(j *soakJob) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs[j.ID] = j
}
