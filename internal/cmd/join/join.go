// Package join runs the daemon of a VM of the users' platform.
package join

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"rhubarbshore/internal/cmdutil"
	"rhubarbshore/internal/logpipe"
	"rhubarbshore/internal/node"
	"rhubarbshore/platform"
)

// logQueueLines bounds the lines that wait to be written: some seconds of the
// heaviest load seen, under 2 MB.
const logQueueLines = 4096

// Options are the command's flags and what it depends on.
type Options struct {
	Level string `help:"Least level of log lines: debug, info, warn or error." default:"info" enum:"debug,info,warn,error"`

	signals chan os.Signal
}

// Help is shown by --help.
func (o *Options) Help() string {
	return `The platform names the settings file in its environment variable. SIGTERM
hands the lead over, reports the VM not ready, answers what still comes and
ends within the platform's grace period. SIGHUP reads the settings again.

Example:
  rhubarbshore join --level debug`
}

// Run serves until a signal asks the daemon to stop.
func (o *Options) Run(f *cmdutil.Factory) error {
	if o.signals == nil {
		o.signals = make(chan os.Signal, 4)
		signal.Notify(o.signals, syscall.SIGTERM, syscall.SIGHUP, os.Interrupt)
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(o.Level)); err != nil {
		return err
	}
	pipe := logpipe.New(f.IO.Out, logQueueLines)
	defer pipe.Close()
	logger := slog.New(slog.NewJSONHandler(pipe, &slog.HandlerOptions{Level: level}))
	cfg, err := platform.Load()
	if err != nil {
		return err
	}
	logger = logger.With("vm", cfg.VM)
	n := node.New(node.Config{Settings: cfg, Logger: logger})
	if err := n.Start(context.Background()); err != nil {
		return err
	}
	for {
		select {
		case err := <-n.Failed():
			return err
		case sig := <-o.signals:
			if sig == syscall.SIGHUP {
				reloaded, err := platform.Load()
				logger.Info("settings read again", "zone", reloaded.Zone, "error", err)
				continue
			}
			logger.Info("stopping", "signal", sig.String())
			n.Stop()
			return nil
		}
	}
}
