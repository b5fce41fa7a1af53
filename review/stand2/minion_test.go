//go:build review2

package stand2

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"rhubarbshore/internal/store"
)

// Bounds of the deployment, as in the settings that the daemons get.
const (
	heartbeat  = 1500 * time.Millisecond
	maxHold    = 10 * time.Second
	stopTime   = 400 * time.Millisecond
	cancelTime = 3 * time.Second
	visible    = 3 * time.Second
	contact    = 3 * time.Second
)

// room is an amount of resources: thousandths of a core, MB and GPUs.
type room struct{ cpu, memory, gpus int64 }

// minion is a stand-in of one minion. Its runs last as long as their specification says ("work=MS"), and
// those of lasting tasks ("lasts") until they are stopped or their lease ends.
type minion struct {
	s        *site
	id, rack string
	label    string
	capacity room
	address  string
	server   *http.Server

	mu       sync.Mutex
	born     time.Time
	token    int64
	lease    time.Time
	runs     map[string]*taskRun // by task
	stopped  map[string]int      // highest run that was stopped or has ended, by task
	finished [][]any
	ends     int64
	busy     bool // answers starts with 503 and does nothing
	lost     bool // has crashed: answers nothing and sends nothing
	wrongID  int  // calls that were answered 421
	sequence int
}

type taskRun struct {
	run    int
	spec   string
	endsAt time.Time // zero for a lasting task
	began  time.Time
	stopAt time.Time
}

func (s *site) addMinion(id, rack, label string, capacity room) *minion {
	return s.addMinionAt("127.0.0.1:0", id, rack, label, capacity)
}

func (s *site) addMinionAt(address, id, rack, label string, capacity room) *minion {
	m := &minion{s: s, id: id, rack: rack, label: label, capacity: capacity, born: time.Now(), runs: map[string]*taskRun{}, stopped: map[string]int{}}
	l, err := net.Listen("tcp", address)
	s.must(err)
	m.address = l.Addr().String()
	m.server = &http.Server{Handler: m, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = m.server.Serve(l) }()
	s.minions = append(s.minions, m)
	m.register()
	go m.live()
	return m
}

// live writes the registry entry each heartbeat and ends what is due.
func (m *minion) live() {
	next := time.Now().Add(heartbeat)
	for range time.Tick(10 * time.Millisecond) {
		m.mu.Lock()
		m.advance(time.Now())
		lost := m.lost
		m.mu.Unlock()
		if lost {
			time.Sleep(3 * heartbeat) // the platform removes a silent entry
			m.s.platform.Log.Put(store.Stream{Topic: "servers"}, store.Record{Key: m.id})
			return
		}
		if time.Now().After(next) {
			next = next.Add(heartbeat)
			m.register()
		}
	}
}

func (m *minion) register() {
	m.mu.Lock()
	m.sequence++
	entry := map[string]any{
		"service": serviceName, "address": m.address, "zone": "z1", "version": "1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
		"sequence": m.sequence, "born": m.born.UnixMilli(), "labels": []string{m.label, m.rack},
		"capacity": map[string]any{"cpu": m.capacity.cpu, "requested_memory_mb": m.capacity.memory, "gpus": m.capacity.gpus},
	}
	m.mu.Unlock()
	value, err := json.Marshal(entry)
	m.s.must(err)
	m.s.platform.Log.Put(store.Stream{Topic: "servers"}, store.Record{Key: m.id, Value: value})
}

// restart makes the minion crash. After a while a new one, with an ID of its own, starts at the same address.
func (m *minion) restart(down time.Duration) {
	m.crash()
	time.Sleep(down)
	next := m.s.addMinionAt(m.address, m.id+"-2", m.rack, m.label, m.capacity)
	m.s.note("minion %s starts at the address of %s", next.id, m.id)
}

func (m *minion) crash() {
	m.mu.Lock()
	for task, r := range m.runs {
		m.s.note("minion %s crashes with %s run %d", m.id, task, r.run)
		m.s.ended(task)
	}
	clear(m.runs)
	m.lost = true
	m.mu.Unlock()
	_ = m.server.Close()
}

func (m *minion) setBusy(busy bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.busy = busy
	m.s.note("minion %s busy: %t", m.id, busy)
}

// clockMS is the minion's steady clock.
func (m *minion) clockMS(now time.Time) int64 { return now.Sub(m.born).Milliseconds() + 1 }

func (m *minion) advance(now time.Time) {
	for task, r := range m.runs {
		switch {
		case now.After(m.lease):
			m.end(task, r, "lapsed")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			m.end(task, r, "stopped")
		case !r.endsAt.IsZero() && now.After(r.endsAt):
			m.end(task, r, "done")
		}
	}
}

func (m *minion) end(task string, r *taskRun, how string) {
	delete(m.runs, task)
	m.stopped[task] = max(m.stopped[task], r.run)
	m.ends++
	m.finished = append(m.finished, []any{m.ends, task, r.run, how, ""})
	m.s.note("minion %s: %s run %d ends %s", m.id, task, r.run, how)
	m.s.ended(task)
}

type orderBody struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"specification"`
	DeadlineMS int64  `json:"deadline_ms"`
	Token      int64  `json:"fencing_token"`
	Seen       int64  `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
}

// ServeHTTP implements http.Handler.
func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var in orderBody
	if id := r.Header.Get("X-Expected-Instance"); id != m.id {
		m.mu.Lock()
		if m.wrongID++; m.wrongID == 1 {
			m.s.note("minion %s answers a call for %s with 421", m.id, id)
		}
		m.mu.Unlock()
		answer(w, http.StatusMisdirectedRequest, map[string]any{})
		return
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	m.mu.Lock()
	if m.lost {
		m.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	now := time.Now()
	m.advance(now)
	status, body := http.StatusOK, map[string]any{"clock_ms": m.clockMS(now), "born": m.born.UnixMilli()}
	switch {
	case in.Token < m.token:
		status, body["reason"] = http.StatusConflict, "fence"
	case r.URL.Path == "/v1/run-start":
		status = m.start(now, in, body)
	case r.URL.Path == "/v1/run-stop":
		m.token = in.Token
		m.stopped[in.Task] = max(m.stopped[in.Task], in.Run)
		if run := m.runs[in.Task]; run != nil && run.run <= in.Run && run.stopAt.IsZero() {
			run.stopAt = now.Add(stopTime / 2)
		}
	case r.URL.Path == "/v1/hold":
		m.token = in.Token
		m.extend(now, in.DeadlineMS)
		m.finished = slices.DeleteFunc(m.finished, func(row []any) bool { return row[0].(int64) <= in.Seen })
		m.awaitEnd(r, time.Duration(in.WaitMS)*time.Millisecond)
		now = time.Now()
		running := [][]any{}
		for task, run := range m.runs {
			running = append(running, []any{task, run.run, "", run.percent(now)})
		}
		body = map[string]any{"clock_ms": m.clockMS(now), "born": m.born.UnixMilli(), "running": running, "finished": append([][]any{}, m.finished[:min(len(m.finished), 500)]...)}
	default:
		status = http.StatusNotFound
	}
	lost := m.lost
	m.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	answer(w, status, body)
}

func (r *taskRun) percent(now time.Time) int {
	if r.endsAt.IsZero() {
		return 100
	}
	return min(99, int(100*now.Sub(r.began)/r.endsAt.Sub(r.began)))
}

// awaitEnd waits until a run has ended. The caller holds the lock.
func (m *minion) awaitEnd(r *http.Request, wait time.Duration) {
	for end := time.Now().Add(wait); len(m.finished) == 0 && time.Now().Before(end) && !m.lost && r.Context().Err() == nil; {
		m.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		m.mu.Lock()
		m.advance(time.Now())
	}
}

func (m *minion) extend(now time.Time, deadline int64) {
	if deadline <= 0 {
		return
	}
	end := now.Add(min(time.Duration(deadline-m.clockMS(now))*time.Millisecond, maxHold))
	if end.After(m.lease) {
		m.lease = end
	}
}

func (m *minion) start(now time.Time, in orderBody, body map[string]any) int {
	refuse := func(reason string) int {
		body["reason"] = reason
		return http.StatusConflict
	}
	switch run := m.runs[in.Task]; {
	case m.busy:
		m.s.note("minion %s answers the start of %s run %d with 503", m.id, in.Task, in.Run)
		return http.StatusServiceUnavailable
	case in.DeadlineMS < m.clockMS(now):
		return refuse("late")
	case run != nil && run.run == in.Run:
	case m.stopped[in.Task] >= in.Run || run != nil:
		m.extend(now, in.DeadlineMS)
		return refuse("old")
	default:
		run = &taskRun{run: in.Run, spec: in.Spec, began: now}
		if text, ok := strings.CutPrefix(in.Spec, "work="); ok {
			ms, err := strconv.Atoi(text)
			m.s.must(err)
			run.endsAt = now.Add(time.Duration(ms) * time.Millisecond)
		}
		m.runs[in.Task] = run
		m.s.note("minion %s starts %s run %d, token %d", m.id, in.Task, in.Run, in.Token)
		m.s.began(in.Task, now)
	}
	m.token = in.Token
	m.extend(now, in.DeadlineMS)
	return http.StatusOK
}

func answer(w http.ResponseWriter, status int, body map[string]any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has gone
}

func (m *minion) String() string { return fmt.Sprint(m.id, " ", m.label) }
