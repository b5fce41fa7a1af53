// Command standin runs stand-ins of the systems around the scheduler as processes: the
// platform's log and instance list, the workers of a zone, or the minions of a zone.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"rhubarbshore/internal/config"
	"rhubarbshore/internal/httpjson"
	"rhubarbshore/internal/platform"
	"rhubarbshore/internal/standin"
)

// Timeouts of the command's HTTP clients and servers.
const (
	dialTimeout   = time.Second
	callTimeout   = 5 * time.Second
	headerTimeout = 10 * time.Second
)

type cli struct {
	Platform platformOptions `cmd:"" help:"Run the platform's log and list."`
	Workers  workersOptions  `cmd:"" help:"Run the workers of one availability zone."`
	Minions  minionsOptions  `cmd:"" help:"Run minions of one availability zone."`
}

type platformOptions struct {
	Listen string `help:"Address to listen on." required:""`
	Keep   int    `help:"Records that a stream retains; 0 keeps all."`
}

type workersOptions struct {
	Listen   string        `help:"Address to listen on." required:""`
	Platform string        `help:"URL of the platform." required:""`
	Zone     string        `help:"The availability zone." required:""`
	Folder   string        `help:"The configuration's folder." required:"" type:"existingdir"`
	Lag      time.Duration `help:"How old the usage is that workers report." default:"5s"`
}

type minionsOptions struct {
	Listen      string        `help:"Address of the first minion; others follow on the next ports, or on any with port 0." required:""`
	Platform    string        `help:"URL of the platform." required:""`
	Zone        string        `help:"The availability zone." required:""`
	Service     string        `help:"The service." required:""`
	Count       int           `help:"Number of minions." default:"4"`
	Slots       int           `help:"Slots of each." default:"8"`
	Connections int           `help:"Connections of each." default:"60"`
	Work        time.Duration `help:"Time that a request takes." default:"2ms"`
}

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Name("standin"), kong.Description("Stand-ins for the platform, workers and minions."))
	if err := ctx.Run(); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

// Run serves the platform.
func (o *platformOptions) Run() error {
	p := standin.NewPlatform(standin.PlatformConfig{Keep: o.Keep})
	listener, err := listen(o.Listen)
	if err != nil {
		return err
	}
	return serve(listener, p.Handler(), nil)
}

// Run registers the workers with the platform and serves them.
func (o *workersOptions) Run() error {
	files, err := config.ReadDir(os.DirFS(o.Folder))
	if err != nil {
		return err
	}
	cfg, err := files.Site(o.Zone)
	if err != nil {
		return err
	}
	listener, err := listen(o.Listen)
	if err != nil {
		return err
	}
	var workers []*standin.Worker
	for _, rack := range cfg.Site.Racks(o.Zone) {
		for _, w := range rack.Workers {
			workers = append(workers, standin.NewWorker(standin.WorkerConfig{
				Name: w.Name, Accelerators: w.Accelerators, Cores: cfg.Site.Cores, Memory: cfg.Site.Memory, Lag: o.Lag,
			}))
			instance := platform.Instance{
				Name: w.Name, Role: platform.RoleWorker, Zone: o.Zone, Address: "http://" + listener.Addr().String() + "/workers/" + w.Name, State: platform.StateLive,
			}
			if err := register(o.Platform, instance); err != nil {
				return err
			}
		}
	}
	return serve(listener, standin.NewWorkers(workers).Handler(), nil)
}

// Run registers the minions with the platform and serves each on a port of its own.
func (o *minionsOptions) Run() error {
	address, err := net.ResolveTCPAddr("tcp", o.Listen)
	if err != nil {
		return err
	}
	failed := make(chan error)
	for i := range o.Count {
		m := standin.NewMinion(standin.MinionConfig{
			Name: fmt.Sprintf("%s-%s%d", o.Zone, o.Service, i+1), Slots: o.Slots, Connections: o.Connections, RequestTime: o.Work,
		})
		minionAddress := net.TCPAddr{IP: address.IP, Port: address.Port + i}
		if address.Port == 0 {
			minionAddress.Port = 0
		}
		listener, err := listen(minionAddress.String())
		if err != nil {
			return err
		}
		instance := platform.Instance{
			Name: m.Name(), Role: platform.RoleMinion, Zone: o.Zone, Service: o.Service, Address: "http://" + listener.Addr().String(), State: platform.StateLive,
		}
		if err := register(o.Platform, instance); err != nil {
			return err
		}
		go func() { failed <- serve(listener, m.Handler(), m.Track) }()
	}
	return <-failed
}

func listen(address string) (net.Listener, error) {
	var c net.ListenConfig
	return c.Listen(context.Background(), "tcp", address)
}

func serve(listener net.Listener, h http.Handler, connState func(net.Conn, http.ConnState)) error {
	server := &http.Server{Handler: h, ConnState: connState, ReadHeaderTimeout: headerTimeout}
	return server.Serve(listener)
}

func register(url string, instance platform.Instance) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return platform.NewList(httpjson.NewClient(httpjson.ClientConfig{Role: "list", MaxIdleConnsPerHost: 1, DialTimeout: dialTimeout}), url).Put(ctx, instance)
}
