// Package election elects the one VM that schedules and replaces it when it fails. A VM
// becomes the leader with a conditional append to a topic of the store. The offset of that
// record gives the leader's epoch, which rises with each change of leader.
package election

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"rhubarbshore/internal/httpjson"
	"rhubarbshore/internal/metric"
	"rhubarbshore/internal/store"
)

// stream holds the leader's record.
var stream = store.Stream{Topic: "lead"}

const leaderKey = "leader"

const (
	// pingInterval is how often the first standby pings the leader. Each further rank adds
	// pingIntervalPerRank, since later standbys take over later anyway.
	pingInterval        = 300 * time.Millisecond
	pingIntervalPerRank = 150 * time.Millisecond
	maxPingInterval     = time.Second
	// pingTimeout limits the time to answer a ping. VMs have a fraction of a core and may be
	// slowed down several times.
	pingTimeout = 450 * time.Millisecond
	// maxMissedPings is how many pings in a row a leader that does not refuse connections must
	// miss to count as failed.
	maxMissedPings = 2
	// campaignDelayPerRank makes standbys campaign one after the other. Those from maxRank on
	// campaign together.
	campaignDelayPerRank = 120 * time.Millisecond
	maxRank              = 8
	// unrankedCampaignDelay is how much later VMs with almost no processor campaign than those
	// with a whole core while ranks are unknown.
	unrankedCampaignDelay = 300 * time.Millisecond
	// smallerCampaignDelay is how much later VMs campaign, while ranks are unknown, that are
	// smaller than the last leader. VMs that restart at the same time differ by less.
	smallerCampaignDelay = 500 * time.Millisecond
	// largerFactor is how many times the leader's processor a standby must have to be given the
	// leadership, since a takeover costs a quarter of a second without starts.
	largerFactor = 1.5
	// handOverMinAge is how long a leader must have led, and a standby have sent pings, before
	// the leadership is handed over to a larger VM.
	handOverMinAge = 2 * time.Second
	// handOverCheckInterval is the time between checks whether another VM should lead, and
	// handOverRetryDelay the delay before the next attempt if a larger VM does not take over.
	handOverCheckInterval = 200 * time.Millisecond
	handOverRetryDelay    = 10 * time.Second
	// leaderHeardWindow is how recently another standby must have got an answer from the leader
	// for this one to keep waiting.
	leaderHeardWindow = 800 * time.Millisecond
	// callTimeout limits calls to the store.
	callTimeout = time.Second
	// storeRetryDelay is the delay between attempts while the store does not answer.
	storeRetryDelay = 150 * time.Millisecond
	// logInterval thins out log lines about a store that stays unavailable: one in logInterval
	// failures is logged.
	logInterval = 16
	// storeFailureCheckInterval is the time between checks, once a standby reaches the store, whether
	// another call of the leader has failed.
	storeFailureCheckInterval = 50 * time.Millisecond
	// takeoverTimeout is how long a standby that was asked to take over may need to win: two
	// calls to a slow store.
	takeoverTimeout = time.Second
	// standbyTTL is how long a standby counts as present after its last ping.
	standbyTTL = 4 * time.Second
)

// Log is the part of the store that an election uses.
type Log interface {
	Append(ctx context.Context, s store.Stream, records []store.Record, o store.AppendOptions) (int64, error)
	Newest(ctx context.Context, s store.Stream) ([]store.Record, int64, error)
}

// LeaderRecord is the record of a leader in the store.
type LeaderRecord struct {
	VM          string `json:"vm"`
	Address     string `json:"address"`
	Incarnation string `json:"life"` // one run of the VM's process
	// Cores is the VM's share of a processor, 0 if unknown.
	Cores float64 `json:"cores,omitempty"`
	Epoch int64   `json:"-"`
}

// Ping is the request of calls between VMs: from a standby to the leader, from one standby to
// another, and from the leader to a standby that is to take over.
type Ping struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
	Zone    string `json:"zone,omitempty"`
	Epoch   int64  `json:"epoch"`
	// ConnRefused tells another standby that the leader refuses the sender's connections.
	ConnRefused bool `json:"refused,omitempty"`
	// Cores is the VM's share of a processor. StoreDown is set while the store does not answer
	// the VM.
	Cores     float64 `json:"cores,omitempty"`
	StoreDown bool    `json:"unfit,omitempty"`
	// Incarnation is that of the sender of a ping, or of the leader of an earlier term in a question about that
	// term.
	Incarnation string `json:"life,omitempty"`
	// Workers are the IDs of the workers that a question about an earlier term asks for.
	Workers []string `json:"workers,omitempty"`
	// Probe asks a standby whether it reaches the store, instead of to take over.
	Probe bool `json:"probe,omitempty"`
}

// Pong answers a Ping. Rank is the sender's position among the standbys, and LargerStandby is
// set if a much larger VM is among them.
type Pong struct {
	Leading bool `json:"leading"`
	// Stuck is set if the leader gets nothing done, and StuckMS is how long ago it made the newest
	// attempt that shows it.
	Stuck         bool     `json:"stuck,omitempty"`
	StuckMS       int64    `json:"tried,omitempty"`
	Rank          int      `json:"rank,omitempty"`
	LargerStandby bool     `json:"larger,omitempty"`
	Peers         []string `json:"peers,omitempty"` // addresses of other standbys
	// VM and Incarnation are those of the process that answers a question about an earlier term, and
	// GrantedMS is how long ago, at least, a lease was last granted in that term, and WorkersMS the same
	// for each worker asked for.
	VM          string  `json:"vm,omitempty"`
	Incarnation string  `json:"life,omitempty"`
	GrantedMS   int64   `json:"granted,omitempty"`
	WorkersMS   []int64 `json:"workers,omitempty"`
	// TermEpoch and TermAgeMS are the epoch in which this VM leads and the age that its term has reached,
	// if it has begun.
	TermEpoch int64 `json:"term,omitempty"`
	TermAgeMS int64 `json:"age,omitempty"`
	// HeardMS is how long ago the leader answered the VM that sends this, or -1 if unknown.
	HeardMS int64 `json:"heard"`
}

// Leadership is the work of a leader. Lead returns when the VM no longer leads. Pause holds back
// new work for a while and returns when the work in progress is finished.
type Leadership interface {
	Lead(ctx context.Context, epoch int64)
	Pause(ctx context.Context)
}

// Config configures a Member.
type Config struct {
	VM, Address, Zone string
	// Cores is the VM's share of a processor. Larger VMs are preferred as leaders.
	Cores  float64
	Log    Log
	Client *http.Client
	Logger *slog.Logger
	Leader Leadership
	// StoreHealthy reports whether the store answers this VM.
	StoreHealthy func() bool
	// StoreFailedAt returns when the newest store call that failed was sent, zero if the last one
	// succeeded.
	StoreFailedAt func() time.Time
	// StuckAsOf returns when the newest attempt was made that shows that this VM leads without
	// making progress, zero if it makes progress.
	StuckAsOf func() time.Time
	// TermAge returns the age that the term of this VM in the given epoch has reached, false if it has
	// not begun or is over.
	TermAge func(epoch int64) (time.Duration, bool)
	// SinceLastGrant returns how long ago a lease was last granted in a term of this process, on any
	// worker and on each of the given ones, false if that is unknown.
	SinceLastGrant func(epoch int64, workers []string) (since time.Duration, each []time.Duration, known bool)
}

// Member takes part in the election on behalf of a VM.
type Member struct {
	cfg          Config
	incarnation  string
	startedAt    time.Time
	readFailures atomic.Int64 // failed reads of the leader's record in a row

	mu            sync.Mutex
	current       LeaderRecord
	changed       chan struct{} // closed when current changes
	streamEnd     int64         // end offset of the stream when it was last read
	leaderHeardAt time.Time
	// storeReadAt is when this VM first read the store after it had found the leader stuck. A
	// leader that was stuck before may only have been waiting for the end of an outage.
	storeReadAt   time.Time
	leaderAnswers bool // the leader answered the last ping
	leading       bool
	lastLedEpoch  int64 // highest epoch in which this VM has led
	rank          int
	largerStandby bool // a much larger VM is among the standbys
	peers         []string
	standbys      map[string]standby // VMs that ping this VM while it leads
	checkNow      chan struct{}
	stopping      bool
	// leaderWarning is the last warning, which is not repeated for each ping while the leader is
	// unavailable.
	leaderWarning leaderWarning
	lastSeen      sighting
	witness       witness
}

type standby struct {
	name, address   string
	zone            string
	incarnation     string // empty for a version that does not tell
	cores           float64
	storeDown       bool
	first, lastSeen time.Time // arrival of the first and the last ping
}

// outranks reports whether a standby should take over before another one.
func (s standby) outranks(other standby) bool {
	if s.storeDown != other.storeDown {
		return other.storeDown
	}
	if s.cores != other.cores {
		return s.cores > other.cores
	}
	return s.name < other.name
}

// New returns a Member. It takes part in the election while Run runs.
func New(cfg Config) *Member {
	return &Member{cfg: cfg, incarnation: uuid.NewString(), startedAt: time.Now(), changed: make(chan struct{}), standbys: map[string]standby{}, checkNow: make(chan struct{}, 1), rank: -1}
}

// Leader returns the address of the leader, or an empty string, and a channel that is closed
// once another VM leads.
func (m *Member) Leader() (string, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current.Address, m.changed
}

// Answers reports whether the leader answered this VM's last ping.
func (m *Member) Answers() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaderAnswers
}

func (m *Member) recordPing(leader LeaderRecord, result pingResult) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaderAnswers = result == answered && m.current.Incarnation == leader.Incarnation
}

// setLeader records the current leader. The caller holds the lock.
func (m *Member) setLeader(leader LeaderRecord) {
	m.current, m.leaderAnswers, m.storeReadAt = leader, false, time.Time{}
	close(m.changed)
	m.changed = make(chan struct{})
}

// Suspect makes the member check the leader at once if it has the given address.
func (m *Member) Suspect(address string) {
	if leader, _ := m.currentLeader(); leader.Address != address {
		return
	}
	select {
	case m.checkNow <- struct{}{}:
	default:
	}
}

// Run takes part in the election until ctx ends.
func (m *Member) Run(ctx context.Context) {
	missed := 0
	for ctx.Err() == nil {
		leader, known := m.currentLeader()
		switch {
		case !known:
			m.replaceLeader(ctx, leader, disqualified)
		case leader.Incarnation == m.incarnation && leader.Epoch > m.ledEpoch():
			// Won just now, or by a campaign whose answer was lost.
			m.lead(ctx, leader.Epoch)
		case leader.Incarnation == m.incarnation:
			m.replaceLeader(ctx, leader, disqualified)
		default:
			result := m.ping(ctx, leader)
			m.recordPing(leader, result)
			switch {
			case result == answered:
				missed = 0
			case result == stuck:
				missed = 0
				m.readForStuckLeader(ctx, leader)
			case (result == noAnswer || result == notLeading) && missed+1 < maxMissedPings:
				missed++
			default:
				missed = 0
				m.replaceLeader(ctx, leader, result)
				continue
			}
			m.waitForCheck(ctx, m.pingDelay(missed))
		}
	}
}

func (m *Member) currentLeader() (LeaderRecord, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current, m.current.Incarnation != ""
}

func (m *Member) ledEpoch() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastLedEpoch
}

func (m *Member) pingDelay(missed int) time.Duration {
	if missed > 0 {
		return storeRetryDelay / 3
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return min(pingInterval+time.Duration(max(m.rank, 0))*pingIntervalPerRank, maxPingInterval)
}

// waitForCheck waits until the next check of the leader is due. Suspect ends the wait early.
func (m *Member) waitForCheck(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-m.checkNow:
	case <-time.After(d):
	}
}

// waitUnlessReplaced waits for d, or until the failed leader has been replaced. Suspect does not
// end the wait: calls that fail while there is no leader would cancel the delays by which large
// VMs campaign first.
func (m *Member) waitUnlessReplaced(ctx context.Context, failed LeaderRecord, d time.Duration) {
	m.mu.Lock()
	replaced, changed := m.current.Epoch != failed.Epoch, m.changed
	m.mu.Unlock()
	if replaced {
		return
	}
	select {
	case <-ctx.Done():
	case <-changed:
	case <-time.After(d):
	}
}

// pingResult is what a ping showed about the leader. The results above noAnswer show that it
// does not lead, as far as this VM can tell.
type pingResult int

const (
	answered     pingResult = iota
	stuck                   // it gets nothing done, for lack of the store as far as this VM can tell
	noAnswer                // no answer in time
	notLeading              // it does not lead; it may have won just now and not know yet
	connRefused             // nothing listens there, as far as this VM can tell
	disqualified            // the leader says that it cannot lead, or there is none
)

// ping checks the leader.
func (m *Member) ping(ctx context.Context, leader LeaderRecord) pingResult {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	in := Ping{
		VM: m.cfg.VM, Address: m.cfg.Address, Zone: m.cfg.Zone, Incarnation: m.incarnation,
		Epoch: leader.Epoch, Cores: m.cfg.Cores, StoreDown: !m.cfg.StoreHealthy(),
	}
	pong, err := httpjson.Post[Ping, Pong](ctx, m.cfg.Client, "http://"+leader.Address+"/ping", &in, nil)
	switch {
	case errors.Is(err, httpjson.ErrUnsent) && ctx.Err() == nil:
		m.warnOnce(leader, "leader refuses connections")
		return connRefused
	case err != nil:
		return noAnswer
	case !pong.Leading:
		m.warnOnce(leader, "leader does not lead")
		return notLeading
	}
	m.recordSighting(pong, time.Now())
	switch {
	case pong.Stuck && !m.triedWithStore(pong):
		return stuck
	case pong.Stuck:
		m.warnOnce(leader, "leader gets nothing done")
		return disqualified
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaderWarning, m.storeReadAt = leaderWarning{}, time.Time{}
	if m.current.Incarnation == leader.Incarnation {
		m.leaderHeardAt, m.rank, m.largerStandby, m.peers = time.Now(), pong.Rank, pong.LargerStandby, pong.Peers
	}
	return answered
}

// triedWithStore reports whether a stuck leader has tried in vain after this VM had read the store.
func (m *Member) triedWithStore(pong Pong) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.storeReadAt.IsZero() && time.Since(m.storeReadAt) > time.Duration(pong.StuckMS)*time.Millisecond
}

// readForStuckLeader reads the store, unless it has been read since the leader was found stuck.
func (m *Member) readForStuckLeader(ctx context.Context, leader LeaderRecord) {
	m.mu.Lock()
	read := !m.storeReadAt.IsZero()
	m.mu.Unlock()
	if read || !m.refreshLeader(ctx, leader) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.storeReadAt = time.Now()
}

// leaderWarning is a logged warning about a leader.
type leaderWarning struct {
	epoch  int64
	reason string
}

// warnOnce logs a warning about a leader unless it repeats the last one.
func (m *Member) warnOnce(leader LeaderRecord, reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if warning := (leaderWarning{leader.Epoch, reason}); warning != m.leaderWarning {
		m.leaderWarning = warning
		m.cfg.Logger.Warn(reason, "leader", leader.VM, "epoch", leader.Epoch)
	}
}

// replaceLeader campaigns unless another VM has become the leader or other standbys still
// hear the leader. If the leader itself says that it does not or cannot lead, the other
// standbys are not asked.
func (m *Member) replaceLeader(ctx context.Context, failed LeaderRecord, result pingResult) {
	if !m.refreshLeader(ctx, failed) {
		return
	}
	m.waitUnlessReplaced(ctx, failed, m.campaignDelay(failed))
	if (result == noAnswer || result == connRefused) && m.peersHearLeader(ctx, result == connRefused) {
		m.waitUnlessReplaced(ctx, failed, pingInterval)
		return
	}
	if !m.refreshLeader(ctx, failed) || ctx.Err() != nil || m.isStopping() {
		return
	}
	m.campaign(ctx)
}

func (m *Member) isStopping() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stopping
}

// campaignDelay returns how long this VM waits before it campaigns to replace a leader. VMs with
// more processor campaign sooner.
func (m *Member) campaignDelay(failed LeaderRecord) time.Duration {
	m.mu.Lock()
	rank, largerStandby := m.rank, m.largerStandby
	m.mu.Unlock()
	delay := time.Duration(rand.Int64N(int64(campaignDelayPerRank) / 2))
	if rank < 0 {
		if m.cfg.Cores < failed.Cores {
			delay += smallerCampaignDelay
		}
		return delay + time.Duration(float64(unrankedCampaignDelay)*(1-min(m.cfg.Cores, 1)))
	}
	if largerStandby {
		delay += pingInterval // the larger VM may notice the failure that much later
	}
	return delay + time.Duration(min(rank, maxRank))*campaignDelayPerRank
}

// refreshLeader reads the leader's record. It returns true if the store answers and the failed
// leader has not been replaced.
func (m *Member) refreshLeader(ctx context.Context, failed LeaderRecord) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	records, streamEnd, err := m.cfg.Log.Newest(ctx, stream)
	if err != nil {
		if n := m.readFailures.Add(1); n%logInterval == 1 {
			m.cfg.Logger.Warn("who leads can't be read", "failures", n, "error", err)
		}
		m.waitUnlessReplaced(ctx, failed, storeRetryDelay)
		return false
	}
	m.readFailures.Store(0)
	var leader LeaderRecord
	for _, r := range records {
		if r.Key != leaderKey {
			continue
		}
		if err := json.Unmarshal(r.Value, &leader); err != nil {
			m.cfg.Logger.Error("leader record not readable", "error", err)
		}
		leader.Epoch = r.Offset + 1
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.streamEnd = streamEnd
	if leader.Epoch > m.current.Epoch {
		m.cfg.Logger.Info("another VM leads", "vm", leader.VM, "epoch", leader.Epoch, "before", m.current.VM)
		// The rank is kept: the order of the standbys is much the same under the next leader.
		m.setLeader(leader)
		m.peers = nil
	}
	return m.current.Epoch == failed.Epoch && !m.leadPending()
}

// leadPending reports whether this VM has won a campaign but not begun to lead. The caller holds
// the lock.
func (m *Member) leadPending() bool {
	return m.current.Incarnation == m.incarnation && m.current.Epoch > m.lastLedEpoch
}

// peersHearLeader asks other standbys whether the leader answers them. If it refuses
// connections, they must ping it again, since earlier answers say nothing then.
func (m *Member) peersHearLeader(ctx context.Context, connRefused bool) bool {
	m.mu.Lock()
	peers := m.peers
	epoch := m.current.Epoch
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, pingTimeout/2)
	defer cancel()
	answers := make(chan bool, len(peers))
	for _, address := range peers {
		go func() {
			in := Ping{VM: m.cfg.VM, Epoch: epoch, ConnRefused: connRefused}
			pong, err := httpjson.Post[Ping, Pong](ctx, m.cfg.Client, "http://"+address+"/heard", &in, nil)
			answers <- err == nil && pong.HeardMS >= 0 && time.Duration(pong.HeardMS)*time.Millisecond < leaderHeardWindow-pingTimeout/2
		}()
	}
	for range peers {
		if <-answers {
			m.cfg.Logger.Info("leader answers other VMs", "epoch", epoch)
			return true
		}
	}
	return false
}

// campaign appends this VM's record at the last known end of the stream.
func (m *Member) campaign(ctx context.Context) {
	m.mu.Lock()
	at, previous := m.streamEnd, m.current
	m.mu.Unlock()
	value, err := json.Marshal(m.record())
	if err != nil {
		m.cfg.Logger.Error("leader record not encoded", "error", err)
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	offset, err := m.cfg.Log.Append(callCtx, stream, []store.Record{{Key: leaderKey, Value: value}}, store.AppendOptions{Conditional: true, At: at})
	if err != nil {
		m.cfg.Logger.Info("campaign not won", "at", at, "error", err)
		return
	}
	m.cfg.Logger.Info("campaign won", "epoch", offset+1, "before", previous.VM, "before_epoch", previous.Epoch)
	metric.Count("elections_total")
	m.mu.Lock()
	own := m.record()
	own.Epoch = offset + 1
	m.setLeader(own)
	m.mu.Unlock()
	select { // wakes Run, which begins to lead
	case m.checkNow <- struct{}{}:
	default:
	}
}

// lead does the leader's work until the VM no longer leads.
func (m *Member) lead(ctx context.Context, epoch int64) {
	m.mu.Lock()
	m.leading, m.lastLedEpoch, m.rank = true, epoch, -1
	clear(m.standbys)
	m.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { m.handOverIfNeeded(ctx, epoch) })
	m.cfg.Leader.Lead(ctx, epoch)
	cancel()
	wg.Wait()
	m.mu.Lock()
	m.leading = false
	m.mu.Unlock()
	m.cfg.Logger.Info("no longer leading", "epoch", epoch)
}

// handOverIfNeeded hands the leadership over once the store answers a standby but not this VM, or
// once there is a much larger VM.
func (m *Member) handOverIfNeeded(ctx context.Context, epoch int64) {
	nextToLarger := time.Now().Add(handOverMinAge)
	var outage storeOutage
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(outage.checkInterval()):
		}
		m.mu.Lock()
		first, ok := m.firstStandby(time.Now())
		m.mu.Unlock()
		healthy := m.cfg.StoreHealthy()
		if healthy {
			outage.answeredAt = time.Time{}
		}
		switch {
		case !ok || first.storeDown:
		case !healthy:
			m.handOverInOutage(ctx, &outage, first, epoch)
		case time.Now().After(nextToLarger) && first.cores >= largerFactor*m.cfg.Cores && first.cores > m.cfg.Cores && time.Since(first.first) >= handOverMinAge:
			m.cfg.Leader.Pause(ctx)
			m.requestTakeover(ctx, first, epoch)
			nextToLarger = time.Now().Add(handOverRetryDelay)
		}
	}
}

// storeOutage is a time in which the store does not answer the leader.
type storeOutage struct {
	answeredAt  time.Time // when it first answered a standby, zero if it did not
	nextRequest time.Time // when the next request to take over may follow
}

func (o *storeOutage) checkInterval() time.Duration {
	if o.answeredAt.IsZero() {
		return handOverCheckInterval
	}
	return storeFailureCheckInterval
}

// handOverInOutage hands the leadership over once another call of this VM has failed that was sent
// after the store had answered a standby. A call that was sent before may only be waiting for the end
// of an outage for all VMs. Nothing can start until a VM leads that reaches the store, so there is
// nothing to pause.
func (m *Member) handOverInOutage(ctx context.Context, o *storeOutage, first standby, epoch int64) {
	switch {
	case o.answeredAt.IsZero():
		if m.request(ctx, first, Ping{VM: m.cfg.VM, Epoch: epoch, Probe: true}) {
			o.answeredAt = time.Now()
		}
	case m.cfg.StoreFailedAt().After(o.answeredAt) && time.Now().After(o.nextRequest):
		m.requestTakeover(ctx, first, epoch)
		o.nextRequest = time.Now().Add(takeoverTimeout)
	}
}

// requestTakeover asks a standby to take over the leadership and reports whether it campaigns.
func (m *Member) requestTakeover(ctx context.Context, to standby, epoch int64) bool {
	return m.request(ctx, to, Ping{VM: m.cfg.VM, Epoch: epoch})
}

// request sends a standby a request to take over, or a probe, and reports whether it agrees.
func (m *Member) request(ctx context.Context, to standby, in Ping) bool {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	pong, err := httpjson.Post[Ping, Pong](callCtx, m.cfg.Client, "http://"+to.address+"/take", &in, nil)
	message := "lead is handed over"
	if in.Probe {
		message = "standby was asked whether it reaches the store"
	}
	m.cfg.Logger.Info(message, "to", to.name, "taken", pong.Leading, "cores", to.cores, "own_cores", m.cfg.Cores, "epoch", in.Epoch, "error", err)
	return err == nil && pong.Leading
}

// HandlePing answers a standby's ping.
func (m *Member) HandlePing(in Ping) Pong {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.leading && !m.leadPending() {
		return Pong{}
	}
	now := time.Now()
	in.Cores = max(in.Cores, 0)
	first := now
	if previous, known := m.standbys[in.VM]; known {
		first = previous.first
	}
	m.standbys[in.VM] = standby{
		name: in.VM, address: in.Address, zone: in.Zone, incarnation: in.Incarnation,
		cores: in.Cores, storeDown: in.StoreDown, first: first, lastSeen: now,
	}
	out := Pong{Leading: true}
	if at := m.cfg.StuckAsOf(); !at.IsZero() {
		out.Stuck, out.StuckMS = true, max(now.Sub(at).Milliseconds(), 0)
	}
	if age, ok := m.cfg.TermAge(m.current.Epoch); ok {
		out.TermEpoch, out.TermAgeMS = m.current.Epoch, age.Milliseconds()
	}
	for i, s := range m.liveStandbys(now) {
		out.LargerStandby = out.LargerStandby || !s.storeDown && s.cores > in.Cores && s.cores >= largerFactor*in.Cores
		if s.name == in.VM {
			out.Rank = i
		} else if len(out.Peers) < 3 {
			out.Peers = append(out.Peers, s.address)
		}
	}
	return out
}

// liveStandbys returns the standbys that sent a ping recently, in the order in which they should
// take over. The caller holds the lock.
func (m *Member) liveStandbys(now time.Time) []standby {
	var live []standby
	for name, s := range m.standbys {
		if now.Sub(s.lastSeen) > standbyTTL {
			delete(m.standbys, name)
			continue
		}
		live = append(live, s)
	}
	sort.Slice(live, func(i, k int) bool { return live[i].outranks(live[k]) })
	return live
}

// firstStandby returns the standby that should take over. The caller holds the lock.
func (m *Member) firstStandby(now time.Time) (standby, bool) {
	live := m.liveStandbys(now)
	if len(live) == 0 {
		return standby{}, false
	}
	return live[0], true
}

// HandleHeard answers another standby how long ago the leader of the given epoch answered this
// VM, or -1.
func (m *Member) HandleHeard(ctx context.Context, in Ping) Pong {
	m.mu.Lock()
	leader, leading := m.current, m.leading
	m.mu.Unlock()
	switch {
	case leader.Epoch != in.Epoch:
		return Pong{HeardMS: -1}
	case leading:
		return Pong{HeardMS: 0}
	case in.ConnRefused && m.ping(ctx, leader) > noAnswer:
		m.Suspect(leader.Address)
		return Pong{HeardMS: -1}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leaderHeardAt.IsZero() {
		return Pong{HeardMS: -1}
	}
	return Pong{HeardMS: time.Since(m.leaderHeardAt).Milliseconds()}
}

// HandOver withdraws this VM from the election. If it leads, it asks its standbys one after the
// other to take over the leadership until one does, since a standby that sent a ping recently
// may be gone or unable to reach the store.
func (m *Member) HandOver(ctx context.Context) {
	m.mu.Lock()
	m.stopping = true
	leading, epoch := m.leading, m.current.Epoch
	standbys := m.liveStandbys(time.Now())
	m.mu.Unlock()
	if !leading {
		return
	}
	for _, s := range standbys {
		m.cfg.Leader.Pause(ctx)
		if m.requestTakeover(ctx, s, epoch) {
			m.awaitStepDown(ctx, takeoverTimeout)
		}
		if !m.isLeading() || ctx.Err() != nil {
			return
		}
	}
}

// awaitStepDown waits up to timeout until this VM no longer leads.
func (m *Member) awaitStepDown(ctx context.Context, timeout time.Duration) {
	for end := time.Now().Add(timeout); m.isLeading() && time.Now().Before(end) && ctx.Err() == nil; {
		time.Sleep(storeRetryDelay / 5)
	}
}

func (m *Member) isLeading() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leading
}

// Accept campaigns at once, at the request of the leader of the given epoch. To a probe, it answers
// whether the store can be read.
func (m *Member) Accept(ctx context.Context, in Ping) Pong {
	leader, _ := m.currentLeader()
	if leader.Epoch != in.Epoch || m.isStopping() {
		return Pong{}
	}
	if in.Probe {
		return Pong{Leading: m.refreshLeader(ctx, leader)}
	}
	go func() {
		if m.refreshLeader(ctx, leader) {
			m.campaign(ctx)
		}
	}()
	return Pong{Leading: true}
}
