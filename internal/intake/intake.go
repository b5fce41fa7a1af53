// Package intake takes jobs in for good and leads questions about them to the
// VM that schedules.
package intake

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"

	"rhubarbshore/internal/catalog"
	"rhubarbshore/internal/httpjson"
	"rhubarbshore/internal/metric"
	"rhubarbshore/internal/scheduler"
	"rhubarbshore/internal/store"
)

// Parts is the number of streams of accepted jobs. A stream takes its appends one
// after the other, so one alone would hold jobs up while the store is slow.
const Parts = 8

// Stream holds the accepted jobs of a part by their ID. Every VM writes to it.
func Stream(part int) store.Stream { return store.Stream{Topic: "jobs", Part: part} }

// PartOf is the part of a job.
func PartOf(id string) int { return int(xxhash.Sum64String(id) % Parts) }

// ErrUncertain tells that the call may have taken effect.
var ErrUncertain = errorx.NewType(errorx.NewNamespace("intake"), "uncertain").New("the outcome is unknown")

// ErrTooLarge tells that the store can't take the job.
var ErrTooLarge = errorx.NewType(errorx.NewNamespace("intake"), "large").New("the job is too large to be stored")

// BusyError tells that nothing was done, and nothing will be. After says when to try again.
type BusyError struct {
	Why   string
	After time.Duration
}

// Error implements error.
func (e *BusyError) Error() string { return e.Why }

// Log is what the intake needs of the store.
type Log interface {
	Append(ctx context.Context, s store.Stream, records []store.Record, o store.AppendOptions) (int64, error)
}

// LeaderTracker knows the VM that schedules.
type LeaderTracker interface {
	// Leader returns its address, empty if there is none, and a channel that is closed
	// once that is another.
	Leader() (string, <-chan struct{})
	// Suspect tells that a call to it got no answer.
	Suspect(address string)
	// Answers reports whether it answered this VM when it was last looked at.
	Answers() bool
}

// LocalScheduler answers if this VM schedules itself.
type LocalScheduler interface {
	State(ctx context.Context, id, customer string) (scheduler.State, error)
	Cancel(ctx context.Context, id, customer string) (scheduler.State, error)
	Waiting(ctx context.Context, queue string) (int, error)
}

// Config constructs an Intake.
type Config struct {
	Log           Log
	LeaderTracker LeaderTracker
	Client        *http.Client // to other VMs
	Logger        *slog.Logger
	// LocalScheduler returns the scheduler of this VM, or nil if another one schedules.
	LocalScheduler func() LocalScheduler
	// Healthy reports whether the store answers this VM, and FailingFor for how
	// long it hasn't.
	Healthy    func() bool
	FailingFor func() time.Duration
	// Catalog returns the configuration in force, or nil.
	Catalog func() *catalog.Snapshot
}

const (
	// appendTimeout is how long an append may take before it is repeated: a
	// hundred times its usual 4 ms, and half the least time that clients wait.
	appendTimeout = 900 * time.Millisecond
	// minRetryDelay and maxPause space repeated appends.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 200 * time.Millisecond
	// maxRefusedTime is how long a job is tried against a store that refuses it:
	// about a quarter of the shortest objective of the first sites.
	maxRefusedTime = 60 * time.Millisecond
	// maxUncertainTime is how long a job is tried against a store that gives no answer.
	// Then its client is told, and may come to a VM that reaches the store.
	maxUncertainTime = 1200 * time.Millisecond
	// minRetryAfter and maxComeBack bound the Retry-After while the store is away, whose
	// outages last seconds.
	minRetryAfter = time.Second
	maxRetryAfter = 4 * time.Second
	// maxQueue bounds jobs that wait for the store; each lane holds
	// that many, which with 10 KB a job fills a tenth of a VM of 184 MB.
	maxQueue = 250
	// maxBatchRecords and maxBytes bound one append; the store takes 2 MB.
	maxBatchRecords = 100
	maxBatchBytes   = 1 << 20
	// maxJobBytes bounds one job; the store takes records of 256 KB.
	maxJobBytes = 255 << 10
	// queryTimeout is how long a call to the scheduling VM may take before its repeat.
	// It doubles with each repeat to the same VM: one that is late would be later
	// with more calls.
	queryTimeout = 700 * time.Millisecond
	// queryRetryDelay spaces such calls; it doubles as well, up to maxHopPause.
	queryRetryDelay    = 60 * time.Millisecond
	maxQueryRetryDelay = 500 * time.Millisecond
)

// submission is a job that waits for the store.
type submission struct {
	ctx         context.Context //nolint:containedctx // it travels with the job through the queue
	record      store.Record
	submittedAt time.Time
	uncertain   bool
	result      chan error
}

// Intake accepts jobs. All calls of a VM share its appends.
type Intake struct {
	cfg    Config
	queues [Parts]*partQueue
}

// partQueue queues the jobs of one part.
type partQueue struct {
	cfg     Config
	part    int
	mu      sync.Mutex
	pending []*submission
	wake    chan struct{}
}

// New returns an Intake; Run has to be called for it to accept.
func New(cfg Config) *Intake {
	in := &Intake{cfg: cfg}
	for part := range in.queues {
		in.queues[part] = &partQueue{cfg: cfg, part: part, wake: make(chan struct{}, 1)}
	}
	return in
}

// Submit stores the job, through the scheduling VM if the store doesn't serve this one. A
// nil error means that it is stored; a BusyError that it never runs because of this call.
func (in *Intake) Submit(ctx context.Context, j scheduler.Job, from catalog.Origin) error {
	err := in.store(ctx, j)
	var busy *BusyError
	if errors.As(err, &busy) {
		return in.relay(ctx, RelayRequest{Job: j, From: from}, busy)
	}
	return err
}

// store stores the job with this VM's own calls.
func (in *Intake) store(ctx context.Context, j scheduler.Job) error {
	if !in.cfg.Healthy() {
		why := fmt.Sprintf("the store has not answered this VM for %d ms", in.cfg.FailingFor().Milliseconds())
		return &BusyError{Why: why, After: in.retryAfter()}
	}
	value, err := json.Marshal(j)
	if err != nil {
		return errorx.Decorate(err, "encode job %s", j.ID)
	}
	if len(value) > maxJobBytes {
		return ErrTooLarge
	}
	s := &submission{ctx: ctx, record: store.Record{Key: j.ID, Value: value}, submittedAt: time.Now(), result: make(chan error, 1)}
	if err := in.queues[PartOf(j.ID)].enqueue(s); err != nil {
		return err
	}
	err = <-s.result
	metric.Observe("accept_seconds", s.submittedAt)
	return err
}

// retryAfter is when to come again: an outage is expected to last about as long as
// it has lasted.
func (in *Intake) retryAfter() time.Duration {
	return min(max(in.cfg.FailingFor(), minRetryAfter), maxRetryAfter)
}

// Run appends what is submitted until ctx ends.
func (in *Intake) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, l := range in.queues {
		wg.Go(func() { l.run(ctx) })
	}
	wg.Wait()
}

// enqueue queues a job.
func (l *partQueue) enqueue(s *submission) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) >= maxQueue {
		return &BusyError{Why: "too many jobs wait for the store", After: minRetryAfter}
	}
	l.pending = append(l.pending, s)
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return nil
}

func (l *partQueue) run(ctx context.Context) {
	pause := minRetryDelay
	for {
		batch := l.nextBatch()
		if len(batch) == 0 {
			select {
			case <-l.wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		if l.append(ctx, batch) {
			pause = minRetryDelay
			continue
		}
		l.requeue(batch)
		time.Sleep(pause)
		pause = min(pause*2, maxRetryDelay)
	}
}

func (l *partQueue) nextBatch() []*submission {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, size := 0, 0
	for n < min(len(l.pending), maxBatchRecords) && (n == 0 || size+len(l.pending[n].record.Value) <= maxBatchBytes) {
		size += len(l.pending[n].record.Value)
		n++
	}
	batch := l.pending[:n:n]
	l.pending = l.pending[n:]
	return batch
}

// append stores a batch and answers its submitters; it returns false if the
// batch isn't stored.
func (l *partQueue) append(ctx context.Context, batch []*submission) bool {
	records := make([]store.Record, len(batch))
	for i, s := range batch {
		records[i] = s.record
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := l.cfg.Log.Append(ctx, Stream(l.part), records, store.AppendOptions{})
	if err == nil {
		for _, s := range batch {
			s.result <- nil
		}
		return true
	}
	uncertain := !errors.Is(err, store.ErrRefused)
	l.cfg.Logger.Warn("jobs not stored", "jobs", len(batch), "uncertain", uncertain, "error", err)
	for _, s := range batch {
		s.uncertain = s.uncertain || uncertain
	}
	return false
}

// requeue queues again what may still be stored in time and answers the rest.
func (l *partQueue) requeue(batch []*submission) {
	var again []*submission
	for _, s := range batch {
		switch {
		case s.uncertain && (s.ctx.Err() != nil || time.Since(s.submittedAt) > maxUncertainTime):
			s.result <- ErrUncertain
		case s.uncertain:
			again = append(again, s)
		case s.ctx.Err() != nil || time.Since(s.submittedAt) > maxRefusedTime:
			s.result <- &BusyError{Why: "the store refused the job", After: minRetryAfter}
		default:
			again = append(again, s)
		}
	}
	l.mu.Lock()
	l.pending = append(again, l.pending...)
	l.mu.Unlock()
}

// Query is what VMs ask the scheduling VM. One of Job, Cancel and Queue is set.
type Query struct {
	Job    string `json:"job,omitempty"`
	Cancel string `json:"cancel,omitempty"`
	Queue  string `json:"queue,omitempty"`
	// Customer owns the key that the call carried; empty if it needed none.
	Customer string `json:"customer,omitempty"`
}

// Reply answers a Question. Sure is false if the VM doesn't schedule or can't
// tell.
type Reply struct {
	Definite bool            `json:"sure"`
	Known    bool            `json:"known,omitempty"`
	State    scheduler.State `json:"state,omitempty"`
	Waiting  int             `json:"waiting,omitempty"`
}

// AnswerQuery answers a question from another VM.
func AnswerQuery(ctx context.Context, local LocalScheduler, q Query) Reply {
	if local == nil {
		return Reply{}
	}
	var rep Reply
	var err error
	switch {
	case q.Job != "":
		rep.State, err = local.State(ctx, q.Job, q.Customer)
	case q.Cancel != "":
		rep.State, err = local.Cancel(ctx, q.Cancel, q.Customer)
	default:
		rep.Waiting, err = local.Waiting(ctx, q.Queue)
	}
	rep.Known = err == nil
	rep.Definite = err == nil || errors.Is(err, scheduler.ErrUnknown)
	return rep
}

// query leads a question to the scheduling VM until it is answered for sure. Once another
// VM schedules, it asks that one at once.
func (in *Intake) query(ctx context.Context, q Query) (Reply, error) {
	timeout, pause, previous := queryTimeout, queryRetryDelay, ""
	for {
		address, changed := in.cfg.LeaderTracker.Leader()
		if address != previous {
			timeout, pause, previous = queryTimeout, queryRetryDelay, address
		}
		if rep, ok := in.queryOnce(ctx, q, address, changed, timeout); ok {
			return rep, nil
		}
		select {
		case <-ctx.Done():
			return Reply{}, &BusyError{Why: "no VM schedules at present", After: minRetryAfter}
		case <-changed:
		case <-time.After(pause):
		}
		timeout, pause = 2*timeout, min(2*pause, maxQueryRetryDelay)
	}
}

// queryOnce asks the scheduling VM once. It gives up when another VM schedules.
func (in *Intake) queryOnce(ctx context.Context, q Query, address string, changed <-chan struct{}, timeout time.Duration) (Reply, bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if local := in.cfg.LocalScheduler(); local != nil {
		rep := AnswerQuery(ctx, local, q)
		return rep, rep.Definite
	}
	if address == "" {
		return Reply{}, false
	}
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	rep, err := httpjson.Post[Query, Reply](ctx, in.cfg.Client, "http://"+address+"/ask", &q, nil)
	if err != nil {
		metric.Count("hops_failed_total")
		if !errors.Is(ctx.Err(), context.Canceled) {
			in.cfg.Logger.Warn("scheduling VM did not answer", "address", address, "timeout_ms", timeout.Milliseconds(), "error", err)
			in.cfg.LeaderTracker.Suspect(address)
		}
	}
	return rep, err == nil && rep.Definite
}

// State returns the state of a customer's job.
func (in *Intake) State(ctx context.Context, id, customer string) (scheduler.State, error) {
	rep, err := in.query(ctx, Query{Job: id, Customer: customer})
	if err != nil {
		return "", err
	}
	if !rep.Known {
		return "", scheduler.ErrUnknown
	}
	return rep.State, nil
}

// Cancel ends a customer's job. The cancelling is stored when it returns nil.
func (in *Intake) Cancel(ctx context.Context, id, customer string) error {
	rep, err := in.query(ctx, Query{Cancel: id, Customer: customer})
	if err != nil {
		return ErrUncertain
	}
	if !rep.Known {
		return scheduler.ErrUnknown
	}
	return nil
}

// Waiting counts the jobs of a queue of which no task has started.
func (in *Intake) Waiting(ctx context.Context, queue string) (int, error) {
	rep, err := in.query(ctx, Query{Queue: queue})
	return rep.Waiting, err
}
