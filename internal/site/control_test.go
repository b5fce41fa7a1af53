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

func (sc *scenario) addViolation(format string, args ...any) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.violations = append(sc.violations, fmt.Sprintf(format, args...))
}

func newScenario(t *testing.T, step, fault string, warmup time.Duration) *scenario {
	sc := &scenario{t: t, warmup: warmup, seen: map[int64]map[string]bool{}, lastNumber: map[string]int64{}, published: map[string]int64{}, rejected: map[string]bool{}}
	sc.faults = &injector{step: step, fault: fault, cutUntil: map[string]time.Time{}, vmByAddress: map[string]string{}, killVM: sc.killVM}
	deadlines := Deadlines()
	deadlines.Term = config.Duration(leaseTerm)
	deadlines.Hold = config.Duration(2 * time.Second)
	deadlines.Lost = config.Duration(time.Second)
	deadlines.Checkpoint = config.Duration(500 * time.Millisecond)
	deadlines.Restate = config.Duration(500 * time.Millisecond)
	s, err := Start(Config{
		Files: config.Files{Base: smallBase, Overlays: map[string]string{"zone-a": "", "zone-b": ""}}, VMs: 2, Minions: 2, RequestTime: time.Millisecond,
		Logger: slog.New(slog.DiscardHandler), Deadlines: deadlines, Keep: logRetention, Wrap: sc.faults.wrap, Network: newMemoryNetwork(),
	})
	assert.NilError(t, err)
	sc.s = s
	for name, vm := range s.VMs {
		sc.faults.addVM(name, vm.Address())
	}
	return sc
}

// vms returns the running VMs.
func (sc *scenario) vms() map[string]*daemon.Daemon {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return maps.Clone(sc.s.VMs)
}

func (sc *scenario) addresses() []string {
	var out []string
	vms := sc.vms()
	for _, name := range slices.Sorted(maps.Keys(vms)) {
		out = append(out, vms[name].Address())
	}
	return out
}

func (sc *scenario) client() *client.Client { return sc.s.ClientOf(sc.addresses()...) }

// replaceVM starts another VM of the zone, then calls shutDown with the named one. It
// does nothing if that one has already been replaced.
func (sc *scenario) replaceVM(name string, shutDown func(vm *daemon.Daemon)) {
	sc.mu.Lock()
	vm := sc.s.VMs[name]
	if vm == nil {
		sc.mu.Unlock()
		return
	}
	delete(sc.s.VMs, name)
	sc.replacements++
	zone, replacement := name[:len("zone-a")], fmt.Sprintf("%s-next%d", name[:len("zone-a")], sc.replacements)
	err := sc.s.StartVM(zone, replacement)
	if err == nil {
		sc.faults.addVM(replacement, sc.s.VMs[replacement].Address())
	}
	sc.mu.Unlock()
	if err != nil {
		sc.addViolation("start: %s", err)
	}
	shutDown(vm)
	sc.s.Platform.Put(platform.Instance{Name: name, Role: platform.RoleEntry, Zone: zone, State: platform.StateLeaving})
}

func (sc *scenario) killVM(name string) { sc.replaceVM(name, func(vm *daemon.Daemon) { vm.Kill() }) }

// watchConfig records the configurations in force on all VMs until ctx ends. On each VM
// the number must never decrease, and a number must mean the same version everywhere.
func (sc *scenario) watchConfig(ctx context.Context) {
	c := sc.client()
	for ctx.Err() == nil {
		for name, vm := range sc.vms() {
			v, err := c.ConfigAt(ctx, vm.Address())
			if err == nil && v.Number > 0 {
				sc.noteConfig(name, v)
			}
		}
		time.Sleep(pollInterval)
	}
}

func (sc *scenario) noteConfig(name string, v api.ConfigView) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if v.Number < sc.lastNumber[name] {
		sc.violations = append(sc.violations, fmt.Sprintf("configuration number on %s decreased from %d to %d", name, sc.lastNumber[name], v.Number))
	}
	sc.lastNumber[name] = v.Number
	if sc.seen[v.Number] == nil {
		sc.seen[v.Number] = map[string]bool{}
	}
	sc.seen[v.Number][v.Author] = true
}

// publishConcurrently has several operators publish changes of the same parent at the
// same time.
func (sc *scenario) publishConcurrently(ctx context.Context, turn int) {
	for round := range publishRounds {
		c := sc.client()
		parent, err := c.Config(ctx)
		if err != nil {
			continue
		}
		var wg sync.WaitGroup
		for operator, address := range sc.addresses()[:operatorsPerRound] {
			author := fmt.Sprintf("turn%d-round%d-operator%d", turn, round, operator)
			wg.Go(func() { sc.publish(ctx, address, parent, author) })
		}
		wg.Wait()
	}
}

func (sc *scenario) publish(ctx context.Context, address string, parent api.ConfigView, author string) {
	base := parent.Base + "# " + author + "\n"
	out, err := sc.s.ClientOf(address).Publish(ctx, api.Publish{
		Parent: parent.Version, Author: author, Base: base, Overlays: parent.Overlays,
	})
	sc.mu.Lock()
	defer sc.mu.Unlock()
	switch {
	case err == nil:
		sc.published[author] = out.Number
	case errors.Is(err, client.ErrRefused), errors.Is(err, client.ErrUnreachable):
		sc.rejected[author] = true
	}
}

// sendRequests sends requests in each mode.
func (sc *scenario) sendRequests(ctx context.Context, turn int) {
	c := sc.client()
	var wg sync.WaitGroup
	for _, mode := range sendModes {
		for i := range 6 {
			kind := []string{"reminder", "fitting"}[i%2]
			id := fmt.Sprintf("%s-%d-%d", mode, turn, i)
			in := api.Request{ID: id, Customer: "a", Kind: kind, Body: []byte(id)}
			if mode != "once" && mode != "ticket" {
				sc.keyedRequests = append(sc.keyedRequests, in)
			}
			wg.Go(func() { sc.outcomes.sendInMode(ctx, c, mode, in, callerTimeout) })
		}
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
}

// resendKeyedRequests sends the keyed requests again, through VMs that may not have
// seen them before.
func (sc *scenario) resendKeyedRequests(ctx context.Context) {
	c := sc.client()
	for _, in := range sc.keyedRequests {
		sc.outcomes.sendInMode(ctx, c, "key", in, callerTimeout)
	}
}

// submitJobs fills each zone with a spare gang, then submits a guaranteed one that has to
// reclaim its accelerators. In later turns the spare gang runs longer, which leaves more
// time for the reclaim.
func (sc *scenario) submitJobs(ctx context.Context, turn int) {
	var wg sync.WaitGroup
	for _, zone := range sc.s.Zones() {
		wg.Go(func() {
			spare, urgent := fmt.Sprint(zone, "-spare", turn), fmt.Sprint(zone, "-urgent", turn)
			seconds := 1.5 * float64(turn+1)
			sc.submit(ctx, api.Job{ID: spare, Customer: "b", Zone: zone, Accelerators: 32, Cells: 1, Tasks: 32, Worth: 1, Seconds: seconds, Class: "spare"})
			sc.awaitStart(ctx, spare)
			sc.submit(ctx, api.Job{ID: urgent, Customer: "a", Zone: zone, Accelerators: 16, Cells: 1, Tasks: 16, Worth: 1, Seconds: 1, Class: "guaranteed"})
		})
	}
	wg.Wait()
}

// submit submits a job until the answer says that it is in the log, copied to another VM,
// or finished. Until then the job may be lost with the VM that accepted it, which the
// answer states.
func (sc *scenario) submit(ctx context.Context, j api.Job) {
	c := sc.client()
	status, err := c.Submit(ctx, j)
	accepted := err == nil
	for accepted && !status.Durable && status.Copies == 0 && status.State != api.Finished && ctx.Err() == nil {
		time.Sleep(pollInterval)
		c.Readdress(sc.addresses())
		if again, err := c.Submit(ctx, j); err == nil {
			status = again
		}
	}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	switch {
	case accepted:
		sc.acceptedJobs = append(sc.acceptedJobs, j.ID)
	case !errors.Is(err, client.ErrUnsettled):
		sc.rejectedJobs = append(sc.rejectedJobs, j.ID)
	}
}

// awaitStart waits until a member of the job has started.
func (sc *scenario) awaitStart(ctx context.Context, job string) {
	for ctx.Err() == nil {
		if len(sc.spansOf(job)) > 0 {
			return
		}
		time.Sleep(pollInterval)
	}
}

func (sc *scenario) spansOf(job string) []standin.Span {
	return slices.DeleteFunc(sc.s.Spans(), func(s standin.Span) bool { return s.Job != job })
}

// ranToEnd reports whether all members of one generation of the job finished.
func (sc *scenario) ranToEnd(job string) bool {
	ends := map[uint64]int{}
	for _, s := range sc.spansOf(job) {
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
func (sc *scenario) awaitSettled(ctx context.Context) {
	c := sc.client()
	unsettled := ""
	for ctx.Err() == nil {
		unsettled = sc.unsettled(ctx, c)
		if unsettled == "" {
			return
		}
		time.Sleep(pollInterval)
	}
	sc.addViolation("not settled in time: %s", unsettled)
}

// unsettled describes one thing that awaitSettled still waits for, if any.
func (sc *scenario) unsettled(ctx context.Context, c *client.Client) string {
	versions := map[string]bool{}
	for _, vm := range sc.vms() {
		v, err := c.ConfigAt(ctx, vm.Address())
		if err != nil {
			return err.Error()
		}
		versions[v.Version] = true
	}
	if len(versions) != 1 {
		return fmt.Sprintf("%d versions in force", len(versions))
	}
	for _, id := range sc.acceptedJobs {
		if !sc.ranToEnd(id) {
			return "job " + id
		}
	}
	return ""
}

// check compares the answers to callers and operators with what happened, and returns
// the violations.
func (sc *scenario) check() []string {
	bound := leaseTerm + time.Duration(Deadlines().Drift)
	r := ledger.Compare(sc.outcomes.outcomes, sc.s.Runs(), sc.s.Spans(), bound, time.Now())
	sc.mu.Lock()
	defer sc.mu.Unlock()
	violations := append(slices.Clone(sc.violations), r.Faults...)
	if r.LongestOverlap > 0 {
		violations = append(violations, fmt.Sprintf("two generations of a job ran at the same time for %s", r.LongestOverlap))
	}
	for _, id := range sc.rejectedJobs {
		if len(sc.spansOf(id)) > 0 {
			violations = append(violations, "job "+id+" was rejected and ran")
		}
	}
	for number, authors := range sc.seen {
		if len(authors) > 1 {
			violations = append(violations, fmt.Sprintf("number %d stands for %d versions", number, len(authors)))
		}
		for author := range authors {
			if sc.rejected[author] {
				violations = append(violations, author+" was rejected and is in force")
			}
		}
	}
	numbers := map[int64]string{}
	for author, number := range sc.published {
		if other, ok := numbers[number]; ok {
			violations = append(violations, author+" and "+other+" were both accepted")
		}
		numbers[number] = author
		if seen := sc.seen[number]; len(seen) > 0 && !seen[author] {
			violations = append(violations, author+" was accepted and is not in force")
		}
	}
	return violations
}

// placerVM returns the VM that reports to be the zone's placer, or else the first VM.
func (sc *scenario) placerVM(ctx context.Context, zone string) string {
	list, err := sc.client().VMs(ctx)
	if err != nil {
		sc.t.Logf("can't list the VMs to find the placer: %s", err)
	}
	for _, vm := range list.VMs {
		if vm.Zone == zone && vm.Placer {
			return vm.Name
		}
	}
	return slices.Sorted(maps.Keys(sc.vms()))[0]
}

// restartPlacer starts another VM in the first zone and stops the zone's placer
// gracefully. If the fault's step occurs only while the log is unavailable, the log is
// unavailable meanwhile.
func (sc *scenario) restartPlacer(ctx context.Context) {
	if sc.faults.step == "version" || sc.faults.step == "replicate" {
		sc.s.Platform.SetFault(standin.Fault{Unavailable: true})
	}
	sc.replaceVM(sc.placerVM(ctx, sc.s.Zones()[0]), func(vm *daemon.Daemon) { _ = vm.Stop() })
	sc.s.Platform.SetFault(standin.Fault{})
}

// run runs the scenario. It takes more than one turn only if the fault's step was not
// reached in the earlier ones.
func (sc *scenario) run(ctx context.Context) {
	c := sc.client()
	_, err := sc.s.Publish(ctx, c)
	assert.NilError(sc.t, err)
	watchCtx, stop := context.WithCancel(ctx)
	var watcher, wg sync.WaitGroup
	watcher.Go(func() { sc.watchConfig(watchCtx) })
	time.Sleep(sc.warmup)
	sc.faults.arm()
	for turn := 0; turn < maxTurns && sc.faults.hits() == 0; turn++ {
		wg.Go(func() { sc.sendRequests(ctx, turn) })
		wg.Go(func() { sc.publishConcurrently(ctx, turn) })
		wg.Go(func() { sc.submitJobs(ctx, turn) })
		time.Sleep(300 * time.Millisecond)
		sc.restartPlacer(ctx)
		wg.Wait()
		sc.awaitSettled(ctx)
	}
	sc.resendKeyedRequests(ctx)
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
func runScenario(t *testing.T, name string, sc *scenario, note func(format string, args ...any)) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	started := time.Now()
	sc.run(ctx)
	hits, elapsed := sc.faults.hits(), time.Since(started)
	violations := sc.check()
	closeAndDrain(sc.s)
	note("%-32s hits %d won %d jobs %d in %s %s", name, hits, len(sc.published), len(sc.acceptedJobs), elapsed.Round(time.Millisecond), strings.Join(violations, "; "))
	assert.Equal(t, len(violations), 0, strings.Join(violations, "\n"))
	assert.Assert(t, hits > 0, "the fault's step was never reached")
}
