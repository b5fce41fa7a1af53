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
	// logRetention is small enough that the configuration falls out of the log unless it
	// is written again as a snapshot in time.
	logRetention      = 30
	publishRounds     = 3
	operatorsPerRound = 3
	pollInterval      = 20 * time.Millisecond
	callerTimeout     = 3 * time.Second
	maxTurns          = 5
	leaseTerm         = 3 * time.Second
)

// scenario is one case of the control matrix. On a small site it runs callers,
// operators and jobs at once, replaces a VM meanwhile, and injects a fault at one step.
type scenario struct {
	t        *testing.T
	s        *Site
	faults   *injector
	outcomes outcomeRecorder
	// warmup is the time before the fault is armed.
	warmup time.Duration

	mu            sync.Mutex
	replacements  int
	seen          map[int64]map[string]bool // authors of the versions seen in force, by number
	lastNumber    map[string]int64          // newest configuration number of each VM
	violations    []string
	published     map[string]int64 // configuration numbers by author
	rejected      map[string]bool  // authors whose change was not accepted
	keyedRequests []api.Request
	acceptedJobs  []string
	rejectedJobs  []string
}

func (d *scenario) addViolation(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.violations = append(d.violations, fmt.Sprintf(format, args...))
}

func newScenario(t *testing.T, step, fault string, warmup time.Duration) *scenario {
	d := &scenario{t: t, warmup: warmup, seen: map[int64]map[string]bool{}, lastNumber: map[string]int64{}, published: map[string]int64{}, rejected: map[string]bool{}}
	d.faults = &injector{step: step, fault: fault, cutUntil: map[string]time.Time{}, vmByAddress: map[string]string{}, killVM: d.killVM}
	deadlines := Deadlines()
	deadlines.Term = config.Duration(leaseTerm)
	deadlines.Hold = config.Duration(2 * time.Second)
	deadlines.Lost = config.Duration(time.Second)
	deadlines.Checkpoint = config.Duration(500 * time.Millisecond)
	deadlines.Restate = config.Duration(500 * time.Millisecond)
	s, err := Start(Config{
		Files: config.Files{Base: smallBase, Overlays: map[string]string{"zone-a": "", "zone-b": ""}}, VMs: 2, Minions: 2, RequestTime: time.Millisecond,
		Logger: slog.New(slog.DiscardHandler), Deadlines: deadlines, Keep: logRetention, Wrap: d.faults.wrap, Network: newMemoryNetwork(),
	})
	assert.NilError(t, err)
	d.s = s
	for name, vm := range s.VMs {
		d.faults.addVM(name, vm.Address())
	}
	return d
}

// vms returns the running VMs.
func (d *scenario) vms() map[string]*daemon.Daemon {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.s.VMs)
}

func (d *scenario) addresses() []string {
	var out []string
	vms := d.vms()
	for _, name := range slices.Sorted(maps.Keys(vms)) {
		out = append(out, vms[name].Address())
	}
	return out
}

func (d *scenario) client() *client.Client { return d.s.ClientOf(d.addresses()...) }

// replaceVM starts another VM of the zone, then calls shutDown with the named one. It
// does nothing if that one has already been replaced.
func (d *scenario) replaceVM(name string, shutDown func(vm *daemon.Daemon)) {
	d.mu.Lock()
	vm := d.s.VMs[name]
	if vm == nil {
		d.mu.Unlock()
		return
	}
	delete(d.s.VMs, name)
	d.replacements++
	zone, replacement := name[:len("zone-a")], fmt.Sprintf("%s-next%d", name[:len("zone-a")], d.replacements)
	err := d.s.StartVM(zone, replacement)
	if err == nil {
		d.faults.addVM(replacement, d.s.VMs[replacement].Address())
	}
	d.mu.Unlock()
	if err != nil {
		d.addViolation("start: %s", err)
	}
	shutDown(vm)
	d.s.Platform.Put(platform.Instance{Name: name, Role: platform.RoleEntry, Zone: zone, State: platform.StateLeaving})
}

func (d *scenario) killVM(name string) { d.replaceVM(name, func(vm *daemon.Daemon) { vm.Kill() }) }

// watchConfig records the configurations in force on all VMs until ctx ends. On each VM
// the number must never decrease, and a number must mean the same version everywhere.
func (d *scenario) watchConfig(ctx context.Context) {
	c := d.client()
	for ctx.Err() == nil {
		for name, vm := range d.vms() {
			v, err := c.ConfigAt(ctx, vm.Address())
			if err == nil && v.Number > 0 {
				d.noteConfig(name, v)
			}
		}
		time.Sleep(pollInterval)
	}
}

func (d *scenario) noteConfig(name string, v api.ConfigView) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if v.Number < d.lastNumber[name] {
		d.violations = append(d.violations, fmt.Sprintf("configuration number on %s decreased from %d to %d", name, d.lastNumber[name], v.Number))
	}
	d.lastNumber[name] = v.Number
	if d.seen[v.Number] == nil {
		d.seen[v.Number] = map[string]bool{}
	}
	d.seen[v.Number][v.Author] = true
}

// publishConcurrently has several operators publish changes of the same parent at the
// same time.
func (d *scenario) publishConcurrently(ctx context.Context, turn int) {
	for round := range publishRounds {
		c := d.client()
		parent, err := c.Config(ctx)
		if err != nil {
			continue
		}
		var wg sync.WaitGroup
		for operator, address := range d.addresses()[:operatorsPerRound] {
			author := fmt.Sprintf("turn%d-round%d-operator%d", turn, round, operator)
			wg.Go(func() { d.publish(ctx, address, parent, author) })
		}
		wg.Wait()
	}
}

func (d *scenario) publish(ctx context.Context, address string, parent api.ConfigView, author string) {
	base := parent.Base + "# " + author + "\n"
	out, err := d.s.ClientOf(address).Publish(ctx, api.Publish{
		Parent: parent.Version, Author: author, Base: base, Overlays: parent.Overlays,
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case err == nil:
		d.published[author] = out.Number
	case errors.Is(err, client.ErrRefused), errors.Is(err, client.ErrUnreachable):
		d.rejected[author] = true
	}
}

// sendRequests sends requests of each load.
func (d *scenario) sendRequests(ctx context.Context, turn int) {
	c := d.client()
	var wg sync.WaitGroup
	for _, load := range loads {
		for i := range 6 {
			kind := []string{"reminder", "fitting"}[i%2]
			id := fmt.Sprintf("%s-%d-%d", load, turn, i)
			in := api.Request{ID: id, Customer: "a", Kind: kind, Body: []byte(id)}
			if load != "once" && load != "ticket" {
				d.keyedRequests = append(d.keyedRequests, in)
			}
			wg.Go(func() { d.outcomes.sendLoad(ctx, c, load, in, callerTimeout) })
		}
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
}

// resendKeyedRequests sends the keyed requests again, through VMs that may not have
// seen them before.
func (d *scenario) resendKeyedRequests(ctx context.Context) {
	c := d.client()
	for _, in := range d.keyedRequests {
		d.outcomes.sendLoad(ctx, c, "key", in, callerTimeout)
	}
}

// submitJobs fills each zone with a spare gang, then submits a guaranteed one that has to
// reclaim its accelerators. In later turns the spare gang runs longer, which leaves more
// time for the reclaim.
func (d *scenario) submitJobs(ctx context.Context, turn int) {
	var wg sync.WaitGroup
	for _, zone := range d.s.Zones() {
		wg.Go(func() {
			spare, urgent := fmt.Sprint(zone, "-spare", turn), fmt.Sprint(zone, "-urgent", turn)
			seconds := 1.5 * float64(turn+1)
			d.submit(ctx, api.Job{ID: spare, Customer: "b", Zone: zone, Accelerators: 32, Cells: 1, Tasks: 32, Worth: 1, Seconds: seconds, Class: "spare"})
			d.awaitStart(ctx, spare)
			d.submit(ctx, api.Job{ID: urgent, Customer: "a", Zone: zone, Accelerators: 16, Cells: 1, Tasks: 16, Worth: 1, Seconds: 1, Class: "guaranteed"})
		})
	}
	wg.Wait()
}

// submit submits a job until the answer says that it is in the log, copied to another VM,
// or finished. Until then the job may be lost with the VM that accepted it, which the
// answer states.
func (d *scenario) submit(ctx context.Context, j api.Job) {
	c := d.client()
	status, err := c.Submit(ctx, j)
	accepted := err == nil
	for accepted && !status.Durable && status.Copies == 0 && status.State != api.Finished && ctx.Err() == nil {
		time.Sleep(pollInterval)
		c.Readdress(d.addresses())
		if again, err := c.Submit(ctx, j); err == nil {
			status = again
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case accepted:
		d.acceptedJobs = append(d.acceptedJobs, j.ID)
	case !errors.Is(err, client.ErrUnsettled):
		d.rejectedJobs = append(d.rejectedJobs, j.ID)
	}
}

// awaitStart waits until a member of the job has started.
func (d *scenario) awaitStart(ctx context.Context, job string) {
	for ctx.Err() == nil {
		if len(d.spansOf(job)) > 0 {
			return
		}
		time.Sleep(pollInterval)
	}
}

func (d *scenario) spansOf(job string) []standin.Span {
	return slices.DeleteFunc(d.s.Spans(), func(s standin.Span) bool { return s.Job != job })
}

// ranToEnd reports whether all members of one generation of the job finished.
func (d *scenario) ranToEnd(job string) bool {
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

// awaitSettled waits until all VMs have the same configuration and all accepted jobs have
// finished. If ctx ends before, it records what was still pending.
func (d *scenario) awaitSettled(ctx context.Context) {
	c := d.client()
	unsettled := ""
	for ctx.Err() == nil {
		unsettled = d.unsettled(ctx, c)
		if unsettled == "" {
			return
		}
		time.Sleep(pollInterval)
	}
	d.addViolation("not settled in time: %s", unsettled)
}

// unsettled describes one thing that awaitSettled still waits for, if any.
func (d *scenario) unsettled(ctx context.Context, c *client.Client) string {
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
	for _, id := range d.acceptedJobs {
		if !d.ranToEnd(id) {
			return "job " + id
		}
	}
	return ""
}

// check compares the answers to callers and operators with what happened, and returns
// the violations.
func (d *scenario) check() []string {
	bound := leaseTerm + time.Duration(Deadlines().Drift)
	r := ledger.Compare(d.outcomes.outcomes, d.s.Runs(), d.s.Spans(), bound, time.Now())
	d.mu.Lock()
	defer d.mu.Unlock()
	violations := append(slices.Clone(d.violations), r.Faults...)
	if r.LongestOverlap > 0 {
		violations = append(violations, fmt.Sprintf("two generations of a job ran at the same time for %s", r.LongestOverlap))
	}
	for _, id := range d.rejectedJobs {
		if len(d.spansOf(id)) > 0 {
			violations = append(violations, "job "+id+" was rejected and ran")
		}
	}
	for number, authors := range d.seen {
		if len(authors) > 1 {
			violations = append(violations, fmt.Sprintf("number %d stands for %d versions", number, len(authors)))
		}
		for author := range authors {
			if d.rejected[author] {
				violations = append(violations, author+" was rejected and is in force")
			}
		}
	}
	numbers := map[int64]string{}
	for author, number := range d.published {
		if other, ok := numbers[number]; ok {
			violations = append(violations, author+" and "+other+" were both accepted")
		}
		numbers[number] = author
		if seen := d.seen[number]; len(seen) > 0 && !seen[author] {
			violations = append(violations, author+" was accepted and is not in force")
		}
	}
	return violations
}

// placerVM returns the VM that reports to be the zone's placer, or else the first VM.
func (d *scenario) placerVM(ctx context.Context, zone string) string {
	list, err := d.client().VMs(ctx)
	if err != nil {
		d.t.Logf("can't list the VMs to find the placer: %s", err)
	}
	for _, vm := range list.VMs {
		if vm.Zone == zone && vm.Placer {
			return vm.Name
		}
	}
	return slices.Sorted(maps.Keys(d.vms()))[0]
}

// restartPlacer starts another VM in the first zone and stops the zone's placer
// gracefully. If the fault's step occurs only while the log is unavailable, the log is
// unavailable meanwhile.
func (d *scenario) restartPlacer(ctx context.Context) {
	if d.faults.step == "version" || d.faults.step == "replicate" {
		d.s.Platform.SetFault(standin.Fault{Unavailable: true})
	}
	d.replaceVM(d.placerVM(ctx, d.s.Zones()[0]), func(vm *daemon.Daemon) { _ = vm.Stop() })
	d.s.Platform.SetFault(standin.Fault{})
}

// run runs the scenario. It takes more than one turn only if the fault's step was not
// reached in the earlier ones.
func (d *scenario) run(ctx context.Context) {
	c := d.client()
	_, err := d.s.Publish(ctx, c)
	assert.NilError(d.t, err)
	watchCtx, stop := context.WithCancel(ctx)
	var watcher, wg sync.WaitGroup
	watcher.Go(func() { d.watchConfig(watchCtx) })
	time.Sleep(d.warmup)
	d.faults.arm()
	for turn := 0; turn < maxTurns && d.faults.hits() == 0; turn++ {
		wg.Go(func() { d.sendRequests(ctx, turn) })
		wg.Go(func() { d.publishConcurrently(ctx, turn) })
		wg.Go(func() { d.submitJobs(ctx, turn) })
		time.Sleep(300 * time.Millisecond)
		d.restartPlacer(ctx)
		wg.Wait()
		d.awaitSettled(ctx)
	}
	d.resendKeyedRequests(ctx)
	stop()
	watcher.Wait()
}

// impossible lists combinations of step and fault that can't occur. TCP does not deliver
// a request twice, so only a second attempt could send it to a backend server again.
var impossible = map[string]string{"send/duplicate": "TCP does not deliver a request twice"}

// TestControlMatrix guards against outcomes, job states and configurations that differ
// from what callers and operators were told. It injects every fault at every call of real
// daemons, while requests, configuration changes and jobs are under way and a VM is
// replaced: once before the zones have a placer, and once with a placer in each.
func TestControlMatrix(t *testing.T) {
	var mu sync.Mutex
	var table []string
	note := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		table = append(table, fmt.Sprintf(format, args...))
	}
	for name, warmup := range map[string]time.Duration{"cells": 0, "settled": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			for _, c := range callSteps {
				for _, fault := range callFaults {
					name := name + "/" + c.step + "/" + fault
					if reason, ok := impossible[c.step+"/"+fault]; ok {
						note("%-32s not run: %s", name, reason)
						continue
					}
					t.Run(c.step+"/"+fault, func(t *testing.T) {
						t.Parallel()
						synctest.Test(t, func(t *testing.T) { runScenario(t, name, newScenario(t, c.step, fault, warmup), note) })
					})
				}
			}
		})
	}
	slices.Sort(table)
	t.Log("\n" + strings.Join(table, "\n"))
}

// runScenario runs one scenario and checks its result.
func runScenario(t *testing.T, name string, d *scenario, note func(format string, args ...any)) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	started := time.Now()
	d.run(ctx)
	hits, elapsed := d.faults.hits(), time.Since(started)
	violations := d.check()
	closeAndDrain(d.s)
	note("%-32s hits %d won %d jobs %d in %s %s", name, hits, len(d.published), len(d.acceptedJobs), elapsed.Round(time.Millisecond), strings.Join(violations, "; "))
	assert.Equal(t, len(violations), 0, strings.Join(violations, "\n"))
	assert.Assert(t, hits > 0, "the fault's step was never reached")
}
