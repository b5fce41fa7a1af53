package config

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rhubarbshore/internal/platform"
	"rhubarbshore/internal/standin"
)

// fakeLog is a log in memory with a fault that hits about half of the calls; reads only
// fail if it is "out". It retains the last keep records, or all if keep is 0.
type fakeLog struct {
	backend *standin.Platform
	mu      sync.Mutex
	fault   string
	rng     *rand.Rand
}

func newFakeLog(fault string, keep int, rng *rand.Rand) *fakeLog {
	return &fakeLog{backend: standin.NewPlatform(standin.PlatformConfig{Keep: keep}), fault: fault, rng: rng}
}

func (f *fakeLog) commit(records [][]byte) int64 { return f.backend.Append(Stream, records) }

func (f *fakeLog) drawFault() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rng.IntN(2) == 0 {
		return ""
	}
	return f.fault
}

func (f *fakeLog) Append(_ context.Context, _ string, records [][]byte) (int64, error) {
	time.Sleep(time.Duration(f.drawLatency()) * time.Millisecond)
	switch f.drawFault() {
	case "out":
		return 0, platform.ErrUnavailable
	case "lost":
		f.commit(records)
		return 0, platform.ErrUnsettled
	case "dropped":
		return 0, platform.ErrUnsettled
	case "late":
		go func() { time.Sleep(8 * time.Second); f.commit(records) }()
		return 0, platform.ErrUnsettled
	}
	return f.commit(records), nil
}

func (f *fakeLog) drawLatency() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.IntN(20)
}

func (f *fakeLog) Read(_ context.Context, _ string, from int64, limit int) (platform.Page, error) {
	if f.drawFault() == "out" {
		return platform.Page{}, platform.ErrUnavailable
	}
	return f.backend.Read(Stream, from, limit), nil
}

// follower is a Store that records the number of each version that came into force.
type follower struct {
	*Store
	mu      sync.Mutex
	numbers []int64
	ids     map[int64]string
}

func startFollower(ctx context.Context, log Log, snapshotInterval time.Duration) *follower {
	f := &follower{ids: map[int64]string{}}
	f.Store = NewStore(StoreConfig{
		Log: log, Site: "si-a", Poll: 500 * time.Millisecond, SnapshotInterval: snapshotInterval, Logger: slog.New(slog.DiscardHandler),
		Applied: func(_ *Config, v Version) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.numbers = append(f.numbers, v.Number)
			f.ids[v.Number] = v.ID
		},
	})
	go f.Run(ctx)
	return f
}

// publishRace publishes changes at several stores concurrently, each based on the
// version in force at its store. It returns the IDs of the changes that were reported
// as accepted and as lost.
func publishRace(t *testing.T, stores []*follower, text string, rounds int) (won, lost map[string]bool) {
	won, lost = map[string]bool{}, map[string]bool{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i, s := range stores {
		wg.Go(func() {
			for round := range rounds {
				files := Files{Base: text + fmt.Sprintf("# store %d round %d\n", i, round), Overlays: map[string]string{"si-a": ""}}
				c := NewChange(fmt.Sprintf("%d-%d", i, round), "test", s.Version(), files)
				err := s.Publish(t.Context(), c)
				mu.Lock()
				won[c.ID] = err == nil
				lost[c.ID] = errors.Is(err, ErrLost)
				mu.Unlock()
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return won, lost
}

// TestRacingOperators guards against stores that disagree on the versions or their
// order or go back to an earlier one, and against operators who get a wrong result,
// when changes race and the log fails in various ways.
func TestRacingOperators(t *testing.T) {
	for _, fault := range []string{"", "out", "lost", "dropped", "late"} {
		t.Run("fault="+fault, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := newFakeLog(fault, 0, rand.New(rand.NewPCG(3, 4)))
				ctx, cancel := context.WithCancel(t.Context())
				var stores []*follower
				for range 4 {
					stores = append(stores, startFollower(ctx, log, time.Hour))
				}
				won, lost := publishRace(t, stores, base(t), 6)
				time.Sleep(30 * time.Second)
				accepted := 0
				for id, ok := range won {
					if ok {
						accepted++
						assert.Assert(t, stores[0].Accepted(id), "%s was reported as accepted", id)
					}
					assert.Assert(t, !lost[id] || !stores[0].Accepted(id), "%s was reported as lost", id)
				}
				assert.Assert(t, accepted > 0)
				cancel()
				synctest.Wait()
				for _, s := range stores {
					assert.DeepEqual(t, s.Version().ID, stores[0].Version().ID)
					for i, n := range s.numbers {
						assert.Equal(t, s.ids[n], stores[0].ids[n])
						assert.Assert(t, i == 0 || n > s.numbers[i-1], "went back: %v", s.numbers)
					}
				}
			})
		})
	}
}

// TestRetention guards against a configuration that is lost when the log drops its
// records: a store that starts later has to find it in a snapshot.
func TestRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog("", 12, rand.New(rand.NewPCG(5, 6)))
		ctx, cancel := context.WithCancel(t.Context())
		stores := []*follower{startFollower(ctx, log, 2*time.Second), startFollower(ctx, log, 2*time.Second)}
		for round := range 20 {
			publishRace(t, stores, base(t)+fmt.Sprintf("# %d\n", round), 1)
			time.Sleep(10 * time.Second)
		}
		lateReader := startFollower(ctx, log, 2*time.Second)
		time.Sleep(2 * time.Second)
		page, err := log.Read(ctx, Stream, 0, 1)
		assert.NilError(t, err)
		assert.Assert(t, page.First > 20, "records were dropped")
		assert.Equal(t, lateReader.Version().ID, stores[0].Version().ID)
		assert.Equal(t, lateReader.Version().Number, stores[0].Version().Number)
		cancel()
		synctest.Wait()
	})
}

// TestPeerVersionNeverGoesBack guards against an older version from a peer replacing a
// newer one when peers offer versions out of order.
func TestPeerVersionNeverGoesBack(t *testing.T) {
	s := NewStore(StoreConfig{Site: "si-a", Logger: slog.New(slog.DiscardHandler)})
	text := base(t)
	for _, upto := range []int64{5, 3, 7, 7, 6} {
		s.Offer(Version{ID: fmt.Sprint("v", upto), Number: upto, Upto: upto, Files: Files{Base: text}})
	}
	assert.Equal(t, s.Version().Upto, int64(7))
	_, number := s.Current()
	assert.Equal(t, number, int64(7))
}

// TestFoldFromAnySnapshot guards against readers that disagree: a reader that starts at
// a later record, from a snapshot, has to reach the same version as a reader of the
// whole stream.
func TestFoldFromAnySnapshot(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		v := Version{}
		var records []platform.Record
		history := []Version{v}
		add := func(data []byte) {
			r := platform.Record{Offset: int64(len(records)), Data: data}
			records = append(records, r)
			v = v.Fold(r.Offset, r.Data)
			history = append(history, v)
		}
		for i := range rapid.IntRange(1, 30).Draw(rt, "records") {
			from := history[rapid.IntRange(max(0, len(history)-4), len(history)-1).Draw(rt, "from")]
			if from.ID != "" && rapid.IntRange(0, 3).Draw(rt, "kind") == 0 {
				data, err := from.Snapshot().Encode()
				assert.NilError(rt, err)
				add(data)
				continue
			}
			data, err := NewChange(fmt.Sprint("c", i), "x", from, Files{Base: fmt.Sprint("text ", i, " of many")}).Encode()
			assert.NilError(rt, err)
			add(data)
		}
		first := int64(rapid.IntRange(0, len(records)).Draw(rt, "first"))
		got, ok := Load(records[first:], first)
		if ok {
			assert.DeepEqual(rt, got, v)
		}
	})
}

// TestParentRuleIsNeeded shows why a change must name the version in force as its parent.
// When two operators change the same version, the second change is rejected and its
// operator learns of it. Without the check it would undo the first change, which had
// been reported as in force.
func TestParentRuleIsNeeded(t *testing.T) {
	text := base(t)
	start := Version{ID: "v1", Upto: 1, Number: 1, Files: Files{Base: text}}
	var records [][]byte
	for _, c := range []Change{
		{ID: "share", Parent: "v1", Files: &Files{Base: text + "# share\n"}},
		{ID: "worth", Parent: "v1", Files: &Files{Base: text + "# worth\n"}},
	} {
		c.Sum = c.Files.checksum()
		data, err := c.Encode()
		assert.NilError(t, err)
		records = append(records, data)
	}
	for _, anyParent := range []bool{false, true} {
		first := start.fold(1, records[0], anyParent)
		second := first.fold(2, records[1], anyParent)
		assert.Equal(t, first.ID, "share")
		assert.Equal(t, second.ID == first.ID, !anyParent)
	}
}
