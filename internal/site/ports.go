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

var errNoFreeBlock = errorx.NewType(errorx.NewNamespace("ports"), "none").New("all blocks of ports are taken")

// portAllocator draws portAllocator from blocks, each of which belongs to one process: the process
// listens on the block's first port for as long as it lives.
type portAllocator struct {
	mu         sync.Mutex
	blockLocks []net.Listener
	next       int
	end        int
}

var processPorts portAllocator

// FreeAddress finds an address of the loopback interface to listen on later.
func FreeAddress() (string, error) {
	port, err := FreePort()
	return fmt.Sprint("127.0.0.1:", port), err
}

// FreePort finds a port of the loopback interface to listen on later. Neither an
// outgoing connection nor another process that calls FreePort can take it meanwhile, and
// this process gets it only once: who still knows a VM that has gone must not reach one
// of another site there.
func FreePort() (int, error) { return processPorts.allocate() }

func (p *portAllocator) allocate() (int, error) {
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
		if err := p.claimBlock(); err != nil {
			return 0, err
		}
	}
}

// claimBlock takes the next block that no process has, from a drawn one on.
func (p *portAllocator) claimBlock() error {
	const blocks = (lastPort - firstPort) / blockSize
	start := rand.IntN(blocks)
	for i := range blocks {
		first := firstPort + (start+i)%blocks*blockSize
		if l, err := listenAt(first); err == nil {
			p.blockLocks = append(p.blockLocks, l)
			p.next, p.end = first+1, first+blockSize
			return nil
		}
	}
	return errNoFreeBlock
}

func listenAt(port int) (net.Listener, error) {
	return httpjson.TCP{}.Listen(context.Background(), "tcp", fmt.Sprint("127.0.0.1:", port))
}
