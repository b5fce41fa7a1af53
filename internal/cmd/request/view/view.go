// Package view settles and prints the outcome of a keyed request.
package view

import (
	"rhubarbshore/internal/cmd/request/send"
	"rhubarbshore/internal/cmdutil"
	"rhubarbshore/pkg/api"
	"rhubarbshore/pkg/client"
)

// Options are the command's flags.
type Options struct {
	Key      string `arg:"" help:"The key that the request was sent with."`
	Customer string `help:"The customer." required:""`
	Kind     string `help:"The kind of request." required:""`
	Body     string `help:"The body that the request was sent with."`
	JSON     bool   `help:"Print the whole response as JSON."`
}

// Help implements kong.HelpProvider.
func (o *Options) Help() string {
	return `If no copy of the request has been accepted yet, none ever will be: the
outcome is then always "notrun". Exit codes are those of request send.

Example:
  rhubarbshore request view may-17 --customer schools --kind reminder --body letter`
}

// Run settles and prints the outcome.
func (o *Options) Run(f *cmdutil.Factory) error {
	ctx, cancel := f.Context()
	defer cancel()
	defer f.Progress("waiting for the outcome")()
	resp, err := f.Client.Settle(ctx, api.Request{Customer: o.Customer, Kind: o.Kind, Body: []byte(o.Body)}, client.Options{Key: o.Key})
	if err != nil {
		return err
	}
	return send.Print(f, resp, o.JSON)
}
