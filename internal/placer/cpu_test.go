package placer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbshore/internal/capacity"
	"rhubarbshore/internal/standin"
	"rhubarbshore/internal/worker"
	"rhubarbshore/pkg/api"
)

// limits returns the processor limits of the throttled jobs among plain0 to plain7.
func (z *zone) limits() []float64 {
	var out []float64
	for _, w := range z.workers {
		for i := range 8 {
			if cores, ok := w.Limit(fmt.Sprint("plain", i)); ok {
				out = append(out, cores)
			}
		}
	}
	return out
}

// TestThrottled starts a job on half of the accelerators of a worker whose processors
// are all used by a CPU job. Its memory suffices for both, so the CPU job must go on,
// throttled to half of the processors, and get them back afterwards.
func TestThrottled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(t, Unsafe{})
		z.startVM("vm-first")
		time.Sleep(2 * time.Second)
		for i := range 8 {
			z.submit(api.Job{ID: fmt.Sprint("plain", i), Customer: "c", Tasks: 1, Cores: 80, Memory: 10, Worth: 1, Seconds: 3600})
		}
		time.Sleep(3 * time.Second)
		assert.DeepEqual(t, z.limits(), []float64(nil))
		z.submit(api.Job{ID: "half", Customer: "c", Accelerators: 4, Cells: 1, Tasks: 4, Worth: 9, Seconds: 120, Class: "spare"})
		time.Sleep(time.Second)
		assert.DeepEqual(t, z.limits(), []float64{40})
		time.Sleep(3 * time.Minute)
		assert.DeepEqual(t, z.limits(), []float64(nil))
		assert.Equal(t, z.firstPlacer().reclaims, 0)
		z.shutDown()
	})
}

// TestThrottleOutlivesNoPlacer guards against a CPU job that stays throttled for ever.
// The placer dies after a job has released its accelerators, but before the worker got
// the new limits; the next placer must lift the limit.
func TestThrottleOutlivesNoPlacer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(t, Unsafe{})
		first := z.startVM("vm-first")
		time.Sleep(2 * time.Second)
		for i := range 8 {
			z.submit(api.Job{ID: fmt.Sprint("plain", i), Customer: "c", Tasks: 1, Cores: 80, Memory: 10, Worth: 1, Seconds: 3600})
		}
		time.Sleep(3 * time.Second)
		z.submit(api.Job{ID: "half", Customer: "c", Accelerators: 4, Cells: 1, Tasks: 4, Worth: 9, Seconds: 30, Class: "spare"})
		time.Sleep(20 * time.Second)
		assert.DeepEqual(t, z.limits(), []float64{40})
		for z.leasedAccelerators() > 0 {
			time.Sleep(time.Millisecond)
		}
		first.kill()
		assert.DeepEqual(t, z.limits(), []float64{40})
		z.startVM("vm-next")
		time.Sleep(time.Minute)
		assert.DeepEqual(t, z.limits(), []float64(nil))
		assert.Equal(t, z.maxJobsOnWorker(), 1)
		z.shutDown()
	})
}

// leasedAccelerators returns the number of leased accelerators.
func (z *zone) leasedAccelerators() int {
	n := 0
	for _, w := range z.workers {
		n += w.Busy()
	}
	return n
}

func (z *zone) firstPlacer() *Placer { return z.all()[0].placer }

// useMemory makes the workers report, with a delay of five seconds, that jobs use the
// given multiple of their declared memory.
func (z *zone) useMemory(ratio func(l worker.Lease) float64) {
	for name := range z.workers {
		z.workers[name] = standin.NewWorker(standin.WorkerConfig{
			Name: name, Accelerators: 8, Cores: 80, Memory: 160, Lag: 5 * time.Second,
			Use: func(l worker.Lease) (float64, float64) {
				n := float64(l.Spec.Tasks)
				return l.Cores * n, l.Memory * n * ratio(l)
			},
		})
	}
}

// TestUnderstatedMemory starts eight jobs that fit on one worker by their declared
// memory, but after a minute use three times that. Within 15 minutes no worker may run
// more jobs than its memory can hold.
func TestUnderstatedMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(t, Unsafe{})
		z.useMemory(func(l worker.Lease) float64 {
			if time.Since(l.Since) < time.Minute {
				return 1
			}
			return 3
		})
		z.startVM("vm-first")
		time.Sleep(2 * time.Second)
		for i := range 8 {
			z.submit(api.Job{ID: fmt.Sprint("plain", i), Customer: "c", Tasks: 1, Cores: 1, Memory: 20, Worth: 1, Seconds: 36000})
		}
		time.Sleep(3 * time.Second)
		assert.Equal(t, z.maxJobsOnWorker(), 8)
		time.Sleep(15 * time.Minute)
		assert.Equal(t, z.maxJobsOnWorker(), 2, "a worker of 160 GB holds two jobs of 60 GB")
		z.shutDown()
	})
}

// maxJobsOnWorker returns the highest number of jobs that run on one worker.
func (z *zone) maxJobsOnWorker() int {
	n := map[string]int{}
	most := 0
	for _, s := range z.spans() {
		if s.End.IsZero() {
			n[s.Worker]++
			most = max(most, n[s.Worker])
		}
	}
	return most
}

// TestLayoutAfterTakeover sets the layout again after a second placer has taken over
// running jobs. The jobs must still hold their accelerators and capacity.
func TestLayoutAfterTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(t, Unsafe{})
		first := z.startVM("vm-first")
		time.Sleep(2 * time.Second)
		z.submit(api.Job{ID: "gang", Customer: "c", Accelerators: 32, Cells: 1, Tasks: 32, Worth: 1, Seconds: 3600, Class: "spare"})
		z.submit(api.Job{ID: "plain", Customer: "c", Tasks: 8, Cores: 40, Memory: 80, Worth: 1, Seconds: 3600})
		time.Sleep(2 * time.Second)
		first.kill()
		p := z.startVM("vm-next").placer
		time.Sleep(30 * time.Second)
		for range 2 {
			var idle int
			var tasks float64
			assert.NilError(t, p.runSync(t.Context(), func() {
				idle = p.tree.Summary().Idle[0]
				for _, n := range p.account.Tasks("plain") {
					tasks += float64(n)
				}
			}))
			assert.Equal(t, idle, 32)
			assert.Equal(t, tasks, 8.0)
			p.SetLayout(z.layout, z.size, map[string]int{"a": 100, "b": 100, "c": 100})
		}
		z.shutDown()
	})
}

// TestSizesMeasured runs a random stream of CPU jobs whose customers declare up to eight
// times the memory that they use, or less than they use. Jobs must complete earlier on
// average if they are accounted by measured use than by declaration.
func TestSizesMeasured(t *testing.T) {
	t.Parallel()
	declared := measureSizes(t, Unsafe{NoUsage: true})
	measured := measureSizes(t, Unsafe{})
	t.Logf("mean completion: by declaration %s, by use %s; stopped for memory %d and %d", declared.mean, measured.mean, declared.stops, measured.stops)
	assert.Assert(t, measured.mean < declared.mean)
}

// finishTimes returns when each job whose members all ran to their end finished.
func (z *zone) finishTimes() map[string]time.Time {
	out, n := map[string]time.Time{}, map[string]int{}
	for _, s := range z.spans() {
		key := fmt.Sprint(s.Job, s.Generation)
		if s.Reason == "finished" {
			n[key]++
		}
		if n[key] == s.Members {
			out[s.Job] = s.End
		}
	}
	return out
}

type sizesResult struct {
	mean  time.Duration
	stops int
}

// measureSizes runs the stream of TestSizesMeasured.
func measureSizes(t *testing.T, unsafe Unsafe) sizesResult {
	var out sizesResult
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(5, 5))
		usedShare := map[string]float64{"a": 1. / 8, "b": 1. / 3, "c": 1.3}
		z := newZone(t, unsafe)
		z.useMemory(func(l worker.Lease) float64 { return usedShare[l.Customer] })
		p := z.startVM("vm-first").placer
		time.Sleep(2 * time.Second)
		const n = 100
		submitted := map[string]time.Time{}
		for i := range n {
			id := fmt.Sprint("plain", i)
			submitted[id] = time.Now()
			j := api.Job{
				ID: id, Customer: []string{"a", "b", "c"}[rng.IntN(3)], Tasks: 1 + rng.IntN(4), Cores: 1 + float64(rng.IntN(4)),
				Memory: 10 + float64(rng.IntN(30)), Worth: 1, Seconds: 600 + 3000*rng.Float64(),
			}
			status, err := p.Submit(t.Context(), j)
			assert.NilError(t, err)
			assert.Equal(t, status.State, api.Queued, status.Reason)
			time.Sleep(time.Duration(rng.ExpFloat64() * float64(10*time.Second)))
		}
		var sum time.Duration
		var finishTimes map[string]time.Time
		for len(finishTimes) < n {
			time.Sleep(10 * time.Minute)
			finishTimes = z.finishTimes()
		}
		for id, at := range finishTimes {
			sum += at.Sub(submitted[id])
		}
		out = sizesResult{mean: (sum / n).Round(time.Second), stops: p.reclaims}
		z.shutDown()
	})
	return out
}

// TestAccount submits and cancels random jobs with and without accelerators, and checks
// the consistency of the account after each step.
func TestAccount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(t, Unsafe{})
		p := z.startVM("vm-first").placer
		time.Sleep(2 * time.Second)
		rng := rand.New(rand.NewPCG(6, 6))
		for i := range 120 {
			j := api.Job{ID: fmt.Sprint("j", i), Customer: []string{"a", "b", "c"}[rng.IntN(3)], Tasks: 1 + rng.IntN(6), Worth: 1, Seconds: 300 * rng.Float64()}
			if rng.IntN(2) == 0 {
				j.Cores, j.Memory = float64(rng.IntN(30)), 1+float64(rng.IntN(90))
			} else {
				j.Accelerators, j.Cells = 1<<rng.IntN(5), 1
			}
			z.submit(j)
			if rng.IntN(4) == 0 {
				_, _ = p.Cancel(t.Context(), fmt.Sprint("j", rng.IntN(i+1)))
			}
			time.Sleep(time.Duration(rng.IntN(10)) * time.Second)
			assert.NilError(t, p.runSync(t.Context(), func() {
				if err := p.account.Check(); err != nil && !slices.Contains([]error{capacity.ErrOvercommitted}, err) {
					t.Error(err)
				}
			}))
		}
		time.Sleep(time.Hour)
		assert.Equal(t, z.maxJobsOnWorker(), 0)
		assert.NilError(t, p.runSync(t.Context(), func() {
			assert.NilError(t, p.account.Check())
			assert.Equal(t, len(p.pendingStops), 0, "pending stops of jobs that have ended")
		}))
		z.shutDown()
	})
}
