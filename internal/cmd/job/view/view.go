// Package view shows one job.
package view

import (
	"strconv"
	"strings"
	"time"

	"rhubarbshore/internal/cmdutil"
	"rhubarbshore/pkg/api"
)

// Options are the command's flags.
type Options struct {
	ID   string `arg:"" help:"The job's id."`
	JSON bool   `help:"Print JSON."`
}

// Help implements kong.HelpProvider.
func (o *Options) Help() string {
	return `Example:
  rhubarbshore job view lot-7 --json`
}

// Run shows the job.
func (o *Options) Run(f *cmdutil.Factory) error {
	ctx, cancel := f.Context()
	defer cancel()
	defer f.Progress("querying the placers")()
	list, err := f.Client.Jobs(ctx)
	if err != nil {
		return err
	}
	for _, j := range list.Jobs {
		if j.Job.ID != o.ID {
			continue
		}
		if o.JSON {
			return f.IO.WriteJSON(j)
		}
		return f.IO.Table([]string{"FIELD", "VALUE"}, fields(j))
	}
	return &cmdutil.OutcomeError{Outcome: api.Unknown, Reason: "no placer that answered knows the job"}
}

func fields(j api.JobStatus) [][]string {
	return [][]string{
		{"job", j.Job.ID},
		{"customer", j.Job.Customer},
		{"zone", j.Zone},
		{"shape", j.Job.Shape()},
		{"state", string(j.State)},
		{"reason", j.Reason},
		{"class", j.Class},
		{"durable", strconv.FormatBool(j.Durable)},
		{"copies", strconv.Itoa(j.Copies)},
		{"submitted", formatTime(j.Submitted)},
		{"started", formatTime(j.Started)},
		{"ended", formatTime(j.Ended)},
		{"workers", strings.Join(j.Workers, " ")},
	}
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.Format(time.RFC3339)
}
