package placer

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbshore/internal/cell"
	"rhubarbshore/pkg/api"
)

// TestCancelledCallHasNoEffect calls a placer that doesn't process events until the
// caller's context has expired. A call that returned an error must not take effect
// later: orphans that were not returned must not be lost, and a job whose submission
// failed must not be accepted. With -race it also checks access to the results.
func TestCancelledCallHasNoEffect(t *testing.T) {
	p := New(Config{Zone: "a", VM: "vm", Logger: slog.New(slog.DiscardHandler)})
	p.leading = true
	p.orphans = []api.JobStatus{{Job: api.Job{ID: "orphan"}}}
	p.maxWaiting = map[string]int{"c": 1}
	p.layout = cell.Config{Racks: []cell.Rack{{Workers: []cell.Worker{{Name: "w", Accelerators: 1}}}}}
	p.reset()
	shortCtx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	assert.Equal(t, len(p.Orphans(shortCtx)), 0)
	_, err := p.Submit(shortCtx, api.Job{ID: "late", Customer: "c", Accelerators: 1})
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	go p.Run(t.Context())
	assert.Equal(t, len(p.Orphans(t.Context())), 1)
	list, err := p.Jobs(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(list.Jobs), 0)
}
