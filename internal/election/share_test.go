package election_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbshore/internal/standin"
)

// Processor shares of the VMs of the grown sites.
const (
	smallCores = 0.192
	largeCores = 0.8
)

// addMixed adds VMs of both sizes; the names of the large ones come last.
func (p *pool) addMixed(smalls, larges int) {
	for i := range smalls {
		p.addWith(fmt.Sprintf("small%02d", i), smallCores)
	}
	for i := range larges {
		p.addWith(fmt.Sprintf("zlarge%d", i), largeCores)
	}
}

func isLarge(m *member) bool { return m.name[0] == 'z' }

// The VMs with the most processor lead, from the start and after each loss of a leader:
// small ones won most campaigns once, and served half of what large ones do.
func TestLargeVMsLead(t *testing.T) {
	run(t, 0, func(p *pool) {
		p.addMixed(36, 4)
		for i := range 4 {
			old, took := p.awaitLeader(nil)
			assert.Assert(t, isLarge(old), "%s leads after the loss of %d", old.name, i)
			assert.Assert(t, took < takeoverTarget, "took %s", took)
			time.Sleep(5 * time.Second)
			assert.Equal(t, len(p.leaders()), 1)
			p.kill(old)
		}
	})
}

// Small VMs replace a leader as fast as ever if no large one lives.
func TestSmallVMsTakeOverWithoutDelay(t *testing.T) {
	run(t, 0, func(p *pool) {
		p.addMixed(36, 1)
		time.Sleep(3 * time.Second)
		for range 4 {
			old, _ := p.awaitLeader(nil)
			p.kill(old)
			_, took := p.awaitLeader(old)
			assert.Assert(t, took < takeoverTarget, "took %s", took)
			time.Sleep(2 * time.Second)
		}
	})
}

// A small VM hands the lead back once a large one is there, once and after it has
// finished what it began.
func TestLeadReturnsToALargeVM(t *testing.T) {
	run(t, 0, func(p *pool) {
		p.addMixed(10, 0)
		old, _ := p.awaitLeader(nil)
		time.Sleep(4 * time.Second)
		big := p.addWith("zlarge", largeCores)
		for range 100 {
			if big.leads() {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		assert.Assert(t, big.leads(), "a small VM still leads after ten seconds")
		assert.Equal(t, old.paused, 1)
		old.mu.Lock()
		old.end()
		old.mu.Unlock()
		time.Sleep(20 * time.Second)
		assert.Assert(t, big.leads())
		epochs := 0
		for _, m := range p.all {
			epochs += len(m.epochs)
		}
		assert.Equal(t, epochs, 2, "changes of the lead")
	})
}

// A large VM that doesn't reach the store is not offered the lead, which would interrupt
// the work each time.
func TestUnfitVMIsNotOfferedTheLead(t *testing.T) {
	run(t, 0, func(p *pool) {
		p.addMixed(10, 0)
		old, _ := p.awaitLeader(nil)
		time.Sleep(4 * time.Second)
		big := p.addWith("zlarge", largeCores)
		big.mu.Lock()
		big.storeDown = true
		big.mu.Unlock()
		p.log.SetVMFault("zlarge", &standin.LogFault{Refuse: true})
		time.Sleep(30 * time.Second)
		assert.Assert(t, old.leads())
		assert.Equal(t, old.paused, 0)
	})
}
