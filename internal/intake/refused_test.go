package intake_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbshore/internal/intake"
	"rhubarbshore/internal/scheduler"
)

// refusingScheduler refuses all calls.
type refusingScheduler struct{ err error }

func (r refusingScheduler) State(context.Context, string, string) (scheduler.State, error) {
	return "", r.err
}

func (r refusingScheduler) Cancel(context.Context, string, string) (scheduler.State, error) {
	return "", r.err
}

func (r refusingScheduler) Waiting(context.Context, string) (int, error) { return 0, r.err }

func (refusingScheduler) Owner(string) (string, bool) { return "", false }

// Guards against callers who wait until their deadline although the leader has refused their call, and who
// are told nothing of when to come again.
func TestRefusedQueryIsAnsweredAtOnce(t *testing.T) {
	refusal := &intake.BusyError{Reason: "full", RetryAfter: 7 * time.Second}
	for name, q := range map[string]intake.Query{"state": {Job: "x"}, "cancel": {Cancel: "x"}, "count": {Queue: "q"}} {
		rep := intake.AnswerQuery(t.Context(), refusingScheduler{refusal}, q)
		assert.Equal(t, rep, intake.Reply{Refused: "full", RetryAfterMS: 7000}, name)
	}
	run(t, func(s *site) {
		s.tracker.setLeader("a")
		s.leaders.reply = intake.Reply{Refused: "full", RetryAfterMS: 7000}
		began := time.Now()
		_, stateErr := s.intake.State(s.ctx, "x", "")
		_, countErr := s.intake.Waiting(s.ctx, "q")
		for _, err := range []error{stateErr, s.intake.Cancel(s.ctx, "x", ""), countErr} {
			var busy *intake.BusyError
			assert.Assert(t, errors.As(err, &busy), "%v", err)
			assert.DeepEqual(t, busy, refusal)
		}
		assert.Assert(t, time.Since(began) < 100*time.Millisecond)
	})
}
