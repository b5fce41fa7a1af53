package placer

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbshore/internal/ledger"
	"rhubarbshore/pkg/api"
)

// urgentLimit is the required maximum delay until urgent work starts.
const urgentLimit = 6600 * time.Millisecond

// steps are the calls to a worker into which faults are injected.
var steps = []string{"fence", "hold", "start", "renew", "checkpoint", "stop"}

// faults are injected into each step:
//   - cut: no VM can reach the worker for 90 seconds
//   - lost: the call takes effect, but its answer is lost
//   - dropped: the call is lost
//   - late: the call takes effect only after the caller's timeout
//   - duplicate: the call takes effect a second time later
//   - slow: the call is delayed for a little less than the caller's timeout
//   - crash: the worker restarts before the call and forgets its leases and fence
//   - kill: the VM dies before the call, and another one takes over
//   - freeze: the VM is suspended for longer than a lease term, and another one takes over
//   - rival: another VM leads as well for three seconds
//   - failing: from now on all tasks fail on the worker and its checkpoints hang
var faults = []string{"cut", "lost", "dropped", "late", "duplicate", "slow", "crash", "kill", "freeze", "rival", "failing"}

const (
	testTerm            = time.Minute
	testDrift           = time.Second
	testRewriteInterval = 10 * time.Minute

	// dialTimeout is how long a call to an unreachable worker takes to fail.
	dialTimeout = 500 * time.Millisecond
)

// runResult is the result of one run of the scenario.
type runResult struct {
	// partial is the longest time for which a gang ran with only some of its members.
	partial time.Duration
	// overlap is the longest time for which two generations of a job ran together.
	overlap time.Duration
	// partialEarly is the time for which the urgent gang ran with only some of its
	// members although a hold had failed.
	partialEarly  time.Duration
	urgentDelay   time.Duration
	urgentStarted bool
	// incomplete are the jobs that did not run to their end.
	incomplete []string
	// unsafeErr is the first violation of a guarantee in a placer's tree.
	unsafeErr error
}

// spareJob returns a job that uses a quarter of the zone's accelerators.
func spareJob(id string) api.Job {
	return api.Job{ID: id, Customer: "c", Accelerators: 16, Cells: 1, Tasks: 16, Worth: 1, Seconds: 300, Class: "spare"}
}

// cpuJob returns a job that uses a quarter of the zone's processors and memory.
func cpuJob(id string) api.Job {
	return api.Job{ID: id, Customer: "c", Tasks: 2, Cores: 80, Memory: 160, Worth: 1, Seconds: 300}
}

// runScenario fills the zone with other work, then submits an urgent job that reclaims
// a guaranteed shape, and injects the faults on the way.
func (z *zone) runScenario(fill func(id string) api.Job, injections ...injection) runResult {
	z.injections = injections
	z.startVM("vm-first")
	time.Sleep(2 * time.Second)
	jobs := []string{"urgent"}
	for i := range 4 {
		jobs = append(jobs, fmt.Sprint("spare", i))
		z.submit(fill(jobs[i+1]))
	}
	time.Sleep(3 * time.Second)
	z.mu.Lock()
	z.armed = true
	z.mu.Unlock()
	asked := time.Now()
	z.submit(api.Job{ID: "urgent", Customer: "a", Accelerators: 16, Cells: 1, Tasks: 16, Worth: 9, Seconds: 120, Class: "guaranteed"})
	var result runResult
	for range 6000 {
		time.Sleep(200 * time.Millisecond)
		if err := z.checkGuarantees(); err != nil && result.unsafeErr == nil {
			result.unsafeErr = err
		}
		if at, ok := z.startTime("urgent", 2); ok && !result.urgentStarted {
			result.urgentStarted, result.urgentDelay = true, at.Sub(asked)
		}
		if result.incomplete = z.unfinished(jobs); len(result.incomplete) == 0 {
			break
		}
	}
	r := ledger.Compare(nil, nil, z.spans(), testTerm+testDrift, time.Now())
	result.partial, result.overlap = r.LongestPartial, r.LongestOverlap
	first := injections[0]
	if len(injections) == 1 && first.step == "hold" && !slices.Contains([]string{"crash", "freeze", "rival", "failing"}, first.fault) {
		result.partialEarly = ledger.Compare(nil, nil, z.spansOf("urgent"), 0, time.Now()).LongestPartial
	}
	return result
}

// unfinished returns the jobs of which not all members ran to their end.
func (z *zone) unfinished(jobs []string) []string {
	ends := map[string]int{}
	for _, s := range z.spans() {
		if s.Reason == "finished" {
			ends[fmt.Sprint(s.Job, "/", s.Generation)]++
		}
	}
	whole := map[string]bool{}
	for key, n := range ends {
		if n == 2 {
			whole[strings.Split(key, "/")[0]] = true
		}
	}
	var out []string
	for _, j := range jobs {
		if !whole[j] {
			out = append(out, j)
		}
	}
	return out
}

// violations lists the requirements that the run violated.
func (r runResult) violations() []string {
	var out []string
	if r.partial > testTerm+testDrift {
		out = append(out, fmt.Sprint("short ", r.partial))
	}
	if r.partialEarly > 0 {
		out = append(out, fmt.Sprint("started without all holds for ", r.partialEarly))
	}
	if r.overlap > 0 {
		out = append(out, fmt.Sprint("overlap ", r.overlap))
	}
	if r.unsafeErr != nil {
		out = append(out, r.unsafeErr.Error())
	}
	if len(r.incomplete) > 0 {
		out = append(out, fmt.Sprint("lost ", r.incomplete))
	}
	if r.urgentDelay > urgentLimit || !r.urgentStarted {
		out = append(out, fmt.Sprint("urgent after ", r.urgentDelay))
	}
	return out
}

func runFaults(t *testing.T, unsafe Unsafe, injections ...injection) runResult {
	return runFilled(t, unsafe, spareJob, injections...)
}

func runFilled(t *testing.T, unsafe Unsafe, fill func(id string) api.Job, injections ...injection) runResult {
	var result runResult
	synctest.Test(t, func(t *testing.T) {
		z := newZone(t, unsafe)
		result = z.runScenario(fill, injections...)
		z.shutDown()
	})
	return result
}

// TestMatrix injects every fault into every call that a placement makes, while spare
// work uses all accelerators.
func TestMatrix(t *testing.T) {
	t.Parallel()
	runMatrix(t, spareJob)
}

// TestMatrixCPUJobs is TestMatrix with CPU jobs that use all processors and memory.
func TestMatrixCPUJobs(t *testing.T) {
	t.Parallel()
	runMatrix(t, cpuJob)
}

func runMatrix(t *testing.T, fill func(id string) api.Job) {
	var mu sync.Mutex
	var table []string
	t.Run("cells", func(t *testing.T) {
		for _, step := range steps {
			for _, fault := range faults {
				t.Run(step+"/"+fault, func(t *testing.T) {
					t.Parallel()
					result := runFilled(t, Unsafe{}, fill, injection{step: step, fault: fault})
					bad := result.violations()
					mu.Lock()
					table = append(table, fmt.Sprintf("%-10s %-9s short %-8s urgent %-8s %s", step, fault, result.partial.Round(time.Millisecond), result.urgentDelay.Round(time.Millisecond), strings.Join(bad, "; ")))
					mu.Unlock()
					assert.Equal(t, len(bad), 0, strings.Join(bad, "; "))
				})
			}
		}
	})
	slices.Sort(table)
	t.Log("\n" + strings.Join(table, "\n"))
}

// TestMechanismsAreNeeded disables single mechanisms. The fence and the recheck after
// a pause each make up for a lack of the other, so the run passes with either of them.
// TestPausedPlacerWakes shows that it fails without both: there the outcome doesn't
// depend on the order of two calls made at the same instant.
func TestMechanismsAreNeeded(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name        string
		off         Unsafe
		fill        func(id string) api.Job
		step, fault string
		passes      bool
	}{
		{"fence alone", Unsafe{NoRecheck: true}, spareJob, "start", "freeze", true},
		{"recheck alone", Unsafe{NoFence: true}, spareJob, "checkpoint", "freeze", true},
		{"hold on", Unsafe{}, spareJob, "hold", "cut", true},
		{"hold off", Unsafe{NoHold: true}, spareJob, "hold", "cut", false},
		{"parts off", Unsafe{NoCPUEviction: true}, cpuJob, "start", "slow", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bad := runFilled(t, c.off, c.fill, injection{step: c.step, fault: c.fault}).violations()
			assert.Equal(t, len(bad) == 0, c.passes, strings.Join(bad, "; "))
		})
	}
}

// TestPausedPlacerWakes guards against a job that runs twice. A placer is frozen before
// its first hold for longer than a lease term, while the chosen worker is unreachable,
// so the next placer runs the job elsewhere. Then the old placer resumes and sends its
// hold to the worker, which is free again. The fence or the recheck after a pause must
// prevent the second run.
func TestPausedPlacerWakes(t *testing.T) {
	cases := []struct {
		name  string
		off   Unsafe
		twice bool
	}{
		{"both", Unsafe{}, false},
		{"fence alone", Unsafe{NoRecheck: true}, false},
		{"recheck alone", Unsafe{NoFence: true}, false},
		{"neither", Unsafe{NoFence: true, NoRecheck: true}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			overlap := pausedPlacerOverlap(t, c.off)
			assert.Equal(t, overlap > 0, c.twice, "overlap %s", overlap)
		})
	}
}

// pausedPlacerOverlap runs the scenario of TestPausedPlacerWakes and returns for how
// long two generations of the job ran together.
func pausedPlacerOverlap(t *testing.T, off Unsafe) time.Duration {
	var overlap time.Duration
	synctest.Test(t, func(t *testing.T) {
		z := newZone(t, off)
		z.injections = []injection{{step: "hold", fault: "freeze"}}
		z.armed = true
		first := z.startVM("vm-first")
		time.Sleep(2 * time.Second)
		j := api.Job{ID: "j", Customer: "c", Accelerators: 8, Cells: 1, Tasks: 8, Worth: 1, Seconds: 600, Class: "spare"}
		// Submit returns only after the pause.
		go func() { _, _ = first.placer.Submit(t.Context(), j) }()
		time.Sleep(time.Second)
		synctest.Wait()
		// The worker becomes reachable well before or after the renewal at the moment
		// when the placer resumes. The calls in flight resume slightly before the rest
		// of the process.
		z.cutOff(z.workerOf(first, j.ID), 40*time.Second)
		first.placer.post(func() { time.Sleep(2 * time.Second) })
		time.Sleep(10 * time.Second)
		z.submit(j)
		time.Sleep(20 * time.Minute)
		overlap = ledger.Compare(nil, nil, z.spans(), testTerm+testDrift, time.Now()).LongestOverlap
		z.shutDown()
	})
	return overlap
}

// workerOf returns the worker that the VM's placer has chosen for the job. It reads the
// placer's state directly, so the placer must be frozen.
func (z *zone) workerOf(v *vm, job string) string {
	workerNames := v.placer.jobs[job].workerNames
	assert.Equal(z.t, len(workerNames), 1)
	return workerNames[0]
}

// TestSweep runs the matrix with the mechanisms in the variable SWEEP disabled, and prints
// the runs that fail without them.
func TestSweep(t *testing.T) {
	if os.Getenv("SWEEP") == "" {
		t.Skip("set SWEEP to fence, hold, recheck or both")
	}
	unsafe := map[string]Unsafe{"fence": {NoFence: true}, "hold": {NoHold: true}, "recheck": {NoRecheck: true}, "both": {NoFence: true, NoRecheck: true}}[os.Getenv("SWEEP")]
	for _, step := range steps {
		for _, fault := range faults {
			if bad := runFaults(t, unsafe, injection{step: step, fault: fault}).violations(); len(bad) > 0 {
				fmt.Println(step, fault, strings.Join(bad, "; "))
			}
		}
	}
}

// pairCount is the default number of pairs of faults that TestMatrixPairs draws.
const pairCount = 60

// pairSeed is the seed of the drawn pairs.
const pairSeed = 7

// TestMatrixPairs injects two random faults into each run. The variable PAIRS sets the
// number of pairs. The limit on the start of urgent work holds for a single fault; with
// two, the work only has to start.
func TestMatrixPairs(t *testing.T) {
	t.Parallel()
	rng := rand.New(rand.NewPCG(pairSeed, pairSeed))
	n := pairCount
	if more, err := strconv.Atoi(os.Getenv("PAIRS")); err == nil {
		n = more
	}
	for range n {
		a := injection{step: steps[rng.IntN(len(steps))], fault: faults[rng.IntN(len(faults))]}
		b := injection{step: steps[rng.IntN(len(steps))], fault: faults[rng.IntN(len(faults))]}
		t.Run(fmt.Sprint(a.step, "-", a.fault, "+", b.step, "-", b.fault), func(t *testing.T) {
			t.Parallel()
			result := runFaults(t, Unsafe{}, a, b)
			if result.urgentStarted {
				result.urgentDelay = 0
			}
			bad := result.violations()
			assert.Equal(t, len(bad), 0, strings.Join(bad, "; "))
		})
	}
}

// TestJobsAreKeptAfterAnOutage guards against the loss of jobs accepted while the
// journal is down. More jobs are accepted than can run; they must be written once the
// journal is up again, so that the next placer knows them.
func TestJobsAreKeptAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(t, Unsafe{})
		first := z.startVM("vm-first")
		time.Sleep(10 * time.Second)
		z.journal.setDown(true)
		const n = maxWriteBatch + 30
		for i := range n {
			j := api.Job{ID: fmt.Sprint("j", i), Customer: "c", Accelerators: 32, Cells: 1, Tasks: 32, Worth: 1, Seconds: 3600, Class: "spare"}
			status, err := first.placer.Submit(t.Context(), j)
			assert.NilError(t, err)
			assert.Equal(t, status.Durable, false)
		}
		time.Sleep(time.Minute)
		z.journal.setDown(false)
		time.Sleep(10 * time.Second)
		status, err := first.placer.Submit(t.Context(), api.Job{ID: "j0", Customer: "c"})
		assert.NilError(t, err)
		assert.Equal(t, status.Durable, true)
		first.kill()
		next := z.startVM("vm-next")
		time.Sleep(time.Minute)
		list, err := next.placer.Jobs(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(list.Jobs), n)
		z.shutDown()
	})
}

// TestOpenJobsAreRewritten guards against the loss of a job that waits for longer than the
// log keeps its record. The job must be written again, even if placers change often.
func TestOpenJobsAreRewritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(t, Unsafe{})
		first := z.startVM("vm-first")
		for _, id := range []string{"runs", "waits"} {
			_, err := first.placer.Submit(t.Context(), api.Job{ID: id, Customer: "c", Accelerators: 32, Cells: 2, Worth: 1, Seconds: 1e6, Class: "spare"})
			assert.NilError(t, err)
		}
		time.Sleep(3*testRewriteInterval + time.Minute)
		z.journal.mu.Lock()
		z.journal.jobs = z.journal.jobs[2:]
		z.journal.mu.Unlock()
		assert.Assert(t, z.journal.writes("runs") > 0 && z.journal.writes("waits") > 0)
		written := z.journal.writes("waits")
		for i := range 3 {
			time.Sleep(testRewriteInterval / 2)
			first.kill()
			first = z.startVM(fmt.Sprint("vm-next", i))
		}
		time.Sleep(testRewriteInterval / 2)
		assert.Assert(t, z.journal.writes("waits") > written, "not written again when placers change often")
		z.shutDown()
	})
}

// TestSplitZone partitions a zone into two halves for minutes. Each half has a placer,
// and both grant the same guarantee. After the merge one of the two gangs must go on as
// spare work, and the other customers' guarantees must be reclaimable.
func TestSplitZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(t, Unsafe{})
		left := z.startVM("vm-left")
		left.setSplit("r1")
		right := z.startVM("vm-right")
		right.setSplit("r0")
		time.Sleep(15 * time.Second)
		for _, v := range z.all() {
			status, err := v.placer.Submit(t.Context(), api.Job{ID: "urgent-" + v.name, Customer: "a", Accelerators: 16, Cells: 1, Tasks: 16, Worth: 1, Class: "guaranteed"})
			assert.NilError(t, err)
			assert.Equal(t, status.State, api.Queued)
		}
		time.Sleep(3 * time.Minute)
		assert.Equal(t, z.runningByClass(left)["guaranteed"], 1)
		assert.Equal(t, z.runningByClass(right)["guaranteed"], 1)
		left.setSplit("")
		right.setSplit("")
		right.placer.SetLeading(false)
		z.passOrphans(right)
		time.Sleep(2 * time.Minute)
		assert.DeepEqual(t, z.runningByClass(left), map[string]int{"guaranteed": 1, "spare": 1})
		assert.NilError(t, z.checkGuarantees())
		r := ledger.Compare(nil, nil, z.spans(), 0, time.Now())
		assert.Equal(t, len(r.Faults), 0, "%v", r.Faults)
		assert.Equal(t, r.Gangs, 2)
		z.submit(api.Job{ID: "b", Customer: "b", Accelerators: 8, Cells: 1, Tasks: 8, Worth: 1, Seconds: 60, Class: "guaranteed"})
		time.Sleep(5 * time.Second)
		_, ok := z.startTime("b", 1)
		assert.Assert(t, ok)
		z.shutDown()
	})
}

// TestFaultPairRegressions runs the pairs of faults that failed in the past.
func TestFaultPairRegressions(t *testing.T) {
	t.Parallel()
	for _, p := range [][2]injection{
		{{step: "stop", fault: "cut"}, {step: "hold", fault: "dropped"}},
		{{step: "renew", fault: "rival"}, {step: "renew", fault: "crash"}},
		{{step: "checkpoint", fault: "rival"}, {step: "checkpoint", fault: "slow"}},
		{{step: "checkpoint", fault: "failing"}, {step: "checkpoint", fault: "failing"}},
	} {
		t.Run(p[0].step+"-"+p[0].fault+"+"+p[1].step+"-"+p[1].fault, func(t *testing.T) {
			bad := runFaults(t, Unsafe{}, p[0], p[1]).violations()
			assert.Equal(t, len(bad), 0, strings.Join(bad, "; "))
		})
	}
}
