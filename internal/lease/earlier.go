package lease

import "time"

// Earlier is what is known of the leases of earlier leaders, which can't write any more.
type Earlier struct {
	limits    Limits
	writtenAt time.Time
	silent    map[string]time.Duration
	endedAt   time.Time            // when all their leases have expired, zero if unknown
	grants    map[string]time.Time // when they last granted one, by worker, if they were asked
}

// EarlierConfig configures an Earlier.
type EarlierConfig struct {
	Limits    Limits
	WrittenAt time.Time // when the last write of an earlier leader was sent, at the latest
	// Silent has, from WrittenAt on, the time until all leases have expired on workers on which the earlier
	// leaders granted none any more.
	Silent map[string]time.Duration
}

// NewEarlier returns what is known of the leases of earlier leaders.
func NewEarlier(cfg EarlierConfig) *Earlier {
	return &Earlier{limits: cfg.Limits, writtenAt: cfg.WrittenAt, silent: cfg.Silent}
}

// WrittenAt returns when the last write of an earlier leader was sent, at the latest.
func (e *Earlier) WrittenAt() time.Time { return e.writtenAt }

// Silent reports whether the earlier leaders granted no leases on a worker any more.
func (e *Earlier) Silent(worker string) bool {
	_, silent := e.silent[worker]
	return silent
}

// Ended notes that all earlier leaders have ended and granted no lease after a time.
func (e *Earlier) Ended(lastGrant time.Time) { e.endedAt = e.afterGrant(lastGrant) }

// Granted notes when the earlier leaders, which have ended, last granted a lease on workers.
func (e *Earlier) Granted(at map[string]time.Time) { e.grants = at }

// Expiry returns when all leases of the earlier leaders on a worker have certainly expired.
func (e *Earlier) Expiry(worker string) time.Time {
	d := e.limits.AfterWrite()
	if silent, known := e.silent[worker]; known {
		d = min(d, silent)
	}
	end := End(e.writtenAt, d)
	if !e.endedAt.IsZero() {
		end = earlier(end, e.endedAt)
	}
	if at, known := e.grants[worker]; known {
		end = earlier(end, e.afterGrant(at))
	}
	return end
}

// End returns when all leases of the earlier leaders have expired, on whatever worker.
func (e *Earlier) End() time.Time {
	end := End(e.writtenAt, e.limits.AfterWrite())
	if !e.endedAt.IsZero() {
		return earlier(end, e.endedAt)
	}
	return end
}

// StartsEnd returns until when workers may accept starts of the earlier leaders.
func (e *Earlier) StartsEnd() time.Time {
	return End(e.writtenAt, e.limits.StartWindow+e.limits.OrderTimeout)
}

// afterGrant returns when a lease has expired that was granted last at the given time. The call may be carried out
// until it is given up, by a restarted worker.
func (e *Earlier) afterGrant(at time.Time) time.Time {
	return End(at.Add(e.limits.OrderTimeout), e.limits.MaxLease)
}
