// Package site runs a whole small site on loopback inside one process: the
// platform, workers and minions as stand-ins, and real entry VM daemons. The
// demo and the tests use it.
package site

import (
	"context"
	"fmt"
	"io/fs"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"rhubarbshore/internal/config"
	"rhubarbshore/internal/daemon"
	"rhubarbshore/internal/httpjson"
	"rhubarbshore/internal/platform"
	"rhubarbshore/internal/settings"
	"rhubarbshore/internal/standin"
	"rhubarbshore/pkg/api"
	"rhubarbshore/pkg/client"
)

// Connections of a site's own clients.
const (
	clientConns = 64
	dialTimeout = time.Second
)

// Config constructs a Site. Each overlay of Files is an availability zone with
// VMs entry VMs and Minions minions.
type Config struct {
	Files     config.Files
	VMs       int
	Minions   int
	Work      time.Duration
	Logger    *slog.Logger
	Deadlines settings.Deadlines
	// Keep is the number of records that a stream of the log retains, 0 for all.
	Keep int
	// Wrap, if set, returns what is put around the transports of a VM's clients.
	Wrap func(vm string) func(next http.RoundTripper) http.RoundTripper
	// Network is where everything of the site listens and dials, nil for loopback.
	Network Network
}

// Network is a network of a site's own. FreeAddress finds an address to listen on
// that nobody has had before.
type Network interface {
	httpjson.Network
	FreeAddress() (string, error)
}

// loopback is the machine's loopback interface.
type loopback struct{ httpjson.TCP }

// FreeAddress implements Network.
func (loopback) FreeAddress() (string, error) { return FreeAddress() }

// Site is a running site.
type Site struct {
	Platform *standin.Platform
	Workers  map[string]*standin.Worker
	Minions  map[string]*standin.Minion
	VMs      map[string]*daemon.Daemon

	cfg         Config
	zones       []string
	platformURL string
	servers     []*http.Server
}

// Deadlines are short ones, for a site on one machine.
func Deadlines() settings.Deadlines {
	d := settings.Default().Deadlines
	d.Probe = config.Duration(100 * time.Millisecond)
	d.Suspect = config.Duration(600 * time.Millisecond)
	d.Term = config.Duration(6 * time.Second)
	d.Renew = config.Duration(500 * time.Millisecond)
	d.Hold = config.Duration(3 * time.Second)
	d.Lost = config.Duration(2 * time.Second)
	d.Drift = config.Duration(200 * time.Millisecond)
	d.Poll = config.Duration(200 * time.Millisecond)
	d.List = config.Duration(300 * time.Millisecond)
	d.Drain = config.Duration(200 * time.Millisecond)
	d.Stop = config.Duration(10 * time.Second)
	return d
}

// Start runs the site's stand-ins and daemons.
func Start(cfg Config) (*Site, error) {
	s := &Site{
		Platform: standin.NewPlatform(standin.PlatformConfig{Keep: cfg.Keep}), Workers: map[string]*standin.Worker{},
		Minions: map[string]*standin.Minion{}, VMs: map[string]*daemon.Daemon{}, cfg: cfg,
	}
	if s.cfg.Network == nil {
		s.cfg.Network = loopback{}
	}
	s.zones = slices.Sorted(maps.Keys(cfg.Files.Overlays))
	address, err := s.serve(s.Platform.Handler(), nil)
	if err != nil {
		return nil, err
	}
	s.platformURL = "http://" + address
	for _, zone := range s.zones {
		if err := s.startZone(zone); err != nil {
			s.Close()
			return nil, err
		}
	}
	return s, nil
}

// serve listens on a free port of the loopback interface.
func (s *Site) serve(h http.Handler, connState func(net.Conn, http.ConnState)) (string, error) {
	listener, err := s.cfg.Network.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", errorx.Decorate(err, "listen")
	}
	server := &http.Server{Handler: h, ConnState: connState, ReadHeaderTimeout: time.Minute, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, 0)}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (s *Site) startZone(zone string) error {
	cfg, err := s.cfg.Files.Site(zone)
	if err != nil {
		return err
	}
	if err := s.startWorkers(zone, cfg); err != nil {
		return err
	}
	if err := s.startMinions(zone, cfg); err != nil {
		return err
	}
	for i := range s.cfg.VMs {
		if err := s.StartVM(zone, fmt.Sprintf("%s-vm%d", zone, i+1)); err != nil {
			return err
		}
	}
	return nil
}

func (s *Site) startWorkers(zone string, cfg *config.Config) error {
	var workers []*standin.Worker
	var names []string
	for _, rack := range cfg.Site.Racks(zone) {
		for _, w := range rack.Workers {
			sim := standin.NewWorker(standin.WorkerConfig{Name: w.Name, Accelerators: w.Accelerators, Cores: cfg.Site.Cores, Memory: cfg.Site.Memory})
			s.Workers[w.Name] = sim
			workers = append(workers, sim)
			names = append(names, w.Name)
		}
	}
	address, err := s.serve(standin.NewWorkers(workers).Handler(), nil)
	if err != nil {
		return err
	}
	for _, name := range names {
		s.Platform.Put(platform.Instance{
			Name: name, Role: platform.RoleWorker, Zone: zone, Address: "http://" + address + "/workers/" + name, State: platform.StateLive,
		})
	}
	return nil
}

func (s *Site) startMinions(zone string, cfg *config.Config) error {
	for serviceName, service := range cfg.Services {
		for i := range s.cfg.Minions {
			m := standin.NewMinion(standin.MinionConfig{
				Name: fmt.Sprintf("%s-%s%d", zone, serviceName, i+1), Slots: service.Slots, Connections: service.Connections, Work: s.cfg.Work,
			})
			address, err := s.serve(m.Handler(), m.Track)
			if err != nil {
				return err
			}
			s.Minions[m.Name()] = m
			s.Platform.Put(platform.Instance{
				Name: m.Name(), Role: platform.RoleMinion, Zone: zone, Service: serviceName, Address: "http://" + address, State: platform.StateLive,
			})
		}
	}
	return nil
}

// Settings are those of an entry VM at the address that finds its platform at url.
func Settings(zone, name, address, url string, deadlines settings.Deadlines) settings.Settings {
	s := settings.Default()
	s.Name, s.Zone, s.Listen, s.Address = name, zone, address, address
	s.Log, s.List = url, url
	s.Deadlines = deadlines
	return s
}

// StartVM starts one more entry VM.
func (s *Site) StartVM(zone, name string) error {
	address, err := s.cfg.Network.FreeAddress()
	if err != nil {
		return err
	}
	vmSettings := Settings(zone, name, address, s.platformURL, s.cfg.Deadlines)
	daemonConfig := daemon.Config{Settings: vmSettings, Logger: s.cfg.Logger, Network: s.cfg.Network}
	if s.cfg.Wrap != nil {
		daemonConfig.Wrap = s.cfg.Wrap(name)
	}
	d, err := daemon.New(daemonConfig)
	if err != nil {
		return err
	}
	if err := d.Start(); err != nil {
		return err
	}
	s.VMs[name] = d
	s.Register(zone, name, address)
	return nil
}

// Register puts an entry VM on the platform's list.
func (s *Site) Register(zone, name, address string) {
	s.Platform.Put(platform.Instance{Name: name, Role: platform.RoleEntry, Zone: zone, Address: address, State: platform.StateLive})
}

// Zones lists the availability zones.
func (s *Site) Zones() []string { return s.zones }

// URL is the platform's, for daemons that run outside this process.
func (s *Site) URL() string { return s.platformURL }

// Addresses lists the daemons' addresses by VM name.
func (s *Site) Addresses() []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(s.VMs)) {
		out = append(out, s.VMs[name].Address())
	}
	return out
}

// Client returns a client that knows all daemons.
func (s *Site) Client() *client.Client { return s.ClientOf(s.Addresses()...) }

// ClientOf returns a client that knows the daemons at these addresses.
func (s *Site) ClientOf(addresses ...string) *client.Client {
	return client.New(client.Config{Addresses: addresses, HTTP: s.HTTP("entry")})
}

// HTTP returns an HTTP client on the site's network.
func (s *Site) HTTP(role string) *http.Client {
	return httpjson.NewClient(httpjson.ClientConfig{Role: role, Conns: clientConns, DialTimeout: dialTimeout, Network: s.cfg.Network})
}

// Publish brings the site's files into force on all daemons.
func (s *Site) Publish(ctx context.Context, c *client.Client) (api.Published, error) {
	out, err := c.Publish(ctx, api.Publish{Author: "site", Base: s.cfg.Files.Base, Overlays: s.cfg.Files.Overlays})
	if err != nil {
		return out, err
	}
	return out, s.AwaitConfig(ctx, c, out.Number)
}

// AwaitConfig waits until every daemon reports the configuration's number.
func (s *Site) AwaitConfig(ctx context.Context, c *client.Client, number int64) error {
	for ctx.Err() == nil {
		behind := 0
		for _, address := range s.Addresses() {
			v, err := c.ConfigAt(ctx, address)
			if err != nil || v.Number < number {
				behind++
			}
		}
		if behind == 0 {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return ctx.Err()
}

// Spans returns the workers' ledger.
func (s *Site) Spans() []standin.Span {
	var out []standin.Span
	for _, w := range s.Workers {
		out = append(out, w.Ledger()...)
	}
	return out
}

// Runs returns the minions' ledger.
func (s *Site) Runs() []standin.Run {
	var out []standin.Run
	for _, m := range s.Minions {
		out = append(out, m.Ledger()...)
	}
	return out
}

// Close ends everything at once.
func (s *Site) Close() {
	for _, d := range s.VMs {
		d.Kill()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// Sub returns the files of one of the embedded examples.
func Sub(files fs.FS, name string) (config.Files, error) {
	dir, err := fs.Sub(files, name)
	if err != nil {
		return config.Files{}, errorx.Decorate(err, "example")
	}
	return config.ReadDir(dir)
}
