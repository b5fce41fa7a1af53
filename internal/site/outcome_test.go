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

// The loads of a cell: how a request is identified, and who else asks.
var loads = []string{"ticket", "key", "once", "copies", "settle"}

// outage is a fault of the request pipe: begin brings it about, end ends it.
type outage struct {
	name  string
	begin func(s *Site)
	end   func(s *Site)
}

func everyMinion(f standin.MinionFault) func(s *Site) {
	return func(s *Site) {
		for _, m := range s.Minions {
			m.SetFault(f)
		}
	}
}

func someMinions(f standin.MinionFault) func(s *Site) {
	return func(s *Site) {
		n := 0
		for _, m := range s.Minions {
			if n++; n%2 == 0 {
				m.SetFault(f)
			}
		}
	}
}

func logFault(f standin.Fault) func(s *Site) {
	return func(s *Site) { s.Platform.SetFault(f) }
}

func nothing(*Site) {}

var outages = []outage{
	{"none", nothing, nothing},
	{"minion-mute", someMinions(standin.MinionFault{Mute: true}), everyMinion(standin.MinionFault{})},
	{"minion-cut", someMinions(standin.MinionFault{Cut: true}), everyMinion(standin.MinionFault{})},
	{"minion-cross", someMinions(standin.MinionFault{Cross: true}), everyMinion(standin.MinionFault{})},
	{"minion-fail", someMinions(standin.MinionFault{Fail: true}), everyMinion(standin.MinionFault{})},
	{"minion-leaving", someMinions(standin.MinionFault{Leaving: true}), everyMinion(standin.MinionFault{})},
	{"all-mute", everyMinion(standin.MinionFault{Mute: true}), everyMinion(standin.MinionFault{})},
	{"log-out", logFault(standin.Fault{Out: true}), logFault(standin.Fault{})},
	{"log-mute", logFault(standin.Fault{Mute: true}), logFault(standin.Fault{})},
	{"log-slow", logFault(standin.Fault{Slow: 300}), logFault(standin.Fault{})},
	{"vm-kill", killVM, nothing},
	{"vm-stop", stopVM, nothing},
}

// killVM kills the VM of the second zone; a successor starts.
func killVM(s *Site) {
	s.replace(func(name string) { s.VMs[name].Kill() })
}

// stopVM stops the VM of the second zone gracefully; a successor starts first.
func stopVM(s *Site) {
	s.replace(func(name string) { _ = s.VMs[name].Stop() })
}

func (s *Site) replace(end func(name string)) {
	zone := s.Zones()[1]
	for name := range s.VMs {
		if !strings.HasPrefix(name, zone) {
			continue
		}
		_ = s.StartVM(zone, fmt.Sprintf("%s-vm%d", zone, time.Now().UnixNano()))
		end(name)
		delete(s.VMs, name)
		s.Platform.Put(platform.Instance{Name: name, Role: platform.RoleEntry, Zone: zone, State: platform.StateLeaving})
		return
	}
}

// teller collects what callers were told.
type teller struct {
	mu   sync.Mutex
	told []ledger.Told
}

func (t *teller) tell(in api.Request, resp api.Response, err error) {
	if err != nil {
		resp = api.Response{Outcome: api.Retry, Reason: err.Error()}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.told = append(t.told, ledger.Told{Request: in, Idempotent: in.Kind == "fitting", Response: resp})
}

// copies is how many callers ask for the same request at once.
const copies = 3

// sendLoad sends one request of the load.
func (t *teller) sendLoad(ctx context.Context, c *client.Client, load string, in api.Request, patience time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	o := client.Options{}
	switch load {
	case "once":
		o.Once = true
	case "key", "copies", "settle":
		o.Key = in.ID
	}
	n := 1
	if load == "copies" {
		n = copies
	}
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() {
			resp, err := c.Send(ctx, in, o)
			t.tell(in, resp, err)
		})
	}
	if load == "settle" {
		wg.Go(func() {
			resp, err := c.Settle(ctx, in, o)
			t.tell(in, resp, err)
		})
	}
	wg.Wait()
}

// TestOutcomeMatrix sends every load through every fault of the request pipe
// and compares all that callers were told with the minions' ledger.
func TestOutcomeMatrix(t *testing.T) { synctest.Test(t, testOutcomeMatrix) }

func testOutcomeMatrix(t *testing.T) {
	s, _, ctx := start(t)
	var table strings.Builder
	for _, f := range outages {
		for _, load := range loads {
			told := sendThrough(ctx, s, f, load)
			r := ledger.Compare(told, s.Runs(), nil, 0, time.Now())
			fmt.Fprintf(&table, "%-15s %-7s %v %s\n", f.name, load, r.Outcomes, strings.Join(r.Faults, "; "))
			assert.Check(t, len(r.Faults) == 0, "%s/%s: %s", f.name, load, strings.Join(r.Faults, "\n"))
			if f.name == "none" && load != "settle" {
				assert.Check(t, r.Outcomes[api.Done] == len(told), "%s/%s: %v", f.name, load, r.Outcomes)
			}
		}
	}
	t.Log("\n" + table.String())
}

// sendThrough sends requests of the load while the fault comes and goes, and returns
// what their callers were told.
func sendThrough(ctx context.Context, s *Site, f outage, load string) []ledger.Told {
	told := &teller{}
	patience := 2 * time.Second
	if f.name == "none" {
		// Every request has to be done, however busy the machine is.
		patience = limit / 2
	}
	c := s.Client()
	var wg sync.WaitGroup
	for i := range 24 {
		kind := "reminder"
		if i%3 == 0 {
			kind = "fitting"
		}
		id := fmt.Sprintf("%s-%s-%d", f.name, load, i)
		in := api.Request{ID: id, Customer: "parishes", Kind: kind, Body: []byte(id)}
		wg.Go(func() { told.sendLoad(ctx, c, load, in, patience) })
		if i == 8 {
			wg.Go(func() { f.begin(s) })
		}
	}
	wg.Wait()
	f.end(s)
	return told.told
}
