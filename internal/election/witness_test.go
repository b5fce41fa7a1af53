package election_test

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbshore/internal/election"
)

// zoneOf spreads VMs over three zones.
func zoneOf(vm string) string { return []string{"z0", "z1", "z2"}[vm[len(vm)-1]%3] }

func answerWitness(to *member, r *http.Request) (*http.Response, error) {
	var in election.WitnessRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		return nil, err
	}
	return respond(to.HandleWitness(in))
}

// vmsOf returns the VMs with the identities.
func vmsOf(t *testing.T, ids []string) (vms []string) {
	t.Helper()
	for _, id := range ids {
		var w election.LeaderRecord
		assert.NilError(t, json.Unmarshal([]byte(id), &w))
		vms = append(vms, w.VM)
	}
	return vms
}

// Guards against witnesses that are lost with the leader in one zone, and against a change of them without need,
// which costs a write.
func TestWitnessesAreInOtherZones(t *testing.T) {
	run(t, 9, func(p *pool) {
		l, _ := p.awaitLeader(nil)
		time.Sleep(3 * time.Second)
		chosen := l.ChooseWitnesses(nil)
		vms := vmsOf(t, chosen)
		assert.Equal(t, len(vms), 2)
		zones := map[string]bool{zoneOf(l.name): true, zoneOf(vms[0]): true, zoneOf(vms[1]): true}
		assert.Equal(t, len(zones), 3, "leader %s, witnesses %v", l.name, vms)
		for range 20 {
			time.Sleep(time.Second)
			assert.DeepEqual(t, l.ChooseWitnesses(chosen), chosen)
		}
		p.kill(p.net.members[vms[0]])
		time.Sleep(6 * time.Second)
		replaced := vmsOf(t, l.ChooseWitnesses(chosen))
		assert.Equal(t, len(replaced), 2)
		assert.Assert(t, replaced[0] != vms[0] && replaced[1] != vms[0], "%v after %v", replaced, vms)
		assert.Assert(t, replaced[0] == vms[1] || replaced[1] == vms[1], "%v after %v", replaced, vms)
	})
}

// Guards against two runs of a task: a witness confirms a leader after it has told a later one that it does not, or a
// witness that has restarted speaks for its former process.
func TestWitnessDoesNotConfirmAfterALaterLeaderHasAsked(t *testing.T) {
	run(t, 4, func(p *pool) {
		l, _ := p.awaitLeader(nil)
		time.Sleep(3 * time.Second)
		epoch := l.epochs[0]
		w := l.ChooseWitnesses(nil)[0]
		name := vmsOf(t, []string{w})[0]
		ctx := context.Background()
		since, known := l.LastConfirmed(ctx, w, epoch, 1)
		assert.Assert(t, known && since >= 2*time.Second, "it has not confirmed any leader: %v", since)
		assert.Assert(t, l.ConfirmedBy(ctx, w, epoch))
		time.Sleep(time.Second)
		var asker *member
		for _, m := range p.all {
			if m != l && m.name != name {
				asker = m
			}
		}
		since, known = asker.LastConfirmed(ctx, w, epoch, epoch+1)
		assert.Assert(t, known && since >= 900*time.Millisecond && since <= 1100*time.Millisecond, "%v", since)
		assert.Assert(t, !l.ConfirmedBy(ctx, w, epoch), "a later leader has asked")
		since, known = p.net.members[name].LastConfirmed(ctx, w, epoch, epoch+1)
		assert.Assert(t, known && since >= 900*time.Millisecond, "asked by itself: %v", since)
		p.kill(p.net.members[name])
		_, known = asker.LastConfirmed(ctx, w, epoch, epoch+1)
		assert.Assert(t, !known, "nobody answers")
		p.add(name)
		time.Sleep(300 * time.Millisecond)
		assert.Assert(t, !l.ConfirmedBy(ctx, w, epoch), "another process answers")
		since, known = asker.LastConfirmed(ctx, w, epoch, epoch+1)
		assert.Assert(t, known && since <= 400*time.Millisecond, "the former process may have confirmed it: %v", since)
	})
}
