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

// fault is what a link does to the connections through it.
type fault int

const (
	linkHealthy      fault = iota
	linkDelayed            // by linkLatency, each way
	linkStalled            // bytes are kept until the link passes again
	linkDropsReplies       // answers are lost, and their connections with them
	linkReset              // all connections are reset, and new ones
)

// linkLatency is several times the longest way on the sites.
const linkLatency = 60 * time.Millisecond

// link is a proxy on loopback that brings about faults between two processes.
type link struct {
	target      string
	listener    net.Listener
	mu          sync.Mutex
	changed     chan struct{} // closed when the fault is another
	fault       fault
	conns       map[net.Conn]bool
	lastRefusal time.Time // when the target last refused a connection, or reset one unused
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

// setFault changes the fault. A reset ends the connections at once, and so does the end of
// a fault that has lost their bytes.
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

func (l *link) currentFault() (fault, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault, l.changed
}

// refuseConn resets a connection, since the target took none.
func (l *link) refuseConn(c net.Conn) {
	l.mu.Lock()
	l.lastRefusal = time.Now()
	l.mu.Unlock()
	resetConn(c)
}

// refusedSince reports whether the target has refused a connection since a time.
func (l *link) refusedSince(start time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastRefusal.After(start)
}

// resetConn resets a connection.
func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // the connection ends in any case
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
	l.conns[c], l.conns[upstream] = true, true
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

// copy carries one direction of a connection.
func (l *link) copy(dst, src net.Conn, toClient bool) {
	buf := make([]byte, 32<<10)
	for relayed := 0; ; {
		n, err := src.Read(buf)
		if toClient && relayed == 0 && errors.Is(err, syscall.ECONNRESET) {
			l.refuseConn(dst) // its process hadn't accepted it
			return
		}
		relayed += n
		if n > 0 && !l.deliver(dst, buf[:n], toClient) {
			return
		}
		if err != nil {
			if tcp, ok := dst.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
				_ = tcp.CloseWrite() // the other end may be gone
			} else {
				resetConn(dst)
			}
			return
		}
	}
}

func (l *link) deliver(dst net.Conn, chunk []byte, toClient bool) bool {
	for {
		f, changed := l.currentFault()
		switch {
		case f == linkStalled:
			<-changed
			continue
		case f == linkDropsReplies && toClient:
			return true
		case f == linkDelayed:
			time.Sleep(linkLatency)
		}
		_, err := dst.Write(chunk)
		return err == nil
	}
}
