package scheduler_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbshore/internal/scheduler"
)

// Guards against a task on a worker without its label or of another service: it had reserved capacity there,
// and the worker came back as another kind before that became free.
func TestReservationDoesNotOutliveTheKindOfItsWorker(t *testing.T) {
	for name, change := range map[string]func(w *scheduler.Worker){
		"label":   func(w *scheduler.Worker) { w.Labels[0] = "b" },
		"service": func(w *scheduler.Worker) { w.Service = "other" },
	} {
		t.Run(name, func(t *testing.T) {
			p := newPool(t, 0)
			p.core.UpdateWorker(p.now, rebornWorker("a", bornFirst))
			p.reportFrom(bornFirst)
			low, urgent := tasks(1, 8), tasks(1, 8)
			urgent.Label = "a"
			p.submit("low", 1, "c", low)
			started := p.reportFrom(bornFirst).Starts
			assert.Equal(t, len(started), 1)
			p.core.StartAnswered(p.now, workerID(0), "low.0.0.0", 1, scheduler.Accepted)
			p.reportFrom(bornFirst, scheduler.RunningTask{Task: "low.0.0.0", Run: 1, Percent: 1})
			p.submit("urgent", 0, "c", urgent)
			stops := 0
			for i := range 100 {
				stops += len(p.reportFrom(bornFirst, scheduler.RunningTask{Task: "low.0.0.0", Run: 1, Percent: float64(2 + i)}).Stops)
				if stops > 0 {
					break
				}
			}
			assert.Equal(t, stops, 1, "capacity is reserved by preemption")

			next := rebornWorker("a", bornLater)
			change(&next)
			p.core.UpdateWorker(p.now, next)
			for range 3 {
				for _, s := range p.reportFrom(bornLater).Starts {
					assert.Assert(t, s.Task != "urgent.0.0.0", "started on a worker that does not fit it")
				}
			}
		})
	}
}
