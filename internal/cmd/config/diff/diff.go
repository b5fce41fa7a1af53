// Package diff compares a folder with the configuration in force.
package diff

import (
	"maps"
	"slices"

	"github.com/pmezard/go-difflib/difflib"

	"rhubarbshore/internal/cmdutil"
	"rhubarbshore/internal/config"
	"rhubarbshore/pkg/api"
)

// Options are the command's flags.
type Options struct {
	Folder string `arg:"" help:"The folder with base.toml and an overlay for each availability zone."`
	JSON   bool   `help:"Print the files that differ as JSON."`
}

// contextLines is the number of unchanged lines shown around a difference.
const contextLines = 3

// fileChange is a file that differs, with its contents in force and in the folder.
type fileChange struct {
	File string `json:"file"`
	From string `json:"from"`
	To   string `json:"to"`
}

// Help implements kong.HelpProvider.
func (o *Options) Help() string {
	return `Lines in force start with -, lines of the folder with +. Exits with 1 if
there are differences.

Example:
  rhubarbshore config diff examples/robes`
}

// Run prints the differences.
func (o *Options) Run(f *cmdutil.Factory) error {
	ctx, cancel := f.Context()
	defer cancel()
	files, err := cmdutil.ReadFolder(o.Folder)
	if err != nil {
		return err
	}
	view, err := f.Client.Config(ctx)
	if err != nil {
		return err
	}
	changes := changedFiles(view, files)
	if o.JSON {
		err = f.IO.WriteJSON(changes)
	} else {
		err = printChanges(f, changes)
	}
	if err != nil {
		return err
	}
	if len(changes) > 0 {
		return cmdutil.ErrSilent
	}
	return nil
}

// changedFiles lists the files that differ, the base file first.
func changedFiles(view api.ConfigView, files config.Files) []fileChange {
	out := []fileChange{}
	add := func(file, from, to string) {
		if from != to {
			out = append(out, fileChange{File: file, From: from, To: to})
		}
	}
	add(config.BaseFile, view.Base, files.Base)
	names := slices.Collect(maps.Keys(view.Overlays))
	for name := range files.Overlays {
		if _, ok := view.Overlays[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		add(name+".toml", view.Overlays[name], files.Overlays[name])
	}
	return out
}

func printChanges(f *cmdutil.Factory, changes []fileChange) error {
	for _, c := range changes {
		unified := difflib.UnifiedDiff{
			A: difflib.SplitLines(c.From), B: difflib.SplitLines(c.To),
			FromFile: "in force/" + c.File, ToFile: "folder/" + c.File, Context: contextLines,
		}
		if err := difflib.WriteUnifiedDiff(f.IO.Out, unified); err != nil {
			return err
		}
	}
	return nil
}
