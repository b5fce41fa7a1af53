// Package intake stores accepted jobs and forwards queries about them to the VM that schedules.
package intake

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
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

// Parts is the number of streams of accepted jobs. Appends to a stream are serialized, so a
// single stream would delay jobs while the store is slow.
const Parts = 8

// keySeparator separates a job's ID from the rest of a key. No ID contains it.
const keySeparator = "."

// Stream returns the stream of a part's accepted jobs. Every VM writes to it.
func Stream(part int) store.Stream { return store.Stream{Topic: "jobs", Part: part} }

// PartOf returns the part that a job belongs to.
func PartOf(id string) int { return int(xxhash.Sum64String(id) % Parts) }

// NewRecords returns the records that store an encoded job in one append. The last one has the ID as
// its key and tells that the job exists. A later submission under the ID, maybe of another customer,
// replaces it, but not the copy before it, which has a key of its own. Leaders take the job from the
// earliest copy.
func NewRecords(id string, job []byte) [recordsPerJob]store.Record {
	return [...]store.Record{
		{Key: fmt.Sprintf("%s%s%016x", id, keySeparator, rand.Uint64()), Value: job},
		{Key: id, Value: job},
	}
}

// JobOf returns the ID of the job that the record with the key stores.
func JobOf(key string) string {
	id, _, _ := strings.Cut(key, keySeparator)
	return id
}

// Errors of calls. Callers test for them with errors.Is.
var (
	namespace = errorx.NewNamespace("intake")
	// ErrUncertain means that the call may have taken effect.
	ErrUncertain = errorx.NewType(namespace, "uncertain").New("the outcome is unknown")
	// ErrTooLarge means that the job exceeds the store's limit.
	ErrTooLarge = errorx.NewType(namespace, "large").New("the job is too large to be stored")
	// ErrTaken means that the job's ID belongs to another customer's job. The submitted one
	// never runs.
	ErrTaken = errorx.NewType(namespace, "taken").New("the job ID belongs to another customer")
)

// BusyError means that the call has no effect and never will. RetryAfter is how long to wait
// before the next try.
type BusyError struct {
	Reason     string
	RetryAfter time.Duration
}

// Error implements error.
func (e *BusyError) Error() string { return e.Reason }

// errNoAnswer is returned if a query got no definite reply before its call ended. The leader may have
// carried out the call.
var errNoAnswer = &BusyError{Reason: "no VM schedules at present", RetryAfter: minRetryAfter}

// Log is the part of the store that an intake uses.
type Log interface {
	Append(ctx context.Context, s store.Stream, records []store.Record, o store.AppendOptions) (int64, error)
}

// LeaderTracker tracks the leader, the VM that schedules.
type LeaderTracker interface {
	// Leader returns the leader's address, empty if there is none, and a channel that is closed
	// once another VM leads.
	Leader() (string, <-chan struct{})
	// Suspect reports that a call to the leader at the given address got no answer.
	Suspect(address string)
	// Answers reports whether the leader answered this VM's last ping.
	Answers() bool
}

// LocalScheduler answers queries on the VM that schedules.
type LocalScheduler interface {
	State(ctx context.Context, id, customer string) (scheduler.State, error)
	Cancel(ctx context.Context, id, customer string) (scheduler.State, error)
	Waiting(ctx context.Context, queue string) (int, error)
	// Owner returns the customer of a job, and whether it knows the job.
	Owner(id string) (customer string, known bool)
}

// Config configures an Intake.
type Config struct {
	Log           Log
	LeaderTracker LeaderTracker
	Client        *http.Client // for calls to other VMs
	Logger        *slog.Logger
	// LocalScheduler returns the scheduler of this VM, or nil if another VM schedules.
	LocalScheduler func() LocalScheduler
	// Healthy reports whether the store answers this VM, and FailingFor for how long it has not.
	Healthy    func() bool
	FailingFor func() time.Duration
	// Admit admits a call of another VM under the configuration in force, which must not be
	// older than the one at the given offset.
	Admit func(ctx context.Context, o catalog.Origin, floor int64) (catalog.Admission, error)
	// CatalogConfirmed reports whether the store has confirmed recently that no newer
	// configuration is in force.
	CatalogConfirmed func() bool
}

const (
	// appendTimeout limits an append before it is repeated. It is more than a hundred times the
	// usual 4 ms, and half the shortest time that clients wait.
	appendTimeout = 900 * time.Millisecond
	// minRetryDelay and maxRetryDelay are the first and the longest delay between attempts of an
	// append.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 200 * time.Millisecond
	// maxRefusedTime is how long a job is tried against a store that refuses it: about a quarter
	// of the shortest objective of the first sites.
	maxRefusedTime = 60 * time.Millisecond
	// maxUncertainTime is how long a job is tried against a store that does not answer. The
	// client then gets an error and may try a VM that reaches the store.
	maxUncertainTime = 1200 * time.Millisecond
	// minRetryAfter and maxRetryAfter limit the Retry-After while the store is unavailable. Its
	// outages last seconds.
	minRetryAfter = time.Second
	maxRetryAfter = 4 * time.Second
	// maxQueue limits the jobs that wait for the store in each part's queue. With 10 KB a job,
	// full queues take a tenth of the memory of a VM with 184 MB.
	maxQueue = 250
	// recordsPerJob is the number of records that store a job.
	recordsPerJob = 2
	// maxBatchJobs and maxBatchBytes limit one append; the store accepts 2 MB.
	maxBatchJobs  = 100
	maxBatchBytes = 1 << 20
	// maxJobBytes limits one job; the store accepts records of 256 KB.
	maxJobBytes = 255 << 10
	// queryTimeout limits the first call to the scheduling VM. It doubles with each further call
	// to the same VM, since more calls would make a late VM later still.
	queryTimeout = 700 * time.Millisecond
	// queryRetryDelay is the delay between such calls. It doubles as well, up to
	// maxQueryRetryDelay.
	queryRetryDelay    = 60 * time.Millisecond
	maxQueryRetryDelay = 500 * time.Millisecond
)

// submission is a job that waits to be stored.
type submission struct {
	ctx         context.Context //nolint:containedctx // it travels with the job through the queue
	id          string
	value       []byte
	submittedAt time.Time
	uncertain   bool
	result      chan error
}

// abandon answers a submission whose call has ended, so that it is not stored any more. A VM that was paused
// may find such ones in its queues. It reports false if the call goes on.
func (s *submission) abandon() bool {
	switch {
	case s.ctx.Err() == nil:
		return false
	case s.uncertain:
		s.result <- ErrUncertain
	default:
		s.result <- &BusyError{Reason: "the call ended before the job was stored", RetryAfter: minRetryAfter}
	}
	return true
}

// Intake accepts jobs. All calls on a VM share its appends.
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

// New returns an Intake. It stores jobs only while Run runs.
func New(cfg Config) *Intake {
	in := &Intake{cfg: cfg}
	for part := range in.queues {
		in.queues[part] = &partQueue{cfg: cfg, part: part, wake: make(chan struct{}, 1)}
	}
	return in
}

// Submit stores the job, through the scheduling VM if the store does not serve this one. A nil
// error means that the job is stored, a BusyError that it never runs because of this call.
func (in *Intake) Submit(ctx context.Context, j scheduler.Job, from catalog.Origin) error {
	err := in.store(ctx, j)
	var busy *BusyError
	if errors.As(err, &busy) {
		return in.relay(ctx, RelayRequest{Job: j, From: from}, busy)
	}
	return err
}

// store stores the job through this VM's own appends.
func (in *Intake) store(ctx context.Context, j scheduler.Job) error {
	if local := in.cfg.LocalScheduler(); local != nil {
		if owner, known := local.Owner(j.ID); known && owner != j.Customer {
			return ErrTaken
		}
	}
	if !in.cfg.Healthy() {
		reason := fmt.Sprintf("the store has not answered this VM for %d ms", in.cfg.FailingFor().Milliseconds())
		return &BusyError{Reason: reason, RetryAfter: in.retryAfter()}
	}
	if !in.cfg.CatalogConfirmed() {
		// A VM that was paused may have missed that the route or the key was withdrawn.
		return &BusyError{Reason: "the configuration was not confirmed recently", RetryAfter: minRetryAfter}
	}
	value, err := json.Marshal(j)
	if err != nil {
		return errorx.Decorate(err, "encode job %s", j.ID)
	}
	if len(value) > maxJobBytes {
		return ErrTooLarge
	}
	s := &submission{ctx: ctx, id: j.ID, value: value, submittedAt: time.Now(), result: make(chan error, 1)}
	if err := in.queues[PartOf(j.ID)].enqueue(s); err != nil {
		return err
	}
	err = <-s.result
	metric.Observe("accept_seconds", s.submittedAt)
	return err
}

// retryAfter returns how long to wait before the next try. An outage is expected to last about
// as long again as it has lasted so far.
func (in *Intake) retryAfter() time.Duration {
	return min(max(in.cfg.FailingFor(), minRetryAfter), maxRetryAfter)
}

// Run stores submitted jobs until ctx ends.
func (in *Intake) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, q := range in.queues {
		wg.Go(func() { q.run(ctx) })
	}
	wg.Wait()
}

// enqueue adds a job to the queue.
func (q *partQueue) enqueue(s *submission) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.pending) >= maxQueue {
		return &BusyError{Reason: "too many jobs wait for the store", RetryAfter: minRetryAfter}
	}
	q.pending = append(q.pending, s)
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return nil
}

func (q *partQueue) run(ctx context.Context) {
	delay := minRetryDelay
	for {
		batch := q.nextBatch()
		if len(batch) == 0 {
			select {
			case <-q.wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		if q.append(ctx, batch) {
			delay = minRetryDelay
			continue
		}
		q.requeue(batch)
		time.Sleep(delay)
		delay = min(delay*2, maxRetryDelay)
	}
}

func (q *partQueue) nextBatch() []*submission {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pending = slices.DeleteFunc(q.pending, (*submission).abandon)
	n, size := 0, 0
	for n < min(len(q.pending), maxBatchJobs) && (n == 0 || size+recordsPerJob*len(q.pending[n].value) <= maxBatchBytes) {
		size += recordsPerJob * len(q.pending[n].value)
		n++
	}
	batch := q.pending[:n:n]
	q.pending = q.pending[n:]
	return batch
}

// append stores a batch and answers its submitters. It returns false if the batch was not
// stored.
func (q *partQueue) append(ctx context.Context, batch []*submission) bool {
	records := make([]store.Record, 0, recordsPerJob*len(batch))
	for _, s := range batch {
		stored := NewRecords(s.id, s.value)
		records = append(records, stored[:]...)
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := q.cfg.Log.Append(ctx, Stream(q.part), records, store.AppendOptions{})
	if err == nil {
		for _, s := range batch {
			s.result <- nil
		}
		return true
	}
	uncertain := !errors.Is(err, store.ErrRefused)
	q.cfg.Logger.Warn("jobs not stored", "jobs", len(batch), "uncertain", uncertain, "error", err)
	for _, s := range batch {
		s.uncertain = s.uncertain || uncertain
	}
	return false
}

// requeue puts back the jobs that may still be stored in time and answers the others.
func (q *partQueue) requeue(batch []*submission) {
	var again []*submission
	for _, s := range batch {
		switch {
		case s.uncertain && (s.ctx.Err() != nil || time.Since(s.submittedAt) > maxUncertainTime):
			s.result <- ErrUncertain
		case s.uncertain:
			again = append(again, s)
		case s.ctx.Err() != nil || time.Since(s.submittedAt) > maxRefusedTime:
			s.result <- &BusyError{Reason: "the store refused the job", RetryAfter: minRetryAfter}
		default:
			again = append(again, s)
		}
	}
	q.mu.Lock()
	q.pending = append(again, q.pending...)
	q.mu.Unlock()
}

// Query is sent by other VMs to the scheduling VM. Exactly one of Job, Cancel and Queue is set.
type Query struct {
	Job    string `json:"job,omitempty"`
	Cancel string `json:"cancel,omitempty"`
	Queue  string `json:"queue,omitempty"`
	// Customer is the owner of the call's API key, empty if the call needed none.
	Customer string `json:"customer,omitempty"`
}

// Reply answers a Query. Definite is false if the VM does not schedule or cannot give a definite
// answer. Refused then tells why repeats of the call can't succeed before RetryAfterMS, if that is so.
type Reply struct {
	Definite bool   `json:"sure"`
	Refused  string `json:"refused,omitempty"`
	// RetryAfterMS is a time from now on, in milliseconds.
	RetryAfterMS int64           `json:"retry,omitempty"`
	Known        bool            `json:"known,omitempty"`
	State        scheduler.State `json:"state,omitempty"`
	Waiting      int             `json:"waiting,omitempty"`
}

// refusal returns a BusyError if the call is refused, nil otherwise.
func (r Reply) refusal() error {
	if r.Refused == "" {
		return nil
	}
	return &BusyError{Reason: r.Refused, RetryAfter: time.Duration(r.RetryAfterMS) * time.Millisecond}
}

// AnswerQuery answers a query with the local scheduler, which is nil if this VM does not
// schedule.
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
	var busy *BusyError
	if errors.As(err, &busy) {
		rep.Refused, rep.RetryAfterMS = busy.Reason, busy.RetryAfter.Milliseconds()
	}
	rep.Known = err == nil
	rep.Definite = err == nil || errors.Is(err, scheduler.ErrUnknown)
	return rep
}

// query sends a query to the scheduling VM until it gets a definite reply or is refused. Once another VM
// schedules, the query goes to that one at once.
func (in *Intake) query(ctx context.Context, q Query) (Reply, error) {
	timeout, delay, previous := queryTimeout, queryRetryDelay, ""
	for {
		address, changed := in.cfg.LeaderTracker.Leader()
		if address != previous {
			timeout, delay, previous = queryTimeout, queryRetryDelay, address
		}
		if rep, ok := in.queryOnce(ctx, q, address, changed, timeout); ok || rep.Refused != "" {
			return rep, rep.refusal()
		}
		select {
		case <-ctx.Done():
			return Reply{}, errNoAnswer
		case <-changed:
		case <-time.After(delay):
		}
		timeout, delay = 2*timeout, min(2*delay, maxQueryRetryDelay)
	}
}

// queryOnce sends a query to the scheduling VM once. It is cancelled when another VM schedules.
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

// Cancel cancels a customer's job. The cancellation is stored when it returns nil.
func (in *Intake) Cancel(ctx context.Context, id, customer string) error {
	rep, err := in.query(ctx, Query{Cancel: id, Customer: customer})
	switch {
	case errors.Is(err, errNoAnswer):
		return ErrUncertain
	case err != nil:
		return err
	}
	if !rep.Known {
		return scheduler.ErrUnknown
	}
	return nil
}

// Waiting returns the number of jobs in a queue of which no task has started.
func (in *Intake) Waiting(ctx context.Context, queue string) (int, error) {
	rep, err := in.query(ctx, Query{Queue: queue})
	return rep.Waiting, err
}
