// Package list lists workers.
package list

import (
	"strconv"

	"rhubarbshore/internal/cmdutil"
	"rhubarbshore/pkg/api"
)

// Options are the command's flags.
type Options struct {
	JSON bool `help:"Print JSON."`
}

// Help implements kong.HelpProvider.
func (o *Options) Help() string {
	return `Example:
  rhubarbshore worker list`
}

// Run lists the workers.
func (o *Options) Run(f *cmdutil.Factory) error {
	listing := cmdutil.Listing[api.WorkerList]{ProgressText: "querying the placers", Fetch: f.Client.Workers, Header: []string{"WORKER", "ZONE", "STATE", "USED", "CORES", "MEMORY", "LEASES"}, Rows: rows}
	return listing.Print(f, o.JSON)
}

func rows(list api.WorkerList) [][]string {
	var out [][]string
	for _, w := range list.Workers {
		used := strconv.Itoa(w.Used) + "/" + strconv.Itoa(w.Accelerators)
		out = append(out, []string{w.Name, w.Zone, w.State, used, formatAmount(w.Cores), formatAmount(w.Memory), strconv.Itoa(w.Leases)})
	}
	return out
}

func formatAmount(x float64) string { return strconv.FormatFloat(x, 'f', 1, 64) }
