package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"rhubarbshore/internal/scheduler"
)

// BenchmarkFlush measures a scheduling round in a full pool with a queue.
func BenchmarkFlush(b *testing.B) {
	for _, workers := range []int{50, 500, 2000} {
		b.Run(fmt.Sprint("workers=", workers), func(b *testing.B) {
			p := newPool(&testing.T{}, workers)
			p.hung = false
			p.submit("full", 1, "o", tasks(workers*8, 1))
			p.step(time.Millisecond)
			for i := range 100 {
				s := gang(i%8+1, int64(1)<<(i%4))
				s.Tight = i%2 == 0
				p.submit(fmt.Sprint("waits-", i), 1+i%2, "c", s)
				p.submit(fmt.Sprint("tasks-", i), 2, "c", tasks(16, 1))
			}
			p.step(time.Second)
			b.ResetTimer()
			for b.Loop() {
				p.now = p.now.Add(time.Millisecond)
				p.core.Report(p.now, scheduler.Report{Worker: workerID(0), Sent: p.now})
				p.core.SetPolicy(scheduler.Policy{}) // a change, without which Flush does not schedule
				p.core.Flush(p.now)
			}
		})
	}
}

// BenchmarkCheckStalls measures a check for stalled jobs, which a leader makes once a second, in a
// full pool with a queue.
func BenchmarkCheckStalls(b *testing.B) {
	for _, workers := range []int{50, 500, 2000} {
		b.Run(fmt.Sprint("workers=", workers), func(b *testing.B) {
			p := newPool(&testing.T{}, workers)
			p.submit("full", 1, "o", tasks(workers*8, 1))
			p.step(time.Millisecond)
			for i := range 200 {
				p.submit(fmt.Sprint("waits-", i), 2, "c", tasks(16, 1))
			}
			p.step(time.Second)
			b.ResetTimer()
			for b.Loop() {
				p.now = p.now.Add(time.Second)
				p.core.CheckStalls(p.now)
			}
		})
	}
}
