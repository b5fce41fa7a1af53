package placer

import (
	"sync"
	"time"

	"rhubarbshore/internal/metric"
	"rhubarbshore/internal/worker"
)

// gather is how long the first stop waits for others.
const batchDelay = 5 * time.Millisecond

// stopper merges the stops of one worker: those that come within a moment, or while
// a call is under way, go together with the next.
type stopBatcher struct {
	mu      sync.Mutex
	sending bool
	pending []*stopCall
}

// stopCall is one stop that waits for its answer.
type stopCall struct {
	client Worker
	fence  worker.Fence
	stop   worker.Stop
	done   chan error
}

// do stops one generation of a job on the worker and waits for the answer.
func (s *stopBatcher) submit(client Worker, f worker.Fence, stop worker.Stop) error {
	c := &stopCall{client: client, fence: f, stop: stop, done: make(chan error, 1)}
	metric.Count("placer_stops_total")
	s.mu.Lock()
	s.pending = append(s.pending, c)
	first := !s.sending
	s.sending = true
	s.mu.Unlock()
	if first {
		go s.drain()
	}
	return <-c.done
}

// drain sends what waits until nothing does.
func (s *stopBatcher) drain() {
	for {
		time.Sleep(batchDelay)
		batch := s.nextBatch()
		if len(batch) == 0 {
			return
		}
		sendBatch(batch)
	}
}

// take returns what waits under the fence of the first.
func (s *stopBatcher) nextBatch() []*stopCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	var batch, rest []*stopCall
	for _, c := range s.pending {
		if c.fence == s.pending[0].fence {
			batch = append(batch, c)
			continue
		}
		rest = append(rest, c)
	}
	s.pending = rest
	s.sending = len(batch) > 0
	return batch
}

// send carries one call out. Its answer holds for all stops in it.
func sendBatch(batch []*stopCall) {
	var all []worker.Stop
	for _, c := range batch {
		all = append(all, c.stop)
	}
	ctx, cancel := callContext(callTimeout)
	defer cancel()
	metric.Count("placer_stop_calls_total")
	err := batch[0].client.Stop(ctx, batch[0].fence, all)
	for _, c := range batch {
		c.done <- err
	}
}
