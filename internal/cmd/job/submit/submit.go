// Package submit submits a gang job.
package submit

import (
	"fmt"

	"rhubarbshore/internal/cmdutil"
	"rhubarbshore/pkg/api"
)

// Options are the command's flags.
type Options struct {
	ID           string  `help:"The job's id; submitting an id twice is harmless."`
	Customer     string  `help:"The customer." required:""`
	Zone         string  `help:"The availability zone; chosen by free capacity if empty."`
	Accelerators int     `help:"Neighbouring accelerators in each cell." default:"1"`
	Cells        int     `help:"Number of cells." default:"1"`
	Tasks        int     `help:"Tasks in all." default:"1"`
	Cores        float64 `help:"Processors for each task of a job with 0 accelerators."`
	Memory       float64 `help:"Memory for each task of a job with 0 accelerators, in GB."`
	Worth        float64 `help:"Worth, which orders the customer's own jobs." default:"1"`
	Seconds      float64 `help:"Declared run time in seconds; 0 runs until cancelled."`
	Class        string  `help:"guaranteed, spare, or empty for either." enum:",guaranteed,spare" default:""`
	Command      string  `help:"What the workers run."`
	JSON         bool    `help:"Print JSON."`
}

// Help implements kong.HelpProvider.
func (o *Options) Help() string {
	return `The job gets all its accelerators at once or none. Exits with 3 if it can
never run, 4 if it is unknown whether it was accepted, 5 if it was not accepted.

Example:
  rhubarbshore job submit --customer parishes --accelerators 16 --tasks 16 --seconds 3600
  rhubarbshore job submit --customer stock --accelerators 0 --tasks 40 --cores 4 --memory 8`
}

// Run submits the job.
func (o *Options) Run(f *cmdutil.Factory) error {
	ctx, cancel := f.Context()
	defer cancel()
	defer f.Progress("waiting for the job to be accepted")()
	status, err := f.Client.Submit(ctx, api.Job{
		ID: o.ID, Customer: o.Customer, Zone: o.Zone, Accelerators: o.Accelerators, Cells: o.Cells, Tasks: o.Tasks,
		Cores: o.Cores, Memory: o.Memory, Worth: o.Worth, Seconds: o.Seconds, Class: o.Class, Command: o.Command,
	})
	if err != nil {
		return err
	}
	if o.JSON {
		if err := f.IO.WriteJSON(status); err != nil {
			return err
		}
	} else if _, err := fmt.Fprintf(f.IO.Out, "%s\t%s\t%s\n", status.Job.ID, status.Zone, status.State); err != nil {
		return err
	}
	if !status.Durable && status.State != api.Refused {
		_, _ = fmt.Fprintf(f.IO.Err, "The platform's log is out of reach: the job is held in memory only, by %d VMs beside the placer.\n", status.Copies)
	}
	if status.State == api.Refused {
		return &cmdutil.OutcomeError{Outcome: api.NotRun, Reason: status.Reason}
	}
	return nil
}
