package claim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbshore/internal/platform"
	"rhubarbshore/internal/standin"
)

// fakeLog is an in-memory log. fault, if set, selects what happens to some appends.
type fakeLog struct {
	backing *standin.Platform
	mu      sync.Mutex
	fault   string
	appends int
	rng     *rand.Rand
}

func newFakeLog(fault string) *fakeLog {
	return &fakeLog{backing: standin.NewPlatform(standin.PlatformConfig{}), fault: fault, rng: rand.New(rand.NewPCG(1, 2))}
}

func (f *fakeLog) add(records [][]byte) int64 { return f.backing.Append(Stream, records) }

func (f *fakeLog) Append(_ context.Context, _ string, records [][]byte) (int64, error) {
	f.mu.Lock()
	f.appends++
	fault := f.fault
	chance := f.rng.IntN(2) == 0
	f.mu.Unlock()
	time.Sleep(2 * time.Millisecond)
	if fault != "" && chance {
		switch fault {
		case "out":
			return 0, platform.ErrUnavailable
		case "lost":
			f.add(records)
			return 0, platform.ErrUnsettled
		case "dropped":
			return 0, platform.ErrUnsettled
		case "late":
			go func() { time.Sleep(300 * time.Millisecond); f.add(records) }()
			return 0, platform.ErrUnsettled
		case "duplicate":
			f.add(records)
		}
	}
	return f.add(records), nil
}

func (f *fakeLog) Read(_ context.Context, _ string, from int64, limit int) (platform.Page, error) {
	time.Sleep(time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fault == "out" && f.rng.IntN(2) == 0 {
		return platform.Page{}, platform.ErrUnavailable
	}
	return f.backing.Read(Stream, from, limit), nil
}

// claimConcurrently has three owners claim the same keys repeatedly. It returns the
// owners that were reported for each key, and the number of appends.
func claimConcurrently(t *testing.T, fault string, skipReadBack bool) (owners map[string]map[string]bool, appends int) {
	log := newFakeLog(fault)
	ctx, cancel := context.WithCancel(t.Context())
	owners = map[string]map[string]bool{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for owner := range 3 {
		c := New(Config{Log: log, Owner: fmt.Sprint("owner", owner), Waiting: 100, Known: 1000, Keep: time.Hour})
		c.skipReadBack = skipReadBack
		go c.Run(ctx)
		for key := range 40 {
			wg.Go(func() {
				name := fmt.Sprint("key", key)
				for range 20 {
					won, err := c.Claim(ctx, name, time.Now().Add(time.Hour))
					if err == nil {
						mu.Lock()
						if owners[name] == nil {
							owners[name] = map[string]bool{}
						}
						owners[name][won.Owner] = true
						mu.Unlock()
					}
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
	}
	wg.Wait()
	cancel()
	synctest.Wait()
	return owners, log.appends
}

// TestOneOwnerForEachKey guards against two owners for one key. All owners must agree
// under every fault of the log; without reading claims back they disagree even without a
// fault.
func TestOneOwnerForEachKey(t *testing.T) {
	for _, fault := range []string{"", "out", "lost", "dropped", "late", "duplicate"} {
		t.Run("fault="+fault, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ownersByKey, appends := claimConcurrently(t, fault, false)
				assert.Equal(t, len(ownersByKey), 40)
				for key, owners := range ownersByKey {
					assert.Equal(t, len(owners), 1, "%s: %v", key, owners)
				}
				assert.Assert(t, appends < 60, "claims were not batched: %d appends for 120 claims", appends)
			})
		})
	}
	synctest.Test(t, func(t *testing.T) {
		ownersByKey, _ := claimConcurrently(t, "", true)
		split := 0
		for _, owners := range ownersByKey {
			if len(owners) > 1 {
				split++
			}
		}
		assert.Assert(t, split > 0, "owners should disagree if claims are not read back")
	})
}

// TestPace guards against exceeding the log's rate limit when claims arrive faster than a
// VM may append.
func TestPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog("")
		ctx, cancel := context.WithCancel(t.Context())
		c := New(Config{Log: log, Owner: "h", Waiting: 100, Known: 1000, Keep: time.Hour, Pace: func() time.Duration { return 180 * time.Millisecond }})
		go c.Run(ctx)
		var wg sync.WaitGroup
		for i := range 200 {
			wg.Go(func() {
				_, err := c.Claim(ctx, fmt.Sprint(i), time.Now().Add(time.Minute))
				assert.NilError(t, err)
			})
			time.Sleep(10 * time.Millisecond)
		}
		wg.Wait()
		assert.Assert(t, log.appends <= 13, "%d appends in two seconds", log.appends)
		cancel()
		synctest.Wait()
	})
}

func TestForgetsAfterKeep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog("")
		ctx, cancel := context.WithCancel(t.Context())
		c := New(Config{Log: log, Owner: "h", Waiting: 10, Known: 10, Keep: time.Minute})
		go c.Run(ctx)
		_, err := c.Claim(ctx, "k", time.Now().Add(time.Second))
		assert.NilError(t, err)
		time.Sleep(30 * time.Second)
		assert.Equal(t, c.Len(), 1)
		time.Sleep(time.Minute)
		assert.Equal(t, c.Len(), 0)
		cancel()
		synctest.Wait()
	})
}

// size returns the number of records ever appended.
func (f *fakeLog) size() int { return int(f.backing.Read(Stream, 0, 0).End) }

// claimAfterDrop claims a key and has the log drop that claim. It returns the results of
// the first claim, of its owner, and of a newly started VM: immediately, and after the
// claim can no longer matter.
func claimAfterDrop(t *testing.T, ignoreGaps bool) (first, old, early, late error) {
	log := newFakeLog("")
	ctx, cancel := context.WithCancel(t.Context())
	cfg := Config{Log: log, Owner: "old", Waiting: 10, Known: 100, Keep: time.Hour, Window: func() time.Duration { return time.Minute }}
	a := New(cfg)
	go a.Run(ctx)
	_, first = a.Claim(ctx, "k", time.Now().Add(time.Minute))
	for i := range 5 {
		_, err := a.Claim(ctx, fmt.Sprint("other", i), time.Now().Add(time.Minute))
		assert.NilError(t, err)
	}
	log.backing.Retain(Stream, 2)
	cfg.Owner = "new"
	b := New(cfg)
	b.ignoreGaps = ignoreGaps
	go b.Run(ctx)
	time.Sleep(time.Second)
	won, err := a.Claim(ctx, "k", time.Now().Add(time.Minute))
	assert.Equal(t, won.Owner, "old")
	old = err
	_, early = b.Claim(ctx, "k", time.Now().Add(time.Minute))
	if early != nil {
		// The remaining claims may not be the first ones of their keys.
		_, other := b.Claim(ctx, "other4", time.Now().Add(time.Minute))
		assert.ErrorIs(t, other, ErrGap)
	}
	time.Sleep(time.Hour + time.Minute + maxAppendDelay)
	_, late = b.Claim(ctx, "k", time.Now().Add(time.Minute))
	cancel()
	synctest.Wait()
	return first, old, early, late
}

func TestDroppedClaimsAreNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, old, early, late := claimAfterDrop(t, false)
		assert.NilError(t, first)
		assert.NilError(t, old)
		assert.ErrorIs(t, early, ErrGap)
		assert.NilError(t, late)
	})
}

// TestNoticingDroppedClaimsIsNeeded shows that a new VM claims the key a second time if
// it ignores the gap.
func TestNoticingDroppedClaimsIsNeeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, _, early, _ := claimAfterDrop(t, true)
		assert.NilError(t, early)
	})
}

// TestMarksTellWhatTheLogKeeps guards against a needless ErrGap on a stream without
// claims. After a day without claims, on a log with two hours of retention, a newly
// started VM can claim at once.
func TestMarksTellWhatTheLogKeeps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog("")
		ctx, cancel := context.WithCancel(t.Context())
		cfg := Config{Log: log, Owner: "old", Waiting: 10, Known: 100, Keep: time.Hour}
		for range 3 {
			go New(cfg).Run(ctx)
		}
		_, err := New(cfg).lookup("k")
		assert.ErrorIs(t, err, ErrUnavailable)
		sizes := []int{0}
		for range 24 {
			time.Sleep(time.Hour)
			sizes = append(sizes, log.size())
			log.backing.Retain(Stream, log.size()-sizes[max(0, len(sizes)-3)])
		}
		assert.Assert(t, log.size() > 24 && log.size() < 24*8, "%d markers", log.size())
		fresh := New(cfg)
		go fresh.Run(ctx)
		time.Sleep(time.Second)
		_, err = fresh.Claim(ctx, "k", time.Now().Add(time.Minute))
		assert.NilError(t, err)
		cancel()
		synctest.Wait()
	})
}
