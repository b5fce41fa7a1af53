// Package status lists the configuration version in force on each entry VM.
package status

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
  rhubarbshore config status`
}

// Run prints a line for each entry VM.
func (o *Options) Run(f *cmdutil.Factory) error {
	listing := cmdutil.Listing[api.VMList]{ProgressText: "querying an entry VM", Fetch: f.Client.VMs, Header: []string{"VM", "ZONE", "STATE", "NUMBER", "VERSION"}, Rows: rows}
	return listing.Print(f, o.JSON)
}

func rows(list api.VMList) [][]string {
	var out [][]string
	for _, v := range list.VMs {
		out = append(out, []string{v.Name, v.Zone, v.State, strconv.FormatInt(v.Number, 10), v.Version})
	}
	return out
}
