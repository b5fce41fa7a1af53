package lease_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rhubarbshore/internal/lease"
)

// slowest is the factor by which a worker's clock may run slow, by the users' rules.
const slowest = 1.02

// process is the worker's process in the model.
type process struct {
	until   time.Time // when the lease of what it runs expires
	obeys   bool      // the leader: it has answered a call of it, and rejects those of earlier ones
	started bool      // something was started on it
}

// grant lets the process run something under a lease that its clock measures from the given time on.
func (p *process) grant(from time.Time, d time.Duration) {
	p.started = true
	if end := from.Add(time.Duration(float64(d) * slowest)); end.After(p.until) {
		p.until = end
	}
}

// earlierCall is a call of an earlier leader, which is carried out at a time unless the worker obeys a later one.
type earlierCall struct {
	at    time.Time
	lease time.Duration
	start bool
}

// history draws what leaders and a worker do, and checks what the leader knows at each step.
type history struct {
	*rapid.T
	now       time.Time
	worker    process
	known     lease.Worker
	earlier   *lease.Earlier
	calls     []earlierCall // in the order in which they are carried out
	lastGrant time.Time     // when an earlier leader last sent a call that grants a lease
	limited   bool          // it has witnesses
	settled   bool          // it has sent no start lately
	limits    lease.Limits
	confirmed []time.Time // when they confirmed it
	started   []time.Time // when the starts in progress were sent
	endedAt   time.Time   // when a process of the worker last ended
}

func (h *history) millis(most time.Duration, name string) time.Duration {
	return time.Duration(rapid.Int64Range(0, most.Milliseconds()).Draw(h.T, name)) * time.Millisecond
}

// drawEarlierCalls draws the last calls of an earlier leader that does not know of the leader. The worker grants their
// longest lease, as if it had restarted.
func (h *history) drawEarlierCalls(writtenAt time.Time) {
	limits := h.limits
	h.lastGrant, h.settled = writtenAt, rapid.Bool().Draw(h.T, "settled")
	if h.limited = rapid.Bool().Draw(h.T, "limited"); h.limited {
		for range rapid.IntRange(0, 3).Draw(h.T, "confirmations") {
			h.confirmed = append(h.confirmed, writtenAt.Add(h.millis(limits.AfterWrite(), "confirmed after")))
		}
	}
	for range rapid.IntRange(0, 4).Draw(h.T, "calls") {
		c := earlierCall{start: rapid.Bool().Draw(h.T, "start")}
		sentAt := writtenAt
		switch {
		case c.start && h.settled:
			storedAt := writtenAt.Add(-limits.StartSettled() - h.millis(time.Second, "stored before"))
			sentAt = storedAt.Add(h.millis(limits.StartLease, "started after"))
			c.at, c.lease = sentAt.Add(h.millis(limits.OrderTimeout, "carried out after")), limits.MaxLease
		case c.start:
			sentAt = writtenAt.Add(h.millis(limits.StartWindow, "started after"))
			c.at, c.lease = sentAt.Add(h.millis(limits.OrderTimeout, "carried out after")), limits.MaxLease
		default:
			sentAt = writtenAt.Add(h.millis(limits.AfterWrite(), "renewed after"))
			c.at, c.lease = sentAt, min(limits.MaxLease, h.grantLimit(writtenAt, sentAt).Sub(sentAt))
			if c.lease < 0 {
				continue
			}
		}
		if sentAt.After(h.lastGrant) {
			h.lastGrant = sentAt
		}
		h.calls = append(h.calls, c)
	}
	slices.SortStableFunc(h.calls, func(a, b earlierCall) int { return a.at.Compare(b.at) })
}

// grantLimit returns when the leases must end that the earlier leader grants at a time.
func (h *history) grantLimit(writtenAt, now time.Time) time.Time {
	if !h.limited {
		return writtenAt.Add(h.limits.AfterWrite())
	}
	var confirmed time.Time
	for _, at := range h.confirmed {
		if !at.After(now) && at.After(confirmed) {
			confirmed = at
		}
	}
	return h.limits.GrantLimit(writtenAt, confirmed)
}

// learnConfirmations has a witness tell when it last confirmed the earlier leader. It does not do so any more.
func (h *history) learnConfirmations() {
	last := h.now.Add(-time.Hour)
	for _, at := range h.confirmed {
		if at.After(h.now) {
			return // asked now, it would not confirm then
		}
		if at.After(last) {
			last = at
		}
	}
	h.earlier.Confirmed(last)
	h.known.LearnEarlier("w", h.earlier)
}

// pass lets time pass and carries out the calls of the earlier leader.
func (h *history) pass(d time.Duration) {
	h.now = h.now.Add(d)
	for len(h.calls) > 0 && !h.calls[0].at.After(h.now) {
		c := h.calls[0]
		h.calls = h.calls[1:]
		if !h.worker.obeys && (c.start || h.worker.started) {
			h.worker.grant(c.at, c.lease)
		}
		if h.worker.until.Before(c.at) {
			h.worker.started = false
		}
	}
	if !h.known.MayRun(h.now) && h.worker.until.After(h.now) {
		h.Fatalf("a lease is in force for %v, but the leader takes the worker for idle", h.worker.until.Sub(h.now))
	}
}

// endProcess ends the worker's process. The next one has heard of no leader.
func (h *history) endProcess() { h.worker, h.endedAt = process{until: h.now}, h.now }

// step draws an event.
func (h *history) step() {
	limits := h.limits
	switch rapid.IntRange(0, 9).Draw(h.T, "event") {
	case 0: // a renewal without an answer
		d := h.millis(limits.MaxLease, "lease")
		h.known.Grant(h.now, d)
		if h.worker.started && rapid.Bool().Draw(h.T, "arrives") {
			h.worker.obeys = true
			h.worker.grant(h.now, d)
		}
	case 1:
		h.known.StartSent(h.now, limits.MaxLease/2)
		h.started = append(h.started, h.now)
	case 2: // a start is over; a restarted worker may have carried it out
		if len(h.started) == 0 {
			return
		}
		sentAt := h.started[0]
		h.started = h.started[1:]
		if !rapid.Bool().Draw(h.T, "carried out") {
			h.known.StartOver(h.now, time.Time{})
			return
		}
		if !h.endedAt.After(sentAt) && rapid.Bool().Draw(h.T, "known process") {
			h.worker.obeys = true
			h.worker.grant(sentAt, limits.MaxLease/2)
			h.known.StartOver(h.now, time.Time{})
			return
		}
		h.worker.obeys = true
		h.worker.grant(h.now, limits.MaxLease)
		h.known.StartOver(h.now, h.now)
	case 3: // a renewal is answered
		sentAt := h.now
		h.worker.obeys = true
		if rapid.Bool().Draw(h.T, "ends before the answer arrives") {
			h.endProcess()
		}
		h.pass(h.millis(time.Second, "answered after"))
		h.known.Answered(sentAt, h.now, "a")
	case 4: // the process ends and the next one has heard of no leader
		h.endProcess()
	case 5: // the process ends and that of another worker answers
		if h.known.Replaced("a", h.now) {
			h.endProcess()
			h.known.Reset(h.now)
		}
	case 8, 9:
		if h.limited {
			h.learnConfirmations()
		}
	case 6, 7:
		if len(h.calls) > 0 || !h.now.After(h.lastGrant.Add(limits.OrderTimeout)) {
			return // it has not ended
		}
		h.earlier.Ended(h.lastGrant)
		if rapid.Bool().Draw(h.T, "asked") {
			h.earlier.Granted(map[string]time.Time{"w": h.lastGrant})
		}
		h.known.LearnEarlier("w", h.earlier)
	}
}

// Guards against work that runs twice: a leader takes a worker for idle on which a lease is in force that an
// earlier leader, a start without an answer or a restarted worker has left there.
func TestNoLeaseOutlastsWhatTheLeaderKnows(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := &history{T: rt, limits: limits}
		if rapid.Bool().Draw(rt, "long leases") {
			h.limits.MaxLease = 10 * time.Second
		}
		writtenAt := time.UnixMilli(1_788_900_000_000)
		h.drawEarlierCalls(writtenAt)
		h.now = writtenAt
		h.earlier = lease.NewEarlier(lease.EarlierConfig{
			Limits: h.limits, WrittenAt: writtenAt, Started: func(string) bool { return !h.settled },
		})
		h.known = lease.NewWorker("w", h.earlier)
		h.pass(h.millis(3*time.Second, "fenced after"))
		for range rapid.IntRange(1, 12).Draw(rt, "events") {
			h.step()
			h.pass(h.millis(4*time.Second, "wait"))
		}
		if len(h.started) == 0 {
			h.pass(lease.End(time.Time{}, h.limits.AfterWrite()).Sub(time.Time{}) + time.Millisecond)
			if h.known.MayRun(h.now) {
				h.Fatalf("the worker counts as busy without end")
			}
		}
	})
}
