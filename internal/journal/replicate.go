package journal

import (
	"context"
	"sync"
	"time"

	"rhubarbshore/internal/metric"
	"rhubarbshore/internal/peer/rpc"
)

// replicate runs rounds until ctx ends: one every replicateEvery, and one as soon as a
// caller waits for it.
func (j *Journal) replicate(ctx context.Context) {
	ticker := time.NewTicker(replicateEvery)
	defer ticker.Stop()
	for {
		var waiting []chan struct{}
		select {
		case waiter := <-j.waiters.Items():
			waiting = append(waiting, waiter)
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for range j.waiters.Len() {
			waiting = append(waiting, <-j.waiters.Items())
		}
		j.runRound(ctx)
		for _, waiter := range waiting {
			waiter <- struct{}{}
		}
	}
}

// awaitRound waits for the end of a round that starts after the call.
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

// runRound updates the replicas on other VMs and, if this VM leads, takes over the
// replicas that other VMs hold.
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

// peerUpdates returns the update for each peer, nil where there is nothing to send or to
// request.
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

// peerUpdate returns the update with the changes since the version that the peer has
// acknowledged. A peer that may hold records is updated even if it is no longer selected,
// so that no VM is left with outdated records.
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

// fillUpdate adds the changes, or all records for a VM that has none. A complete set gets
// a new version, so that it can't be mistaken for one that was sent before.
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

// behind reports whether the VM has not acknowledged all changes.
func (j *Journal) behind(s *peerState) bool {
	for _, e := range j.entries {
		if e.version > s.acked {
			return true
		}
	}
	return false
}

// refreshDue reports whether the VM has to be sent an update before its replica expires.
func (j *Journal) refreshDue(s *peerState, now time.Time) bool {
	return len(j.entries) > 0 && now.Sub(s.lastSent) > j.cfg.Keep/4
}

// inSync reports whether all VMs that may hold records have acknowledged all changes.
func (j *Journal) inSync() bool {
	for _, s := range j.peers {
		if s.mayHold && j.behind(s) {
			return false
		}
	}
	return true
}

// takeOverHeld takes over the replicas of other origins that this VM holds itself, if it
// leads. It drops them once the VMs with its own replicas are in sync.
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

// send sends an update and records the peer's reply.
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

// takeOver adds the records of another origin to this VM's own. A later version of a set
// replaces the entries from an earlier one.
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

// prune deletes settled entries once all VMs that may hold them have been informed.
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

// ackCount returns the number of VMs that have acknowledged the version.
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

// allReplicasRead reports whether the replicas of every live VM have been read.
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
