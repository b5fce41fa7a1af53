package lease

import "time"

// Worker is what a leader knows of the leases on one worker. It counts what the leader grants itself, and for a worker
// that has not answered it yet, what earlier leaders may have granted.
type Worker struct {
	limits Limits
	// own is when the leases of this leader have certainly expired, but for those of starts in progress,
	// and inherited when those of earlier leaders have, zero if none can be in force.
	own, inherited time.Time
	// earlierStartsEnd is until when starts of earlier leaders may be carried out.
	earlierStartsEnd time.Time
	claimed          bool      // it has answered this leader
	starting         int       // starts in progress
	startedAt        time.Time // when a start was last over
	answeredAt       time.Time // when it last answered a renewal
	answeredFrom     string    // address at which it did
}

// NewWorker returns what is known of a worker that has not answered yet.
func NewWorker(id string, e *Earlier) Worker {
	return Worker{limits: e.limits, inherited: e.Expiry(id), earlierStartsEnd: e.StartsEnd()}
}

// MayRun reports whether anything may run on the worker.
func (w *Worker) MayRun(now time.Time) bool { return w.starting > 0 || !now.After(w.Expires()) }

// Expires returns when all leases have certainly expired, but for those of starts in progress.
func (w *Worker) Expires() time.Time { return later(w.own, w.inherited) }

// Claimed reports whether the worker has answered this leader.
func (w *Worker) Claimed() bool { return w.claimed }

// Inherited reports whether leases of earlier leaders may be in force that the worker has not told of.
func (w *Worker) Inherited() bool { return !w.inherited.IsZero() }

// AnsweredAt returns when the worker last answered a renewal.
func (w *Worker) AnsweredAt() time.Time { return w.answeredAt }

// LearnEarlier takes over what has become known of the leases of earlier leaders. It reports whether that matters for
// the worker, and whether its leases end sooner.
func (w *Worker) LearnEarlier(id string, e *Earlier) (inherited, sooner bool) {
	if !w.Inherited() {
		return false, false
	}
	end := e.Expiry(id)
	sooner = end.Before(w.inherited)
	w.inherited, w.earlierStartsEnd = earlier(w.inherited, end), earlier(w.earlierStartsEnd, e.StartsEnd())
	return true, sooner
}

// Grant counts a lease that the worker may have granted.
func (w *Worker) Grant(at time.Time, lease time.Duration) {
	w.own = later(End(at, lease), w.own)
}

// StartSent counts a start with a lease. Others may follow as long as the start is in progress.
func (w *Worker) StartSent(at time.Time, lease time.Duration) {
	w.starting++
	w.Grant(at, lease)
}

// StartOver counts the longest lease for a start that is over, which a restarted worker may have carried out at the
// given time at the latest; zero if none can have. For the process that the start was meant for, the lease
// of the start is counted already.
func (w *Worker) StartOver(now, carriedOut time.Time) {
	w.starting = max(w.starting-1, 0) // the worker may have been forgotten meanwhile
	w.startedAt = now
	if !carriedOut.IsZero() {
		w.Grant(carriedOut, w.limits.MaxLease)
	}
}

// Answered notes an answer to a renewal. It reports whether this is the first one that shows that no lease of an earlier
// leader can be granted any more: the worker's process rejects their calls, and none of their starts can reach a
// later process that does not.
func (w *Worker) Answered(sentAt, now time.Time, address string) (settled bool) {
	w.claimed, w.answeredAt, w.answeredFrom = true, now, address
	if !w.Inherited() || sentAt.Before(w.earlierStartsEnd) {
		return false
	}
	// One of them may be in force, but none lasts longer than was known before.
	w.own = later(w.own, earlier(End(now, w.limits.MaxLease), w.inherited))
	w.inherited = time.Time{}
	return true
}

// Replaced reports whether the process of the worker has ended, and its runs with it, as another one answered a
// call at the address at which the worker did. Starts that may be carried out after that, by a later process of
// the worker, have to wait for their leases.
func (w *Worker) Replaced(address string, sentAt time.Time) bool {
	return address == w.answeredFrom && !w.Inherited() && w.starting == 0 && !w.startedAt.After(sentAt)
}

// Reset counts the longest lease from now on, for a worker on which nothing runs: its next process may be sent a
// start.
func (w *Worker) Reset(now time.Time) { w.own, w.inherited = now.Add(w.limits.MaxLease), time.Time{} }
