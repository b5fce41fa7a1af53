//go:build review3

package stand3

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// workOf returns how long a task works, and whether it lasts until it is cancelled.
type workOf func(task string) (work time.Duration, lasting bool)

// minion is a stand-in of a minion. It follows the pages: it keeps the highest fencing token, kills all that
// runs when its lease ends, lists ends until they are taken note of, and sends its entry every 1.5 s.
type minion struct {
	site                    *site
	id, service, rack, zone string
	version                 string // of its software
	address                 string
	gpus                    int
	born                    time.Time
	listener                net.Listener

	mu       sync.Mutex
	dark     bool // it has lost its power
	draining bool
	gone     bool
	grey     bool
	calls    map[string]int // since it is grey, by path
	token    int64
	lease    time.Time
	runs     map[string]*run
	stopped  map[string]int // highest run of a task that was stopped or has ended
	ends     []ended
	count    int64
	sequence int
	changed  chan struct{}
}

type run struct {
	task      string
	number    int
	startedAt time.Time
	endsAt    time.Time // zero for one that lasts
	stopAt    time.Time
}

type ended struct {
	n    int64
	task string
	run  int
	how  string
}

func newMinion(s *site, id, service, rack, zone string, gpus int, listener net.Listener) *minion {
	m := &minion{
		site: s, id: id, service: service, rack: rack, zone: zone, version: s.software, address: listener.Addr().String(), gpus: gpus, born: time.Now(), listener: listener,
		runs: map[string]*run{}, stopped: map[string]int{}, changed: make(chan struct{}),
	}
	go func() { _ = http.Serve(listener, m) }()
	go m.beat()
	go m.work()
	return m
}

func (m *minion) clock() int64 { return time.Since(m.born).Milliseconds() + 1 }

// entry returns what the minion says of itself.
func (m *minion) entry() map[string]any {
	state := "ready"
	if m.draining {
		state = "draining"
	}
	return map[string]any{
		"service": m.service, "address": m.address, "zone": m.zone, "version": m.version, "slots": 8, "state": state, "cold_remaining_ms": 0,
		"remaining_ms": drainTime.Milliseconds(),
		"capacity":     map[string]any{"cpu": 32000, "requested_memory_mb": 131072, "gpus": m.gpus}, "labels": []string{"a", m.rack},
		"clock_ms": m.clock(), "sequence": m.sequence, "born": m.born.UnixMilli(),
	}
}

const (
	heartbeat = 1500 * time.Millisecond
	drainTime = 2 * time.Second
)

func (m *minion) beat() {
	for m.register() {
		time.Sleep(heartbeat)
	}
}

// register sends its entry, unless it has gone.
func (m *minion) register() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dark || m.gone {
		return false
	}
	m.sequence++
	value, err := json.Marshal(m.entry())
	if err != nil {
		panic(err)
	}
	m.site.store.put("servers", m.id, value)
	return true
}

// leave drains the minion, which runs nothing, and removes it.
func (m *minion) leave() {
	m.mu.Lock()
	m.draining = true
	m.mu.Unlock()
	m.register()
	m.site.note("%s drains", m)
	time.Sleep(drainTime + heartbeat/2)
	m.mu.Lock()
	m.gone = true
	m.mu.Unlock()
	_ = m.listener.Close()
	m.site.store.put("servers", m.id, nil)
	m.site.note("%s has left", m)
}

// afterBeat waits until the minion has sent its next entry.
func (m *minion) afterBeat() {
	sent := func() int {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.sequence
	}
	before := sent()
	await(2*heartbeat, func() bool { return sent() > before })
}

// lose takes the minion's power away: it answers no more, and its entry is removed after three heartbeats.
func (m *minion) lose() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dark = true
	for _, r := range m.runs {
		m.site.note("%s: lost with its run %s/%d", m.id, r.task, r.number)
	}
	m.site.lost(m)
	clear(m.runs)
	time.AfterFunc(3*heartbeat, func() { m.site.store.put("servers", m.id, nil) })
}

// work ends the runs that are due, and all of them when the lease ends.
func (m *minion) work() {
	for {
		time.Sleep(10 * time.Millisecond)
		m.mu.Lock()
		if m.dark || m.gone {
			m.mu.Unlock()
			return
		}
		now := time.Now()
		for _, r := range m.runs {
			switch {
			case now.After(m.lease):
				m.end(r, "lapsed")
			case !r.stopAt.IsZero() && now.After(r.stopAt):
				m.end(r, "stopped")
			case !r.endsAt.IsZero() && now.After(r.endsAt):
				m.end(r, "done")
			}
		}
		m.mu.Unlock()
	}
}

// end ends a run. The caller holds the lock.
func (m *minion) end(r *run, how string) {
	delete(m.runs, r.task)
	m.stopped[r.task] = max(m.stopped[r.task], r.number)
	m.count++
	m.ends = append(m.ends, ended{m.count, r.task, r.number, how})
	m.site.ended(m, r, how)
	close(m.changed)
	m.changed = make(chan struct{})
}

// paddingVersion is the version of minions that send a newline while a call to them waits, so that nothing between
// takes the connection for dead.
const paddingVersion = "v2"

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Text     string `json:"specification"`
	Deadline int64  `json:"deadline_ms"`
	Token    int64  `json:"fencing_token"`
	Seen     int64  `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
}

func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	dark := m.dark
	m.mu.Unlock()
	if dark {
		silence(r.Context())
	}
	var in order
	if r.Method != http.MethodPost || json.NewDecoder(r.Body).Decode(&in) != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	if r.Header.Get("X-Expected-Instance") != m.id {
		reply(w, http.StatusMisdirectedRequest, map[string]any{"clock_ms": m.clock()})
		return
	}
	if m.fails(r.URL.Path) {
		// The order is carried out; what fails is the answer.
		answer := w
		w = httptest.NewRecorder()
		defer func() {
			m.site.note("%s: %s of %s/%d is carried out and answered with 500", m, r.URL.Path, in.Task, in.Run)
			reply(answer, http.StatusInternalServerError, nil)
		}()
	}
	switch r.URL.Path {
	case "/v1/run-start":
		m.start(w, in)
	case "/v1/run-stop":
		m.stop(w, in)
	case "/v1/hold":
		m.hold(r.Context(), w, in)
	default:
		reply(w, http.StatusNotFound, nil)
	}
}

// fails reports whether a call fails: of a grey minion, two calls of five of each kind do.
func (m *minion) fails(path string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.grey {
		return false
	}
	n := m.calls[path]
	m.calls[path]++
	return n%5 == 0 || n%5 == 2
}

func (m *minion) setGrey(grey bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.grey, m.calls = grey, map[string]int{}
	m.site.note("%s: grey is %v", m, grey)
}

// silence ends a call without an answer, once the caller has given it up.
func silence(ctx context.Context) {
	<-ctx.Done()
	panic(http.ErrAbortHandler)
}

// admit checks the token and takes the deadline over. The caller holds the lock.
func (m *minion) admit(w http.ResponseWriter, in order) bool {
	if in.Token < m.token {
		m.conflict(w, "fence")
		return false
	}
	m.token = in.Token
	return true
}

func (m *minion) extend(deadline int64) {
	until := min(deadline, m.clock()+m.site.maxHold.Milliseconds())
	if at := m.born.Add(time.Duration(until) * time.Millisecond); at.After(m.lease) {
		m.lease = at
	}
}

func (m *minion) conflict(w http.ResponseWriter, reason string) {
	reply(w, http.StatusConflict, map[string]any{"clock_ms": m.clock(), "reason": reason})
}

func (m *minion) start(w http.ResponseWriter, in order) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.admit(w, in) {
		return
	}
	if r := m.runs[in.Task]; r != nil && r.number == in.Run {
		reply(w, http.StatusOK, map[string]any{"clock_ms": m.clock()})
		return
	}
	if in.Deadline <= m.clock() {
		m.conflict(w, "late")
		return
	}
	m.extend(in.Deadline)
	if in.Run <= m.stopped[in.Task] || m.runs[in.Task] != nil {
		m.conflict(w, "old")
		return
	}
	r := &run{task: in.Task, number: in.Run, startedAt: time.Now()}
	work, lasting := m.site.work(in.Task)
	if !lasting {
		r.endsAt = r.startedAt.Add(work)
	}
	m.runs[in.Task] = r
	m.site.started(m, r, in)
	reply(w, http.StatusOK, map[string]any{"clock_ms": m.clock()})
}

const stopTime = 100 * time.Millisecond

func (m *minion) stop(w http.ResponseWriter, in order) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.admit(w, in) {
		return
	}
	if r := m.runs[in.Task]; r != nil && r.number == in.Run {
		if r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(stopTime)
			m.site.note("%s: stop of %s/%d is ordered", m.id, in.Task, in.Run)
		}
	} else {
		m.stopped[in.Task] = max(m.stopped[in.Task], in.Run)
	}
	reply(w, http.StatusOK, map[string]any{"clock_ms": m.clock()})
}

func (m *minion) hold(ctx context.Context, w http.ResponseWriter, in order) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.admit(w, in) {
		return
	}
	m.extend(in.Deadline)
	var rest []ended
	for _, e := range m.ends {
		if e.n > in.Seen {
			rest = append(rest, e)
		}
	}
	m.ends = rest
	if len(m.ends) == 0 && in.Wait > 0 {
		changed := m.changed
		m.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		case <-time.After(time.Duration(min(in.Wait, 2000)) * time.Millisecond):
		}
		m.mu.Lock()
		if m.dark {
			silence(ctx)
		}
	}
	running, finished := [][]any{}, [][]any{}
	for _, r := range m.runs {
		percent := 100
		if !r.endsAt.IsZero() {
			percent = int(100 * time.Since(r.startedAt) / r.endsAt.Sub(r.startedAt))
		}
		running = append(running, []any{r.task, r.number, "", min(percent, 100)})
	}
	for _, e := range m.ends {
		finished = append(finished, []any{e.n, e.task, e.run, e.how, ""})
	}
	padding := ""
	if in.Wait > 0 && m.version == paddingVersion {
		padding = "\n" // white space before a JSON text has no meaning
	}
	replyPadded(w, http.StatusOK, padding, map[string]any{"clock_ms": m.clock(), "born": m.born.UnixMilli(), "running": running, "finished": finished})
}

// jobOf returns the ID of a task's job.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

func (m *minion) String() string { return fmt.Sprintf("%s (%s)", m.id, m.service) }
