package leader_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rhubarbshore/internal/intake"
	"rhubarbshore/internal/leader"
	"rhubarbshore/internal/scheduler"
	"rhubarbshore/internal/standin"
)

const (
	// cancelBound is how long after the answer to its cancelling a job's task may start, by the users'
	// rules.
	cancelBound = 3 * time.Second
	// cancelTries is how long a client repeats a DELETE without a definite answer.
	cancelTries = 20 * time.Second
)

// lateJob is a submission that the store carries out after its answer was given up, and a DELETE that its
// client sends meanwhile.
type lateJob struct {
	storedAfter, cancelledAfter time.Duration // since the submission was sent
}

// cancellations records when the DELETEs of jobs were answered and when tasks were started too late.
type cancellations struct {
	mu         sync.Mutex
	answeredAt map[string]time.Time
	late       []string
}

// checkStart records a start that comes later than allowed after the answer to its job's cancelling.
func (c *cancellations) checkStart(task string) {
	id, _, _ := splitTask(task)
	c.mu.Lock()
	defer c.mu.Unlock()
	if at, answered := c.answeredAt[id]; answered && time.Since(at) > cancelBound {
		c.late = append(c.late, fmt.Sprintf("%s started %s after the answer to its cancelling", task, time.Since(at)))
	}
}

// answered reports whether the DELETE of a job had a definite answer.
func (c *cancellations) answered(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.answeredAt[id].IsZero()
}

// lateStarts returns the starts that came later than allowed.
func (c *cancellations) lateStarts() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.late
}

// playLateJob submits and cancels a job, and returns once its client has a definite answer or gives up.
func (p *pool) playLateJob(id int, l lateJob, c *cancellations) {
	j := job(id, 1, step(1, 1))
	j.Accepted = time.Now().UnixMilli()
	p.mu.Lock()
	p.jobs[j.ID] = &j
	p.mu.Unlock()
	value, err := json.Marshal(j)
	if err != nil {
		panic(err)
	}
	time.AfterFunc(l.storedAfter, func() {
		for _, r := range intake.NewRecords(j.ID, value) {
			p.log.Put(intake.Stream(intake.PartOf(j.ID)), r)
		}
	})
	time.Sleep(l.cancelledAfter)
	for begun := time.Now(); time.Since(begun) < cancelTries; time.Sleep(100 * time.Millisecond) {
		if err := p.cancelJob(j.ID); err == nil || errors.Is(err, scheduler.ErrUnknown) {
			c.mu.Lock()
			c.answeredAt[j.ID] = time.Now()
			c.mu.Unlock()
			return
		}
	}
}

// Guards against a job that starts although its cancelling was answered: a write of the submission, or one of the
// leader that keeps the cancelling, was carried out late, was lost, or belonged to a leader that another one
// had replaced meanwhile.
func TestCancelledJobsStayCancelledWhateverTheStoreDoesLate(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		millis := func(limit int, name string) time.Duration {
			return time.Duration(rapid.IntRange(0, limit).Draw(rt, name)) * time.Millisecond
		}
		jobs := make([]lateJob, rapid.IntRange(1, 6).Draw(rt, "jobs"))
		for i := range jobs {
			jobs[i] = lateJob{storedAfter: millis(12_000, "stored after"), cancelledAfter: millis(3000, "cancelled after")}
		}
		type trouble struct {
			kind  int
			after time.Duration
			fault standin.LogFault
		}
		troubles := make([]trouble, rapid.IntRange(0, 6).Draw(rt, "troubles"))
		for i := range troubles {
			troubles[i] = trouble{kind: rapid.IntRange(0, 4).Draw(rt, "kind"), after: millis(1500, "after")}
			troubles[i].fault = standin.LogFault{
				Silent: rapid.Bool().Draw(rt, "silent"), LossRate: float64(rapid.IntRange(0, 2).Draw(rt, "loss")) / 2, Late: millis(6000, "late"), Slow: millis(200, "slow"),
			}
		}
		c := &cancellations{answeredAt: map[string]time.Time{}}
		var unanswered, wrong []string
		violations := run(t, 4, func(p *pool) {
			p.fleet.SetStartCheck(func(task string) string {
				c.checkStart(task)
				return p.check(task)
			})
			p.elect()
			time.Sleep(time.Second)
			var clients sync.WaitGroup
			for i, l := range jobs {
				clients.Go(func() { p.playLateJob(i+1, l, c) })
			}
			for _, tr := range troubles {
				time.Sleep(tr.after)
				switch l := p.newest(); tr.kind {
				case 0:
					p.takeOver(tr.after)
				case 1: // the leader goes on as it doesn't know of the next one
					p.elect()
				case 2:
					p.log.SetStreamFault(leader.Stream, &tr.fault)
				case 3:
					p.log.SetVMFault(l.vm, &tr.fault)
				case 4:
					p.log.SetStreamFault(leader.Stream, nil)
				}
			}
			time.Sleep(2 * time.Second)
			p.heal()
			p.log.SetVMFault(p.newest().vm, nil)
			p.elect()
			clients.Wait()
			time.Sleep(20 * time.Second)
			for i := range jobs {
				id := job(i+1, 1).ID
				if !c.answered(id) {
					unanswered = append(unanswered, id)
				}
				if s := p.state(id); s != scheduler.Cancelled && s != scheduler.Completed {
					wrong = append(wrong, id+" "+string(s))
				}
			}
		})
		if late := c.lateStarts(); len(violations)+len(late)+len(unanswered)+len(wrong) > 0 {
			rt.Fatalf("broken rules: %v\nstarted late: %v\nno answer: %v\nstates: %v", violations, late, unanswered, wrong)
		}
	})
}
