package peer

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbshore/internal/peer/rpc"
)

// Peer is another VM with a client to call it.
type Peer struct {
	Info   *rpc.Member
	Client rpc.Peer
	Heard  time.Time
}

// Live returns the VMs of a zone that accept new work, the most recently heard one
// first. In this VM's zone these are the VMs that were heard recently, in other zones
// those not known to have left or failed.
func (m *Members) Live(zone string) []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	var out []Peer
	for _, name := range m.names() {
		v := m.members[name]
		if v.info.GetZone() != zone || v.info.GetState() != Alive {
			continue
		}
		if v.info.GetIncarnation() == 0 || m.isSuspect(v, now) {
			continue
		}
		out = append(out, Peer{Info: v.info, Client: v.client, Heard: v.lastHeard})
	}
	sort.SliceStable(out, func(i, k int) bool { return out[i].Heard.After(out[k].Heard) })
	return out
}

// isSuspect reports whether a VM seems to have failed. In this VM's zone the permitted
// silence is short for a VM that claims the leadership, which is heard often, and longer
// for the others. In another zone a single failed call is enough.
func (m *Members) isSuspect(v *member, now time.Time) bool {
	if v.info.GetZone() != m.cfg.Self.Zone {
		return v.failures > 0
	}
	timeout := suspectFactor * m.cfg.Suspect
	if v.info.GetSummary() != nil {
		timeout = m.cfg.Suspect
	}
	return v.failures >= suspectFailures || now.Sub(v.lastHeard) > timeout
}

// All returns all known VMs except this one.
func (m *Members) All() []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Peer
	for _, name := range m.names() {
		v := m.members[name]
		out = append(out, Peer{Info: v.info, Client: v.client, Heard: v.lastHeard})
	}
	return out
}

// Zones returns the zones that have VMs, this VM's zone first.
func (m *Members) Zones() []string {
	out := []string{m.cfg.Self.Zone}
	for _, p := range m.All() {
		if p.Info.GetState() != Gone && !slices.Contains(out, p.Info.GetZone()) {
			out = append(out, p.Info.GetZone())
		}
	}
	return out
}

// Serving returns the VM that is responsible for the keys of an owner.
func (m *Members) Serving(owner string) (Peer, bool) {
	for _, p := range m.All() {
		if p.Info.GetState() != Gone && slices.Contains(p.Info.GetOwners(), owner) {
			return p, true
		}
	}
	return Peer{}, false
}

// Heard reports whether this VM has heard of the given incarnation of a VM or of a later
// one. Until then it can't tell whether that process has ended; nor can it after it has
// forgotten a VM that is still listed.
func (m *Members) Heard(name string, incarnation int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	last := m.forgotten[name]
	if name == m.cfg.Self.Name {
		last = m.cfg.Self.Incarnation
	}
	if v := m.members[name]; v != nil {
		last = v.info.GetIncarnation()
	}
	return last >= incarnation
}

// Placer returns the name of the VM that should hold a zone's leadership: the live VM
// with the highest rendezvous weight.
func (m *Members) Placer(zone string) string {
	best, bestWeight := "", uint64(0)
	consider := func(name string) {
		if w := weight(zone, name); best == "" || w > bestWeight {
			best, bestWeight = name, w
		}
	}
	if zone == m.cfg.Self.Zone && m.Self().GetState() == Alive {
		consider(m.cfg.Self.Name)
	}
	for _, p := range m.Live(zone) {
		consider(p.Info.GetName())
	}
	return best
}

// weight returns the rendezvous weight of a VM for the leadership of its zone.
func weight(zone, name string) uint64 { return xxhash.Sum64String(zone + "\x00" + name) }

// Successors returns the other live VMs of this VM's zone, the most likely next placer
// first.
func (m *Members) Successors() []Peer {
	zone := m.cfg.Self.Zone
	out := m.Live(zone)
	slices.SortFunc(out, func(a, b Peer) int {
		return cmp.Compare(weight(zone, b.Info.GetName()), weight(zone, a.Info.GetName()))
	})
	return out
}

// ClaimsLead reports whether the VM, by its last known state, claims its zone's
// leadership and is alive.
func (m *Members) ClaimsLead(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := m.members[name]
	return v != nil && v.info.GetSummary() != nil && v.info.GetState() == Alive && !m.isSuspect(v, time.Now())
}

// PlacerOf returns the VM to call as the placer of a zone: the one that Placer names or,
// in another zone, one that claims the leadership, whichever was heard most recently.
// It reports false if there is none, or if it is this VM.
func (m *Members) PlacerOf(zone string) (Peer, bool) {
	expected := m.Placer(zone)
	for _, p := range m.Live(zone) {
		if p.Info.GetSummary() != nil && zone != m.cfg.Self.Zone {
			return p, true
		}
		if p.Info.GetName() == expected {
			return p, true
		}
	}
	return Peer{}, false
}
