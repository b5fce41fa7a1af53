package config

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"rhubarbshore/internal/platform"
)

// Bounds of the store.
const (
	pageRecords    = 256
	outcomeTimeout = 5 * time.Second
	outcomePoll    = 50 * time.Millisecond
	maxRecent      = 1024
)

// Errors of publishing. Callers test for them with errors.Is.
var (
	// ErrLost: another change with the same parent came first. It is final.
	ErrLost = errorx.NewType(errorx.NewNamespace("publish"), "lost").New("another change came first")
	// ErrUnsettled: the change may still be accepted; ask for the status later.
	ErrUnsettled = errorx.NewType(errorx.NewNamespace("publish"), "unsettled").New("whether the change was accepted can't be told yet")
)

// Log is what the store needs of the platform's log.
type Log interface {
	Append(ctx context.Context, stream string, records [][]byte) (int64, error)
	Read(ctx context.Context, stream string, from int64, limit int) (platform.Page, error)
}

// StoreConfig constructs a Store. Restate is how long a version may go without
// being restated in the log before this store appends a snapshot.
type StoreConfig struct {
	Log     Log
	Site    string
	Poll    time.Duration
	Restate time.Duration
	Logger  *slog.Logger
	// Applied is called, from the store's goroutine, for each configuration
	// that comes into force at this site.
	Applied func(cfg *Config, v Version)
}

// Store follows the stream and keeps the version in force.
type Store struct {
	cfg           StoreConfig
	mu            sync.Mutex
	version       Version
	inForce       *Config
	inForceNumber int64
	recent        map[string]bool
	recentOrder   []string
	// snapshotDue is when this store restates the version, unless another one does.
	snapshotDue time.Time
	wake        chan struct{}
}

// NewStore returns a store that knows no version yet.
func NewStore(cfg StoreConfig) *Store {
	return &Store{cfg: cfg, recent: map[string]bool{}, wake: make(chan struct{}, 1)}
}

// Version returns the version last accepted.
func (s *Store) Version() Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// Current returns the configuration in force and its number, nil before the
// first one.
func (s *Store) Current() (*Config, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inForce, s.inForceNumber
}

// Run follows the log until ctx ends.
func (s *Store) Run(ctx context.Context) {
	for ctx.Err() == nil {
		_ = s.Sync(ctx)
		s.snapshotIfDue(ctx)
		select {
		case <-time.After(s.cfg.Poll):
		case <-s.wake:
		case <-ctx.Done():
		}
	}
}

// Sync reads the stream to its end.
func (s *Store) Sync(ctx context.Context) error {
	for {
		more, err := s.page(ctx)
		if err != nil || !more {
			return err
		}
	}
}

// page reads and folds one run of records.
func (s *Store) page(ctx context.Context) (bool, error) {
	from := s.Version().Upto
	page, err := s.cfg.Log.Read(ctx, Stream, from, pageRecords)
	if err != nil {
		return false, err
	}
	if page.First > from || from > page.End {
		return false, s.reload(ctx, page)
	}
	s.fold(page.Records)
	return page.Next < page.End, nil
}

// reload starts again from what the log still keeps, after a gap.
func (s *Store) reload(ctx context.Context, page platform.Page) error {
	var records []platform.Record
	for from := page.First; from < page.End; {
		next, err := s.cfg.Log.Read(ctx, Stream, from, pageRecords)
		if err != nil {
			return err
		}
		if next.First > from || len(next.Records) == 0 {
			return ErrGap
		}
		records = append(records, next.Records...)
		from = next.Next
	}
	v, ok := Load(records, page.First)
	if !ok {
		return ErrGap
	}
	s.Offer(v)
	return nil
}

func (s *Store) fold(records []platform.Record) {
	for _, r := range records {
		s.mu.Lock()
		if r.Offset != s.version.Upto {
			s.mu.Unlock()
			continue
		}
		v := s.version.Fold(r.Offset, r.Data)
		snapshotSeen := false
		if snapshot, ok := DecodeSnapshot(r.Data, 0); ok && snapshot.ID == v.ID {
			snapshotSeen = true
		}
		s.mu.Unlock()
		s.accept(v, snapshotSeen)
	}
}

// Offer hands in a version from a peer. It is taken if it has seen more of the
// log than this store has; a version never goes back.
func (s *Store) Offer(v Version) bool {
	if v.Upto <= s.Version().Upto {
		return false
	}
	s.accept(v, false)
	return true
}

// accept makes v the accepted version and brings it into force.
func (s *Store) accept(v Version, snapshotSeen bool) {
	s.mu.Lock()
	if v.Upto <= s.version.Upto {
		s.mu.Unlock()
		return
	}
	changed := v.ID != s.version.ID
	s.version = v
	if changed || snapshotSeen {
		s.scheduleSnapshot()
	}
	if changed {
		s.rememberAccepted(v.ID)
	}
	s.mu.Unlock()
	if changed {
		s.apply(v)
	}
}

func (s *Store) rememberAccepted(id string) {
	s.recent[id] = true
	s.recentOrder = append(s.recentOrder, id)
	if len(s.recentOrder) > maxRecent {
		delete(s.recent, s.recentOrder[0])
		s.recentOrder = s.recentOrder[1:]
	}
}

// apply parses the version for this site. A text that this release can't read
// leaves the version before it in force.
func (s *Store) apply(v Version) {
	cfg, err := v.Files.Site(s.cfg.Site)
	if err != nil {
		s.cfg.Logger.Error("configuration not applied", "version", v.ID, "number", v.Number, "error", err)
		return
	}
	s.mu.Lock()
	s.inForce, s.inForceNumber = cfg, v.Number
	s.mu.Unlock()
	s.cfg.Logger.Info("configuration in force", "version", v.ID, "number", v.Number)
	if s.cfg.Applied != nil {
		s.cfg.Applied(cfg, v)
	}
}

// Accepted reports whether the change with that id has been accepted.
func (s *Store) Accepted(id string) bool {
	_, ok := s.lookupChange(id)
	return ok
}

// lookupChange returns the version last accepted, and whether the change with that id has been
// accepted up to it.
func (s *Store) lookupChange(id string) (Version, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version, s.recent[id]
}

// Publish appends the change and says whether it won: nil only after it was
// read back as accepted. ErrLost and platform.ErrOut are final; after
// ErrUnsettled the change may still take effect.
func (s *Store) Publish(ctx context.Context, c Change) error {
	data, err := c.Encode()
	if err != nil {
		return errorx.Decorate(err, "encode")
	}
	offset, err := s.cfg.Log.Append(ctx, Stream, [][]byte{data})
	if err != nil && !errors.Is(err, platform.ErrUnsettled) {
		return platform.ErrOut
	}
	return s.awaitOutcome(ctx, c, offset, err == nil)
}

// awaitOutcome reads until the change is seen as accepted or as passed over. Where
// the append's answer was lost, the change is doubtful until another version
// follows its parent: then it can't be accepted any more.
func (s *Store) awaitOutcome(ctx context.Context, c Change, offset int64, offsetKnown bool) error {
	deadline := time.Now().Add(outcomeTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		err := s.Sync(ctx)
		v, accepted := s.lookupChange(c.ID)
		if accepted {
			s.wakeRun()
			return nil
		}
		if err == nil && v.ID != c.Parent {
			return ErrLost
		}
		if err == nil && offsetKnown && v.Upto > offset {
			return ErrLost
		}
		time.Sleep(outcomePoll)
	}
	return ErrUnsettled
}

func (s *Store) wakeRun() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// snapshotIfDue appends a snapshot before the log drops the version's records. Any
// store may do it; more than one does no harm.
func (s *Store) snapshotIfDue(ctx context.Context) {
	s.mu.Lock()
	v, snapshotDue := s.version, s.snapshotDue
	s.mu.Unlock()
	if v.ID == "" || time.Now().Before(snapshotDue) {
		return
	}
	data, err := v.Snapshot().Encode()
	if err != nil {
		return
	}
	if _, err := s.cfg.Log.Append(ctx, Stream, [][]byte{data}); err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduleSnapshot()
}

// scheduleSnapshot sets the next restating, by a drawn part later than due, so that
// stores seldom do it at once.
func (s *Store) scheduleSnapshot() {
	s.snapshotDue = time.Now().Add(s.cfg.Restate + rand.N(s.cfg.Restate/4+1))
}
