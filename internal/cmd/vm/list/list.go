// Package list lists entry VMs.
package list

import (
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
  rhubarbshore vm list`
}

// Run lists the entry VMs.
func (o *Options) Run(f *cmdutil.Factory) error {
	listing := cmdutil.Listing[api.VMList]{ProgressText: "querying an entry VM", Fetch: f.Client.VMs, Header: []string{"VM", "ADDRESS", "ZONE", "STATE", "ROLE"}, Rows: rows}
	return listing.Print(f, o.JSON)
}

func rows(list api.VMList) [][]string {
	var out [][]string
	for _, v := range list.VMs {
		role := ""
		if v.Placer {
			role = "placer"
		}
		out = append(out, []string{v.Name, v.Address, v.Zone, v.State, role})
	}
	return out
}
