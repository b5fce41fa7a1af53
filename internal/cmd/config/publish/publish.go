// Package publish publishes a configuration.
package publish

import (
	"fmt"
	"os/user"

	"rhubarbshore/internal/cmdutil"
	"rhubarbshore/pkg/api"
)

// Options are the command's flags.
type Options struct {
	Folder string `arg:"" help:"The folder with base.toml and an overlay for each availability zone."`
	Parent string `help:"The version that the change was made from; the one in force by default."`
	Author string `help:"Who makes the change; the user by default."`
	JSON   bool   `help:"Print JSON."`
}

// Help implements kong.HelpProvider.
func (o *Options) Help() string {
	return `The change is accepted only if the configuration has not changed since --parent.
Exits with 1 if another change came first or the configuration is not valid, 4 if
it is not known yet whether the change was accepted.

Example:
  rhubarbshore config publish examples/robes --author ana`
}

// Run publishes the folder's configuration.
func (o *Options) Run(f *cmdutil.Factory) error {
	ctx, cancel := f.Context()
	defer cancel()
	defer f.Progress("waiting for the change to be accepted")()
	files, err := cmdutil.ReadFolder(o.Folder)
	if err != nil {
		return err
	}
	in := api.Publish{Parent: o.Parent, Author: o.author(), Base: files.Base, Overlays: files.Overlays}
	if in.Parent == "" {
		view, err := f.Client.Config(ctx)
		if err != nil {
			return err
		}
		in.Parent = view.Version
	}
	out, err := f.Client.Publish(ctx, in)
	if err != nil {
		return err
	}
	if o.JSON {
		return f.IO.WriteJSON(out)
	}
	_, err = fmt.Fprintf(f.IO.Out, "accepted as number %d, version %s\n", out.Number, out.Version)
	return err
}

func (o *Options) author() string {
	if o.Author != "" {
		return o.Author
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}
