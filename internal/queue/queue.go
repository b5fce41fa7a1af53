// Package queue admits requests, orders them by customer and worth, and sends them to
// backend servers through the router. Failed attempts are retried within a budget.
//
// One goroutine owns a queue and its router. Customers share the servers' slots by
// weighted fair queueing: the customer with the least service in relation to its share is
// next, so a burst of one customer delays only its own requests. Within a customer, the
// kind with the most worth per second of slot time goes first.
package queue

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"rhubarbshore/internal/httpjson"
	"rhubarbshore/internal/metric"
	"rhubarbshore/internal/minion"
	"rhubarbshore/internal/request"
	"rhubarbshore/internal/ring"
	"rhubarbshore/internal/route"
	"rhubarbshore/pkg/api"
)

// Parameters of the queue. Retries after an unknown outcome spend a budget that each
// answer refills a little. smoothing is the weight of the latest sample in the moving
// average of costs.
const (
	maxAttempts     = 8
	firstBackoff    = 5 * time.Millisecond
	maxBackoff      = 200 * time.Millisecond
	budgetPerAnswer = 0.1
	maxRetryBudget  = 20.0
	smoothing       = 0.1
	maxSleep        = time.Second
)

// Sender sends one attempt to a backend server.
type Sender interface {
	Send(ctx context.Context, url string, a minion.Attempt) (minion.Answer, error)
}

// Config configures a Queue. Size bounds the number of waiting requests.
type Config struct {
	Service string
	Zone    string
	Size    int
	Sender  Sender
	Router  *route.Router
	Logger  *slog.Logger
	// OnLeaving is called when a backend server reports that it is leaving.
	OnLeaving func(name string)
}

// Queue is the request queue of one service.
type Queue struct {
	cfg      Config
	arrivals *ring.Ring[*item]
	results  *ring.Ring[attemptResult]
	changes  *ring.Ring[func(q *Queue)]
	stopped  chan struct{}

	shares    map[string]float64
	customers map[string]*customer
	// active lists the customers with waiting requests.
	active []*customer
	// costs is the average time in a slot by kind, in seconds.
	costs map[string]float64
	// virtualClock is the virtual time of the customer served last. A customer that becomes
	// active starts at least there, so idle time earns no credit.
	virtualClock float64
	waiting      int
	inFlight     int
	retryBudget  float64
	// delayed lists the retries that wait for the end of their backoff.
	delayed []*item
}

// item is a request in the queue.
type item struct {
	ctx        context.Context
	req        *request.Request
	reply      chan api.Response
	attempts   int
	mayHaveRun bool
	tried      []string
	retryAt    time.Time
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	item   *item
	server *route.Server
	answer minion.Answer
	err    error
	took   time.Duration
}

// New returns a queue. Run starts serving it.
func New(cfg Config) *Queue {
	return &Queue{
		cfg:         cfg,
		arrivals:    ring.New[*item](cfg.Size),
		results:     ring.New[attemptResult](cfg.Size),
		changes:     ring.New[func(q *Queue)](64),
		stopped:     make(chan struct{}),
		shares:      map[string]float64{},
		customers:   map[string]*customer{},
		costs:       map[string]float64{},
		retryBudget: maxRetryBudget,
	}
}

// Do runs the request and waits for its outcome.
func (q *Queue) Do(ctx context.Context, r *request.Request) api.Response {
	it := &item{ctx: ctx, req: r, reply: make(chan api.Response, 1)}
	if err := q.arrivals.Put(it); err != nil {
		return r.Refuse(api.NotRun, request.ReasonFull)
	}
	select {
	case resp := <-it.reply:
		return resp
	case <-q.stopped:
		return r.Refuse(api.Unknown, request.ReasonStopping)
	}
}

// Configure runs change on the queue's goroutine.
func (q *Queue) Configure(change func(q *Queue)) { _ = q.changes.Put(change) }

// SetShares replaces the customers' shares. Call it from Configure.
func (q *Queue) SetShares(shares map[string]float64) { q.shares = shares }

// Router returns the router. Call it from Configure.
func (q *Queue) Router() *route.Router { return q.cfg.Router }

// Run serves the queue until ctx ends.
func (q *Queue) Run(ctx context.Context) {
	timer := time.NewTimer(maxSleep)
	defer timer.Stop()
	defer close(q.stopped)
	for {
		select {
		case it := <-q.arrivals.Items():
			q.admit(it)
		case e := <-q.results.Items():
			q.handleResult(e)
		case change := <-q.changes.Items():
			change(q)
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		q.dispatch(time.Now())
		timer.Reset(q.nextWake(time.Now()))
	}
}

func (q *Queue) nextWake(now time.Time) time.Duration {
	wake := maxSleep
	for _, it := range q.delayed {
		wake = min(wake, max(it.retryAt.Sub(now), 0))
	}
	return wake
}

// dispatch sends waiting requests while a server can accept one.
func (q *Queue) dispatch(now time.Time) {
	q.requeueRetries(now)
	for q.waiting > 0 && q.cfg.Router.Free(now) {
		it := q.dequeue(now)
		if it == nil {
			return
		}
		q.send(it, now)
	}
	q.expire(now)
}

// requeueRetries moves retries whose backoff has ended back into the queue.
func (q *Queue) requeueRetries(now time.Time) {
	pending := q.delayed[:0]
	for _, it := range q.delayed {
		if now.Before(it.retryAt) {
			pending = append(pending, it)
			continue
		}
		q.push(it)
	}
	q.delayed = pending
}

// send starts one attempt.
func (q *Queue) send(it *item, now time.Time) {
	s := q.cfg.Router.Pick(now, it.tried)
	if s == nil {
		s = q.cfg.Router.Pick(now, nil)
	}
	if s == nil {
		q.push(it)
		return
	}
	if it.attempts == 0 {
		metric.Seconds("queue_seconds", now.Sub(it.req.Arrived))
	}
	it.attempts++
	q.inFlight++
	q.cfg.Router.Begin(s)
	a := minion.Attempt{
		Request: it.req.ID, Attempt: fmt.Sprintf("%s-%d", it.req.ID, it.attempts),
		Customer: it.req.Customer, Kind: it.req.Kind, Body: it.req.Body,
	}
	deadline := now.Add(it.req.Timeout)
	if it.req.Idempotent && it.req.Deadline.Before(deadline) {
		deadline = it.req.Deadline
	}
	go q.runAttempt(it, s, a, deadline, now)
}

// runAttempt sends one attempt and passes the result to the queue's goroutine. It runs on
// its own goroutine.
func (q *Queue) runAttempt(it *item, s *route.Server, a minion.Attempt, deadline, started time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	answer, err := q.cfg.Sender.Send(ctx, s.Address(), a)
	e := attemptResult{item: it, server: s, answer: answer, err: err, took: time.Since(started)}
	for q.results.Put(e) != nil {
		time.Sleep(time.Millisecond)
	}
}

// handleResult processes the result of an attempt.
func (q *Queue) handleResult(e attemptResult) {
	now := time.Now()
	q.inFlight--
	result := routeResult(e)
	q.cfg.Router.End(e.server, result, e.took, now)
	if result == route.Leaving && q.cfg.OnLeaving != nil {
		q.cfg.OnLeaving(e.server.Name())
	}
	if e.err == nil {
		q.updateCost(e.item.req.Kind, e.took)
		q.retryBudget = min(maxRetryBudget, q.retryBudget+budgetPerAnswer)
		q.answer(e)
		return
	}
	q.retry(e, now)
}

func routeResult(e attemptResult) route.Result {
	switch {
	case e.err != nil && e.took < e.item.req.Timeout && !time.Now().Before(e.item.req.Deadline):
		return route.Expired
	case e.err == nil && e.answer.Failed:
		return route.Failed
	case e.err == nil:
		return route.OK
	case errors.Is(e.err, minion.ErrBusy):
		return route.Busy
	case errors.Is(e.err, minion.ErrLeaving):
		return route.Leaving
	}
	return route.NoAnswer
}

func (q *Queue) answer(e attemptResult) {
	resp := api.Response{
		Outcome: api.Done, Request: e.item.req.ID, Attempts: e.item.attempts, Server: e.server.Name(),
		Hash: httpjson.Hash(e.answer.Body), Body: e.answer.Body,
	}
	if e.answer.Failed {
		resp.Outcome = api.Failed
	}
	q.finish(e.item, resp)
}

// retry schedules another attempt if that is safe and worthwhile, and aborts the request
// otherwise.
func (q *Queue) retry(e attemptResult, now time.Time) {
	it := e.item
	outcomeUnknown := errors.Is(e.err, minion.ErrUnknownOutcome)
	it.mayHaveRun = it.mayHaveRun || outcomeUnknown
	if reason := q.noRetryReason(it, outcomeUnknown, now); reason != "" {
		q.abort(it, reason)
		return
	}
	if outcomeUnknown {
		q.retryBudget--
	}
	metric.Retry(retryReason(e.err))
	it.tried = append(it.tried, e.server.Name())
	backoff := min(maxBackoff, firstBackoff<<min(it.attempts, 10))
	it.retryAt = now.Add(rand.N(backoff))
	q.delayed = append(q.delayed, it)
}

func retryReason(err error) string {
	switch {
	case errors.Is(err, minion.ErrBusy):
		return "busy"
	case errors.Is(err, minion.ErrLeaving):
		return "leaving"
	case errors.Is(err, minion.ErrUnsent):
		return "unsent"
	}
	return "unknown"
}

// noRetryReason returns the reason against another attempt, or "" if there is none.
func (q *Queue) noRetryReason(it *item, outcomeUnknown bool, now time.Time) string {
	switch {
	case outcomeUnknown && !it.req.Idempotent:
		return request.ReasonLost
	case !now.Before(it.req.Deadline):
		return request.ReasonWindow
	case it.attempts >= maxAttempts:
		return request.ReasonNoServer
	case outcomeUnknown && q.retryBudget < 1:
		return request.ReasonBudget
	}
	return ""
}

// abort finishes a request that gets no further attempt. The outcome is NotRun, or
// Unknown if an earlier attempt may have run it.
func (q *Queue) abort(it *item, reason string) {
	outcome := api.NotRun
	if it.mayHaveRun {
		outcome = api.Unknown
	}
	resp := it.req.Refuse(outcome, reason)
	resp.Attempts = it.attempts
	q.finish(it, resp)
}

func (q *Queue) finish(it *item, resp api.Response) {
	metric.Outcome(string(resp.Outcome), resp.Reason)
	it.reply <- resp
}

// updateCost updates the average time that a request of the kind occupies a slot, in
// seconds.
func (q *Queue) updateCost(kind string, took time.Duration) {
	old, ok := q.costs[kind]
	if !ok {
		q.costs[kind] = took.Seconds()
		return
	}
	q.costs[kind] = old + smoothing*(took.Seconds()-old)
}
