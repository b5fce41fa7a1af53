package leader_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"rhubarbshore/internal/intake"
	"rhubarbshore/internal/leader"
	"rhubarbshore/internal/scheduler"
	"rhubarbshore/internal/store"
)

// refusingDrops refuses calls that drop descriptions of jobs: the first ones, and all that are
// larger than a limit.
type refusingDrops struct {
	leader.Log
	limit int // bytes of keys in one call

	mu     sync.Mutex
	refuse int // calls still to refuse
}

func (r *refusingDrops) Append(ctx context.Context, s store.Stream, records []store.Record, o store.AppendOptions) (int64, error) {
	if s.Topic == intake.Stream(0).Topic && r.refuses(records) {
		return 0, store.ErrRefused
	}
	return r.Log.Append(ctx, s, records, o)
}

func (r *refusingDrops) refuses(records []store.Record) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	size := 0
	for _, record := range records {
		if len(record.Value) > 0 {
			return false
		}
		size += len(record.Key)
	}
	if r.refuse > 0 {
		r.refuse--
		return true
	}
	return r.limit > 0 && size > r.limit
}

// storedKeys returns the keys of a stream that belong to a job.
func (p *pool) storedKeys(t *testing.T, s store.Stream, id string) []string {
	t.Helper()
	records, _, err := p.log.View("test").Newest(context.Background(), s)
	assert.NilError(t, err)
	var keys []string
	for _, r := range records {
		if strings.HasPrefix(r.Key, id) {
			keys = append(keys, r.Key)
		}
	}
	return keys
}

// Guards against a completed job that a later leader runs again: a failed call that drops the
// description was not repeated, and the outcome was deleted after its retention all the same.
func TestCompletedJobStaysCompletedAfterFailedDrops(t *testing.T) {
	const retention = 10 * time.Second
	id := fmt.Sprintf("%016x", 1)
	description := intake.Stream(intake.PartOf(id))
	for _, failures := range []int{1, 6} { // the last drop fails after the retention
		t.Run(fmt.Sprint(failures, " failures"), func(t *testing.T) {
			violations := run(t, 2, func(p *pool) {
				p.wrap = func(c leader.Config) leader.Config {
					c.Scheduler.KeepEnded = retention
					c.Log = &refusingDrops{Log: c.Log, refuse: failures}
					return c
				}
				first := p.elect()
				p.submit(job(1, 1, step(1, 1)))
				assert.Check(t, is.Equal(len(p.waitForJobs(20*time.Second)), 0))
				assert.Check(t, is.Equal(p.state(id), scheduler.Completed))
				time.Sleep(retention + 2*time.Second)
				first.cancel()
				p.elect()
				time.Sleep(2 * time.Second)
				assert.Check(t, is.Equal(p.state(id), scheduler.Completed))
				// The retries succeed, and nothing stays in the store after the retention.
				time.Sleep(retention + time.Duration(failures+3)*5*time.Second)
				assert.Check(t, is.Equal(len(p.storedKeys(t, description, id)), 0))
				assert.Check(t, is.Equal(len(p.storedKeys(t, leader.Stream, id)), 0))
			})
			assert.DeepEqual(t, violations, []string(nil))
		})
	}
}

// Guards against drops of many descriptions in one call that the store rejects as too large each
// time it is repeated.
func TestDropsAreSplitAtTheLimitOfAnAppend(t *testing.T) {
	violations := run(t, 8, func(p *pool) {
		p.wrap = func(c leader.Config) leader.Config {
			c.MaxBatch = 100
			c.Log = &refusingDrops{Log: c.Log, limit: c.MaxBatch}
			return c
		}
		p.elect()
		for i := range 60 {
			p.submit(job(i+1, 1, step(1, 1)))
		}
		assert.Check(t, is.Equal(len(p.waitForJobs(60*time.Second)), 0))
		time.Sleep(20 * time.Second)
		for part := range intake.Parts {
			assert.Check(t, is.Equal(len(p.storedKeys(t, intake.Stream(part), "")), 0))
		}
	})
	assert.DeepEqual(t, violations, []string(nil))
}
