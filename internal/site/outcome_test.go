package site

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbshore/internal/ledger"
	"rhubarbshore/internal/platform"
	"rhubarbshore/internal/standin"
	"rhubarbshore/pkg/api"
	"rhubarbshore/pkg/client"
)

// sendModes lists the ways to send a request: under a ticket, with the caller's key,
// without either, with a key by several callers at once, and with a key while another
// caller settles it.
var sendModes = []string{"ticket", "key", "once", "copies", "settle"}

// requestFault is a fault on the path of a request. inject starts it and remove ends it.
type requestFault struct {
	name   string
	inject func(s *Site)
	remove func(s *Site)
}

func faultAllMinions(f standin.MinionFault) func(s *Site) {
	return func(s *Site) {
		for _, m := range s.Minions {
			m.SetFault(f)
		}
	}
}

func faultEveryOtherMinion(f standin.MinionFault) func(s *Site) {
	return func(s *Site) {
		n := 0
		for _, m := range s.Minions {
			if n++; n%2 == 0 {
				m.SetFault(f)
			}
		}
	}
}

func faultPlatform(f standin.Fault) func(s *Site) {
	return func(s *Site) { s.Platform.SetFault(f) }
}

func noFault(*Site) {}

var requestFaults = []requestFault{
	{"none", noFault, noFault},
	{"minion-mute", faultEveryOtherMinion(standin.MinionFault{DropResponses: true}), faultAllMinions(standin.MinionFault{})},
	{"minion-cut", faultEveryOtherMinion(standin.MinionFault{TruncateResponses: true}), faultAllMinions(standin.MinionFault{})},
	{"minion-cross", faultEveryOtherMinion(standin.MinionFault{WrongRequestID: true}), faultAllMinions(standin.MinionFault{})},
	{"minion-fail", faultEveryOtherMinion(standin.MinionFault{Fail: true}), faultAllMinions(standin.MinionFault{})},
	{"minion-leaving", faultEveryOtherMinion(standin.MinionFault{Leaving: true}), faultAllMinions(standin.MinionFault{})},
	{"all-mute", faultAllMinions(standin.MinionFault{DropResponses: true}), faultAllMinions(standin.MinionFault{})},
	{"log-out", faultPlatform(standin.Fault{Unavailable: true}), faultPlatform(standin.Fault{})},
	{"log-mute", faultPlatform(standin.Fault{DropResponses: true}), faultPlatform(standin.Fault{})},
	{"log-slow", faultPlatform(standin.Fault{Slow: 300}), faultPlatform(standin.Fault{})},
	{"vm-kill", killVM, noFault},
	{"vm-stop", stopVM, noFault},
}

// killVM starts a successor to the second zone's VM, then kills that VM.
func killVM(s *Site) {
	s.replaceVM(func(name string) { s.VMs[name].Kill() })
}

// stopVM starts a successor to the second zone's VM, then stops that VM gracefully.
func stopVM(s *Site) {
	s.replaceVM(func(name string) { _ = s.VMs[name].Stop() })
}

// replaceVM starts another VM in the second zone, then calls shutDown with the name of
// the zone's previous VM.
func (s *Site) replaceVM(shutDown func(name string)) {
	zone := s.Zones()[1]
	for name := range s.VMs {
		if !strings.HasPrefix(name, zone) {
			continue
		}
		_ = s.StartVM(zone, fmt.Sprintf("%s-vm%d", zone, time.Now().UnixNano()))
		shutDown(name)
		delete(s.VMs, name)
		s.Platform.Put(platform.Instance{Name: name, Role: platform.RoleEntry, Zone: zone, State: platform.StateLeaving})
		return
	}
}

// outcomeRecorder collects the outcomes that callers received.
type outcomeRecorder struct {
	mu       sync.Mutex
	outcomes []ledger.Exchange
}

func (r *outcomeRecorder) record(in api.Request, resp api.Response, err error) {
	if err != nil {
		resp = api.Response{Outcome: api.Retry, Reason: err.Error()}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, ledger.Exchange{Request: in, Idempotent: in.Kind == "fitting", Response: resp})
}

// concurrentCopies is the number of callers that send the same request at once.
const concurrentCopies = 3

// sendInMode sends one request in the given mode and records the outcomes.
func (r *outcomeRecorder) sendInMode(ctx context.Context, c *client.Client, mode string, in api.Request, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	o := client.Options{}
	switch mode {
	case "once":
		o.Once = true
	case "key", "copies", "settle":
		o.Key = in.ID
	}
	n := 1
	if mode == "copies" {
		n = concurrentCopies
	}
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() {
			resp, err := c.Send(ctx, in, o)
			r.record(in, resp, err)
		})
	}
	if mode == "settle" {
		wg.Go(func() {
			resp, err := c.Settle(ctx, in, o)
			r.record(in, resp, err)
		})
	}
	wg.Wait()
}

// TestOutcomeMatrix guards against outcomes that contradict the minions' ledger. It sends
// requests in every mode during every fault on a request's path.
func TestOutcomeMatrix(t *testing.T) { synctest.Test(t, testOutcomeMatrix) }

func testOutcomeMatrix(t *testing.T) {
	s, _, ctx := startSite(t)
	var table strings.Builder
	for _, f := range requestFaults {
		for _, mode := range sendModes {
			exchanges := sendDuringFault(ctx, s, f, mode)
			r := ledger.Compare(exchanges, s.Runs(), nil, 0, time.Now())
			fmt.Fprintf(&table, "%-15s %-7s %v %s\n", f.name, mode, r.Outcomes, strings.Join(r.Faults, "; "))
			assert.Check(t, len(r.Faults) == 0, "%s/%s: %s", f.name, mode, strings.Join(r.Faults, "\n"))
			if f.name == "none" && mode != "settle" {
				assert.Check(t, r.Outcomes[api.Done] == len(exchanges), "%s/%s: %v", f.name, mode, r.Outcomes)
			}
		}
	}
	t.Log("\n" + table.String())
}

// sendDuringFault sends requests in one mode, injects the fault after the first few, and
// returns the outcomes.
func sendDuringFault(ctx context.Context, s *Site, f requestFault, mode string) []ledger.Exchange {
	outcomes := &outcomeRecorder{}
	timeout := 2 * time.Second
	if f.name == "none" {
		// Without a fault every request must be done, even on a busy machine.
		timeout = testTimeout / 2
	}
	c := s.Client()
	var wg sync.WaitGroup
	for i := range 24 {
		kind := "reminder"
		if i%3 == 0 {
			kind = "fitting"
		}
		id := fmt.Sprintf("%s-%s-%d", f.name, mode, i)
		in := api.Request{ID: id, Customer: "parishes", Kind: kind, Body: []byte(id)}
		wg.Go(func() { outcomes.sendInMode(ctx, c, mode, in, timeout) })
		if i == 8 {
			wg.Go(func() { f.inject(s) })
		}
	}
	wg.Wait()
	f.remove(s)
	return outcomes.outcomes
}
