package election_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbshore/internal/election"
	"rhubarbshore/internal/standin"
)

// network carries calls between members in virtual time.
type network struct {
	mu      sync.Mutex
	members map[string]*member
	cut     map[string]bool // members that can neither call others nor be called
	refused [2]string       // caller and callee between which connections are refused
	former  bool            // VMs answer as those of the former version, which do not know workers
}

// member is a VM that takes part in the election. While it leads, it only waits to be stopped.
type member struct {
	*election.Member
	net       *network
	name      string
	cancel    context.CancelFunc
	done      chan struct{}
	mu        sync.Mutex
	epochs    []int64
	began     time.Time // when the newest of them began
	leading   bool
	end       context.CancelFunc
	stuck     bool
	storeDown bool
	paused    int
	// hangsSince is when the attempt was sent that has no answer yet, zero if attempts fail at once.
	hangsSince time.Time
}

// Pause implements election.Leadership.
func (m *member) Pause(context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.paused++
}

// termAge returns the age of the term in an epoch.
func (m *member) termAge(epoch int64) (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.leading || m.epochs[len(m.epochs)-1] != epoch {
		return 0, false
	}
	return time.Since(m.began), true
}

// Lead implements election.Leadership.
func (m *member) Lead(ctx context.Context, epoch int64) {
	ctx, cancel := context.WithCancel(ctx)
	m.mu.Lock()
	m.epochs, m.leading, m.end, m.began = append(m.epochs, epoch), true, cancel, time.Now()
	m.mu.Unlock()
	<-ctx.Done()
	m.mu.Lock()
	m.leading = false
	m.mu.Unlock()
}

func (m *member) leads() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leading
}

// failedAt returns when the newest attempt was made that failed: now, if attempts fail and not all of
// them hang.
func (m *member) failedAt(fails func() bool) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case !fails():
		return time.Time{}
	case !m.hangsSince.IsZero():
		return m.hangsSince
	}
	return time.Now()
}

// set changes the member under its lock.
func (m *member) set(change func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change()
}

// RoundTrip implements http.RoundTripper for the calls of one member.
func (m *member) RoundTrip(r *http.Request) (*http.Response, error) {
	m.net.mu.Lock()
	to := m.net.members[r.URL.Host]
	silent := m.net.cut[m.name] || to != nil && m.net.cut[to.name]
	if m.net.refused == [2]string{m.name, r.URL.Host} {
		to = nil
	}
	former := m.net.former
	m.net.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	if to == nil {
		return nil, &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	}
	time.Sleep(2 * time.Millisecond)
	if r.URL.Path == election.WitnessPath {
		return answerWitness(to, r)
	}
	var in election.Ping
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		return nil, err
	}
	var out election.Pong
	if former {
		in.Workers = nil
	}
	switch r.URL.Path {
	case "/ping":
		out = to.HandlePing(in)
	case "/heard":
		out = to.HandleHeard(r.Context(), in)
	case "/take":
		out = to.Accept(context.Background(), in)
	case "/term":
		out = to.HandleTerm(in)
	}
	return respond(out)
}

func respond(out any) (*http.Response, error) {
	data, err := json.Marshal(out)
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(data)), Header: http.Header{}}, err
}

type pool struct {
	net *network
	log *standin.Log
	all []*member
}

func newPool(n int) *pool {
	p := &pool{net: &network{members: map[string]*member{}, cut: map[string]bool{}}, log: standin.NewLog(standin.LogConfig{Latency: 4 * time.Millisecond, Seed: 1})}
	for i := range n {
		p.add(fmt.Sprint("vm", i))
	}
	return p
}

func (p *pool) add(name string) { p.addWith(name, 0.4) }

func (p *pool) addWith(name string, cores float64) *member {
	m := &member{net: p.net, name: name, done: make(chan struct{})}
	m.Member = election.New(election.Config{
		VM: name, Address: name, Zone: zoneOf(name), Cores: cores, Log: p.log.View(name), Client: &http.Client{Transport: m}, Logger: slog.New(slog.DiscardHandler), Leader: m,
		StoreHealthy:   func() bool { m.mu.Lock(); defer m.mu.Unlock(); return !m.storeDown },
		StoreFailedAt:  func() time.Time { return m.failedAt(func() bool { return m.storeDown }) },
		TermAge:        m.termAge,
		SinceLastGrant: sinceLastGrant,
		StuckAsOf:      func() time.Time { return m.failedAt(func() bool { return m.stuck }) },
	})
	p.net.mu.Lock()
	p.net.members[name] = m
	p.net.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	go func() {
		defer close(m.done)
		m.Run(ctx)
	}()
	p.all = append(p.all, m)
	return m
}

// kill ends a member's process, so that connections to it are refused.
func (p *pool) kill(m *member) {
	p.net.mu.Lock()
	delete(p.net.members, m.name)
	p.net.mu.Unlock()
	m.cancel()
	<-m.done
}

func (p *pool) leaders() []*member {
	var out []*member
	for _, m := range p.all {
		if m.leads() {
			out = append(out, m)
		}
	}
	return out
}

// awaitLeader waits until a member other than old leads and returns it and the time that this
// took.
func (p *pool) awaitLeader(old *member) (*member, time.Duration) {
	start := time.Now()
	for time.Since(start) < 30*time.Second {
		for _, m := range p.leaders() {
			if m != old {
				return m, time.Since(start)
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil, time.Since(start)
}

func run(t *testing.T, n int, f func(p *pool)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p := newPool(n)
		f(p)
		seen := map[int64]string{}
		for _, m := range p.all {
			m.cancel()
		}
		for _, m := range p.all {
			<-m.done
			for _, e := range m.epochs {
				assert.Equal(t, seen[e], "", "epoch %d is led twice", e)
				seen[e] = m.name
			}
		}
		time.Sleep(5 * time.Second) // calls in progress end
	})
}

// takeoverTarget is the longest acceptable time without a leader.
const takeoverTarget = 1500 * time.Millisecond

func TestOneLeaderFromTheStart(t *testing.T) {
	run(t, 8, func(p *pool) {
		_, took := p.awaitLeader(nil)
		assert.Assert(t, took < takeoverTarget, "took %s", took)
		time.Sleep(30 * time.Second)
		assert.Equal(t, len(p.leaders()), 1)
		assert.Equal(t, len(p.leaders()[0].epochs), 1, "the lead does not change without a cause")
	})
}

// A leader whose process is gone refuses connections. Its standbys must replace it at once.
// Waiting until they had not heard it for a while took 0.6 s of each takeover.
func TestKilledLeaderIsReplacedAtOnce(t *testing.T) {
	run(t, 8, func(p *pool) {
		for range 5 {
			old, _ := p.awaitLeader(nil)
			time.Sleep(3 * time.Second)
			p.kill(old)
			_, took := p.awaitLeader(old)
			assert.Assert(t, took < takeoverTarget/3, "took %s", took)
		}
	})
}

func TestKilledLeaderIsReplaced(t *testing.T) {
	run(t, 8, func(p *pool) {
		for range 5 {
			old, _ := p.awaitLeader(nil)
			time.Sleep(3 * time.Second)
			p.kill(old)
			_, took := p.awaitLeader(old)
			assert.Assert(t, took < takeoverTarget, "took %s", took)
		}
	})
}

func TestSilentLeaderIsReplaced(t *testing.T) {
	run(t, 8, func(p *pool) {
		old, _ := p.awaitLeader(nil)
		time.Sleep(3 * time.Second)
		p.net.mu.Lock()
		p.net.cut[old.name] = true
		p.net.mu.Unlock()
		_, took := p.awaitLeader(old)
		assert.Assert(t, took < 2*takeoverTarget, "took %s", took)
	})
}

// A VM whose connections to the leader are refused must not take the leadership while others reach
// the leader.
func TestRefusedVMTakesNothing(t *testing.T) {
	run(t, 6, func(p *pool) {
		old, _ := p.awaitLeader(nil)
		time.Sleep(3 * time.Second)
		for _, m := range p.all {
			if m != old {
				p.net.mu.Lock()
				p.net.refused = [2]string{m.name, old.name}
				p.net.mu.Unlock()
				break
			}
		}
		time.Sleep(20 * time.Second)
		assert.Equal(t, len(old.epochs), 1)
		assert.Assert(t, old.leads())
	})
}

// A VM that is cut off from the others must not take the leadership from a leader that they
// reach.
func TestCutOffVMTakesNothing(t *testing.T) {
	run(t, 6, func(p *pool) {
		old, _ := p.awaitLeader(nil)
		time.Sleep(3 * time.Second)
		for _, m := range p.all {
			if m != old {
				p.net.mu.Lock()
				p.net.cut[m.name] = true
				p.net.mu.Unlock()
				break
			}
		}
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, len(old.epochs), 1)
	})
}

func TestLeaderThatCannotWriteIsReplaced(t *testing.T) {
	run(t, 5, func(p *pool) {
		old, _ := p.awaitLeader(nil)
		time.Sleep(3 * time.Second)
		old.mu.Lock()
		old.stuck = true
		old.mu.Unlock()
		_, took := p.awaitLeader(old)
		assert.Assert(t, took < takeoverTarget, "took %s", took)
	})
}

// Guards against a leader that the store turns away and that leads on until it counts as stuck:
// for two seconds nothing started, though other VMs reached the store.
func TestLeaderThatTheStoreTurnsAwayHandsOver(t *testing.T) {
	run(t, 8, func(p *pool) {
		for range 4 {
			old, _ := p.awaitLeader(nil)
			time.Sleep(3 * time.Second)
			p.log.SetVMFault(old.name, &standin.LogFault{Refuse: true})
			old.mu.Lock()
			old.storeDown = true
			old.mu.Unlock()
			next, took := p.awaitLeader(old)
			assert.Assert(t, next != nil && took < takeoverTarget/3, "took %s", took)
			old.mu.Lock()
			old.end() // a worker fences it
			old.storeDown = false
			old.mu.Unlock()
			p.log.SetVMFault(old.name, nil)
		}
	})
}

// Guards against changes of leader while the store is down for all VMs.
func TestOutageOfTheStoreChangesNoLeader(t *testing.T) {
	run(t, 8, func(p *pool) {
		old, _ := p.awaitLeader(nil)
		time.Sleep(3 * time.Second)
		p.log.SetFault(standin.LogFault{Refuse: true})
		for _, m := range p.all {
			m.mu.Lock()
			m.storeDown = true
			m.mu.Unlock()
		}
		time.Sleep(5 * time.Second)
		p.log.SetFault(standin.LogFault{})
		for _, m := range p.all {
			m.mu.Lock()
			m.storeDown = false
			m.mu.Unlock()
		}
		time.Sleep(5 * time.Second)
		assert.Assert(t, old.leads())
		assert.Equal(t, len(old.epochs), 1)
	})
}

// Guards against a change of leader when the store returns: the leader's last call of the outage times
// out later than those of other VMs.
func TestReturnOfTheStoreChangesNoLeader(t *testing.T) {
	const lag = 1100 * time.Millisecond // a call's timeout and the delay before the next attempt
	run(t, 8, func(p *pool) {
		old, _ := p.awaitLeader(nil)
		time.Sleep(3 * time.Second)
		p.log.SetFault(standin.LogFault{Silent: true})
		for _, m := range p.all {
			m.set(func() { m.storeDown, m.stuck = true, m == old })
		}
		time.Sleep(3 * time.Second)
		old.set(func() { old.hangsSince = time.Now().Add(-time.Millisecond) })
		p.log.SetFault(standin.LogFault{})
		for _, m := range p.all {
			if m != old {
				m.set(func() { m.storeDown = false })
			}
		}
		time.Sleep(lag)
		old.set(func() { old.storeDown, old.stuck, old.hangsSince = false, false, time.Time{} })
		time.Sleep(5 * time.Second)
		assert.Assert(t, slices.Equal(p.leaders(), []*member{old}))
		assert.Equal(t, len(old.epochs), 1)
	})
}

func TestLeadIsHandedOver(t *testing.T) {
	run(t, 5, func(p *pool) {
		old, _ := p.awaitLeader(nil)
		time.Sleep(3 * time.Second)
		old.HandOver(context.Background())
		next, took := p.awaitLeader(old)
		assert.Assert(t, took < 200*time.Millisecond, "took %s", took)
		old.mu.Lock()
		old.end()
		old.mu.Unlock()
		time.Sleep(10 * time.Second)
		assert.DeepEqual(t, []bool{next.leads(), old.leads()}, []bool{true, false})
	})
}

// A planned stop must ask the next standby if the first one has just gone. A leader once asked
// only a standby that had stopped before it, and led until its process was ended.
func TestHandOverAsksTheNextStandby(t *testing.T) {
	run(t, 5, func(p *pool) {
		old, _ := p.awaitLeader(nil)
		time.Sleep(3 * time.Second)
		gone := 0
		for _, m := range p.all { // standbys with the same cores are ranked by name
			if m != old && gone < 2 {
				p.kill(m)
				gone++
			}
		}
		go old.HandOver(context.Background())
		_, took := p.awaitLeader(old)
		assert.Assert(t, took < 300*time.Millisecond, "took %s", took)
		old.mu.Lock()
		old.end()
		old.mu.Unlock()
	})
}

func TestAllRestartWhileTheStoreNamesALeaderOfBefore(t *testing.T) {
	run(t, 4, func(p *pool) {
		old, _ := p.awaitLeader(nil)
		time.Sleep(2 * time.Second)
		for _, m := range p.all {
			p.kill(m)
		}
		for i := range 4 {
			p.add(fmt.Sprint("vm", i))
		}
		_, took := p.awaitLeader(old)
		assert.Assert(t, took < takeoverTarget, "took %s", took)
	})
}

func TestNobodyLeadsWithoutTheStore(t *testing.T) {
	run(t, 4, func(p *pool) {
		p.log.SetFault(standin.LogFault{Refuse: true})
		time.Sleep(10 * time.Second)
		assert.Equal(t, len(p.leaders()), 0)
		p.log.SetFault(standin.LogFault{})
		_, took := p.awaitLeader(nil)
		assert.Assert(t, took < takeoverTarget, "took %s", took)
	})
}

// If answers of the store are lost, a VM may win a campaign without knowing it.
func TestLostAnswersOfTheStoreLeaveNoGap(t *testing.T) {
	run(t, 5, func(p *pool) {
		old, _ := p.awaitLeader(nil)
		time.Sleep(2 * time.Second)
		p.log.SetFault(standin.LogFault{LossRate: 0.6, Late: 2 * time.Second})
		p.kill(old)
		time.Sleep(6 * time.Second)
		p.log.SetFault(standin.LogFault{})
		_, took := p.awaitLeader(old)
		assert.Assert(t, took < 2*takeoverTarget, "took %s", took)
	})
}
