//go:build review

package harness

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// appendTime is how long the store takes for an append, as the users' sheets give it.
const appendTime = 4 * time.Millisecond

// pageItems is the largest number of items on a page of newest records.
const pageItems = 500

// storeFault is what the store does with the calls of one VM.
type storeFault int

const (
	storeServes storeFault = iota
	storeSilent            // calls get no answer and have no effect
)

type record struct {
	key    string
	value  []byte
	offset int64
}

type producer struct {
	epoch, sequence int64
	// recent holds the last five appends of the epoch.
	recent []appended
}

type appended struct{ sequence, offset, end int64 }

// partition is one partition of a keyed topic.
type partition struct {
	records   []record
	newest    map[string]record
	producers map[string]*producer
	changed   chan struct{}
}

// store is a stand-in of the platform's metadata store. Each VM calls it at an address of its
// own, so that the store can turn away some of them.
type store struct {
	mu         sync.Mutex
	partitions map[string]*partition
	faults     map[string]storeFault // by VM
	// partFault refuses the calls of all VMs to one partition with 503, which has no effect.
	partFault map[string]bool
}

func newStore() *store {
	return &store{partitions: map[string]*partition{}, faults: map[string]storeFault{}, partFault: map[string]bool{}}
}

// part returns a partition. The caller holds the lock.
func (s *store) part(topic string, number int) *partition {
	name := topic + "/" + strconv.Itoa(number)
	p := s.partitions[name]
	if p == nil {
		p = &partition{newest: map[string]record{}, producers: map[string]*producer{}, changed: make(chan struct{})}
		s.partitions[name] = p
	}
	return p
}

func (s *store) setFault(vm string, f storeFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[vm] = f
}

func (s *store) setPartFault(name string, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partFault[name] = down
}

// put writes a record on behalf of the operator or a worker, and deletes the key if value is nil.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.part(topic, 0).add([]record{{key: key, value: value}})
}

// get returns the newest value of a key in any partition of a topic.
func (s *store) get(topic string, number int, key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.part(topic, number).newest[key]
	return r.value, ok
}

func (p *partition) add(records []record) int64 {
	first := int64(len(p.records))
	for _, r := range records {
		r.offset = int64(len(p.records))
		p.records = append(p.records, r)
		if len(r.value) == 0 {
			delete(p.newest, r.key)
		} else {
			p.newest[r.key] = r
		}
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return first
}

// handler serves the store to one VM.
func (s *store) handler(vm string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		number, err := strconv.Atoi(q.Get("part"))
		topic := q.Get("topic")
		if err != nil || !strings.HasPrefix(topic, "keyed.") {
			answer(w, http.StatusBadRequest, nil)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		fault, partDown := s.faults[vm], s.partFault[topic+"/"+q.Get("part")]
		s.mu.Unlock()
		switch {
		case fault == storeSilent:
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		case partDown:
			answer(w, http.StatusServiceUnavailable, nil)
			return
		}
		switch r.URL.Path {
		case "/v1/log-append":
			s.handleAppend(w, r, topic, number, body)
		case "/v1/log-read":
			s.handleRead(w, r, vm, topic, number)
		case "/v1/log-newest":
			s.handleNewest(w, r, topic, number)
		default:
			answer(w, http.StatusNotFound, nil)
		}
	})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body) // fails only if the caller has disconnected
	}
}

func whole(s string) int64 {
	n, _ := strconv.ParseInt(s, 10, 64) // 0 if the parameter is missing
	return n
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request, topic string, number int, body []byte) {
	if topic == "keyed.op" || topic == "keyed.servers" {
		answer(w, http.StatusForbidden, nil)
		return
	}
	var records []record
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n < 1 || len(body) < 4+n || n < 1+int(body[4]) {
			answer(w, http.StatusBadRequest, nil)
			return
		}
		k := 1 + int(body[4])
		records = append(records, record{key: string(body[5 : 4+k]), value: append([]byte(nil), body[4+k:4+n]...)})
		body = body[4+n:]
	}
	time.Sleep(appendTime)
	s.mu.Lock()
	status, out := s.append(s.part(topic, number), records, r)
	s.mu.Unlock()
	answer(w, status, out)
}

// append carries out an append. The caller holds the lock.
func (s *store) append(p *partition, records []record, r *http.Request) (int, map[string]any) {
	q := r.URL.Query()
	end := int64(len(p.records))
	var pr *producer
	if name := q.Get("producer"); name != "" {
		epoch, sequence := whole(q.Get("epoch")), whole(q.Get("sequence"))
		pr = p.producers[name]
		switch {
		case pr != nil && epoch < pr.epoch:
			return http.StatusConflict, map[string]any{"reason": "fenced"}
		case pr == nil || epoch > pr.epoch:
			pr = &producer{epoch: epoch, sequence: sequence - 1}
			p.producers[name] = pr
		default:
			for _, a := range pr.recent {
				if a.sequence == sequence {
					return http.StatusOK, map[string]any{"offset": a.offset, "end": a.end}
				}
			}
			if sequence != pr.sequence+1 {
				return http.StatusConflict, map[string]any{"reason": "seq", "sequence": pr.sequence + 1}
			}
		}
	}
	if q.Has("at") && whole(q.Get("at")) != end {
		return http.StatusPreconditionFailed, map[string]any{"end": end}
	}
	offset := p.add(records)
	end = int64(len(p.records))
	if pr != nil {
		pr.sequence++
		pr.recent = append(pr.recent, appended{pr.sequence, offset, end})
		pr.recent = pr.recent[max(0, len(pr.recent)-5):]
	}
	return http.StatusOK, map[string]any{"offset": offset, "end": end}
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request, vm, topic string, number int) {
	q := r.URL.Query()
	from := int(whole(q.Get("from")))
	wait := time.NewTimer(time.Duration(whole(q.Get("wait_ms"))) * time.Millisecond)
	defer wait.Stop()
	time.Sleep(appendTime / 2)
	for {
		s.mu.Lock()
		p := s.part(topic, number)
		records, changed := p.records, p.changed
		s.mu.Unlock()
		if len(records) > from {
			break
		}
		select {
		case <-changed:
			continue
		case <-wait.C:
		case <-r.Context().Done():
			return
		}
		break
	}
	s.mu.Lock()
	p := s.part(topic, number)
	records, fault := p.records, s.faults[vm]
	s.mu.Unlock()
	if fault == storeSilent { // the answer is lost as well
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, rec := range records[min(from, len(records)):] {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
		out = append(out, byte(len(rec.key)))
		out = append(out, rec.key...)
		out = append(out, rec.value...)
	}
	_, _ = w.Write(out) // fails only if the caller has disconnected
}

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request, topic string, number int) {
	time.Sleep(appendTime / 2)
	s.mu.Lock()
	p := s.part(topic, number)
	records := make([]record, 0, len(p.newest))
	for _, rec := range p.newest {
		records = append(records, rec)
	}
	end := len(p.records)
	s.mu.Unlock()
	sort.Slice(records, func(i, k int) bool { return records[i].key < records[k].key })
	after := r.URL.Query().Get("after")
	items := []map[string]any{}
	more := false
	for _, rec := range records {
		if rec.key <= after {
			continue
		}
		if len(items) == pageItems {
			more = true
			break
		}
		items = append(items, map[string]any{"key": rec.key, "value": base64.StdEncoding.EncodeToString(rec.value), "offset": rec.offset})
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "more": more, "end": end})
}
