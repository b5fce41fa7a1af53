// Package queue admits requests, orders them by customer and worth, and sends
// them to backend servers through the router, with retries within a budget.
//
// One goroutine owns a queue and its router. Customers share the servers'
// slots by weight: the customer that has used least for its share is next, so
// that one customer's burst delays its own requests only. Within a customer
// the kind with the most worth per second of a slot goes first.
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

// Tuning of the queue.
const (
	maxAttempts = 8
	firstPause  = 5 * time.Millisecond
	maxPause    = 200 * time.Millisecond
	budgetShare = 0.1
	maxBudget   = 20.0
	smoothing   = 0.1
	idle        = time.Second
)

// Sender carries one attempt to a backend server.
type Sender interface {
	Send(ctx context.Context, url string, a minion.Attempt) (minion.Answer, error)
}

// Config constructs a Queue. Size bounds the requests that wait.
type Config struct {
	Service string
	Zone    string
	Size    int
	Sender  Sender
	Router  *route.Router
	Logger  *slog.Logger
	// Left is called when a backend server says that it is leaving.
	Left func(name string)
}

// Queue is the queue of one service.
type Queue struct {
	cfg     Config
	arrive  *ring.Ring[*item]
	ended   *ring.Ring[ending]
	control *ring.Ring[func(q *Queue)]
	stopped chan struct{}

	shares    map[string]float64
	customers map[string]*customer
	active    []*customer
	costs     map[string]float64
	clock     float64
	waiting   int
	under     int
	budget    float64
	delayed   []*item
}

// item is a request in the queue.
type item struct {
	ctx      context.Context
	req      *request.Request
	reply    chan api.Response
	attempts int
	unknown  bool
	tried    []string
	ready    time.Time
}

// ending is the end of an attempt.
type ending struct {
	item   *item
	server *route.Server
	answer minion.Answer
	err    error
	took   time.Duration
}

// New returns a queue; Run serves it.
func New(cfg Config) *Queue {
	return &Queue{
		cfg:       cfg,
		arrive:    ring.New[*item](cfg.Size),
		ended:     ring.New[ending](cfg.Size),
		control:   ring.New[func(q *Queue)](64),
		stopped:   make(chan struct{}),
		shares:    map[string]float64{},
		customers: map[string]*customer{},
		costs:     map[string]float64{},
		budget:    maxBudget,
	}
}

// Do runs the request and waits for its outcome.
func (q *Queue) Do(ctx context.Context, r *request.Request) api.Response {
	it := &item{ctx: ctx, req: r, reply: make(chan api.Response, 1)}
	if err := q.arrive.Put(it); err != nil {
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
func (q *Queue) Configure(change func(q *Queue)) { _ = q.control.Put(change) }

// SetShares replaces the customers' shares. Call it from Configure.
func (q *Queue) SetShares(shares map[string]float64) { q.shares = shares }

// Router returns the router. Call it from Configure.
func (q *Queue) Router() *route.Router { return q.cfg.Router }

// Run serves the queue until ctx ends.
func (q *Queue) Run(ctx context.Context) {
	timer := time.NewTimer(idle)
	defer timer.Stop()
	defer close(q.stopped)
	for {
		select {
		case it := <-q.arrive.Items():
			q.admit(it)
		case e := <-q.ended.Items():
			q.end(e)
		case change := <-q.control.Items():
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
	wake := idle
	for _, it := range q.delayed {
		wake = min(wake, max(it.ready.Sub(now), 0))
	}
	return wake
}

// dispatch sends as many requests as the servers take.
func (q *Queue) dispatch(now time.Time) {
	q.release(now)
	for q.waiting > 0 && q.cfg.Router.Free(now) {
		it := q.next(now)
		if it == nil {
			return
		}
		q.send(it, now)
	}
	q.expire(now)
}

// release moves retries whose pause is over back into the queue.
func (q *Queue) release(now time.Time) {
	kept := q.delayed[:0]
	for _, it := range q.delayed {
		if now.Before(it.ready) {
			kept = append(kept, it)
			continue
		}
		q.push(it)
	}
	q.delayed = kept
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
	q.under++
	q.cfg.Router.Begin(s)
	a := minion.Attempt{
		Request: it.req.ID, Attempt: fmt.Sprintf("%s-%d", it.req.ID, it.attempts),
		Customer: it.req.Customer, Kind: it.req.Kind, Body: it.req.Body,
	}
	deadline := now.Add(it.req.Timeout)
	if it.req.Idempotent && it.req.Deadline.Before(deadline) {
		deadline = it.req.Deadline
	}
	go q.attempt(it, s, a, deadline, now)
}

// attempt runs on a goroutine of its own.
func (q *Queue) attempt(it *item, s *route.Server, a minion.Attempt, deadline, begun time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	answer, err := q.cfg.Sender.Send(ctx, s.Address(), a)
	e := ending{item: it, server: s, answer: answer, err: err, took: time.Since(begun)}
	for q.ended.Put(e) != nil {
		time.Sleep(time.Millisecond)
	}
}

// end takes the result of an attempt.
func (q *Queue) end(e ending) {
	now := time.Now()
	q.under--
	result := resultOf(e)
	q.cfg.Router.End(e.server, result, e.took, now)
	if result == route.Leaving && q.cfg.Left != nil {
		q.cfg.Left(e.server.Name())
	}
	if e.err == nil {
		q.learn(e.item.req.Kind, e.took)
		q.budget = min(maxBudget, q.budget+budgetShare)
		q.answer(e)
		return
	}
	q.retry(e, now)
}

func resultOf(e ending) route.Result {
	switch {
	case e.err != nil && e.took < e.item.req.Timeout && !time.Now().Before(e.item.req.Deadline):
		return route.Cut
	case e.err == nil && e.answer.Failed:
		return route.Failed
	case e.err == nil:
		return route.OK
	case errors.Is(e.err, minion.ErrBusy):
		return route.Busy
	case errors.Is(e.err, minion.ErrLeaving):
		return route.Leaving
	}
	return route.Lost
}

func (q *Queue) answer(e ending) {
	resp := api.Response{
		Outcome: api.Done, Request: e.item.req.ID, Attempts: e.item.attempts, Server: e.server.Name(),
		Hash: httpjson.Hash(e.answer.Body), Body: e.answer.Body,
	}
	if e.answer.Failed {
		resp.Outcome = api.Failed
	}
	q.finish(e.item, resp)
}

// retry sends the request again where that is safe and worth it, and otherwise
// tells what became of it.
func (q *Queue) retry(e ending, now time.Time) {
	it := e.item
	sent := errors.Is(e.err, minion.ErrUnknownOutcome)
	it.unknown = it.unknown || sent
	if reason := q.refuseRetry(it, sent, now); reason != "" {
		q.giveUp(it, reason)
		return
	}
	if sent {
		q.budget--
	}
	metric.Retry(retryReason(e.err))
	it.tried = append(it.tried, e.server.Name())
	pause := min(maxPause, firstPause<<min(it.attempts, 10))
	it.ready = now.Add(rand.N(pause))
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

// refuseRetry names the reason against another attempt, if there is one.
func (q *Queue) refuseRetry(it *item, sent bool, now time.Time) string {
	switch {
	case sent && !it.req.Idempotent:
		return request.ReasonLost
	case !now.Before(it.req.Deadline):
		return request.ReasonWindow
	case it.attempts >= maxAttempts:
		return request.ReasonNoServer
	case sent && q.budget < 1:
		return request.ReasonBudget
	}
	return ""
}

// giveUp tells the truth about a request that gets no further attempt.
func (q *Queue) giveUp(it *item, reason string) {
	outcome := api.NotRun
	if it.unknown {
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

// learn updates the time that a request of the kind holds a slot, in seconds.
func (q *Queue) learn(kind string, took time.Duration) {
	old, ok := q.costs[kind]
	if !ok {
		q.costs[kind] = took.Seconds()
		return
	}
	q.costs[kind] = old + smoothing*(took.Seconds()-old)
}
