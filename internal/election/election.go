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
	// rankDelay lets standbys campaign one after the other.
	rankDelay = 120 * time.Millisecond
	// hearsay is how recently another standby must have heard the leader for
	// this one to keep waiting.
	hearsay = 800 * time.Millisecond
	// freshHearsay is how recently a standby must have heard the leader to answer
	// without another look.
	freshHearsay = 50 * time.Millisecond
	// callTimeout bounds calls to the store.
	callTimeout = time.Second
	// storePause spaces attempts while the store doesn't answer.
	storePause = 150 * time.Millisecond
	// logEvery thins out lines about a store that stays away.
	logEvery = 16
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
}

// Pong answers a Ping. Rank is the place of the caller among the standbys.
type Pong struct {
	Leading bool     `json:"leading"`
	Stuck   bool     `json:"stuck,omitempty"`
	Rank    int      `json:"rank,omitempty"`
	Peers   []string `json:"peers,omitempty"` // addresses of other standbys
	// HeardMS is how long ago a standby that is asked has heard the leader.
	HeardMS int64 `json:"heard"`
}

// Leadership is a leader's work. Lead returns when it is over.
type Leadership interface {
	Lead(ctx context.Context, epoch int64)
}

// Config constructs a Member.
type Config struct {
	VM, Address string
	Log         Log
	Client      *http.Client
	Logger      *slog.Logger
	Work        Leadership
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
	end      int64 // of the topic, when it was last read
	heard    time.Time
	leading  bool
	led      int64 // highest epoch that this VM has led
	rank     int
	peers    []string
	standbys map[string]standby // those that ping this VM while it leads
	suspect  chan struct{}
	stopping bool
	// complaint isn't repeated for each ping while the leader stays away.
	complaint complaint
}

type standby struct {
	address string
	seen    time.Time
}

// New returns a Member; Run takes part.
func New(cfg Config) *Member {
	return &Member{cfg: cfg, life: uuid.NewString(), standbys: map[string]standby{}, suspect: make(chan struct{}, 1), rank: -1}
}

// Leader returns the address of the VM that leads, or empty.
func (m *Member) Leader() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current.Address
}

// Suspect makes the member look at the leader at once.
func (m *Member) Suspect(address string) {
	if address != m.Leader() {
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
			switch how := m.ping(ctx, held); {
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
	in := Ping{VM: m.cfg.VM, Address: m.cfg.Address, Epoch: held.Epoch}
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
		m.heard, m.rank, m.peers = time.Now(), pong.Rank, pong.Peers
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

func (m *Member) stagger() time.Duration {
	m.mu.Lock()
	rank := m.rank
	m.mu.Unlock()
	jitter := time.Duration(rand.Int64N(int64(rankDelay) / 2))
	if rank < 0 {
		return time.Duration(rand.Int64N(int64(3 * rankDelay)))
	}
	return time.Duration(rank)*rankDelay + jitter
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
		m.current, m.rank, m.peers = held, -1, nil
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
	m.current = Holder{VM: m.cfg.VM, Address: m.cfg.Address, Life: m.life, Epoch: offset + 1}
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
	m.cfg.Work.Lead(ctx, epoch)
	m.mu.Lock()
	m.leading = false
	m.mu.Unlock()
	m.cfg.Logger.Info("no longer leading", "epoch", epoch)
}

// Pinged answers a standby.
func (m *Member) Pinged(in Ping) Pong {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.leading && !m.won() {
		return Pong{}
	}
	now := time.Now()
	m.standbys[in.VM] = standby{in.Address, now}
	names := m.liveStandbys(now)
	out := Pong{Leading: true, Stuck: m.cfg.Stuck()}
	for i, name := range names {
		if name == in.VM {
			out.Rank = i
		} else if len(out.Peers) < 3 {
			out.Peers = append(out.Peers, m.standbys[name].address)
		}
	}
	return out
}

func (m *Member) liveStandbys(now time.Time) []string {
	var names []string
	for name, s := range m.standbys {
		if now.Sub(s.seen) > peerLife {
			delete(m.standbys, name)
			continue
		}
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Heard answers another standby how long ago the leader of an epoch answered
// this VM, or -1.
func (m *Member) Heard(ctx context.Context, in Ping) Pong {
	m.mu.Lock()
	held, leading := m.current, m.leading
	fresh := time.Since(m.heard) < freshHearsay
	m.mu.Unlock()
	switch {
	case held.Epoch != in.Epoch:
		return Pong{HeardMS: -1}
	case leading:
		return Pong{HeardMS: 0}
	case in.Refused && !fresh && m.ping(ctx, held) > silent:
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

// HandOver asks the first standby to take the lead, and takes no part from now
// on.
func (m *Member) HandOver(ctx context.Context) {
	m.mu.Lock()
	m.stopping = true
	leading := m.leading
	epoch := m.current.Epoch
	var address string
	for _, name := range m.liveStandbys(time.Now()) {
		address = m.standbys[name].address
		break
	}
	m.mu.Unlock()
	if !leading || address == "" {
		return
	}
	in := Ping{VM: m.cfg.VM, Epoch: epoch}
	_, err := httpjson.Post[Ping, Pong](ctx, m.cfg.Client, "http://"+address+"/take", &in, nil)
	m.cfg.Logger.Info("lead is handed over", "to", address, "epoch", epoch, "error", err)
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
