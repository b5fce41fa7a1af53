// Package operator follows the operator's configuration and admits the calls of clients under it. No
// call is decided by a configuration that may have been replaced longer ago than the operator allows.
package operator

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"rhubarbshore/internal/catalog"
	"rhubarbshore/internal/metric"
	"rhubarbshore/internal/store"
	"rhubarbshore/internal/suspend"
)

// Shares of Config.ApplyTime. A read waits for pollShare and is overdue after overdueShare more. With
// the read before it, that leaves time for two more reads until the age limit.
const (
	pollShare    = 0.3
	overdueShare = 0.1
	maxAgeShare  = 0.9 // the rest allows for clocks that run slow
	// timeoutShare is how much longer than it waits a read may take. A slow answer is still one.
	timeoutShare = 0.5
	// confirmShare limits how long a call waits for a confirmation, from the store and from the leader.
	confirmShare = 0.15
)

const (
	// maxReads limits the reads that wait for an answer at the same time.
	maxReads = 3
	// retryDelay is the delay before the next read after a failed one.
	retryDelay = 150 * time.Millisecond
	// minReadInterval limits the rate of reads if the store answers them without waiting.
	minReadInterval = 20 * time.Millisecond
	// logInterval thins out log lines about a store that stays unavailable: one in logInterval
	// failures is logged.
	logInterval = 32
)

// Store reads the operator's configuration. An error that wraps catalog.ErrMalformed means that a
// version was passed over; the rest of the read is valid then.
type Store interface {
	// Config reads the newest configuration.
	Config(ctx context.Context) (catalog.Read, error)
	// NextConfig reads the configurations from an offset on, and waits for one if there is none yet.
	NextConfig(ctx context.Context, from int64, wait time.Duration) (catalog.Read, error)
}

// Health tracks whether the store answers.
type Health interface {
	Note(sent time.Time, err error)
	Healthy() bool
}

// Leader tells which VM leads.
type Leader interface {
	// Leader returns the leader's address, empty if there is none, and a channel that is closed
	// once another VM leads.
	Leader() (string, <-chan struct{})
	// Answers reports whether the leader answered this VM's last ping.
	Answers() bool
}

// Config configures a Follower.
type Config struct {
	Store Store
	// Redial is the same store over a new connection for each call, which does not share the
	// fate of those that are open.
	Redial Store
	Health Health
	Leader Leader
	Leads  func() bool  // reports whether this VM leads
	Client *http.Client // for calls to other VMs
	// ApplyTime is the time after its acknowledgement in which a configuration must be in force.
	ApplyTime time.Duration
	Logger    *slog.Logger
	Clocks    suspend.Clocks // nil: the clocks of this machine
}

// Follower keeps the configuration of a VM up to date.
type Follower struct {
	cfg          Config
	snapshot     atomic.Pointer[catalog.Snapshot]
	confirmation *confirmation
	confirming   singleflight.Group
	// floor is the offset of the newest configuration that another VM admitted a call under for
	// this one. Older ones admit no call any more.
	floor atomic.Int64

	mu       sync.Mutex
	from     int64 // offset of the next read; negative: the newest configuration has to be read
	failures int   // reads that failed since the last answer
}

// New returns a Follower. Run starts it.
func New(cfg Config) *Follower {
	f := &Follower{cfg: cfg, from: -1}
	f.confirmation = newConfirmation(f.share(maxAgeShare), cfg.Logger, cfg.Clocks)
	return f
}

// share returns a share of the time in which a configuration must be in force.
func (f *Follower) share(v float64) time.Duration {
	return time.Duration(v * float64(f.cfg.ApplyTime))
}

// Snapshot returns the newest configuration that this VM knows, or nil.
func (f *Follower) Snapshot() *catalog.Snapshot { return f.snapshot.Load() }

// Confirmed reports whether that configuration may be acted on.
func (f *Follower) Confirmed() bool { return f.confirmation.recent() }

// answer is the result of a read.
type answer struct {
	number int   // of the read, from 1 on
	from   int64 // offset from which was read
	sentAt time.Time
	read   catalog.Read
	err    error
}

// Run reads the configuration until ctx ends. One read waits for the next version. Once its answer is
// overdue, others are sent without waiting for its end.
func (f *Follower) Run(ctx context.Context) {
	answers := make(chan answer, maxReads)
	pending, number, wait, source := 0, 0, time.Duration(0), f.cfg.Store
	due := time.NewTimer(0)
	defer due.Stop()
	for {
		select {
		case <-ctx.Done():
			for ; pending > 0; pending-- {
				<-answers
			}
			return
		case <-due.C:
			if pending < maxReads {
				pending++
				number++
				go func(n int, s Store, wait time.Duration) {
					a := f.read(ctx, s, wait)
					a.number = n
					answers <- a
				}(number, source, wait)
				due.Reset(wait + f.share(overdueShare))
			} else {
				due.Reset(f.share(overdueShare))
			}
			wait, source = 0, f.cfg.Redial // unless the answer comes in time
		case a := <-answers:
			pending--
			ok := f.apply(ctx, a)
			if a.number != number {
				continue // a later read is on its way
			}
			wait, source = f.share(pollShare), f.cfg.Store
			if ok {
				due.Reset(minReadInterval - time.Since(a.sentAt))
				continue
			}
			wait = 0 // an immediate answer shows when the store is back
			due.Reset(retryDelay)
		}
	}
}

// read reads the configuration once.
func (f *Follower) read(ctx context.Context, s Store, wait time.Duration) answer {
	f.mu.Lock()
	a := answer{from: f.from, sentAt: time.Now()}
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, wait+f.share(timeoutShare))
	defer cancel()
	if a.from < 0 {
		a.read, a.err = s.Config(ctx)
	} else {
		a.read, a.err = s.NextConfig(ctx, a.from, wait)
	}
	return a
}

// apply puts what a read returned in force. It reports false if the read failed.
func (f *Follower) apply(ctx context.Context, a answer) bool {
	err := a.err
	if errors.Is(err, catalog.ErrMalformed) {
		// Another read would return the same bytes, and the store is not at fault.
		metric.Count("configurations_rejected_total")
		f.cfg.Logger.Error("configuration passed over", "from", a.from, "next", a.read.Extent.Next, "error", err)
		err = nil
	}
	f.cfg.Health.Note(a.sentAt, err)
	metric.Observe("config_read_seconds", a.sentAt)
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case errors.Is(err, store.ErrGone):
		f.readNewest(a.from)
		return true
	case err != nil:
		if ctx.Err() == nil {
			f.noteFailure(a, err)
		}
		return false
	}
	if f.failures > 0 {
		f.cfg.Logger.Info("store answers again", "failures", f.failures)
		f.failures = 0
	}
	f.put(a)
	switch {
	case a.read.Extent.Complete():
		f.confirmation.confirm(a.read.Extent.AskedAt)
	case a.read.Extent.Next == a.from:
		f.cfg.Logger.Warn("configurations missing from a read", "from", a.from, "end", a.read.Extent.End)
		f.readNewest(a.from)
		return true
	}
	f.from = max(f.from, a.read.Extent.Next)
	return true
}

// readNewest makes the next read one of the newest configuration, unless a later offset than the given
// one was read meanwhile. The caller holds the lock.
func (f *Follower) readNewest(from int64) {
	if f.from == from {
		f.from = -1
	}
}

// noteFailure logs a read that got no answer. The caller holds the lock.
func (f *Follower) noteFailure(a answer, err error) {
	metric.Count("config_reads_failed_total")
	if f.failures++; f.failures%logInterval == 1 {
		age, _ := f.confirmation.age()
		f.cfg.Logger.Warn("configuration not read", "from", a.from, "failures", f.failures, "took_ms", time.Since(a.sentAt).Milliseconds(), "age_ms", age.Milliseconds(), "error", err)
	}
}

// put puts a configuration in force unless a newer one already is. The caller holds the lock.
func (f *Follower) put(a answer) {
	snap, old := a.read.Snapshot, f.snapshot.Load()
	if snap == nil || (old != nil && snap.Offset() <= old.Offset()) {
		return
	}
	f.snapshot.Store(snap)
	// The version is in force here at most age_ms after its acknowledgement.
	age, _ := f.confirmation.age()
	f.cfg.Logger.Info("configuration in force", "version", snap.Version(), "offset", snap.Offset(), "age_ms", age.Milliseconds())
	if limited := snap.Limited(); len(limited) > 0 {
		f.cfg.Logger.Warn("figures of queues cut to the limits of jobs", "version", snap.Version(), "queues", limited)
	}
}
