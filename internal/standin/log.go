package standin

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"rhubarbshore/internal/store"
)

// LogFault injects faults into the log's calls.
type LogFault struct {
	Refuse   bool          // refuse every call
	Silent   bool          // leave calls unanswered and without effect
	LossRate float64       // probability that an append takes effect and gets no answer
	Late     time.Duration // delay before a lost append takes effect
	Slow     time.Duration // extra latency of every call
}

// LogConfig configures a Log.
type LogConfig struct {
	// Latency is the round-trip time of an append; other calls take half of it.
	Latency time.Duration
	Seed    uint64
}

// Log simulates the platform's log of keyed topics. It is linearizable and supports
// conditional appends and fenced producers.
type Log struct {
	cfg      LogConfig
	mu       sync.Mutex
	rand     *rand.Rand
	topics   map[store.Stream]*topic
	fault    LogFault
	vmFaults map[string]LogFault
	faults   map[store.Stream]LogFault
	calls    int
	largest  int // size of the largest append in bytes
}

type topic struct {
	first     int64 // offset of records[0]
	records   []store.Record
	newest    map[string]store.Record // by key
	producers map[string]*producer
	changed   chan struct{} // closed at the next append
}

// producer is the state of one producer: its highest epoch, and the sequence number
// and offset of its last append in that epoch.
type producer struct {
	epoch, sequence, offset int64
}

// NewLog returns an empty log.
func NewLog(cfg LogConfig) *Log {
	return &Log{cfg: cfg, rand: rand.New(rand.NewPCG(cfg.Seed, 1)), topics: map[store.Stream]*topic{}, vmFaults: map[string]LogFault{}, faults: map[store.Stream]LogFault{}}
}

// SetFault sets the fault for VMs that SetVMFault has set none for.
func (l *Log) SetFault(f LogFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
}

// SetStreamFault sets the fault of one stream for all VMs; nil removes it.
func (l *Log) SetStreamFault(name store.Stream, f *LogFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f == nil {
		delete(l.faults, name)
		return
	}
	l.faults[name] = *f
}

// SetVMFault sets the fault for one VM; nil removes it.
func (l *Log) SetVMFault(vm string, f *LogFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f == nil {
		delete(l.vmFaults, vm)
		return
	}
	l.vmFaults[vm] = *f
}

// Drop removes all records of a topic; Newest still returns the newest one of each
// key.
func (l *Log) Drop(name store.Stream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(name)
	t.first += int64(len(t.records))
	t.records = nil
}

// Largest returns the size of the largest append so far, in bytes.
func (l *Log) Largest() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.largest
}

// Calls returns the number of calls so far.
func (l *Log) Calls() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

func (l *Log) topic(name store.Stream) *topic {
	t := l.topics[name]
	if t == nil {
		t = &topic{newest: map[string]store.Record{}, producers: map[string]*producer{}, changed: make(chan struct{})}
		l.topics[name] = t
	}
	return t
}

func (t *topic) end() int64 { return t.first + int64(len(t.records)) }

// add appends records and wakes readers.
func (t *topic) add(records []store.Record) int64 {
	offset := t.end()
	for _, r := range records {
		r.Offset = t.end()
		t.records = append(t.records, r)
		if len(r.Value) == 0 {
			delete(t.newest, r.Key)
		} else {
			t.newest[r.Key] = r
		}
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return offset
}

// View is one VM's connection to the log.
type View struct {
	log *Log
	vm  string
}

// View returns a VM's connection to the log.
func (l *Log) View(vm string) *View { return &View{l, vm} }

// applyFault counts a call, applies the faults that come before its effect, and
// returns the fault of the stream, or else the VM's.
func (v *View) applyFault(ctx context.Context, name store.Stream) (LogFault, error) {
	l := v.log
	l.mu.Lock()
	l.calls++
	f, ok := l.faults[name]
	if !ok {
		f, ok = l.vmFaults[v.vm]
	}
	if !ok {
		f = l.fault
	}
	l.mu.Unlock()
	switch {
	case f.Refuse:
		return f, store.ErrRefused
	case f.Silent:
		<-ctx.Done()
		return f, store.ErrUncertain
	}
	if !sleep(ctx, l.cfg.Latency/2+f.Slow) {
		return f, store.ErrUncertain
	}
	return f, nil
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Append implements store.Log.
func (v *View) Append(ctx context.Context, name store.Stream, records []store.Record, o store.AppendOptions) (int64, error) {
	f, err := v.applyFault(ctx, name)
	if err != nil {
		return 0, err
	}
	l := v.log
	l.mu.Lock()
	lost := f.LossRate > 0 && l.rand.Float64() < f.LossRate
	l.mu.Unlock()
	if lost {
		time.AfterFunc(f.Late, func() { _, _ = l.append(name, records, o) })
		<-ctx.Done()
		return 0, store.ErrUncertain
	}
	offset, err := l.append(name, records, o)
	if !sleep(ctx, l.cfg.Latency/2) {
		return 0, store.ErrUncertain
	}
	return offset, err
}

func (l *Log) append(name store.Stream, records []store.Record, o store.AppendOptions) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	size := 0
	for _, r := range records {
		size += len(r.Key) + len(r.Value)
	}
	l.largest = max(l.largest, size)
	t := l.topic(name)
	if o.Producer != "" {
		p := t.producers[o.Producer]
		switch {
		case p == nil || o.Epoch > p.epoch:
			p = &producer{epoch: o.Epoch}
			t.producers[o.Producer] = p
		case o.Epoch < p.epoch:
			return 0, store.ErrFenced
		case o.Sequence == p.sequence:
			return p.offset, nil
		case o.Sequence != p.sequence+1:
			return 0, store.ErrRefused
		}
		p.sequence = o.Sequence
		p.offset = t.end()
	}
	if o.Conditional && o.At != t.end() {
		return t.end(), store.ErrCondition
	}
	return t.add(records), nil
}

// Put appends a record on behalf of the platform, unaffected by faults.
func (l *Log) Put(s store.Stream, r store.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.topic(s).add([]store.Record{r})
}

// Read implements store.Log.
func (v *View) Read(ctx context.Context, name store.Stream, from int64, wait time.Duration) (store.Page, error) {
	askedAt := time.Now()
	if _, err := v.applyFault(ctx, name); err != nil {
		return store.Page{}, err
	}
	l := v.log
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		l.mu.Lock()
		t := l.topic(name)
		if from < t.first {
			l.mu.Unlock()
			return store.Page{}, store.ErrGone
		}
		page := store.Page{Records: append([]store.Record(nil), t.records[from-t.first:]...), Extent: store.Extent{AskedAt: askedAt, Next: t.end(), End: t.end()}}
		changed := t.changed
		l.mu.Unlock()
		if len(page.Records) > 0 || wait <= 0 {
			return page, nil
		}
		select {
		case <-changed:
		case <-end.C:
			return page, nil
		case <-ctx.Done():
			return store.Page{}, store.ErrUncertain
		}
	}
}

// Newest implements store.Log.
func (v *View) Newest(ctx context.Context, name store.Stream) ([]store.Record, int64, error) {
	if _, err := v.applyFault(ctx, name); err != nil {
		return nil, 0, err
	}
	l := v.log
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(name)
	out := make([]store.Record, 0, len(t.newest))
	for _, r := range t.newest {
		out = append(out, r)
	}
	return out, t.end(), nil
}
