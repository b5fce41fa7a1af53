// Package lease answers whether a worker may still run anything, and until when, as far as a leader can know. It
// does no I/O and reads no clock.
//
// A worker runs tasks only while a lease is in force there, whose end it measures on its own clock. A leader
// grants leases by renewals and starts. What it can't know is counted so that work never runs twice:
//
//   - A call that got no answer may have been carried out, and a start may be carried out until its
//     call is given up.
//   - A worker that has restarted unnoticed runs what it is sent, under its longest lease, since the end that a call
//     requests is on the clock of the process before.
//   - Earlier leaders may grant leases for some time after their last write, unless they have ended and tell when they
//     last granted one. A leader that has named witnesses grants less, unless all of them confirm that they know of no
//     later leader, and each tells the next one when it last did.
//
// Nothing runs on a worker once all leases that may have been granted have expired, or once another process answers
// at its address.
package lease

import "time"

const (
	// MaxClockDrift is the largest factor by which a worker's clock may run slow: the 2 % of the
	// platform's rules and some reserve.
	MaxClockDrift = 1.03
	// ExpirySlack covers the limited resolution of clocks.
	ExpirySlack = 250 * time.Millisecond
)

// End returns when a lease granted at the given time has certainly expired.
func End(at time.Time, lease time.Duration) time.Time {
	return at.Add(time.Duration(float64(lease)*MaxClockDrift) + ExpirySlack)
}

// Clock is a reading of a worker's clock, which starts again with each process of it.
type Clock struct {
	MS     int64     // what it showed, in milliseconds
	ReadAt time.Time // when the answer with it arrived; zero if there was none
}

// IsSameProcess reports whether a later reading is certainly of the same process: the clock of one that started
// after this reading can't show as much yet.
func (c Clock) IsSameProcess(later Clock) bool {
	sinceRead := later.ReadAt.Sub(c.ReadAt)
	return !c.ReadAt.IsZero() && time.Duration(later.MS)*time.Millisecond > time.Duration(float64(sinceRead)*MaxClockDrift)+ExpirySlack
}

// Limits bound what leaders and workers do.
type Limits struct {
	MaxLease     time.Duration // longest lease that a worker grants
	StartWindow  time.Duration // after its last write was sent, a leader sends starts for this long
	OrderTimeout time.Duration // an order is carried out this long after it was sent, or not at all
	StoreOutage  time.Duration // length of an outage of the store that leases outlast
	StartLease   time.Duration // longest lease that a start requests, and the time in which it is sent
	Renewal      time.Duration // after a confirmation, renewals request leases up to this time
}

// AfterStart returns how long after its last write a lease may end that a start of the leader has brought about, before
// clocks are allowed for. It covers a start at the end of the window, on a restarted worker.
func (l Limits) AfterStart() time.Duration {
	return l.MaxLease + l.StartWindow + l.OrderTimeout - ExpirySlack
}

// AfterConfirmation returns how long after its last confirmation, by a stored write or by its witnesses, the leases
// that a leader grants by renewals may end, before clocks are allowed for.
func (l Limits) AfterConfirmation() time.Duration { return min(l.AfterStart(), l.Renewal) }

// AfterWrite returns how long after its last write was sent the leases that a leader grants may end, however often
// its witnesses confirm it, before clocks are allowed for.
func (l Limits) AfterWrite() time.Duration { return max(l.AfterStart(), l.StoreOutage) }

// StartSettled returns how long after a start was stored the leases that it may have brought about end no later than
// those of renewals, by a later write of its leader.
func (l Limits) StartSettled() time.Duration {
	return max(l.StartLease+l.OrderTimeout+l.MaxLease-l.AfterConfirmation(), 0)
}

// GrantLimit returns when the leases must end at the latest that a leader with witnesses grants, given when its
// last write was sent, and when its witnesses were last asked with the result that all confirmed it, or zero.
func (l Limits) GrantLimit(lastWrite, confirmed time.Time) time.Time {
	return earlier(lastWrite.Add(l.AfterWrite()), later(lastWrite, confirmed).Add(l.AfterConfirmation()))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
