package leader_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"rhubarbshore/internal/intake"
	"rhubarbshore/internal/leader"
	"rhubarbshore/internal/scheduler"
	"rhubarbshore/internal/store"
)

// replaceDescriptions overwrites the stored descriptions of a job and returns the function that restores
// them.
func (p *pool) replaceDescriptions(t *testing.T, id, value string) (restore func()) {
	t.Helper()
	stream := intake.Stream(intake.PartOf(id))
	records, _, err := p.log.View("test").Newest(context.Background(), stream)
	assert.NilError(t, err)
	var own []store.Record
	for _, r := range records {
		if intake.JobOf(r.Key) == id {
			own = append(own, r)
		}
	}
	assert.Assert(t, len(own) > 0)
	for _, r := range own {
		p.log.Put(stream, store.Record{Key: r.Key, Value: []byte(value)})
	}
	return func() {
		for _, r := range own {
			p.log.Put(stream, store.Record{Key: r.Key, Value: r.Value})
		}
	}
}

// assertRefused checks that calls for a job are refused at once, as nothing definite is known of it.
func (p *pool) assertRefused(t *testing.T, id string) {
	t.Helper()
	began := time.Now()
	_, stateErr := p.stateFor(id, "")
	for name, err := range map[string]error{"state": stateErr, "cancel": p.cancelJob(id)} {
		var busy *intake.BusyError
		assert.Check(t, errors.As(err, &busy) && busy.RetryAfter > 0, "%s: %v", name, err)
	}
	assert.Check(t, time.Since(began) < 100*time.Millisecond)
}

// Guards against an accepted job that is answered 410, as if it didn't exist: this version can't decode its
// description, which a later one has stored during a rolling update.
func TestUnreadableJobIsNotUnknown(t *testing.T) {
	for name, value := range map[string]string{
		"no JSON": `{"id":`, "other type": `{"id":"0000000000000001","steps":{}}`, "other ID": `{"id":"x"}`,
	} {
		t.Run(name, func(t *testing.T) {
			violations := run(t, 2, func(p *pool) {
				late := job(2, 1, step(1, 1))
				p.submit(job(1, 1, step(1, 1)))
				p.replaceDescriptions(t, job(1, 1).ID, value)
				p.elect()
				time.Sleep(time.Second)
				p.assertRefused(t, job(1, 1).ID)
				stream := intake.Stream(intake.PartOf(late.ID))
				p.log.Put(stream, store.Record{Key: late.ID, Value: []byte(value)})
				time.Sleep(time.Second)
				p.assertRefused(t, late.ID)
				assert.Check(t, is.Equal(p.fleet.Starts(), 0), "starts")
				p.submit(late)
				time.Sleep(6 * time.Second)
				assert.Check(t, is.Equal(p.state(late.ID), scheduler.Completed), "a readable submission came")
			})
			assert.DeepEqual(t, violations, []string(nil))
		})
	}
}

// Guards against work that is stopped as unknown, and then done again, since one leader between two others
// can't decode its job.
func TestRunsOfAnUnreadableJobGoOn(t *testing.T) {
	violations := run(t, 2, func(p *pool) {
		p.longTasks(20 * time.Second)
		p.elect()
		p.submit(job(1, 1, step(2, 4)))
		time.Sleep(2 * time.Second)
		restore := p.replaceDescriptions(t, job(1, 1).ID, "{")
		p.takeOver(time.Second)
		time.Sleep(8 * time.Second)
		restore()
		p.takeOver(time.Second)
		assert.Check(t, is.Len(p.waitForJobs(40*time.Second), 0))
		assert.Check(t, is.Equal(p.state(job(1, 1).ID), scheduler.Completed))
		assert.Check(t, is.Equal(p.fleet.Starts(), 2), "starts")
	})
	assert.DeepEqual(t, violations, []string(nil))
}

// Guards against work that is done twice, and a job that is answered as if it ran, since the stored outcome of the
// job or the state of one of its tasks can't be decoded: a later version has stored it.
func TestJobWithAnUnreadableStateDoesNotRun(t *testing.T) {
	for name, suffix := range map[string]string{"outcome": "", "task": ".0.0.0"} {
		t.Run(name, func(t *testing.T) {
			violations := run(t, 2, func(p *pool) {
				j := job(1, 1, step(2, 1))
				p.submit(j)
				p.log.Put(leader.Stream, store.Record{Key: j.ID + suffix, Value: []byte(`{"run":{},"state":{}}`)})
				p.elect()
				time.Sleep(2 * time.Second)
				p.assertRefused(t, j.ID)
				p.submit(j)
				time.Sleep(2 * time.Second)
				p.assertRefused(t, j.ID)
				assert.Check(t, is.Equal(p.fleet.Starts(), 0), "starts")
				p.log.Put(leader.Stream, store.Record{Key: j.ID + suffix})
				p.takeOver(time.Second)
				assert.Check(t, is.Len(p.waitForJobs(20*time.Second), 0))
				assert.Check(t, is.Equal(p.state(j.ID), scheduler.Completed))
			})
			assert.DeepEqual(t, violations, []string(nil))
		})
	}
}
