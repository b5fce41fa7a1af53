package election_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbshore/internal/standin"
)

// Processor shares of the VMs on the enlarged sites.
const (
	smallCores = 0.192
	largeCores = 0.8
)

// addMixed adds VMs of both sizes. The names of the large ones sort last.
func (p *pool) addMixed(smalls, larges int) {
	for i := range smalls {
		p.addWith(fmt.Sprintf("small%02d", i), smallCores)
	}
	for i := range larges {
		p.addWith(fmt.Sprintf("zlarge%d", i), largeCores)
	}
}

func isLarge(m *member) bool { return m.name[0] == 'z' }

// The VMs with the most processor must lead, from the start and after each loss of a leader.
// Small VMs once won most campaigns, and a small leader serves half of what a large one does.
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

// A small VM must not win because calls fail while there is no leader. Each failed call once cut
// the delay short by which large VMs campaign first.
func TestFailedCallsDoNotMakeSmallVMsLead(t *testing.T) {
	run(t, 0, func(p *pool) {
		p.addMixed(87, 16)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		for _, m := range p.all {
			go m.forwardCalls(ctx)
		}
		for range 8 {
			time.Sleep(5 * time.Second)
			old, _ := p.awaitLeader(nil)
			p.kill(old)
			next, took := p.awaitLeader(old)
			assert.Assert(t, isLarge(next), "%s leads after the loss of %s", next.name, old.name)
			assert.Assert(t, took < takeoverTarget, "took %s", took)
		}
	})
}

// restartAll kills all members and starts them again over a while, in the order of their names, so
// that the large ones come last.
func (p *pool) restartAll(spread time.Duration) {
	old := p.all
	for _, m := range old {
		p.kill(m)
	}
	time.Sleep(time.Second)
	for _, m := range old {
		cores := smallCores
		if isLarge(m) {
			cores = largeCores
		}
		p.addWith(m.name, cores)
		time.Sleep(spread / time.Duration(len(old)))
	}
}

// A small VM must not lead after all VMs were killed because it restarted a little sooner than the
// large ones. It then took 0.7 s to load, and handed the leadership over 2.4 s later.
func TestLargeVMLeadsAfterAllWereKilled(t *testing.T) {
	run(t, 0, func(p *pool) {
		p.addMixed(36, 4)
		time.Sleep(5 * time.Second)
		old, _ := p.awaitLeader(nil)
		assert.Assert(t, isLarge(old), "%s leads at first", old.name)
		for range 4 {
			p.restartAll(300 * time.Millisecond)
			next, took := p.awaitLeader(nil)
			assert.Assert(t, isLarge(next), "%s leads after all were killed", next.name)
			assert.Assert(t, took < takeoverTarget, "took %s", took)
			time.Sleep(5 * time.Second)
		}
	})
}

// Small VMs must lead soon after all VMs were killed if the large ones do not come back.
func TestSmallVMLeadsIfNoLargeOneReturns(t *testing.T) {
	run(t, 0, func(p *pool) {
		p.addMixed(36, 1)
		time.Sleep(5 * time.Second)
		p.kill(p.all[36])
		p.all = p.all[:36]
		p.restartAll(300 * time.Millisecond)
		_, took := p.awaitLeader(nil)
		assert.Assert(t, took < takeoverTarget, "took %s", took)
	})
}

// forwardCalls reports failed calls while the leader is gone, as a VM does that forwards calls.
func (m *member) forwardCalls(ctx context.Context) {
	const callInterval = 7 * time.Millisecond
	for ctx.Err() == nil {
		time.Sleep(callInterval)
		address, _ := m.Leader()
		m.net.mu.Lock()
		_, alive := m.net.members[address]
		m.net.mu.Unlock()
		if !alive {
			m.Suspect(address)
		}
	}
}

// Small VMs must replace a leader without extra delay if no large VM is left.
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

// A small VM must hand the leadership over once a large VM is there, exactly once and after it has
// finished its work in progress.
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
		assert.Equal(t, epochs, 2, "changes of leader")
	})
}

// A large VM that cannot reach the store must not be offered the leadership, since each
// offer interrupts the leader's work.
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
