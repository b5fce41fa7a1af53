package lease_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbshore/internal/lease"
)

var limits = lease.Limits{
	MaxLease: 6 * time.Second, StartWindow: 1100 * time.Millisecond, OrderTimeout: 500 * time.Millisecond, StoreOutage: 11 * time.Second,
	StartLease: 3 * time.Second, Renewal: 7900 * time.Millisecond,
}

// Guards against work that waits longer than its lease can last: what is known of silent workers and of ended leaders
// must shorten the wait, and never prolong it.
func TestWhatIsKnownOfEarlierLeadersOnlyShortensTheWait(t *testing.T) {
	writtenAt := time.UnixMilli(1_788_900_000_000)
	e := lease.NewEarlier(lease.EarlierConfig{
		Limits: limits, WrittenAt: writtenAt, Silent: map[string]time.Duration{"silent": 2 * time.Second, "long": time.Hour},
	})
	longest := lease.End(writtenAt, limits.AfterWrite())
	assert.Equal(t, e.Expiry("silent"), lease.End(writtenAt, 2*time.Second))
	assert.Equal(t, e.Expiry("long"), longest)
	assert.Equal(t, e.Expiry("other"), longest)
	e.Ended(writtenAt.Add(time.Second))
	assert.Equal(t, e.Expiry("silent"), lease.End(writtenAt, 2*time.Second))
	ended := lease.End(writtenAt.Add(time.Second+limits.OrderTimeout), limits.MaxLease)
	assert.Equal(t, e.Expiry("other"), ended)
	e.Granted(map[string]time.Time{"other": writtenAt.Add(-time.Second), "silent": writtenAt.Add(time.Hour)})
	assert.Equal(t, e.Expiry("other"), lease.End(writtenAt.Add(-time.Second+limits.OrderTimeout), limits.MaxLease))
	assert.Equal(t, e.Expiry("silent"), lease.End(writtenAt, 2*time.Second))
	assert.Equal(t, e.End(), ended)
	answered := lease.NewWorker("other", e)
	for i, after := range []time.Duration{0, limits.StartWindow, 2 * time.Second, 3 * time.Second} {
		settled := answered.Answered(writtenAt.Add(after), writtenAt.Add(after), "a")
		assert.Equal(t, settled, i == 2, "starts of earlier leaders may be carried out for %v", limits.StartWindow+limits.OrderTimeout)
	}
	inherited, sooner := answered.LearnEarlier("other", e)
	assert.Assert(t, !inherited && !sooner, "an answer of the worker says more")
}

// Guards against a start that a restarted worker has carried out under its longest lease, and that is taken for one of
// the process before: each process's clock starts again.
func TestClockOfALaterProcessIsToldFromThatOfTheOneBefore(t *testing.T) {
	readAt := time.UnixMilli(1_788_900_000_000)
	before := lease.Clock{MS: 480_000, ReadAt: readAt}
	for _, c := range []struct {
		after time.Duration
		ms    int64
		same  bool
	}{
		{after: 0, ms: 480_000, same: true},
		{after: 10 * time.Second, ms: 490_000, same: true},
		{after: 10 * time.Second, ms: 489_800, same: true}, // 2 % slow
		{after: 10 * time.Second, ms: 10_000},
		{after: 10 * time.Second, ms: 10_200}, // 2 % fast
		{after: 10 * time.Second, ms: 0},
		{after: time.Hour, ms: 3_600_000},
	} {
		got := before.IsSameProcess(lease.Clock{MS: c.ms, ReadAt: readAt.Add(c.after)})
		assert.Equal(t, got, c.same, "%v later %d ms", c.after, c.ms)
	}
	assert.Assert(t, !(lease.Clock{}).IsSameProcess(before), "no clock was read before")
}

// Guards against work that runs twice: a worker answered the leader and restarted, and the start of an earlier leader
// reached its next process as late as it can be carried out.
func TestStartOfAnEarlierLeaderOnARestartedWorkerIsWaitedFor(t *testing.T) {
	writtenAt := time.UnixMilli(1_788_900_000_000)
	e := lease.NewEarlier(lease.EarlierConfig{Limits: limits, WrittenAt: writtenAt})
	w := lease.NewWorker("w", e)
	answeredAt := writtenAt.Add(100 * time.Millisecond)
	w.Answered(answeredAt, answeredAt, "a")
	p := process{}
	p.grant(writtenAt.Add(limits.StartWindow+limits.OrderTimeout), limits.MaxLease)
	assert.Assert(t, w.MayRun(p.until), "a lease is in force until %v after the last write", p.until.Sub(writtenAt))
}

// Guards against work that waits for leases that only an outage of the store explains, and against work that runs twice
// as a confirmation of the leader that granted them is left out.
func TestConfirmationsBoundTheWaitForALostLeader(t *testing.T) {
	writtenAt := time.UnixMilli(1_788_900_000_000)
	e := lease.NewEarlier(lease.EarlierConfig{Limits: limits, WrittenAt: writtenAt})
	longest := lease.End(writtenAt, limits.AfterWrite())
	assert.Equal(t, e.Expiry("w"), longest, "witnesses have not told")
	for _, c := range []struct {
		confirmed time.Time
		want      time.Time
	}{
		{writtenAt.Add(-time.Hour), lease.End(writtenAt, limits.AfterConfirmation())},
		{writtenAt.Add(time.Second), lease.End(writtenAt.Add(time.Second), limits.AfterConfirmation())},
		{writtenAt.Add(10 * time.Second), longest},
	} {
		e.Confirmed(c.confirmed)
		assert.Equal(t, e.Expiry("w"), c.want)
		assert.Equal(t, e.End(), c.want)
		limit := limits.GrantLimit(writtenAt, c.confirmed)
		assert.Assert(t, !limit.Before(writtenAt.Add(limits.AfterConfirmation())) && !limit.After(writtenAt.Add(limits.AfterWrite())))
		assert.Assert(t, limit.Before(c.want), "the leader's limit is before the end that the next one waits for")
	}
	// The users allow a lasting task 9 s, of which the write and the start after the wait take some.
	assert.Assert(t, lease.End(writtenAt, limits.AfterConfirmation()).Sub(writtenAt) < 8*time.Second)
}
