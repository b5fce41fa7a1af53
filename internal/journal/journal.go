// Package journal keeps a zone's accepted jobs until they have ended: in a stream
// of the platform's log and, for as long as the log is out of reach, as replicas on
// other VMs of the zone.
//
// Only the VM that holds the zone's leadership writes records, and only the next one
// reads the replicas. No VM takes part in a decision by holding some, so that it
// may do so without agreeing with others.
package journal

import (
	"context"
	"slices"
	"sync"
	"time"

	"rhubarbshore/internal/metric"
	"rhubarbshore/internal/peer/rpc"
	"rhubarbshore/internal/platform"
	"rhubarbshore/internal/ring"
	"rhubarbshore/pkg/api"
)

// Tuning of a journal.
const (
	// replicaCount is the number of other VMs that hold what the log lacks.
	replicaCount   = 2
	maxEntries     = 10_000
	pageRecords    = 512
	flushBatch     = 64
	flushEvery     = 2 * time.Second
	replicateEvery = time.Second
	logTimeout     = 2 * time.Second
	callTimeout    = time.Second
	maxWaiters     = 1024
)

// Log is what a Journal needs of the platform's log.
type Log interface {
	Append(ctx context.Context, stream string, records [][]byte) (int64, error)
	Read(ctx context.Context, stream string, from int64, limit int) (platform.Page, error)
}

// Replica is another VM that can hold records.
type Replica interface {
	Replicate(ctx context.Context, u *rpc.ReplicaUpdate) (*rpc.ReplicaState, error)
}

// Peer is a live VM of the zone. Name tells its incarnations apart.
type Peer struct {
	Name    string
	Replica Replica
}

// Config constructs a Journal. Origin names this VM and its incarnation. Peers
// lists the live VMs of the zone, the likeliest next placer in front. Keep is how
// long a replica is held of which nobody speaks any more.
type Config struct {
	Log    Log
	Stream string
	Origin string
	Peers  func() []Peer
	Keep   time.Duration
}

// Kept tells where an accepted job is safe: in the log or, while that is out, with
// a number of VMs beside this one.
type Kept struct {
	Durable bool
	Copies  int
}

// Job is an accepted job that has not ended.
type Job struct {
	Job     api.Job
	Durable bool
}

// Known is what the log and the replicas tell: the open jobs, and those that are
// over. Whole is set if the log and every live VM of the zone has been read.
type Known struct {
	Jobs  []Job
	Over  map[string]api.State
	Whole bool
}

// entry is a record that the log may lack.
type entry struct {
	record  Record
	version uint64
	// origin is the origin that the record was taken over origin, empty for this one.
	origin string
	// sent is set once another VM may have the record, and settled once the log has
	// it. What was sent is kept until that VM knows that it is settled.
	sent    bool
	settled bool
}

// peerState is what another VM has of this journal.
type peerState struct {
	acked        uint64
	mayHold      bool
	replicasRead bool
	lastSent     time.Time
	// takenOver are sets that it reported and that are to be told as taken over.
	takenOver map[string]uint64
}

// Journal is one VM's journal. Run replicates and flushes it.
type Journal struct {
	cfg         Config
	replicas    *replicas
	waiters     *ring.Ring[chan struct{}]
	flushSignal chan struct{}

	mu         sync.Mutex
	leading    bool
	newRecords bool
	entries    map[string]*entry
	version    uint64
	peers      map[string]*peerState
	takenOver  map[string]uint64
}

// New returns a journal without records.
func New(cfg Config) *Journal {
	return &Journal{
		cfg: cfg, replicas: newReplicas(cfg.Keep), waiters: ring.New[chan struct{}](maxWaiters), flushSignal: make(chan struct{}, 1),
		entries: map[string]*entry{}, peers: map[string]*peerState{}, takenOver: map[string]uint64{},
	}
}

// Run writes records to the log and to other VMs until ctx ends.
func (j *Journal) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { j.replicate(ctx) })
	wg.Go(func() { j.flush(ctx) })
	wg.Wait()
}

// SetLeading tells whether this VM decides for the zone. On taking the lead the
// replicas of all other VMs are read anew.
func (j *Journal) SetLeading(leading bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.leading = leading
	for _, s := range j.peers {
		s.replicasRead = false
	}
}

// News reports, once, that records came in after Open had read all.
func (j *Journal) News() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	newRecords := j.newRecords
	j.newRecords = false
	return newRecords
}

// Accept records an accepted job and tells where it is safe by now.
func (j *Journal) Accept(ctx context.Context, job api.Job) Kept {
	r := Record{Job: &job}
	if j.append(ctx, []Record{r}) == nil {
		j.settle(r)
		return Kept{Durable: true}
	}
	version := j.put(r, "")
	if version == 0 {
		metric.Refusal("journal", "full")
		return Kept{}
	}
	j.awaitRound(ctx)
	return Kept{Copies: j.ackCount(version)}
}

// End records that a job is over. It does not wait for the log.
func (j *Journal) End(id string, state api.State) {
	j.put(Record{ID: id, End: state}, "")
	select {
	case j.flushSignal <- struct{}{}:
	default:
	}
}

// Sync waits until the other VMs have been told what the log lacks, as far as they
// can be reached.
func (j *Journal) Sync(ctx context.Context) { j.awaitRound(ctx) }

// Open reads what is known. It may be called again until the answer is whole.
func (j *Journal) Open(ctx context.Context) Known {
	j.awaitRound(ctx)
	records, err := j.read(ctx)
	known := j.merge(records)
	known.Whole = err == nil && j.allReplicasRead()
	return known
}

func (j *Journal) append(ctx context.Context, records []Record) error {
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	data, err := encode(records)
	if err != nil {
		return err
	}
	if _, err = j.cfg.Log.Append(ctx, j.cfg.Stream, data); err != nil {
		metric.Retry("journal")
	}
	return err
}

// read returns all records that the log still has.
func (j *Journal) read(ctx context.Context) ([]Record, error) {
	var out []Record
	for next := int64(0); ; {
		page, err := j.cfg.Log.Read(ctx, j.cfg.Stream, next, pageRecords)
		if err != nil {
			return out, err
		}
		for _, r := range page.Records {
			out = append(out, decode([][]byte{r.Data})...)
		}
		next = page.Next
		if next >= page.End {
			return out, nil
		}
	}
}

// merge joins the log's records with those that it lacks. An end stands, whatever
// comes after it; what the log has is settled.
func (j *Journal) merge(records []Record) Known {
	for _, r := range records {
		j.settle(r)
	}
	pending := j.pending()
	known := Known{Over: map[string]api.State{}}
	for _, r := range slices.Concat(pending, records) {
		if r.isEnd() {
			known.Over[r.ID] = r.End
		}
	}
	accepted := map[string]bool{}
	known.addJobs(records, accepted, true)
	known.addJobs(pending, accepted, false)
	return known
}

// addJobs lists the jobs of records that are neither over nor listed already.
func (k *Known) addJobs(records []Record, listed map[string]bool, durable bool) {
	for _, r := range records {
		if _, over := k.Over[r.id()]; over || listed[r.id()] {
			continue
		}
		listed[r.id()] = true
		k.Jobs = append(k.Jobs, Job{Job: *r.Job, Durable: durable})
	}
}

// pending lists the records that the log lacks.
func (j *Journal) pending() []Record {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.pendingLocked()
}

func (j *Journal) pendingLocked() []Record {
	var out []Record
	for _, e := range j.entries {
		if !e.settled {
			out = append(out, e.record)
		}
	}
	return out
}

// put keeps the record as one that the log lacks, and returns its version, 0 if
// there are too many. The end of a job replaces the job.
func (j *Journal) put(r Record, origin string) uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.putLocked(r, origin)
}

func (j *Journal) putLocked(r Record, origin string) uint64 {
	e := j.entries[r.id()]
	if e != nil && !e.settled && (e.record.isEnd() || !r.isEnd()) {
		return e.version
	}
	if e == nil && len(j.entries) >= maxEntries {
		return 0
	}
	j.version++
	sent := e != nil && e.sent
	j.entries[r.id()] = &entry{record: r, version: j.version, origin: origin, sent: sent}
	return j.version
}

// settle notes that the log has the record, or a later one of the same job.
func (j *Journal) settle(r Record) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if e := j.entries[r.id()]; e != nil && (r.isEnd() || !e.record.isEnd()) {
		j.drop(e)
	}
}

// drop takes the entry out, at once or when the VMs that have it know.
func (j *Journal) drop(e *entry) {
	switch {
	case e.settled:
	case e.sent:
		j.version++
		e.version = j.version
		e.settled = true
	default:
		delete(j.entries, e.record.id())
	}
}

// flush writes ends to the log as soon as it takes them.
func (j *Journal) flush(ctx context.Context) {
	ticker := time.NewTicker(flushEvery)
	defer ticker.Stop()
	for {
		select {
		case <-j.flushSignal:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		batch := j.pendingEnds()
		if len(batch) == 0 {
			continue
		}
		if j.append(ctx, batch) != nil {
			_ = j.waiters.Put(make(chan struct{}, 1))
			continue
		}
		for _, r := range batch {
			j.settle(r)
		}
	}
}

// pendingEnds lists ends that the log lacks, as many as go into one append.
func (j *Journal) pendingEnds() []Record {
	accepted := func(r Record) bool { return !r.isEnd() }
	out := slices.DeleteFunc(j.pending(), accepted)
	return out[:min(len(out), flushBatch)]
}
