package cell

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"
)

// sizes lists zones of growing size. In the worst case one zone, and so one placer, has
// all workers.
var sizes = []struct{ workers, accelerators, customers int }{{50, 400, 4}, {500, 1200, 40}, {2000, 3200, 170}}

// mixedConfig returns a zone whose workers have 0 to 8 accelerators, with 25 workers to a
// rack.
func mixedConfig(workers, accelerators, customers int) Config {
	cfg := Config{Levels: Levels{Worker: 3, Rack: 6}, Rank: Rank{Lost: 1, Broken: 1}}
	left := accelerators
	for i := range workers {
		if i%25 == 0 {
			cfg.Racks = append(cfg.Racks, Rack{Name: fmt.Sprint("r", i/25)})
		}
		n := min(8, left, (left+workers-i-1)/(workers-i)+i%3)
		left -= n
		rack := &cfg.Racks[len(cfg.Racks)-1]
		rack.Workers = append(rack.Workers, Worker{Name: fmt.Sprint("w", i), Accelerators: n})
	}
	for c := range customers {
		cfg.Guarantees = append(cfg.Guarantees, Guarantee{Customer: fmt.Sprint("c", c), Order: c, Level: c % 3, Count: 2})
	}
	return cfg
}

// BenchmarkPlace measures one placement that reclaims a guaranteed shape from spare work,
// and its release.
func BenchmarkPlace(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("workers=%d/accelerators=%d/customers=%d", s.workers, s.accelerators, s.customers), func(b *testing.B) {
			t := NewTree(mixedConfig(s.workers, s.accelerators, s.customers))
			for i := range s.accelerators {
				_, _ = t.Place(Request{Job: fmt.Sprint("s", i), Customer: "x", Level: 0, Count: 1, Class: Spare, Since: baseTime}, baseTime)
			}
			now := baseTime.Add(time.Hour)
			var took []time.Duration
			b.ResetTimer()
			for i := range b.N {
				c := i % s.customers
				begun := time.Now()
				if _, err := t.Place(Request{Job: "g", Customer: fmt.Sprint("c", c), Level: c % 3, Count: 1, Class: Guaranteed}, now); err != nil {
					b.Fatal(err)
				}
				took = append(took, time.Since(begun))
				t.Release("g")
			}
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)*99/100].Nanoseconds()), "p99-ns")
		})
	}
}

// BenchmarkTree measures the memory use of a tree.
func BenchmarkTree(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("accelerators=%d", s.accelerators), func(b *testing.B) {
			cfg := mixedConfig(s.workers, s.accelerators, s.customers)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			t := NewTree(cfg)
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(s.accelerators), "B/accelerator")
			for range b.N {
				t.Summary()
			}
			runtime.KeepAlive(t)
		})
	}
}
