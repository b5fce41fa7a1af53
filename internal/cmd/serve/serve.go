// Package serve runs an entry VM's daemon.
package serve

import (
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/joomcode/errorx"

	"rhubarbshore/internal/cmdutil"
	"rhubarbshore/internal/daemon"
	"rhubarbshore/internal/settings"
)

// Options are the command's flags.
type Options struct {
	Settings string `help:"The settings file of this VM." required:"" type:"existingfile"`

	signals chan os.Signal // if nil, Run subscribes to the signals of the process
}

// Help implements kong.HelpProvider.
func (o *Options) Help() string {
	return `SIGTERM stops the daemon gracefully: its health turns to leaving, it finishes
the admitted requests, and hands its keys and the placer's leadership over to
other VMs. A second SIGTERM has no effect; requests are cut off only after
deadlines.stop in the settings.

Example:
  rhubarbshore serve --settings vm.toml`
}

// Run runs the daemon until a signal stops it.
func (o *Options) Run(f *cmdutil.Factory) error {
	cfg, err := settings.Load(o.Settings)
	if err != nil {
		return err
	}
	logger, err := newLogger(f.IO.Err, cfg.Logging)
	if err != nil {
		return err
	}
	if o.signals == nil {
		o.signals = make(chan os.Signal, 1)
		signal.Notify(o.signals, syscall.SIGTERM, os.Interrupt)
	}
	d, err := daemon.New(daemon.Config{Settings: cfg, Logger: logger})
	if err != nil {
		return err
	}
	if err := d.Start(); err != nil {
		return err
	}
	<-o.signals
	return d.Stop()
}

func newLogger(w io.Writer, cfg settings.Logging) (*slog.Logger, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(cfg.Level)); err != nil {
		return nil, errorx.Decorate(err, "logging.level")
	}
	opts := &slog.HandlerOptions{Level: level}
	switch cfg.Format {
	case "json":
		return slog.New(slog.NewJSONHandler(w, opts)), nil
	case "text":
		return slog.New(slog.NewTextHandler(w, opts)), nil
	}
	return nil, errorx.IllegalArgument.New("logging.format: found %q, allowed: json, text", cfg.Format)
}
