package site

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"time"
)

// The callSteps of a daemon at which a fault is brought about, by the beginning or
// end of their path.
var callSteps = []struct{ step, method, prefix, suffix string }{
	{"claim-append", http.MethodPost, "/streams/claims", ""},
	{"claim-read", http.MethodGet, "/streams/claims", ""},
	{"config-append", http.MethodPost, "/streams/config", ""},
	{"config-read", http.MethodGet, "/streams/config", ""},
	{"job-append", http.MethodPost, "/streams/jobs", ""},
	{"job-read", http.MethodGet, "/streams/jobs", ""},
	{"list", http.MethodGet, "/instances", ""},
	{"send", http.MethodPost, "/run", ""},
	{"probe", http.MethodPost, "", "/Probe"},
	{"forward", http.MethodPost, "", "/Forward"},
	{"hand-over", http.MethodPost, "", "/Adopt"},
	{"version", http.MethodPost, "", "/Version"},
	{"replicate", http.MethodPost, "", "/Replicate"},
	{"submit", http.MethodPost, "", "/Submit"},
	{"fence", http.MethodPost, "/workers/", "/fence"},
	{"hold", http.MethodPost, "/workers/", "/hold"},
	{"start", http.MethodPost, "/workers/", "/start"},
	{"renew", http.MethodPost, "/workers/", "/renew"},
	{"checkpoint", http.MethodPost, "/workers/", "/checkpoint"},
	{"stop", http.MethodPost, "/workers/", "/stop"},
}

func stepOf(r *http.Request) string {
	for _, c := range callSteps {
		if r.Method == c.method && strings.HasPrefix(r.URL.Path, c.prefix) && strings.HasSuffix(r.URL.Path, c.suffix) {
			return c.step
		}
	}
	return ""
}

// The faults of a call.
var callFaults = []string{"cut", "lost", "dropped", "late", "duplicate", "slow", "kill", "isolate"}

const (
	// cutDuration is how long a cut or an isolation lasts: above Suspect and Lost.
	cutDuration = 3 * time.Second
	// lateDelay is how much later a late or second copy of a call arrives.
	lateDelay = 700 * time.Millisecond
	// maxHits is the number of calls that the fault hits.
	maxHits = 2
)

// injector brings one fault about at one step, at the first calls after it has
// been armed.
type injector struct {
	step, fault string

	mu          sync.Mutex
	remaining   int
	hitCount    int
	cutUntil    map[string]time.Time
	vmByAddress map[string]string
	killVM      func(vm string)
}

// cut is the error of a call that was never sent.
func cut() error { return &net.OpError{Op: "dial", Net: "tcp", Err: context.DeadlineExceeded} }

// arm lets the fault hit the next calls.
func (i *injector) arm() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.remaining = maxHits
	if i.fault == "kill" || i.fault == "isolate" {
		i.remaining = 1
	}
}

// hits is the number of calls that the fault has hit.
func (i *injector) hits() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.hitCount
}

func (i *injector) hit(r *http.Request) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.remaining == 0 || stepOf(r) != i.step {
		return false
	}
	i.remaining--
	i.hitCount++
	return true
}

// addVM notes a VM's address, for cuts on the way to it.
func (i *injector) addVM(vm, address string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.vmByAddress[address] = vm
}

func (i *injector) isCut(vm, host string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, key := range []string{vm + ">" + host, vm + ">", i.vmByAddress[host] + ">"} {
		if time.Now().Before(i.cutUntil[key]) {
			return true
		}
	}
	return false
}

func (i *injector) cut(key string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.cutUntil[key] = time.Now().Add(cutDuration)
}

// wrap is what a VM's transports are wrapped in.
func (i *injector) wrap(vm string) func(next http.RoundTripper) http.RoundTripper {
	return func(next http.RoundTripper) http.RoundTripper {
		return &faultyTransport{i: i, vm: vm, next: next}
	}
}

type faultyTransport struct {
	i    *injector
	vm   string
	next http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *faultyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	faulty := t.i.hit(r)
	switch {
	case faulty && t.i.fault == "cut":
		t.i.cut(t.vm + ">" + r.URL.Host)
	case faulty && t.i.fault == "isolate":
		t.i.cut(t.vm + ">")
	}
	if t.i.isCut(t.vm, r.URL.Host) {
		return nil, cut()
	}
	if !faulty {
		return t.next.RoundTrip(r)
	}
	return t.injectFault(r)
}

func (t *faultyTransport) injectFault(r *http.Request) (*http.Response, error) {
	second := cloneRequest(r)
	switch t.i.fault {
	case "lost":
		t.sendAndDiscard(r)
		return nil, io.ErrUnexpectedEOF
	case "dropped":
		markSent(r)
		return nil, io.ErrUnexpectedEOF
	case "late":
		markSent(r)
		go func() { time.Sleep(lateDelay); t.sendAndDiscard(second) }()
		return nil, io.ErrUnexpectedEOF
	case "duplicate":
		go func() { time.Sleep(lateDelay); t.sendAndDiscard(second) }()
	case "slow":
		time.Sleep(lateDelay)
	case "kill":
		go t.i.killVM(t.vm)
		return nil, io.ErrUnexpectedEOF
	}
	return t.next.RoundTrip(r)
}

// markSent tells the caller that a connection was used, so that it has to take
// the call for sent.
func markSent(r *http.Request) {
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
}

func (t *faultyTransport) sendAndDiscard(r *http.Request) {
	if resp, err := t.next.RoundTrip(r); err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}

// cloneRequest makes the request once more, free of the caller's deadline.
func cloneRequest(r *http.Request) *http.Request {
	clone := r.Clone(context.WithoutCancel(r.Context()))
	if r.Body == nil {
		return clone
	}
	data, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(data))
	clone.Body = io.NopCloser(bytes.NewReader(data))
	return clone
}
