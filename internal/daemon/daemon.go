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
	peerConns          = 4
	minionConns        = 64
	dialTimeout        = 500 * time.Millisecond
	headerTimeout      = 10 * time.Second
	idleTimeout        = 2 * time.Minute
	maxHeaderBytes     = 16 << 10
	leadershipInterval = 250 * time.Millisecond
	maxPendingClaims   = 4096
	// appendIntervalPerVM times the number of VMs is the time between two appends of
	// claims by one VM: 333 appends a second by all of them.
	appendIntervalPerVM = 3 * time.Millisecond
	maxOwners           = 64
	// restatesPerRetention is how often an open job is written to the log again in the
	// time for which the log keeps records.
	restatesPerRetention = 4
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
	opts         settings.Settings
	wrap         func(next http.RoundTripper) http.RoundTripper
	network      httpjson.Network
	logger       *slog.Logger
	platformLog  *platform.Log
	instanceList *platform.List
	configStore  *config.Store
	members      *peer.Members
	journal      *journal.Journal
	placer       *placer.Placer
	claims       *claim.Claimer
	minionClient *minion.Client
	workerHTTP   *http.Client

	server    *httpjson.Draining
	listener  net.Listener
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	startedAt time.Time
	inflight  atomic.Int64
	stopping  atomic.Bool
	leaving   atomic.Bool

	mu        sync.Mutex
	queues    map[string]*queue.Queue
	owners    map[string]*keyOwner
	selfOwner *keyOwner
	// instances is the platform's list as last read.
	instances       []platform.Instance
	workerClients   map[string]placer.Worker
	minionTransport *http.Transport
	queueCtx        context.Context
}

// keyOwner is a set of keys that this VM decides about: its own, and those handed
// over by VMs that stopped.
type keyOwner struct {
	minter *idempotency.Minter
	table  *idempotency.Table
}

// New builds a daemon that is not running yet.
func New(cfg Config) (*Daemon, error) {
	opts := cfg.Settings
	if err := opts.Check(); err != nil {
		return nil, err
	}
	logger := cfg.Logger.With("vm", opts.Name, "zone", opts.Zone)
	incarnation := time.Now().UnixMilli()
	minter, err := idempotency.NewMinter(idempotency.Owner(opts.Name, incarnation), nil)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		opts: opts, wrap: cfg.Wrap, network: cfg.Network, logger: logger, queues: map[string]*queue.Queue{}, owners: map[string]*keyOwner{},
		workerClients: map[string]placer.Worker{},
	}
	if d.network == nil {
		d.network = httpjson.TCP{}
	}
	d.workerHTTP = d.httpClient("worker", peerConns)
	d.selfOwner = &keyOwner{minter: minter, table: idempotency.NewTable(idempotency.Limits{Keys: opts.Limits.Keys, Bytes: opts.Limits.Bytes})}
	d.owners[minter.Owner()] = d.selfOwner
	d.initComponents(incarnation)
	return d, nil
}

// initComponents builds the adapters to the platform, the peers and the servers.
func (d *Daemon) initComponents(incarnation int64) {
	opts := d.opts
	httpClient := d.httpClient("platform", peerConns)
	d.platformLog = platform.NewLog(httpClient, opts.Log)
	d.instanceList = platform.NewList(httpClient, opts.List)
	minions := d.plainHTTPClient("minion", minionConns)
	if t, ok := minions.Transport.(*http.Transport); ok {
		d.minionTransport = t
	}
	d.minionClient = minion.NewClient(d.wrapClient(minions))
	d.members = peer.NewMembers(peer.Config{
		Self:  peer.Self{Name: opts.Name, Address: opts.Address, Zone: opts.Zone, Region: opts.Region, Incarnation: incarnation},
		Probe: time.Duration(opts.Deadlines.Probe), Suspect: time.Duration(opts.Deadlines.Suspect),
		Connect: peer.HTTP(d.httpClient("peer", peerConns)), Logger: d.logger, LeftServer: d.markServerLeaving,
	})
	d.members.Change(func(self *rpc.Member) { self.Owners = []string{d.selfOwner.minter.Owner()} })
	for _, p := range opts.Peers {
		d.members.Seed(p.Name, p.Address, p.Zone)
	}
	d.configStore = config.NewStore(config.StoreConfig{
		Log: d.platformLog, Site: opts.Zone, Poll: time.Duration(opts.Deadlines.Poll), Restate: time.Duration(opts.Deadlines.Restate),
		Logger: d.logger, Applied: d.applyConfig,
	})
	d.claims = claim.New(claim.Config{
		Log: d.platformLog, Owner: d.selfOwner.minter.Owner(), Waiting: maxPendingClaims, Pace: d.claimAppendInterval, Window: d.longestWindow, Known: opts.Limits.Claims, Keep: time.Duration(opts.Deadlines.Keep),
	})
	d.journal = journal.New(journal.Config{
		Log: d.platformLog, Stream: "jobs-" + opts.Zone, Origin: d.selfOwner.minter.Owner(), Peers: d.replicas, Keep: time.Duration(opts.Deadlines.Keep),
	})
	d.placer = placer.New(placer.Config{
		Holds: d.members.ClaimsLead,
		VM:    opts.Name, Zone: opts.Zone, Logger: d.logger, Journal: d.journal, Restate: time.Duration(opts.Deadlines.Keep) / restatesPerRetention,
		Term: time.Duration(opts.Deadlines.Term), Renew: time.Duration(opts.Deadlines.Renew), Hold: time.Duration(opts.Deadlines.Hold),
		Checkpoint: time.Duration(opts.Deadlines.Checkpoint), Lost: time.Duration(opts.Deadlines.Lost), Drift: time.Duration(opts.Deadlines.Drift),
	})
}

// httpClient makes a client for the daemon's calls to one kind of peer.
func (d *Daemon) httpClient(role string, conns int) *http.Client {
	return d.wrapClient(d.plainHTTPClient(role, conns))
}

func (d *Daemon) plainHTTPClient(role string, conns int) *http.Client {
	return httpjson.NewClient(httpjson.ClientConfig{Role: role, Conns: conns, DialTimeout: dialTimeout, Network: d.network})
}

func (d *Daemon) wrapClient(c *http.Client) *http.Client {
	if d.wrap != nil {
		c.Transport = d.wrap(c.Transport)
	}
	return c
}

// claimAppendInterval shares the log's appends out among the VMs known.
func (d *Daemon) claimAppendInterval() time.Duration {
	return time.Duration(d.countVMs()) * appendIntervalPerVM
}

// longestWindow is the longest time that any kind in force gives a request.
func (d *Daemon) longestWindow() time.Duration {
	var longest time.Duration
	if cfg, _ := d.configStore.Current(); cfg != nil {
		for _, k := range cfg.Kinds {
			longest = max(longest, time.Duration(k.Window))
		}
	}
	return longest
}

// Start begins to serve. It returns once the daemon listens.
func (d *Daemon) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	listener, err := d.network.Listen(ctx, "tcp", d.opts.Listen)
	if err != nil {
		cancel()
		return errorx.Decorate(err, "listen")
	}
	d.cancel = cancel
	d.queueCtx = ctx
	d.startedAt = time.Now()
	d.listener = listener
	d.server = httpjson.NewDraining(&http.Server{
		Handler: d.handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}, httpjson.NewCountingListener(listener, "served"))
	for _, run := range []func(ctx context.Context){d.members.Run, d.configStore.Run, d.claims.Run, d.journal.Run, d.placer.Run, d.pollInstances, d.followPeerConfig, d.maintainLeadership} {
		d.wg.Go(func() { run(ctx) })
	}
	d.wg.Go(func() {
		if err := d.server.Serve(); err != nil {
			d.logger.Error("listener failed", "error", err)
		}
	})
	d.logger.Info("serving", "address", d.opts.Address)
	return nil
}

// Kill ends the daemon at once, as a crash would: nothing is handed over.
func (d *Daemon) Kill() {
	d.cancel()
	_ = d.server.Close()
	d.wg.Wait()
}

// Address returns the address that the daemon listens on.
func (d *Daemon) Address() string { return d.listener.Addr().String() }
