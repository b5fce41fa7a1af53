// Package status shows which entry VM has which configuration in force.
package status

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
	return `Example:
  rhubarbshore config status`
}

// Run prints a line for each entry VM.
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
		rows = append(rows, []string{v.Name, v.Zone, v.State, strconv.FormatInt(v.Number, 10), v.Version})
	}
	return f.IO.Table([]string{"VM", "ZONE", "STATE", "NUMBER", "VERSION"}, rows)
}
