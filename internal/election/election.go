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
	// pingEvery is how often the first standby looks at the leader; later ones
	// look less often, by rankPing each, since they take over later anyway.
	pingEvery = 300 * time.Millisecond
	rankPing  = 150 * time.Millisecond
	maxPing   = time.Second
	// pingTimeout is how long an answer may take. VMs have parts of a core and
	// may be slowed several times.
	pingTimeout = 450 * time.Millisecond
	// misses is how many answers in a row have to be missing before a leader
	// that doesn't refuse connections is taken for failed.
	misses = 2
	// rankDelay lets standbys campaign one after the other; those from maxRank on
	// campaign together.
	rankDelay = 120 * time.Millisecond
	maxRank   = 8
	// shareDelay is how much later VMs with no processor to speak of campaign than
	// those with a whole core, if ranks aren't known.
	shareDelay = 300 * time.Millisecond
	// largerBy is how many times a leader's processor a standby must have to be given
	// the lead: the takeover costs a quarter of a second without starts.
	largerBy = 1.5
	// settled is how long a leader must lead, and a standby be heard, before that.
	settled = 2 * time.Second
	// offerEvery spaces looks for such a standby, and offerAgain offers that came to
	// nothing.
	offerEvery = 500 * time.Millisecond
	offerAgain = 10 * time.Second
	// hearsay is how recently another standby must have heard the leader for
	// this one to keep waiting.
	hearsay = 800 * time.Millisecond
	// callTimeout bounds calls to the store.
	callTimeout = time.Second
	// storePause spaces attempts while the store doesn't answer.
	storePause = 150 * time.Millisecond
	// logEvery thins out lines about a store that stays away.
	logEvery = 16
	// takeTime is how long a standby that was asked may take to win: two calls to a store
	// that is slow.
	takeTime = time.Second
	// peerLife is how long a standby counts after its last ping.
	peerLife = 4 * time.Second
)

// Log is what an election needs of the store.
type Log interface {
	Append(ctx context.Context, s store.Stream, records []store.Record, o store.AppendOptions) (int64, error)
	Newest(ctx context.Context, s store.Stream) ([]store.Record, int64, error)
}

// Holder is a leader as the store records it.
type Holder struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
	Life    string `json:"life"` // one life of the VM's process
	Epoch   int64  `json:"-"`
}

// Ping is what a standby tells the leader.
type Ping struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
	Epoch   int64  `json:"epoch"`
	// Refused tells a standby that the leader refuses the caller's connections.
	Refused bool `json:"refused,omitempty"`
	// Cores is the VM's share of a processor. Unfit VMs don't reach the store.
	Cores float64 `json:"cores,omitempty"`
	Unfit bool    `json:"unfit,omitempty"`
}

// Pong answers a Ping. Rank is the place of the caller among the standbys, and Larger
// tells that a much larger VM is among them.
type Pong struct {
	Leading bool     `json:"leading"`
	Stuck   bool     `json:"stuck,omitempty"`
	Rank    int      `json:"rank,omitempty"`
	Larger  bool     `json:"larger,omitempty"`
	Peers   []string `json:"peers,omitempty"` // addresses of other standbys
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
	Work   Leadership
	// Fit reports whether the store answers this VM.
	Fit func() bool
	// Stuck reports whether this VM leads but gets nothing done.
	Stuck func() bool
}

// Member is a VM's part in the election.
type Member struct {
	cfg    Config
	life   string
	unread atomic.Int64 // readings of the leader's record in a row that failed

	mu       sync.Mutex
	current  Holder
	changed  chan struct{} // closed when current changes
	end      int64         // of the topic, when it was last read
	heard    time.Time
	answers  bool // the leader answered the last ping
	leading  bool
	led      int64 // highest epoch that this VM has led
	rank     int
	larger   bool // a much larger VM is among the standbys
	peers    []string
	standbys map[string]standby // those that ping this VM while it leads
	suspect  chan struct{}
	stopping bool
	// complaint isn't repeated for each ping while the leader stays away.
	complaint complaint
}

type standby struct {
	name, address string
	cores         float64
	unfit         bool
	first, seen   time.Time
}

// before reports whether a standby should take over sooner than another.
func (s standby) before(o standby) bool {
	if s.unfit != o.unfit {
		return o.unfit
	}
	if s.cores != o.cores {
		return s.cores > o.cores
	}
	return s.name < o.name
}

// New returns a Member; Run takes part.
func New(cfg Config) *Member {
	return &Member{cfg: cfg, life: uuid.NewString(), changed: make(chan struct{}), standbys: map[string]standby{}, suspect: make(chan struct{}, 1), rank: -1}
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
	return m.answers
}

func (m *Member) noteAnswer(held Holder, how condition) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.answers = how == answered && m.current.Life == held.Life
}

// follow notes who leads. The caller holds the lock.
func (m *Member) follow(held Holder) {
	m.current, m.answers = held, false
	close(m.changed)
	m.changed = make(chan struct{})
}

// Suspect makes the member look at the leader at once.
func (m *Member) Suspect(address string) {
	if held, _ := m.look(); held.Address != address {
		return
	}
	select {
	case m.suspect <- struct{}{}:
	default:
	}
}

// Run takes part until ctx ends.
func (m *Member) Run(ctx context.Context) {
	missed := 0
	for ctx.Err() == nil {
		held, known := m.look()
		switch {
		case !known:
			m.replace(ctx, held, resigned)
		case held.Life == m.life && held.Epoch > m.ledEpoch():
			// Won just now, or by a campaign whose answer was lost.
			m.lead(ctx, held.Epoch)
		case held.Life == m.life:
			m.replace(ctx, held, resigned)
		default:
			how := m.ping(ctx, held)
			m.noteAnswer(held, how)
			switch {
			case how == answered:
				missed = 0
			case (how == silent || how == idle) && missed+1 < misses:
				missed++
			default:
				missed = 0
				m.replace(ctx, held, how)
				continue
			}
			m.pause(ctx, m.interval(missed))
		}
	}
}

func (m *Member) look() (Holder, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current, m.current.Life != ""
}

func (m *Member) ledEpoch() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.led
}

func (m *Member) interval(missed int) time.Duration {
	if missed > 0 {
		return storePause / 3
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return min(pingEvery+time.Duration(max(m.rank, 0))*rankPing, maxPing)
}

func (m *Member) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-m.suspect:
	case <-time.After(d):
	}
}

// condition is how a leader was found.
type condition int

const (
	answered condition = iota
	silent             // no answer in time
	idle               // it doesn't lead; it may have won just now and not know yet
	refused            // nothing listens there, as far as this VM can tell
	resigned           // it says that it can't lead
)

// ping looks at the leader.
func (m *Member) ping(ctx context.Context, held Holder) condition {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	in := Ping{VM: m.cfg.VM, Address: m.cfg.Address, Epoch: held.Epoch, Cores: m.cfg.Cores, Unfit: !m.cfg.Fit()}
	pong, err := httpjson.Post[Ping, Pong](ctx, m.cfg.Client, "http://"+held.Address+"/ping", &in, nil)
	switch {
	case errors.Is(err, httpjson.ErrUnsent) && ctx.Err() == nil:
		m.complain(held, "leader refuses connections")
		return refused
	case err != nil:
		return silent
	case !pong.Leading:
		m.complain(held, "leader does not lead")
		return idle
	case pong.Stuck:
		m.complain(held, "leader gets nothing done")
		return resigned
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.complaint = complaint{}
	if m.current.Life == held.Life {
		m.heard, m.rank, m.larger, m.peers = time.Now(), pong.Rank, pong.Larger, pong.Peers
	}
	return answered
}

// complaint is what was last logged of a leader.
type complaint struct {
	epoch int64
	why   string
}

// complain logs that a leader is not to be relied on, once for each cause.
func (m *Member) complain(held Holder, why string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now := (complaint{held.Epoch, why}); now != m.complaint {
		m.complaint = now
		m.cfg.Logger.Warn(why, "leader", held.VM, "epoch", held.Epoch)
	}
}

// replace campaigns for the lead unless another VM has it, or hears the leader. What a
// leader says of itself needs no other opinion.
func (m *Member) replace(ctx context.Context, failed Holder, how condition) {
	if !m.refresh(ctx, failed) {
		return
	}
	m.pause(ctx, m.stagger())
	if (how == silent || how == refused) && m.othersHear(ctx, how == refused) {
		m.pause(ctx, pingEvery)
		return
	}
	if !m.refresh(ctx, failed) || ctx.Err() != nil || m.isStopping() {
		return
	}
	m.campaign(ctx)
}

func (m *Member) isStopping() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stopping
}

// stagger is how long this VM waits before it campaigns: VMs with more processor
// campaign sooner.
func (m *Member) stagger() time.Duration {
	m.mu.Lock()
	rank, larger := m.rank, m.larger
	m.mu.Unlock()
	delay := time.Duration(rand.Int64N(int64(rankDelay) / 2))
	if rank < 0 {
		return delay + time.Duration(float64(shareDelay)*(1-min(m.cfg.Cores, 1)))
	}
	if larger {
		delay += pingEvery // it may notice that much later
	}
	return delay + time.Duration(min(rank, maxRank))*rankDelay
}

// refresh reads who leads. It returns true if the store answers and nobody has
// replaced the failed leader.
func (m *Member) refresh(ctx context.Context, failed Holder) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	records, end, err := m.cfg.Log.Newest(ctx, stream)
	if err != nil {
		if n := m.unread.Add(1); n%logEvery == 1 {
			m.cfg.Logger.Warn("who leads can't be read", "failures", n, "error", err)
		}
		m.pause(ctx, storePause)
		return false
	}
	m.unread.Store(0)
	var held Holder
	for _, r := range records {
		if r.Key != leaderKey {
			continue
		}
		if err := json.Unmarshal(r.Value, &held); err != nil {
			m.cfg.Logger.Error("leader record not readable", "error", err)
		}
		held.Epoch = r.Offset + 1
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.end = end
	if held.Epoch > m.current.Epoch {
		m.cfg.Logger.Info("another VM leads", "vm", held.VM, "epoch", held.Epoch, "before", m.current.VM)
		// The rank stays: the order of the standbys is much the same under the next one.
		m.follow(held)
		m.peers = nil
	}
	return m.current.Epoch == failed.Epoch && !m.won()
}

// won reports whether a campaign has been won and its lead not taken up. The
// caller holds the lock.
func (m *Member) won() bool { return m.current.Life == m.life && m.current.Epoch > m.led }

// othersHear asks other standbys whether the leader answers them. If it refuses
// connections, they have to look anew: what they heard before says nothing then.
func (m *Member) othersHear(ctx context.Context, refused bool) bool {
	m.mu.Lock()
	peers := m.peers
	epoch := m.current.Epoch
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, pingTimeout/2)
	defer cancel()
	answers := make(chan bool, len(peers))
	for _, address := range peers {
		go func() {
			in := Ping{VM: m.cfg.VM, Epoch: epoch, Refused: refused}
			pong, err := httpjson.Post[Ping, Pong](ctx, m.cfg.Client, "http://"+address+"/heard", &in, nil)
			answers <- err == nil && pong.HeardMS >= 0 && time.Duration(pong.HeardMS)*time.Millisecond < hearsay-pingTimeout/2
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
	at, before := m.end, m.current
	m.mu.Unlock()
	value, err := json.Marshal(Holder{VM: m.cfg.VM, Address: m.cfg.Address, Life: m.life})
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
	m.cfg.Logger.Info("campaign won", "epoch", offset+1, "before", before.VM, "before_epoch", before.Epoch)
	metric.Count("elections_total")
	m.mu.Lock()
	m.follow(Holder{VM: m.cfg.VM, Address: m.cfg.Address, Life: m.life, Epoch: offset + 1})
	m.mu.Unlock()
	select { // Run takes the lead up
	case m.suspect <- struct{}{}:
	default:
	}
}

// lead does the leader's work until it is over.
func (m *Member) lead(ctx context.Context, epoch int64) {
	m.mu.Lock()
	m.leading, m.led, m.rank = true, epoch, -1
	clear(m.standbys)
	m.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	var offering sync.WaitGroup
	offering.Go(func() { m.offer(ctx, epoch) })
	m.cfg.Work.Lead(ctx, epoch)
	cancel()
	offering.Wait()
	m.mu.Lock()
	m.leading = false
	m.mu.Unlock()
	m.cfg.Logger.Info("no longer leading", "epoch", epoch)
}

// offer hands the lead to a much larger VM once there is one.
func (m *Member) offer(ctx context.Context, epoch int64) {
	next := time.Now().Add(settled)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(offerEvery):
		}
		if time.Now().Before(next) {
			continue
		}
		m.mu.Lock()
		first, ok := m.firstStandby(time.Now())
		m.mu.Unlock()
		if ok && !first.unfit && first.cores > m.cfg.Cores && first.cores >= largerBy*m.cfg.Cores && time.Since(first.first) >= settled {
			m.handTo(ctx, first, epoch)
			next = time.Now().Add(offerAgain)
		}
	}
}

// handTo asks a standby to take the lead, and reports whether it campaigns.
func (m *Member) handTo(ctx context.Context, to standby, epoch int64) bool {
	m.cfg.Work.Pause(ctx)
	in := Ping{VM: m.cfg.VM, Epoch: epoch}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	pong, err := httpjson.Post[Ping, Pong](call, m.cfg.Client, "http://"+to.address+"/take", &in, nil)
	m.cfg.Logger.Info("lead is handed over", "to", to.name, "taken", pong.Leading, "cores", to.cores, "own_cores", m.cfg.Cores, "epoch", epoch, "error", err)
	return err == nil && pong.Leading
}

// Pinged answers a standby.
func (m *Member) Pinged(in Ping) Pong {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.leading && !m.won() {
		return Pong{}
	}
	now := time.Now()
	in.Cores = max(in.Cores, 0)
	first := now
	if before, known := m.standbys[in.VM]; known {
		first = before.first
	}
	m.standbys[in.VM] = standby{in.VM, in.Address, in.Cores, in.Unfit, first, now}
	out := Pong{Leading: true, Stuck: m.cfg.Stuck()}
	for i, s := range m.liveStandbys(now) {
		out.Larger = out.Larger || !s.unfit && s.cores > in.Cores && s.cores >= largerBy*in.Cores
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
		if now.Sub(s.seen) > peerLife {
			delete(m.standbys, name)
			continue
		}
		live = append(live, s)
	}
	sort.Slice(live, func(i, k int) bool { return live[i].before(live[k]) })
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

// Heard answers another standby how long ago the leader of an epoch answered
// this VM, or -1.
func (m *Member) Heard(ctx context.Context, in Ping) Pong {
	m.mu.Lock()
	held, leading := m.current, m.leading
	m.mu.Unlock()
	switch {
	case held.Epoch != in.Epoch:
		return Pong{HeardMS: -1}
	case leading:
		return Pong{HeardMS: 0}
	case in.Refused && m.ping(ctx, held) > silent:
		m.Suspect(held.Address)
		return Pong{HeardMS: -1}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.heard.IsZero() {
		return Pong{HeardMS: -1}
	}
	return Pong{HeardMS: time.Since(m.heard).Milliseconds()}
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
		if m.handTo(ctx, s, epoch) {
			m.await(ctx, takeTime)
		}
		if !m.isLeading() || ctx.Err() != nil {
			return
		}
	}
}

// await waits until this VM no longer leads, at most for a time.
func (m *Member) await(ctx context.Context, most time.Duration) {
	for end := time.Now().Add(most); m.isLeading() && time.Now().Before(end) && ctx.Err() == nil; {
		time.Sleep(storePause / 5)
	}
}

func (m *Member) isLeading() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leading
}

// Take campaigns at once, on the request of the leader of an epoch.
func (m *Member) Take(ctx context.Context, in Ping) Pong {
	held, _ := m.look()
	if held.Epoch != in.Epoch || m.isStopping() {
		return Pong{}
	}
	go func() {
		if m.refresh(ctx, held) {
			m.campaign(ctx)
		}
	}()
	return Pong{Leading: true}
}
