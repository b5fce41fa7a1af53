package election

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"rhubarbshore/internal/httpjson"
)

// WitnessPath is the path of calls to a witness.
const WitnessPath = "/witness"

// maxWitnesses limits the witnesses of a leader. It is not confirmed without all of them, and the next leader needs
// only one.
const maxWitnesses = 2

// WitnessRequest is the request of a call to a witness: from the leader of an epoch, to confirm it, or from a later one
// that asks when it last did.
type WitnessRequest struct {
	Incarnation string `json:"life"` // process of the witness that is meant
	Epoch       int64  `json:"epoch"`
	Next        int64  `json:"next,omitempty"` // epoch of the later leader that asks, 0 if the leader does
}

// WitnessReply answers a WitnessRequest with the process that answers.
type WitnessReply struct {
	VM          string `json:"vm"`
	Incarnation string `json:"life"`
	Confirmed   bool   `json:"confirmed,omitempty"`
	// ConfirmedMS is how long ago, at least, the process that is meant last confirmed a leader.
	ConfirmedMS int64 `json:"since,omitempty"`
}

// witness is what a VM remembers as a witness.
type witness struct {
	confirmedAt time.Time // when it last confirmed a leader
	laterEpoch  int64     // no leader of an epoch before it is confirmed
}

// HandleWitness answers a leader whether this VM knows of no later one, and a later leader when it last did so.
func (m *Member) HandleWitness(in WitnessRequest) WitnessReply {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := WitnessReply{VM: m.cfg.VM, Incarnation: m.incarnation}
	w := &m.witness
	if in.Next > 0 {
		w.laterEpoch = max(w.laterEpoch, in.Next)
		// Before it started, another process of this VM may have confirmed a leader.
		last := m.startedAt
		if in.Incarnation == m.incarnation && w.confirmedAt.After(last) {
			last = w.confirmedAt
		}
		out.ConfirmedMS = time.Since(last).Milliseconds()
		return out
	}
	if in.Incarnation == m.incarnation && in.Epoch >= max(w.laterEpoch, m.current.Epoch) {
		out.Confirmed, w.confirmedAt = true, time.Now()
	}
	return out
}

// ChooseWitnesses returns the identities of the standbys that should be witnesses of this VM. It prefers zones without
// this VM and another witness, then current ones, then the order in which standbys take over.
func (m *Member) ChooseWitnesses(current []string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	candidates := m.liveStandbys(time.Now())
	var chosen []string
	zones := map[string]int{m.cfg.Zone: 2} // the cost of a witness, by zone
	for len(chosen) < maxWitnesses {
		best, bestCost := -1, 0
		for i, s := range candidates {
			if s.incarnation == "" || slices.Contains(chosen, s.identity()) {
				continue
			}
			cost := 2 * zones[s.zone]
			if !slices.Contains(current, s.identity()) {
				cost++
			}
			if best < 0 || cost < bestCost {
				best, bestCost = i, cost
			}
		}
		if best < 0 {
			break
		}
		chosen = append(chosen, candidates[best].identity())
		zones[candidates[best].zone]++
	}
	slices.Sort(chosen)
	return chosen
}

// identity identifies a run of the standby's process.
func (s standby) identity() string {
	return LeaderRecord{VM: s.name, Address: s.address, Incarnation: s.incarnation}.identity()
}

// ConfirmedBy asks a witness to confirm this VM as the leader of an epoch.
func (m *Member) ConfirmedBy(ctx context.Context, identity string, epoch int64) bool {
	out, ok := m.askWitness(ctx, identity, WitnessRequest{Epoch: epoch})
	return ok && out.Confirmed
}

// LastConfirmed returns how long ago, at least, a witness last confirmed the leader of an epoch, and keeps it from
// confirming leaders before the one of the epoch next.
func (m *Member) LastConfirmed(ctx context.Context, identity string, epoch, next int64) (since time.Duration, known bool) {
	out, ok := m.askWitness(ctx, identity, WitnessRequest{Epoch: epoch, Next: next})
	return time.Duration(out.ConfirmedMS) * time.Millisecond, ok
}

// askWitness sends a request to a witness. It reports false without an answer of the witness or of a later process of
// its VM.
func (m *Member) askWitness(ctx context.Context, identity string, in WitnessRequest) (WitnessReply, bool) {
	var w LeaderRecord
	if err := json.Unmarshal([]byte(identity), &w); err != nil {
		m.cfg.Logger.Error("identity of a witness not readable", "witness", identity, "epoch", in.Epoch, "error", err)
		return WitnessReply{}, false
	}
	in.Incarnation = w.Incarnation
	if w.VM == m.cfg.VM {
		return m.HandleWitness(in), true
	}
	out, err := httpjson.Post[WitnessRequest, WitnessReply](ctx, m.cfg.Client, "http://"+w.Address+WitnessPath, &in, nil)
	if err != nil {
		m.cfg.Logger.Debug("witness did not answer", "witness", w.VM, "epoch", in.Epoch, "next", in.Next, "error", err)
		return WitnessReply{}, false
	}
	return out, out.VM == w.VM
}
