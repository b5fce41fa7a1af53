package placer

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"rhubarbshore/internal/capacity"
	"rhubarbshore/internal/cell"
	"rhubarbshore/internal/worker"
	"rhubarbshore/pkg/api"
)

// BenchmarkJobs measures the memory that a placer needs for each gang and the size of
// the encoded lease.
func BenchmarkJobs(b *testing.B) {
	for _, n := range []int{50, 500, 1350} {
		b.Run(fmt.Sprintf("tasks=%d", 20*n), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				p := New(Config{VM: "vm", Zone: "z"})
				var lease []byte
				for i := range n {
					j := newJob(api.Job{ID: fmt.Sprintf("job-%032d", i), Customer: "c", Zone: "z", Accelerators: 2, Cells: 1, Tasks: 20, Worth: 1, Seconds: 3600}, "z")
					j.workerNames = []string{fmt.Sprint("z-r1-w", i), fmt.Sprint("z-r1-w", i+1)}
					j.refs = []worker.Part{{Cell: worker.Ref{Level: 1, Worker: j.workerNames[0]}}}
					for _, name := range j.workerNames {
						l := worker.Lease{Job: j.status.Job.ID, Generation: 1, Customer: "c", Class: "spare", Tasks: 20, Parts: j.refs, Members: j.workerNames, Accelerators: []int{0}, Since: time.Now()}
						j.members = append(j.members, member{name: name, lease: l})
						lease, _ = json.Marshal(l)
					}
					p.enqueue(j)
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/job")
				b.ReportMetric(float64(len(lease)), "B/lease")
				runtime.KeepAlive(p)
			}
		})
	}
}

// BenchmarkZone measures the memory that a placer without jobs needs for its workers and
// customers.
func BenchmarkZone(b *testing.B) {
	for _, s := range []struct{ workers, customers int }{{50, 4}, {500, 40}, {2000, 170}, {2000, 4}} {
		b.Run(fmt.Sprintf("workers=%d/customers=%d", s.workers, s.customers), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				layout := cell.Config{Levels: cell.Levels{Worker: 3, Rack: 5}, Racks: []cell.Rack{{Name: "r"}}}
				waiting := map[string]int{}
				for i := range s.workers {
					layout.Racks[0].Workers = append(layout.Racks[0].Workers, cell.Worker{Name: fmt.Sprint("w", i), Accelerators: 1 + i%2})
				}
				for c := range s.customers {
					waiting[fmt.Sprint("c", c)] = 100
					layout.Guarantees = append(layout.Guarantees, cell.Guarantee{Customer: fmt.Sprint("c", c), Level: 0, Count: 2})
				}
				runtime.GC()
				runtime.ReadMemStats(&before)
				p := New(Config{VM: "vm", Zone: "z"})
				p.layout, p.size, p.maxWaiting = layout, capacity.Size{Cores: 130, Memory: 250}, waiting
				for _, w := range layout.Racks[0].Workers {
					p.workers[w.Name] = &workerState{name: w.Name, down: true}
				}
				p.reset()
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(s.workers), "B/worker")
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1024, "KB")
				runtime.KeepAlive(p)
			}
		})
	}
}
