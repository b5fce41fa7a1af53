package join_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"rhubarbshore/internal/scheduler"
	"rhubarbshore/platform/platformtest"
)

const (
	// soakPenalty is the factor on the run time of a task away from its data, by the settings.
	soakPenalty = 3
	// soakTaskOverhead is the time to start a task and to learn of its end.
	soakTaskOverhead = 5 * time.Second
)

// variedShape draws a job of one or two steps with any preference. Their tasks run for 0.1 to 20
// times as long as declared, some always fail, and some jobs have times. All can be done on the
// first soakWorkers workers.
func variedShape(r *rand.Rand, j *soakJob) {
	j.Steps = []scheduler.Step{variedStep(r)}
	if r.IntN(5) == 0 {
		second := variedStep(r)
		second.After = []int{0}
		j.Steps = append(j.Steps, second)
	}
	j.fails = r.IntN(8) == 0
	for i := range j.Steps {
		ratio := []float64{0.1, 0.3, 0.8, 1, 1, 1.3, 2, 5, 10, 20}[r.IntN(10)]
		work := time.Duration(ratio * float64(j.Steps[i].Estimate))
		if j.fails {
			work = min(work, 2*time.Second)
		}
		j.work = append(j.work, work)
	}
	if r.IntN(5) == 0 {
		j.Repeat, j.Interval = 1+r.IntN(3), time.Duration(300+r.IntN(1500))*time.Millisecond
		j.First = time.Now().Add(time.Duration(r.IntN(4000)) * time.Millisecond).UnixMilli()
	}
	if r.IntN(6) == 0 {
		j.cancelEarly = time.Duration(1+r.IntN(60)) * time.Millisecond
	}
}

func variedStep(r *rand.Rand) scheduler.Step {
	accelerators := []int64{0, 1, 1, 2, 4, 8}[r.IntN(6)]
	st := scheduler.Step{
		Count: 1 + r.IntN(5), Need: scheduler.Resources{CPU: 500 + 2000*accelerators, Memory: 1024 + 4096*accelerators, Accelerators: accelerators},
		Estimate: time.Duration(100+r.IntN(200)) * time.Millisecond, Gang: r.IntN(2) == 0, Checkpoints: r.IntN(3) == 0,
	}
	switch r.IntN(5) {
	case 0: // as wide as the first workers at most
		st.Count = 1 + r.IntN(int(soakWorkers*workerAccelerators/max(accelerators, 2)))
	case 1: // uses the kinds of resource unevenly
		st.Need = scheduler.Resources{CPU: 1000 + r.Int64N(16000), Memory: 1024 + r.Int64N(30000), Accelerators: r.Int64N(2)}
	}
	st.Tight = st.Gang && r.IntN(2) == 0
	switch r.IntN(6) {
	case 0:
		st.Rack = "r1-" + strconv.Itoa(r.IntN(4))
	case 1:
		st.Label = platformtest.Label
	case 2:
		st.Count, st.MaxPerWorker = min(st.Count, soakWorkers), 1+r.IntN(2)
	}
	return st
}

// cancelBeforeAnswer cancels a job whose submission has not been answered.
func (s *soak) cancelBeforeAnswer(ctx context.Context, c *platformtest.Client, j *soakJob) {
	time.Sleep(j.cancelEarly)
	status, err := c.Cancel(ctx, j.ID, j.Queue.Priority)
	j.cancelledUnknown = err == nil && status == http.StatusGone
	if err == nil && status == http.StatusOK || j.cancelledUnknown {
		s.setEnded(j.ID)
	}
	j.cancelled = !refusedConnection(err)
}

// workLeft returns how long the open work takes at most, one job after the other, each away from
// its rack and with all attempts of those that fail.
func (s *soak) workLeft() time.Duration {
	sum := time.Duration(0)
	for _, j := range s.openJobs() {
		for i := range j.work {
			d := soakPenalty * j.work[i]
			if j.fails {
				d *= soakAttempts
			}
			sum += time.Duration(max(j.Repeat, 1)) * (d + soakTaskOverhead)
		}
	}
	return sum
}

// summary returns how many jobs of what shapes were played.
func (s *soak) summary() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, ended, failing, timed, early := 0, 0, 0, 0, 0
	for id, j := range s.jobs {
		if j.accepted.IsZero() {
			continue
		}
		n++
		if !s.endedAt[id].IsZero() {
			ended++
		}
		if j.fails {
			failing++
		}
		if j.Repeat > 0 {
			timed++
		}
		if j.cancelEarly > 0 {
			early++
		}
	}
	return fmt.Sprintf("%d jobs were accepted, %d ended; %d fail, %d have times, %d were cancelled before an answer; %d starts", n, ended, failing, timed, early, s.platform.Fleet.Starts())
}
