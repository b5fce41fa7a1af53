// Package standin simulates the systems around the scheduler that its users run:
// the platform's log and instance list, workers with accelerators, and minions
// (backend servers). The stand-ins record every run in a ledger, which tests and the
// demo compare with the answers that callers received. To keep that record
// independent, the package does not use the scheduler's own state.
package standin

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"rhubarbshore/internal/httpjson"
	"rhubarbshore/internal/platform"
)

// Fault injects faults into the platform.
type Fault struct {
	// Unavailable refuses every call to the log.
	Unavailable bool `json:"out"`
	// DropResponses executes appends and aborts the connection instead of answering.
	DropResponses bool `json:"mute"`
	// Slow delays every call to the log, in milliseconds.
	Slow int64 `json:"slow"`
	// Lag is how far the instance list lags behind, in milliseconds.
	Lag int64 `json:"lag"`
}

// PlatformConfig configures a Platform. Keep is the number of records that a
// stream retains, 0 for all.
type PlatformConfig struct {
	Keep int
}

// Platform simulates the platform's log and instance list.
type Platform struct {
	cfg     PlatformConfig
	mu      sync.Mutex
	fault   Fault
	streams map[string]*stream
	history []listChange
	version int64
	appends int64
}

type stream struct {
	first   int64 // offset of records[0]
	records [][]byte
}

// listChange is a change of the instance list. It becomes visible after Fault.Lag.
type listChange struct {
	at      time.Time
	version int64
	entry   platform.Instance
}

// NewPlatform returns an empty platform.
func NewPlatform(cfg PlatformConfig) *Platform {
	return &Platform{cfg: cfg, streams: map[string]*stream{}}
}

// SetFault replaces the fault in force.
func (p *Platform) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

// Handler serves the log under /streams and the instance list under /instances.
func (p *Platform) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/streams/{name:.+}", p.handleAppend).Methods(http.MethodPost)
	r.HandleFunc("/streams/{name:.+}", p.handleRead).Methods(http.MethodGet)
	r.HandleFunc("/instances", p.handleList).Methods(http.MethodGet)
	r.HandleFunc("/instances/{name}", p.handlePut).Methods(http.MethodPut)
	r.HandleFunc("/fault", p.handleFault).Methods(http.MethodPost)
	return r
}

func (p *Platform) handleFault(w http.ResponseWriter, r *http.Request) {
	f, err := httpjson.Read[Fault](w, r, httpjson.MaxBody)
	if err != nil {
		httpjson.Refuse(w, http.StatusBadRequest, "body", err.Error())
		return
	}
	p.SetFault(f)
	httpjson.Write(w, http.StatusOK, f)
}

// applyFault applies the fault in force and returns it. It returns false if it has
// refused the call.
func (p *Platform) applyFault(w http.ResponseWriter) (Fault, bool) {
	p.mu.Lock()
	f := p.fault
	p.mu.Unlock()
	if f.Slow > 0 {
		time.Sleep(time.Duration(f.Slow) * time.Millisecond)
	}
	if f.Unavailable {
		httpjson.Refuse(w, http.StatusServiceUnavailable, "out", "the log is out")
		return f, false
	}
	return f, true
}

func (p *Platform) handleAppend(w http.ResponseWriter, r *http.Request) {
	f, ok := p.applyFault(w)
	if !ok {
		return
	}
	in, err := httpjson.Read[platform.Batch](w, r, httpjson.MaxBody)
	if err != nil {
		httpjson.Refuse(w, http.StatusBadRequest, "body", err.Error())
		return
	}
	offset := p.Append(mux.Vars(r)["name"], in.Records)
	if f.DropResponses {
		panic(http.ErrAbortHandler)
	}
	httpjson.Write(w, http.StatusOK, platform.Appended{Offset: offset})
}

// Append adds records to a stream, drops the oldest ones beyond the retention, and
// returns the offset of the first added record.
func (p *Platform) Append(name string, records [][]byte) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.streams[name]
	if s == nil {
		s = &stream{}
		p.streams[name] = s
	}
	p.appends++
	offset := s.first + int64(len(s.records))
	s.records = append(s.records, records...)
	if p.cfg.Keep > 0 {
		s.retain(p.cfg.Keep)
	}
	return offset
}

// Retain drops all but the newest n records of a stream.
func (p *Platform) Retain(name string, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.streams[name]; s != nil {
		s.retain(n)
	}
}

func (s *stream) retain(n int) {
	over := len(s.records) - n
	if over <= 0 {
		return
	}
	s.records = append([][]byte(nil), s.records[over:]...)
	s.first += int64(over)
}

// Appends returns the number of executed append calls.
func (p *Platform) Appends() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.appends
}

func (p *Platform) handleRead(w http.ResponseWriter, r *http.Request) {
	if _, ok := p.applyFault(w); !ok {
		return
	}
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	limit, _ := strconv.Atoi(q.Get("limit"))
	httpjson.Write(w, http.StatusOK, p.Read(mux.Vars(r)["name"], from, limit))
}

// Read returns up to limit records from the offset, or from the oldest retained
// record if that is later.
func (p *Platform) Read(name string, from int64, limit int) platform.Page {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.streams[name]
	if s == nil {
		return platform.Page{}
	}
	end := s.first + int64(len(s.records))
	page := platform.Page{First: s.first, End: end, Next: max(from, s.first)}
	for page.Next < end && len(page.Records) < limit {
		page.Records = append(page.Records, platform.Record{Offset: page.Next, Data: s.records[page.Next-s.first]})
		page.Next++
	}
	return page
}

func (p *Platform) handlePut(w http.ResponseWriter, r *http.Request) {
	in, err := httpjson.Read[platform.Instance](w, r, httpjson.MaxBody)
	if err != nil {
		httpjson.Refuse(w, http.StatusBadRequest, "body", err.Error())
		return
	}
	in.Name = mux.Vars(r)["name"]
	p.Put(in)
	httpjson.Write(w, http.StatusOK, in)
}

// Put registers or changes an instance.
func (p *Platform) Put(in platform.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	p.history = append(p.history, listChange{at: time.Now(), version: p.version, entry: in})
}

func (p *Platform) handleList(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	known, _ := strconv.ParseInt(q.Get("known"), 10, 64)
	httpjson.Write(w, http.StatusOK, p.List(q.Get("zone"), known))
}

// List returns the entry VMs and the zone's other instances, or all instances if zone
// is empty, as of Fault.Lag ago. The list is empty if its version is the known one.
func (p *Platform) List(zone string, known int64) platform.Instances {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := time.Now().Add(-time.Duration(p.fault.Lag) * time.Millisecond)
	var out platform.Instances
	at := map[string]int{}
	for _, l := range p.history {
		if l.at.After(limit) {
			break
		}
		out.Version = l.version
		if zone != "" && l.entry.Zone != zone && l.entry.Role != platform.RoleEntry {
			continue
		}
		if i, ok := at[l.entry.Name]; ok {
			out.Instances[i] = l.entry
			continue
		}
		at[l.entry.Name] = len(out.Instances)
		out.Instances = append(out.Instances, l.entry)
	}
	if out.Version == known {
		out.Instances = nil
	}
	return out
}
