// Package join runs the daemon of a VM on the users' platform.
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

// logQueueLines is the capacity of the log queue, in lines. It holds a few
// seconds of the heaviest load seen and takes less than 2 MB.
const logQueueLines = 4096

// Options are the command's flags.
type Options struct {
	Level string `help:"Least level of log lines: debug, info, warn or error." default:"info" enum:"debug,info,warn,error"`

	signals chan os.Signal // if nil, Run subscribes to the signals of the process
}

// Help implements kong.HelpProvider.
func (o *Options) Help() string {
	return `The platform names the settings file in its environment variable. On SIGTERM the
daemon hands leadership over, reports the VM as not ready, answers the calls that
still arrive, and exits within the platform's grace period. On SIGHUP it reads the
settings file again and logs the result.

Example:
  rhubarbshore join --level debug`
}

// Run runs the daemon until it fails or is signalled to stop.
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
