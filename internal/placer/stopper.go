package placer

import (
	"sync"
	"time"

	"rhubarbshore/internal/metric"
	"rhubarbshore/internal/worker"
)

// gather is how long the first stop waits for others.
const gather = 5 * time.Millisecond

// stopper merges the stops of one worker: those that come within a moment, or while
// a call is under way, go together with the next.
type stopper struct {
	mu      sync.Mutex
	busy    bool
	waiting []*stopCall
}

// stopCall is one stop that waits for its answer.
type stopCall struct {
	client Worker
	fence  worker.Fence
	stop   worker.Stop
	done   chan error
}

// do stops one generation of a job on the worker and waits for the answer.
func (s *stopper) do(client Worker, f worker.Fence, stop worker.Stop) error {
	c := &stopCall{client: client, fence: f, stop: stop, done: make(chan error, 1)}
	metric.Count("placer_stops_total")
	s.mu.Lock()
	s.waiting = append(s.waiting, c)
	first := !s.busy
	s.busy = true
	s.mu.Unlock()
	if first {
		go s.drain()
	}
	return <-c.done
}

// drain sends what waits until nothing does.
func (s *stopper) drain() {
	for {
		time.Sleep(gather)
		batch := s.take()
		if len(batch) == 0 {
			return
		}
		send(batch)
	}
}

// take returns what waits under the fence of the first.
func (s *stopper) take() []*stopCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	var batch, rest []*stopCall
	for _, c := range s.waiting {
		if c.fence == s.waiting[0].fence {
			batch = append(batch, c)
			continue
		}
		rest = append(rest, c)
	}
	s.waiting = rest
	s.busy = len(batch) > 0
	return batch
}

// send carries one call out. Its answer holds for all stops in it.
func send(batch []*stopCall) {
	var all []worker.Stop
	for _, c := range batch {
		all = append(all, c.stop)
	}
	ctx, cancel := call(callTimeout)
	defer cancel()
	metric.Count("placer_stop_calls_total")
	err := batch[0].client.Stop(ctx, batch[0].fence, all)
	for _, c := range batch {
		c.done <- err
	}
}
