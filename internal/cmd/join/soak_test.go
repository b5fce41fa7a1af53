package join_test

import (
	"context"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbshore/internal/standin"
	"rhubarbshore/platform/platformtest"
)

const (
	// soakDuration is how long a short run injects faults; SOAK_SECONDS overrides it.
	soakDuration = 12 * time.Second
	// soakDrainTime is how long jobs may take to finish after the last fault has ended, besides
	// the work of those of varied shapes.
	soakDrainTime = 40 * time.Second
	// soakCancelLimit is how long after a job's cancellation or final state was answered its tasks
	// may still start, by the users' rules.
	soakCancelLimit = 4 * time.Second
	// soakEarlyLimit is how long before its time a task may start, by the users' rules.
	soakEarlyLimit = 250 * time.Millisecond
	// soakVisibleLimit is how long an accepted job may be unknown to other VMs, by the
	// users' rules.
	soakVisibleLimit = 3 * time.Second
	// soakRecoveryTime is how long after a disruption a VM counts as recovered, by the
	// users' rules.
	soakRecoveryTime = 4 * time.Second
	// soakSettleTime is how long after the last fault no job may have nothing running while
	// there is room for it, by the users' rules.
	soakSettleTime = 14 * time.Second
	// soakWatchTime is how long long-running tasks are watched after VMs have recovered, before
	// they are cancelled.
	soakWatchTime      = 4 * time.Second
	soakAttempts       = 3 // failed runs of a task, by the published configuration
	soakWorkers        = 10
	soakExtraWorkers   = 6 // workers that may be lost; no job needs them
	soakClients        = 8
	soakMixedClients   = 2 // clients with jobs of other shapes
	soakVariedClients  = 4 // clients with jobs whose tasks run for other times than declared, fail or have times
	workerAccelerators = 8
)

// soakRegressionSeeds are seeds that failed in the past. They are part of every run.
var soakRegressionSeeds = []uint64{
	1005, // a planned stop cut a call when the standby had just stopped as well
}

// TestSoak runs daemons as processes, injects a random series of overlapping external
// faults, and checks what callers and workers observe. To run it with fresh seeds:
//
//	SOAK=50 SOAK_SEED=1000 go test ./internal/cmd/join -run TestSoak -timeout 1h
//
// SOAK_VMS sets the number of VMs, and SOAK_LOGS a folder for the logs of failed runs.
func TestSoak(t *testing.T) {
	seeds := append([]uint64(nil), soakRegressionSeeds...)
	for i := range envInt("SOAK", 2) {
		seeds = append(seeds, uint64(envInt("SOAK_SEED", 1)+i))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			newSoak(t, seed).run(t)
		})
	}
}

// envInt reads an integer from the environment; fallback is for an absent or invalid one.
func envInt(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

// soakVM is a VM's daemon process with the links for its store calls and its clients' calls.
type soakVM struct {
	*daemon
	name           string
	store, clients *link
	mu             sync.Mutex
	disruptedUntil time.Time // by unplanned faults; the VM counts as recovered soakRecoveryTime later
	plannedStop    bool      // a planned stop and its restart are in progress
	busy           bool      // a stop, pause or reload is in progress
	config         configWatch
}

// markDisrupted records an unplanned disruption.
func (v *soakVM) markDisrupted(until time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if until.After(v.disruptedUntil) {
		v.disruptedUntil = until
	}
}

type soak struct {
	rand      *rand.Rand
	outages   *rand.Rand // of outages that affect several processes
	troubles  *rand.Rand // of faults of workers, and of jobs of varied shapes
	partial   *rand.Rand // of faults of a part of the store, or of the store for one VM
	platform  *platformtest.Platform
	vms       []*soakVM
	vmByAddr  map[string]*soakVM
	configs   *rand.Rand // of versions of the configuration and their probes
	faultsEnd time.Time
	watched   chan struct{} // closed when long-running tasks have been watched

	publishing sync.Mutex // held while a version is published

	mu          sync.Mutex
	version     int // newest that was published or is being published
	published   []publishedVersion
	jobs        map[string]*soakJob // all jobs that were submitted
	open        map[string]*soakJob // accepted jobs that have not ended
	violations  []string
	startedJobs map[string]bool      // jobs with at least one started task
	endedAt     map[string]time.Time // when a job's cancellation or final state was first answered
	faultLog    []string
}

func newSoak(t *testing.T, seed uint64) *soak {
	t.Helper()
	s := &soak{
		rand: rand.New(rand.NewPCG(seed, 11)), outages: rand.New(rand.NewPCG(seed, 12)),
		partial: rand.New(rand.NewPCG(seed, 13)), troubles: rand.New(rand.NewPCG(seed, 14)), configs: rand.New(rand.NewPCG(seed, 15)), vmByAddr: map[string]*soakVM{}, watched: make(chan struct{}),
		jobs: map[string]*soakJob{}, open: map[string]*soakJob{}, startedJobs: map[string]bool{}, endedAt: map[string]time.Time{},
	}
	var err error
	s.platform, err = platformtest.New(platformtest.Config{Workers: soakWorkers + soakExtraWorkers, TaskTime: s.taskTime, TaskFails: s.taskFails})
	assert.NilError(t, err)
	t.Cleanup(s.platform.Close)
	s.platform.Fleet.SetStartCheck(s.checkStart)
	s.publish()
	for i := range envInt("SOAK_VMS", 3+s.rand.IntN(4)) {
		v := &soakVM{name: fmt.Sprint("vm-", i)}
		address, err := s.platform.StoreOf(v.name)
		assert.NilError(t, err)
		v.store = newLink(t, address)
		v.daemon = startDaemonWith(t, v.name, func(vm string, clients, ready, internal int) string {
			return strings.Replace(s.platform.Settings(vm, clients, ready, internal), s.platform.Store(), v.store.address(), 1)
		})
		v.clients = newLink(t, v.daemon.clients)
		s.vms = append(s.vms, v)
		s.vmByAddr[v.clients.address()] = v
	}
	return s
}

// taskTime returns the run time of a task.
func (s *soak) taskTime(task string) time.Duration {
	j, _, step := s.parse(task)
	if j != nil && j.work != nil {
		return j.work[step]
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(task)) // a hash never returns an error
	return 200*time.Millisecond + time.Duration(h.Sum32()%1500)*time.Millisecond
}

// taskFails reports whether all runs of a task fail.
func (s *soak) taskFails(task string) bool {
	j, _, _ := s.parse(task)
	return j != nil && j.fails
}

// parse returns the job of a task, or nil, and the numbers of its occurrence and its step.
func (s *soak) parse(task string) (j *soakJob, occurrence, step int) {
	parts := strings.Split(task, ".")
	occurrence, _ = strconv.Atoi(parts[1]) // the fleet knows the step, so the name is valid
	step, _ = strconv.Atoi(parts[2])
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobs[parts[0]], occurrence, step
}

// checkStart checks a task that starts on a worker. It returns the violation, if there is one.
func (s *soak) checkStart(task string) string {
	j, occurrence, step := s.parse(task)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startedJobs[j.ID] = true
	if at, ok := s.endedAt[j.ID]; ok && time.Since(at) > soakCancelLimit {
		return fmt.Sprintf("%s started %v after its job was cancelled or reported as ended", task, time.Since(at))
	}
	if n := s.platform.Fleet.AckedFailures(task); n >= soakAttempts {
		return fmt.Sprintf("%s started after %d failures", task, n)
	}
	if early := time.Until(standin.Due(&j.Job, occurrence)); j.Repeat > 0 && early > soakEarlyLimit {
		return fmt.Sprintf("%s started %v before it is due", task, early)
	}
	for _, before := range j.Steps[step].After {
		for n := range j.Steps[before].Count {
			if name := fmt.Sprintf("%s.%d.%d.%d", j.ID, occurrence, before, n); !s.platform.Fleet.FinishedLocked(name) {
				return fmt.Sprintf("%s started before %s was done", task, name)
			}
		}
	}
	return ""
}

// reportf records a violation.
func (s *soak) reportf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// logFaultf records an injected fault, for the report of a failed run.
func (s *soak) logFaultf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultLog = append(s.faultLog, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// publish publishes the next version of the configuration.
func (s *soak) publish() {
	s.publishing.Lock()
	defer s.publishing.Unlock()
	s.mu.Lock()
	s.version++
	version := s.version
	s.mu.Unlock()
	s.platform.Publish(version)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.published = append(s.published, publishedVersion{version, time.Now()})
}

func (s *soak) run(t *testing.T) {
	t.Helper()
	for _, v := range s.vms {
		v.awaitReady(t)
	}
	s.faultsEnd = time.Now().Add(time.Duration(envInt("SOAK_SECONDS", int(soakDuration/time.Second))) * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	for i := range soakClients {
		r := rand.New(rand.NewPCG(s.rand.Uint64(), 0))
		wg.Go(func() { s.runClient(ctx, i, r, simpleShape) })
	}
	for i := range soakMixedClients {
		r := rand.New(rand.NewPCG(s.outages.Uint64(), 0))
		wg.Go(func() { s.runClient(ctx, soakClients+i, r, mixedShape) })
	}
	for i := range soakVariedClients {
		r := rand.New(rand.NewPCG(s.troubles.Uint64(), 0))
		wg.Go(func() { s.runClient(ctx, soakClients+soakMixedClients+i, r, variedShape) })
	}
	versions, probes := rand.New(rand.NewPCG(s.configs.Uint64(), 0)), rand.New(rand.NewPCG(s.configs.Uint64(), 0))
	wg.Go(func() { s.publishVersions(versions) })
	wg.Go(func() { s.probeConfig(ctx, probes) })
	s.injectFaults(t)
	time.AfterFunc(soakDrainTime+s.workLeft(), cancel)
	stopped := make(chan struct{})
	go func() {
		wg.Wait()
		close(stopped)
	}()
	s.watchStalls(stopped)
	t.Log(s.summary())
	s.violations = append(s.violations, s.platform.Fleet.Violations()...)
	if len(s.violations) > 0 {
		t.Errorf("%s\nfaults:\n%s\nlogs: %s", strings.Join(s.violations, "\n"), strings.Join(s.faultLog, "\n"), s.saveLogs(t))
	}
}

// saveLogs keeps the daemons' logs and returns their folder.
func (s *soak) saveLogs(t *testing.T) string {
	t.Helper()
	daemons := make([]*daemon, len(s.vms))
	for i, v := range s.vms {
		daemons[i] = v.daemon
	}
	return keepLogs(t, daemons)
}

// watchStalls checks for jobs that stall, from the time that the users' rules allow after the last
// fault until the clients have stopped.
func (s *soak) watchStalls(stopped <-chan struct{}) {
	var watched sync.Once
	c, healed := standin.NewStallCheck(s.platform.Fleet), time.Now()
	incomplete := 0 // runs of gangs that never became whole and have been checked
	for done := false; !done; {
		select {
		case <-stopped:
			done = true
		case <-time.After(100 * time.Millisecond):
		}
		age := time.Since(healed)
		for _, j := range s.openJobs() {
			if age > soakSettleTime || age > soakRecoveryTime && j.Steps[0].LongRunning {
				c.Check(time.Now(), &j.Job, func() bool { return s.isOpen(j.ID) })
			}
		}
		timeouts := s.platform.Fleet.GangTimeouts()
		for _, run := range timeouts[incomplete:] {
			id, _, _ := strings.Cut(run, ".")
			if age > soakRecoveryTime+platformtest.GangWait && s.isOpen(id) {
				s.reportf("%s, %v after the last fault, waited in vain for the other members of its gang", run, age)
			}
		}
		incomplete = len(timeouts)
		if age > soakRecoveryTime+soakWatchTime {
			watched.Do(func() { close(s.watched) })
		}
	}
	s.violations = append(s.violations, slices.Sorted(maps.Values(c.Found()))...)
}

// injectFaults injects faults until faultsEnd, some of them at the same time, and clears
// all of them before it returns.
func (s *soak) injectFaults(t *testing.T) {
	t.Helper()
	var wg sync.WaitGroup
	wg.Go(func() { s.injectOutages(t) })
	wg.Go(func() { s.injectPartialFaults(t) })
	wg.Go(func() { s.injectWorkerFaults(t) })
	for time.Now().Before(s.faultsEnd) {
		inject := s.nextFault(t)
		duration := 200*time.Millisecond + time.Duration(s.rand.IntN(2500))*time.Millisecond
		wg.Go(func() { inject(duration) })
		time.Sleep(time.Duration(s.rand.IntN(1200)) * time.Millisecond)
	}
	wg.Wait()
	s.platform.Log.SetFault(standin.LogFault{})
	s.platform.Fleet.SetFault(standin.OrderFault{})
}

// nextFault draws a random fault. The returned function injects it and ends it after the
// duration, unless the fault has a length of its own.
func (s *soak) nextFault(t *testing.T) func(duration time.Duration) {
	t.Helper()
	i := s.rand.IntN(len(s.vms))
	v := s.vms[i]
	downtime := 100*time.Millisecond + time.Duration(s.rand.IntN(900))*time.Millisecond
	switch kind := s.rand.IntN(12); kind {
	case 0, 1:
		s.logFaultf("vm-%d is killed and restarted after %v", i, downtime)
		return func(time.Duration) { v.restart(t, s, syscall.SIGKILL, downtime) }
	case 2, 3:
		s.logFaultf("vm-%d is stopped as planned and restarted after %v", i, downtime)
		return func(time.Duration) { v.restart(t, s, syscall.SIGTERM, downtime) }
	case 4:
		s.logFaultf("vm-%d is paused", i)
		return func(duration time.Duration) { v.pause(duration) }
	case 5, 6:
		f := fault(1 + s.rand.IntN(4))
		s.logFaultf("link from vm-%d to the store: fault %d", i, f)
		return func(duration time.Duration) { v.disruptLink(v.store, f, duration) }
	case 7:
		f := fault(1 + s.rand.IntN(4))
		s.logFaultf("link from clients to vm-%d: fault %d", i, f)
		return func(duration time.Duration) { v.disruptLink(v.clients, f, duration) }
	case 8:
		f := []standin.LogFault{{Refuse: true}, {Silent: true}, {LossRate: 0.5, Late: time.Second}, {Slow: 300 * time.Millisecond}}[s.rand.IntN(4)]
		s.logFaultf("store fault: %+v", f)
		return func(duration time.Duration) {
			s.disruptAll(duration, func() { s.platform.Log.SetFault(f) }, func() { s.platform.Log.SetFault(standin.LogFault{}) })
		}
	case 9:
		id := platformtest.Worker(s.rand.IntN(soakWorkers))
		s.logFaultf("worker %s is unreachable", id)
		return func(duration time.Duration) {
			s.platform.Fleet.SetUnreachable(id, true)
			time.Sleep(duration)
			s.platform.Fleet.SetUnreachable(id, false)
		}
	case 10:
		s.logFaultf("orders to workers are lost or delayed")
		return func(duration time.Duration) {
			s.platform.Fleet.SetFault(standin.OrderFault{LossRate: 0.2, Late: 2 * time.Second})
			time.Sleep(duration)
			s.platform.Fleet.SetFault(standin.OrderFault{})
		}
	default:
		s.publish()
		s.logFaultf("configuration %d is published", s.newestVersion())
		return func(time.Duration) { v.reload() }
	}
}

// disruptAll starts a fault that affects all VMs, and stops it after the duration.
func (s *soak) disruptAll(duration time.Duration, start, stop func()) {
	for _, v := range s.vms {
		v.markDisrupted(time.Now().Add(duration))
	}
	start()
	time.Sleep(duration)
	stop()
}

// disruptLink puts a fault on a link for the duration.
func (v *soakVM) disruptLink(l *link, f fault, duration time.Duration) {
	v.markDisrupted(time.Now().Add(duration))
	l.setFault(f)
	time.Sleep(duration)
	l.setFault(linkHealthy)
}

// tryAcquire reserves the process for a stop, pause or reload. It reports false if one is
// in progress already.
func (v *soakVM) tryAcquire(planned bool) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.busy {
		return false
	}
	v.busy, v.plannedStop = true, planned
	return true
}

func (v *soakVM) release() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.busy, v.plannedStop = false, false
}

// restart ends the process with a signal and starts it again after the downtime.
func (v *soakVM) restart(t *testing.T, s *soak, sig syscall.Signal, downtime time.Duration) {
	planned := sig == syscall.SIGTERM
	if !v.tryAcquire(planned) {
		return
	}
	defer v.release()
	if !planned {
		v.markDisrupted(time.Now().Add(downtime))
	}
	v.stop(sig)
	if code := v.cmd.ProcessState.ExitCode(); planned && code != 0 {
		s.reportf("planned stop of %s exited with code %d", v.daemon.clients, code)
	}
	time.Sleep(downtime)
	v.start(t)
	v.awaitStarted()
}

// awaitStarted waits until the process listens; it handles signals from then on.
func (v *soakVM) awaitStarted() {
	for range 200 {
		c, err := net.Dial("tcp", v.ready)
		if err == nil {
			_ = c.Close()
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// pause suspends the process for the duration.
func (v *soakVM) pause(duration time.Duration) {
	if !v.tryAcquire(false) {
		return
	}
	defer v.release()
	v.markDisrupted(time.Now().Add(duration))
	_ = v.cmd.Process.Signal(syscall.SIGSTOP) // permitted: the process is a child of this test
	time.Sleep(duration)
	_ = v.cmd.Process.Signal(syscall.SIGCONT)
}

// reload sends the signal on which the daemon reads its settings file again.
func (v *soakVM) reload() {
	if v.tryAcquire(false) {
		defer v.release()
		_ = v.cmd.Process.Signal(syscall.SIGHUP)
	}
}
