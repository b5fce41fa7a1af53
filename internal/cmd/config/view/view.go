// Package view prints the configuration in force.
package view

import (
	"fmt"

	"rhubarbshore/internal/cmdutil"
)

// Options are the command's flags.
type Options struct {
	Site string `help:"Print this site's overlay too."`
	JSON bool   `help:"Print JSON, with all overlays."`
}

// Help implements kong.HelpProvider.
func (o *Options) Help() string {
	return `Example:
  rhubarbshore config view --site si-a`
}

// Run prints the configuration.
func (o *Options) Run(f *cmdutil.Factory) error {
	ctx, cancel := f.Context()
	defer cancel()
	view, err := f.Client.Config(ctx)
	if err != nil {
		return err
	}
	if o.JSON {
		return f.IO.WriteJSON(view)
	}
	_, err = fmt.Fprintf(f.IO.Out, "# number %d, version %s, by %s\n%s", view.Number, view.Version, view.Author, view.Base)
	if err == nil && o.Site != "" {
		_, err = fmt.Fprintf(f.IO.Out, "\n# overlay of %s\n%s", o.Site, view.Overlays[o.Site])
	}
	return err
}
