// Package check checks a configuration without publishing it.
package check

import (
	"errors"
	"fmt"

	"rhubarbshore/internal/cmdutil"
	"rhubarbshore/internal/config"
)

// Options are the command's flags.
type Options struct {
	Folder string `arg:"" help:"The folder with base.toml and an overlay for each availability zone."`
	JSON   bool   `help:"Print the problems as JSON."`
}

// Help implements kong.HelpProvider.
func (o *Options) Help() string {
	return `Every problem is listed with its file, line and key, the value found and the
values allowed. Exits with 1 if there are any.

Example:
  rhubarbshore config check examples/robes`
}

// Run checks the folder's configuration.
func (o *Options) Run(f *cmdutil.Factory) error {
	files, err := cmdutil.ReadFolder(o.Folder)
	if err != nil {
		return err
	}
	err = files.Check()
	var problems config.Problems
	if err != nil && !errors.As(err, &problems) {
		return err
	}
	if o.JSON {
		if err := f.IO.WriteJSON(problems); err != nil {
			return err
		}
	} else if err := o.print(f, problems, len(files.Overlays)); err != nil {
		return err
	}
	if len(problems) > 0 {
		return cmdutil.ErrSilent
	}
	return nil
}

func (o *Options) print(f *cmdutil.Factory, problems config.Problems, sites int) error {
	if len(problems) == 0 {
		_, err := fmt.Fprintf(f.IO.Out, "%s: valid for %d sites\n", o.Folder, sites)
		return err
	}
	for _, p := range problems {
		if _, err := fmt.Fprintln(f.IO.Err, p.String()); err != nil {
			return err
		}
	}
	return nil
}
