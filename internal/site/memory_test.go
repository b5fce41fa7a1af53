package site

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
)

// memoryNetwork is an in-memory network. It lets a site run in the virtual time of
// synctest, which does not advance while a goroutine waits for a real network.
type memoryNetwork struct {
	mu        sync.Mutex
	lastPort  int
	listeners map[string]*memoryListener
}

func newMemoryNetwork() *memoryNetwork {
	return &memoryNetwork{listeners: map[string]*memoryListener{}}
}

// FreeAddress implements Network.
func (m *memoryNetwork) FreeAddress() (string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastPort++
	return fmt.Sprint("127.0.0.1:", m.lastPort), nil
}

// Listen implements httpjson.Network.
func (m *memoryNetwork) Listen(_ context.Context, _, address string) (net.Listener, error) {
	if address == "127.0.0.1:0" {
		address, _ = m.FreeAddress()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listeners[address] != nil {
		return nil, &net.OpError{Op: "listen", Net: "memory", Err: syscall.EADDRINUSE}
	}
	l := &memoryListener{network: m, address: address, accept: make(chan net.Conn), closed: make(chan struct{})}
	m.listeners[address] = l
	return l, nil
}

// DialContext implements httpjson.Network.
func (m *memoryNetwork) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	m.mu.Lock()
	l := m.listeners[address]
	m.mu.Unlock()
	refused := &net.OpError{Op: "dial", Net: "memory", Err: syscall.ECONNREFUSED}
	if l == nil {
		return nil, refused
	}
	clientEnd, serverEnd := net.Pipe()
	select {
	case l.accept <- serverEnd:
		return clientEnd, nil
	case <-l.closed:
		return nil, refused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

type memoryListener struct {
	network *memoryNetwork
	address string
	accept  chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accept:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *memoryListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, l.address)
	})
	return nil
}

// Addr implements net.Listener.
func (l *memoryListener) Addr() net.Addr { return memoryAddr(l.address) }

type memoryAddr string

// Network implements net.Addr.
func (memoryAddr) Network() string { return "memory" }

// String implements net.Addr.
func (a memoryAddr) String() string { return string(a) }
