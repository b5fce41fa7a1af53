package standin

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"rhubarbshore/internal/httpjson"
	"rhubarbshore/internal/minion"
	"rhubarbshore/pkg/api"
)

// Run is one execution of a request by a minion.
type Run struct {
	Minion   string `json:"minion"`
	Request  string `json:"request"`
	Attempt  string `json:"attempt"`
	Customer string `json:"customer"`
	Kind     string `json:"kind"`
	Body     string `json:"body"`
}

// MinionFault injects faults into one minion.
type MinionFault struct {
	// Fail answers that the request failed and records no run.
	Fail bool `json:"fail"`
	// DropResponses runs requests and aborts the connection instead of answering.
	DropResponses bool `json:"mute"`
	// TruncateResponses sends only the first half of each answer.
	TruncateResponses bool `json:"cut"`
	// WrongRequestID answers with the id of another request.
	WrongRequestID bool `json:"cross"`
	// Leaving refuses new requests, as a backend server does that is shutting down.
	Leaving bool `json:"leaving"`
}

// MinionConfig configures a Minion. RequestTime is how long a request takes.
type MinionConfig struct {
	Name        string
	Slots       int
	Connections int
	RequestTime time.Duration
}

// Minion simulates one backend server.
type Minion struct {
	cfg       MinionConfig
	mu        sync.Mutex
	runs      []Run
	busySlots int
	peakSlots int
	conns     int
	peakConns int
	refused   int // requests refused because all slots were in use
	fault     MinionFault
}

// NewMinion returns an idle minion.
func NewMinion(cfg MinionConfig) *Minion { return &Minion{cfg: cfg} }

// SetFault replaces the fault in force.
func (m *Minion) SetFault(f MinionFault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = f
}

// Ledger returns the requests that the minion has run.
func (m *Minion) Ledger() []Run {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]Run(nil), m.runs...)
}

// Peaks returns the peak numbers of slots and connections in use.
func (m *Minion) Peaks() (slots, connections int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peakSlots, m.peakConns
}

// Track counts open connections. It is meant for http.Server.ConnState.
func (m *Minion) Track(_ net.Conn, state http.ConnState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch state {
	case http.StateNew:
		m.conns++
		m.peakConns = max(m.peakConns, m.conns)
	case http.StateClosed, http.StateHijacked:
		m.conns--
	default:
	}
}

// Handler serves the minion's API, its ledger and its fault injection.
func (m *Minion) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/run", m.handleRun).Methods(http.MethodPost)
	r.HandleFunc("/ledger", m.handleLedger).Methods(http.MethodGet)
	r.HandleFunc("/fault", m.handleFault).Methods(http.MethodPost)
	return r
}

func (m *Minion) handleLedger(w http.ResponseWriter, _ *http.Request) {
	httpjson.Write(w, http.StatusOK, m.Ledger())
}

func (m *Minion) handleFault(w http.ResponseWriter, r *http.Request) {
	f, err := httpjson.Read[MinionFault](w, r, httpjson.MaxBody)
	if err == nil {
		m.SetFault(f)
	}
	httpjson.Write(w, http.StatusOK, f)
}

// acquireSlot reserves a slot and records the run. It returns the fault in force and
// the reason of a refusal, if any.
func (m *Minion) acquireSlot(run Run) (MinionFault, string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fault.Leaving {
		return m.fault, minion.ReasonLeaving
	}
	if m.busySlots >= m.cfg.Slots {
		m.refused++
		return m.fault, minion.ReasonBusy
	}
	m.busySlots++
	m.peakSlots = max(m.peakSlots, m.busySlots)
	if !m.fault.Fail {
		m.runs = append(m.runs, run)
	}
	return m.fault, ""
}

func (m *Minion) releaseSlot() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.busySlots--
}

func (m *Minion) handleRun(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, httpjson.MaxBody))
	if err != nil {
		httpjson.Refuse(w, http.StatusBadRequest, "body", err.Error())
		return
	}
	run := Run{
		Minion: m.cfg.Name, Request: r.Header.Get(api.HeaderRequest), Attempt: r.Header.Get(api.HeaderAttempt),
		Customer: r.Header.Get(minion.HeaderCustomer), Kind: r.Header.Get(minion.HeaderKind), Body: string(body),
	}
	f, refusal := m.acquireSlot(run)
	if refusal != "" {
		httpjson.Refuse(w, http.StatusServiceUnavailable, refusal, "not run")
		return
	}
	defer m.releaseSlot()
	if m.cfg.RequestTime > 0 {
		time.Sleep(m.cfg.RequestTime)
	}
	m.answer(w, f, run)
}

func (m *Minion) answer(w http.ResponseWriter, f MinionFault, run Run) {
	if f.DropResponses {
		panic(http.ErrAbortHandler)
	}
	out := []byte(run.Customer + " " + run.Kind + " " + run.Body)
	h := w.Header()
	h["Date"] = nil
	h.Set(api.HeaderRequest, run.Request)
	h.Set(api.HeaderAttempt, run.Attempt)
	h.Set(api.HeaderHash, httpjson.Hash(out))
	if f.WrongRequestID {
		h.Set(api.HeaderRequest, "another")
	}
	if f.Fail {
		w.WriteHeader(http.StatusUnprocessableEntity)
	}
	if f.TruncateResponses {
		out = out[:len(out)/2]
	}
	_, _ = w.Write(out)
}

// Name returns the minion's name.
func (m *Minion) Name() string { return m.cfg.Name }
