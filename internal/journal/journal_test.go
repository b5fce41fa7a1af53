package journal

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"rhubarbshore/internal/peer/rpc"
	"rhubarbshore/internal/platform"
	"rhubarbshore/pkg/api"
)

var errUnreachable = errors.New("cut")

// zone simulates the VMs of one zone, with their journals, and the log in virtual time.
type zone struct {
	ctx context.Context
	// rng draws the events of the history.
	rng *rand.Rand

	mu sync.Mutex
	// callRNG draws which calls fail.
	callRNG *rand.Rand
	logDown bool
	records []platform.Record
	vms     []*vm
	next    int
	// failRate is the share of calls between VMs that fail, half of them after they took
	// effect. noReplicas prevents VMs from holding replicas.
	failRate   float64
	noReplicas bool
	bytes      atomic.Int64
}

type vm struct {
	zone    *zone
	name    string
	journal *Journal
	cancel  context.CancelFunc
}

func (z *zone) startVM() {
	z.next++
	v := &vm{zone: z, name: fmt.Sprint("vm", z.next)}
	v.journal = New(Config{Log: z, Stream: "jobs", Origin: v.name, Peers: func() []Peer { return z.peers(v) }, Keep: time.Hour})
	ctx, cancel := context.WithCancel(z.ctx)
	v.cancel = cancel
	z.mu.Lock()
	defer z.mu.Unlock()
	z.vms = append(z.vms, v)
	go v.journal.Run(ctx)
}

// BenchmarkReplicate accepts jobs one by one while the log is unreachable. It reports the
// bytes sent for each job and the size of a replica of all jobs.
func BenchmarkReplicate(b *testing.B) {
	for _, jobs := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(jobs), func(b *testing.B) {
			for b.Loop() {
				z := &zone{ctx: b.Context(), callRNG: rand.New(rand.NewPCG(1, 1)), logDown: true}
				for range 4 {
					z.startVM()
				}
				for i := range jobs {
					z.vms[0].journal.Accept(b.Context(), api.Job{
						ID: fmt.Sprint("reconciliation-2026-12-04-", i), Customer: "parishes", Zone: "si-a", Accelerators: 16, Cells: 1, Tasks: 16, Worth: 1, Seconds: 7200,
					})
				}
				b.ReportMetric(float64(z.bytes.Load())/float64(jobs), "wire-B/job")
				b.ReportMetric(float64(proto.Size(z.vms[0].journal.ownSet()))/float64(jobs), "state-B/job")
			}
		})
	}
}

func (z *zone) stopVM(v *vm) {
	v.cancel()
	z.mu.Lock()
	defer z.mu.Unlock()
	z.vms = slices.DeleteFunc(z.vms, func(o *vm) bool { return o == v })
}

func (z *zone) peers(v *vm) []Peer {
	z.mu.Lock()
	defer z.mu.Unlock()
	var out []Peer
	for _, o := range z.vms {
		if o != v && !z.noReplicas {
			out = append(out, Peer{Name: o.name, Replica: o})
		}
	}
	return out
}

// drawFailure decides at random whether a call fails before it takes effect. If before is
// false, after tells whether it fails afterwards.
func (z *zone) drawFailure() (before, after bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	x := z.callRNG.Float64()
	return x < z.failRate/2, x < z.failRate
}

// Replicate implements Replica.
func (v *vm) Replicate(_ context.Context, u *rpc.ReplicaUpdate) (*rpc.ReplicaState, error) {
	time.Sleep(time.Millisecond)
	before, after := v.zone.drawFailure()
	if before {
		return nil, errUnreachable
	}
	state := v.journal.Replicate(u)
	v.zone.bytes.Add(int64(proto.Size(u) + proto.Size(state)))
	if after {
		return nil, errUnreachable
	}
	return state, nil
}

// Append implements Log.
func (z *zone) Append(_ context.Context, _ string, records [][]byte) (int64, error) {
	time.Sleep(time.Millisecond)
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.logDown {
		return 0, platform.ErrUnavailable
	}
	for _, data := range records {
		z.records = append(z.records, platform.Record{Offset: int64(len(z.records)), Data: data})
	}
	if z.callRNG.Float64() < z.failRate/2 {
		return 0, platform.ErrUnsettled
	}
	return 0, nil
}

// Read implements Log.
func (z *zone) Read(_ context.Context, _ string, from int64, _ int) (platform.Page, error) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.logDown {
		return platform.Page{}, platform.ErrUnavailable
	}
	end := int64(len(z.records))
	return platform.Page{Next: end, End: end, Records: z.records[from:]}, nil
}

func (z *zone) setLogDown(logDown bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.logDown = logDown
}

// runHistory simulates one random history: jobs are accepted and end, the log fails and
// recovers, and VMs fail, the leader more often than others but never before its replicas
// had a few seconds. It returns the errors in the state that new leaders read.
func runHistory(z *zone, steps int) []string {
	for range 4 {
		z.startVM()
	}
	lead := z.vms[0]
	lead.journal.SetLeading(true)
	open, ended := map[string]bool{}, map[string]bool{}
	var faults []string
	for i := range steps {
		switch z.rng.IntN(8) {
		case 0, 1, 2:
			id := fmt.Sprint("job", i)
			result := lead.journal.Accept(z.ctx, api.Job{ID: id})
			open[id] = result.Durable || result.Copies > 0
		case 3, 4:
			for _, id := range slices.Sorted(keys(open)) {
				delete(open, id)
				ended[id] = true
				lead.journal.End(id, api.Finished)
				break
			}
		case 5:
			z.setLogDown(z.rng.IntN(3) > 0)
		case 6:
			z.stopVM(z.vms[1+z.rng.IntN(len(z.vms)-1)])
			z.startVM()
		case 7:
			z.stopVM(lead)
			z.startVM()
			lead = z.vms[0]
			lead.journal.SetLeading(true)
			faults = append(faults, checkNewLeader(z, lead, open, ended)...)
		}
		time.Sleep(20 * time.Second)
	}
	return faults
}

func keys(m map[string]bool) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// checkNewLeader lets the new leader read until it has all the records it can get, and
// compares them with the history. While the log is unreachable, the leader can't know the
// jobs that only the log has.
func checkNewLeader(z *zone, v *vm, open, ended map[string]bool) []string {
	var snapshot Snapshot
	for range 20 {
		snapshot = v.journal.Open(z.ctx)
		time.Sleep(time.Second)
	}
	found := map[string]bool{}
	var faults []string
	for _, in := range snapshot.Jobs {
		found[in.Job.ID] = true
		if ended[in.Job.ID] {
			faults = append(faults, in.Job.ID+" has ended and would run again")
		}
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	logged := map[string]bool{}
	for _, r := range z.records {
		logged[decode([][]byte{r.Data})[0].id()] = true
	}
	for id, safe := range open {
		known := found[id] || z.logDown && logged[id]
		if safe && !known {
			faults = append(faults, id+" is lost")
		}
	}
	if snapshot.Complete == z.logDown {
		faults = append(faults, fmt.Sprintf("Complete is %t with logDown %t", snapshot.Complete, z.logDown))
	}
	return faults
}

// runHistories simulates many histories and returns their errors by seed.
func runHistories(t *testing.T, noReplicas bool) map[uint64][]string {
	out := map[uint64][]string{}
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			z := &zone{ctx: ctx, rng: rand.New(rand.NewPCG(seed, 1)), callRNG: rand.New(rand.NewPCG(seed, 2)), noReplicas: noReplicas, failRate: 0.2}
			if faults := runHistory(z, 60); len(faults) > 0 {
				out[seed] = faults
			}
			cancel()
			synctest.Wait()
		})
	}
	return out
}

// TestPlacersKnowWhatIsOpen guards against a new leader that loses an accepted job or runs
// an ended one again, after changes of the leader, failures of VMs and of the log, and
// with a fifth of all calls failing.
func TestPlacersKnowWhatIsOpen(t *testing.T) {
	for seed, faults := range runHistories(t, false) {
		t.Errorf("seed %d: %s", seed, faults)
	}
}

// TestReplicasAreNeeded simulates the same without replicas: jobs have to be lost, or the
// simulation would not test them.
func TestReplicasAreNeeded(t *testing.T) {
	assert.Assert(t, len(runHistories(t, true)) > 0)
}
