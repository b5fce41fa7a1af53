// Package list lists jobs.
package list

import (
	"strconv"

	"rhubarbshore/internal/cmdutil"
	"rhubarbshore/pkg/api"
)

// Options are the command's flags.
type Options struct {
	Customer string `help:"Only this customer's jobs."`
	State    string `help:"Only jobs in this state."`
	JSON     bool   `help:"Print JSON."`
}

// Help is shown by --help.
func (o *Options) Help() string {
	return `Example:
  rhubarbshore job list --customer parishes --state running`
}

// Run lists the jobs.
func (o *Options) Run(f *cmdutil.Factory) error {
	ctx, cancel := f.Context()
	defer cancel()
	defer f.Progress("asking the placers")()
	list, err := f.Client.Jobs(ctx)
	if err != nil {
		return err
	}
	kept := api.JobList{Jobs: []api.JobStatus{}}
	for _, j := range list.Jobs {
		if (o.Customer == "" || o.Customer == j.Job.Customer) && (o.State == "" || o.State == string(j.State)) {
			kept.Jobs = append(kept.Jobs, j)
		}
	}
	if o.JSON {
		return f.IO.WriteJSON(kept)
	}
	return f.IO.Table([]string{"JOB", "CUSTOMER", "ZONE", "SHAPE", "STATE", "CLASS", "REASON"}, rows(kept))
}

func rows(list api.JobList) [][]string {
	var out [][]string
	for _, j := range list.Jobs {
		shape := strconv.Itoa(j.Job.Cells) + "x" + strconv.Itoa(j.Job.Accelerators)
		out = append(out, []string{j.Job.ID, j.Job.Customer, j.Zone, shape, string(j.State), j.Class, j.Reason})
	}
	return out
}
