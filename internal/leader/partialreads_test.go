package leader_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"rhubarbshore/internal/intake"
	"rhubarbshore/internal/leader"
	"rhubarbshore/internal/scheduler"
	"rhubarbshore/internal/store"
)

// shortPages cuts pages at a number of records. Reads that wait for records are refused while it is
// enabled, as they may be late.
type shortPages struct {
	leader.Log
	enabled *atomic.Bool
}

// cutPageRecords is the number of records of a cut page: one job.
const cutPageRecords = 2

func (l shortPages) Read(ctx context.Context, s store.Stream, from int64, wait time.Duration) (store.Page, error) {
	if !l.enabled.Load() {
		return l.Log.Read(ctx, s, from, wait)
	}
	if wait > 0 {
		return store.Page{}, store.ErrRefused
	}
	page, err := l.Log.Read(ctx, s, from, wait)
	if len(page.Records) > cutPageRecords {
		page.Records, page.Next = page.Records[:cutPageRecords], from+cutPageRecords
	}
	return page, err
}

// jobsOfOnePart returns IDs of jobs of the same part.
func jobsOfOnePart(n int) (ids []int) {
	for i := 1; len(ids) < n; i++ {
		if intake.PartOf(fmt.Sprintf("%016x", i)) == 0 {
			ids = append(ids, i)
		}
	}
	return ids
}

// Guards against a job that runs although its cancelling was answered 410, as there were so many jobs
// before it in its stream that a read was cut before it.
func TestCancelBehindACutPageFindsItsJob(t *testing.T) {
	violations := run(t, 16, func(p *pool) {
		enabled := &atomic.Bool{}
		p.wrap = func(c leader.Config) leader.Config {
			c.Log = shortPages{c.Log, enabled}
			return c
		}
		p.elect()
		time.Sleep(time.Second)
		enabled.Store(true)
		time.Sleep(2 * time.Second) // reads in progress end
		ids := jobsOfOnePart(8)
		for _, i := range ids {
			p.submit(job(i, 1, step(1, 1)))
		}
		last := job(ids[len(ids)-1], 1).ID
		assert.NilError(t, p.cancelJob(last))
		time.Sleep(5 * time.Second)
		assert.Check(t, is.Equal(p.state(last), scheduler.Cancelled))
		enabled.Store(false)
		assert.Check(t, is.Len(p.waitForJobs(30*time.Second), 0))
	})
	assert.DeepEqual(t, violations, []string(nil))
}

// Guards against a count of waiting jobs that lacks those accepted more than five seconds ago, as their
// stream can't be read.
func TestCountOfUnreadJobsIsNotDefinite(t *testing.T) {
	violations := run(t, 1, func(p *pool) {
		broken := &atomic.Bool{}
		p.wrap = func(c leader.Config) leader.Config {
			c.Log = brokenStream{c.Log, intake.Stream(0), broken}
			return c
		}
		l := p.elect()
		p.submit(job(900, 1, step(1, 8)))
		time.Sleep(time.Second)
		broken.Store(true)
		time.Sleep(2 * time.Second) // reads in progress end
		for _, i := range jobsOfOnePart(6) {
			p.submit(job(i, 1, step(1, 8)))
		}
		time.Sleep(5 * time.Second)
		_, err := l.leader.Waiting(context.Background(), "q1")
		assert.Check(t, errors.Is(err, leader.ErrIndeterminate), "%v", err)
		broken.Store(false)
		time.Sleep(3 * time.Second)
		_, err = l.leader.Waiting(context.Background(), "q1")
		assert.NilError(t, err)
	})
	assert.DeepEqual(t, violations, []string(nil))
}
