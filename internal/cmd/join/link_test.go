package join_test

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fault is a network fault on a link.
type fault int

const (
	linkHealthy      fault = iota
	linkDelayed            // bytes are delayed by linkLatency in each direction
	linkStalled            // bytes are held back until the fault changes
	linkDropsReplies       // bytes from the target are lost; the end of the fault resets the connections
	linkReset              // open connections are reset, and so are new ones
)

// linkLatency is several times the highest one-way latency on the sites.
const linkLatency = 60 * time.Millisecond

// link is a TCP proxy on loopback that injects network faults between two processes.
type link struct {
	target      string
	listener    net.Listener
	mu          sync.Mutex
	changed     chan struct{} // closed and replaced when the fault changes
	fault       fault
	conns       map[net.Conn]bool // whether bytes to the connection are dropped
	lastRefusal time.Time         // when the target last refused a connection, or reset one before sending any bytes
}

func newLink(t *testing.T, target string) *link {
	t.Helper()
	var lc net.ListenConfig
	listener, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := &link{target: target, listener: listener, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go l.serve()
	t.Cleanup(l.close)
	return l
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) close() {
	_ = l.listener.Close() // the test is over
	l.setFault(linkReset)
}

// setFault replaces the fault. Open connections are reset if the new fault is linkReset, or
// if the old one has dropped bytes of their streams.
func (l *link) setFault(f fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f == linkReset || l.fault == linkDropsReplies {
		for c := range l.conns {
			resetConn(c)
		}
		clear(l.conns)
	}
	l.fault = f
	close(l.changed)
	l.changed = make(chan struct{})
}

// silence drops all bytes of the connections that are open now. New connections work.
func (l *link) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		l.conns[c] = true
	}
}

// silenced reports whether bytes to the connection are dropped.
func (l *link) silenced(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conns[c]
}

// currentFault returns the fault and a channel that is closed when it changes.
func (l *link) currentFault() (fault, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault, l.changed
}

// refuseConn resets a client's connection that the target has refused, and records the time.
func (l *link) refuseConn(c net.Conn) {
	l.mu.Lock()
	l.lastRefusal = time.Now()
	l.mu.Unlock()
	resetConn(c)
}

// refusedSince reports whether the target has refused a connection since start.
func (l *link) refusedSince(start time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastRefusal.After(start)
}

// resetConn closes a connection with a TCP reset.
func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // Close ends the connection even if this fails
	}
	_ = c.Close()
}

func (l *link) serve() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		if f, _ := l.currentFault(); f == linkReset {
			resetConn(c)
			continue
		}
		go l.proxy(c)
	}
}

func (l *link) proxy(c net.Conn) {
	var d net.Dialer
	upstream, err := d.DialContext(context.Background(), "tcp", l.target)
	if err != nil {
		l.refuseConn(c)
		return
	}
	l.mu.Lock()
	l.conns[c], l.conns[upstream] = false, false
	l.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { l.copy(upstream, c, false) })
	wg.Go(func() { l.copy(c, upstream, true) })
	wg.Wait()
	l.mu.Lock()
	delete(l.conns, c)
	delete(l.conns, upstream)
	l.mu.Unlock()
	_, _ = c.Close(), upstream.Close()
}

// copy forwards one direction of a connection until it ends.
func (l *link) copy(dst, src net.Conn, toClient bool) {
	buf := make([]byte, 32<<10)
	for relayed := 0; ; {
		n, err := src.Read(buf)
		if toClient && relayed == 0 && errors.Is(err, syscall.ECONNRESET) {
			l.refuseConn(dst) // the target process had not accepted the connection
			return
		}
		relayed += n
		if n > 0 && !l.deliver(dst, buf[:n], toClient) {
			return
		}
		if err != nil {
			if tcp, ok := dst.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
				_ = tcp.CloseWrite() // the peer may have closed the connection
			} else {
				resetConn(dst)
			}
			return
		}
	}
}

// deliver applies the current fault to a chunk. It reports false if the connection is broken.
func (l *link) deliver(dst net.Conn, chunk []byte, toClient bool) bool {
	for {
		f, changed := l.currentFault()
		switch {
		case f == linkStalled:
			<-changed
			continue
		case f == linkDropsReplies && toClient, l.silenced(dst):
			return true
		case f == linkDelayed:
			time.Sleep(linkLatency)
		}
		_, err := dst.Write(chunk)
		return err == nil
	}
}
