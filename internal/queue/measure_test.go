package queue

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbshore/internal/minion"
	"rhubarbshore/internal/request"
	"rhubarbshore/internal/route"
	"rhubarbshore/pkg/api"
)

// Size and load of the simulated pool.
const (
	servers     = 10
	slots       = 8
	serviceTime = 20 * time.Millisecond
	loadTime    = 4 * time.Second
)

// fakePool simulates a set of minions in virtual time.
type fakePool struct {
	mu           sync.Mutex
	busy         map[string]int
	peak         int
	slow         map[string]time.Duration
	losesAnswers map[string]bool
	leaving      map[string]bool
	afterLeaving int
	rng          *rand.Rand
}

func newFakePool() *fakePool {
	return &fakePool{
		busy: map[string]int{}, slow: map[string]time.Duration{}, losesAnswers: map[string]bool{}, leaving: map[string]bool{},
		rng: rand.New(rand.NewPCG(1, 1)),
	}
}

// Send implements Sender.
func (p *fakePool) Send(ctx context.Context, url string, a minion.Attempt) (minion.Answer, error) {
	p.mu.Lock()
	if p.leaving[url] {
		p.afterLeaving++
		p.mu.Unlock()
		return minion.Answer{}, minion.ErrLeaving
	}
	if p.busy[url] >= slots {
		p.mu.Unlock()
		return minion.Answer{}, minion.ErrBusy
	}
	p.busy[url]++
	p.peak = max(p.peak, p.busy[url])
	took := serviceTime/2 + time.Duration(p.rng.Int64N(int64(serviceTime))) + p.slow[url]
	losesAnswers := p.losesAnswers[url]
	p.mu.Unlock()
	if losesAnswers {
		took = 2 * time.Millisecond
	}
	timer := time.NewTimer(took)
	defer timer.Stop()
	var err error
	select {
	case <-timer.C:
	case <-ctx.Done():
		err = minion.ErrUnknownOutcome
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy[url]--
	if losesAnswers || err != nil {
		return minion.Answer{}, minion.ErrUnknownOutcome
	}
	return minion.Answer{Body: a.Body}, nil
}

// doFunc runs a request and returns its outcome.
type doFunc func(ctx context.Context, r *request.Request) api.Response

// startQueue runs a Queue that sends to the pool.
func startQueue(ctx context.Context, p *fakePool) doFunc {
	r := route.New(route.Config{Zone: "z", Slots: slots, Connections: slots})
	var listed []route.ListedServer
	for i := range servers {
		listed = append(listed, route.ListedServer{Name: fmt.Sprint("m", i), Address: fmt.Sprint("m", i), Zone: "z"})
	}
	r.Update(listed)
	q := New(Config{Service: "s", Zone: "z", Size: 5000, Sender: p, Router: r, Logger: slog.New(slog.DiscardHandler)})
	q.SetShares(map[string]float64{"a": 1, "b": 1})
	go q.Run(ctx)
	return q.Do
}

// startBaseline runs requests first in, first out on randomly chosen servers, without
// admission control and without regard to their windows.
func startBaseline(ctx context.Context, p *fakePool) doFunc {
	type waiting struct {
		r     *request.Request
		reply chan api.Response
	}
	fifo := make(chan waiting, 5000)
	for range servers * slots {
		go func() {
			for {
				select {
				case w := <-fifo:
					w.reply <- baselineSend(ctx, p, w.r)
				case <-ctx.Done():
					return
				}
			}
		}()
	}
	return func(_ context.Context, r *request.Request) api.Response {
		w := waiting{r: r, reply: make(chan api.Response, 1)}
		select {
		case fifo <- w:
			return <-w.reply
		default:
			return r.Refuse(api.NotRun, request.ReasonFull)
		}
	}
}

func baselineSend(ctx context.Context, p *fakePool, r *request.Request) api.Response {
	for range 8 {
		call, cancel := context.WithTimeout(ctx, r.Timeout)
		_, err := p.Send(call, fmt.Sprint("m", rand.IntN(servers)), minion.Attempt{Request: r.ID})
		cancel()
		if err == nil {
			return r.Refuse(api.Done, "")
		}
		time.Sleep(time.Millisecond)
	}
	return r.Refuse(api.Unknown, "")
}

// score sums, per customer, the worth that was offered and the worth that was done within
// its window.
type score struct {
	mu      sync.Mutex
	done    map[string]float64
	offered map[string]float64
}

// offer sends requests of the customer at the given rate for loadTime.
func (s *score) offer(ctx context.Context, wg *sync.WaitGroup, run doFunc, customer string, rate float64) {
	rng := rand.New(rand.NewPCG(uint64(len(customer)), uint64(rate)))
	wg.Go(func() {
		for begin := time.Now(); time.Since(begin) < loadTime; {
			time.Sleep(time.Duration(rng.ExpFloat64() * float64(time.Second) / rate))
			r := &request.Request{
				ID: "r", Customer: customer, Kind: "small", Worth: 1, Idempotent: true, Timeout: 500 * time.Millisecond, Deadline: time.Now().Add(time.Second),
			}
			if rng.IntN(4) == 0 {
				r.Kind, r.Worth = "precious", 5
			}
			wg.Go(func() {
				resp := run(ctx, r)
				s.mu.Lock()
				defer s.mu.Unlock()
				s.offered[customer] += r.Worth
				if resp.Outcome == api.Done && !time.Now().After(r.Deadline) {
					s.done[customer] += r.Worth
				}
			})
		}
	})
}

// simulate offers the rates, in multiples of the pool's capacity. It returns the worth
// done per second, and the share of customer a's worth that was done.
func simulate(t *testing.T, start func(ctx context.Context, p *fakePool) doFunc, p *fakePool, rates map[string]float64) (worth, shareOfA float64) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &score{done: map[string]float64{}, offered: map[string]float64{}}
		run := start(ctx, p)
		capacity := float64(servers*slots) / serviceTime.Seconds()
		var wg sync.WaitGroup
		for _, customer := range []string{"a", "b"} {
			s.offer(ctx, &wg, run, customer, rates[customer]*capacity)
		}
		wg.Wait()
		cancel()
		synctest.Wait()
		worth = (s.done["a"] + s.done["b"]) / loadTime.Seconds()
		shareOfA = s.done["a"] / s.offered["a"]
	})
	return worth, shareOfA
}

// TestRoutingMeasures guards against a queue and router that do worse than a baseline
// (first in, first out to random servers) on the same seeded load, with and without
// faulty servers.
func TestRoutingMeasures(t *testing.T) {
	faults := map[string]func(p *fakePool){
		"none":    func(*fakePool) {},
		"slow":    func(p *fakePool) { p.slow["m0"] = 400 * time.Millisecond },
		"mute":    func(p *fakePool) { p.losesAnswers["m0"] = true },
		"leaving": func(p *fakePool) { p.leaving["m0"] = true },
		"half": func(p *fakePool) {
			p.leaving["m0"], p.leaving["m1"], p.leaving["m2"], p.leaving["m3"], p.leaving["m4"] = true, true, true, true, true
		},
	}
	var table strings.Builder
	for _, name := range []string{"none", "slow", "mute", "leaving", "half"} {
		for _, load := range []float64{0.7, 2, 5} {
			rates := map[string]float64{"a": 0.3, "b": load - 0.3}
			pool, baseline := newFakePool(), newFakePool()
			faults[name](pool)
			faults[name](baseline)
			worth, a := simulate(t, startQueue, pool, rates)
			baselineWorth, baselineA := simulate(t, startBaseline, baseline, rates)
			fmt.Fprintf(&table, "%-8s load %.1f  baseline worth/s %-6.0f a %.3f   queue worth/s %-6.0f a %.3f  peak %d  to leaving %d / %d\n",
				name, load, baselineWorth, baselineA, worth, a, pool.peak, baseline.afterLeaving, pool.afterLeaving)
			assert.Check(t, pool.peak <= slots)
			assert.Check(t, worth >= baselineWorth*0.98, "%s load %.1f: %.0f against %.0f", name, load, worth, baselineWorth)
			if name == "none" {
				assert.Check(t, a > 0.95, "customer a stayed within its share but only %.3f of its worth was done", a)
			}
			if name == "leaving" {
				assert.Check(t, pool.afterLeaving <= slots, "%d requests were sent to a leaving server", pool.afterLeaving)
			}
		}
	}
	if os.Getenv("VERBOSE") != "" || testing.Verbose() {
		t.Log("\n" + table.String())
	}
}
