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

var errCut = errors.New("cut")

// zone is the VMs of one zone with their journals, in virtual time, and the log.
type zone struct {
	ctx context.Context
	// draw draws the history.
	draw *rand.Rand

	mu sync.Mutex
	// calls draws which calls fail.
	calls   *rand.Rand
	out     bool
	records []platform.Record
	vms     []*vm
	next    int
	// faulty is the share of calls between VMs that fail, half of them after they
	// took effect; alone keeps VMs from holding replicas.
	faulty float64
	alone  bool
	bytes  atomic.Int64
}

type vm struct {
	zone    *zone
	name    string
	journal *Journal
	cancel  context.CancelFunc
}

func (z *zone) boot() {
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

// BenchmarkReplicate accepts jobs one by one while the log is out and reports the
// bytes of the messages for each, and what a replica of all takes.
func BenchmarkReplicate(b *testing.B) {
	for _, jobs := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(jobs), func(b *testing.B) {
			for b.Loop() {
				z := &zone{ctx: b.Context(), calls: rand.New(rand.NewPCG(1, 1)), out: true}
				for range 4 {
					z.boot()
				}
				for i := range jobs {
					z.vms[0].journal.Accept(b.Context(), api.Job{
						ID: fmt.Sprint("reconciliation-2026-12-04-", i), Customer: "parishes", Zone: "si-a", Accelerators: 16, Cells: 1, Tasks: 16, Worth: 1, Seconds: 7200,
					})
				}
				b.ReportMetric(float64(z.bytes.Load())/float64(jobs), "wire-B/job")
				b.ReportMetric(float64(proto.Size(z.vms[0].journal.own()))/float64(jobs), "state-B/job")
			}
		})
	}
}

func (z *zone) kill(v *vm) {
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
		if o != v && !z.alone {
			out = append(out, Peer{Name: o.name, Replica: o})
		}
	}
	return out
}

// fails draws whether a call fails before or after its effect.
func (z *zone) fails() (before, after bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	x := z.calls.Float64()
	return x < z.faulty/2, x < z.faulty
}

// Replicate implements Replica.
func (v *vm) Replicate(_ context.Context, u *rpc.ReplicaUpdate) (*rpc.ReplicaState, error) {
	time.Sleep(time.Millisecond)
	before, after := v.zone.fails()
	if before {
		return nil, errCut
	}
	state := v.journal.Replicate(u)
	v.zone.bytes.Add(int64(proto.Size(u) + proto.Size(state)))
	if after {
		return nil, errCut
	}
	return state, nil
}

// Append implements Log.
func (z *zone) Append(_ context.Context, _ string, records [][]byte) (int64, error) {
	time.Sleep(time.Millisecond)
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.out {
		return 0, platform.ErrOut
	}
	for _, data := range records {
		z.records = append(z.records, platform.Record{Offset: int64(len(z.records)), Data: data})
	}
	if z.calls.Float64() < z.faulty/2 {
		return 0, platform.ErrUnsettled
	}
	return 0, nil
}

// Read implements Log.
func (z *zone) Read(_ context.Context, _ string, from int64, _ int) (platform.Page, error) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.out {
		return platform.Page{}, platform.ErrOut
	}
	end := int64(len(z.records))
	return platform.Page{Next: end, End: end, Records: z.records[from:]}, nil
}

func (z *zone) setOut(out bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.out = out
}

// life plays one drawn history: jobs are accepted and end while the log comes and
// goes, and VMs die, the one that leads more often than others but never before
// its replicas had a few seconds. It returns what a placer came to know wrongly.
func life(z *zone, steps int) []string {
	for range 4 {
		z.boot()
	}
	lead := z.vms[0]
	lead.journal.SetLeading(true)
	open, over := map[string]bool{}, map[string]bool{}
	var bad []string
	for i := range steps {
		switch z.draw.IntN(8) {
		case 0, 1, 2:
			id := fmt.Sprint("job", i)
			kept := lead.journal.Accept(z.ctx, api.Job{ID: id})
			open[id] = kept.Durable || kept.Copies > 0
		case 3, 4:
			for _, id := range slices.Sorted(keys(open)) {
				delete(open, id)
				over[id] = true
				lead.journal.End(id, api.Finished)
				break
			}
		case 5:
			z.setOut(z.draw.IntN(3) > 0)
		case 6:
			z.kill(z.vms[1+z.draw.IntN(len(z.vms)-1)])
			z.boot()
		case 7:
			z.kill(lead)
			z.boot()
			lead = z.vms[0]
			lead.journal.SetLeading(true)
			bad = append(bad, compare(z, lead, open, over)...)
		}
		time.Sleep(20 * time.Second)
	}
	return bad
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

// compare has the new placer read until it knows all that can be known: while the
// log is out it can't know the jobs that only the log has.
func compare(z *zone, v *vm, open, over map[string]bool) []string {
	var known Known
	for range 20 {
		known = v.journal.Open(z.ctx)
		time.Sleep(time.Second)
	}
	found := map[string]bool{}
	var bad []string
	for _, in := range known.Jobs {
		found[in.Job.ID] = true
		if over[in.Job.ID] {
			bad = append(bad, in.Job.ID+" is over and would run again")
		}
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	logged := map[string]bool{}
	for _, r := range z.records {
		logged[decode([][]byte{r.Data})[0].id()] = true
	}
	for id, safe := range open {
		known := found[id] || z.out && logged[id]
		if safe && !known {
			bad = append(bad, id+" is lost")
		}
	}
	if known.Whole == z.out {
		bad = append(bad, fmt.Sprintf("whole is %t with the log out %t", known.Whole, z.out))
	}
	return bad
}

// lives plays many histories and returns the faults by seed.
func lives(t *testing.T, alone bool) map[uint64][]string {
	out := map[uint64][]string{}
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			z := &zone{ctx: ctx, draw: rand.New(rand.NewPCG(seed, 1)), calls: rand.New(rand.NewPCG(seed, 2)), alone: alone, faulty: 0.2}
			if bad := life(z, 60); len(bad) > 0 {
				out[seed] = bad
			}
			cancel()
			synctest.Wait()
		})
	}
	return out
}

// TestPlacersKnowWhatIsOpen compares what each new placer reads with what the ones
// before it told: no accepted job is lost and none runs again, with a fifth of all
// calls failing.
func TestPlacersKnowWhatIsOpen(t *testing.T) {
	for seed, bad := range lives(t, false) {
		t.Errorf("seed %d: %s", seed, bad)
	}
}

// TestReplicasAreNeeded plays the same without replicas and sees it fail.
func TestReplicasAreNeeded(t *testing.T) {
	assert.Assert(t, len(lives(t, true)) > 0)
}
