// Package list lists entry VMs.
package list

import (
	"rhubarbshore/internal/cmdutil"
)

// Options are the command's flags.
type Options struct {
	JSON bool `help:"Print JSON."`
}

// Help is shown by --help.
func (o *Options) Help() string {
	return `Example:
  rhubarbshore vm list`
}

// Run lists the entry VMs.
func (o *Options) Run(f *cmdutil.Factory) error {
	ctx, cancel := f.Context()
	defer cancel()
	list, err := f.Client.VMs(ctx)
	if err != nil {
		return err
	}
	if o.JSON {
		return f.IO.WriteJSON(list)
	}
	var rows [][]string
	for _, v := range list.VMs {
		office := ""
		if v.Placer {
			office = "placer"
		}
		rows = append(rows, []string{v.Name, v.Address, v.Zone, v.State, office})
	}
	return f.IO.Table([]string{"VM", "ADDRESS", "ZONE", "STATE", "OFFICE"}, rows)
}
