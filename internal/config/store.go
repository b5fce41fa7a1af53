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

// Parameters of the store. maxRecent is the number of accepted changes that it
// remembers.
const (
	pageRecords    = 256
	outcomeTimeout = 5 * time.Second
	outcomePoll    = 50 * time.Millisecond
	maxRecent      = 1024
)

// Errors of publishing. Callers test for them with errors.Is.
var (
	// ErrLost: the change was not accepted and won't be, because another change with
	// the same parent came first.
	ErrLost = errorx.NewType(errorx.NewNamespace("publish"), "lost").New("another change came first")
	// ErrUnsettled: the change may have been accepted already or may be accepted later;
	// the caller can check the status.
	ErrUnsettled = errorx.NewType(errorx.NewNamespace("publish"), "unsettled").New("whether the change was accepted can't be told yet")
)

// Log is the part of the platform's log that the store uses.
type Log interface {
	Append(ctx context.Context, stream string, records [][]byte) (int64, error)
	Read(ctx context.Context, stream string, from int64, limit int) (platform.Page, error)
}

// StoreConfig configures a Store. SnapshotInterval is the time after the last change
// or snapshot in the log until this store appends a snapshot.
type StoreConfig struct {
	Log              Log
	Site             string
	Poll             time.Duration
	SnapshotInterval time.Duration
	Logger           *slog.Logger
	// Applied is called for each configuration that comes into force at this site,
	// on the goroutine that calls Run, Sync, Publish or Offer.
	Applied func(cfg *Config, v Version)
}

// Store follows the stream of the configuration and holds the version in force.
type Store struct {
	cfg           StoreConfig
	mu            sync.Mutex
	version       Version
	inForce       *Config
	inForceNumber int64
	recent        map[string]bool
	recentOrder   []string
	// snapshotDue is when this store appends a snapshot, unless another store does
	// so first.
	snapshotDue time.Time
	wake        chan struct{}
}

// NewStore returns a store without a version.
func NewStore(cfg StoreConfig) *Store {
	return &Store{cfg: cfg, recent: map[string]bool{}, wake: make(chan struct{}, 1)}
}

// Version returns the last accepted version.
func (s *Store) Version() Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// Current returns the configuration in force and its number, or nil if there is
// none yet.
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
		more, err := s.readPage(ctx)
		if err != nil || !more {
			return err
		}
	}
}

// readPage reads and folds one page of records. It reports whether there are more.
func (s *Store) readPage(ctx context.Context) (bool, error) {
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

// reload reconstructs the version from the records that the log retains. It is needed
// if records were dropped before this store read them, or if the log ends before the
// store's version; page is the read that showed this.
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

// Offer accepts a version from a peer if it covers more of the log than this store's
// version does. The store never goes back to an earlier version.
func (s *Store) Offer(v Version) bool {
	if v.Upto <= s.Version().Upto {
		return false
	}
	s.accept(v, false)
	return true
}

// accept makes v the accepted version and applies it. snapshotSeen reports that the log
// contains a snapshot of it.
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

// apply parses the version for this site and puts it into force. If this release
// can't parse it, the previous version stays in force.
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

// Accepted reports whether the change with the given ID is known as accepted.
func (s *Store) Accepted(id string) bool {
	_, ok := s.lookupChange(id)
	return ok
}

// lookupChange returns the last accepted version, and whether the change with the given
// ID has been accepted by then.
func (s *Store) lookupChange(id string) (Version, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version, s.recent[id]
}

// Publish appends the change to the log and waits for its outcome. It returns nil only
// after the change has been read back as accepted. After ErrLost and platform.ErrUnavailable
// the change has not taken effect and won't; after ErrUnsettled it may.
func (s *Store) Publish(ctx context.Context, c Change) error {
	data, err := c.Encode()
	if err != nil {
		return errorx.Decorate(err, "encode")
	}
	offset, err := s.cfg.Log.Append(ctx, Stream, [][]byte{data})
	if err != nil && !errors.Is(err, platform.ErrUnsettled) {
		return platform.ErrUnavailable
	}
	return s.awaitOutcome(ctx, c, offset, err == nil)
}

// awaitOutcome reads the log until the change has been accepted or rejected. If the
// response to the append was lost, the offset is not known and the outcome stays open
// until another change to the same parent is accepted; after that this one can't be.
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

// snapshotIfDue appends a snapshot if it is due, so that the version outlives the records
// that the log drops. Any store may append one; several do no harm.
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

// scheduleSnapshot sets the time of the next snapshot, with a random delay so that stores
// rarely append one at the same time.
func (s *Store) scheduleSnapshot() {
	s.snapshotDue = time.Now().Add(s.cfg.SnapshotInterval + rand.N(s.cfg.SnapshotInterval/4+1))
}
