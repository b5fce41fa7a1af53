package placer

import (
	"sync"
	"time"

	"rhubarbshore/internal/metric"
	"rhubarbshore/internal/worker"
)

// batchDelay is how long a stop waits for others before it is sent.
const batchDelay = 5 * time.Millisecond

// stopBatcher batches the stops of one worker: those that arrive within batchDelay, or
// while a call is in flight, are sent together in the next call.
type stopBatcher struct {
	mu      sync.Mutex
	sending bool
	pending []*stopCall
}

// stopCall is a stop whose caller waits for the answer.
type stopCall struct {
	client Worker
	fence  worker.Fence
	stop   worker.Stop
	done   chan error
}

// submit stops one generation of a job on the worker and waits for the answer.
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

// drain sends batches until no stop is pending.
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

// nextBatch removes and returns the pending stops that have the fence of the first.
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

// sendBatch sends the stops in one call, whose answer applies to all of them.
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
