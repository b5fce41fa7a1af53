// Package site runs a small site inside one process, on the loopback interface unless
// configured otherwise: real entry VM daemons, with stand-ins for the platform, the
// workers and the minions. The demo and tests use it.
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

// Limits of a site's own HTTP clients.
const (
	clientConns = 64
	dialTimeout = time.Second
)

// Config configures a Site.
type Config struct {
	// Files holds an overlay for each availability zone.
	Files config.Files
	// VMs is the number of entry VMs in each zone.
	VMs int
	// Minions is the number of minions of each service in each zone.
	Minions int
	// RequestTime is how long a minion takes for a request.
	RequestTime time.Duration
	Logger      *slog.Logger
	Deadlines   settings.Deadlines
	// Keep is the number of records that a stream of the log retains, 0 for all.
	Keep int
	// Wrap, if set, returns the wrapper for the HTTP transports of a VM's clients.
	Wrap func(vm string) func(next http.RoundTripper) http.RoundTripper
	// Network is the network that the whole site uses, nil for the loopback interface.
	Network Network
}

// Network is the network of a site. FreeAddress returns an address to listen on that
// it has not returned before.
type Network interface {
	httpjson.Network
	FreeAddress() (string, error)
}

// loopback is a Network on the machine's loopback interface.
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

// Deadlines returns short deadlines that suit a site on one machine.
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

// Start starts the site's stand-ins and daemons.
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

// serve serves h on a free port and returns its address.
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
				Name: fmt.Sprintf("%s-%s%d", zone, serviceName, i+1), Slots: service.Slots, Connections: service.Connections, RequestTime: s.cfg.RequestTime,
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

// Settings returns the settings of an entry VM that listens at address and finds the
// platform at url.
func Settings(zone, name, address, url string, deadlines settings.Deadlines) settings.Settings {
	s := settings.Default()
	s.Name, s.Zone, s.Listen, s.Address = name, zone, address, address
	s.Log, s.List = url, url
	s.Deadlines = deadlines
	return s
}

// StartVM starts an entry VM and registers it.
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

// Register adds an entry VM to the platform's list.
func (s *Site) Register(zone, name, address string) {
	s.Platform.Put(platform.Instance{Name: name, Role: platform.RoleEntry, Zone: zone, Address: address, State: platform.StateLive})
}

// Zones returns the names of the availability zones, sorted.
func (s *Site) Zones() []string { return s.zones }

// PlatformURL returns the platform's URL, for daemons outside this process.
func (s *Site) PlatformURL() string { return s.platformURL }

// Addresses returns the daemons' addresses in the order of the VM names.
func (s *Site) Addresses() []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(s.VMs)) {
		out = append(out, s.VMs[name].Address())
	}
	return out
}

// Client returns a client for all daemons.
func (s *Site) Client() *client.Client { return s.ClientOf(s.Addresses()...) }

// ClientOf returns a client for the daemons at these addresses.
func (s *Site) ClientOf(addresses ...string) *client.Client {
	return client.New(client.Config{Addresses: addresses, HTTP: s.HTTP("entry")})
}

// HTTP returns an HTTP client on the site's network.
func (s *Site) HTTP(role string) *http.Client {
	return httpjson.NewClient(httpjson.ClientConfig{Role: role, MaxIdleConnsPerHost: clientConns, DialTimeout: dialTimeout, Network: s.cfg.Network})
}

// Publish publishes the site's configuration and waits until all daemons apply it.
func (s *Site) Publish(ctx context.Context, c *client.Client) (api.Published, error) {
	out, err := c.Publish(ctx, api.Publish{Author: "site", Base: s.cfg.Files.Base, Overlays: s.cfg.Files.Overlays})
	if err != nil {
		return out, err
	}
	return out, s.AwaitConfig(ctx, c, out.Number)
}

// AwaitConfig waits until every daemon applies the configuration with this number or
// a later one.
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

// Spans returns the ledgers of all workers.
func (s *Site) Spans() []standin.Span {
	var out []standin.Span
	for _, w := range s.Workers {
		out = append(out, w.Ledger()...)
	}
	return out
}

// Runs returns the ledgers of all minions.
func (s *Site) Runs() []standin.Run {
	var out []standin.Run
	for _, m := range s.Minions {
		out = append(out, m.Ledger()...)
	}
	return out
}

// Close kills the daemons and closes the stand-ins' servers.
func (s *Site) Close() {
	for _, d := range s.VMs {
		d.Kill()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// ReadExample reads the configuration files of one of the embedded examples.
func ReadExample(files fs.FS, name string) (config.Files, error) {
	dir, err := fs.Sub(files, name)
	if err != nil {
		return config.Files{}, errorx.Decorate(err, "example")
	}
	return config.ReadDir(dir)
}
