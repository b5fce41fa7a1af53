package journal

import (
	"context"
	"sync"
	"time"

	"rhubarbshore/internal/metric"
	"rhubarbshore/internal/peer/rpc"
)

// replicate carries rounds out until ctx ends: one a second, and one as soon as
// somebody waits for it.
func (j *Journal) replicate(ctx context.Context) {
	ticker := time.NewTicker(roundEvery)
	defer ticker.Stop()
	for {
		var asked []chan struct{}
		select {
		case a := <-j.asks.Items():
			asked = append(asked, a)
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for range j.asks.Len() {
			asked = append(asked, <-j.asks.Items())
		}
		j.round(ctx)
		for _, a := range asked {
			a <- struct{}{}
		}
	}
}

// await waits for a round that begins after the call.
func (j *Journal) await(ctx context.Context) {
	reply := make(chan struct{}, 1)
	if j.asks.Put(reply) != nil {
		metric.Refusal("journal", "waiting")
		return
	}
	select {
	case <-reply:
	case <-ctx.Done():
	}
}

// round brings the replicas on other VMs up to date and, if this VM leads, reads those
// that other VMs have.
func (j *Journal) round(ctx context.Context) {
	j.takeHeld()
	peers := j.cfg.Peers()
	updates := j.updates(peers, time.Now())
	var calls sync.WaitGroup
	for i, p := range peers {
		if u := updates[i]; u != nil {
			calls.Go(func() { j.exchange(ctx, p, u) })
		}
	}
	calls.Wait()
	j.prune()
}

// updates makes each peer's update, nil where there is nothing to tell or to ask.
func (j *Journal) updates(peers []Peer, now time.Time) []*rpc.ReplicaUpdate {
	j.mu.Lock()
	defer j.mu.Unlock()
	live := map[string]*standing{}
	for _, p := range peers {
		s := j.peers[p.Name]
		if s == nil {
			s = &standing{taken: map[string]uint64{}}
		}
		live[p.Name] = s
	}
	j.peers = live
	inStep := j.inStep()
	out := make([]*rpc.ReplicaUpdate, len(peers))
	for i, p := range peers {
		out[i] = j.update(live[p.Name], i < copies, inStep, now)
	}
	return out
}

// update tells the peer what changed since it last answered. A VM that may have
// records stays one that is told, so that none is left with old ones.
func (j *Journal) update(s *standing, chosen, inStep bool, now time.Time) *rpc.ReplicaUpdate {
	u := &rpc.ReplicaUpdate{Set: &rpc.ReplicaSet{Origin: j.cfg.Origin}, Read: j.leading && !s.asked}
	if (chosen || s.tried) && (j.behind(s) || j.stale(s, now)) {
		j.fill(u, s)
		s.tried = true
		s.last = now
	}
	if inStep {
		for origin, version := range s.taken {
			u.Taken = append(u.Taken, &rpc.ReplicaSet{Origin: origin, Version: version})
		}
	}
	if u.GetSet().GetVersion() == 0 && !u.GetRead() && len(u.GetTaken()) == 0 {
		return nil
	}
	return u
}

// fill lists the changes, or all records for a VM that has none. A whole set gets
// a version of its own, so that it is never taken for one that was sent before.
func (j *Journal) fill(u *rpc.ReplicaUpdate, s *standing) {
	var records []Record
	if s.acked == 0 {
		j.version++
	}
	for id, e := range j.entries {
		switch {
		case e.version <= s.acked:
		case !e.settled:
			records = append(records, e.record)
			e.sent = true
		case s.acked > 0:
			u.Settled = append(u.Settled, id)
		}
	}
	u.Base = s.acked
	u.Set = set(j.cfg.Origin, j.version, records)
}

// behind reports whether the VM lacks a change.
func (j *Journal) behind(s *standing) bool {
	for _, e := range j.entries {
		if e.version > s.acked {
			return true
		}
	}
	return false
}

// stale reports whether the VM would soon forget records that it is to hold.
func (j *Journal) stale(s *standing, now time.Time) bool {
	return len(j.entries) > 0 && now.Sub(s.last) > j.cfg.Keep/4
}

// inStep reports whether all VMs that hold records have the newest.
func (j *Journal) inStep() bool {
	for _, s := range j.peers {
		if s.tried && j.behind(s) {
			return false
		}
	}
	return true
}

// takeHeld has a VM that leads take over what it holds of other origins itself.
func (j *Journal) takeHeld() {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.leading {
		return
	}
	inStep := j.inStep()
	for _, in := range j.replicas.others(j.cfg.Origin) {
		if inStep && j.taken[in.GetOrigin()] >= in.GetVersion() {
			j.replicas.clear(in)
		}
		j.takeOver(in)
	}
}

// exchange carries one update out.
func (j *Journal) exchange(ctx context.Context, p Peer, u *rpc.ReplicaUpdate) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	state, err := p.Replica.Replicate(ctx, u)
	if err != nil {
		metric.Retry("replicate")
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	s := j.peers[p.Name]
	if u.GetSet().GetVersion() > 0 {
		s.acked = state.GetVersion()
	}
	for _, t := range u.GetTaken() {
		delete(s.taken, t.GetOrigin())
	}
	if !u.GetRead() {
		return
	}
	s.asked = true
	for _, in := range state.GetSets() {
		s.taken[in.GetOrigin()] = in.GetVersion()
		j.takeOver(in)
	}
}

// takeOver makes the records of another origin this VM's own. A later version of
// the set replaces what came from an earlier one.
func (j *Journal) takeOver(in *rpc.ReplicaSet) {
	if j.taken[in.GetOrigin()] >= in.GetVersion() {
		return
	}
	j.taken[in.GetOrigin()] = in.GetVersion()
	j.news = true
	records := decode(in.GetRecords())
	still := map[string]bool{}
	for _, r := range records {
		still[r.id()] = true
	}
	for id, e := range j.entries {
		if e.from == in.GetOrigin() && !still[id] {
			j.drop(e)
		}
	}
	for _, r := range records {
		j.putLocked(r, in.GetOrigin())
	}
	metric.Add("journal_records_taken_over_total", float64(len(records)))
}

// prune forgets what is settled once all VMs know.
func (j *Journal) prune() {
	j.mu.Lock()
	defer j.mu.Unlock()
	known := j.version
	for _, s := range j.peers {
		if s.tried {
			known = min(known, s.acked)
		}
	}
	for id, e := range j.entries {
		if e.settled && e.version <= known {
			delete(j.entries, id)
		}
	}
}

// copiesOf counts the VMs that have answered for the version.
func (j *Journal) copiesOf(version uint64) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := 0
	for _, s := range j.peers {
		if s.acked >= version {
			n++
		}
	}
	return n
}

// askedAll reports whether every live VM's replicas have been read.
func (j *Journal) askedAll() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, s := range j.peers {
		if !s.asked {
			return false
		}
	}
	return true
}
