// Package root defines and runs the command tree.
package root

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kong"

	configcheck "rhubarbshore/internal/cmd/config/check"
	configdiff "rhubarbshore/internal/cmd/config/diff"
	configpublish "rhubarbshore/internal/cmd/config/publish"
	configstatus "rhubarbshore/internal/cmd/config/status"
	configview "rhubarbshore/internal/cmd/config/view"
	customerlist "rhubarbshore/internal/cmd/customer/list"
	"rhubarbshore/internal/cmd/demo"
	jobcancel "rhubarbshore/internal/cmd/job/cancel"
	joblist "rhubarbshore/internal/cmd/job/list"
	jobsubmit "rhubarbshore/internal/cmd/job/submit"
	jobview "rhubarbshore/internal/cmd/job/view"
	"rhubarbshore/internal/cmd/join"
	requestsend "rhubarbshore/internal/cmd/request/send"
	requestview "rhubarbshore/internal/cmd/request/view"
	"rhubarbshore/internal/cmd/serve"
	"rhubarbshore/internal/cmd/version"
	vmlist "rhubarbshore/internal/cmd/vm/list"
	workerlist "rhubarbshore/internal/cmd/worker/list"
	"rhubarbshore/internal/cmdutil"
	"rhubarbshore/pkg/client"
)

// defaultTimeout replaces a --timeout of zero or less.
const defaultTimeout = 30 * time.Second

const description = `A scheduler for multi-accelerator jobs under customer guarantees.

Exit codes: 0 done, 1 error, 2 wrong usage, 3 not run, 4 unknown, 5 try again, 6 failed.

Examples:
  rhubarbshore demo
  rhubarbshore serve --settings vm.toml
  rhubarbshore config check examples/robes
  rhubarbshore request send --customer parishes --kind fitting --body alb-52
  rhubarbshore job submit --customer parishes --accelerators 16 --tasks 16`

// CLI is the command tree with the flags that all commands share.
type CLI struct {
	VM      []string      `help:"Addresses of entry VMs, or of the balancer in front of them." env:"RHUBARBSHORE_VM" default:"127.0.0.1:7400" placeholder:"HOST:PORT"`
	Timeout time.Duration `help:"Give up after this long." default:"30s"`

	Serve    serve.Options   `cmd:"" help:"Run an entry VM's daemon."`
	Join     join.Options    `cmd:"" help:"Run the daemon of a VM of the users' platform."`
	Demo     demo.Options    `cmd:"" help:"Run a small site in one process and check what callers were told."`
	Version  version.Options `cmd:"" help:"Print the version."`
	Config   configGroup     `cmd:"" help:"Check, publish and inspect the configuration."`
	Request  requestGroup    `cmd:"" help:"Send requests and ask what became of them."`
	Job      jobGroup        `cmd:"" help:"Submit, inspect and cancel gang jobs."`
	Customer customerGroup   `cmd:"" help:"Inspect customers."`
	Worker   workerGroup     `cmd:"" help:"Inspect workers."`
	VMs      vmGroup         `cmd:"" name:"vm" help:"Inspect entry VMs."`
}

type configGroup struct {
	Check   configcheck.Options   `cmd:"" help:"Check a folder with a base file and overlays."`
	Publish configpublish.Options `cmd:"" help:"Bring a folder's configuration into force."`
	View    configview.Options    `cmd:"" help:"Print the configuration in force."`
	Diff    configdiff.Options    `cmd:"" help:"Compare a folder with the configuration in force."`
	Status  configstatus.Options  `cmd:"" help:"Show which entry VM has which version in force."`
}

type requestGroup struct {
	Send requestsend.Options `cmd:"" help:"Send a request and wait for its outcome."`
	View requestview.Options `cmd:"" help:"Ask what became of a keyed request; if it has not run, it never will."`
}

type jobGroup struct {
	Submit jobsubmit.Options `cmd:"" help:"Submit a gang job."`
	List   joblist.Options   `cmd:"" help:"List jobs."`
	View   jobview.Options   `cmd:"" help:"Show one job."`
	Cancel jobcancel.Options `cmd:"" help:"Cancel a job."`
}

type customerGroup struct {
	List customerlist.Options `cmd:"" help:"List customers and their guarantees."`
}

type workerGroup struct {
	List workerlist.Options `cmd:"" help:"List workers."`
}

type vmGroup struct {
	List vmlist.Options `cmd:"" help:"List entry VMs."`
}

// Main runs the command line and returns the exit code.
func Main(args []string, stdin io.Reader, stdout, stderr *os.File) int {
	streams := &cmdutil.Streams{In: stdin, Out: stdout, Err: stderr, Terminal: cmdutil.IsTerminal(stdout)}
	return Run(args, streams, func(vms []string) cmdutil.Client { return client.New(client.Config{Addresses: vms}) })
}

// Run parses and runs the command line with the given streams and client
// constructor, and returns the exit code.
func Run(args []string, streams *cmdutil.Streams, newClient func(vms []string) cmdutil.Client) int {
	var cli CLI
	code := -1
	parser, err := kong.New(&cli, kong.Name("rhubarbshore"), kong.Description(description),
		kong.UsageOnError(), kong.Writers(streams.Out, streams.Err), kong.Exit(func(c int) { code = c }))
	if err != nil {
		_, _ = fmt.Fprintln(streams.Err, err)
		return cmdutil.ExitError
	}
	ctx, err := parser.Parse(args)
	if code >= 0 {
		return code
	}
	if err != nil {
		_, _ = fmt.Fprintf(streams.Err, "rhubarbshore: %v\nRun 'rhubarbshore --help' for usage.\n", err)
		return cmdutil.ExitUsage
	}
	timeout := cli.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	f := &cmdutil.Factory{IO: streams, Timeout: timeout, Client: newClient(cli.VM)}
	err = ctx.Run(f)
	printError(streams.Err, err)
	return cmdutil.ExitCode(err)
}

// printError prints err with a hint or its details, if there are any. It prints
// nothing for ErrSilent.
func printError(w io.Writer, err error) {
	if err == nil || errors.Is(err, cmdutil.ErrSilent) {
		return
	}
	_, _ = fmt.Fprintln(w, "rhubarbshore:", err)
	if errors.Is(err, client.ErrUnreachable) {
		_, _ = fmt.Fprintln(w, "Start one with 'rhubarbshore serve', or name others with --vm or RHUBARBSHORE_VM.")
	}
	var refused *client.RefusedError
	if errors.As(err, &refused) && len(refused.Detail) > 0 {
		_, _ = fmt.Fprintln(w, strings.Join(refused.Detail, "\n"))
	}
}
