package intake_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbshore/internal/catalog"
	"rhubarbshore/internal/intake"
	"rhubarbshore/internal/scheduler"
	"rhubarbshore/internal/standin"
)

// Guards against a job that is stored, and runs, after its client has left and has cancelled it elsewhere:
// it waited in the queue of a VM behind an append that got no answer.
func TestJobOfAnEndedCallIsNotStored(t *testing.T) {
	run(t, func(s *site) {
		s.log.SetVMFault("vm", &standin.LogFault{Silent: true})
		first, second := jobsOfOnePart()
		go func() { _, _ = s.submit(first) }() // its append gets no answer for 0.9 s
		time.Sleep(100 * time.Millisecond)
		ctx, cancel := context.WithTimeout(s.ctx, 300*time.Millisecond)
		defer cancel()
		j := scheduler.Job{ID: fmt.Sprintf("%016x", second), Customer: "c"}
		done := make(chan error)
		go func() {
			done <- s.intake.Submit(ctx, j, catalog.Origin{Host: "h", Path: "/jobs/" + j.ID, Key: "k"})
		}()
		time.Sleep(500 * time.Millisecond)
		s.log.SetVMFault("vm", nil)
		assert.Assert(t, <-done != nil)
		time.Sleep(5 * time.Second)
		assert.Assert(t, !s.stored(t, second))
	})
}

// jobsOfOnePart returns two jobs of the same part.
func jobsOfOnePart() (first, second int) {
	part := func(id int) int { return intake.PartOf(fmt.Sprintf("%016x", id)) }
	for first, second = 0, 1; part(second) != part(first); {
		second++
	}
	return first, second
}
