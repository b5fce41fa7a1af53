package journal

import (
	"sync"
	"time"

	"rhubarbshore/internal/peer/rpc"
)

// maxSets bounds the origins that a VM holds records of.
const maxSets = 64

// replica is what this VM holds of one origin. It outlives its records, so that a
// late update is known for what it is.
type replica struct {
	version uint64
	// takenOver is set if another VM has taken the records over.
	takenOver bool
	records   map[string]Record
	expires   time.Time
}

// replicas holds other VMs' records.
type replicas struct {
	mu   sync.Mutex
	ttl  time.Duration
	sets map[string]*replica
}

func newReplicas(ttl time.Duration) *replicas {
	return &replicas{ttl: ttl, sets: map[string]*replica{}}
}

// Replicate takes another VM's update in and answers it. It may be repeated.
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

// update applies the update if it fits what is held, and returns the version that
// is held then.
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
	for _, in := range decode(in.GetRecords()) {
		held.records[in.id()] = in
	}
	held.version = in.GetVersion()
	return held.version
}

// acked is the version that the origin may build upon, 0 if it has to send all.
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

// clear drops the records of an origin that another VM has taken over.
func (r *replicas) clear(t *rpc.ReplicaSet) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if held := r.sets[t.GetOrigin()]; held != nil && held.version <= t.GetVersion() {
		held.records = map[string]Record{}
		held.takenOver = true
	}
}

// setsExcept lists what is held of origins beside the given one.
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

// ownSet is the set of this VM's own records, nil if there are none.
func (j *Journal) ownSet() *rpc.ReplicaSet {
	j.mu.Lock()
	defer j.mu.Unlock()
	records := j.pendingLocked()
	if len(records) == 0 {
		return nil
	}
	return newReplicaSet(j.cfg.Origin, j.version, records)
}

// relinquish gives this VM's own records up once another VM has taken them over, unless
// it leads itself or there are newer ones.
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
