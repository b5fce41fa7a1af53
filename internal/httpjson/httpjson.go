// Package httpjson implements calls with typed JSON messages over HTTP. Bodies are
// bounded, and errors tell whether the peer may have acted on a call.
package httpjson

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"reflect"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"

	"rhubarbshore/internal/metric"
)

// MaxBody is the maximum size of a body, in bytes.
const MaxBody = 8 << 20

// Errors of a call. Callers test for them with errors.Is.
var (
	namespace = errorx.NewNamespace("http")
	// ErrUnsent is returned if no byte of the call reached the peer.
	ErrUnsent = errorx.NewType(namespace, "unsent").New("the peer was not reached")
	// ErrUnknownOutcome is returned if the call may have taken effect.
	ErrUnknownOutcome = errorx.NewType(namespace, "unknown").New("the answer was lost")
)

// StatusError is an answer whose status code refuses the call.
type StatusError struct {
	Status int
	Reason string
	Text   string
	Detail []string
}

// Error implements error.
func (e *StatusError) Error() string { return e.Reason + ": " + e.Text }

type problem struct {
	Error   string   `json:"error"`
	Reason  string   `json:"reason"`
	Details []string `json:"details,omitempty"`
}

// Network opens and accepts connections.
type Network interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
	Listen(ctx context.Context, network, address string) (net.Listener, error)
}

// keepAliveInterval is the time between two probes of an idle connection. It is shorter
// than the idle timeouts of firewalls, which are usually some minutes.
const keepAliveInterval = time.Minute

// TCP is the host's network. If KeepAlive is not set, idle connections are probed every
// keepAliveInterval.
type TCP struct{ KeepAlive net.KeepAliveConfig }

// DialContext implements Network.
func (n TCP) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{KeepAlive: keepAliveInterval, KeepAliveConfig: n.KeepAlive}
	return d.DialContext(ctx, network, address)
}

// Listen implements Network.
func (TCP) Listen(ctx context.Context, network, address string) (net.Listener, error) {
	var c net.ListenConfig
	return c.Listen(ctx, network, address)
}

// ClientConfig configures a client. MaxIdleConnsPerHost is the number of idle connections
// to each peer that stay open, for IdleTimeout or, if that is 0, defaultIdleTimeout. The
// bytes sent and received are counted under Role unless it is empty. A nil Network is TCP.
type ClientConfig struct {
	Role                string
	MaxIdleConnsPerHost int
	DialTimeout         time.Duration
	IdleTimeout         time.Duration
	Network             Network
}

// defaultIdleTimeout is below the two minutes after which daemons close idle
// connections.
const defaultIdleTimeout = time.Minute

// NewClient returns an HTTP client.
func NewClient(cfg ClientConfig) *http.Client {
	if cfg.Network == nil {
		cfg.Network = TCP{}
	}
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = defaultIdleTimeout
	}
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, cfg.DialTimeout)
			defer cancel()
			conn, err := cfg.Network.DialContext(ctx, network, address)
			if err != nil || cfg.Role == "" {
				return conn, err
			}
			return newCountingConn(conn, cfg.Role), nil
		},
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: cfg.MaxIdleConnsPerHost,
		IdleConnTimeout:     cfg.IdleTimeout,
		DisableCompression:  true,
	}}
}

// countingConn counts the bytes read from and written to a connection.
type countingConn struct {
	net.Conn
	in  *metrics.Counter
	out *metrics.Counter
}

func newCountingConn(c net.Conn, role string) net.Conn {
	return &countingConn{Conn: c, in: metric.Bytes(role, "in"), out: metric.Bytes(role, "out")}
}

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener
	role string
}

// NewCountingListener returns a listener that counts the bytes of its connections under
// role.
func NewCountingListener(l net.Listener, role string) net.Listener {
	return &countingListener{Listener: l, role: role}
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newCountingConn(conn, l.role), nil
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.in.Add(n)
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.out.Add(n)
	return n, err
}

// Call sends in as JSON and decodes the answer into Out.
func Call[In, Out any](ctx context.Context, c *http.Client, method, url string, in *In) (Out, error) {
	return roundTrip[In, Out](ctx, c, method, url, in, nil, isRefusal)
}

// Get fetches url and decodes the answer.
func Get[Out any](ctx context.Context, c *http.Client, url string) (Out, error) {
	return Call[struct{}, Out](ctx, c, http.MethodGet, url, nil)
}

// Post sends in with additional headers and decodes the answer into Out, whatever its
// status code. Only 400 is a refusal.
func Post[In, Out any](ctx context.Context, c *http.Client, url string, in *In, header http.Header) (Out, error) {
	return roundTrip[In, Out](ctx, c, http.MethodPost, url, in, header, func(status int) bool { return status == http.StatusBadRequest })
}

// noUserAgent makes net/http omit the User-Agent header, which no peer reads.
var noUserAgent = []string{""}

// isRefusal reports whether a status code is a refusal, which is any but 2xx.
func isRefusal(status int) bool { return status/100 != 2 }

// roundTrip sends in and decodes the complete answer, unless refused reports that its
// status code is a refusal.
func roundTrip[In, Out any](ctx context.Context, c *http.Client, method, url string, in *In, header http.Header, refused func(status int) bool) (Out, error) {
	var out Out
	r, err := newRequest(ctx, method, url, in, header)
	if err != nil {
		return out, err
	}
	resp, err := c.Do(r)
	if err != nil {
		return out, Classify(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, MaxBody))
	if err != nil {
		return out, ErrUnknownOutcome
	}
	if refused(resp.StatusCode) {
		return out, newStatusError(resp.StatusCode, data)
	}
	return decodeAnswer[Out](data)
}

// decodeAnswer decodes the body of an answer. One that is missing tells nothing, and null neither if Out is a struct,
// unless it has no fields. A list without entries may be null.
func decodeAnswer[Out any](data []byte) (Out, error) {
	var out Out
	kind := reflect.TypeFor[Out]()
	isStruct := kind.Kind() == reflect.Struct
	if isStruct && kind.NumField() == 0 && len(data) == 0 {
		return out, nil
	}
	decoded := &out
	if json.Unmarshal(data, &decoded) != nil || isStruct && decoded == nil {
		return out, ErrUnknownOutcome
	}
	return out, nil
}

func newRequest[In any](ctx context.Context, method, url string, in *In, header http.Header) (*http.Request, error) {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return nil, errorx.Decorate(err, "encode %s", url)
		}
		body = bytes.NewReader(data)
	}
	r, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, errorx.Decorate(err, "request %s", url)
	}
	r.Header["User-Agent"] = noUserAgent
	for name := range header {
		r.Header[name] = header[name]
	}
	return r, nil
}

func newStatusError(status int, data []byte) error {
	var p problem
	_ = json.Unmarshal(data, &p)
	return &StatusError{Status: status, Reason: p.Reason, Text: p.Error, Detail: p.Details}
}

// Hash returns the checksum of a body, its xxhash64 in hexadecimal.
func Hash(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }

// Unsent reports whether a transport error means that no connection was established.
func Unsent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Classify returns ErrUnsent or ErrUnknownOutcome for a transport error.
func Classify(err error) error {
	if Unsent(err) {
		return ErrUnsent
	}
	return ErrUnknownOutcome
}

// Reason returns the reason of a refusal, or an empty string if err is not a refusal.
func Reason(err error) string {
	var status *StatusError
	if errors.As(err, &status) {
		return status.Reason
	}
	return ""
}

// Read decodes a request's body of at most limit bytes.
func Read[In any](w http.ResponseWriter, r *http.Request, limit int64) (In, error) {
	var in In
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		return in, errorx.Decorate(err, "read body")
	}
	if len(data) == 0 {
		return in, nil
	}
	return in, json.Unmarshal(data, &in)
}

// Write answers with status and out as JSON. net/http sends the body's length or chunks
// the body, so that a client detects an answer that was cut off.
func Write(w http.ResponseWriter, status int, out any) {
	data, err := json.Marshal(out)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h["Date"] = nil
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// Refuse answers with a reason that clients may act on and a text for people.
func Refuse(w http.ResponseWriter, status int, reason, text string) {
	Write(w, status, problem{Error: text, Reason: reason})
}
