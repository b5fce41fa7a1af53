//go:build review

package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the workers, as the sheet of zbor-robe gives them.
const (
	maxHold     = 10 * time.Second
	gangTimeout = 3 * time.Second
	stopTime    = 300 * time.Millisecond // at most stop_timeout_ms, 400 ms
	heartbeat   = 1500 * time.Millisecond
	maxWait     = 2 * time.Second
)

type amount struct {
	CPU    int64 `json:"cpu"`
	Memory int64 `json:"requested_memory_mb"`
	GPUs   int64 `json:"gpus"`
}

func (a amount) fits(need amount) bool {
	return need.CPU <= a.CPU && need.Memory <= a.Memory && need.GPUs <= a.GPUs
}

func (a amount) minus(b amount) amount {
	return amount{a.CPU - b.CPU, a.Memory - b.Memory, a.GPUs - b.GPUs}
}

// run is one start of a task on a worker.
type run struct {
	task    string
	number  int
	step    *step
	started time.Time
	// workingSince is zero while the other members of a gang are missing.
	workingSince time.Time
	stopAt       time.Time
}

type end struct {
	number int64
	task   string
	run    int
	how    string
}

// worker is a stand-in of a minion. It starts whatever it is told to start.
type worker struct {
	pool     *pool
	id       string
	kind     string
	rack     string
	capacity amount
	address  string

	// The fields below are guarded by pool.mu.
	born      int64
	clockZero time.Time
	token     int64
	lease     time.Time
	runs      map[string]*run // by task
	ends      []end
	endCount  int64
	highest   map[string]int // highest run that was stopped or that ended here, by task
	sequence  int
}

// pool holds all workers of the test.
type pool struct {
	mu      sync.Mutex
	store   *store
	rec     *recorder
	workers []*worker
	jobs    map[string]*job
	starts  []startEvent
	ends    []endEvent
}

type startEvent struct {
	at     time.Time
	task   string
	run    int
	worker *worker
}

type endEvent struct {
	at   time.Time
	task string
	run  int
	how  string
}

func newPool(s *store, rec *recorder) *pool {
	return &pool{store: s, rec: rec, jobs: map[string]*job{}}
}

// add starts a worker and registers it.
func (p *pool) add(ctx context.Context, kind, rack string) {
	w := &worker{pool: p, id: fmt.Sprintf("i-%08x", 0x5e00+len(p.workers)), kind: kind, rack: rack, capacity: amount{128000, 262144, 8}}
	p.workers = append(p.workers, w)
	w.start(ctx)
}

// start begins the worker's life.
func (w *worker) start(ctx context.Context) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	must(err)
	w.address = l.Addr().String()
	w.born, w.clockZero = time.Now().UnixMilli(), time.Now()
	w.runs, w.highest = map[string]*run{}, map[string]int{}
	srv := &http.Server{Handler: http.HandlerFunc(w.serve), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = srv.Serve(l) }() // until the test ends
	go w.heartbeats(ctx)
}

// heartbeats renews the registry entry.
func (w *worker) heartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		w.register()
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat):
		}
	}
}

func (w *worker) register() {
	w.pool.mu.Lock()
	w.sequence++
	entry := map[string]any{
		"service": serviceName, "address": w.address, "zone": "lj-north", "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
		"sequence": w.sequence, "born": w.born, "capacity": w.capacity, "labels": []string{w.kind, w.rack},
	}
	w.pool.mu.Unlock()
	value, err := json.Marshal(entry)
	must(err)
	w.pool.store.put("keyed.servers", w.id, value)
}

func (w *worker) clock(now time.Time) int64 { return now.Sub(w.clockZero).Milliseconds() + 1 }

type orderBody struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	DeadlineMS int64  `json:"deadline_ms"`
	Token      int64  `json:"fencing_token"`
	Seen       int64  `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	if r.Header.Get("X-Expected-Instance") != w.id {
		answer(rw, http.StatusMisdirectedRequest, nil)
		return
	}
	var in orderBody
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		answer(rw, http.StatusBadRequest, nil)
		return
	}
	switch r.URL.Path {
	case "/v1/run-start":
		w.handleStart(rw, in)
	case "/v1/run-stop":
		w.handleStop(rw, in)
	case "/v1/hold":
		w.handleHold(r.Context(), rw, in)
	default:
		answer(rw, http.StatusNotFound, nil)
	}
}

// extend extends the lease to a deadline on the worker's clock.
func (w *worker) extend(now time.Time, deadline int64) {
	lease := min(time.Duration(deadline-w.clock(now))*time.Millisecond, maxHold)
	if until := now.Add(lease); until.After(w.lease) {
		w.lease = until
	}
}

func (w *worker) handleStart(rw http.ResponseWriter, in orderBody) {
	w.pool.mu.Lock()
	defer w.pool.mu.Unlock()
	now := time.Now()
	w.pool.advance(now)
	body := map[string]any{"clock_ms": w.clock(now)}
	s := w.pool.step(in.Task)
	old := w.runs[in.Task]
	switch {
	case in.Token < w.token:
		body["reason"] = "fence"
	case in.DeadlineMS < w.clock(now):
		body["reason"] = "late"
	case old != nil && old.number == in.Run:
	case w.highest[in.Task] >= in.Run || old != nil:
		w.extend(now, in.DeadlineMS)
		body["reason"] = "old"
	case s == nil:
		w.pool.rec.line("worker %s: told to start %s, which no client sent", w.id, in.Task)
		answer(rw, http.StatusBadRequest, nil)
		return
	default:
		w.token = in.Token
		w.extend(now, in.DeadlineMS)
		w.runs[in.Task] = &run{task: in.Task, number: in.Run, step: s, started: now}
		w.pool.starts = append(w.pool.starts, startEvent{now, in.Task, in.Run, w})
		w.pool.rec.line("worker %s (kind %s): starts %s run %d, token %d", w.id, w.kind, in.Task, in.Run, in.Token)
		w.pool.beginGang(now, in.Task, in.Run, s)
	}
	if body["reason"] != nil {
		answer(rw, http.StatusConflict, body)
		return
	}
	w.token = max(w.token, in.Token)
	answer(rw, http.StatusOK, body)
}

func (w *worker) handleStop(rw http.ResponseWriter, in orderBody) {
	w.pool.mu.Lock()
	defer w.pool.mu.Unlock()
	now := time.Now()
	w.pool.advance(now)
	body := map[string]any{"clock_ms": w.clock(now)}
	if in.Token < w.token {
		body["reason"] = "fence"
		answer(rw, http.StatusConflict, body)
		return
	}
	w.token = in.Token
	w.highest[in.Task] = max(w.highest[in.Task], in.Run)
	if r := w.runs[in.Task]; r != nil && r.number <= in.Run && r.stopAt.IsZero() {
		r.stopAt = now.Add(stopTime)
		w.pool.rec.line("worker %s: told to stop %s run %d", w.id, in.Task, in.Run)
	}
	answer(rw, http.StatusOK, body)
}

// holdPoll is how often a waiting hold looks for ends.
const holdPoll = 10 * time.Millisecond

func (w *worker) handleHold(ctx context.Context, rw http.ResponseWriter, in orderBody) {
	until := time.Now().Add(min(time.Duration(in.WaitMS)*time.Millisecond, maxWait))
	for first := true; ; first = false {
		status, body, listed := w.hold(in, first)
		if status != http.StatusOK || listed || time.Now().After(until) || ctx.Err() != nil {
			answer(rw, status, body)
			return
		}
		time.Sleep(holdPoll)
	}
}

func (w *worker) hold(in orderBody, first bool) (int, map[string]any, bool) {
	w.pool.mu.Lock()
	defer w.pool.mu.Unlock()
	now := time.Now()
	w.pool.advance(now)
	body := map[string]any{"clock_ms": w.clock(now), "born": w.born}
	if in.Token < w.token {
		body["reason"] = "fence"
		return http.StatusConflict, body, false
	}
	w.token = in.Token
	if first {
		if in.DeadlineMS > 0 {
			w.extend(now, in.DeadlineMS)
		}
		kept := w.ends[:0]
		for _, e := range w.ends {
			if e.number > in.Seen {
				kept = append(kept, e)
			} else {
				w.pool.rec.line("worker %s: end of %s run %d (%s) is taken note of", w.id, e.task, e.run, e.how)
			}
		}
		w.ends = kept
	}
	running, finished := [][]any{}, [][]any{}
	for _, r := range w.runs {
		running = append(running, []any{r.task, r.number, "", r.percent(now), 0})
	}
	for _, e := range w.ends {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	body["running"], body["finished"] = running, finished
	return http.StatusOK, body, len(finished) > 0
}

func (r *run) percent(now time.Time) int {
	if r.workingSince.IsZero() {
		return 0
	}
	return min(100, int(100*now.Sub(r.workingSince)/max(r.step.work, 1)))
}

// step returns the step of a task that a client has sent, or nil.
func (p *pool) step(task string) *step {
	parts := strings.Split(task, ".")
	if len(parts) != 4 || p.jobs[parts[0]] == nil {
		return nil
	}
	n, err := strconv.Atoi(parts[2])
	if err != nil || n >= len(p.jobs[parts[0]].steps) {
		return nil
	}
	return &p.jobs[parts[0]].steps[n]
}

func gangOf(task string, number int) string {
	return fmt.Sprint(task[:strings.LastIndexByte(task, '.')], "/", number)
}

// members returns the runs of a gang's run with their workers.
func (p *pool) members(gang string) map[*run]*worker {
	out := map[*run]*worker{}
	for _, w := range p.workers {
		for _, r := range w.runs {
			if r.step.gang && gangOf(r.task, r.number) == gang {
				out[r] = w
			}
		}
	}
	return out
}

// beginGang lets a run work, a member of a gang once all members are there.
func (p *pool) beginGang(now time.Time, task string, number int, s *step) {
	if !s.gang {
		for _, w := range p.workers {
			if r := w.runs[task]; r != nil && r.number == number {
				r.workingSince = now
			}
		}
		return
	}
	members := p.members(gangOf(task, number))
	if len(members) == s.count {
		for r := range members {
			r.workingSince = now
		}
	}
}

// advance ends what is due. The caller holds the lock.
func (p *pool) advance(now time.Time) {
	for _, w := range p.workers {
		tasks := make([]string, 0, len(w.runs))
		for task := range w.runs {
			tasks = append(tasks, task)
		}
		sort.Strings(tasks)
		for _, task := range tasks {
			if r := w.runs[task]; r != nil {
				p.advanceRun(w, r, now)
			}
		}
	}
}

func (p *pool) advanceRun(w *worker, r *run, now time.Time) {
	switch {
	case now.After(w.lease):
		p.endGang(w, r, now, "lapsed", "broken")
	case !r.stopAt.IsZero() && now.After(r.stopAt):
		p.endGang(w, r, now, "stopped", "broken")
	case r.workingSince.IsZero() && now.Sub(r.started) > gangTimeout:
		p.endGang(w, r, now, "alone", "broken")
	case !r.workingSince.IsZero() && now.Sub(r.workingSince) >= r.step.work:
		if r.step.fails {
			p.endGang(w, r, now, "failed", "broken")
			return
		}
		p.endGang(w, r, now, "done", "done")
	}
}

// endGang ends a run, and with it the other members of its gang.
func (p *pool) endGang(w *worker, r *run, now time.Time, how, others string) {
	p.end(w, r, now, how)
	if !r.step.gang || r.workingSince.IsZero() {
		return
	}
	for m, at := range p.members(gangOf(r.task, r.number)) {
		p.end(at, m, now, others)
	}
}

func (p *pool) end(w *worker, r *run, now time.Time, how string) {
	delete(w.runs, r.task)
	w.endCount++
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.ends = append(w.ends, end{w.endCount, r.task, r.number, how})
	p.ends = append(p.ends, endEvent{now, r.task, r.number, how})
	p.rec.line("worker %s: %s run %d ends %s", w.id, r.task, r.number, how)
}

// free returns what a worker has free. The caller holds the lock.
func (w *worker) free() amount {
	free := w.capacity
	for _, r := range w.runs {
		free = free.minus(r.step.need)
	}
	return free
}

// startsOf returns the starts of a job's tasks so far.
func (p *pool) startsOf(id string) []startEvent {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []startEvent
	for _, s := range p.starts {
		if strings.HasPrefix(s.task, id+".") {
			out = append(out, s)
		}
	}
	return out
}

// endsOf returns the ends of a job's tasks so far.
func (p *pool) endsOf(id string) []endEvent {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(time.Now())
	var out []endEvent
	for _, e := range p.ends {
		if strings.HasPrefix(e.task, id+".") {
			out = append(out, e)
		}
	}
	return out
}
