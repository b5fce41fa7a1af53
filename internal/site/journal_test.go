package site

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbshore/internal/standin"
	"rhubarbshore/pkg/api"
)

// TestJobsOutliveTheirPlacer guards against jobs that are lost or run again when a zone's
// placers are killed one after the other while the log is unavailable. Every accepted job
// must run to its end exactly once, also after the log is back.
func TestJobsOutliveTheirPlacer(t *testing.T) { synctest.Test(t, testJobsOutliveTheirPlacer) }

func testJobsOutliveTheirPlacer(t *testing.T) {
	s, c, ctx := startSite(t)
	const zone = "si-a"
	for _, n := range []string{"vm8", "vm9"} {
		assert.NilError(t, s.StartVM(zone, zone+"-"+n))
	}
	assert.NilError(t, s.AwaitConfig(ctx, c, 1))
	c.Readdress(s.Addresses())
	submit := func(id string, cells, accelerators int, seconds float64) {
		status, err := c.Submit(ctx, api.Job{ID: id, Customer: "parishes", Zone: zone, Accelerators: accelerators, Cells: cells, Tasks: accelerators, Worth: 1, Seconds: seconds})
		assert.NilError(t, err)
		assert.Assert(t, status.Durable || status.Copies > 0, id)
	}
	submit("logged", 1, 8, 1)
	s.Platform.SetFault(standin.Fault{Unavailable: true})
	awaitJobFinished(ctx, t, c, "logged")
	for i := range 2 {
		submit(fmt.Sprint("quick", i), 1, 8, 1)
		awaitJobFinished(ctx, t, c, fmt.Sprint("quick", i))
		submit(fmt.Sprint("wide", i), 2, 64, 4)
		submit(fmt.Sprint("waits", i), 1, 64, 1)
		killPlacerVM(t, s, zone)
		c.Readdress(s.Addresses())
	}
	awaitJobFinished(ctx, t, c, "waits1")
	s.Platform.SetFault(standin.Fault{})
	for _, id := range []string{"wide0", "waits0", "wide1", "waits1"} {
		awaitJobFinished(ctx, t, c, id)
	}
	time.Sleep(2 * time.Second)
	runs := map[string]map[uint64]bool{}
	for _, span := range s.Spans() {
		if runs[span.Job] == nil {
			runs[span.Job] = map[uint64]bool{}
		}
		if span.Reason == "finished" {
			runs[span.Job][span.Generation] = true
		}
	}
	for id, generations := range runs {
		assert.Equal(t, len(generations), 1, id)
	}
	assert.Equal(t, len(runs), 7)
}

// killPlacerVM kills the zone's placer and waits for the next one.
func killPlacerVM(t *testing.T, s *Site, zone string) {
	t.Helper()
	name := awaitPlacer(t, s, zone)
	s.VMs[name].Kill()
	delete(s.VMs, name)
	awaitPlacer(t, s, zone)
}

// awaitPlacer waits until a running VM reports to be the zone's placer, and returns its
// name.
func awaitPlacer(t *testing.T, s *Site, zone string) string {
	t.Helper()
	for t.Context().Err() == nil {
		list, err := s.Client().VMs(t.Context())
		assert.NilError(t, err)
		for _, vm := range list.VMs {
			if vm.Zone == zone && vm.Placer && s.VMs[vm.Name] != nil {
				return vm.Name
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return ""
}
