// Package list lists customers and what they hold of their guarantees.
package list

import (
	"strconv"

	"rhubarbshore/internal/cmdutil"
)

// Options are the command's flags.
type Options struct {
	JSON bool `help:"Print JSON."`
}

// Help is shown by --help.
func (o *Options) Help() string {
	return `Figures are accelerators: guaranteed in the zone, bound to running work, and
suspended because more hardware failed than the site's spare share.

Example:
  rhubarbshore customer list`
}

// Run lists the customers.
func (o *Options) Run(f *cmdutil.Factory) error {
	ctx, cancel := f.Context()
	defer cancel()
	list, err := f.Client.Customers(ctx)
	if err != nil {
		return err
	}
	if o.JSON {
		return f.IO.WriteJSON(list)
	}
	var rows [][]string
	for _, c := range list.Customers {
		rows = append(rows, []string{c.Name, c.Zone, strconv.Itoa(c.Guaranteed), strconv.Itoa(c.Bound), strconv.Itoa(c.Suspended)})
	}
	return f.IO.Table([]string{"CUSTOMER", "ZONE", "GUARANTEED", "BOUND", "SUSPENDED"}, rows)
}
