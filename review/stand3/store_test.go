//go:build review3

package stand3

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store. It loses nothing and answers at once.
type store struct {
	mu      sync.Mutex
	parts   map[string]*partition // by topic and number
	changed chan struct{}         // closed at each append
	address string
}

type partition struct {
	records   []storeRecord
	producers map[string]*producer
}

type storeRecord struct {
	key   string
	value []byte
	raw   []byte
}

type producer struct {
	epoch, sequence int64
	last            map[int64]int64 // offset of an append by its sequence number
}

func newStore(listener net.Listener) *store {
	s := &store{parts: map[string]*partition{}, changed: make(chan struct{}), address: listener.Addr().String()}
	go func() { _ = http.Serve(listener, s) }()
	return s
}

// part returns a partition. The caller holds the lock.
func (s *store) part(topic, number string) *partition {
	name := topic + "/" + number
	if s.parts[name] == nil {
		s.parts[name] = &partition{producers: map[string]*producer{}}
	}
	return s.parts[name]
}

// put writes a record as the operator or a minion does. No value drops the key.
func (s *store) put(topic, key string, value []byte) {
	raw := append([]byte{byte(len(key))}, key...)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part("keyed."+topic, "0")
	p.records = append(p.records, storeRecord{key: key, value: value, raw: append(raw, value...)})
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	topic, number := q.Get("topic"), q.Get("part")
	switch {
	case !strings.HasPrefix(topic, "keyed."):
		reply(w, http.StatusNotFound, nil)
	case r.Method == http.MethodPost && r.URL.Path == "/v1/log-append":
		s.append(w, r, topic, number)
	case r.Method == http.MethodGet && r.URL.Path == "/v1/log-read":
		s.read(w, r, topic, number)
	case r.Method == http.MethodGet && r.URL.Path == "/v1/log-newest":
		s.newest(w, r, topic, number)
	default:
		reply(w, http.StatusNotFound, nil)
	}
}

func reply(w http.ResponseWriter, status int, body any) { replyPadded(w, status, "", body) }

// replyPadded sends a response with white space before its body.
func replyPadded(w http.ResponseWriter, status int, padding string, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_, _ = io.WriteString(w, padding)
		_ = json.NewEncoder(w).Encode(body)
	}
}

func number(s string) int64 {
	n, _ := strconv.ParseInt(s, 10, 64)
	return n
}

func (s *store) append(w http.ResponseWriter, r *http.Request, topic, part string) {
	if topic == "keyed.op" || topic == "keyed.servers" {
		reply(w, http.StatusForbidden, nil)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records []storeRecord
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		raw := bytes.Clone(body[4 : 4+n])
		body = body[4+n:]
		k := 1 + int(raw[0])
		records = append(records, storeRecord{key: string(raw[1:k]), value: raw[k:], raw: raw})
	}
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(topic, part)
	end := int64(len(p.records))
	if q.Has("at") && number(q.Get("at")) != end {
		reply(w, http.StatusPreconditionFailed, map[string]any{"end": end})
		return
	}
	if name := q.Get("producer"); name != "" {
		epoch, sequence := number(q.Get("epoch")), number(q.Get("sequence"))
		known := p.producers[name]
		switch {
		case known == nil || epoch > known.epoch:
			known = &producer{epoch: epoch, sequence: sequence, last: map[int64]int64{}}
			p.producers[name] = known
		case epoch < known.epoch:
			reply(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		default:
			if offset, repeated := known.last[sequence]; repeated && sequence > known.sequence-5 {
				reply(w, http.StatusOK, map[string]any{"offset": offset, "end": end})
				return
			}
			if sequence != known.sequence+1 {
				reply(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": known.sequence + 1})
				return
			}
			known.sequence = sequence
		}
		known.last[sequence] = end
	}
	p.records = append(p.records, records...)
	s.wake()
	reply(w, http.StatusOK, map[string]any{"offset": end, "end": end + int64(len(records))})
}

func (s *store) read(w http.ResponseWriter, r *http.Request, topic, part string) {
	q := r.URL.Query()
	from := number(q.Get("from"))
	timer := time.After(time.Duration(min(number(q.Get("wait_ms")), 30_000)) * time.Millisecond)
	for waiting := q.Has("wait_ms"); ; {
		s.mu.Lock()
		records, changed := s.part(topic, part).records, s.changed
		s.mu.Unlock()
		if int64(len(records)) > from || !waiting {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for i := from; i < int64(len(records)) && len(out) < 1<<20; i++ {
				out = binary.BigEndian.AppendUint32(out, uint32(len(records[i].raw)))
				out = append(out, records[i].raw...)
			}
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-timer:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) newest(w http.ResponseWriter, r *http.Request, topic, part string) {
	s.mu.Lock()
	records := s.part(topic, part).records
	s.mu.Unlock()
	last := map[string]int{}
	for i, rec := range records {
		last[rec.key] = i
	}
	var keys []string
	after := r.URL.Query().Get("after")
	for key, i := range last {
		if key > after && len(records[i].value) > 0 {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	more := len(keys) > 500
	items := []map[string]any{}
	for _, key := range keys[:min(len(keys), 500)] {
		i := last[key]
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(records[i].value), "offset": i})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "more": more, "end": len(records)})
}
