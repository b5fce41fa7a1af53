package intake_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbshore/internal/catalog"
	"rhubarbshore/internal/intake"
	"rhubarbshore/internal/scheduler"
	"rhubarbshore/internal/standin"
	"rhubarbshore/internal/store"
)

// tracker is a LeaderTracker with a leader that the test sets.
type tracker struct {
	mu      sync.Mutex
	address string
	silent  bool
	changed chan struct{}
}

func (t *tracker) Leader() (string, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.address, t.changed
}

func (*tracker) Suspect(string) {}

func (t *tracker) Answers() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.silent
}

func (t *tracker) setLeader(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.changed)
	t.address, t.changed = address, make(chan struct{})
}

// leaders answer queries after a delay for each host and count the calls.
type leaders struct {
	mu    sync.Mutex
	delay map[string]time.Duration
	calls map[string]int
	reply intake.Reply
}

// RoundTrip implements http.RoundTripper.
func (l *leaders) RoundTrip(r *http.Request) (*http.Response, error) {
	l.mu.Lock()
	l.calls[r.URL.Host]++
	delay, reply := l.delay[r.URL.Host], l.reply
	l.mu.Unlock()
	select {
	case <-r.Context().Done():
		return nil, r.Context().Err()
	case <-time.After(delay):
	}
	data, err := json.Marshal(reply)
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(data)), Header: http.Header{}}, err
}

// admitKey admits calls under a configuration in which a customer's key allows jobs below /jobs/.
func admitKey(key string) func(context.Context, catalog.Origin, int64) (catalog.Admission, error) {
	snap := catalog.New(catalog.Config{
		Routes:    []catalog.Route{{Host: "h", Prefix: "/jobs/", Queue: scheduler.Queue{Name: "q"}}},
		Customers: []catalog.Customer{{Name: "c", Keys: []string{key}}},
	})
	return func(_ context.Context, o catalog.Origin, _ int64) (catalog.Admission, error) { return snap.Admit(o) }
}

// site is an intake with a simulated store, in virtual time.
type site struct {
	log     *standin.Log
	intake  *intake.Intake
	ctx     context.Context
	tracker *tracker
	leaders *leaders
	client  *http.Client
	// unconfirmed is set while the VM cannot know whether its configuration is in force.
	unconfirmed bool
	wg          sync.WaitGroup // goroutines that end with ctx
}

func run(t *testing.T, f func(s *site)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		log := standin.NewLog(standin.LogConfig{Latency: 4 * time.Millisecond, Seed: 1})
		watched := store.NewHealthTracker(log.View("vm"))
		s := &site{log: log, ctx: ctx, tracker: &tracker{changed: make(chan struct{})}, leaders: &leaders{delay: map[string]time.Duration{}, calls: map[string]int{}, reply: intake.Reply{Definite: true, Known: true, State: scheduler.Running}}}
		s.client = &http.Client{Transport: s.leaders}
		s.intake = intake.New(intake.Config{
			Log: watched, LeaderTracker: s.tracker, Client: s.client, Logger: slog.New(slog.DiscardHandler),
			LocalScheduler: func() intake.LocalScheduler { return nil }, Healthy: watched.Healthy, FailingFor: watched.FailingFor,
			Admit: admitKey("k"), CatalogConfirmed: func() bool { return !s.unconfirmed },
		})
		s.wg.Go(func() { s.intake.Run(ctx) })
		defer func() {
			cancel()
			s.wg.Wait()
		}()
		f(s)
	})
}

// submit submits a job and returns how long that took.
func (s *site) submit(id int) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(s.ctx, 3*time.Second)
	defer cancel()
	start := time.Now()
	job := scheduler.Job{ID: fmt.Sprintf("%016x", id), Customer: "c"}
	err := s.intake.Submit(ctx, job, catalog.Origin{Host: "h", Path: "/jobs/" + job.ID, Key: "k"})
	return time.Since(start), err
}

// stored reports whether the job is in the store.
func (s *site) stored(t *testing.T, id int) bool {
	t.Helper()
	key := fmt.Sprintf("%016x", id)
	records, _, err := s.log.View("test").Newest(s.ctx, intake.Stream(intake.PartOf(key)))
	assert.NilError(t, err)
	for _, r := range records {
		if r.Key == key {
			return true
		}
	}
	return false
}

func TestAcceptedJobsAreStored(t *testing.T) {
	run(t, func(s *site) {
		for id := range 20 {
			_, err := s.submit(id)
			assert.NilError(t, err)
			assert.Assert(t, s.stored(t, id))
		}
	})
}

// In a burst, jobs that arrive during an append must share the next one.
func TestBurstSharesAppends(t *testing.T) {
	run(t, func(s *site) {
		before := s.log.Calls()
		var wg sync.WaitGroup
		for id := range 400 {
			wg.Go(func() {
				_, err := s.submit(id)
				assert.Check(t, err == nil)
			})
		}
		wg.Wait()
		assert.Assert(t, s.log.Calls()-before < 60, "%d appends for 400 jobs", s.log.Calls()-before)
	})
}

// Guards against a burst of which half as many jobs share an append as intended, so that the last ones
// wait for twice as many appends: the limit counted records, of which a job has two.
func TestAppendTakesItsFullNumberOfJobs(t *testing.T) {
	const jobs, perAppend = 200, 100
	run(t, func(s *site) {
		before := s.log.Calls()
		var wg sync.WaitGroup
		for id, found := 0, 0; found < jobs; id++ {
			if intake.PartOf(fmt.Sprintf("%016x", id)) != 0 {
				continue
			}
			found++
			wg.Go(func() {
				_, err := s.submit(id)
				assert.Check(t, err)
			})
		}
		wg.Wait()
		appends := s.log.Calls() - before
		assert.Assert(t, appends <= 1+jobs/perAppend, "%d appends for %d jobs", appends, jobs) // the first may have a few
	})
}

// A job must be refused soon, and only if it was not stored and cannot be stored later.
func TestRefusalsAreTrue(t *testing.T) {
	run(t, func(s *site) {
		s.log.SetFault(standin.LogFault{Refuse: true})
		took, err := s.submit(1)
		var busy *intake.BusyError
		assert.Assert(t, errors.As(err, &busy))
		assert.Assert(t, took < 300*time.Millisecond, "took %s", took)
		time.Sleep(3 * time.Second)
		_, err = s.submit(2)
		assert.Assert(t, errors.As(err, &busy))
		assert.Assert(t, busy.RetryAfter >= 2*time.Second && busy.RetryAfter <= 4*time.Second, "come again after %s", busy.RetryAfter)
		s.log.SetFault(standin.LogFault{})
		time.Sleep(3 * time.Second)
		assert.Assert(t, !s.stored(t, 1))
		assert.Assert(t, !s.stored(t, 2))
	})
}

// An append without an answer may still be carried out later, so the job must not be refused.
func TestLostAnswersAreNoRefusals(t *testing.T) {
	run(t, func(s *site) {
		s.log.SetFault(standin.LogFault{LossRate: 1, Late: 5 * time.Second})
		took, err := s.submit(1)
		assert.ErrorIs(t, err, intake.ErrUncertain)
		assert.Assert(t, took < 2*time.Second, "took %s", took)
		s.log.SetFault(standin.LogFault{})
		time.Sleep(6 * time.Second)
		assert.Assert(t, s.stored(t, 1))
	})
}

// A repeated append that is answered must settle one whose answer was lost.
func TestRepeatSettlesALostAnswer(t *testing.T) {
	run(t, func(s *site) {
		s.log.SetFault(standin.LogFault{Silent: true})
		time.AfterFunc(500*time.Millisecond, func() { s.log.SetFault(standin.LogFault{}) })
		_, err := s.submit(1)
		assert.NilError(t, err)
		assert.Assert(t, s.stored(t, 1))
	})
}

// Jobs close to the largest record must share appends only within the size limit of an append.
func TestLargeJobsAreStored(t *testing.T) {
	run(t, func(s *site) {
		var wg sync.WaitGroup
		for id := range 60 {
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(s.ctx, 3*time.Second)
				defer cancel()
				err := s.intake.Submit(ctx, scheduler.Job{ID: fmt.Sprintf("%016x", id), Text: strings.Repeat("x", 200<<10)}, catalog.Origin{})
				assert.Check(t, err == nil, "%v", err)
			})
		}
		wg.Wait()
		assert.Assert(t, s.log.Largest() <= 2<<20, "an append of %d bytes", s.log.Largest())
		assert.ErrorIs(t, s.intake.Submit(s.ctx, scheduler.Job{ID: "x", Text: strings.Repeat("x", 300<<10)}, catalog.Origin{}), intake.ErrTooLarge)
	})
}

func TestQueriesEndWithTheirCaller(t *testing.T) {
	run(t, func(s *site) {
		ctx, cancel := context.WithTimeout(s.ctx, time.Second)
		defer cancel()
		_, err := s.intake.State(ctx, "x", "")
		var busy *intake.BusyError
		assert.Assert(t, errors.As(err, &busy))
		assert.ErrorIs(t, s.intake.Cancel(ctx, "x", ""), intake.ErrUncertain)
	})
}

// Queries to a slow leader must be answered without repeating them so often that the leader
// becomes slower still. Calls that were abandoned after 0.7 s and repeated once kept a leader
// busy for a whole day.
func TestLateLeaderIsAskedTwiceAtMost(t *testing.T) {
	run(t, func(s *site) {
		s.tracker.setLeader("a")
		s.leaders.delay["a"] = 1200 * time.Millisecond
		ctx, cancel := context.WithTimeout(s.ctx, 3*time.Second)
		defer cancel()
		state, err := s.intake.State(ctx, "x", "")
		assert.NilError(t, err)
		assert.Equal(t, state, scheduler.Running)
		assert.Assert(t, s.leaders.calls["a"] <= 2, "asked %d times", s.leaders.calls["a"])
	})
}

// A query to a leader that is gone must go to the next leader as soon as that is known.
func TestQueryFollowsTheLeader(t *testing.T) {
	run(t, func(s *site) {
		s.tracker.setLeader("a")
		s.leaders.delay["a"] = time.Hour
		time.AfterFunc(200*time.Millisecond, func() { s.tracker.setLeader("b") })
		start := time.Now()
		ctx, cancel := context.WithTimeout(s.ctx, 3*time.Second)
		defer cancel()
		_, err := s.intake.State(ctx, "x", "")
		assert.NilError(t, err)
		assert.Assert(t, time.Since(start) < 250*time.Millisecond, "took %s", time.Since(start))
	})
}
