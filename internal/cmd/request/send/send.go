// Package send sends a request and waits for its outcome.
package send

import (
	"fmt"
	"io"

	"rhubarbshore/internal/cmdutil"
	"rhubarbshore/pkg/api"
	"rhubarbshore/pkg/client"
)

// maxBodyBytes limits a body that is read from the input stream.
const maxBodyBytes = 4 << 20

// Options are the command's flags.
type Options struct {
	Customer string `help:"The customer." required:""`
	Kind     string `help:"The kind of request." required:""`
	Body     string `help:"The body, or - to read it from the input." default:"-"`
	Key      string `help:"Your own key: copies with the same key run once."`
	Once     bool   `help:"Send a single copy, without key or ticket."`
	JSON     bool   `help:"Print the whole response as JSON."`
}

// Help implements kong.HelpProvider.
func (o *Options) Help() string {
	return `Prints the response. Exits with 0 if the request was done, 6 if it failed, 3 if
it did not run and never will, 4 if it may have run, 5 if no copy was accepted.

Examples:
  rhubarbshore request send --customer parishes --kind fitting --body alb-52
  rhubarbshore request send --customer schools --kind reminder --key may-17 < letter.txt`
}

// Run sends the request.
func (o *Options) Run(f *cmdutil.Factory) error {
	ctx, cancel := f.Context()
	defer cancel()
	defer f.Progress("waiting for the outcome")()
	body := []byte(o.Body)
	if o.Body == "-" {
		data, err := io.ReadAll(io.LimitReader(f.IO.In, maxBodyBytes))
		if err != nil {
			return err
		}
		body = data
	}
	resp, err := f.Client.Send(ctx, api.Request{Customer: o.Customer, Kind: o.Kind, Body: body}, client.Options{Key: o.Key, Once: o.Once})
	if err != nil {
		return err
	}
	return Print(f, resp, o.JSON)
}

// Print prints a response. It returns an OutcomeError unless the request was done.
func Print(f *cmdutil.Factory, resp api.Response, json bool) error {
	if json {
		if err := f.IO.WriteJSON(resp); err != nil {
			return err
		}
	} else if resp.Outcome == api.Done || resp.Outcome == api.Failed {
		if _, err := fmt.Fprintf(f.IO.Out, "%s\n", resp.Body); err != nil {
			return err
		}
	}
	if resp.Outcome != api.Done {
		return &cmdutil.OutcomeError{Outcome: resp.Outcome, Reason: resp.Reason}
	}
	return nil
}
