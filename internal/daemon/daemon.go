// Package daemon is the entry VM's process: it joins the request pipe, the
// placement pipe and the control pipe, and serves callers, operators and peers.
package daemon

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"rhubarbshore/internal/claim"
	"rhubarbshore/internal/config"
	"rhubarbshore/internal/httpjson"
	"rhubarbshore/internal/idempotency"
	"rhubarbshore/internal/journal"
	"rhubarbshore/internal/minion"
	"rhubarbshore/internal/peer"
	"rhubarbshore/internal/peer/rpc"
	"rhubarbshore/internal/placer"
	"rhubarbshore/internal/platform"
	"rhubarbshore/internal/queue"
	"rhubarbshore/internal/settings"
)

// Tuning of the daemon.
const (
	peerConns     = 4
	minionConns   = 64
	dialTimeout   = 500 * time.Millisecond
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	maxHeader     = 16 << 10
	leadEvery     = 250 * time.Millisecond
	claimWaiting  = 4096
	// appendShare times the number of VMs is the time between two appends of
	// claims by one VM: 333 appends a second by all of them.
	appendShare = 3 * time.Millisecond
	maxOwners   = 64
	// restatesPerKeep is how often an open job is written to the log again in the
	// time for which the log keeps records.
	restatesPerKeep = 4
)

// ErrStop is returned by Stop when requests were cut by its deadline.
var ErrStop = errorx.NewType(errorx.NewNamespace("daemon"), "stop").New("requests were cut by the stop deadline")

// Config constructs a Daemon.
type Config struct {
	Settings settings.Settings
	Logger   *slog.Logger
	// Wrap is put around the transport of every client that the daemon uses; nil
	// leaves them as they are. Tests bring faults about there.
	Wrap func(next http.RoundTripper) http.RoundTripper
	// Network is where the daemon listens and dials, nil for the machine's.
	Network httpjson.Network
}

// Daemon is one entry VM's process.
type Daemon struct {
	set     settings.Settings
	wrap    func(next http.RoundTripper) http.RoundTripper
	network httpjson.Network
	logger  *slog.Logger
	log     *platform.Log
	list    *platform.List
	store   *config.Store
	members *peer.Members
	journal *journal.Journal
	placer  *placer.Placer
	claims  *claim.Claimer
	sender  *minion.Client
	workers *http.Client

	server   *httpjson.Draining
	listener net.Listener
	cancel   context.CancelFunc
	done     sync.WaitGroup
	booted   time.Time
	inflight atomic.Int64
	stopping atomic.Bool
	leaving  atomic.Bool

	mu     sync.Mutex
	queues map[string]*queue.Queue
	owners map[string]*owner
	own    *owner
	// listed is the platform's list as last read.
	listed   []platform.Instance
	clients  map[string]placer.Worker
	minions  *http.Transport
	queueCtx context.Context
}

// owner is a set of keys that this VM decides about: its own, and those handed
// over by VMs that stopped.
type owner struct {
	minter *idempotency.Minter
	table  *idempotency.Table
}

// New builds a daemon that is not running yet.
func New(cfg Config) (*Daemon, error) {
	set := cfg.Settings
	if err := set.Check(); err != nil {
		return nil, err
	}
	logger := cfg.Logger.With("vm", set.Name, "zone", set.Zone)
	incarnation := time.Now().UnixMilli()
	minter, err := idempotency.NewMinter(idempotency.Owner(set.Name, incarnation), nil)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		set: set, wrap: cfg.Wrap, network: cfg.Network, logger: logger, queues: map[string]*queue.Queue{}, owners: map[string]*owner{},
		clients: map[string]placer.Worker{},
	}
	if d.network == nil {
		d.network = httpjson.TCP{}
	}
	d.workers = d.client("worker", peerConns)
	d.own = &owner{minter: minter, table: idempotency.NewTable(idempotency.Limits{Keys: set.Limits.Keys, Bytes: set.Limits.Bytes})}
	d.owners[minter.Owner()] = d.own
	d.connect(incarnation)
	return d, nil
}

// connect builds the adapters to the platform, the peers and the servers.
func (d *Daemon) connect(incarnation int64) {
	set := d.set
	client := d.client("platform", peerConns)
	d.log = platform.NewLog(client, set.Log)
	d.list = platform.NewList(client, set.List)
	servers := d.bare("minion", minionConns)
	if t, ok := servers.Transport.(*http.Transport); ok {
		d.minions = t
	}
	d.sender = minion.NewClient(d.wrapped(servers))
	d.members = peer.NewMembers(peer.Config{
		Self:  peer.Self{Name: set.Name, Address: set.Address, Zone: set.Zone, Region: set.Region, Incarnation: incarnation},
		Probe: time.Duration(set.Deadlines.Probe), Suspect: time.Duration(set.Deadlines.Suspect),
		Connect: peer.HTTP(d.client("peer", peerConns)), Logger: d.logger, LeftServer: d.serverLeft,
	})
	d.members.Change(func(self *rpc.Member) { self.Owners = []string{d.own.minter.Owner()} })
	for _, p := range set.Peers {
		d.members.Seed(p.Name, p.Address, p.Zone)
	}
	d.store = config.NewStore(config.StoreConfig{
		Log: d.log, Site: set.Zone, Poll: time.Duration(set.Deadlines.Poll), Restate: time.Duration(set.Deadlines.Restate),
		Logger: d.logger, Applied: d.applied,
	})
	d.claims = claim.New(claim.Config{
		Log: d.log, Owner: d.own.minter.Owner(), Waiting: claimWaiting, Pace: d.claimPace, Window: d.longestWindow, Known: set.Limits.Claims, Keep: time.Duration(set.Deadlines.Keep),
	})
	d.journal = journal.New(journal.Config{
		Log: d.log, Stream: "jobs-" + set.Zone, Origin: d.own.minter.Owner(), Peers: d.replicas, Keep: time.Duration(set.Deadlines.Keep),
	})
	d.placer = placer.New(placer.Config{
		Holds: d.members.ClaimsLead,
		VM:    set.Name, Zone: set.Zone, Logger: d.logger, Journal: d.journal, Restate: time.Duration(set.Deadlines.Keep) / restatesPerKeep,
		Term: time.Duration(set.Deadlines.Term), Renew: time.Duration(set.Deadlines.Renew), Hold: time.Duration(set.Deadlines.Hold),
		Checkpoint: time.Duration(set.Deadlines.Checkpoint), Lost: time.Duration(set.Deadlines.Lost), Drift: time.Duration(set.Deadlines.Drift),
	})
}

// client makes a client for the daemon's calls to one kind of peer.
func (d *Daemon) client(role string, conns int) *http.Client {
	return d.wrapped(d.bare(role, conns))
}

func (d *Daemon) bare(role string, conns int) *http.Client {
	return httpjson.NewClient(httpjson.ClientConfig{Role: role, Conns: conns, DialTimeout: dialTimeout, Network: d.network})
}

func (d *Daemon) wrapped(c *http.Client) *http.Client {
	if d.wrap != nil {
		c.Transport = d.wrap(c.Transport)
	}
	return c
}

// claimPace shares the log's appends out among the VMs known.
func (d *Daemon) claimPace() time.Duration { return time.Duration(d.vms()) * appendShare }

// longestWindow is the longest time that any kind in force gives a request.
func (d *Daemon) longestWindow() time.Duration {
	var longest time.Duration
	if cfg, _ := d.store.Current(); cfg != nil {
		for _, k := range cfg.Kinds {
			longest = max(longest, time.Duration(k.Window))
		}
	}
	return longest
}

// Start begins to serve. It returns once the daemon listens.
func (d *Daemon) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	listener, err := d.network.Listen(ctx, "tcp", d.set.Listen)
	if err != nil {
		cancel()
		return errorx.Decorate(err, "listen")
	}
	d.cancel = cancel
	d.queueCtx = ctx
	d.booted = time.Now()
	d.listener = listener
	d.server = httpjson.NewDraining(&http.Server{
		Handler: d.handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
	}, httpjson.CountListener(listener, "served"))
	for _, duty := range []func(ctx context.Context){d.members.Run, d.store.Run, d.claims.Run, d.journal.Run, d.placer.Run, d.followList, d.followPeers, d.keepLead} {
		d.done.Go(func() { duty(ctx) })
	}
	d.done.Go(func() {
		if err := d.server.Serve(); err != nil {
			d.logger.Error("listener failed", "error", err)
		}
	})
	d.logger.Info("serving", "address", d.set.Address)
	return nil
}

// Kill ends the daemon at once, as a crash would: nothing is handed over.
func (d *Daemon) Kill() {
	d.cancel()
	_ = d.server.Close()
	d.done.Wait()
}

// Address returns the address that the daemon listens on.
func (d *Daemon) Address() string { return d.listener.Addr().String() }
