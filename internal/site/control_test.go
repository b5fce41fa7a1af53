package site

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbshore/internal/config"
	"rhubarbshore/internal/daemon"
	"rhubarbshore/internal/ledger"
	"rhubarbshore/internal/platform"
	"rhubarbshore/internal/standin"
	"rhubarbshore/pkg/api"
	"rhubarbshore/pkg/client"
)

// smallBase is a site of two zones with one rack of four workers each.
const smallBase = `
differs = ["site.workers"]
[site]
region = "one"
workers = 4
rack = 4
accelerators = 8
spare = 0
[site.levels]
worker = 8
rack = 32
[weights]
lost = 1.0
broken = 1.0
whole = "0s"
[customers.a]
share = 1.0
order = 1
jobs = 50
[customers.a.guarantees.lots]
accelerators = 16
count = 1
[customers.b]
share = 1.0
order = 2
jobs = 50
[services.booking]
slots = 8
connections = 60
queue = 500
[kinds.fitting]
service = "booking"
window = "20s"
timeout = "2s"
worth = 5.0
idempotent = true
size = 4096
[kinds.reminder]
service = "booking"
window = "20s"
timeout = "2s"
worth = 1.0
idempotent = false
size = 4096
`

const (
	// keepRecords is so few that the configuration has to be restated in time.
	keepRecords = 30
	rounds      = 3
	operators   = 3
	samplePause = 20 * time.Millisecond
	callerTime  = 3 * time.Second
	maxTurns    = 5
	dayTerm     = 3 * time.Second
)

// day is one cell of the control matrix: callers, operators and jobs at once on a
// small site, a VM that is replaced meanwhile, and a fault at one step.
type day struct {
	t    *testing.T
	s    *Site
	i    *injector
	told teller
	// settling is the time before the fault may come.
	settling time.Duration

	mu    sync.Mutex
	next  int
	seen  map[int64]map[string]bool
	last  map[string]int64
	bad   []string
	won   map[string]int64
	lost  map[string]bool
	sent  []api.Request
	owed  []string
	never []string
}

func (d *day) fault(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.bad = append(d.bad, fmt.Sprintf(format, args...))
}

func newDay(t *testing.T, step, fault string, settling time.Duration) *day {
	d := &day{t: t, settling: settling, seen: map[int64]map[string]bool{}, last: map[string]int64{}, won: map[string]int64{}, lost: map[string]bool{}}
	d.i = &injector{step: step, fault: fault, cuts: map[string]time.Time{}, hosts: map[string]string{}, kill: d.kill}
	deadlines := Deadlines()
	deadlines.Term = config.Duration(dayTerm)
	deadlines.Hold = config.Duration(2 * time.Second)
	deadlines.Lost = config.Duration(time.Second)
	deadlines.Checkpoint = config.Duration(500 * time.Millisecond)
	deadlines.Restate = config.Duration(500 * time.Millisecond)
	s, err := Start(Config{
		Files: config.Files{Base: smallBase, Overlays: map[string]string{"zone-a": "", "zone-b": ""}}, VMs: 2, Minions: 2, Work: time.Millisecond,
		Logger: slog.New(slog.DiscardHandler), Deadlines: deadlines, Keep: keepRecords, Wrap: d.i.wrap, Network: newMemory(),
	})
	assert.NilError(t, err)
	d.s = s
	for name, vm := range s.VMs {
		d.i.know(name, vm.Address())
	}
	return d
}

// vms lists the living VMs.
func (d *day) vms() map[string]*daemon.Daemon {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.s.VMs)
}

func (d *day) addresses() []string {
	var out []string
	vms := d.vms()
	for _, name := range slices.Sorted(maps.Keys(vms)) {
		out = append(out, vms[name].Address())
	}
	return out
}

func (d *day) client() *client.Client { return d.s.ClientOf(d.addresses()...) }

// replace starts another VM of the zone and gives the named one to end, unless
// it has gone already.
func (d *day) replace(name string, end func(vm *daemon.Daemon)) {
	d.mu.Lock()
	vm := d.s.VMs[name]
	if vm == nil {
		d.mu.Unlock()
		return
	}
	delete(d.s.VMs, name)
	d.next++
	zone, fresh := name[:len("zone-a")], fmt.Sprintf("%s-next%d", name[:len("zone-a")], d.next)
	err := d.s.StartVM(zone, fresh)
	if err == nil {
		d.i.know(fresh, d.s.VMs[fresh].Address())
	}
	d.mu.Unlock()
	if err != nil {
		d.fault("start: %s", err)
	}
	end(vm)
	d.s.Platform.Put(platform.Instance{Name: name, Role: platform.RoleEntry, Zone: zone, State: platform.StateLeaving})
}

func (d *day) kill(name string) { d.replace(name, func(vm *daemon.Daemon) { vm.Kill() }) }

// sample watches the configuration on all VMs until ctx ends: no VM's number goes
// back, and a number is the same version everywhere.
func (d *day) sample(ctx context.Context) {
	c := d.client()
	for ctx.Err() == nil {
		for name, vm := range d.vms() {
			v, err := c.ConfigAt(ctx, vm.Address())
			if err == nil && v.Number > 0 {
				d.note(name, v)
			}
		}
		time.Sleep(samplePause)
	}
}

func (d *day) note(name string, v api.ConfigView) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if v.Number < d.last[name] {
		d.bad = append(d.bad, fmt.Sprintf("%s went back from %d to %d", name, d.last[name], v.Number))
	}
	d.last[name] = v.Number
	if d.seen[v.Number] == nil {
		d.seen[v.Number] = map[string]bool{}
	}
	d.seen[v.Number][v.Author] = true
}

// operate has operators race each other with changes of one parent.
func (d *day) operate(ctx context.Context, turn int) {
	for round := range rounds {
		c := d.client()
		parent, err := c.Config(ctx)
		if err != nil {
			continue
		}
		var wg sync.WaitGroup
		for n, address := range d.addresses()[:operators] {
			author := fmt.Sprintf("turn%d-round%d-operator%d", turn, round, n)
			wg.Go(func() { d.publish(ctx, address, parent, author) })
		}
		wg.Wait()
	}
}

func (d *day) publish(ctx context.Context, address string, parent api.ConfigView, author string) {
	base := parent.Base + "# " + author + "\n"
	out, err := d.s.ClientOf(address).Publish(ctx, api.Publish{
		Parent: parent.Version, Author: author, Base: base, Overlays: parent.Overlays,
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case err == nil:
		d.won[author] = out.Number
	case errors.Is(err, client.ErrRefused), errors.Is(err, client.ErrUnreachable):
		d.lost[author] = true
	}
}

// ask sends requests of every load.
func (d *day) ask(ctx context.Context, turn int) {
	c := d.client()
	var wg sync.WaitGroup
	for _, load := range loads {
		for i := range 6 {
			kind := []string{"reminder", "fitting"}[i%2]
			id := fmt.Sprintf("%s-%d-%d", load, turn, i)
			in := api.Request{ID: id, Customer: "a", Kind: kind, Body: []byte(id)}
			if load != "once" && load != "ticket" {
				d.sent = append(d.sent, in)
			}
			wg.Go(func() { d.told.sendLoad(ctx, c, load, in, callerTime) })
		}
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
}

// askAgain repeats the requests with a caller's key, through VMs that may never
// have seen them.
func (d *day) askAgain(ctx context.Context) {
	c := d.client()
	for _, in := range d.sent {
		d.told.sendLoad(ctx, c, "key", in, callerTime)
	}
}

// work fills each zone with a spare gang, then asks for a guaranteed one. Later
// turns leave more time for the reclaim.
func (d *day) work(ctx context.Context, turn int) {
	var wg sync.WaitGroup
	for _, zone := range d.s.Zones() {
		wg.Go(func() {
			spare, urgent := fmt.Sprint(zone, "-spare", turn), fmt.Sprint(zone, "-urgent", turn)
			seconds := 1.5 * float64(turn+1)
			d.submit(ctx, api.Job{ID: spare, Customer: "b", Zone: zone, Accelerators: 32, Cells: 1, Tasks: 32, Worth: 1, Seconds: seconds, Class: "spare"})
			d.awaitRun(ctx, spare)
			d.submit(ctx, api.Job{ID: urgent, Customer: "a", Zone: zone, Accelerators: 16, Cells: 1, Tasks: 16, Worth: 1, Seconds: 1, Class: "guaranteed"})
		})
	}
	wg.Wait()
}

// submit hands a job in, again and again until the answer says that it is in the
// log, known to another VM, or over: until then it may be lost with the VM that
// knows it, as the answer says.
func (d *day) submit(ctx context.Context, j api.Job) {
	c := d.client()
	status, err := c.Submit(ctx, j)
	taken := err == nil
	for taken && !status.Durable && status.Copies == 0 && status.State != api.Finished && ctx.Err() == nil {
		time.Sleep(samplePause)
		c.Readdress(d.addresses())
		if again, err := c.Submit(ctx, j); err == nil {
			status = again
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case taken:
		d.owed = append(d.owed, j.ID)
	case !errors.Is(err, client.ErrUnsettled):
		d.never = append(d.never, j.ID)
	}
}

// awaitRun waits until a member of the job has run.
func (d *day) awaitRun(ctx context.Context, job string) {
	for ctx.Err() == nil {
		if len(d.spansOf(job)) > 0 {
			return
		}
		time.Sleep(samplePause)
	}
}

func (d *day) spansOf(job string) []standin.Span {
	return slices.DeleteFunc(d.s.Spans(), func(s standin.Span) bool { return s.Job != job })
}

// whole reports whether a generation of the job ran to its end on all members.
func (d *day) whole(job string) bool {
	ends := map[uint64]int{}
	for _, s := range d.spansOf(job) {
		if s.Reason == "finished" {
			ends[s.Generation]++
			if ends[s.Generation] == s.Members {
				return true
			}
		}
	}
	return false
}

// settled waits until all VMs have one configuration and all accepted jobs have
// run. It reports what is missing when ctx ends.
func (d *day) settled(ctx context.Context) {
	c := d.client()
	missing := ""
	for ctx.Err() == nil {
		missing = d.missing(ctx, c)
		if missing == "" {
			return
		}
		time.Sleep(samplePause)
	}
	d.fault("never settled: %s", missing)
}

func (d *day) missing(ctx context.Context, c *client.Client) string {
	versions := map[string]bool{}
	for _, vm := range d.vms() {
		v, err := c.ConfigAt(ctx, vm.Address())
		if err != nil {
			return err.Error()
		}
		versions[v.Version] = true
	}
	if len(versions) != 1 {
		return fmt.Sprintf("%d versions in force", len(versions))
	}
	for _, id := range d.owed {
		if !d.whole(id) {
			return "job " + id
		}
	}
	return ""
}

// judge compares what everyone was told with what happened.
func (d *day) judge() []string {
	bound := dayTerm + time.Duration(Deadlines().Drift)
	r := ledger.Compare(d.told.told, d.s.Runs(), d.s.Spans(), bound, time.Now())
	d.mu.Lock()
	defer d.mu.Unlock()
	bad := append(slices.Clone(d.bad), r.Faults...)
	if r.Overlap > 0 {
		bad = append(bad, fmt.Sprintf("two generations of a job ran together for %s", r.Overlap))
	}
	for _, id := range d.never {
		if len(d.spansOf(id)) > 0 {
			bad = append(bad, "job "+id+" was refused and ran")
		}
	}
	for number, authors := range d.seen {
		if len(authors) > 1 {
			bad = append(bad, fmt.Sprintf("number %d is %d versions", number, len(authors)))
		}
		for author := range authors {
			if d.lost[author] {
				bad = append(bad, author+" was refused and is in force")
			}
		}
	}
	numbers := map[int64]string{}
	for author, number := range d.won {
		if other, ok := numbers[number]; ok {
			bad = append(bad, author+" and "+other+" both won")
		}
		numbers[number] = author
		if seen := d.seen[number]; len(seen) > 0 && !seen[author] {
			bad = append(bad, author+" won and is not in force")
		}
	}
	return bad
}

// placer is the VM of the zone that says it is the placer, or else the zone's first.
func (d *day) placer(ctx context.Context, zone string) string {
	list, err := d.client().VMs(ctx)
	if err != nil {
		d.t.Logf("the placer is not known: %s", err)
	}
	for _, vm := range list.VMs {
		if vm.Zone == zone && vm.Placer {
			return vm.Name
		}
	}
	return slices.Sorted(maps.Keys(d.vms()))[0]
}

// restart stops the placer of the first zone gracefully and starts another VM, which
// finds the log out if the step is one that is taken only then.
func (d *day) restart(ctx context.Context) {
	if d.i.step == "version" || d.i.step == "replicate" {
		d.s.Platform.SetFault(standin.Fault{Out: true})
	}
	d.replace(d.placer(ctx, d.s.Zones()[0]), func(vm *daemon.Daemon) { _ = vm.Stop() })
	d.s.Platform.SetFault(standin.Fault{})
}

// run plays the cell: more than one turn only if the step was not reached.
func (d *day) run(ctx context.Context) {
	c := d.client()
	_, err := d.s.Publish(ctx, c)
	assert.NilError(d.t, err)
	watch, stop := context.WithCancel(ctx)
	var sampled, wg sync.WaitGroup
	sampled.Go(func() { d.sample(watch) })
	time.Sleep(d.settling)
	d.i.arm()
	for turn := 0; turn < maxTurns && d.i.hits() == 0; turn++ {
		wg.Go(func() { d.ask(ctx, turn) })
		wg.Go(func() { d.operate(ctx, turn) })
		wg.Go(func() { d.work(ctx, turn) })
		time.Sleep(300 * time.Millisecond)
		d.restart(ctx)
		wg.Wait()
		d.settled(ctx)
	}
	d.askAgain(ctx)
	stop()
	sampled.Wait()
}

// impossible lists cells that can't happen: TCP delivers no request to a backend
// server twice, and nothing but a second attempt could.
var impossible = map[string]string{"send/duplicate": "a connection carries no request twice"}

// TestControlMatrix brings every fault of a call about at every call of real
// daemons, while callers, operators and jobs are at work and a VM is replaced: once
// while the zones have no placer yet, and once with a placer in each.
func TestControlMatrix(t *testing.T) {
	var mu sync.Mutex
	var table []string
	note := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		table = append(table, fmt.Sprintf(format, args...))
	}
	for name, settling := range map[string]time.Duration{"cells": 0, "settled": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			for _, c := range calls {
				for _, fault := range callFaults {
					name := name + "/" + c.step + "/" + fault
					if why, ok := impossible[c.step+"/"+fault]; ok {
						note("%-32s not run: %s", name, why)
						continue
					}
					t.Run(c.step+"/"+fault, func(t *testing.T) {
						t.Parallel()
						synctest.Test(t, func(t *testing.T) { playDay(t, name, newDay(t, c.step, fault, settling), note) })
					})
				}
			}
		})
	}
	slices.Sort(table)
	t.Log("\n" + strings.Join(table, "\n"))
}

// playDay plays one cell and checks all that was told.
func playDay(t *testing.T, name string, d *day, note func(format string, args ...any)) {
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	begun := time.Now()
	d.run(ctx)
	hits, took := d.i.hits(), time.Since(begun)
	bad := d.judge()
	end(d.s)
	note("%-32s hits %d won %d jobs %d in %s %s", name, hits, len(d.won), len(d.owed), took.Round(time.Millisecond), strings.Join(bad, "; "))
	assert.Equal(t, len(bad), 0, strings.Join(bad, "\n"))
	assert.Assert(t, hits > 0, "the step was never reached")
}
