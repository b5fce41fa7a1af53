// Package minion is the client of the minions, the backend servers that run requests.
//
// A minion must answer POST /run with the ids of the request and attempt that it was
// given and with a hash of the body. If it refuses with one of the reasons below, it must
// not have run the request.
package minion

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"

	"github.com/joomcode/errorx"

	"rhubarbshore/internal/httpjson"
	"rhubarbshore/pkg/api"
)

// Headers of a request to a minion.
const (
	HeaderCustomer = "Customer"
	HeaderKind     = "Kind"
)

// Reasons for which a minion refuses a request.
const (
	ReasonBusy    = "busy"
	ReasonLeaving = "leaving"
)

// Errors of an attempt. Callers test for them with errors.Is.
var (
	namespace = errorx.NewNamespace("minion")
	// ErrUnsent is returned if no byte of the request was sent.
	ErrUnsent = errorx.NewType(namespace, "unsent").New("no byte of the request was sent")
	// ErrBusy is returned if the minion has no free slot and did not run the request.
	ErrBusy = errorx.NewType(namespace, "busy").New("the minion has no free slot")
	// ErrLeaving is returned if the minion accepts no new requests and did not run this
	// one.
	ErrLeaving = errorx.NewType(namespace, "leaving").New("the minion is leaving")
	// ErrUnknownOutcome is returned if the request may have run: the answer was lost,
	// truncated, or belongs to another request.
	ErrUnknownOutcome = errorx.NewType(namespace, "unknown").New("the minion's answer was lost")
)

// Attempt is one attempt at a request.
type Attempt struct {
	Request  string
	Attempt  string
	Customer string
	Kind     string
	Body     []byte
}

// Answer is a complete answer. Failed is set if the minion ran the request and reported a
// failure.
type Answer struct {
	Failed bool
	Body   []byte
}

// Client sends attempts to minions.
type Client struct {
	client *http.Client
}

// NewClient returns a client that sends through c.
func NewClient(c *http.Client) *Client { return &Client{client: c} }

// Send sends one attempt to the minion at url and returns its complete answer.
func (c *Client) Send(ctx context.Context, url string, a Attempt) (Answer, error) {
	// GetBody is not set and the method is POST, so the transport never retries the
	// request by itself.
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, url+"/run", io.NopCloser(bytes.NewReader(a.Body)))
	if err != nil {
		return Answer{}, ErrUnsent
	}
	r.ContentLength = int64(len(a.Body))
	r.Header[api.HeaderRequest] = []string{a.Request}
	r.Header[api.HeaderAttempt] = []string{a.Attempt}
	r.Header[HeaderCustomer] = []string{a.Customer}
	r.Header[HeaderKind] = []string{a.Kind}
	resp, err := c.client.Do(r)
	if err != nil && !connected {
		return Answer{}, ErrUnsent
	}
	if err != nil {
		return Answer{}, ErrUnknownOutcome
	}
	defer func() { _ = resp.Body.Close() }()
	return readAnswer(resp, a)
}

// readAnswer returns the answer only if it is complete and belongs to this attempt.
func readAnswer(resp *http.Response, a Attempt) (Answer, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, httpjson.MaxBody+1))
	if err != nil || len(body) > httpjson.MaxBody {
		return Answer{}, ErrUnknownOutcome
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		return Answer{}, refusalError(body)
	}
	h := resp.Header
	if h.Get(api.HeaderRequest) != a.Request || h.Get(api.HeaderAttempt) != a.Attempt || h.Get(api.HeaderHash) != httpjson.Hash(body) {
		return Answer{}, ErrUnknownOutcome
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return Answer{Body: body}, nil
	case http.StatusUnprocessableEntity:
		return Answer{Failed: true, Body: body}, nil
	}
	return Answer{}, ErrUnknownOutcome
}

func refusalError(body []byte) error {
	switch refusalReason(body) {
	case ReasonBusy:
		return ErrBusy
	case ReasonLeaving:
		return ErrLeaving
	}
	return ErrUnknownOutcome
}

func refusalReason(body []byte) string {
	var p api.Problem
	if json.Unmarshal(body, &p) != nil {
		return ""
	}
	return p.Reason
}
