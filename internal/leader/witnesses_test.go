package leader_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rhubarbshore/internal/election"
	"rhubarbshore/internal/fleet"
	"rhubarbshore/internal/leader"
	"rhubarbshore/internal/scheduler"
	"rhubarbshore/internal/standin"
)

// witnessVMs are the VMs that are witnesses of all leaders of a pool.
type witnessVMs struct {
	mu      sync.Mutex
	members map[string]*election.Member
	cut     map[string]bool // pairs of a leader and a witness, as in pair, without a path
}

func newWitnessVMs(names ...string) *witnessVMs {
	v := &witnessVMs{members: map[string]*election.Member{}, cut: map[string]bool{}}
	for _, name := range names {
		v.restart(name)
	}
	return v
}

func pair(leader, witness string) string { return leader + "-" + witness }

// restart starts a new process of a VM.
func (v *witnessVMs) restart(name string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.members[name] = election.New(election.Config{VM: name, Logger: slog.New(slog.DiscardHandler)})
}

// setCut cuts the path between a leader and a witness, or restores it.
func (v *witnessVMs) setCut(leader, witness string, cut bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cut[pair(leader, witness)] = cut
}

// witnessClient asks the witnesses on behalf of a leader.
type witnessClient struct {
	vms *witnessVMs
	vm  string
}

// Choose implements leader.Witnesses.
func (c witnessClient) Choose([]string) []string {
	c.vms.mu.Lock()
	defer c.vms.mu.Unlock()
	var ids []string
	for _, m := range c.vms.members {
		ids = append(ids, m.Identity())
	}
	slices.Sort(ids)
	return ids
}

func (c witnessClient) ask(ctx context.Context, id string, in election.WitnessRequest) (election.WitnessReply, bool) {
	const latency = 2 * time.Millisecond
	var w election.LeaderRecord
	if err := json.Unmarshal([]byte(id), &w); err != nil {
		panic(err)
	}
	in.Incarnation = w.Incarnation
	c.vms.mu.Lock()
	m, cut := c.vms.members[w.VM], c.vms.cut[pair(c.vm, w.VM)]
	c.vms.mu.Unlock()
	if cut {
		<-ctx.Done()
		return election.WitnessReply{}, false
	}
	time.Sleep(latency)
	out := m.HandleWitness(in)
	time.Sleep(latency)
	return out, true
}

// Confirm implements leader.Witnesses.
func (c witnessClient) Confirm(ctx context.Context, id string, epoch int64) bool {
	out, ok := c.ask(ctx, id, election.WitnessRequest{Epoch: epoch})
	return ok && out.Confirmed
}

// LastConfirmed implements leader.Witnesses.
func (c witnessClient) LastConfirmed(ctx context.Context, id string, epoch, next int64) (time.Duration, bool) {
	out, ok := c.ask(ctx, id, election.WitnessRequest{Epoch: epoch, Next: next})
	return time.Duration(out.ConfirmedMS) * time.Millisecond, ok
}

// useWitnesses has later leaders ask the witnesses, and no VM answer for an earlier leader.
func (p *pool) useWitnesses(vms *witnessVMs) {
	before := p.wrap
	p.wrap = func(c leader.Config) leader.Config {
		if before != nil {
			c = before(c)
		}
		c.Witnesses = witnessClient{vms, c.Identity()}
		c.EndedFor = func(context.Context, string, int64, []string) (time.Duration, []time.Duration, bool) {
			return 0, nil, false
		}
		return c
	}
}

// Guards against a task that lasts and waits for leases that the lost leader can't have granted, as one of its
// witnesses, or no other VM, is lost as well.
func TestLastingTaskRunsAgainInTimeAfterItsLeaderIsLostForGood(t *testing.T) {
	for i := range 4 {
		alone, maxLease := i%2 > 0, []time.Duration{testLease, 10 * time.Second}[i/2]
		t.Run(fmt.Sprint("leases ", maxLease, " one witness lost ", alone), func(t *testing.T) {
			violations := run(t, 2, func(p *pool) {
				vms := newWitnessVMs("a", "b")
				p.useLeases(maxLease)
				p.useWitnesses(vms)
				first := p.elect()
				p.submit(job(1, 1, lastingStep(2, 8)))
				time.Sleep(20 * time.Second)
				p.addWorker(2)
				first.cancel()
				lost := time.Now()
				p.fleet.Crash("w00", false)
				time.Sleep(time.Second)
				vms.setCut("vm2", "a", alone)
				p.elect()
				for p.fleet.UsedAccelerators() < 16 && time.Since(lost) < 2*maxWaitAfterLoss {
					time.Sleep(50 * time.Millisecond)
				}
				assert.Check(t, time.Since(lost) < maxWaitAfterLoss, "no run for %v", time.Since(lost))
				p.cancelLasting()
			})
			assert.DeepEqual(t, violations, []string(nil))
		})
	}
}

// Guards against the same if the next leader is lost at once, before it knows other VMs.
func TestLastingTaskRunsAgainInTimeAfterTwoLeadersAreLostForGood(t *testing.T) {
	for _, term := range []time.Duration{10 * time.Millisecond, 100 * time.Millisecond, 600 * time.Millisecond} {
		violations := run(t, 2, func(p *pool) {
			p.useWitnesses(newWitnessVMs("a", "b"))
			l := p.elect()
			p.submit(job(1, 1, lastingStep(2, 8)))
			time.Sleep(20 * time.Second)
			p.addWorker(2)
			l.cancel()
			p.fleet.Crash("w00", false)
			lost := time.Now()
			l = p.elect()
			time.Sleep(term)
			l.cancel()
			p.elect()
			for p.fleet.UsedAccelerators() < 16 && time.Since(lost) < 2*maxWaitAfterLoss {
				time.Sleep(50 * time.Millisecond)
			}
			assert.Check(t, time.Since(lost) < maxWaitAfterLoss, "no run for %v after a term of %v", time.Since(lost), term)
			p.cancelLasting()
		})
		assert.DeepEqual(t, violations, []string(nil))
	}
}

// Guards against work that is lost in an outage of the store although the witnesses confirm the leader.
func TestConfirmedLeaderRenewsLeasesInAnOutage(t *testing.T) {
	const outage = 8 * time.Second
	violations := run(t, 2, func(p *pool) {
		p.useWitnesses(newWitnessVMs("a", "b"))
		p.longTasks(40 * time.Second)
		p.elect()
		p.startOnFirst(job(1, 1, step(1, 8)))
		time.Sleep(5 * time.Second)
		p.log.SetFault(standin.LogFault{Silent: true})
		time.Sleep(outage)
		p.log.SetFault(standin.LogFault{})
		time.Sleep(10 * time.Second)
		assert.Check(t, p.fleet.Starts() == 1, "%d starts", p.fleet.Starts())
		assert.Check(t, p.fleet.Running(job(1, 1).ID+".0.0.0"))
	})
	assert.DeepEqual(t, violations, []string(nil))
}

// witnessEvent is a change of a witness or of its path to a leader.
type witnessEvent struct {
	leader, witness string
	restart, cut    bool
	wait            time.Duration
}

// laterTerm is the term of a later leader, which ends or goes on.
type laterTerm struct {
	lasts time.Duration
	lost  bool
}

// Guards against a task that runs twice: a leader that is cut off from the store goes on renewing its lease, and the
// next one, which does not reach the worker, counts on witnesses that have confirmed it or that it does not need.
func TestNoLeaseOutlastsTheConfirmationsOfALostLeader(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		millis := func(limit int, name string) time.Duration {
			return time.Duration(rapid.IntRange(0, limit).Draw(rt, name)) * time.Millisecond
		}
		storeLost := millis(1500, "store lost after")
		events := make([]witnessEvent, rapid.IntRange(0, 5).Draw(rt, "events"))
		for i := range events {
			events[i] = witnessEvent{
				leader:  rapid.SampledFrom([]string{"vm1", "vm2", "vm3"}).Draw(rt, "leader"),
				witness: rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "witness"),
				restart: rapid.IntRange(0, 3).Draw(rt, "restart") == 0, cut: rapid.Bool().Draw(rt, "cut"), wait: millis(2500, "wait"),
			}
		}
		terms := make([]laterTerm, rapid.IntRange(1, 2).Draw(rt, "later leaders"))
		for i := range terms {
			terms[i] = laterTerm{lasts: millis(3000, "term"), lost: rapid.Bool().Draw(rt, "lost")}
		}
		starts, maxLease := 0, rapid.SampledFrom([]time.Duration{testLease, 10 * time.Second}).Draw(rt, "lease")
		violations := run(t, 3, func(p *pool) {
			vms := newWitnessVMs("a", "b")
			p.useLeases(maxLease)
			p.useWitnesses(vms)
			p.longTasks(40 * time.Second)
			p.elect()
			p.startOnFirst(job(1, 1, step(1, 8)))
			time.Sleep(storeLost)
			p.log.SetVMFault("vm1", &standin.LogFault{Silent: true})
			useWitnesses := p.wrap
			p.wrap = func(c leader.Config) leader.Config {
				c = useWitnesses(c)
				c.Workers = hiddenWorker{c.Workers, "w00"}
				return c
			}
			for _, e := range events {
				if e.restart {
					vms.restart(e.witness)
				} else {
					vms.setCut(e.leader, e.witness, e.cut)
				}
				time.Sleep(e.wait)
			}
			for _, term := range terms {
				l := p.elect()
				time.Sleep(term.lasts)
				if term.lost {
					l.cancel()
				}
			}
			p.elect()
			time.Sleep(25 * time.Second)
			starts = p.fleet.Starts()
		})
		if len(violations) > 0 || starts < 2 {
			rt.Fatalf("broken rules: %s; %d starts", strings.Join(violations, "\n"), starts)
		}
	})
}

// startOnRestarted has a worker restart before it carries out a start, of which the answer is lost. The leader is lost
// with it.
type startOnRestarted struct {
	leader.Workers
	fleet  *standin.Fleet
	worker string
	lose   func()
}

// Start implements leader.Workers.
func (r startOnRestarted) Start(ctx context.Context, o scheduler.Start, token, deadline int64) (fleet.OrderAnswer, error) {
	if o.Worker != r.worker {
		return r.Workers.Start(ctx, o, token, deadline)
	}
	const restartTime = 400 * time.Millisecond // within the time limit of a start
	r.fleet.Crash(r.worker, true)
	time.Sleep(restartTime)
	if _, err := r.Workers.Start(ctx, o, token, deadline); err != nil {
		return fleet.OrderAnswer{}, err
	}
	r.lose()
	<-ctx.Done()
	return fleet.OrderAnswer{}, fleet.ErrUnanswered
}

// Guards against a task that runs twice: the lost leader's last start reached a restarted worker, which granted it the
// longest lease, and the next leader waits only for leases of renewals, as no witness has confirmed that one.
func TestLongLeaseOfAStartIsWaitedForDespiteWitnesses(t *testing.T) {
	violations := run(t, 1, func(p *pool) {
		p.useLeases(10 * time.Second)
		p.longTasks(40 * time.Second)
		useLeases := p.wrap
		lost := make(chan struct{})
		p.wrap = func(c leader.Config) leader.Config {
			c = useLeases(c)
			c.Workers = startOnRestarted{c.Workers, p.fleet, "w00", sync.OnceFunc(func() { close(lost) })}
			return c
		}
		vms := newWitnessVMs("a", "b")
		p.useWitnesses(vms)
		first := p.elect()
		time.Sleep(10 * time.Second)
		p.submit(job(1, 1, step(1, 8)))
		<-lost
		first.cancel()
		p.addWorker(1)
		p.wrap = func(c leader.Config) leader.Config {
			c = useLeases(c)
			c.Workers = hiddenWorker{c.Workers, "w00"}
			return c
		}
		p.useWitnesses(vms)
		p.elect()
		time.Sleep(30 * time.Second)
		assert.Check(t, p.fleet.Starts() == 2, "%d starts", p.fleet.Starts())
	})
	assert.DeepEqual(t, violations, []string(nil))
}
