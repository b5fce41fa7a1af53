// Package cmdutil has the streams, tables, exit codes and client interface that
// the commands share.
package cmdutil

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/joomcode/errorx"

	"rhubarbshore/pkg/api"
	"rhubarbshore/pkg/client"
)

// Exit codes, as `rhubarbshore --help` documents them.
const (
	ExitOK      = 0
	ExitError   = 1
	ExitUsage   = 2
	ExitNotRun  = 3
	ExitUnknown = 4
	ExitRetry   = 5
	ExitFailed  = 6
)

// progressDelay is how long a command runs before it prints its progress text.
const progressDelay = time.Second

// OutcomeError makes a command exit with the code of an outcome.
type OutcomeError struct {
	Outcome api.Outcome
	Reason  string
}

// Error implements error.
func (e *OutcomeError) Error() string { return string(e.Outcome) + ": " + e.Reason }

// ErrSilent makes a command exit with ExitError and without an error message. It
// is for commands that have printed the cause already.
var ErrSilent = errorx.NewType(errorx.NewNamespace("cmd"), "silent").New("failed")

// Streams are a command's input, output and error stream.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// Terminal is true if Out is a terminal.
	Terminal bool
}

// IsTerminal reports whether the file is a character device.
func IsTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// Client is the part of *client.Client that the commands use.
type Client interface {
	Send(ctx context.Context, in api.Request, o client.Options) (api.Response, error)
	Settle(ctx context.Context, in api.Request, o client.Options) (api.Response, error)
	Submit(ctx context.Context, j api.Job) (api.JobStatus, error)
	Cancel(ctx context.Context, zone, id string) (api.JobStatus, error)
	Jobs(ctx context.Context) (api.JobList, error)
	Workers(ctx context.Context) (api.WorkerList, error)
	Customers(ctx context.Context) (api.CustomerList, error)
	VMs(ctx context.Context) (api.VMList, error)
	Config(ctx context.Context) (api.ConfigView, error)
	Publish(ctx context.Context, in api.Publish) (api.Published, error)
}

// Factory holds the dependencies of the commands.
type Factory struct {
	IO      *Streams
	Client  Client
	Timeout time.Duration
}

// Context returns a context with the command's timeout.
func (f *Factory) Context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), f.Timeout)
}

// Progress prints the text to the error stream if the command is still waiting
// after a second. Call the returned function when the wait is over.
func (f *Factory) Progress(text string) func() {
	timer := time.AfterFunc(progressDelay, func() { _, _ = fmt.Fprintln(f.IO.Err, text+" ...") })
	return func() { timer.Stop() }
}

// WriteJSON prints v as one JSON document.
func (s *Streams) WriteJSON(v any) error {
	e := json.NewEncoder(s.Out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// Table prints rows. On a terminal it adds a header and aligns the columns;
// otherwise the columns are separated by tabs.
func (s *Streams) Table(header []string, rows [][]string) error {
	if !s.Terminal {
		for _, row := range rows {
			if _, err := fmt.Fprintln(s.Out, strings.Join(row, "\t")); err != nil {
				return err
			}
		}
		return nil
	}
	w := tabwriter.NewWriter(s.Out, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{header}, rows...) {
		if _, err := fmt.Fprintln(w, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return w.Flush()
}

// ExitCode maps an error to the exit code of the process.
func ExitCode(err error) int {
	var outcome *OutcomeError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &outcome):
		return outcomeExitCode(outcome.Outcome)
	case errors.Is(err, client.ErrUnsettled):
		return ExitUnknown
	case errors.Is(err, client.ErrUnreachable):
		return ExitRetry
	}
	return ExitError
}

func outcomeExitCode(o api.Outcome) int {
	switch o {
	case api.Done:
		return ExitOK
	case api.Failed:
		return ExitFailed
	case api.NotRun:
		return ExitNotRun
	case api.Unknown:
		return ExitUnknown
	case api.Retry:
		return ExitRetry
	}
	return ExitError
}
