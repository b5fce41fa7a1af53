package join_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbshore/internal/scheduler"
	"rhubarbshore/internal/standin"
	"rhubarbshore/platform/platformtest"
)

// stallWatchTime is how long jobs are watched after VMs have recovered.
const stallWatchTime = 8 * time.Second

// outage is a group of daemons and the jobs that wait while they are disrupted.
type outage struct {
	platform *platformtest.Platform
	daemons  []*daemon
	client   *platformtest.Client
	jobs     []*scheduler.Job
	stalls   *standin.StallCheck
	rand     *rand.Rand
}

// newOutage starts daemons and submits jobs that run; they fill the rack that later jobs prefer.
// SOAK_SEED varies the times of the outage.
func newOutage(t *testing.T, vms int) *outage {
	t.Helper()
	o := &outage{rand: rand.New(rand.NewPCG(uint64(envInt("SOAK_SEED", 1)), 3))}
	var err error
	o.platform, err = platformtest.New(platformtest.Config{Workers: 16, TaskTime: func(task string) time.Duration {
		if strings.Contains(task, "c.0.0.") {
			return time.Second // the first step of a job of two
		}
		return 40 * time.Second
	}})
	assert.NilError(t, err)
	t.Cleanup(o.platform.Close)
	o.stalls = standin.NewStallCheck(o.platform.Fleet)
	o.platform.Publish(1)
	var addresses []string
	for i := range vms {
		d := startDaemon(t, o.platform, fmt.Sprint("vm-", i))
		o.daemons, addresses = append(o.daemons, d), append(addresses, d.clients)
	}
	for _, d := range o.daemons {
		d.awaitReady(t)
	}
	o.client = platformtest.NewClient(o.platform, addresses)
	o.submit(t, "00000000000000f0", step(4, 8, func(s *scheduler.Step) { s.Rack = "r1-0" }))
	o.submit(t, "00000000000000f1", step(3, 1, func(s *scheduler.Step) { s.LongRunning = true }))
	waitUntil(t, soakRecoveryTime, func() bool { return o.platform.Fleet.Starts() == 7 })
	return o
}

func step(count int, accelerators int64, set func(*scheduler.Step)) scheduler.Step {
	s := scheduler.Step{Count: count, Need: scheduler.Resources{CPU: 1000, Memory: 1024, Accelerators: accelerators}, Estimate: 10 * time.Second}
	set(&s)
	return s
}

func (o *outage) submit(t *testing.T, id string, steps ...scheduler.Step) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err := o.client.Submit(ctx, id, 1, steps)
	assert.NilError(t, err)
	o.jobs = append(o.jobs, &scheduler.Job{ID: id, Steps: steps})
}

// submitWaiting submits jobs whose preferred rack is full, and long-running ones.
func (o *outage) submitWaiting(t *testing.T) {
	t.Helper()
	rack := func(s *scheduler.Step) { s.Rack = "r1-0" }
	o.submit(t, "00000000000000a1", step(2, 4, func(s *scheduler.Step) { rack(s); s.Gang = true }))
	o.submit(t, "00000000000000a2", step(4, 1, func(s *scheduler.Step) { rack(s); s.Gang, s.Tight = true, true }))
	o.submit(t, "00000000000000a3", step(2, 1, func(s *scheduler.Step) { rack(s); s.LongRunning = true }))
	o.submit(t, "00000000000000a4", step(3, 0, func(s *scheduler.Step) { rack(s); s.Need.CPU = 16000 }))
	o.submit(t, "00000000000000a5", step(2, 1, func(s *scheduler.Step) { s.LongRunning, s.MaxPerWorker = true, 1 }))
	o.submit(t, "000000000000000c", step(2, 1, rack), step(2, 1, func(s *scheduler.Step) { s.After = []int{0} }))
	o.submit(t, "00000000000000a6", step(3, 2, func(s *scheduler.Step) { s.Gang, s.LongRunning = true, true }))
}

// leader returns the number of the daemon that leads, or -1.
func (o *outage) leader(t *testing.T) int {
	t.Helper()
	return slices.IndexFunc(o.daemons, func(d *daemon) bool { return d.cmd.ProcessState == nil && d.isLeader(t) })
}

// jitter returns a drawn time of up to limit.
func (o *outage) jitter(limit time.Duration) time.Duration {
	return time.Duration(o.rand.Int64N(int64(limit)))
}

// restartAll kills the daemons and starts them again.
func (o *outage) restartAll(t *testing.T, downtime time.Duration) {
	t.Helper()
	for _, d := range o.daemons {
		d.stop(syscall.SIGKILL)
	}
	time.Sleep(downtime)
	for _, d := range o.daemons {
		d.start(t)
	}
}

// silenceStore leaves all calls to the store unanswered for a time.
func (o *outage) silenceStore(d time.Duration) {
	o.platform.Log.SetFault(standin.LogFault{Silent: true})
	time.Sleep(d)
	o.platform.Log.SetFault(standin.LogFault{})
}

// observe notes which long-running tasks run.
func (o *outage) observe() {
	for _, j := range o.jobs {
		o.stalls.Observe(time.Now(), j)
	}
}

// check requires that no job stalls from soakRecoveryTime after the disruption.
func (o *outage) check(t *testing.T) {
	t.Helper()
	recovered := time.Now().Add(soakRecoveryTime)
	for end := recovered.Add(stallWatchTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		o.observe()
		for _, j := range o.jobs {
			if time.Now().After(recovered) {
				o.stalls.Check(time.Now(), j, func() bool { return true })
			}
		}
	}
	if len(o.stalls.Found()) > 0 {
		t.Errorf("%s\nlogs: %s", strings.Join(slices.Sorted(maps.Values(o.stalls.Found())), "\n"), keepLogs(t, o.daemons))
	}
	assert.DeepEqual(t, o.platform.Fleet.Violations(), []string(nil))
}

// keepLogs copies the daemons' logs to the folder that SOAK_LOGS names, which outlives the test,
// and returns their folder.
func keepLogs(t *testing.T, daemons []*daemon) string {
	t.Helper()
	root := os.Getenv("SOAK_LOGS")
	if root == "" {
		return "not kept"
	}
	dir := filepath.Join(root, strings.ReplaceAll(t.Name(), "/", "-"))
	assert.NilError(t, os.MkdirAll(dir, 0o700))
	for i, d := range daemons {
		data, err := os.ReadFile(d.log)
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(filepath.Join(dir, fmt.Sprint("vm-", i)), data, 0o600))
	}
	return dir
}

// Guards against jobs that wait on, with room for them, after all VMs have started anew.
func TestJobsThatWaitRunAfterAllVMsRestart(t *testing.T) {
	t.Parallel()
	o := newOutage(t, 3)
	for range 2 { // the leader of the restart is of a later epoch
		if i := o.leader(t); i >= 0 {
			o.daemons[i].stop(syscall.SIGKILL)
			time.Sleep(2 * time.Second)
			o.daemons[i].start(t)
		}
	}
	o.submitWaiting(t)
	time.Sleep(o.jitter(500 * time.Millisecond))
	o.restartAll(t, 200*time.Millisecond+o.jitter(time.Second))
	o.check(t)
}

// Guards against jobs that wait on after all VMs and workers have started anew at the same time.
func TestJobsRunAfterVMsAndWorkersRestart(t *testing.T) {
	t.Parallel()
	o := newOutage(t, 3)
	o.submitWaiting(t)
	time.Sleep(o.jitter(1500 * time.Millisecond))
	for i := range 16 {
		o.platform.Fleet.Crash(platformtest.Worker(i), true)
	}
	o.restartAll(t, 200*time.Millisecond+o.jitter(time.Second))
	o.check(t)
}

// Guards against jobs that wait on after a leader froze, the store fell silent, and the next leader
// was lost as well.
func TestJobsThatWaitRunAfterStoreFailsAtATakeover(t *testing.T) {
	t.Parallel()
	o := newOutage(t, 4)
	frozen := o.leader(t)
	assert.Assert(t, frozen >= 0)
	o.submitWaiting(t)
	process := o.daemons[frozen].cmd.Process
	assert.NilError(t, process.Signal(syscall.SIGSTOP))
	time.Sleep(1800*time.Millisecond + o.jitter(500*time.Millisecond))
	o.silenceStore(2500*time.Millisecond + o.jitter(time.Second))
	time.Sleep(o.jitter(2 * time.Second))
	for i, d := range o.daemons {
		if i != frozen && d.isLeader(t) {
			d.stop(syscall.SIGKILL)
			time.Sleep(o.jitter(time.Second))
			d.start(t)
		}
	}
	assert.NilError(t, process.Signal(syscall.SIGCONT))
	o.check(t)
}

// Guards against jobs that wait on since a leader loaded while workers had no registry entry.
func TestJobsRunAfterWorkersLapseAtATakeover(t *testing.T) {
	t.Parallel()
	o := newOutage(t, 3)
	o.submitWaiting(t)
	var killed *daemon
	if i := o.leader(t); i >= 0 {
		o.daemons[i].stop(syscall.SIGKILL)
		killed = o.daemons[i]
	}
	var lapsed []string
	for i := range 16 {
		if i%4 != 3 {
			lapsed = append(lapsed, platformtest.Worker(i))
		}
	}
	o.platform.Log.SetFault(standin.LogFault{Refuse: true})
	o.platform.SetAway(lapsed, true)
	time.Sleep(2500*time.Millisecond + o.jitter(time.Second))
	o.platform.Log.SetFault(standin.LogFault{})
	time.Sleep(o.jitter(1500 * time.Millisecond))
	o.platform.SetAway(lapsed, false)
	if killed != nil {
		killed.start(t)
	}
	o.check(t)
}

// Guards against long-running tasks that have nothing running, with room for them, since their
// workers and the leader were lost at the same time.
func TestLongRunningTasksRestartAfterTheirWorkersAndLeaderAreLost(t *testing.T) {
	t.Parallel()
	o := newOutage(t, 3)
	i := o.leader(t)
	assert.Assert(t, i >= 0)
	time.Sleep(time.Second) // the state that the next leader loads has the runs
	o.observe()
	o.daemons[i].stop(syscall.SIGKILL)
	for n := range 3 {
		if id := o.platform.Fleet.WorkerOf(fmt.Sprint("00000000000000f1.0.0.", n)); id != "" {
			o.platform.Crash(id)
		}
	}
	o.daemons[i].start(t)
	o.check(t)
}

// Guards against a task that lasts and waits for leases that only an outage of the store explains: its worker was lost
// with the leader, which can't be asked any more.
func TestLastingTaskRunsAgainInTimeAfterItsWorkerAndLeaderAreLostForGood(t *testing.T) {
	t.Parallel()
	// maxWait is the users' limit: 3 s without a run from 6 s after the last one.
	const maxWait = 9 * time.Second
	o := newOutage(t, 3)
	time.Sleep(5*time.Second + o.jitter(3*time.Second))
	i := o.leader(t)
	assert.Assert(t, i >= 0)
	o.daemons[i].stop(syscall.SIGKILL)
	const task = "00000000000000f1.0.0.0"
	o.platform.Lose(o.platform.Fleet.WorkerOf(task))
	lost := time.Now()
	waitUntil(t, 2*maxWait, func() bool { return o.platform.Fleet.Running(task) })
	assert.Check(t, time.Since(lost) < maxWait, "no run for %v; logs: %s", time.Since(lost), keepLogs(t, o.daemons))
	assert.DeepEqual(t, o.platform.Fleet.Violations(), []string(nil))
}
