// Package daemon runs the process of an entry VM. It connects request handling,
// job placement and configuration, and serves callers, operators and peers.
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

// Limits and intervals of the daemon.
const (
	peerIdleConns      = 4
	minionIdleConns    = 64
	dialTimeout        = 500 * time.Millisecond
	headerTimeout      = 10 * time.Second
	idleTimeout        = 2 * time.Minute
	maxHeaderBytes     = 16 << 10
	leadershipInterval = 250 * time.Millisecond
	maxPendingClaims   = 4096
	// appendIntervalPerVM times the number of VMs is the interval at which one VM
	// appends claims to the log. All VMs together append 333 times a second.
	appendIntervalPerVM = 3 * time.Millisecond
	maxOwners           = 64
	// rewritesPerRetention is how many times an open job is written to the log again
	// within the time for which the log keeps records.
	rewritesPerRetention = 4
)

// ErrStop is returned by Stop when requests were still in flight at its deadline.
var ErrStop = errorx.NewType(errorx.NewNamespace("daemon"), "stop").New("requests were still in flight at the stop deadline")

// Config configures a Daemon.
type Config struct {
	Settings settings.Settings
	Logger   *slog.Logger
	// Wrap wraps the transport of every HTTP client of the daemon; nil leaves the
	// transports unchanged. Tests use it to inject faults.
	Wrap func(next http.RoundTripper) http.RoundTripper
	// Network opens and accepts the daemon's connections; nil is the host's network.
	Network httpjson.Network
}

// Daemon is the process of one entry VM.
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

	server    *httpjson.DrainingServer
	listener  net.Listener
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	startedAt time.Time
	inflight  atomic.Int64
	// stopping is set once Stop refuses new requests.
	stopping atomic.Bool
	// leaving is set when Stop begins. Requests are still admitted, but the VM is
	// reported as leaving and issues no tickets.
	leaving atomic.Bool

	mu     sync.Mutex
	queues map[string]*queue.Queue
	// owners holds selfOwner and the owners adopted from stopped VMs, by name.
	owners    map[string]*keyOwner
	selfOwner *keyOwner
	// instances is the platform's instance list as last read.
	instances       []platform.Instance
	workerClients   map[string]placer.Worker
	minionTransport *http.Transport
	queueCtx        context.Context
}

// keyOwner holds the keys of one owner that this VM decides about: this process, or
// a stopped VM that handed its keys over.
type keyOwner struct {
	minter *idempotency.Minter
	table  *idempotency.Table
}

// New returns a daemon that is not started yet.
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
	d.workerHTTP = d.httpClient("worker", peerIdleConns)
	d.selfOwner = &keyOwner{minter: minter, table: idempotency.NewTable(idempotency.Limits{Keys: opts.Limits.Keys, Bytes: opts.Limits.Bytes})}
	d.owners[minter.Owner()] = d.selfOwner
	d.initComponents(incarnation)
	return d, nil
}

// initComponents creates the clients of the platform, the peers and the backend
// servers, and the components that use them.
func (d *Daemon) initComponents(incarnation int64) {
	opts := d.opts
	httpClient := d.httpClient("platform", peerIdleConns)
	d.platformLog = platform.NewLog(httpClient, opts.Log)
	d.instanceList = platform.NewList(httpClient, opts.List)
	minions := d.plainHTTPClient("minion", minionIdleConns)
	if t, ok := minions.Transport.(*http.Transport); ok {
		d.minionTransport = t
	}
	d.minionClient = minion.NewClient(d.wrapClient(minions))
	d.members = peer.NewMembers(peer.Config{
		Self:  peer.Self{Name: opts.Name, Address: opts.Address, Zone: opts.Zone, Region: opts.Region, Incarnation: incarnation},
		Probe: time.Duration(opts.Deadlines.Probe), Suspect: time.Duration(opts.Deadlines.Suspect),
		Connect: peer.HTTP(d.httpClient("peer", peerIdleConns)), Logger: d.logger, OnServerLeaving: d.markServerLeaving,
	})
	d.members.Change(func(self *rpc.Member) { self.Owners = []string{d.selfOwner.minter.Owner()} })
	for _, p := range opts.Peers {
		d.members.Seed(p.Name, p.Address, p.Zone)
	}
	d.configStore = config.NewStore(config.StoreConfig{
		Log: d.platformLog, Site: opts.Zone, Poll: time.Duration(opts.Deadlines.Poll), SnapshotInterval: time.Duration(opts.Deadlines.Restate),
		Logger: d.logger, Applied: d.applyConfig,
	})
	d.claims = claim.New(claim.Config{
		Log: d.platformLog, Owner: d.selfOwner.minter.Owner(), Waiting: maxPendingClaims, Pace: d.claimAppendInterval, Window: d.longestWindow, Known: opts.Limits.Claims, Keep: time.Duration(opts.Deadlines.Keep),
	})
	d.journal = journal.New(journal.Config{
		Log: d.platformLog, Stream: "jobs-" + opts.Zone, Origin: d.selfOwner.minter.Owner(), Peers: d.replicas, Keep: time.Duration(opts.Deadlines.Keep),
	})
	d.placer = placer.New(placer.Config{
		ClaimsLead: d.members.ClaimsLead,
		VM:         opts.Name, Zone: opts.Zone, Logger: d.logger, Journal: d.journal, RewriteInterval: time.Duration(opts.Deadlines.Keep) / rewritesPerRetention,
		Term: time.Duration(opts.Deadlines.Term), RenewInterval: time.Duration(opts.Deadlines.Renew), HoldTerm: time.Duration(opts.Deadlines.Hold),
		CheckpointTimeout: time.Duration(opts.Deadlines.Checkpoint), WorkerTimeout: time.Duration(opts.Deadlines.Lost), Drift: time.Duration(opts.Deadlines.Drift),
	})
}

// httpClient returns a client for calls to processes of one role, such as workers or
// peers. Its transport is wrapped by Config.Wrap.
func (d *Daemon) httpClient(role string, idleConns int) *http.Client {
	return d.wrapClient(d.plainHTTPClient(role, idleConns))
}

func (d *Daemon) plainHTTPClient(role string, idleConns int) *http.Client {
	return httpjson.NewClient(httpjson.ClientConfig{Role: role, MaxIdleConnsPerHost: idleConns, DialTimeout: dialTimeout, Network: d.network})
}

func (d *Daemon) wrapClient(c *http.Client) *http.Client {
	if d.wrap != nil {
		c.Transport = d.wrap(c.Transport)
	}
	return c
}

// claimAppendInterval divides the log's append rate among the known VMs.
func (d *Daemon) claimAppendInterval() time.Duration {
	return time.Duration(d.countVMs()) * appendIntervalPerVM
}

// longestWindow returns the longest window of the request kinds in force.
func (d *Daemon) longestWindow() time.Duration {
	var longest time.Duration
	if cfg, _ := d.configStore.Current(); cfg != nil {
		for _, k := range cfg.Kinds {
			longest = max(longest, time.Duration(k.Window))
		}
	}
	return longest
}

// Start starts the daemon and returns once it listens.
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
	d.server = httpjson.NewDrainingServer(&http.Server{
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

// Kill stops the daemon immediately, as a crash would. Nothing is handed over.
func (d *Daemon) Kill() {
	d.cancel()
	_ = d.server.Close()
	d.wg.Wait()
}

// Address returns the address that the daemon listens on.
func (d *Daemon) Address() string { return d.listener.Addr().String() }
