// Package journal stores a zone's accepted jobs until they have ended: in a stream of
// the platform's log and, while the log is unreachable, as replicas on other VMs of the
// zone.
//
// Only the leader of the zone writes records, and only the next leader reads the
// replicas. A VM that only holds replicas takes no part in decisions, so holding them
// needs no agreement between VMs.
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

// Parameters of a journal.
const (
	// replicaCount is the number of other VMs that hold the records that are not in the
	// log.
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

// Log is the part of the platform's log that a Journal uses.
type Log interface {
	Append(ctx context.Context, stream string, records [][]byte) (int64, error)
	Read(ctx context.Context, stream string, from int64, limit int) (platform.Page, error)
}

// Replica is a client of another VM that can hold replicas.
type Replica interface {
	Replicate(ctx context.Context, u *rpc.ReplicaUpdate) (*rpc.ReplicaState, error)
}

// Peer is a live VM of the zone. Name differs between its incarnations.
type Peer struct {
	Name    string
	Replica Replica
}

// Config configures a Journal. Origin identifies this VM and its incarnation. Peers
// returns the other live VMs of the zone, the most likely next placer first. Keep is how
// long a replica is held after its last update.
type Config struct {
	Log    Log
	Stream string
	Origin string
	Peers  func() []Peer
	Keep   time.Duration
}

// AcceptResult reports where an accepted job is stored: in the log (Durable) or, while the
// log is unreachable, on a number of other VMs (Copies).
type AcceptResult struct {
	Durable bool
	Copies  int
}

// Job is an accepted job that has not ended.
type Job struct {
	Job     api.Job
	Durable bool
}

// Snapshot is the state according to the log and the replicas: the open jobs, and the
// final states of ended ones. Complete is set if the log and the replicas of every
// live VM of the zone have been read.
type Snapshot struct {
	Jobs     []Job
	Ended    map[string]api.State
	Complete bool
}

// entry is a record that may be missing from the log.
type entry struct {
	record  Record
	version uint64
	// origin is the origin from which the record was taken over, empty for one of this
	// VM's own records.
	origin string
	// sent is set once another VM may have the record, and settled once the record needs
	// no replica any more, usually because the log has it. A settled entry that was sent
	// stays until the other VMs have been informed.
	sent    bool
	settled bool
}

// peerState is the progress of replication to another VM.
type peerState struct {
	acked        uint64 // last version that the VM has acknowledged; 0 if it needs all records
	mayHold      bool   // records have been sent to the VM
	replicasRead bool   // the VM has reported the replicas that it holds
	lastSent     time.Time
	// takenOver are the replica sets, by origin and version, that the VM has reported
	// and that have been taken over since. The VM is still to be informed of this.
	takenOver map[string]uint64
}

// Journal is the journal of one VM. Run replicates and flushes it.
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

// SetLeading sets whether this VM leads the zone. After each call a leader reads the
// replicas of all other VMs again.
func (j *Journal) SetLeading(leading bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.leading = leading
	for _, s := range j.peers {
		s.replicasRead = false
	}
}

// HasNewRecords reports whether records have been taken over from other VMs since the last
// call. They may be missing from the result of an earlier Open.
func (j *Journal) HasNewRecords() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	newRecords := j.newRecords
	j.newRecords = false
	return newRecords
}

// Accept records an accepted job and reports where it has been stored.
func (j *Journal) Accept(ctx context.Context, job api.Job) AcceptResult {
	r := Record{Job: &job}
	if j.append(ctx, []Record{r}) == nil {
		j.settle(r)
		return AcceptResult{Durable: true}
	}
	version := j.put(r, "")
	if version == 0 {
		metric.Refusal("journal", "full")
		return AcceptResult{}
	}
	j.awaitRound(ctx)
	return AcceptResult{Copies: j.ackCount(version)}
}

// End records that a job has ended. It does not wait for the log.
func (j *Journal) End(id string, state api.State) {
	j.put(Record{ID: id, End: state}, "")
	select {
	case j.flushSignal <- struct{}{}:
	default:
	}
}

// Sync waits until the records missing from the log have been sent to the other VMs that
// can be reached.
func (j *Journal) Sync(ctx context.Context) { j.awaitRound(ctx) }

// Open reads the log and the replicas. It may be called again until the result is Complete.
func (j *Journal) Open(ctx context.Context) Snapshot {
	j.awaitRound(ctx)
	records, err := j.read(ctx)
	snapshot := j.merge(records)
	snapshot.Complete = err == nil && j.allReplicasRead()
	return snapshot
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

// read returns all records that the log retains.
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

// merge combines the log's records with the pending ones. The end of a job is final,
// whatever records follow it. Records that the log has are settled.
func (j *Journal) merge(records []Record) Snapshot {
	for _, r := range records {
		j.settle(r)
	}
	pending := j.pending()
	snapshot := Snapshot{Ended: map[string]api.State{}}
	for _, r := range slices.Concat(pending, records) {
		if r.isEnd() {
			snapshot.Ended[r.ID] = r.End
		}
	}
	accepted := map[string]bool{}
	snapshot.addJobs(records, accepted, true)
	snapshot.addJobs(pending, accepted, false)
	return snapshot
}

// addJobs adds the jobs in records that have not ended and are not in listed, and adds
// their IDs to listed.
func (s *Snapshot) addJobs(records []Record, listed map[string]bool, durable bool) {
	for _, r := range records {
		if _, ended := s.Ended[r.id()]; ended || listed[r.id()] {
			continue
		}
		listed[r.id()] = true
		s.Jobs = append(s.Jobs, Job{Job: *r.Job, Durable: durable})
	}
}

// pending returns the records that the log lacks.
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

// put stores a record as pending and returns its version, or 0 if there are too many
// entries. The end of a job replaces the job's entry.
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

// settle drops the entry of the record's job, now that the log has this record, unless
// the entry is the job's end and the record is not.
func (j *Journal) settle(r Record) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if e := j.entries[r.id()]; e != nil && (r.isEnd() || !e.record.isEnd()) {
		j.drop(e)
	}
}

// drop deletes the entry or, if other VMs may have it, marks it as settled until they
// have been informed.
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

// flush writes pending ends to the log, with retries until the log accepts them. After a
// failure it requests a round of replication.
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

// pendingEnds returns up to flushBatch ends that the log lacks.
func (j *Journal) pendingEnds() []Record {
	accepted := func(r Record) bool { return !r.isEnd() }
	out := slices.DeleteFunc(j.pending(), accepted)
	return out[:min(len(out), flushBatch)]
}
