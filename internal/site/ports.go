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

// FreePort allocates from this range of ports, in blocks of blockSize. The range lies below
// the one that operating systems use for outgoing connections.
const (
	firstPort = 15_000
	lastPort  = 32_000
	blockSize = 50
)

var errNoFreeBlock = errorx.NewType(errorx.NewNamespace("ports"), "none").New("all blocks of ports are in use")

// portAllocator allocates ports from blocks. Each block belongs to one process, which
// listens on the block's first port as long as it runs.
type portAllocator struct {
	mu         sync.Mutex
	blockLocks []net.Listener // on the first port of each claimed block
	next       int            // next port to try in the newest block
	end        int            // end of the newest block, exclusive
}

var processPorts portAllocator

// FreeAddress returns an address on the loopback interface to listen on later. Its
// port is from FreePort.
func FreeAddress() (string, error) {
	port, err := FreePort()
	return fmt.Sprint("127.0.0.1:", port), err
}

// FreePort returns a port of the loopback interface to listen on later. Until then no
// outgoing connection and no other process that calls FreePort can use it. A process
// gets each port only once: a peer that still has the address of a stopped VM must not
// reach a VM of another site there.
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

// claimBlock claims the first free block, starting the search at a random one.
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
