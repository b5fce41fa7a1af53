// Package placer schedules the jobs of one availability zone: it decides which
// job runs on which workers and accelerators, and starts, renews and stops gangs
// on the workers.
//
// Every VM of the zone has a Placer, and one of them leads at a time. A single
// leader is only needed for speed, not for safety: if two placers lead, each worker
// refuses the calls of the one with the lower fence. Running jobs can be rebuilt from
// the workers' lease tables, and waiting jobs from the journal. No decision waits for
// the platform's log.
//
// A CPU job is a job without accelerators. While an accelerator is idle, its share
// of the worker's processors and memory is lent to CPU jobs.
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

const (
	// eventQueueSize is the capacity of the event queue.
	eventQueueSize = 4096
	tickInterval   = 100 * time.Millisecond
	callTimeout    = time.Second
	maxJobs        = 20_000
	endedRetention = 10 * time.Minute
)

// Errors of the placer. Callers test for them with errors.Is.
var (
	namespace = errorx.NewNamespace("placer")
	// ErrNotLeading is returned if this VM is not the zone's placer.
	ErrNotLeading = errorx.NewType(namespace, "notleading").New("this VM is not the zone's placer")
	// ErrFull is returned if the placer's event queue is full.
	ErrFull = errorx.NewType(namespace, "full").New("the placer's queue is full")
)

// Worker is the interface of a worker that the placer uses.
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
	// Term is the term of a running lease.
	Term time.Duration
	// RenewInterval is the interval between lease renewals.
	RenewInterval time.Duration
	// HoldTerm is the term of a lease that is held but not started.
	HoldTerm time.Duration
	// CheckpointTimeout limits the time that a reclaimed job has to save its work.
	CheckpointTimeout time.Duration
	// WorkerTimeout is how long a worker may stay silent after its next renewal is due
	// before it is considered lost and its gangs are requeued.
	WorkerTimeout time.Duration
	// Drift is the maximum drift between two clocks over a lease term.
	Drift  time.Duration
	Logger *slog.Logger
	// Journal persists accepted jobs; with nil none are persisted.
	Journal Journal
	// RewriteInterval is the interval at which an open job is written to the journal
	// again, because the log drops old records. Zero disables it.
	RewriteInterval time.Duration
	// ClaimsLead reports whether another VM still claims the zone's leadership. With
	// nil, only the workers' fences decide.
	ClaimsLead func(vm string) bool

	// Unsafe disables single safety mechanisms, for tests that show what each
	// of them prevents.
	Unsafe Unsafe
}

// Unsafe lists the mechanisms that tests can disable.
type Unsafe struct {
	// NoFence makes all placers use the same fence.
	NoFence bool
	// NoHold starts the members of a gang even if not all of them could be held.
	NoHold bool
	// NoCPUEviction doesn't stop CPU jobs whose memory belongs to accelerators
	// that are given to a job.
	NoCPUEviction bool
	// NoUsage accounts CPU jobs by their declared size, not by their measured use.
	NoUsage bool
	// NoRecheck resumes sending after a process pause without fencing the workers
	// again.
	NoRecheck bool
}

// ListedWorker is a worker in the platform's list.
type ListedWorker struct {
	Name   string
	Client Worker
}

// Placer is one VM's placer. The goroutine that calls Run owns all its state.
type Placer struct {
	cfg    Config
	events *ring.Ring[func()]

	// isLeader mirrors leading for other goroutines.
	isLeader atomic.Bool
	leading  bool
	// ready is set once the state has been rebuilt and placement may begin.
	ready bool
	// rebuildStart is when the latest rebuild began. Results of calls sent
	// before it are dropped.
	rebuildStart time.Time
	// epoch is the highest fence epoch that this placer has used or seen.
	epoch   uint64
	tree    *cell.Tree
	layout  cell.Config
	account *capacity.Account
	// size is the processors and memory of each worker.
	size capacity.Size
	// maxWaiting limits the number of waiting jobs by customer.
	maxWaiting map[string]int
	workers    map[string]*workerState
	// workerList holds the same workers as a slice, for iteration on every tick.
	workerList []*workerState
	jobs       map[string]*job
	// queues are the queues of jobs with accelerators by customer.
	queues map[string]*queue
	// cpuQueues are the queues of CPU jobs by customer.
	cpuQueues map[string]*queue
	// foundGangs are the gangs found in the workers' lease tables that this
	// placer did not start, by job.
	foundGangs map[string]*foundGang
	// pendingStops track former generations of jobs that may still run.
	pendingStops map[string]*pendingStop
	// reserved is the cell kept for a large waiting job, or nil.
	reserved *reservation
	// runTimes learns run times from finished jobs. It is kept when the
	// leadership is lost.
	runTimes *estimate.Estimator
	// memoryRatios learns the ratio of used to declared memory. It is kept when
	// the leadership is lost.
	memoryRatios   *estimate.Estimator
	readingJournal bool
	journalRead    bool
	// nextRead is the earliest time of the next journal read.
	nextRead time.Time
	// writingJournal is set while jobs are being written to the journal.
	writingJournal bool
	nextWrite      time.Time
	// dirty is set when a waiting job may have become placeable.
	dirty bool
	// reclaims counts the jobs stopped to make room for others.
	reclaims int
	// wakeAt is when the schedule has to run again even if nothing changes, for
	// example because the backoff of a waiting job ends. Zero for never.
	wakeAt time.Time
	// orphans are the open jobs of a lost leadership, until Orphans returns them.
	orphans []api.JobStatus
}

// New returns a placer that does not lead yet. It does nothing until Run is called.
func New(cfg Config) *Placer {
	p := &Placer{cfg: cfg, events: ring.New[func()](eventQueueSize), workers: map[string]*workerState{}, runTimes: estimate.New(), memoryRatios: estimate.New()}
	p.reset()
	return p
}

// reset clears all state that a new leader rebuilds.
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

// post queues an event for the placer's goroutine. While the queue is full it
// blocks and retries.
func (p *Placer) post(event func()) {
	for p.events.Put(event) != nil {
		metric.Count("placer_ring_full_total")
		time.Sleep(time.Millisecond)
	}
}

// runSync runs event on the placer's goroutine and waits for it to complete. If
// it returns an error, the event has not run and never will.
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

// Run processes events until ctx is done. Jobs on the workers keep running when it
// returns.
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

// detectPause detects that this process was paused. What it knows about leases may
// then be out of date, so every worker is fenced again before anything else
// is sent to it.
func (p *Placer) detectPause(last *time.Time) {
	now := time.Now()
	gap := now.Sub(*last)
	*last = now
	if gap < p.cfg.WorkerTimeout || !p.leading || p.cfg.Unsafe.NoRecheck {
		return
	}
	metric.Count("placer_pauses_total")
	p.recheck(now)
}

// SetLeading starts or ends this VM's leadership of the zone.
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

// IsLeader reports whether this VM leads the zone.
func (p *Placer) IsLeader() bool { return p.isLeader.Load() }

// SetLayout replaces the zone's layout and guarantees, the size of each worker and
// the customers' limits on waiting jobs. Running jobs keep their cells if these
// still exist.
func (p *Placer) SetLayout(layout cell.Config, size capacity.Size, limits map[string]int) {
	p.post(func() {
		p.layout = layout
		p.size = size
		p.maxWaiting = limits
		p.dirty = true
		p.rebuildTree()
	})
}

// SetWorkers updates the zone's workers from the platform's list. A worker that is
// no longer listed is dropped once it is down.
func (p *Placer) SetWorkers(all []ListedWorker) {
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

// onTick runs the periodic work of a leader.
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

// checkWake triggers a run of the schedule once wakeAt has passed.
func (p *Placer) checkWake(now time.Time) {
	if !p.wakeAt.IsZero() && !now.Before(p.wakeAt) {
		p.dirty = true
	}
}

// removeEnded removes jobs that ended more than endedRetention ago.
func (p *Placer) removeEnded(now time.Time) {
	for id, j := range p.jobs {
		if j.ended() && now.Sub(j.status.Ended) > endedRetention {
			delete(p.jobs, id)
		}
	}
}

// callContext returns the context of a call that is limited to timeout.
func callContext(timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), timeout)
}

// mayHaveTakenEffect reports whether a call with this result took effect or may
// still do so.
func mayHaveTakenEffect(err error) bool {
	return err == nil || unanswered(err) && !errors.Is(err, worker.ErrUnsent)
}

// unanswered reports whether a call got no answer: either it may have taken
// effect, or the worker can't be reached.
func unanswered(err error) bool {
	return err != nil && !errors.Is(err, worker.ErrRefused) && !errors.Is(err, worker.ErrFenced)
}

// endJob marks the job as ended and records that in the journal.
func (p *Placer) endJob(j *job, state api.State, reason string) {
	j.status.State = state
	j.status.Reason = reason
	j.status.Ended = time.Now()
	p.dirty = true
	metric.Refusal("job", string(state)+"-"+reason)
	p.journalEnd(j)
}
