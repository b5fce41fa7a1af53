package election

import (
	"context"
	"encoding/json"
	"time"

	"rhubarbshore/internal/httpjson"
)

// record returns this VM's record as the leader.
func (m *Member) record() LeaderRecord {
	return LeaderRecord{VM: m.cfg.VM, Address: m.cfg.Address, Incarnation: m.incarnation, Cores: m.cfg.Cores}
}

// Identity identifies this run of the VM's process for EndedFor.
func (m *Member) Identity() string {
	return m.record().identity()
}

// identity identifies one run of the process of a VM, in the same way each time.
func (r LeaderRecord) identity() string {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // a plain struct can always be encoded
	}
	return string(value)
}

// EndedFor reports whether the process with the given identity certainly has ended, or the term in which
// it led, and how long ago, at least, it last granted a lease, on any worker and, unless it can't tell, on
// each of the given ones. The store must not accept writes of that term any more. A refused connection is
// no proof: a VM that is cut off may refuse connections.
func (m *Member) EndedFor(ctx context.Context, identity string, epoch int64, workers []string) (since time.Duration, each []time.Duration, ended bool) {
	var leader LeaderRecord
	if err := json.Unmarshal([]byte(identity), &leader); err != nil {
		m.cfg.Logger.Error("identity of an earlier leader not readable", "epoch", epoch, "error", err)
		return 0, nil, false
	}
	in := Ping{VM: m.cfg.VM, Address: m.cfg.Address, Epoch: epoch, Incarnation: leader.Incarnation, Workers: workers}
	if leader.VM == m.cfg.VM { // this process leads a later term, or has replaced that one
		since, each = m.sinceLastGrant(in)
		return since, each, true
	}
	pong, err := httpjson.Post[Ping, Pong](ctx, m.cfg.Client, "http://"+leader.Address+"/term", &in, nil)
	if err != nil {
		m.cfg.Logger.Debug("earlier leader did not answer", "leader", leader.VM, "epoch", epoch, "error", err)
		return 0, nil, false
	}
	if pong.VM != leader.VM || pong.Incarnation == leader.Incarnation && pong.Leading {
		return 0, nil, false
	}
	if len(pong.WorkersMS) == len(workers) { // not so in an answer of a version that does not tell
		for _, ms := range pong.WorkersMS {
			each = append(each, time.Duration(ms)*time.Millisecond)
		}
	}
	return time.Duration(pong.GrantedMS) * time.Millisecond, each, true
}

// sinceLastGrant returns how long ago, at least, the process and term of a question last granted a lease, on
// any worker and, unless that is unknown, on each of those that it names.
func (m *Member) sinceLastGrant(in Ping) (since time.Duration, each []time.Duration) {
	if in.Incarnation != m.incarnation {
		return time.Since(m.startedAt), nil
	}
	since, each, known := m.cfg.SinceLastGrant(in.Epoch, in.Workers)
	if !known {
		return 0, nil
	}
	return since, each
}

// HandleTerm answers a later leader whether this VM leads or is about to, and when it last granted leases in
// an earlier term.
func (m *Member) HandleTerm(in Ping) Pong {
	m.mu.Lock()
	leading := m.leading || m.leadPending()
	m.mu.Unlock()
	since, each := m.sinceLastGrant(in)
	out := Pong{VM: m.cfg.VM, Incarnation: m.incarnation, Leading: leading, GrantedMS: since.Milliseconds(), HeardMS: -1}
	for _, d := range each {
		out.WorkersMS = append(out.WorkersMS, d.Milliseconds())
	}
	return out
}

// sighting is the age that the term of a leader had reached when it answered this VM.
type sighting struct {
	epoch int64
	age   time.Duration
	at    time.Time
}

func (m *Member) recordSighting(pong Pong, now time.Time) {
	if pong.TermEpoch == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastSeen = sighting{pong.TermEpoch, time.Duration(pong.TermAgeMS) * time.Millisecond, now}
}

// LastSeen returns when the leader of an epoch last answered this VM, and the age that its term had
// reached before.
func (m *Member) LastSeen(epoch int64) (at time.Time, age time.Duration, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastSeen.at, m.lastSeen.age, m.lastSeen.epoch == epoch
}
