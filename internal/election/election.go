// Package election finds the one VM that schedules, and replaces it when it
// fails. A VM takes the lead with a conditional append to a topic of the store;
// the offset of that record is the leader's epoch, which rises with each change.
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

// stream holds the record of the leader.
var stream = store.Stream{Topic: "lead"}

const leaderKey = "leader"

const (
	// pingInterval is how often the first standby looks at the leader; later ones
	// look less often, by rankPing each, since they take over later anyway.
	pingInterval        = 300 * time.Millisecond
	pingIntervalPerRank = 150 * time.Millisecond
	maxPingInterval     = time.Second
	// pingTimeout is how long an answer may take. VMs have parts of a core and
	// may be slowed several times.
	pingTimeout = 450 * time.Millisecond
	// maxMissedPings is how many answers in a row have to be missing before a leader
	// that doesn't refuse connections is taken for failed.
	maxMissedPings = 2
	// campaignDelayPerRank lets standbys campaign one after the other; those from maxRank on
	// campaign together.
	campaignDelayPerRank = 120 * time.Millisecond
	maxRank              = 8
	// unrankedCampaignDelay is how much later VMs with no processor to speak of campaign than
	// those with a whole core, if ranks aren't known.
	unrankedCampaignDelay = 300 * time.Millisecond
	// largerFactor is how many times a leader's processor a standby must have to be given
	// the lead: the takeover costs a quarter of a second without starts.
	largerFactor = 1.5
	// handOverMinAge is how long a leader must lead, and a standby be heard, before that.
	handOverMinAge = 2 * time.Second
	// handOverCheckInterval spaces looks for such a standby, and offerAgain offers that came to
	// nothing.
	handOverCheckInterval = 500 * time.Millisecond
	handOverRetryDelay    = 10 * time.Second
	// leaderHeardWindow is how recently another standby must have heard the leader for
	// this one to keep waiting.
	leaderHeardWindow = 800 * time.Millisecond
	// callTimeout bounds calls to the store.
	callTimeout = time.Second
	// storeRetryDelay spaces attempts while the store doesn't answer.
	storeRetryDelay = 150 * time.Millisecond
	// logInterval thins out lines about a store that stays away.
	logInterval = 16
	// takeoverTimeout is how long a standby that was asked may take to win: two calls to a store
	// that is slow.
	takeoverTimeout = time.Second
	// standbyTTL is how long a standby counts after its last ping.
	standbyTTL = 4 * time.Second
)

// Log is what an election needs of the store.
type Log interface {
	Append(ctx context.Context, s store.Stream, records []store.Record, o store.AppendOptions) (int64, error)
	Newest(ctx context.Context, s store.Stream) ([]store.Record, int64, error)
}

// LeaderRecord is a leader as the store records it.
type LeaderRecord struct {
	VM          string `json:"vm"`
	Address     string `json:"address"`
	Incarnation string `json:"life"` // one life of the VM's process
	Epoch       int64  `json:"-"`
}

// Ping is what a standby tells the leader.
type Ping struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
	Epoch   int64  `json:"epoch"`
	// ConnRefused tells a standby that the leader refuses the caller's connections.
	ConnRefused bool `json:"refused,omitempty"`
	// Cores is the VM's share of a processor. Unfit VMs don't reach the store.
	Cores     float64 `json:"cores,omitempty"`
	StoreDown bool    `json:"unfit,omitempty"`
}

// Pong answers a Ping. Rank is the place of the caller among the standbys, and Larger
// tells that a much larger VM is among them.
type Pong struct {
	Leading       bool     `json:"leading"`
	Stuck         bool     `json:"stuck,omitempty"`
	Rank          int      `json:"rank,omitempty"`
	LargerStandby bool     `json:"larger,omitempty"`
	Peers         []string `json:"peers,omitempty"` // addresses of other standbys
	// HeardMS is how long ago a standby that is asked has heard the leader.
	HeardMS int64 `json:"heard"`
}

// Leadership is a leader's work. Lead returns when it is over. Pause begins nothing new
// for a while, and returns when what was begun is finished.
type Leadership interface {
	Lead(ctx context.Context, epoch int64)
	Pause(ctx context.Context)
}

// Config constructs a Member.
type Config struct {
	VM, Address string
	// Cores is the VM's share of a processor; larger VMs lead if they can.
	Cores  float64
	Log    Log
	Client *http.Client
	Logger *slog.Logger
	Leader Leadership
	// StoreHealthy reports whether the store answers this VM.
	StoreHealthy func() bool
	// Stuck reports whether this VM leads but gets nothing done.
	Stuck func() bool
}

// Member is a VM's part in the election.
type Member struct {
	cfg          Config
	incarnation  string
	readFailures atomic.Int64 // readings of the leader's record in a row that failed

	mu            sync.Mutex
	current       LeaderRecord
	changed       chan struct{} // closed when current changes
	streamEnd     int64         // of the topic, when it was last read
	leaderHeardAt time.Time
	leaderAnswers bool // the leader answered the last ping
	leading       bool
	lastLedEpoch  int64 // highest epoch that this VM has led
	rank          int
	largerStandby bool // a much larger VM is among the standbys
	peers         []string
	standbys      map[string]standby // those that ping this VM while it leads
	checkNow      chan struct{}
	stopping      bool
	// leaderWarning isn't repeated for each ping while the leader stays away.
	leaderWarning leaderWarning
}

type standby struct {
	name, address   string
	cores           float64
	storeDown       bool
	first, lastSeen time.Time
}

// outranks reports whether a standby should take over sooner than another.
func (s standby) outranks(other standby) bool {
	if s.storeDown != other.storeDown {
		return other.storeDown
	}
	if s.cores != other.cores {
		return s.cores > other.cores
	}
	return s.name < other.name
}

// New returns a Member; Run takes part.
func New(cfg Config) *Member {
	return &Member{cfg: cfg, incarnation: uuid.NewString(), changed: make(chan struct{}), standbys: map[string]standby{}, checkNow: make(chan struct{}, 1), rank: -1}
}

// Leader returns the address of the VM that leads, or empty, and a channel that is
// closed once another one does.
func (m *Member) Leader() (string, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current.Address, m.changed
}

// Answers reports whether the VM that leads answered this VM's last ping.
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

// setLeader notes who leads. The caller holds the lock.
func (m *Member) setLeader(leader LeaderRecord) {
	m.current, m.leaderAnswers = leader, false
	close(m.changed)
	m.changed = make(chan struct{})
}

// Suspect makes the member look at the leader at once.
func (m *Member) Suspect(address string) {
	if leader, _ := m.currentLeader(); leader.Address != address {
		return
	}
	select {
	case m.checkNow <- struct{}{}:
	default:
	}
}

// Run takes part until ctx ends.
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
			case (result == noAnswer || result == notLeading) && missed+1 < maxMissedPings:
				missed++
			default:
				missed = 0
				m.replaceLeader(ctx, leader, result)
				continue
			}
			m.wait(ctx, m.pingDelay(missed))
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

func (m *Member) wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-m.checkNow:
	case <-time.After(d):
	}
}

// pingResult is how a leader was found.
type pingResult int

const (
	answered     pingResult = iota
	noAnswer                // no answer in time
	notLeading              // it doesn't lead; it may have won just now and not know yet
	connRefused             // nothing listens there, as far as this VM can tell
	disqualified            // it says that it can't lead
)

// ping looks at the leader.
func (m *Member) ping(ctx context.Context, leader LeaderRecord) pingResult {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	in := Ping{VM: m.cfg.VM, Address: m.cfg.Address, Epoch: leader.Epoch, Cores: m.cfg.Cores, StoreDown: !m.cfg.StoreHealthy()}
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
	case pong.Stuck:
		m.warnOnce(leader, "leader gets nothing done")
		return disqualified
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaderWarning = leaderWarning{}
	if m.current.Incarnation == leader.Incarnation {
		m.leaderHeardAt, m.rank, m.largerStandby, m.peers = time.Now(), pong.Rank, pong.LargerStandby, pong.Peers
	}
	return answered
}

// leaderWarning is what was last logged of a leader.
type leaderWarning struct {
	epoch  int64
	reason string
}

// warnOnce logs that a leader is not to be relied on, once for each cause.
func (m *Member) warnOnce(leader LeaderRecord, reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if warning := (leaderWarning{leader.Epoch, reason}); warning != m.leaderWarning {
		m.leaderWarning = warning
		m.cfg.Logger.Warn(reason, "leader", leader.VM, "epoch", leader.Epoch)
	}
}

// replaceLeader campaigns for the lead unless another VM has it, or hears the leader. What a
// leader says of itself needs no other opinion.
func (m *Member) replaceLeader(ctx context.Context, failed LeaderRecord, result pingResult) {
	if !m.refreshLeader(ctx, failed) {
		return
	}
	m.wait(ctx, m.campaignDelay())
	if (result == noAnswer || result == connRefused) && m.peersHearLeader(ctx, result == connRefused) {
		m.wait(ctx, pingInterval)
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

// campaignDelay is how long this VM waits before it campaigns: VMs with more processor
// campaign sooner.
func (m *Member) campaignDelay() time.Duration {
	m.mu.Lock()
	rank, largerStandby := m.rank, m.largerStandby
	m.mu.Unlock()
	delay := time.Duration(rand.Int64N(int64(campaignDelayPerRank) / 2))
	if rank < 0 {
		return delay + time.Duration(float64(unrankedCampaignDelay)*(1-min(m.cfg.Cores, 1)))
	}
	if largerStandby {
		delay += pingInterval // it may notice that much later
	}
	return delay + time.Duration(min(rank, maxRank))*campaignDelayPerRank
}

// refreshLeader reads who leads. It returns true if the store answers and nobody has
// replaced the failed leader.
func (m *Member) refreshLeader(ctx context.Context, failed LeaderRecord) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	records, streamEnd, err := m.cfg.Log.Newest(ctx, stream)
	if err != nil {
		if n := m.readFailures.Add(1); n%logInterval == 1 {
			m.cfg.Logger.Warn("who leads can't be read", "failures", n, "error", err)
		}
		m.wait(ctx, storeRetryDelay)
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
		// The rank stays: the order of the standbys is much the same under the next one.
		m.setLeader(leader)
		m.peers = nil
	}
	return m.current.Epoch == failed.Epoch && !m.leadPending()
}

// leadPending reports whether a campaign has been leadPending and its lead not taken up. The
// caller holds the lock.
func (m *Member) leadPending() bool {
	return m.current.Incarnation == m.incarnation && m.current.Epoch > m.lastLedEpoch
}

// peersHearLeader asks other standbys whether the leader answers them. If it refuses
// connections, they have to look anew: what they heard before says nothing then.
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

// campaign appends this VM's record where the topic was seen to end.
func (m *Member) campaign(ctx context.Context) {
	m.mu.Lock()
	at, previous := m.streamEnd, m.current
	m.mu.Unlock()
	value, err := json.Marshal(LeaderRecord{VM: m.cfg.VM, Address: m.cfg.Address, Incarnation: m.incarnation})
	if err != nil {
		m.cfg.Logger.Error("leader record not encoded", "error", err)
		return
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	offset, err := m.cfg.Log.Append(call, stream, []store.Record{{Key: leaderKey, Value: value}}, store.AppendOptions{Conditional: true, At: at})
	if err != nil {
		m.cfg.Logger.Info("campaign not won", "at", at, "error", err)
		return
	}
	m.cfg.Logger.Info("campaign won", "epoch", offset+1, "before", previous.VM, "before_epoch", previous.Epoch)
	metric.Count("elections_total")
	m.mu.Lock()
	m.setLeader(LeaderRecord{VM: m.cfg.VM, Address: m.cfg.Address, Incarnation: m.incarnation, Epoch: offset + 1})
	m.mu.Unlock()
	select { // Run takes the lead up
	case m.checkNow <- struct{}{}:
	default:
	}
}

// lead does the leader's work until it is over.
func (m *Member) lead(ctx context.Context, epoch int64) {
	m.mu.Lock()
	m.leading, m.lastLedEpoch, m.rank = true, epoch, -1
	clear(m.standbys)
	m.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { m.handOverToLarger(ctx, epoch) })
	m.cfg.Leader.Lead(ctx, epoch)
	cancel()
	wg.Wait()
	m.mu.Lock()
	m.leading = false
	m.mu.Unlock()
	m.cfg.Logger.Info("no longer leading", "epoch", epoch)
}

// handOverToLarger hands the lead to a much larger VM once there is one.
func (m *Member) handOverToLarger(ctx context.Context, epoch int64) {
	next := time.Now().Add(handOverMinAge)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(handOverCheckInterval):
		}
		if time.Now().Before(next) {
			continue
		}
		m.mu.Lock()
		first, ok := m.firstStandby(time.Now())
		m.mu.Unlock()
		if ok && !first.storeDown && first.cores > m.cfg.Cores && first.cores >= largerFactor*m.cfg.Cores && time.Since(first.first) >= handOverMinAge {
			m.requestTakeover(ctx, first, epoch)
			next = time.Now().Add(handOverRetryDelay)
		}
	}
}

// requestTakeover asks a standby to take the lead, and reports whether it campaigns.
func (m *Member) requestTakeover(ctx context.Context, to standby, epoch int64) bool {
	m.cfg.Leader.Pause(ctx)
	in := Ping{VM: m.cfg.VM, Epoch: epoch}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	pong, err := httpjson.Post[Ping, Pong](call, m.cfg.Client, "http://"+to.address+"/take", &in, nil)
	m.cfg.Logger.Info("lead is handed over", "to", to.name, "taken", pong.Leading, "cores", to.cores, "own_cores", m.cfg.Cores, "epoch", epoch, "error", err)
	return err == nil && pong.Leading
}

// HandlePing answers a standby.
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
	m.standbys[in.VM] = standby{in.VM, in.Address, in.Cores, in.StoreDown, first, now}
	out := Pong{Leading: true, Stuck: m.cfg.Stuck()}
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

// liveStandbys lists the standbys that were heard lately, those first that should take
// over first.
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

// firstStandby is the one that should take over. The caller holds the lock.
func (m *Member) firstStandby(now time.Time) (standby, bool) {
	live := m.liveStandbys(now)
	if len(live) == 0 {
		return standby{}, false
	}
	return live[0], true
}

// HandleHeard answers another standby how long ago the leader of an epoch answered
// this VM, or -1.
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

// HandOver takes no part from now on. A leader asks its standbys one after the other to
// take the lead, until it no longer leads: one that was heard lately may have gone, or not
// reach the store.
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
		if m.requestTakeover(ctx, s, epoch) {
			m.awaitStepDown(ctx, takeoverTimeout)
		}
		if !m.isLeading() || ctx.Err() != nil {
			return
		}
	}
}

// awaitStepDown waits until this VM no longer leads, at most for a time.
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

// Accept campaigns at once, on the request of the leader of an epoch.
func (m *Member) Accept(ctx context.Context, in Ping) Pong {
	leader, _ := m.currentLeader()
	if leader.Epoch != in.Epoch || m.isStopping() {
		return Pong{}
	}
	go func() {
		if m.refreshLeader(ctx, leader) {
			m.campaign(ctx)
		}
	}()
	return Pong{Leading: true}
}
