// Package client is the Go client of rhubarbshore's entry VMs.
//
// Send gives every request a ticket, so that it can be sent again through any entry VM
// without running twice, and returns the outcome of the request.
package client

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"

	"rhubarbshore/internal/httpjson"
	"rhubarbshore/pkg/api"
)

// Limits and delays of the client.
const (
	maxIdleConns       = 32
	dialTimeout        = time.Second
	firstBackoff       = 20 * time.Millisecond
	maxBackoff         = time.Second
	defaultTicketBlock = 100
	ticketMargin       = 30 * time.Second
)

// Errors of the client. Callers test for them with errors.Is.
var (
	namespace = errorx.NewNamespace("client")
	// ErrUnreachable is returned if no entry VM answered. Nothing was accepted.
	ErrUnreachable = errorx.NewType(namespace, "unreachable").New("no entry VM could be reached")
	// ErrUnsettled is returned if a job or configuration may have been accepted.
	ErrUnsettled = errorx.NewType(namespace, "unsettled").New("whether it was accepted can't be told")
	// ErrRefused is returned if the entry VM refused the call. Nothing was accepted.
	ErrRefused = errorx.NewType(namespace, "refused").New("refused")
)

// RefusedError is a refusal with its reason and details. It matches ErrRefused.
type RefusedError struct {
	Status int
	Reason string
	Text   string
	Detail []string
}

// Error implements error.
func (e *RefusedError) Error() string { return e.Reason + ": " + e.Text }

// Is makes errors.Is(err, ErrRefused) true.
func (e *RefusedError) Is(target error) bool { return target == ErrRefused }

// UnreachableError is ErrUnreachable with the addresses that were tried.
type UnreachableError struct {
	Addresses []string
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return "no entry VM answers at " + strings.Join(e.Addresses, ", ")
}

// Unwrap makes the error an ErrUnreachable.
func (*UnreachableError) Unwrap() error { return ErrUnreachable }

// Config configures a Client. Addresses are those of entry VMs or of a load balancer in
// front of them. Tickets is the number of tickets that are fetched at once.
type Config struct {
	Addresses []string
	HTTP      *http.Client
	Tickets   int
}

// Client talks to entry VMs. It is safe for concurrent use.
type Client struct {
	cfg   Config
	addrs atomic.Pointer[[]string]

	mu           sync.Mutex
	tickets      []string
	ticketsUntil time.Time
}

// New returns a client.
func New(cfg Config) *Client {
	if cfg.HTTP == nil {
		cfg.HTTP = httpjson.NewClient(httpjson.ClientConfig{Role: "entry", MaxIdleConnsPerHost: maxIdleConns, DialTimeout: dialTimeout})
	}
	if cfg.Tickets == 0 {
		cfg.Tickets = defaultTicketBlock
	}
	c := &Client{cfg: cfg}
	c.Readdress(cfg.Addresses)
	return c
}

// Options change how Send identifies a request.
type Options struct {
	// Key is the caller's own idempotency key. Without one Send uses a ticket.
	Key string
	// Once sends a single copy without key or ticket.
	Once bool
}

// Send sends the request and returns its outcome. It sends further copies through other
// entry VMs, under the same key, until the outcome is known or ctx ends. In the latter
// case the outcome is Retry if no copy can have been accepted, and Unknown otherwise.
func (c *Client) Send(ctx context.Context, in api.Request, o Options) (api.Response, error) {
	if in.ID == "" {
		in.ID = uuid.NewString()
	}
	if o.Once {
		resp, err := c.post(ctx, c.address(0), "/v1/requests", in, nil)
		return onceOutcome(in, resp, err)
	}
	return c.sendUntilSettled(ctx, in, o)
}

func onceOutcome(in api.Request, resp api.Response, err error) (api.Response, error) {
	switch {
	case err == nil:
		return resp, nil
	case errors.Is(err, httpjson.ErrUnsent):
		return api.Response{Outcome: api.Retry, Reason: "unreachable", Request: in.ID}, nil
	case errors.Is(err, httpjson.ErrUnknownOutcome):
		return api.Response{Outcome: api.Unknown, Reason: "lost", Request: in.ID}, nil
	}
	return resp, err
}

// sendUntilSettled sends copies of the request until its outcome is known or ctx ends.
func (c *Client) sendUntilSettled(ctx context.Context, in api.Request, o Options) (api.Response, error) {
	last := api.Response{Outcome: api.Retry, Reason: "unreachable", Request: in.ID}
	unknown := false
	start := rand.IntN(len(c.addresses()))
	header := http.Header{}
	for n := 0; ctx.Err() == nil; n++ {
		if n > 0 {
			backoff(ctx, n)
		}
		if len(header) == 0 || o.Key == "" && !unknown {
			h, err := c.keyHeader(ctx, o)
			if err != nil {
				continue
			}
			header = h
		}
		resp, err := c.post(ctx, c.address(start+n), "/v1/requests", in, header)
		switch {
		case err == nil && resp.Outcome != api.Retry:
			return resp, nil
		case err == nil:
			last = resp
			c.Forget()
		case errors.Is(err, httpjson.ErrUnsent):
		case errors.Is(err, httpjson.ErrUnknownOutcome):
			unknown = true
		default:
			return last, err
		}
	}
	if unknown {
		return api.Response{Outcome: api.Unknown, Reason: "lost", Request: in.ID}, nil
	}
	return last, nil
}

// Settle returns the outcome of a keyed request. If it has not run, it never will.
func (c *Client) Settle(ctx context.Context, in api.Request, o Options) (api.Response, error) {
	header := http.Header{}
	header.Set(api.HeaderKey, o.Key)
	for n := 0; ctx.Err() == nil; n++ {
		if n > 0 {
			backoff(ctx, n)
		}
		resp, err := c.post(ctx, c.address(n), "/v1/requests/settle", in, header)
		if err == nil && resp.Outcome != api.Retry {
			return resp, nil
		}
		if errors.Is(err, ErrRefused) {
			return resp, err
		}
	}
	return api.Response{Outcome: api.Unknown, Reason: "lost", Request: in.ID}, nil
}

// keyHeader returns the header with the key or ticket that identifies all copies of a
// request as one.
func (c *Client) keyHeader(ctx context.Context, o Options) (http.Header, error) {
	h := http.Header{}
	if o.Key != "" {
		h.Set(api.HeaderKey, o.Key)
		return h, nil
	}
	ticket, err := c.ticket(ctx)
	if err != nil {
		return nil, err
	}
	h.Set(api.HeaderTicket, ticket)
	return h, nil
}

// ticket returns the next ticket of the current block. It fetches a new block if the
// current one is used up, is close to its deadline, or was dropped because the entry VM
// that issued it has gone.
func (c *Client) ticket(ctx context.Context) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.tickets) == 0 || time.Now().After(c.ticketsUntil) {
		if err := c.fetchTickets(ctx); err != nil {
			return "", err
		}
	}
	t := c.tickets[0]
	c.tickets = c.tickets[1:]
	return t, nil
}

func (c *Client) fetchTickets(ctx context.Context) error {
	start := rand.IntN(len(c.addresses()))
	for i := range c.addresses() {
		path := fmt.Sprintf("/v1/tickets?count=%d", c.cfg.Tickets)
		out, err := httpjson.Call[struct{}, api.Tickets](ctx, c.cfg.HTTP, http.MethodPost, "http://"+c.address(start+i)+path, nil)
		if err == nil && len(out.Tickets) > 0 {
			c.tickets = out.Tickets
			c.ticketsUntil = out.Deadline.Add(-ticketMargin)
			return nil
		}
	}
	return c.unreachable()
}

// Forget drops the tickets fetched so far, for example after the entry VM that issued
// them failed.
func (c *Client) Forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tickets = nil
}

// Readdress replaces the addresses of the entry VMs.
func (c *Client) Readdress(addresses []string) {
	c.addrs.Store(&addresses)
}

func (c *Client) unreachable() error { return &UnreachableError{Addresses: c.addresses()} }

func (c *Client) addresses() []string { return *c.addrs.Load() }

func (c *Client) address(n int) string {
	all := c.addresses()
	return all[n%len(all)]
}

func backoff(ctx context.Context, n int) {
	delay := rand.N(min(firstBackoff<<min(n, 10), maxBackoff))
	select {
	case <-time.After(delay):
	case <-ctx.Done():
	}
}

// post sends one copy. It accepts only an answer to this copy whose body is complete.
func (c *Client) post(ctx context.Context, address, path string, in api.Request, header http.Header) (api.Response, error) {
	resp, err := httpjson.Post[api.Request, api.Response](ctx, c.cfg.HTTP, "http://"+address+path, &in, header)
	if err != nil {
		return resp, toRefusedError(err)
	}
	if resp.Outcome == "" || resp.Request != in.ID && resp.Request != "" || resp.Hash != "" && resp.Hash != httpjson.Hash(resp.Body) {
		return resp, httpjson.ErrUnknownOutcome
	}
	return resp, nil
}

// toRefusedError converts a refusal to a RefusedError and returns other errors as they
// are.
func toRefusedError(err error) error {
	var status *httpjson.StatusError
	if errors.As(err, &status) {
		return &RefusedError{Status: status.Status, Reason: status.Reason, Text: status.Text, Detail: status.Detail}
	}
	return err
}

// get asks the entry VMs in turn until one answers.
func get[Out any](ctx context.Context, c *Client, path string) (Out, error) {
	var out Out
	err := error(ErrUnreachable)
	for _, address := range c.addresses() {
		out, err = httpjson.Get[Out](ctx, c.cfg.HTTP, "http://"+address+path)
		if err == nil {
			return out, nil
		}
	}
	return out, c.callError(err)
}

// callError returns the error of a call that failed at every entry VM. err is that of
// the last one.
func (c *Client) callError(err error) error {
	if errors.Is(err, httpjson.ErrUnsent) {
		return c.unreachable()
	}
	return toRefusedError(err)
}

// Submit submits a job. If the job names no zone, one is chosen first, so that the job
// can be submitted again after a lost answer without being accepted twice.
func (c *Client) Submit(ctx context.Context, j api.Job) (api.JobStatus, error) {
	if j.ID == "" {
		j.ID = uuid.NewString()
	}
	if j.Zone == "" {
		v, err := get[api.VM](ctx, c, fmt.Sprintf("/v1/zone?accelerators=%d", j.Accelerators))
		if err != nil {
			return api.JobStatus{Job: j}, err
		}
		j.Zone = v.Zone
	}
	unknown := false
	for n := 0; ctx.Err() == nil; n++ {
		if n > 0 {
			backoff(ctx, n)
		}
		status, err := httpjson.Call[api.Job, api.JobStatus](ctx, c.cfg.HTTP, http.MethodPost, "http://"+c.address(n)+"/v1/jobs", &j)
		var refusal *httpjson.StatusError
		switch {
		case err == nil:
			return status, nil
		case errors.As(err, &refusal) && refusal.Status == api.Retry.Status():
		case errors.As(err, &refusal) && refusal.Status == api.NotRun.Status():
			return api.JobStatus{Job: j, State: api.Refused, Zone: j.Zone, Reason: refusal.Reason}, nil
		case errors.As(err, &refusal) && refusal.Status != api.Unknown.Status():
			return api.JobStatus{Job: j}, toRefusedError(err)
		case errors.Is(err, httpjson.ErrUnsent):
		default:
			unknown = true
		}
	}
	if unknown {
		return api.JobStatus{Job: j}, ErrUnsettled
	}
	return api.JobStatus{Job: j}, c.unreachable()
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, zone, id string) (api.JobStatus, error) {
	path := "/v1/jobs/" + url.PathEscape(zone) + "/" + url.PathEscape(id)
	var status api.JobStatus
	err := error(ErrUnreachable)
	for _, address := range c.addresses() {
		status, err = httpjson.Call[struct{}, api.JobStatus](ctx, c.cfg.HTTP, http.MethodDelete, "http://"+address+path, nil)
		if err == nil {
			return status, nil
		}
	}
	return status, c.callError(err)
}

// Jobs lists the jobs of all zones that answer.
func (c *Client) Jobs(ctx context.Context) (api.JobList, error) {
	return get[api.JobList](ctx, c, "/v1/jobs")
}

// Workers lists the workers of all zones that answer.
func (c *Client) Workers(ctx context.Context) (api.WorkerList, error) {
	return get[api.WorkerList](ctx, c, "/v1/workers")
}

// Customers lists the customers with their guarantees and how much of those is in use.
func (c *Client) Customers(ctx context.Context) (api.CustomerList, error) {
	return get[api.CustomerList](ctx, c, "/v1/customers")
}

// VMs lists the entry VMs as one of them sees them.
func (c *Client) VMs(ctx context.Context) (api.VMList, error) {
	return get[api.VMList](ctx, c, "/v1/vms")
}

// Config returns the last accepted configuration.
func (c *Client) Config(ctx context.Context) (api.ConfigView, error) {
	return get[api.ConfigView](ctx, c, "/v1/config")
}

// ConfigAt returns the last accepted configuration that the entry VM at address knows.
func (c *Client) ConfigAt(ctx context.Context, address string) (api.ConfigView, error) {
	return httpjson.Get[api.ConfigView](ctx, c.cfg.HTTP, "http://"+address+"/v1/config")
}

// Publish publishes a configuration. It is in force once Publish returns without an
// error; after ErrUnsettled it may still come into force.
func (c *Client) Publish(ctx context.Context, in api.Publish) (api.Published, error) {
	for _, address := range c.addresses() {
		out, err := httpjson.Call[api.Publish, api.Published](ctx, c.cfg.HTTP, http.MethodPost, "http://"+address+"/v1/config", &in)
		if errors.Is(err, httpjson.ErrUnsent) {
			continue
		}
		var refusal *httpjson.StatusError
		if errors.Is(err, httpjson.ErrUnknownOutcome) || errors.As(err, &refusal) && refusal.Status == api.Unknown.Status() {
			return out, ErrUnsettled
		}
		return out, toRefusedError(err)
	}
	return api.Published{}, c.unreachable()
}
