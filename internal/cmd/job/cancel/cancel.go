// Package cancel ends a job.
package cancel

import (
	"fmt"

	"rhubarbshore/internal/cmdutil"
)

// Options are the command's flags.
type Options struct {
	ID   string `arg:"" help:"The job's id."`
	Zone string `help:"The job's availability zone." required:""`
	JSON bool   `help:"Print JSON."`
}

// Help is shown by --help.
func (o *Options) Help() string {
	return `A gang that is starting or running is stopped whole.

Example:
  rhubarbshore job cancel lot-7 --zone si-a`
}

// Run cancels the job.
func (o *Options) Run(f *cmdutil.Factory) error {
	ctx, cancel := f.Context()
	defer cancel()
	status, err := f.Client.Cancel(ctx, o.Zone, o.ID)
	if err != nil {
		return err
	}
	if o.JSON {
		return f.IO.WriteJSON(status)
	}
	_, err = fmt.Fprintf(f.IO.Out, "%s\t%s\n", o.ID, status.State)
	return err
}
