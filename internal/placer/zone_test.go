package placer

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbshore/internal/capacity"
	"rhubarbshore/internal/cell"
	"rhubarbshore/internal/journal"
	"rhubarbshore/internal/standin"
	"rhubarbshore/internal/worker"
	"rhubarbshore/pkg/api"
)

// zone is a small availability zone for tests: simulated workers and the placers of
// its entry VMs, in virtual time.
type zone struct {
	t       *testing.T
	workers map[string]*standin.Worker
	vms     []*vm
	unsafe  Unsafe
	layout  cell.Config
	size    capacity.Size
	journal *memoryJournal
	logger  *slog.Logger

	mu         sync.Mutex
	injections []injection
	// armed enables the injections; those of the step fence are always enabled.
	armed bool
	// cutUntil is the time until which no VM can reach a worker, by worker.
	cutUntil map[string]time.Time
}

// injection is a fault that is injected once, into the next call of its step.
type injection struct {
	step, fault string
	fired       bool
}

// vm is an entry VM with its placer.
type vm struct {
	zone        *zone
	name        string
	placer      *Placer
	cancel      context.CancelFunc
	mu          sync.Mutex
	dead        bool
	frozenUntil time.Time
	// split is the name prefix of the workers that this VM can't reach.
	split string
}

// memoryJournal is a Journal in memory that stores nothing while it is down.
type memoryJournal struct {
	mu    sync.Mutex
	down  bool
	jobs  []api.Job
	ended map[string]bool
}

func (m *memoryJournal) Accept(_ context.Context, j api.Job) journal.AcceptResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.down {
		m.jobs = append(m.jobs, j)
	}
	return journal.AcceptResult{Durable: !m.down}
}

// writes returns how often the job was written.
func (m *memoryJournal) writes(id string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, j := range m.jobs {
		if j.ID == id {
			n++
		}
	}
	return n
}

func (m *memoryJournal) HasNewRecords() bool { return false }

func (m *memoryJournal) SetLeading(bool) {}

func (m *memoryJournal) setDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
}

func (m *memoryJournal) End(id string, _ api.State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended[id] = true
}

func (m *memoryJournal) Open(context.Context) journal.Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := journal.Snapshot{Complete: true}
	for _, j := range m.jobs {
		if !m.ended[j.ID] {
			out.Jobs = append(out.Jobs, journal.Job{Job: j, Durable: true})
		}
	}
	return out
}

func newZone(t *testing.T, unsafe Unsafe) *zone {
	z := &zone{t: t, workers: map[string]*standin.Worker{}, cutUntil: map[string]time.Time{}, unsafe: unsafe, journal: &memoryJournal{ended: map[string]bool{}}}
	z.layout = cell.Config{
		Levels:     cell.Levels{Worker: 3, Rack: 5},
		Guarantees: []cell.Guarantee{{Customer: "a", Level: 4, Count: 1}, {Customer: "b", Level: 3, Count: 1}},
	}
	z.size = capacity.Size{Cores: 80, Memory: 160}
	for r := range 2 {
		rack := cell.Rack{Name: fmt.Sprint("r", r)}
		for i := range 4 {
			w := cell.Worker{Name: fmt.Sprintf("r%d-w%d", r, i), Accelerators: 8}
			rack.Workers = append(rack.Workers, w)
			z.workers[w.Name] = standin.NewWorker(standin.WorkerConfig{Name: w.Name, Accelerators: 8, Cores: 80, Memory: 160})
		}
		z.layout.Racks = append(z.layout.Racks, rack)
	}
	return z
}

// startVM starts the placer of an entry VM and makes it lead.
func (z *zone) startVM(name string) *vm {
	v := &vm{zone: z, name: name}
	v.placer = New(Config{
		VM: name, Zone: "z", Term: testTerm, RenewInterval: 20 * time.Second, HoldTerm: 6 * time.Second, CheckpointTimeout: 2 * time.Second,
		WorkerTimeout: 10 * time.Second, Drift: testDrift, Logger: z.log(name), Journal: z.journal, RewriteInterval: testRewriteInterval, Unsafe: z.unsafe, ClaimsLead: z.isLeader,
	})
	ctx, cancel := context.WithCancel(z.t.Context())
	v.cancel = cancel
	z.mu.Lock()
	z.vms = append(z.vms, v)
	z.mu.Unlock()
	go v.placer.Run(ctx)
	var listed []ListedWorker
	for n, w := range z.workers {
		listed = append(listed, ListedWorker{Name: n, Client: &faultyClient{vm: v, name: n, worker: w}})
	}
	v.placer.SetLayout(z.layout, z.size, map[string]int{"a": 100, "b": 100, "c": 100})
	v.placer.SetWorkers(listed)
	v.placer.SetLeading(true)
	return v
}

// isLeader reports whether a VM claims the leadership, as the membership would.
func (z *zone) isLeader(name string) bool {
	for _, v := range z.all() {
		if v.name == name {
			return !v.isDead() && v.placer.IsLeader()
		}
	}
	return false
}

// shutDown stops all placers and waits until every lease has expired.
func (z *zone) shutDown() {
	for _, v := range z.all() {
		v.kill()
	}
	time.Sleep(5 * time.Minute)
}

func (v *vm) kill() {
	v.mu.Lock()
	v.dead = true
	v.mu.Unlock()
	v.cancel()
}

// faultyClient is one VM's connection to a worker.
type faultyClient struct {
	vm     *vm
	name   string
	worker *standin.Worker
}

// invoke makes a call, with the next fault injected into the step, if there is one.
func (f *faultyClient) invoke(step string, call func() error) error {
	f.vm.waitFrozen()
	if f.vm.isDead() || f.vm.zone.isCut(f.name) || f.vm.isSplit(f.name) {
		time.Sleep(dialTimeout)
		return worker.ErrUnsent
	}
	err := f.vm.zone.inject(f, step, call)
	f.vm.waitFrozen()
	return err
}

// waitFrozen blocks the calls of a frozen VM until it resumes.
func (v *vm) waitFrozen() {
	v.mu.Lock()
	until := v.frozenUntil
	v.mu.Unlock()
	time.Sleep(time.Until(until))
}

func (v *vm) isDead() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.dead
}

func (v *vm) isSplit(worker string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.split != "" && strings.HasPrefix(worker, v.split)
}

func (v *vm) setSplit(prefix string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.split = prefix
}

func (v *vm) isFrozen() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return time.Now().Before(v.frozenUntil)
}

// all returns the VMs started so far.
func (z *zone) all() []*vm {
	z.mu.Lock()
	defer z.mu.Unlock()
	return slices.Clone(z.vms)
}

func (z *zone) isCut(name string) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	return time.Now().Before(z.cutUntil[name])
}

// inject makes a call with the fault that is due at the step, if there is one.
func (z *zone) inject(f *faultyClient, step string, call func() error) error {
	z.mu.Lock()
	fault := z.nextFault(step)
	z.mu.Unlock()
	switch fault {
	case "cut":
		z.cutOff(f.name, 90*time.Second)
		time.Sleep(dialTimeout)
		return worker.ErrUnsent
	case "lost":
		_ = call()
		time.Sleep(callTimeout)
		return worker.ErrUnknownOutcome
	case "dropped":
		time.Sleep(callTimeout)
		return worker.ErrUnknownOutcome
	case "late":
		go func() { time.Sleep(1500 * time.Millisecond); _ = call() }()
		time.Sleep(callTimeout)
		return worker.ErrUnknownOutcome
	case "duplicate":
		go func() { time.Sleep(1500 * time.Millisecond); _ = call() }()
	case "slow":
		time.Sleep(900 * time.Millisecond)
	case "crash":
		f.worker.Crash()
	case "failing":
		f.worker.SetFault(standin.WorkerFault{Fail: true, Hang: true})
	case "kill":
		f.vm.kill()
		go func() { time.Sleep(2500 * time.Millisecond); z.startVM("vm-next") }()
		return worker.ErrUnsent
	case "freeze":
		f.vm.freeze(testTerm + 30*time.Second)
		f.vm.waitFrozen()
	case "rival":
		go func() {
			rival := z.startVM("vm-rival")
			time.Sleep(3 * time.Second)
			rival.placer.SetLeading(false)
			z.passOrphans(rival)
		}()
	}
	return call()
}

// nextFault returns the next fault for the step, or "". Until armed is set, only faults
// of the step fence are returned: the other steps also occur while the zone is filled,
// but their faults are meant for the guaranteed gang that comes afterwards.
func (z *zone) nextFault(step string) string {
	for i := range z.injections {
		s := &z.injections[i]
		if s.step == step && !s.fired && (z.armed || step == "fence") {
			s.fired = true
			return s.fault
		}
	}
	return ""
}

func (z *zone) cutOff(name string, d time.Duration) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.cutUntil[name] = time.Now().Add(d)
}

// freeze suspends the VM: its calls and its placer's goroutine block while time goes
// on. Another VM starts to lead in the meantime.
func (v *vm) freeze(d time.Duration) {
	v.mu.Lock()
	v.frozenUntil = time.Now().Add(d)
	v.mu.Unlock()
	go v.placer.post(func() { time.Sleep(d) })
	go func() { time.Sleep(2500 * time.Millisecond); v.zone.startVM("vm-next") }()
	go func() { time.Sleep(d + 500*time.Millisecond); v.placer.SetLeading(false); v.zone.passOrphans(v) }()
}

// passOrphans submits the jobs of a lost leadership to the other VMs, as the daemon
// does.
func (z *zone) passOrphans(from *vm) {
	for _, j := range from.placer.Orphans(z.t.Context()) {
		for _, v := range z.all() {
			if v != from && !v.isDead() {
				_, _ = v.placer.Submit(z.t.Context(), j.Job)
			}
		}
	}
}

// invokeValue is invoke for calls that return a value. The lock keeps a delayed call
// from changing the value that has already been returned.
func invokeValue[Out any](f *faultyClient, step string, call func() (Out, error)) (Out, error) {
	var mu sync.Mutex
	var out Out
	err := f.invoke(step, func() error {
		got, err := call()
		mu.Lock()
		defer mu.Unlock()
		out = got
		return err
	})
	mu.Lock()
	defer mu.Unlock()
	return out, err
}

// Fence implements Worker.
func (f *faultyClient) Fence(ctx context.Context, fence worker.Fence) (worker.Table, error) {
	return invokeValue(f, "fence", func() (worker.Table, error) { return f.worker.Fence(ctx, fence) })
}

// Hold implements Worker.
func (f *faultyClient) Hold(ctx context.Context, fence worker.Fence, l worker.Lease, term time.Duration) error {
	return f.invoke("hold", func() error { return f.worker.Hold(ctx, fence, l, term) })
}

// Start implements Worker.
func (f *faultyClient) Start(ctx context.Context, fence worker.Fence, job string, g uint64, term time.Duration) error {
	return f.invoke("start", func() error { return f.worker.Start(ctx, fence, job, g, term) })
}

// Renew implements Worker.
func (f *faultyClient) Renew(ctx context.Context, fence worker.Fence, r worker.Renew) (worker.Renewal, error) {
	return invokeValue(f, "renew", func() (worker.Renewal, error) { return f.worker.Renew(ctx, fence, r) })
}

// Checkpoint implements Worker.
func (f *faultyClient) Checkpoint(ctx context.Context, fence worker.Fence, job string, g uint64) error {
	return f.invoke("checkpoint", func() error { return f.worker.Checkpoint(ctx, fence, job, g) })
}

// Stop implements Worker.
func (f *faultyClient) Stop(ctx context.Context, fence worker.Fence, all []worker.Stop) error {
	return f.invoke("stop", func() error { return f.worker.Stop(ctx, fence, all) })
}

// submit submits a job to the first VM that accepts it, as the daemon does.
func (z *zone) submit(j api.Job) {
	for range 2000 {
		for _, v := range z.all() {
			if v.isDead() || v.isFrozen() {
				continue
			}
			ctx, cancel := context.WithTimeout(z.t.Context(), time.Second)
			status, err := v.placer.Submit(ctx, j)
			cancel()
			if err == nil {
				assert.Assert(z.t, status.State != api.Refused, status.Reason)
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	z.t.Fatalf("job %s was never accepted", j.ID)
}

func (z *zone) spans() []standin.Span {
	var out []standin.Span
	for _, w := range z.workers {
		out = append(out, w.Ledger()...)
	}
	return out
}

// startTime returns when the given number of members of the job had started for the
// first time.
func (z *zone) startTime(job string, members int) (time.Time, bool) {
	var begins []time.Time
	for _, s := range z.spans() {
		if s.Job == job && s.Reason != "failed" {
			begins = append(begins, s.Begin)
		}
	}
	if len(begins) < members {
		return time.Time{}, false
	}
	sort.Slice(begins, func(i, k int) bool { return begins[i].Before(begins[k]) })
	return begins[members-1], true
}

func (z *zone) spansOf(job string) []standin.Span {
	return slices.DeleteFunc(z.spans(), func(s standin.Span) bool { return s.Job != job })
}

// checkGuarantees checks that all guarantees are reclaimable in the tree of each
// leading placer that is neither dead nor frozen.
func (z *zone) checkGuarantees() error {
	for _, v := range z.all() {
		if v.isDead() || v.isFrozen() {
			continue
		}
		var err error
		ctx, cancel := context.WithTimeout(z.t.Context(), time.Second)
		_ = v.placer.runSync(ctx, func() {
			if v.placer.leading && v.placer.ready {
				err = v.placer.tree.Check()
			}
		})
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}

// runningByClass returns the number of running gangs of a placer by class.
func (z *zone) runningByClass(v *vm) map[string]int {
	out := map[string]int{}
	list, err := v.placer.Jobs(z.t.Context())
	assert.NilError(z.t, err)
	for _, j := range list.Jobs {
		if j.State == api.Running {
			out[j.Class]++
		}
	}
	return out
}

func (z *zone) log(name string) *slog.Logger {
	if z.logger == nil {
		return slog.New(slog.DiscardHandler)
	}
	return z.logger.With("vm", name)
}
