package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbshore/internal/scheduler"
)

// Guards against a start after all attempts of a task have failed: the last failure and the job's outcome were in two
// appends, and the leader was lost between them.
func TestTaskWithoutAttemptsIsNotStartedByTheNextLeader(t *testing.T) {
	for name, c := range map[string]struct {
		step  scheduler.Step
		fails string
		state scheduler.State
	}{
		"task":           {tasks(2, 1), `"fails":2,"faults":[1,2]`, scheduler.Failed},
		"gang":           {gang(2, 1), `"fails":2,"faults":[1,2]`, scheduler.Failed},
		"attempts left":  {tasks(2, 1), `"fails":1,"faults":[2]`, scheduler.Running},
		"runs for long":  {lasting(2), `"fails":2,"faults":[1,2]`, scheduler.Running},
		"former version": {tasks(2, 1), `"fails":2,"failed":2`, scheduler.Failed},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPool(t, 2)
			for i := range 2 {
				fails := ""
				if i == 1 || c.step.Gang {
					fails = "," + c.fails
				}
				assert.NilError(t, p.core.Restore(p.now, fmt.Sprintf("job.0.0.%d", i), []byte(`{"run":2`+fails+`}`)))
			}
			p.submit("job", 1, "c", c.step)
			p.step(50 * time.Millisecond)
			assert.Equal(t, p.state("job"), c.state)
			assert.Equal(t, len(p.runs) == 0, c.state == scheduler.Failed, "%d runs", len(p.runs))
		})
	}
}

func lasting(count int) scheduler.Step {
	s := tasks(count, 1)
	s.LongRunning = true
	return s
}
