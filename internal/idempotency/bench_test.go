package idempotency

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"rhubarbshore/pkg/api"
)

// heapInUse returns the bytes of the heap in use after a garbage collection.
func heapInUse() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkKeys measures the memory per key with a stored answer of 64 bytes.
func BenchmarkKeys(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("keys=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := heapInUse()
				t := NewTable(Limits{Keys: n, Bytes: n * 64})
				m, _ := NewMinter(Owner("vm", 1), nil)
				deadline := time.Now().Add(time.Hour)
				for range n {
					c, err := t.Begin(m.Mint(deadline), 1, deadline)
					if err != nil {
						b.Fatal(err)
					}
					c.Finish(api.Response{Outcome: api.Done, Body: make([]byte, 64)})
				}
				b.ReportMetric((heapInUse()-before)/float64(n), "B/key")
				runtime.KeepAlive(t)
			}
		})
	}
}

// BenchmarkFinish measures answering keys while the stored answers are at their size
// limit.
func BenchmarkFinish(b *testing.B) {
	for _, keys := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprint("keys=", keys), func(b *testing.B) {
			t := NewTable(Limits{Keys: keys + b.N, Bytes: 64 * 10})
			deadline := time.Now().Add(time.Hour)
			answer := func(i int) {
				c, err := t.Begin(fmt.Sprint("key", i), 1, deadline)
				if err != nil {
					b.Fatal(err)
				}
				c.Finish(api.Response{Outcome: api.Done, Body: make([]byte, 64)})
			}
			for i := range keys {
				answer(i)
			}
			b.ResetTimer()
			for i := range b.N {
				answer(keys + i)
			}
		})
	}
}
