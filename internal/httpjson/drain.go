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
	// newConnGrace is how long a new connection counts as in use while its first call
	// has not arrived.
	newConnGrace = time.Second
	// drainPollInterval is the interval between checks for connections in use.
	drainPollInterval = 10 * time.Millisecond
)

// DrainingServer is a server that can be stopped without cutting off calls.
// http.Server.Shutdown alone drops calls that the server reads as the shutdown begins, and
// connections that were accepted just before.
type DrainingServer struct {
	server   *http.Server
	listener net.Listener
	accepted chan struct{} // closed when no more connections are accepted

	mu        sync.Mutex
	serving   bool
	stopped   bool
	connState map[net.Conn]connState
}

// connState is the state of a connection in use and the time when it was entered.
type connState struct {
	state http.ConnState
	since time.Time
}

// NewDrainingServer returns a server that accepts connections from l. Its handlers should ask
// clients to close their connections once the process is leaving.
func NewDrainingServer(srv *http.Server, l net.Listener) *DrainingServer {
	d := &DrainingServer{server: srv, listener: l, accepted: make(chan struct{}), connState: map[net.Conn]connState{}}
	srv.ConnState = d.trackConn
	return d
}

// trackingListener tracks connections from the moment when they are accepted. The server reports
// their state a little later, when it may already have found that none is in use.
type trackingListener struct {
	net.Listener
	server *DrainingServer
}

// Accept implements net.Listener.
func (l trackingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.server.trackConn(c, http.StateNew)
	}
	return c, err
}

func (d *DrainingServer) trackConn(c net.Conn, state http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch state {
	case http.StateNew, http.StateActive:
		d.connState[c] = connState{state, time.Now()}
	case http.StateIdle, http.StateHijacked, http.StateClosed:
		delete(d.connState, c)
	}
}

// inUse reports whether a call is in flight or may be about to arrive.
func (d *DrainingServer) inUse() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.connState {
		if c.state == http.StateActive || time.Since(c.since) < newConnGrace {
			return true
		}
	}
	return false
}

// Serve serves calls until the server is stopped. It is called once.
func (d *DrainingServer) Serve() error {
	d.mu.Lock()
	d.serving = true
	d.mu.Unlock()
	err := d.server.Serve(trackingListener{d.listener, d})
	close(d.accepted)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Close stops the server immediately.
func (d *DrainingServer) Close() error { return d.server.Close() }

// Drain stops accepting connections and returns when all calls in flight are answered
// or ctx ends. The kernel resets connections that have not been accepted by then.
func (d *DrainingServer) Drain(ctx context.Context) error {
	d.mu.Lock()
	d.stopped = true
	serving := d.serving
	d.mu.Unlock()
	err := d.listener.Close()
	if serving {
		select {
		case <-d.accepted:
		case <-ctx.Done():
		}
	}
	for d.inUse() && ctx.Err() == nil {
		time.Sleep(drainPollInterval)
	}
	return errors.Join(err, d.server.Shutdown(ctx))
}
