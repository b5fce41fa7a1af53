package capacity

import (
	"fmt"
	"os"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rhubarbshore/internal/cell"
	"rhubarbshore/internal/rapidtest"
)

func TestMain(m *testing.M) { os.Exit(rapidtest.Main(m)) }

// TestAcceleratorsGetTheirShare guards against jobs without accelerators that keep the
// shares of accelerators in use. Random placements, resizes and worker losses must never
// leave memory overcommitted after the evictions, nor processor limits above the
// remaining capacity.
func TestAcceleratorsGetTheirShare(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var rack cell.Rack
		for i := range rapid.IntRange(1, 6).Draw(rt, "workers") {
			rack.Workers = append(rack.Workers, cell.Worker{Name: fmt.Sprint("w", i), Accelerators: rapid.IntRange(0, 8).Draw(rt, "accelerators")})
		}
		a := New(Config{Racks: []cell.Rack{rack}, Each: Size{Cores: 30, Memory: 130}})
		gangs := map[string]bool{}
		rt.Repeat(map[string]func(*rapid.T){
			"place": func(rt *rapid.T) {
				id := fmt.Sprint("job", len(a.jobs), rapid.Uint16().Draw(rt, "id"))
				n := rapid.IntRange(1, 12).Draw(rt, "tasks")
				each := Size{Cores: float64(rapid.IntRange(0, 20).Draw(rt, "cores")), Memory: float64(rapid.IntRange(1, 60).Draw(rt, "memory"))}
				tasksByWorker, err := a.Place(id, n, each)
				sum := 0
				for name, k := range tasksByWorker {
					sum += k
					assert.Assert(rt, !a.workersByName[name].down && a.free(a.workersByName[name]).Cores >= -tolerance)
				}
				assert.Assert(rt, err != nil && sum == 0 || sum == n)
			},
			"take": func(rt *rapid.T) {
				w := a.workers[rapid.IntRange(0, len(a.workers)-1).Draw(rt, "worker")]
				if w.accelInUse < w.accelerators {
					id := fmt.Sprint("gang", len(gangs))
					gangs[id] = true
					a.HoldAccelerators(id, map[string]int{w.name: rapid.IntRange(1, w.accelerators-w.accelInUse).Draw(rt, "n")})
				}
			},
			"release": func(rt *rapid.T) {
				ids := sortedJobIDs(a)
				if len(ids) > 0 {
					a.Release(rapid.SampledFrom(ids).Draw(rt, "job"))
				}
			},
			"resize": func(rt *rapid.T) {
				ids := sortedJobIDs(a)
				if len(ids) > 0 {
					a.Resize(rapid.SampledFrom(ids).Draw(rt, "job"), Size{Cores: 1, Memory: float64(rapid.IntRange(0, 100).Draw(rt, "memory"))})
				}
			},
			"lose": func(rt *rapid.T) {
				w := rapid.SampledFrom(a.workers).Draw(rt, "worker")
				for _, id := range a.SetDown(w.name, !w.down) {
					a.Release(id)
				}
			},
			"": func(rt *rapid.T) {
				var names []string
				for _, w := range a.workers {
					names = append(names, w.name)
				}
				for _, id := range a.Evictions(names) {
					assert.Assert(rt, a.jobs[id].tasksByWorker != nil, "a job with accelerators is never evicted for memory")
					a.Release(id)
				}
				assert.NilError(rt, a.Check())
				for _, w := range a.workers {
					sum := 0.0
					for _, cores := range a.Limits(w.name) {
						sum += cores
					}
					assert.Assert(rt, sum <= a.each.Cores-a.acceleratorShare(w).Cores+tolerance)
				}
			},
		})
	})
}

func sortedJobIDs(a *Account) []string {
	var out []string
	for id := range a.jobs {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// BenchmarkPlace measures a placement on a zone that is half full.
func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{50, 500, 2000} {
		b.Run(fmt.Sprint("workers=", n), func(b *testing.B) {
			var rack cell.Rack
			for i := range n {
				rack.Workers = append(rack.Workers, cell.Worker{Name: fmt.Sprint("w", i), Accelerators: []int{0, 0, 8}[i%3]})
			}
			account := New(Config{Racks: []cell.Rack{rack}, Each: Size{Cores: 130, Memory: 250}})
			for i := range 6 * n {
				_, _ = account.Place(fmt.Sprint("old", i), 1, Size{Cores: 10, Memory: 20})
			}
			for b.Loop() {
				_, _ = account.Place("new", 20, Size{Cores: 4, Memory: 8})
				account.Release("new")
			}
		})
	}
}
