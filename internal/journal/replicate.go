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
	ticker := time.NewTicker(replicateEvery)
	defer ticker.Stop()
	for {
		var waiting []chan struct{}
		select {
		case a := <-j.waiters.Items():
			waiting = append(waiting, a)
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for range j.waiters.Len() {
			waiting = append(waiting, <-j.waiters.Items())
		}
		j.runRound(ctx)
		for _, a := range waiting {
			a <- struct{}{}
		}
	}
}

// awaitRound waits for a round that begins after the call.
func (j *Journal) awaitRound(ctx context.Context) {
	reply := make(chan struct{}, 1)
	if j.waiters.Put(reply) != nil {
		metric.Refusal("journal", "waiting")
		return
	}
	select {
	case <-reply:
	case <-ctx.Done():
	}
}

// runRound brings the replicas on other VMs up to date and, if this VM leads, reads those
// that other VMs have.
func (j *Journal) runRound(ctx context.Context) {
	j.takeOverHeld()
	peers := j.cfg.Peers()
	peerUpdates := j.peerUpdates(peers, time.Now())
	var calls sync.WaitGroup
	for i, p := range peers {
		if u := peerUpdates[i]; u != nil {
			calls.Go(func() { j.send(ctx, p, u) })
		}
	}
	calls.Wait()
	j.prune()
}

// peerUpdates makes each peer's update, nil where there is nothing to tell or to ask.
func (j *Journal) peerUpdates(peers []Peer, now time.Time) []*rpc.ReplicaUpdate {
	j.mu.Lock()
	defer j.mu.Unlock()
	live := map[string]*peerState{}
	for _, p := range peers {
		s := j.peers[p.Name]
		if s == nil {
			s = &peerState{takenOver: map[string]uint64{}}
		}
		live[p.Name] = s
	}
	j.peers = live
	inSync := j.inSync()
	out := make([]*rpc.ReplicaUpdate, len(peers))
	for i, p := range peers {
		out[i] = j.peerUpdate(live[p.Name], i < replicaCount, inSync, now)
	}
	return out
}

// peerUpdate tells the peer what changed since it last answered. A VM that may have
// records stays one that is told, so that none is left with old ones.
func (j *Journal) peerUpdate(s *peerState, selected, inSync bool, now time.Time) *rpc.ReplicaUpdate {
	u := &rpc.ReplicaUpdate{Set: &rpc.ReplicaSet{Origin: j.cfg.Origin}, Read: j.leading && !s.replicasRead}
	if (selected || s.mayHold) && (j.behind(s) || j.refreshDue(s, now)) {
		j.fillUpdate(u, s)
		s.mayHold = true
		s.lastSent = now
	}
	if inSync {
		for origin, version := range s.takenOver {
			u.Taken = append(u.Taken, &rpc.ReplicaSet{Origin: origin, Version: version})
		}
	}
	if u.GetSet().GetVersion() == 0 && !u.GetRead() && len(u.GetTaken()) == 0 {
		return nil
	}
	return u
}

// fillUpdate lists the changes, or all records for a VM that has none. A whole set gets
// a version of its own, so that it is never taken for one that was sent before.
func (j *Journal) fillUpdate(u *rpc.ReplicaUpdate, s *peerState) {
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
	u.Set = newReplicaSet(j.cfg.Origin, j.version, records)
}

// behind reports whether the VM lacks a change.
func (j *Journal) behind(s *peerState) bool {
	for _, e := range j.entries {
		if e.version > s.acked {
			return true
		}
	}
	return false
}

// refreshDue reports whether the VM would soon forget records that it is to hold.
func (j *Journal) refreshDue(s *peerState, now time.Time) bool {
	return len(j.entries) > 0 && now.Sub(s.lastSent) > j.cfg.Keep/4
}

// inSync reports whether all VMs that hold records have the newest.
func (j *Journal) inSync() bool {
	for _, s := range j.peers {
		if s.mayHold && j.behind(s) {
			return false
		}
	}
	return true
}

// takeOverHeld has a VM that leads take over what it holds of other origins itself.
func (j *Journal) takeOverHeld() {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.leading {
		return
	}
	inSync := j.inSync()
	for _, in := range j.replicas.setsExcept(j.cfg.Origin) {
		if inSync && j.takenOver[in.GetOrigin()] >= in.GetVersion() {
			j.replicas.clear(in)
		}
		j.takeOver(in)
	}
}

// send carries one update out.
func (j *Journal) send(ctx context.Context, p Peer, u *rpc.ReplicaUpdate) {
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
		delete(s.takenOver, t.GetOrigin())
	}
	if !u.GetRead() {
		return
	}
	s.replicasRead = true
	for _, in := range state.GetSets() {
		s.takenOver[in.GetOrigin()] = in.GetVersion()
		j.takeOver(in)
	}
}

// takeOver makes the records of another origin this VM's own. A later version of
// the set replaces what came from an earlier one.
func (j *Journal) takeOver(in *rpc.ReplicaSet) {
	if j.takenOver[in.GetOrigin()] >= in.GetVersion() {
		return
	}
	j.takenOver[in.GetOrigin()] = in.GetVersion()
	j.newRecords = true
	records := decode(in.GetRecords())
	present := map[string]bool{}
	for _, r := range records {
		present[r.id()] = true
	}
	for id, e := range j.entries {
		if e.origin == in.GetOrigin() && !present[id] {
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
	minAcked := j.version
	for _, s := range j.peers {
		if s.mayHold {
			minAcked = min(minAcked, s.acked)
		}
	}
	for id, e := range j.entries {
		if e.settled && e.version <= minAcked {
			delete(j.entries, id)
		}
	}
}

// ackCount counts the VMs that have answered for the version.
func (j *Journal) ackCount(version uint64) int {
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

// allReplicasRead reports whether every live VM's replicas have been read.
func (j *Journal) allReplicasRead() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, s := range j.peers {
		if !s.replicasRead {
			return false
		}
	}
	return true
}
