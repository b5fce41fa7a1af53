// Package peer maintains the membership of the entry VMs through heartbeats that carry
// gossip. Package rpc below it defines the calls between entry VMs: heartbeats,
// forwarding of requests to their owner, handover of keys, configuration and jobs.
//
// The placer of a zone is the VM that should hold the zone's leadership; see
// Members.Placer.
package peer

import (
	"context"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"rhubarbshore/internal/metric"
	"rhubarbshore/internal/peer/rpc"
)

// The states of a VM, as sent in rpc.Member.
const (
	Alive   = 0
	Leaving = 1
	Gone    = 2
)

// Parameters of membership.
const (
	probeTimeout = time.Second
	// maxGossipEntries bounds the VMs, and the leaving backend servers, in a message.
	maxGossipEntries = 12
	// gossipTTL is how long a change is passed on to third parties.
	gossipTTL = 15 * time.Second
	// A VM is forgotten after forgetFailures failed calls, once nothing has been heard
	// from or about it for forgetAfter.
	forgetAfter    = time.Minute
	forgetFailures = 3
	// suspectFailures is the number of failed calls after which a VM of this VM's zone
	// counts as failed.
	suspectFailures = 2
	// othersEvery is the number of rounds of which one probes a VM other than the
	// placer.
	othersEvery = 4
	// suspectFactor times Config.Suspect is the permitted silence of a VM that does not
	// claim the leadership; it is probed less often.
	suspectFactor = 5
	// leavingTTL is how long gossip names a leaving backend server.
	leavingTTL = 30 * time.Second
	maxMembers = 1024
)

// Self is the description of this VM that is sent to others.
type Self struct {
	Name        string
	Address     string
	Zone        string
	Region      string
	Incarnation int64
}

// Config configures Members. Probe is the interval between probes. Suspect is how long
// the placer of this VM's zone may be silent before it counts as failed.
type Config struct {
	Self Self
	// Connect returns a client of the VM at an address.
	Connect func(address string) rpc.Peer
	Probe   time.Duration
	Suspect time.Duration
	Logger  *slog.Logger
	// OnServerLeaving is called when a peer reports a leaving backend server.
	OnServerLeaving func(name string)
}

// HTTP returns a function for Config.Connect that uses Twirp over the HTTP client.
func HTTP(c *http.Client) func(address string) rpc.Peer {
	return func(address string) rpc.Peer { return rpc.NewPeerProtobufClient("http://"+address, c) }
}

// member is another VM. Its name and client are immutable; Members.mu guards the other
// fields.
type member struct {
	name   string
	client rpc.Peer

	info        *rpc.Member
	lastHeard   time.Time
	lastChanged time.Time
	failures    int
	// acked is the revision of this VM's state that the other VM has by its last message,
	// 0 if it has none.
	acked uint64
}

// Members is this VM's view of all entry VMs.
type Members struct {
	cfg            Config
	mu             sync.Mutex
	self           *rpc.Member
	members        map[string]*member
	leavingServers map[string]time.Time
	// forgotten holds the last incarnations of VMs that were removed from members.
	forgotten map[string]int64
	round     int
	nextOther int
}

// NewMembers returns a view that contains only this VM.
func NewMembers(cfg Config) *Members {
	return &Members{
		cfg: cfg, members: map[string]*member{}, leavingServers: map[string]time.Time{}, forgotten: map[string]int64{},
		self: &rpc.Member{
			Name: cfg.Self.Name, Address: cfg.Self.Address, Zone: cfg.Self.Zone, Region: cfg.Self.Region,
			Incarnation: cfg.Self.Incarnation, Revision: 1,
		},
	}
}

// Seed adds a VM that is known from the settings or from the platform's list. From then
// on its state depends on heartbeats alone.
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

// Change updates this VM's own state. A state that differs gets a new revision.
func (m *Members) Change(change func(self *rpc.Member)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before, ok := proto.Clone(m.self).(*rpc.Member)
	change(m.self)
	if !ok || !proto.Equal(before, m.self) {
		m.self.Revision++
	}
}

// Self returns a copy of this VM's own state.
func (m *Members) Self() *rpc.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cloneSelf()
}

func (m *Members) cloneSelf() *rpc.Member {
	out, _ := proto.Clone(m.self).(*rpc.Member)
	return out
}

// MarkServerLeaving makes gossip report that a backend server accepts no new requests.
func (m *Members) MarkServerLeaving(name string) {
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

// nextTarget returns the VM to probe in this round, or nil. It is usually the zone's
// placer, whose failure has to be detected quickly, and every othersEvery rounds another
// VM in turn. The placer itself is probed by all others of its zone: after the first
// rounds, one for each other VM, it probes only every othersEvery rounds.
func (m *Members) nextTarget() *member {
	placer := m.Placer(m.cfg.Self.Zone)
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	var others []*member
	for _, name := range m.names() {
		v := m.members[name]
		if v.expired(now) {
			m.forget(v)
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

// expired reports whether the VM has been unreachable for so long that it is forgotten.
func (v *member) expired(now time.Time) bool {
	return v.failures >= forgetFailures && now.Sub(v.lastHeard) > forgetAfter && now.Sub(v.lastChanged) > forgetAfter
}

// forget removes a VM and keeps its incarnation.
func (m *Members) forget(v *member) {
	delete(m.members, v.name)
	m.forgotten[v.name] = max(m.forgotten[v.name], v.info.GetIncarnation())
	for name := range m.forgotten {
		if len(m.forgotten) <= maxMembers {
			break
		}
		delete(m.forgotten, name)
	}
}

// RecordFailure records a call that did not reach the VM.
func (m *Members) RecordFailure(name string) {
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
		m.RecordFailure(v.name)
		metric.Count("peer_probes_failed_total")
		return
	}
	m.Merge(reply)
}

// GossipAll exchanges gossip with all known VMs in parallel.
func (m *Members) GossipAll(ctx context.Context) {
	m.mu.Lock()
	members := slices.Collect(maps.Values(m.members))
	m.mu.Unlock()
	var wg sync.WaitGroup
	for _, v := range members {
		wg.Go(func() { m.probe(ctx, v) })
	}
	wg.Wait()
}

// Gossip exchanges gossip with one VM.
func (m *Members) Gossip(ctx context.Context, p Peer) {
	m.mu.Lock()
	v := m.members[p.Info.GetName()]
	m.mu.Unlock()
	if v != nil {
		m.probe(ctx, v)
	}
}

// newGossip returns the message for a VM: this VM's state, only by its revision if the
// receiver has acknowledged it, and recent changes of other VMs, the latest first.
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

// selfRef identifies this VM's state by its revision, without the contents.
func (m *Members) selfRef() *rpc.Member {
	return &rpc.Member{Name: m.self.GetName(), Incarnation: m.self.GetIncarnation(), Revision: m.self.GetRevision()}
}

// HandleGossip merges a peer's gossip and returns the reply: this VM's state, only by its
// revision if the peer has it.
func (m *Members) HandleGossip(g *rpc.Gossip) *rpc.Gossip {
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

// Merge merges a peer's gossip into the view.
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
		if v != nil {
			v.acked = 0
			if g.GetIncarnation() == m.cfg.Self.Incarnation {
				v.acked = g.GetSeen()
			}
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
		if m.cfg.OnServerLeaving != nil {
			m.cfg.OnServerLeaving(name)
		}
	}
}

// update stores the state of a VM if it is newer than the known one: by incarnation,
// then by revision. It returns the member, or nil for this VM itself and if there are
// too many members.
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

// worthGossiping reports whether a change is passed on to third parties. The fields that
// change often, the configuration version and the summary, are only sent directly.
func worthGossiping(old, info *rpc.Member) bool {
	return old.GetIncarnation() != info.GetIncarnation() || old.GetState() != info.GetState() ||
		!slices.Equal(old.GetOwners(), info.GetOwners()) || (old.GetSummary() == nil) != (info.GetSummary() == nil)
}
