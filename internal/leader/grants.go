package leader

import (
	"context"
	"slices"
	"sync"
	"time"
)

// maxAskedWorkers limits the workers of which a leader asks when earlier ones granted the last lease.
const maxAskedWorkers = 512

// grantTimes has when a term last requested a lease, from any worker and from each.
type grantTimes struct {
	newest atomicTime
	mu     sync.Mutex
	byID   map[string]time.Time
}

func newGrantTimes() *grantTimes { return &grantTimes{byID: map[string]time.Time{}} }

// note records that a lease is requested from a worker.
func (g *grantTimes) note(id string, at time.Time) {
	g.newest.advance(at)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.byID[id] = later(g.byID[id], at)
}

// forget drops a worker on which no lease is in force.
func (g *grantTimes) forget(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.byID, id)
}

// since returns how long before a time the last lease was requested from each of the workers; maxTermAge if
// none was.
func (g *grantTimes) since(now time.Time, ids []string) []time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	each := make([]time.Duration, len(ids))
	for i, id := range ids {
		each[i] = maxTermAge
		if at, granted := g.byID[id]; granted {
			each[i] = now.Sub(at)
		}
	}
	return each
}

// SinceLastGrant returns how long ago the leader of a term in this process last requested a lease from any
// worker and from each of the given ones. It is known for the newest term only.
func (l *Leader) SinceLastGrant(epoch int64, ids []string) (since time.Duration, each []time.Duration, known bool) {
	t := l.last.Load()
	if t == nil || t.epoch != epoch {
		return 0, nil, false
	}
	now := l.cfg.Now()
	return now.Sub(later(t.grants.newest.get(), t.startedAt)), t.grants.since(now, ids), true
}

// endedTerm is an earlier term that is over, with when it last granted a lease at the latest.
type endedTerm struct {
	earlierTerm
	lastGrant time.Time
}

// askForGrants asks the leaders of earlier terms, which have ended, when they last granted a lease on each of
// the workers that have not answered this one, and posts that. It gives up at a limit.
func (t *term) askForGrants(ctx context.Context, terms []endedTerm, limit time.Time) {
	if !sleep(ctx, endCheckInterval) { // most workers answer within it
		return
	}
	asked := unclaimedEvent{make(chan []string, 1)}
	t.post(ctx, asked)
	var ids []string
	select {
	case <-ctx.Done():
		return
	case ids = <-asked.ids:
	}
	grants := map[string]time.Time{}
	for len(ids) > 0 && len(terms) > 0 && t.cfg.Now().Before(limit) {
		terms = slices.DeleteFunc(terms, func(e endedTerm) bool {
			callCtx, cancel := context.WithTimeout(ctx, endCheckTimeout)
			defer cancel()
			_, each, ended := t.cfg.EndedFor(callCtx, e.Leader, e.Epoch, ids)
			if !ended {
				return false
			}
			for i, id := range ids {
				at := e.lastGrant
				if len(each) == len(ids) { // otherwise the VM has restarted, or runs a version that does not tell
					at = earlier(at, t.remoteTime(each[i]))
				}
				grants[id] = later(grants[id], at)
			}
			return true
		})
		if len(terms) == 0 {
			t.post(ctx, earlierGrantsEvent{grants})
			return
		}
		if !sleep(ctx, endCheckInterval) {
			return
		}
	}
}

// sleep returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// unclaimedEvent asks for the workers with runs that have not answered this leader.
type unclaimedEvent struct{ ids chan []string }

func (unclaimedEvent) eventKind() eventKind { return kindEarlierEnded }

func (e unclaimedEvent) apply(t *term, now time.Time) {
	var ids []string
	for id, l := range t.links {
		if l.leases.Inherited() && now.Before(l.leases.Expires()) && t.core.HasRuns(id) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	e.ids <- ids[:min(len(ids), maxAskedWorkers)]
}

// earlierGrantsEvent has when earlier leaders last requested a lease from workers, at the latest.
type earlierGrantsEvent struct{ grants map[string]time.Time }

func (earlierGrantsEvent) eventKind() eventKind { return kindEarlierEnded }

func (e earlierGrantsEvent) apply(t *term, now time.Time) {
	t.earlierLeases.Granted(e.grants)
	_, sooner := t.learnEarlierLeases()
	t.cfg.Logger.Info("last leases of earlier leaders", "epoch", t.epoch, "after_ms", now.Sub(t.fencedAt).Milliseconds(),
		"workers", len(e.grants), "end_sooner", sooner)
}
