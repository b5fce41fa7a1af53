// Package list lists jobs.
package list

import (
	"context"

	"rhubarbshore/internal/cmdutil"
	"rhubarbshore/pkg/api"
)

// Options are the command's flags.
type Options struct {
	Customer string `help:"Only this customer's jobs."`
	State    string `help:"Only jobs in this state."`
	JSON     bool   `help:"Print JSON."`
}

// Help implements kong.HelpProvider.
func (o *Options) Help() string {
	return `Example:
  rhubarbshore job list --customer parishes --state running`
}

// Run lists the jobs.
func (o *Options) Run(f *cmdutil.Factory) error {
	listing := cmdutil.Listing[api.JobList]{
		ProgressText: "querying the placers",
		Fetch:        func(ctx context.Context) (api.JobList, error) { return o.fetch(ctx, f.Client) },
		Header:       []string{"JOB", "CUSTOMER", "ZONE", "SHAPE", "STATE", "CLASS", "REASON"},
		Rows:         rows,
	}
	return listing.Print(f, o.JSON)
}

// fetch returns the jobs that match the flags.
func (o *Options) fetch(ctx context.Context, c cmdutil.Client) (api.JobList, error) {
	list, err := c.Jobs(ctx)
	filtered := api.JobList{Jobs: []api.JobStatus{}}
	for _, j := range list.Jobs {
		if (o.Customer == "" || o.Customer == j.Job.Customer) && (o.State == "" || o.State == string(j.State)) {
			filtered.Jobs = append(filtered.Jobs, j)
		}
	}
	return filtered, err
}

func rows(list api.JobList) [][]string {
	var out [][]string
	for _, j := range list.Jobs {
		out = append(out, []string{j.Job.ID, j.Job.Customer, j.Zone, j.Job.Shape(), string(j.State), j.Class, j.Reason})
	}
	return out
}
