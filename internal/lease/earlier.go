package lease

import "time"

// Earlier is what is known of the leases of earlier leaders, which can't write any more.
type Earlier struct {
	limits    Limits
	writtenAt time.Time
	first     bool
	silent    map[string]time.Duration
	started   func(worker string) bool
	confirmed time.Time            // when a witness last confirmed one of them, zero unless witnesses of all tell
	lastGrant time.Time            // when they last granted a lease, zero unless all have ended
	grants    map[string]time.Time // when they last granted one, by worker, if they were asked
}

// EarlierConfig configures an Earlier.
type EarlierConfig struct {
	Limits    Limits
	WrittenAt time.Time // when the last write of an earlier leader was sent, at the latest
	// First is set if no earlier leader is known: an answer of a worker is enough then.
	First bool
	// Silent has, from WrittenAt on, the time until all leases have expired on workers on which the earlier
	// leaders granted none any more.
	Silent map[string]time.Duration
	// Started reports whether a start may have been sent to a worker within Limits.StartSettled before WrittenAt, or
	// later. If it is nil, one may have been sent to each.
	Started func(worker string) bool
}

// NewEarlier returns what is known of the leases of earlier leaders.
func NewEarlier(cfg EarlierConfig) *Earlier {
	return &Earlier{limits: cfg.Limits, writtenAt: cfg.WrittenAt, first: cfg.First, silent: cfg.Silent, started: cfg.Started}
}

// Ended notes that all earlier leaders have ended and granted no lease after a time.
func (e *Earlier) Ended(lastGrant time.Time) { e.lastGrant = lastGrant }

// Confirmed notes when witnesses last confirmed one of the earlier leaders, at the latest. They confirm none any more.
func (e *Earlier) Confirmed(at time.Time) { e.confirmed = at }

// Granted notes when the earlier leaders, which have ended, last granted a lease on workers.
func (e *Earlier) Granted(at map[string]time.Time) { e.grants = at }

// Expiry returns when all leases of the earlier leaders on a worker have certainly expired.
func (e *Earlier) Expiry(worker string) time.Time {
	end := e.end(e.started == nil || e.started(worker))
	if silent, known := e.silent[worker]; known {
		end = earlier(end, End(e.writtenAt, silent))
	}
	if at, known := e.grants[worker]; known {
		end = earlier(end, e.afterGrant(at))
	}
	return end
}

// End returns when all leases of the earlier leaders have expired, on whatever worker.
func (e *Earlier) End() time.Time { return e.end(true) }

// end returns when they have expired on a worker to which a start may have been sent lately, or not.
func (e *Earlier) end(started bool) time.Time {
	end := End(e.writtenAt, e.limits.AfterWrite())
	if !e.confirmed.IsZero() {
		renewed := End(later(e.writtenAt, e.confirmed), e.limits.AfterConfirmation())
		if started {
			renewed = later(renewed, End(e.writtenAt, e.limits.AfterStart()))
		}
		end = earlier(end, renewed)
	}
	if !e.lastGrant.IsZero() {
		end = earlier(end, e.afterGrant(e.lastGrant))
	}
	return end
}

// StartsEnd returns until when workers may accept starts of the earlier leaders.
func (e *Earlier) StartsEnd() time.Time {
	if e.first {
		return e.writtenAt
	}
	end := End(e.writtenAt, e.limits.StartWindow+e.limits.OrderTimeout)
	if !e.lastGrant.IsZero() {
		return earlier(end, e.lastGrant.Add(e.limits.OrderTimeout))
	}
	return end
}

// afterGrant returns when a lease has expired that was granted last at the given time. The call may be carried out
// until it is given up, by a restarted worker.
func (e *Earlier) afterGrant(at time.Time) time.Time {
	return End(at.Add(e.limits.OrderTimeout), e.limits.MaxLease)
}
