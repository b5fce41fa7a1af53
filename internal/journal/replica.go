package journal

import (
	"sync"
	"time"

	"rhubarbshore/internal/peer/rpc"
)

// maxSets is the maximum number of origins whose records a VM holds.
const maxSets = 64

// replica is this VM's replica of one origin's records. It stays after the records have
// been dropped, so that a late update is recognized by its version.
type replica struct {
	version uint64
	// takenOver is set if another VM has taken the records over.
	takenOver bool
	records   map[string]Record
	expires   time.Time
}

// replicas holds the replicas of other VMs' records, by origin.
type replicas struct {
	mu   sync.Mutex
	ttl  time.Duration
	sets map[string]*replica
}

func newReplicas(ttl time.Duration) *replicas {
	return &replicas{ttl: ttl, sets: map[string]*replica{}}
}

// Replicate applies another VM's update and returns the reply. It is idempotent.
func (j *Journal) Replicate(u *rpc.ReplicaUpdate) *rpc.ReplicaState {
	origin := u.GetSet().GetOrigin()
	out := &rpc.ReplicaState{Version: j.replicas.update(u, time.Now())}
	for _, t := range u.GetTaken() {
		j.replicas.clear(t)
		j.relinquish(t)
	}
	if u.GetRead() {
		out.Sets = j.replicas.setsExcept(origin)
		if ownSet := j.ownSet(); ownSet != nil {
			out.Sets = append(out.Sets, ownSet)
		}
	}
	return out
}

// update applies an update that is complete or based on the held version, and returns
// the version for the origin to build upon.
func (r *replicas) update(u *rpc.ReplicaUpdate, now time.Time) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	in := u.GetSet()
	held := r.sets[in.GetOrigin()]
	if held == nil {
		if in.GetVersion() == 0 || u.GetBase() != 0 || len(r.sets) >= maxSets {
			return 0
		}
		held = &replica{records: map[string]Record{}}
		r.sets[in.GetOrigin()] = held
	}
	held.expires = now.Add(r.ttl)
	full := u.GetBase() == 0 && in.GetVersion() > held.version
	if !full && (held.takenOver || u.GetBase() != held.version) {
		return held.acked()
	}
	if full {
		held.records = map[string]Record{}
		held.takenOver = false
	}
	for _, id := range u.GetSettled() {
		delete(held.records, id)
	}
	for _, record := range decode(in.GetRecords()) {
		held.records[record.id()] = record
	}
	held.version = in.GetVersion()
	return held.version
}

// acked returns the version on which the origin can base its next update, or 0 if it has
// to send all records.
func (r *replica) acked() uint64 {
	if r.takenOver {
		return 0
	}
	return r.version
}

func (r *replicas) expire(now time.Time) {
	for origin, held := range r.sets {
		if now.After(held.expires) {
			delete(r.sets, origin)
		}
	}
}

// clear drops the records of an origin after another VM has taken them over.
func (r *replicas) clear(t *rpc.ReplicaSet) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if held := r.sets[t.GetOrigin()]; held != nil && held.version <= t.GetVersion() {
		held.records = map[string]Record{}
		held.takenOver = true
	}
}

// setsExcept returns the replicas of all origins except the given one.
func (r *replicas) setsExcept(origin string) []*rpc.ReplicaSet {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*rpc.ReplicaSet
	for name, held := range r.sets {
		if name == origin || len(held.records) == 0 {
			continue
		}
		var records []Record
		for _, in := range held.records {
			records = append(records, in)
		}
		out = append(out, newReplicaSet(name, held.version, records))
	}
	return out
}

// ownSet returns this VM's pending records as a replica set, or nil if there are none.
func (j *Journal) ownSet() *rpc.ReplicaSet {
	j.mu.Lock()
	defer j.mu.Unlock()
	records := j.pendingLocked()
	if len(records) == 0 {
		return nil
	}
	return newReplicaSet(j.cfg.Origin, j.version, records)
}

// relinquish drops this VM's entries after another VM has taken them over, unless this VM
// leads or has newer ones.
func (j *Journal) relinquish(t *rpc.ReplicaSet) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if t.GetOrigin() != j.cfg.Origin || t.GetVersion() != j.version || j.leading {
		return
	}
	for _, e := range j.entries {
		j.drop(e)
	}
}
