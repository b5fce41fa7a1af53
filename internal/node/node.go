// Package node assembles the daemon of a VM on the users' platform.
package node

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/joomcode/errorx"

	"rhubarbshore/internal/catalog"
	"rhubarbshore/internal/election"
	"rhubarbshore/internal/httpjson"
	"rhubarbshore/internal/intake"
	"rhubarbshore/internal/leader"
	"rhubarbshore/internal/metric"
	"rhubarbshore/internal/operator"
	"rhubarbshore/internal/scheduler"
	"rhubarbshore/internal/store"
	"rhubarbshore/platform"
)

const (
	// dialTimeout limits connecting. The longest network path on the sites takes 10 ms.
	dialTimeout = 500 * time.Millisecond
	// maxStoreConns covers the long polls of a leader and its other calls.
	maxStoreConns = 4
	// maxWorkerConns covers a renewal and concurrent orders.
	maxWorkerConns = 3
	maxPeerConns   = 4
	// noIdleConns makes a client open a connection for each call.
	noIdleConns = -1
	// memoryLimitShare is the share of the VM's memory at which the garbage collector works
	// hardest.
	memoryLimitShare = 0.6
	// endedRetentionFactor is how long the outcome of a job is kept, in multiples of the time
	// for which clients may ask for it.
	endedRetentionFactor = 5
	// maxMissedHeartbeats is how many heartbeats a worker may miss and still get work.
	maxMissedHeartbeats = 3
	// readinessDelay is how long a stopping VM still accepts connections. Clients are directed
	// elsewhere after two readiness checks a second apart.
	readinessDelay = 2500 * time.Millisecond
	// exitMargin is the part of the grace period that is left when the process ends.
	exitMargin       = 900 * time.Millisecond
	leadPollInterval = 50 * time.Millisecond
	minIdleTimeout   = 15 * time.Second
	maxHeaderBytes   = 16 << 10
)

// ErrPanicked is delivered by Failed after a panic. The log contains the stack.
var ErrPanicked = errorx.NewType(errorx.NewNamespace("node"), "panicked").New("a part of the daemon panicked")

// Config configures a Node.
type Config struct {
	Settings platform.Settings
	Logger   *slog.Logger
}

// Node is the daemon of a VM.
type Node struct {
	cfg             Config
	log             *store.HealthTracker
	platformStore   *platform.Store
	operator        *operator.Follower
	member          *election.Member
	leader          *leader.Leader
	intake          *intake.Intake
	stopping        atomic.Bool
	cancel          context.CancelFunc
	failed          chan error
	clients         *httpjson.DrainingServer
	internalServers []*httpjson.DrainingServer // for readiness checks and for other VMs
	wg              sync.WaitGroup
}

// New returns a Node. Start starts it.
func New(cfg Config) *Node {
	settings := cfg.Settings
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(settings.MemoryMB) * (1 << 20)))
	}
	n := &Node{cfg: cfg, failed: make(chan error, 1), platformStore: platform.NewStore(platform.NewHTTPClient(maxStoreConns, dialTimeout), settings.Store)}
	n.log = store.NewHealthTracker(n.platformStore)
	n.leader = leader.New(leader.Config{
		Log: n.log, Registry: n.platformStore, Workers: platform.NewWorkers(platform.NewHTTPClient(maxWorkerConns, dialTimeout)),
		Catalog: func() *catalog.Snapshot { return n.operator.Snapshot() }, Logger: cfg.Logger, MaxBatch: settings.MaxBatch,
		Identity: func() string { return n.member.Identity() },
		EndedFor: func(ctx context.Context, identity string, epoch int64, workers []string) (time.Duration, []time.Duration, bool) {
			return n.member.EndedFor(ctx, identity, epoch, workers)
		},
		Witnesses: witnesses{n},
		LastSeen:  func(epoch int64) (time.Time, time.Duration, bool) { return n.member.LastSeen(epoch) },
		Scheduler: scheduler.Config{
			Logger: cfg.Logger, MaxLease: settings.Bounds.MaxLease, RemotePenalty: settings.Bounds.Penalty,
			KeepEnded: endedRetentionFactor * settings.Bounds.KeepStatus, ReportTimeout: maxMissedHeartbeats * settings.Heartbeat, RestoreTime: settings.Bounds.Restore, CheckpointInterval: settings.Bounds.SaveEvery,
			GangWait: settings.Bounds.GangWait, StopTime: settings.Bounds.StopTime,
		},
	})
	peers := platform.NewHTTPClient(maxPeerConns, dialTimeout)
	n.member = election.New(election.Config{
		VM: settings.VM, Zone: settings.Zone, Address: settings.Internal, Cores: settings.Cores, StoreHealthy: n.log.Healthy, Log: n.log, Client: peers, Logger: cfg.Logger, Leader: n.leader, StoreFailedAt: n.log.FailedSentAt, StuckAsOf: n.leader.StuckAsOf, TermAge: n.leader.TermAge, SinceLastGrant: n.leader.SinceLastGrant,
	})
	n.operator = operator.New(operator.Config{
		Store: n.platformStore, Redial: platform.NewStore(platform.NewHTTPClient(noIdleConns, dialTimeout), settings.Store), Health: n.log,
		Leader: n.member, Leads: n.leader.IsLeader, Client: peers, ApplyTime: settings.Bounds.ConfigApply, Logger: cfg.Logger,
	})
	n.intake = intake.New(intake.Config{
		Log: n.log, LeaderTracker: n.member, Client: peers, Logger: cfg.Logger, Healthy: n.log.Healthy, FailingFor: n.log.FailingFor,
		LocalScheduler: n.localScheduler, Admit: n.operator.AdmitLocally, CatalogConfirmed: n.operator.Confirmed,
	})
	return n
}

// localScheduler returns the scheduler of this VM, or nil if another VM schedules.
func (n *Node) localScheduler() intake.LocalScheduler {
	if n.leader.IsLeader() {
		return n.leader
	}
	return nil
}

// Start starts the servers and the background work. It returns when the VM accepts calls.
func (n *Node) Start(ctx context.Context) error {
	ctx, n.cancel = context.WithCancel(ctx)
	settings := n.cfg.Settings
	front := platform.NewFront(platform.FrontConfig{
		Jobs: n.intake, Admit: n.operator.Admit, Logger: n.cfg.Logger, Stopping: n.stopping.Load,
	})
	var err error
	if n.clients, err = n.listen(ctx, settings.Clients, front); err != nil {
		return err
	}
	for address, h := range map[string]http.Handler{settings.Readiness: platform.ReadinessHandler(n.ready), settings.Internal: n.internalHandler(ctx)} {
		srv, err := n.listen(ctx, address, h)
		if err != nil {
			return err
		}
		n.internalServers = append(n.internalServers, srv)
	}
	for _, run := range []func(context.Context){n.operator.Run, n.member.Run, n.intake.Run} {
		n.wg.Go(func() {
			defer n.recoverPanic()
			run(ctx)
		})
	}
	if len(settings.Duties) > 0 {
		n.cfg.Logger.Warn("the platform requests duties that are not implemented", "duties", settings.Duties)
	}
	n.cfg.Logger.Info("started", "zone", settings.Zone, "clients", settings.Clients, "internal", settings.Internal, "store", settings.Store)
	return nil
}

// recoverPanic reports a panic in a part of the daemon. The daemon cannot continue then.
func (n *Node) recoverPanic() {
	if v := recover(); v != nil {
		metric.Count("panics_total")
		n.cfg.Logger.Error("daemon panicked", "panic", fmt.Sprint(v), "stack", string(debug.Stack()))
		select {
		case n.failed <- ErrPanicked:
		default:
		}
	}
}

// Failed delivers an error once the daemon cannot continue. The process should end so that a new
// one is started.
func (n *Node) Failed() <-chan error { return n.failed }

func (n *Node) listen(ctx context.Context, address string, h http.Handler) (*httpjson.DrainingServer, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errorx.Decorate(err, "listen")
	}
	srv := httpjson.NewDrainingServer(&http.Server{
		Handler: h, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 4 * minIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(n.cfg.Logger.Handler(), slog.LevelError),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			n.cfg.Logger.Debug("connection accepted", "address", address, "remote", c.RemoteAddr().String())
			return ctx
		},
	}, l)
	n.wg.Go(func() {
		if err := srv.Serve(); err != nil {
			n.cfg.Logger.Error("server ended", "address", address, "error", err)
		}
	})
	return srv, nil
}

// ready reports whether clients should be directed to this VM.
func (n *Node) ready() bool {
	return !n.stopping.Load() && n.operator.Snapshot() != nil && n.log.Healthy()
}

// internalHandler serves calls of other VMs and the metrics.
func (n *Node) internalHandler(ctx context.Context) http.Handler {
	r := mux.NewRouter()
	handleJSON(r, "/ping", func(_ context.Context, in election.Ping) election.Pong { return n.member.HandlePing(in) })
	handleJSON(r, "/heard", func(ctx context.Context, in election.Ping) election.Pong { return n.member.HandleHeard(ctx, in) })
	handleJSON(r, "/term", func(_ context.Context, in election.Ping) election.Pong { return n.member.HandleTerm(in) })
	handleJSON(r, election.WitnessPath, func(_ context.Context, in election.WitnessRequest) election.WitnessReply {
		return n.member.HandleWitness(in)
	})
	// A campaign may outlast the call that requested it, so it gets the daemon's context.
	handleJSON(r, "/take", func(_ context.Context, in election.Ping) election.Pong { return n.member.Accept(ctx, in) })
	handleJSON(r, "/store", n.intake.Accept)
	handleJSON(r, operator.AdmitPath, n.operator.Answer)
	handleJSON(r, "/ask", func(ctx context.Context, q intake.Query) intake.Reply {
		return intake.AnswerQuery(ctx, n.localScheduler(), q)
	})
	r.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) { metric.Write(w) })
	return r
}

// handleJSON serves a call with typed JSON messages.
func handleJSON[In, Out any](r *mux.Router, path string, f func(context.Context, In) Out) {
	r.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		in, err := httpjson.Read[In](w, r, httpjson.MaxBody)
		if err != nil {
			httpjson.Refuse(w, http.StatusBadRequest, "body", err.Error())
			return
		}
		httpjson.Write(w, http.StatusOK, f(r.Context(), in))
	})
}

// IsLeader reports whether this VM leads.
func (n *Node) IsLeader() bool { return n.leader.IsLeader() }

// Kill ends the daemon like a crash, as far as that is possible within a process.
func (n *Node) Kill() {
	n.cancel()
	for _, srv := range append(n.internalServers, n.clients) {
		if err := srv.Close(); err != nil {
			n.cfg.Logger.Warn("server not closed", "error", err)
		}
	}
	n.wg.Wait()
}

// Stop hands over the leadership, waits until clients are directed elsewhere and shuts down.
// Client calls finish during the handover, which may take the entire time.
func (n *Node) Stop() {
	start := time.Now()
	n.stopping.Store(true)
	deadline := start.Add(n.cfg.Settings.Bounds.Grace - exitMargin)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	n.wg.Go(func() { n.handOver(ctx) })
	time.Sleep(min(readinessDelay, time.Until(deadline)))
	n.drain(ctx, n.clients)
	for n.leader.IsLeader() && time.Until(deadline) > 0 {
		time.Sleep(leadPollInterval) // the next leader is still loading its state
	}
	for _, srv := range n.internalServers {
		n.drain(ctx, srv)
	}
	n.cancel()
	n.cfg.Logger.Info("stopped", "took_ms", time.Since(start).Milliseconds())
}

// handOver hands over the leadership and retries until another VM has it or ctx ends.
func (n *Node) handOver(ctx context.Context) {
	for {
		n.member.HandOver(ctx)
		if !n.leader.IsLeader() || ctx.Err() != nil {
			return
		}
		time.Sleep(leadPollInterval)
	}
}

func (n *Node) drain(ctx context.Context, srv *httpjson.DrainingServer) {
	if err := srv.Drain(ctx); err != nil {
		n.cfg.Logger.Warn("connections were still open after the drain", "error", err)
	}
}
