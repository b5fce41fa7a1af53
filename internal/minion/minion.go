// Package minion speaks to the minions, the backend servers that carry
// requests out.
//
// Of a minion the project assumes that it answers POST /run with the ids of
// the request and attempt that it was given and a hash of the body, and that a
// refusal with one of the reasons below means that nothing was run.
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

// Header names of a call to a minion.
const (
	HeaderCustomer = "Customer"
	HeaderKind     = "Kind"
)

// Reasons that a minion gives with a refusal.
const (
	ReasonBusy    = "busy"
	ReasonLeaving = "leaving"
)

// Errors of an attempt. Callers test for them with errors.Is.
var (
	namespace = errorx.NewNamespace("minion")
	// ErrUnsent: the connection carried no byte of the request.
	ErrUnsent = errorx.NewType(namespace, "unsent").New("no byte of the request was sent")
	// ErrBusy: the minion has no free slot and did not run it.
	ErrBusy = errorx.NewType(namespace, "busy").New("the minion has no free slot")
	// ErrLeaving: the minion takes nothing new and did not run it.
	ErrLeaving = errorx.NewType(namespace, "leaving").New("the minion is leaving")
	// ErrUnknownOutcome: the request may have run; the answer was lost, cut off or
	// belongs to another request.
	ErrUnknownOutcome = errorx.NewType(namespace, "unknown").New("the minion's answer was lost")
)

// Attempt is one try at a request.
type Attempt struct {
	Request  string
	Attempt  string
	Customer string
	Kind     string
	Body     []byte
}

// Answer is a whole answer. Failed is set where the minion ran the request and
// reported a failure.
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

// Send carries one attempt to the minion at url and returns its whole answer.
func (c *Client) Send(ctx context.Context, url string, a Attempt) (Answer, error) {
	// GetBody stays unset and the method is POST, so that the transport never
	// sends the request a second time by itself.
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

// readAnswer takes the answer only if it is whole and belongs to this attempt.
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
