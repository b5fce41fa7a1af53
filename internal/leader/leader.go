// Package leader runs the scheduler on the VM that leads. It loads the stored state, claims the
// workers and carries out the scheduler's decisions. Every start is stored before it is sent to
// a worker.
package leader

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/sync/semaphore"

	"rhubarbshore/internal/catalog"
	"rhubarbshore/internal/fleet"
	"rhubarbshore/internal/intake"
	"rhubarbshore/internal/lease"
	"rhubarbshore/internal/metric"
	"rhubarbshore/internal/scheduler"
	"rhubarbshore/internal/store"
	"rhubarbshore/internal/suspend"
)

// Stream holds the scheduler's state: one record for each started task and one for each finished
// job. Only the leader writes to it, under its epoch.
var Stream = store.Stream{Topic: "state"}

const producerName = "leader"

// Errors returned by a Leader. Callers test for them with errors.Is.
var (
	namespace = errorx.NewNamespace("leader")
	// ErrDeposed means that another VM leads.
	ErrDeposed = errorx.NewType(namespace, "deposed").New("another VM leads")
	// ErrIndeterminate means that this VM cannot give a definite answer at present.
	ErrIndeterminate = errorx.NewType(namespace, "notsure").New("the leader is not up to date")
)

// Log is the part of the store that a leader uses.
type Log interface {
	Append(ctx context.Context, s store.Stream, records []store.Record, o store.AppendOptions) (int64, error)
	Read(ctx context.Context, s store.Stream, from int64, wait time.Duration) (store.Page, error)
	Newest(ctx context.Context, s store.Stream) ([]store.Record, int64, error)
}

// Registry lists the registered workers.
type Registry interface {
	Workers(ctx context.Context) (fleet.Registry, error)
	WorkerChanges(ctx context.Context, from int64) (fleet.Registry, error)
}

// Workers sends orders and lease renewals to workers.
type Workers interface {
	Start(ctx context.Context, o scheduler.Start, token, deadline int64) (fleet.OrderAnswer, error)
	Stop(ctx context.Context, o scheduler.Stop, token int64) (fleet.OrderAnswer, error)
	Renew(ctx context.Context, id, address string, r fleet.Renewal) (fleet.RenewalAnswer, error)
}

// Config configures a Leader.
type Config struct {
	Log       Log
	Registry  Registry
	Workers   Workers
	Catalog   func() *catalog.Snapshot
	Logger    *slog.Logger
	Scheduler scheduler.Config
	// Identity returns what the next leaders know this process by, and EndedFor reports whether the
	// process of an earlier leader has certainly ended, or the term in which it led, and for how long at
	// least it has granted no lease, on any worker and, if it can tell, on each of the given ones. Without
	// them, all leases of earlier terms count as long as they may last.
	Identity func() string
	EndedFor func(ctx context.Context, identity string, epoch int64, workers []string) (since time.Duration, each []time.Duration, ended bool)
	// LastSeen returns when this VM last heard from the leader of a term and the age that the term had
	// reached by then, as in Leader.TermAge; false if that is unknown.
	LastSeen func(epoch int64) (at time.Time, age time.Duration, known bool)
	// Witnesses are other VMs that keep this one from granting leases for long after a write, nil if there are
	// none.
	Witnesses Witnesses
	// MaxBatch limits the bytes of one append; 0 means no limit.
	MaxBatch int
	// Now returns the current time; tests replace it.
	Now func() time.Time
	// Clocks show suspensions of the machine; nil means its own clocks.
	Clocks suspend.Clocks
}

const (
	// callTimeout limits a store call that does not wait for records.
	callTimeout = 900 * time.Millisecond
	// loadTimeout limits reading the whole state when a term begins.
	loadTimeout = 4 * time.Second
	// jobPollWait is how long a read waits for new jobs.
	jobPollWait = 1500 * time.Millisecond
	// tickInterval is the time between checks of what depends on time alone.
	tickInterval = 100 * time.Millisecond
	// epochCheckInterval is how long a leader goes without a write before it checks that its
	// epoch is still valid.
	epochCheckInterval = 1500 * time.Millisecond
	// retryDelay and maxRetryDelay are the first and the longest delay between attempts of an
	// append.
	retryDelay    = 20 * time.Millisecond
	maxRetryDelay = 250 * time.Millisecond
	// startWindow is how long after the last write was sent a start may be sent. A worker that has
	// restarted unnoticed grants it the longest lease, whatever its deadline.
	startWindow = 1100 * time.Millisecond
	// storeOutage is the length of a store outage that leases outlast. Longer ones delay work that
	// was lost with its worker at a change of leader.
	storeOutage = 11 * time.Second
	// writeStallTimeout is how long writes may fail, and loopStallTimeout how long a round of
	// the loop may take, before the leader counts as stuck. Gangs whose start was interrupted
	// must be complete, and tasks of cancelled jobs gone, within three to four seconds.
	writeStallTimeout = 1500 * time.Millisecond
	loopStallTimeout  = 2500 * time.Millisecond
	// handOverPause is how long a leader that hands over the leadership starts nothing: twice
	// the half second that an order may take.
	handOverPause = 2 * orderTimeout
	// inboxSize is the capacity of the loop's event queue.
	inboxSize = 4096
	// maxRoundEvents limits the events applied in one round of the loop. The most expensive
	// events take 1 ms on a VM with 0.19 cores, so that a round of them takes a quarter of a
	// second.
	maxRoundEvents = 256
	// recordOverhead is the size of a record beyond its key and value, in bytes.
	recordOverhead = 8
	// jobDropInterval is the minimum time between calls that drop the descriptions of finished
	// jobs. Drops that failed are repeated at this interval.
	jobDropInterval = 5 * time.Second
)

// Leader runs the scheduler while this VM leads. One Leader serves all terms of a VM.
type Leader struct {
	cfg     Config
	current atomic.Pointer[term]
	last    atomic.Pointer[term] // the newest term, over or not
}

// New returns a Leader.
func New(cfg Config) *Leader {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	cfg.Scheduler.RegistryDelay = registryPollInterval
	return &Leader{cfg: cfg}
}

// term is one period in which this VM leads.
type term struct {
	cfg       Config
	epoch     int64
	core      *scheduler.Core
	inbox     chan event
	endTerm   context.CancelFunc
	ctx       context.Context //nolint:containedctx // the term's lifetime: orders in progress end with it
	startedAt time.Time
	fencedAt  time.Time // from then on earlier leaders could not write
	// startSlots limits concurrent starts and admits them in the order in which they were
	// decided.
	startSlots *semaphore.Weighted

	// The fields below belong to the loop.
	links        map[string]*link
	marked       []*link // links to check for due renewals in this round
	pending      batch
	inFlight     *batch
	sequence     int64
	startsStored startOffsets
	policyOffset int64
	droppable    []scheduler.Description // not needed any more, but not dropped yet
	droppedAt    time.Time
	// refusedCancellations counts the calls to cancel unknown jobs that could not be kept.
	refusedCancellations int
	unstoredOutcomes     map[string]bool // jobs whose outcome is not stored yet
	rejected             map[string]bool // workers of which a rejected registry entry was logged
	// inherited are the silent workers of the earlier term, and silent those of the newest record
	// of this term, each as in termRecord.
	inherited, silent map[string]int64
	earlierTerms      []store.Record // drop the records of earlier terms, once this one has stored its silent workers
	nextSilenceCheck  time.Time
	silenceRefreshAt  time.Time // when the stored times of silent workers are replaced
	// earlier are the terms of which leases may be in force, on the unclaimed workers.
	earlier        []earlierTerm
	unclaimed      map[string]bool
	earlierChanged bool           // the stored term record lists earlier terms without need
	aliveAt        time.Time      // when the loop last ran
	heldSince      time.Time      // no lease is granted until a batch is stored that was sent after this
	earlierLeases  *lease.Earlier // what is known of the leases of earlier terms
	witnesses      witnesses

	readAsOf [intake.Parts]time.Time // time up to which all stored jobs of a part are applied, zero if this term may not have read some

	// The fields below are shared with other goroutines.
	statusCache   statusCache
	loopStats     loopStats
	loadStats     loadStats
	pausedUntil   atomicTime        // starts are held back until then
	suspension    *suspend.Detector // reports suspensions since the term began
	pendingStarts atomic.Int64      // starts that were decided but not answered yet
	grants        *grantTimes       // when leases were last requested
	fenced        atomicTime        // fencedAt, for other goroutines
	lastWrite     atomicTime        // when the last batch that is stored was first sent
	failingSince  atomicTime        // when the first failed write since the last successful one was sent, or zero
	jobReads      [intake.Parts]jobReads
	writeFailedAt atomicTime // when the newest write that failed was sent
}

// event is a change of the leader's state. The loop applies events one at a time.
type event interface {
	apply(t *term, now time.Time)
	eventKind() eventKind
}

// leaseLimits returns the limits of leases that all leaders observe.
func (t *term) leaseLimits() lease.Limits {
	return lease.Limits{MaxLease: t.cfg.Scheduler.MaxLease, StartWindow: startWindow, OrderTimeout: orderTimeout, StoreOutage: storeOutage, StartLease: startLease, Renewal: leaseAfterWrite}
}

// Stuck reports whether this VM leads without making progress: its writes fail, or its loop is
// blocked. Another VM should lead then.
func (l *Leader) Stuck() bool {
	t := l.current.Load()
	if t == nil {
		return false
	}
	if since := t.failingSince.get(); !since.IsZero() && time.Since(since) > writeStallTimeout {
		return true
	}
	return time.Since(t.loopStats.ended.get()) > loopStallTimeout
}

// StuckAsOf returns when the newest attempt was made that shows that this VM is stuck, or zero if it
// is not.
func (l *Leader) StuckAsOf() time.Time {
	t := l.current.Load()
	switch {
	case t == nil || !l.Stuck():
		return time.Time{}
	case time.Since(t.loopStats.ended.get()) > loopStallTimeout:
		return time.Now()
	}
	return t.writeFailedAt.get()
}

// TermAge returns how long ago earlier leaders were fenced off, if this VM leads in the given epoch.
func (l *Leader) TermAge(epoch int64) (time.Duration, bool) {
	t := l.current.Load()
	if t == nil || t.epoch != epoch {
		return 0, false
	}
	return l.cfg.Now().Sub(t.fenced.get()), true
}

// Pause holds back new starts for handOverPause and waits up to half of that time until the
// pending ones are answered. The next leader would break up a gang that is only partly started.
func (l *Leader) Pause(ctx context.Context) {
	t := l.current.Load()
	if t == nil {
		return
	}
	until := time.Now().Add(handOverPause)
	t.pausedUntil.set(until)
	for t.pendingStarts.Load() > 0 && time.Now().Before(until.Add(-handOverPause/2)) && ctx.Err() == nil {
		time.Sleep(retryDelay)
	}
}

// Lead loads the stored state and schedules until ctx ends or another VM leads.
func (l *Leader) Lead(ctx context.Context, epoch int64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t := &term{
		cfg: l.cfg, epoch: epoch, inbox: make(chan event, inboxSize), endTerm: cancel, ctx: ctx, startedAt: l.cfg.Now(),
		links: map[string]*link{}, pending: batch{ackable: map[string]endAck{}}, unstoredOutcomes: map[string]bool{}, rejected: map[string]bool{},
		statusCache: statusCache{jobs: map[string]jobStatus{}, unreadable: map[string]bool{}, watchers: map[string]chan struct{}{}}, core: scheduler.New(l.cfg.Scheduler), grants: newGrantTimes(), startSlots: semaphore.NewWeighted(maxConcurrentStarts),
		suspension: suspend.New(suspend.Config{Clocks: l.cfg.Clocks}), witnesses: witnesses{stored: l.cfg.firstWitnesses()},
	}
	defer t.recoverPanic()
	t.lastWrite.set(time.Now())
	l.last.Store(t)
	t.cfg.Logger.Info("loading the state", "epoch", epoch)
	defer t.logEnd()
	stored, err := t.load(ctx)
	if err != nil {
		t.cfg.Logger.Warn("loading the state failed; not leading", "epoch", epoch, "error", err)
		return
	}
	t.restore(stored)
	t.cfg.Logger.Info("leading", "epoch", epoch, "load_ms", time.Since(t.startedAt).Milliseconds(), "workers", len(t.links))
	metric.Seconds("load_seconds", time.Since(t.startedAt))
	for part := range intake.Parts {
		t.spawn(func() { t.followJobs(ctx, part) })
	}
	t.spawn(func() { t.followRegistry(ctx, stored.registry.Next) })
	earlierTerms, earlierLeasesEnd := t.earlier, t.earlierLeases.End()
	t.spawn(func() { t.awaitEarlierEnds(ctx, earlierTerms, earlierLeasesEnd) })
	t.spawn(func() { t.askEarlierWitnesses(ctx, earlierTerms, earlierLeasesEnd) })
	t.loopStats.ended.set(t.cfg.Now())
	t.spawn(func() { t.logStats(ctx) })
	l.current.Store(t)
	defer l.current.CompareAndSwap(t, nil)
	t.loop(ctx)
}

// logEnd logs the end of the term and clears its gauges.
func (t *term) logEnd() {
	t.cfg.Logger.Info("term ends", "epoch", t.epoch, "term_ms", t.cfg.Now().Sub(t.startedAt).Milliseconds())
	publishStalls(scheduler.NoStalls(), 0)
	metric.Set("cancellations_kept", 0)
}

// recoverPanic makes a panic end the term instead of the process. The next leader reads the same
// stored state, and this VM continues to accept jobs.
func (t *term) recoverPanic() {
	if v := recover(); v != nil {
		metric.Count("panics_total")
		t.cfg.Logger.Error("leader panicked", "epoch", t.epoch, "panic", fmt.Sprint(v), "stack", string(debug.Stack()))
		t.endTerm()
	}
}

// spawn runs f in a goroutine. A panic of f ends the term.
func (t *term) spawn(f func()) {
	go func() {
		defer t.recoverPanic()
		f()
	}()
}

// loop applies events and schedules until ctx ends. Only its goroutine uses the scheduler's
// state.
func (t *term) loop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	t.aliveAt = t.cfg.Now()
	t.markAllForCheck()
	t.sendRenewals(ctx, t.aliveAt)
	for ctx.Err() == nil {
		var start time.Time
		select {
		case <-ctx.Done():
			return
		case ev := <-t.inbox:
			if !t.active() {
				return
			}
			start = t.cfg.Now()
			t.noteGap(start)
			t.apply(ev, start)
			t.applyQueued()
		case <-ticker.C:
			if !t.active() {
				return
			}
			now := t.cfg.Now()
			start = now
			t.noteGap(now)
			if snap := t.cfg.Catalog(); snap != nil && snap.Offset() > t.policyOffset {
				t.setPolicy(snap)
			}
			t.core.Tick(now)
			kept, _ := t.core.Cancellations()
			metric.Set("cancellations_kept", float64(kept))
			t.checkStalls(now)
			t.expireLeases(now)
			t.confirm(ctx, now)
			t.markAllForCheck()
			t.statusCache.updateWaiting(now, t.core, t.readAsOf[:])
		}
		if ctx.Err() != nil {
			return
		}
		now := t.cfg.Now()
		t.noteGap(now)
		if t.inFlight == nil && !now.Before(t.pausedUntil.get()) {
			t.applyEffects(t.core.Flush(now))
		} else {
			// Nothing may start before the write in progress is answered or while the
			// leadership is handed over.
			t.applyEffects(t.core.TakeEffects())
		}
		scheduled := t.cfg.Now()
		t.storePending(ctx, now)
		t.sendRenewals(ctx, now)
		t.loopStats.recordRound(start, now, scheduled, t.cfg.Now())
	}
}

// active reports whether this VM may still act as the leader. It ends the term if the machine was
// suspended: another VM may lead since, and the times that limit what this one may do did not
// pass meanwhile.
func (t *term) active() bool {
	suspended, err := t.suspension.Check()
	if err != nil {
		t.cfg.Logger.Error("boot time not read", "epoch", t.epoch, "error", err)
	}
	if suspended > 0 {
		metric.Count("suspensions_total")
		t.cfg.Logger.Warn("machine was suspended; no longer leading", "epoch", t.epoch, "suspended_ms", suspended.Milliseconds())
		t.endTerm()
	}
	return t.ctx.Err() == nil
}

// noteGap holds back leases if the loop has not run for loopStallTimeout. Another VM may lead since, and
// counts on it that this one has granted none meanwhile.
func (t *term) noteGap(now time.Time) {
	gap := now.Sub(t.aliveAt)
	t.aliveAt = now
	if gap > loopStallTimeout {
		t.heldSince = now
		t.cfg.Logger.Warn("loop did not run; no lease is granted before the next write", "epoch", t.epoch, "gap_ms", gap.Milliseconds())
	}
}

// mayGrant reports whether leases may be granted.
func (t *term) mayGrant() bool { return !t.lastWrite.get().Before(t.heldSince) }

// apply applies an event and counts it.
func (t *term) apply(ev event, now time.Time) {
	ev.apply(t, now)
	t.loopStats.countEvent(ev.eventKind())
}

// applyQueued applies the events that have arrived meanwhile, so that they share one round of
// scheduling and one append. It applies at most maxRoundEvents: events may arrive as fast as
// they are applied, and renewals and writes must not wait until no more arrive. Each event is
// applied at a time after its arrival: if an answer seemed older than it is, a run that began in
// the meantime would look lost.
func (t *term) applyQueued() {
	for range maxRoundEvents {
		if t.ctx.Err() != nil {
			return
		}
		select {
		case ev := <-t.inbox:
			t.apply(ev, t.cfg.Now())
		default:
			return
		}
	}
}

// applyEffects sends stops at once and queues all other effects to be stored first.
func (t *term) applyEffects(e scheduler.Effects) {
	for _, s := range e.Stops {
		t.spawn(func() { t.stop(t.ctx, s) })
	}
	for _, r := range e.Records {
		t.pending.records = append(t.pending.records, store.Record{Key: r.Key, Value: r.Value})
	}
	for _, d := range e.Forget {
		t.unstoredOutcomes[d.Job] = true
		t.statusCache.markUnstored(d.Job)
		t.pending.outcomes = append(t.pending.outcomes, d)
	}
	t.droppable = append(t.droppable, e.Redundant...)
	for _, id := range e.Changed {
		if !t.unstoredOutcomes[id] {
			t.statusCache.publish(t.core, id)
		}
	}
	for _, s := range e.Starts {
		if l := t.links[s.Worker]; l != nil {
			t.markForCheck(l)
		}
	}
	t.pendingStarts.Add(int64(len(e.Starts)))
	t.pending.starts = append(t.pending.starts, e.Starts...)
}

func (t *term) post(ctx context.Context, ev event) {
	select {
	case t.inbox <- ev:
	case <-ctx.Done():
	}
}
