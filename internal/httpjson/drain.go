package httpjson

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// newConnGrace is how long a new connection counts as used before it brings a call.
	newConnGrace = time.Second
	// drainPollInterval spaces looks at the connections in use.
	drainPollInterval = 10 * time.Millisecond
)

// Draining is a server that can be stopped without cutting a call. http.Server.Shutdown
// alone drops calls that it has read while it began to stop.
type Draining struct {
	server   *http.Server
	listener net.Listener

	mu        sync.Mutex
	stopped   bool
	connState map[net.Conn]connState
}

type connState struct {
	state http.ConnState
	since time.Time
}

// NewDraining returns a server on a listener. Its handlers should ask for the closing of
// connections once the process is leaving.
func NewDraining(srv *http.Server, l net.Listener) *Draining {
	d := &Draining{server: srv, listener: l, connState: map[net.Conn]connState{}}
	srv.ConnState = d.trackConn
	return d
}

func (d *Draining) trackConn(c net.Conn, state http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch state {
	case http.StateNew, http.StateActive:
		d.connState[c] = connState{state, time.Now()}
	case http.StateIdle, http.StateHijacked, http.StateClosed:
		delete(d.connState, c)
	}
}

// inUse reports whether a call is under way, or may be about to come.
func (d *Draining) inUse() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.connState {
		if c.state == http.StateActive || time.Since(c.since) < newConnGrace {
			return true
		}
	}
	return false
}

// Serve answers calls until the server is stopped.
func (d *Draining) Serve() error {
	err := d.server.Serve(d.listener)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Close ends the server at once.
func (d *Draining) Close() error { return d.server.Close() }

// Drain takes no more connections, and returns when the calls under way are answered, or
// ctx ends. The kernel resets connections that haven't been accepted by then.
func (d *Draining) Drain(ctx context.Context) error {
	d.mu.Lock()
	d.stopped = true
	d.mu.Unlock()
	err := d.listener.Close()
	for d.inUse() && ctx.Err() == nil {
		time.Sleep(drainPollInterval)
	}
	return errors.Join(err, d.server.Shutdown(ctx))
}
