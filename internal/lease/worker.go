package lease

import "time"

// Worker is what a leader knows of the leases on one worker. It counts what the leader grants itself, and for a worker
// that has not answered it yet, what earlier leaders may have granted.
type Worker struct {
	limits       Limits
	expires      time.Time // when all leases have certainly expired, but for those of starts in progress
	claimed      bool      // it has answered this leader, so it rejects earlier ones
	granted      bool      // this leader may have granted a lease
	starting     int       // starts in progress
	startedAt    time.Time // when a start was last over
	answeredAt   time.Time // when it last answered a renewal
	answeredFrom string    // address at which it did
}

// NewWorker returns what is known of a worker that has not answered yet.
func NewWorker(id string, e *Earlier) Worker {
	return Worker{limits: e.limits, expires: e.Expiry(id)}
}

// MayRun reports whether anything may run on the worker.
func (w *Worker) MayRun(now time.Time) bool { return w.starting > 0 || !now.After(w.expires) }

// Expires returns when all leases have certainly expired, but for those of starts in progress.
func (w *Worker) Expires() time.Time { return w.expires }

// Claimed reports whether the worker has answered this leader.
func (w *Worker) Claimed() bool { return w.claimed }

// Inherited reports whether only earlier leaders may have granted leases.
func (w *Worker) Inherited() bool { return !w.claimed && !w.granted }

// AnsweredAt returns when the worker last answered a renewal.
func (w *Worker) AnsweredAt() time.Time { return w.answeredAt }

// LearnEarlier takes over what has become known of the leases of earlier leaders. It reports whether that matters for
// the worker, and whether its leases end sooner.
func (w *Worker) LearnEarlier(id string, e *Earlier) (inherited, sooner bool) {
	if !w.Inherited() {
		return false, false
	}
	end := e.Expiry(id)
	sooner = end.Before(w.expires)
	w.expires = earlier(w.expires, end)
	return true, sooner
}

// Grant counts a lease that the worker may have granted.
func (w *Worker) Grant(at time.Time, lease time.Duration) {
	w.expires, w.granted = later(End(at, lease), w.expires), true
}

// StartSent counts a start with a lease. Others may follow as long as the start is in progress.
func (w *Worker) StartSent(at time.Time, lease time.Duration) {
	w.starting++
	w.Grant(at, lease)
}

// StartOver counts the longest lease for a start that is over, which a restarted worker may have carried out at the
// given time at the latest; zero if none can have.
func (w *Worker) StartOver(now, carriedOut time.Time) {
	w.starting = max(w.starting-1, 0) // the worker may have been forgotten meanwhile
	w.startedAt = now
	if !carriedOut.IsZero() {
		w.Grant(carriedOut, w.limits.MaxLease)
	}
}

// Answered notes an answer to a renewal. With the first one, leases of earlier leaders can't be renewed any more.
func (w *Worker) Answered(now time.Time, address string) (first bool) {
	w.answeredAt, w.answeredFrom = now, address
	if w.claimed {
		return false
	}
	w.claimed, w.expires = true, time.Time{}
	w.Grant(now, w.limits.MaxLease)
	return true
}

// Replaced reports whether the process of the worker has ended, and its runs with it, as another one answered a
// call at the address at which the worker did. Starts that may be carried out after that, by a later process of
// the worker, have to wait for their leases.
func (w *Worker) Replaced(address string, sentAt time.Time) bool {
	return address == w.answeredFrom && w.starting == 0 && !w.startedAt.After(sentAt)
}

// Reset counts the longest lease from now on, for a worker on which nothing runs: its next process may be sent a
// start.
func (w *Worker) Reset(now time.Time) { w.expires = now.Add(w.limits.MaxLease) }
