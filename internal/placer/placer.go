// Package placer decides in one availability zone which job runs on which
// accelerators, and starts, renews and stops gangs on the workers.
//
// Every VM of the zone has a Placer, one of which leads at a time. The
// lead is only for speed: what keeps two placers apart is the fence that each
// worker enforces. All state can be rebuilt from the workers' lease tables, and
// nothing here waits for the platform's log.
package placer

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"rhubarbshore/internal/capacity"
	"rhubarbshore/internal/cell"
	"rhubarbshore/internal/estimate"
	"rhubarbshore/internal/metric"
	"rhubarbshore/internal/ring"
	"rhubarbshore/internal/worker"
	"rhubarbshore/pkg/api"
)

// Tuning of the placer.
const (
	events         = 4096
	tickInterval   = 100 * time.Millisecond
	callTimeout    = time.Second
	maxJobs        = 20_000
	endedRetention = 10 * time.Minute
)

// Errors of the placer. Callers test for them with errors.Is.
var (
	namespace = errorx.NewNamespace("placer")
	// ErrNotLeading: this VM is not the zone's placer.
	ErrNotLeading = errorx.NewType(namespace, "notleading").New("this VM is not the zone's placer")
	// ErrFull: the placer has more to do than it may queue.
	ErrFull = errorx.NewType(namespace, "full").New("the placer's queue is full")
)

// Worker is what the placer needs of a worker.
type Worker interface {
	Fence(ctx context.Context, f worker.Fence) (worker.Table, error)
	Hold(ctx context.Context, f worker.Fence, l worker.Lease, term time.Duration) error
	Start(ctx context.Context, f worker.Fence, job string, generation uint64, term time.Duration) error
	Renew(ctx context.Context, f worker.Fence, r worker.Renew) (worker.Renewal, error)
	Checkpoint(ctx context.Context, f worker.Fence, job string, generation uint64) error
	Stop(ctx context.Context, f worker.Fence, all []worker.Stop) error
}

// Config constructs a Placer.
type Config struct {
	VM   string
	Zone string
	// Term is the term of a running lease, Renew the time between renewals.
	Term  time.Duration
	Renew time.Duration
	// Hold is the term of a lease that is held but not started.
	Hold time.Duration
	// Checkpoint bounds the time that a reclaimed job gets to save its work.
	Checkpoint time.Duration
	// Lost is how long a worker may be silent before its gangs are given up.
	Lost time.Duration
	// Drift is the most by which clocks may differ over a term.
	Drift  time.Duration
	Logger *slog.Logger
	// Journal keeps accepted jobs; nil keeps none. A job that is still open is
	// written again after Restate, zero for never, since the log drops records.
	Journal Journal
	Restate time.Duration
	// Holds reports whether another VM still claims the zone's leadership; nil
	// leaves that to the workers.
	Holds func(vm string) bool

	// Unsafe switches single mechanisms off, for tests that show what they
	// prevent.
	Unsafe Unsafe
}

// Unsafe names mechanisms that tests switch off.
type Unsafe struct {
	// NoFence reuses one fence for all placers.
	NoFence bool
	// NoHold starts members without holding all of them first.
	NoHold bool
	// NoParts leaves jobs without accelerators where an accelerator's part of the
	// memory is needed.
	NoCPUEviction bool
	// NoUsage counts jobs without accelerators by what they declare.
	NoUsage bool
	// NoRecheck sends after a pause without checking deadlines again.
	NoRecheck bool
}

// Listed is a worker as the platform lists it.
type Listed struct {
	Name   string
	Client Worker
}

// Placer is one VM's placer. Its goroutine, Run, owns all state.
type Placer struct {
	cfg    Config
	events *ring.Ring[func()]

	isLeader     atomic.Bool
	leading      bool
	ready        bool
	rebuildStart time.Time
	epoch        uint64
	tree         *cell.Tree
	layout       cell.Config
	account      *capacity.Account
	// each is the size of every worker.
	size       capacity.Size
	maxWaiting map[string]int
	workers    map[string]*workerState
	// listed are the same workers, for the tick.
	workerList []*workerState
	jobs       map[string]*job
	queues     map[string]*queue
	// plain are the queues of jobs without accelerators.
	cpuQueues    map[string]*queue
	foundGangs   map[string]*foundGang
	pendingStops map[string]*pendingStop
	reserved     *reservation
	// runs outlives a loss of leadership.
	runTimes *estimate.Estimator
	// sizes compares the memory used with the declared one. It outlives leadership too.
	memoryRatios   *estimate.Estimator
	readingJournal bool
	journalRead    bool
	// readAt is the earliest time to read the journal again.
	nextRead time.Time
	// keeping is set while jobs are written to the journal, keepAt the next try.
	writingJournal bool
	nextWrite      time.Time
	// dirty is set when something may have become placeable.
	dirty bool
	// reclaims counts the jobs stopped to give way.
	reclaims int
	// wake is when the first pause of a waiting job ends.
	wakeAt  time.Time
	orphans []api.JobStatus
}

// New returns a placer that does not lead. Run serves it.
func New(cfg Config) *Placer {
	p := &Placer{cfg: cfg, events: ring.New[func()](events), workers: map[string]*workerState{}, runTimes: estimate.New(), memoryRatios: estimate.New()}
	p.reset()
	return p
}

// reset forgets all that is rebuilt on taking the lead.
func (p *Placer) reset() {
	p.ready = false
	p.journalRead = false
	p.readingJournal = false
	p.nextRead = time.Time{}
	p.jobs = map[string]*job{}
	p.queues = map[string]*queue{}
	p.cpuQueues = map[string]*queue{}
	p.foundGangs = map[string]*foundGang{}
	p.pendingStops = map[string]*pendingStop{}
	p.reserved = nil
	p.tree = cell.NewTree(p.layout)
	p.account = capacity.New(capacity.Config{Racks: p.layout.Racks, Each: p.size})
	for _, w := range p.workers {
		w.reset()
	}
}

// post queues work for the placer's goroutine.
func (p *Placer) post(event func()) {
	for p.events.Put(event) != nil {
		metric.Count("placer_ring_full_total")
		time.Sleep(time.Millisecond)
	}
}

// ask runs event on the placer's goroutine and waits for it. With an error the
// event has not run and never will.
func (p *Placer) runSync(ctx context.Context, event func()) error {
	var claimed atomic.Bool
	done := make(chan struct{})
	err := p.events.Put(func() {
		if claimed.CompareAndSwap(false, true) {
			event()
			close(done)
		}
	})
	if err != nil {
		return ErrFull
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
	}
	if claimed.CompareAndSwap(false, true) {
		return ctx.Err()
	}
	<-done
	return nil
}

// Run serves the placer until ctx ends. It does not stop any job.
func (p *Placer) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case event := <-p.events.Items():
			p.detectPause(&last)
			event()
		case <-ticker.C:
			p.detectPause(&last)
			p.onTick(time.Now())
		case <-ctx.Done():
			return
		}
		if p.leading && p.ready && p.dirty {
			p.dirty = false
			p.schedule(time.Now())
		}
	}
}

// pause notices that this process stood still: what it knew about leases may
// be out of date, so that every worker is fenced again before anything is sent.
func (p *Placer) detectPause(last *time.Time) {
	now := time.Now()
	gap := now.Sub(*last)
	*last = now
	if gap < p.cfg.Lost || !p.leading || p.cfg.Unsafe.NoRecheck {
		return
	}
	metric.Count("placer_pauses_total")
	p.recheck(now)
}

// SetLeading tells the placer whether this VM should decide for the zone.
func (p *Placer) SetLeading(leading bool) {
	p.post(func() {
		if leading == p.leading {
			return
		}
		p.leading = leading
		p.isLeader.Store(leading)
		if leading {
			p.startLeading(time.Now())
			return
		}
		p.stopLeading()
	})
}

// Holding reports whether this VM holds the zone's leadership.
func (p *Placer) IsLeader() bool { return p.isLeader.Load() }

// SetLayout replaces the zone's layout and guarantees, and the size of every worker.
// Running jobs keep their cells where these still exist.
func (p *Placer) SetLayout(layout cell.Config, size capacity.Size, limits map[string]int) {
	p.post(func() {
		p.layout = layout
		p.size = size
		p.maxWaiting = limits
		p.dirty = true
		p.rebuildTree()
	})
}

// SetWorkers takes over the platform's list of the zone's workers.
func (p *Placer) SetWorkers(all []Listed) {
	p.post(func() {
		seen := map[string]bool{}
		for _, l := range all {
			seen[l.Name] = true
			if p.workers[l.Name] == nil {
				p.workers[l.Name] = &workerState{name: l.Name, client: l.Client, down: true}
			}
		}
		for name, w := range p.workers {
			if !seen[name] && w.down {
				delete(p.workers, name)
			}
		}
		p.workerList = slices.Collect(maps.Values(p.workers))
	})
}

// onTick does what is due.
func (p *Placer) onTick(now time.Time) {
	if !p.leading {
		return
	}
	for _, name := range p.account.Changed() {
		if w := p.workers[name]; w != nil {
			w.limitsStale = true
			w.dueNanos = 0
		}
	}
	nano := now.UnixNano()
	for _, w := range p.workerList {
		if w.dueNanos <= nano {
			p.poll(w, now)
		}
	}
	p.finishRebuild(now)
	p.readJournal(now)
	p.writeJournal(now)
	p.checkWake(now)
	p.removeEnded(now)
}

// sweep has the waiting jobs looked at again once a pause of one has ended.
func (p *Placer) checkWake(now time.Time) {
	if !p.wakeAt.IsZero() && !now.Before(p.wakeAt) {
		p.dirty = true
	}
}

// forgetEnded drops jobs that ended a while ago.
func (p *Placer) removeEnded(now time.Time) {
	for id, j := range p.jobs {
		if j.ended() && now.Sub(j.status.Ended) > endedRetention {
			delete(p.jobs, id)
		}
	}
}

// call bounds a call to a worker.
func callContext(timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), timeout)
}

// mayHaveActed reports a call that took effect, or may have.
func mayHaveTakenEffect(err error) bool {
	return err == nil || unanswered(err) && !errors.Is(err, worker.ErrUnsent)
}

// troubled reports a call that got no answer: it may have taken effect, or the
// worker can't be reached.
func unanswered(err error) bool {
	return err != nil && !errors.Is(err, worker.ErrRefused) && !errors.Is(err, worker.ErrFenced)
}

// ended marks a job as over.
func (p *Placer) endJob(j *job, state api.State, reason string) {
	j.status.State = state
	j.status.Reason = reason
	j.status.Ended = time.Now()
	p.dirty = true
	metric.Refusal("job", string(state)+"-"+reason)
	p.journalEnd(j)
}
