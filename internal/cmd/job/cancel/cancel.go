// Package cancel cancels a job.
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

// Help implements kong.HelpProvider.
func (o *Options) Help() string {
	return `All members of a gang that is starting or running are stopped.

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
