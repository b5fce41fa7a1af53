package site

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/joomcode/errorx"

	"rhubarbshore/internal/httpjson"
)

// The ports from which FreeAddress draws, in blocks. They lie below those that systems
// give to outgoing connections.
const (
	firstPort = 15_000
	lastPort  = 32_000
	blockSize = 50
)

var errNoBlock = errorx.NewType(errorx.NewNamespace("ports"), "none").New("all blocks of ports are taken")

// ports draws ports from blocks, each of which belongs to one process: the process
// listens on the block's first port for as long as it lives.
type ports struct {
	mu     sync.Mutex
	claims []net.Listener
	next   int
	end    int
}

var drawn ports

// FreeAddress finds an address of the loopback interface to listen on later.
func FreeAddress() (string, error) {
	port, err := FreePort()
	return fmt.Sprint("127.0.0.1:", port), err
}

// FreePort finds a port of the loopback interface to listen on later. Neither an
// outgoing connection nor another process that calls FreePort can take it meanwhile, and
// this process gets it only once: who still knows a VM that has gone must not reach one
// of another site there.
func FreePort() (int, error) { return drawn.draw() }

func (p *ports) draw() (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		for p.next < p.end {
			port := p.next
			p.next++
			if l, err := listenAt(port); err == nil {
				return port, l.Close()
			}
		}
		if err := p.claim(); err != nil {
			return 0, err
		}
	}
}

// claim takes the next block that no process has, from a drawn one on.
func (p *ports) claim() error {
	const blocks = (lastPort - firstPort) / blockSize
	start := rand.IntN(blocks)
	for i := range blocks {
		first := firstPort + (start+i)%blocks*blockSize
		if l, err := listenAt(first); err == nil {
			p.claims = append(p.claims, l)
			p.next, p.end = first+1, first+blockSize
			return nil
		}
	}
	return errNoBlock
}

func listenAt(port int) (net.Listener, error) {
	return httpjson.TCP{}.Listen(context.Background(), "tcp", fmt.Sprint("127.0.0.1:", port))
}
