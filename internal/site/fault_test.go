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

// callSteps lists the calls of a daemon that faults can be injected into. A call is
// matched by its method and by the prefix and suffix of its path.
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

// stepOf returns the step that a request belongs to, or an empty string.
func stepOf(r *http.Request) string {
	for _, c := range callSteps {
		if r.Method == c.method && strings.HasPrefix(r.URL.Path, c.prefix) && strings.HasSuffix(r.URL.Path, c.suffix) {
			return c.step
		}
	}
	return ""
}

// callFaults lists the faults of a call:
//   - cut: the VM can't reach the call's host for a while
//   - lost: the call is executed and its answer is lost
//   - dropped: the call is lost and counts as sent
//   - late: as dropped, and the call is executed after lateDelay
//   - duplicate: the call is executed a second time after lateDelay
//   - slow: the call is delayed by lateDelay
//   - kill: the VM is killed
//   - isolate: the VM can't reach any host, nor be reached, for a while
var callFaults = []string{"cut", "lost", "dropped", "late", "duplicate", "slow", "kill", "isolate"}

const (
	// cutDuration is how long a cut or an isolation lasts. It exceeds the deadlines
	// Suspect and Lost, so that peers and workers count as lost.
	cutDuration = 3 * time.Second
	// lateDelay is the delay of a late call or of the second copy of a call.
	lateDelay = 700 * time.Millisecond
	// maxHits is the number of calls that a fault hits, unless it is a kill or an
	// isolation, which hit one call.
	maxHits = 2
)

// injector injects one fault into the first calls of one step after arm.
type injector struct {
	step, fault string

	mu          sync.Mutex
	remaining   int // calls that the fault has yet to hit
	hitCount    int
	cutUntil    map[string]time.Time // by "VM>host", or "VM>" for all hosts
	vmByAddress map[string]string
	killVM      func(vm string)
}

// unsentError returns the error of a call that was not sent.
func unsentError() error { return &net.OpError{Op: "dial", Net: "tcp", Err: context.DeadlineExceeded} }

// arm makes the fault hit the next calls.
func (i *injector) arm() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.remaining = maxHits
	if i.fault == "kill" || i.fault == "isolate" {
		i.remaining = 1
	}
}

// hits returns the number of calls that the fault has hit.
func (i *injector) hits() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.hitCount
}

// hit reports whether the fault hits the request, and counts the hit.
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

// addVM records a VM's address, so that an isolated VM can't be reached there.
func (i *injector) addVM(vm, address string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.vmByAddress[address] = vm
}

// isCut reports whether the VM can't reach the host.
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

// cut blocks calls for cutDuration, by a key of cutUntil.
func (i *injector) cut(key string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.cutUntil[key] = time.Now().Add(cutDuration)
}

// wrap implements Config.Wrap.
func (i *injector) wrap(vm string) func(next http.RoundTripper) http.RoundTripper {
	return func(next http.RoundTripper) http.RoundTripper {
		return &faultyTransport{i: i, vm: vm, next: next}
	}
}

// faultyTransport applies an injector's fault to the calls of one VM.
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
		return nil, unsentError()
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

// markSent reports to the request's trace that the request got a connection, so that
// the caller must assume that it was sent.
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

// cloneRequest copies a request, without the deadline of its context.
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
