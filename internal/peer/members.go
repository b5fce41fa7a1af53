// Package peer speaks to the other entry VMs: heartbeats with gossip, requests
// forwarded to their owner, hand-over of keys, configuration and jobs.
package peer

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"rhubarbshore/internal/metric"
	"rhubarbshore/internal/peer/rpc"
)

// The states of a member.
const (
	Alive   = 0
	Leaving = 1
	Gone    = 2
)

// Tuning of membership.
const (
	probeTimeout     = time.Second
	maxGossipEntries = 12
	gossipTTL        = 15 * time.Second
	forgetAfter      = time.Minute
	forgetFailures   = 3
	suspectFailures  = 2
	othersEvery      = 4
	suspectFactor    = 5
	leavingTTL       = 30 * time.Second
	maxMembers       = 1024
)

// Self describes this VM to others.
type Self struct {
	Name        string
	Address     string
	Zone        string
	Region      string
	Incarnation int64
}

// Config constructs Members. Probe is the time between two probes, Suspect how
// long a VM of the own zone may be silent before it counts as failed.
type Config struct {
	Self Self
	// Connect returns the way to the VM at an address.
	Connect func(address string) rpc.Peer
	Probe   time.Duration
	Suspect time.Duration
	Logger  *slog.Logger
	// LeftServer is called when a peer tells of a leaving backend server.
	LeftServer func(name string)
}

// HTTP returns a Connect that speaks twirp over the client.
func HTTP(c *http.Client) func(address string) rpc.Peer {
	return func(address string) rpc.Peer { return rpc.NewPeerProtobufClient("http://"+address, c) }
}

// member is another VM. Its name and client never change; Members.mu guards the
// rest.
type member struct {
	name   string
	client rpc.Peer

	info        *rpc.Member
	lastHeard   time.Time
	lastChanged time.Time
	failures    int
	// acked is the revision of this VM that the other one knows.
	acked uint64
}

// Members is what this VM knows of all VMs.
type Members struct {
	cfg            Config
	mu             sync.Mutex
	self           *rpc.Member
	members        map[string]*member
	leavingServers map[string]time.Time
	round          int
	nextOther      int
}

// NewMembers returns a membership of this VM alone.
func NewMembers(cfg Config) *Members {
	return &Members{
		cfg: cfg, members: map[string]*member{}, leavingServers: map[string]time.Time{},
		self: &rpc.Member{
			Name: cfg.Self.Name, Address: cfg.Self.Address, Zone: cfg.Self.Zone, Region: cfg.Self.Region,
			Incarnation: cfg.Self.Incarnation, Revision: 1,
		},
	}
}

// Seed adds a VM known from settings or from the platform's list. Heartbeats
// decide about it from then on.
func (m *Members) Seed(name, address, zone string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if name == m.cfg.Self.Name || m.members[name] != nil || len(m.members) >= maxMembers {
		return
	}
	v := m.add(&rpc.Member{Name: name, Address: address, Zone: zone}, time.Time{})
	if zone == m.cfg.Self.Zone {
		go m.probe(context.Background(), v)
	}
}

func (m *Members) add(info *rpc.Member, lastHeard time.Time) *member {
	v := &member{name: info.GetName(), client: m.cfg.Connect(info.GetAddress()), info: info, lastHeard: lastHeard, lastChanged: time.Now()}
	m.members[v.name] = v
	return v
}

// Change updates what this VM tells about itself.
func (m *Members) Change(change func(self *rpc.Member)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before, ok := proto.Clone(m.self).(*rpc.Member)
	change(m.self)
	if !ok || !proto.Equal(before, m.self) {
		m.self.Revision++
	}
}

// Self returns a copy of what this VM tells about itself.
func (m *Members) Self() *rpc.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cloneSelf()
}

func (m *Members) cloneSelf() *rpc.Member {
	out, _ := proto.Clone(m.self).(*rpc.Member)
	return out
}

// TellLeaving spreads that a backend server takes nothing new.
func (m *Members) TellLeaving(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.leavingServers[name]; !ok {
		m.leavingServers[name] = time.Now()
	}
}

// Run probes other VMs until ctx ends.
func (m *Members) Run(ctx context.Context) {
	ticker := time.NewTicker(m.cfg.Probe)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if v := m.nextTarget(); v != nil {
				go m.probe(ctx, v)
			}
		case <-ctx.Done():
			return
		}
	}
}

// nextTarget is the VM whose turn it is: the zone's placer, whose failure has to be
// noticed soon, and now and then another. The placer itself is probed by all.
func (m *Members) nextTarget() *member {
	placer := m.Placer(m.cfg.Self.Zone)
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	var others []*member
	for _, name := range m.names() {
		v := m.members[name]
		if v.expired(now) {
			delete(m.members, name)
			continue
		}
		if v.info.GetState() != Gone && name != placer {
			others = append(others, v)
		}
	}
	m.round++
	if v := m.members[placer]; v != nil && (m.round%othersEvery != 0 || len(others) == 0) {
		return v
	}
	if len(others) == 0 || m.round%othersEvery != 0 && len(others) < m.round {
		return nil
	}
	m.nextOther++
	return others[m.nextOther%len(others)]
}

// expired reports a VM that has not been reached for long.
func (v *member) expired(now time.Time) bool {
	return v.failures >= forgetFailures && now.Sub(v.lastHeard) > forgetAfter && now.Sub(v.lastChanged) > forgetAfter
}

// Failed records that a call to the VM did not reach it.
func (m *Members) Failed(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if v := m.members[name]; v != nil {
		v.failures++
	}
}

func (m *Members) names() []string {
	out := make([]string, 0, len(m.members))
	for name := range m.members {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// probe exchanges gossip with one VM.
func (m *Members) probe(ctx context.Context, v *member) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if noUserAgent, err := twirp.WithHTTPRequestHeaders(ctx, http.Header{"User-Agent": {""}}); err == nil {
		ctx = noUserAgent
	}
	reply, err := v.client.Probe(ctx, m.newGossip(v))
	if err != nil {
		m.Failed(v.name)
		metric.Count("peer_probes_failed_total")
		return
	}
	m.Merge(reply)
}

// Tell exchanges gossip with every VM known, side by side.
func (m *Members) Tell(ctx context.Context) {
	m.mu.Lock()
	members := slices.Collect(maps.Values(m.members))
	m.mu.Unlock()
	var wg sync.WaitGroup
	for _, v := range members {
		wg.Go(func() { m.probe(ctx, v) })
	}
	wg.Wait()
}

// Ask exchanges gossip with one VM.
func (m *Members) Ask(ctx context.Context, p Peer) {
	m.mu.Lock()
	v := m.members[p.Info.GetName()]
	m.mu.Unlock()
	if v != nil {
		m.probe(ctx, v)
	}
}

// newGossip is this VM's state and what it learned lately, the latest first, less what the
// receiver knows already.
func (m *Members) newGossip(to *member) *rpc.Gossip {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	out := &rpc.Gossip{Self: m.cloneSelf(), Incarnation: to.info.GetIncarnation(), Seen: to.info.GetRevision()}
	if to.acked == m.self.GetRevision() {
		out.Self = m.selfRef()
	}
	names := m.names()
	slices.SortStableFunc(names, func(a, b string) int { return m.members[b].lastChanged.Compare(m.members[a].lastChanged) })
	for _, name := range names {
		v := m.members[name]
		if v != to && len(out.Members) < maxGossipEntries && now.Sub(v.lastChanged) < gossipTTL && v.info.GetIncarnation() != 0 {
			out.Members = append(out.Members, v.info)
		}
	}
	for name, at := range m.leavingServers {
		if now.Sub(at) > leavingTTL {
			delete(m.leavingServers, name)
			continue
		}
		if len(out.Leaving) < maxGossipEntries {
			out.Leaving = append(out.Leaving, &rpc.Leaving{Name: name})
		}
	}
	return out
}

// selfRef names this VM's state without telling it.
func (m *Members) selfRef() *rpc.Member {
	return &rpc.Member{Name: m.self.GetName(), Incarnation: m.self.GetIncarnation(), Revision: m.self.GetRevision()}
}

// Answer takes a peer's gossip in and answers with this VM's state, or briefly
// if the peer knows it.
func (m *Members) Answer(g *rpc.Gossip) *rpc.Gossip {
	m.Merge(g)
	m.mu.Lock()
	defer m.mu.Unlock()
	out := &rpc.Gossip{Self: m.cloneSelf()}
	if v := m.members[g.GetSelf().GetName()]; v != nil {
		out.Incarnation, out.Seen = v.info.GetIncarnation(), v.info.GetRevision()
	}
	if g.GetIncarnation() == m.self.GetIncarnation() && g.GetSeen() == m.self.GetRevision() {
		out.Self = m.selfRef()
	}
	return out
}

// Merge takes a peer's gossip in.
func (m *Members) Merge(g *rpc.Gossip) {
	now := time.Now()
	m.mu.Lock()
	if self := g.GetSelf(); self != nil && self.GetName() != m.cfg.Self.Name {
		v := m.members[self.GetName()]
		if self.GetAddress() != "" {
			v = m.update(self)
		}
		if v != nil && v.info.GetIncarnation() == self.GetIncarnation() {
			v.lastHeard = now
			v.failures = 0
		}
		if v != nil && g.GetIncarnation() == m.cfg.Self.Incarnation {
			v.acked = g.GetSeen()
		}
	}
	for _, info := range g.GetMembers() {
		m.update(info)
	}
	var newlyLeaving []string
	for _, l := range g.GetLeaving() {
		if _, ok := m.leavingServers[l.GetName()]; !ok {
			m.leavingServers[l.GetName()] = now
			newlyLeaving = append(newlyLeaving, l.GetName())
		}
	}
	m.mu.Unlock()
	for _, name := range newlyLeaving {
		if m.cfg.LeftServer != nil {
			m.cfg.LeftServer(name)
		}
	}
}

// update keeps the newest state of a VM: a later incarnation first, then the
// later revision.
func (m *Members) update(info *rpc.Member) *member {
	if info.GetName() == m.cfg.Self.Name || info.GetName() == "" {
		return nil
	}
	v := m.members[info.GetName()]
	if v == nil {
		if len(m.members) >= maxMembers {
			return nil
		}
		return m.add(info, time.Time{})
	}
	old := v.info
	newer := info.GetIncarnation() > old.GetIncarnation() ||
		info.GetIncarnation() == old.GetIncarnation() && info.GetRevision() > old.GetRevision()
	if !newer {
		return v
	}
	if old.GetAddress() != info.GetAddress() {
		return m.add(info, v.lastHeard)
	}
	if worthGossiping(old, info) {
		v.lastChanged = time.Now()
	}
	v.info = info
	return v
}

// worthGossiping reports whether a change is worth passing on to third parties. What
// changes often, the version in force and the summary, is told directly only.
func worthGossiping(old, info *rpc.Member) bool {
	return old.GetIncarnation() != info.GetIncarnation() || old.GetState() != info.GetState() ||
		!slices.Equal(old.GetOwners(), info.GetOwners()) || (old.GetSummary() == nil) != (info.GetSummary() == nil)
}

// Peer is another VM as a caller of it sees it.
type Peer struct {
	Info   *rpc.Member
	Client rpc.Peer
	Heard  time.Time
}

// Live lists the VMs of a zone that take new work. Of the own zone those count
// that were heard lately; of others, those not known to have left or failed, the
// one heard last in front.
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

// isSuspect reports a VM that seems to have failed. The placer of the own zone is
// heard often, others of the zone now and then; of another zone, any call that
// did not reach it counts.
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

// All lists every VM known, without this one.
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

// Zones lists the zones with a VM, this VM's first.
func (m *Members) Zones() []string {
	out := []string{m.cfg.Self.Zone}
	for _, p := range m.All() {
		if p.Info.GetState() != Gone && !slices.Contains(out, p.Info.GetZone()) {
			out = append(out, p.Info.GetZone())
		}
	}
	return out
}

// Serving finds the VM that answers for an owner.
func (m *Members) Serving(owner string) (Peer, bool) {
	for _, p := range m.All() {
		if p.Info.GetState() != Gone && slices.Contains(p.Info.GetOwners(), owner) {
			return p, true
		}
	}
	return Peer{}, false
}

// Placer names the VM that should hold a zone's leadership: the one with the
// highest rendezvous weight among the live ones.
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

// weight is the rendezvous weight of a VM for its zone's leadership.
func weight(zone, name string) uint64 { return xxhash.Sum64String(zone + "\x00" + name) }

// Successors lists the other live VMs of the own zone, the likeliest next placer in
// front.
func (m *Members) Successors() []Peer {
	zone := m.cfg.Self.Zone
	out := m.Live(zone)
	slices.SortFunc(out, func(a, b Peer) int {
		return cmp.Compare(weight(zone, b.Info.GetName()), weight(zone, a.Info.GetName()))
	})
	return out
}

// ClaimsLead reports whether the VM claims its zone's leadership, as far as this
// VM has heard.
func (m *Members) ClaimsLead(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := m.members[name]
	return v != nil && v.info.GetSummary() != nil && v.info.GetState() == Alive && !m.isSuspect(v, time.Now())
}

// PlacerOf returns the VM that leads a zone by its own account, or
// else the one that should.
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
