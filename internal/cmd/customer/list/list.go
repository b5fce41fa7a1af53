// Package list lists customers with the use of their guarantees.
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
	return `Columns are numbers of accelerators: guaranteed in the zone, bound to running
work, and suspended because more hardware has failed than the site's spare share.

Example:
  rhubarbshore customer list`
}

// Run lists the customers.
func (o *Options) Run(f *cmdutil.Factory) error {
	listing := cmdutil.Listing[api.CustomerList]{ProgressText: "querying the placers", Fetch: f.Client.Customers, Header: []string{"CUSTOMER", "ZONE", "GUARANTEED", "BOUND", "SUSPENDED"}, Rows: rows}
	return listing.Print(f, o.JSON)
}

func rows(list api.CustomerList) [][]string {
	var out [][]string
	for _, c := range list.Customers {
		out = append(out, []string{c.Name, c.Zone, strconv.Itoa(c.Guaranteed), strconv.Itoa(c.Bound), strconv.Itoa(c.Suspended)})
	}
	return out
}
