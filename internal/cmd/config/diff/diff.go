// Package diff compares a folder with the configuration in force.
package diff

import (
	"fmt"
	"os"
	"sort"
	"strings"

	"github.com/google/go-cmp/cmp"

	"rhubarbshore/internal/cmdutil"
	"rhubarbshore/internal/config"
)

// Options are the command's flags.
type Options struct {
	Folder string `arg:"" help:"The folder with base.toml and an overlay for each availability zone."`
}

// Help is shown by --help.
func (o *Options) Help() string {
	return `Lines in force start with -, lines of the folder with +. Exits with 1 if
they differ.

Example:
  rhubarbshore config diff examples/robes`
}

// Run prints the difference.
func (o *Options) Run(f *cmdutil.Factory) error {
	ctx, cancel := f.Context()
	defer cancel()
	files, err := config.ReadDir(os.DirFS(o.Folder))
	if err != nil {
		return err
	}
	view, err := f.Client.Config(ctx)
	if err != nil {
		return err
	}
	differs := o.print(f, config.BaseFile, view.Base, files.Base)
	names := map[string]bool{}
	for name := range view.Overlays {
		names[name] = true
	}
	for name := range files.Overlays {
		names[name] = true
	}
	sorted := make([]string, 0, len(names))
	for name := range names {
		sorted = append(sorted, name)
	}
	sort.Strings(sorted)
	for _, name := range sorted {
		differs = o.print(f, name+".toml", view.Overlays[name], files.Overlays[name]) || differs
	}
	if differs {
		return cmdutil.ErrSilent
	}
	return nil
}

func (o *Options) print(f *cmdutil.Factory, name, from, to string) bool {
	if from == to {
		return false
	}
	text := cmp.Diff(strings.Split(from, "\n"), strings.Split(to, "\n"))
	_, _ = fmt.Fprintf(f.IO.Out, "%s:\n%s", name, text)
	return true
}
