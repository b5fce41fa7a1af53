package operator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbshore/internal/catalog"
	"rhubarbshore/internal/operator"
	"rhubarbshore/internal/scheduler"
	"rhubarbshore/internal/standin"
	"rhubarbshore/internal/store"
)

const applyTime = 2 * time.Second

var configStream = store.Stream{Topic: "op"}

// logStore reads versions from a simulated log. The value of a record is the version.
type logStore struct {
	log *store.HealthTracker
	// limit, if positive, is the number of records that a read returns at most.
	limit atomic.Int64
	// asOf, if set, is when reads were sent that found nothing new and are answered now.
	asOf atomic.Pointer[time.Time]
}

func (s *logStore) Config(ctx context.Context) (catalog.Read, error) {
	askedAt := time.Now()
	records, end, err := s.log.Newest(ctx, configStream)
	read := catalog.Read{Extent: store.NewestExtent(askedAt, end)}
	for _, r := range records {
		read.Snapshot = decode(r)
	}
	return read, err
}

func (s *logStore) NextConfig(ctx context.Context, from int64, wait time.Duration) (catalog.Read, error) {
	if at := s.asOf.Load(); at != nil {
		return catalog.Read{Extent: store.Extent{AskedAt: *at, Next: from, End: from}}, nil
	}
	page, err := s.log.Read(ctx, configStream, from, wait)
	read := catalog.Read{Extent: page.Extent}
	if limit := s.limit.Load(); limit > 0 && int64(len(page.Records)) > limit {
		page.Records = page.Records[:limit]
		read.Extent.Next = from + limit
	}
	for _, r := range page.Records {
		read.Snapshot = decode(r)
	}
	return read, err
}

// decode returns a configuration with a route and a key that are named after the version.
func decode(r store.Record) *catalog.Snapshot {
	return catalog.New(catalog.Config{
		Offset:    r.Offset,
		Routes:    []catalog.Route{{Host: "h", Prefix: "/", Anonymous: false, Queue: scheduler.Queue{Name: string(r.Value)}}},
		Customers: []catalog.Customer{{Name: "c", Keys: []string{string(r.Value)}}},
	})
}

// vm is a VM with its own view of the log. It calls the leader, if there is one.
type vm struct {
	*operator.Follower
	store  *logStore
	leader *vm
}

func (v *vm) Leader() (string, <-chan struct{}) {
	if v.leader == nil {
		return "", nil
	}
	return "leader", nil
}
func (v *vm) Answers() bool { return true }

// RoundTrip implements http.RoundTripper.
func (v *vm) RoundTrip(r *http.Request) (*http.Response, error) {
	var in operator.AdmitRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		return nil, err
	}
	data, err := json.Marshal(v.leader.Answer(r.Context(), in))
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(data)), Header: http.Header{}}, err
}

// admit returns the version that admits a call with the key, and the error if none does.
func (v *vm) admit(key string) (string, error) {
	a, err := v.Admit(context.Background(), catalog.Origin{Host: "h", Path: "/x", Key: key})
	return a.Route.Queue.Name, err
}

// world is a log and VMs that follow its configuration, in virtual time.
type world struct {
	log     *standin.Log
	ctx     context.Context
	wg      sync.WaitGroup
	version int
}

func run(t *testing.T, f func(w *world)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := &world{log: standin.NewLog(standin.LogConfig{Latency: 4 * time.Millisecond, Seed: 1}), ctx: ctx}
		w.publish()
		f(w)
		cancel()
		w.wg.Wait()
	})
}

// publish publishes the next version and returns its key.
func (w *world) publish() string {
	w.version++
	w.log.Put(configStream, store.Record{Key: "config", Value: []byte(fmt.Sprint("v", w.version))})
	return fmt.Sprint("v", w.version)
}

// start starts a VM. Without a leader it decides by itself.
func (w *world) start(name string, leader *vm) *vm {
	log := store.NewHealthTracker(w.log.View(name))
	v := &vm{store: &logStore{log: log}, leader: leader}
	v.Follower = operator.New(operator.Config{
		Store: v.store, Redial: v.store, Health: log, Leader: v, Leads: func() bool { return leader == nil },
		Client: &http.Client{Transport: v}, ApplyTime: applyTime, Logger: slog.New(slog.DiscardHandler),
	})
	w.wg.Go(func() { v.Run(w.ctx) })
	time.Sleep(100 * time.Millisecond)
	return v
}

// Guards against a configuration that counts as the newest after a read that ended before the end of
// the log: the version that replaced it was already stored.
func TestReadThatEndsEarlyConfirmsNothing(t *testing.T) {
	run(t, func(w *world) {
		v := w.start("vm", nil)
		w.log.SetVMFault("vm", &standin.LogFault{Refuse: true})
		time.Sleep(applyTime) // no read waits for the next version any more
		w.publish()
		newest := w.publish()
		v.store.limit.Store(1)
		w.log.SetVMFault("vm", &standin.LogFault{Slow: 50 * time.Millisecond})
		for range 100 {
			version, err := v.admit(newest)
			if err == nil {
				assert.Equal(t, version, newest)
				return
			}
			assert.ErrorIs(t, err, operator.ErrUnconfirmed)
			time.Sleep(10 * time.Millisecond)
		}
		t.Error("the newest version is not in force")
	})
}

// Guards against a VM that the store does not serve and that goes on answering by its last version. Calls
// are admitted by the leader, or refused at once if it can't tell either.
func TestVMWithoutTheStoreAdmitsNothingByItself(t *testing.T) {
	run(t, func(w *world) {
		leader := w.start("leader", nil)
		v := w.start("vm", leader)
		old := fmt.Sprint("v", w.version)
		w.log.SetVMFault("vm", &standin.LogFault{Silent: true})
		time.Sleep(applyTime)
		newest := w.publish()
		time.Sleep(applyTime)
		_, err := v.admit(old)
		assert.ErrorIs(t, err, catalog.ErrKey)
		version, err := v.admit(newest)
		assert.NilError(t, err)
		assert.Equal(t, version, newest)

		w.log.SetVMFault("leader", &standin.LogFault{Refuse: true})
		time.Sleep(applyTime)
		start := time.Now()
		_, err = v.admit(newest)
		assert.ErrorIs(t, err, operator.ErrUnconfirmed)
		assert.Equal(t, time.Since(start), time.Duration(0))
	})
}

// Guards against a VM that goes back to an older version: the leader admitted a call under a newer one
// than it knows, and the answer to an earlier read comes only then.
func TestVMDoesNotGoBackBehindTheLeader(t *testing.T) {
	run(t, func(w *world) {
		leader := w.start("leader", nil)
		v := w.start("vm", leader)
		old := fmt.Sprint("v", w.version)
		w.log.SetVMFault("vm", &standin.LogFault{Silent: true})
		time.Sleep(2 * applyTime)
		asOf := time.Now()
		newest := w.publish()
		time.Sleep(100 * time.Millisecond)
		version, err := v.admit(newest)
		assert.NilError(t, err)
		assert.Equal(t, version, newest)
		v.store.asOf.Store(&asOf)
		for range 100 {
			_, err := v.admit(old)
			assert.Assert(t, err != nil, "a dropped key was accepted after the new one had been")
			time.Sleep(20 * time.Millisecond)
		}
	})
}

// Guards against versions that come into force too late while each answer of the store takes 0.4 s, and
// against calls that are refused then although the store answers.
func TestSlowStoreDelaysNoVersion(t *testing.T) {
	run(t, func(w *world) {
		v := w.start("vm", nil)
		w.log.SetFault(standin.LogFault{Slow: 400 * time.Millisecond})
		time.Sleep(applyTime)
		for range 20 {
			key := w.publish()
			time.Sleep(applyTime)
			version, err := v.admit(key)
			assert.NilError(t, err)
			assert.Equal(t, version, key)
		}
	})
}

// Guards against reads that pile up at a store that does not answer.
func TestSilentStoreIsAskedAtABoundedRate(t *testing.T) {
	run(t, func(w *world) {
		w.start("vm", nil)
		w.log.SetFault(standin.LogFault{Silent: true})
		time.Sleep(applyTime)
		before := w.log.Calls()
		time.Sleep(10 * time.Second)
		perSecond := (w.log.Calls() - before) / 10
		assert.Assert(t, perSecond <= 4, "%d calls a second", perSecond)
	})
}
