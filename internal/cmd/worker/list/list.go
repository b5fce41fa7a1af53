// Package list lists workers.
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
	return `Example:
  rhubarbshore worker list`
}

// Run lists the workers.
func (o *Options) Run(f *cmdutil.Factory) error {
	ctx, cancel := f.Context()
	defer cancel()
	list, err := f.Client.Workers(ctx)
	if err != nil {
		return err
	}
	if o.JSON {
		return f.IO.WriteJSON(list)
	}
	var rows [][]string
	for _, w := range list.Workers {
		used := strconv.Itoa(w.Used) + "/" + strconv.Itoa(w.Accelerators)
		rows = append(rows, []string{w.Name, w.Zone, w.State, used, strconv.Itoa(w.Leases)})
	}
	return f.IO.Table([]string{"WORKER", "ZONE", "STATE", "USED", "LEASES"}, rows)
}
