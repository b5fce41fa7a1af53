// Package version prints the version of the program.
package version

import (
	"fmt"
	"runtime/debug"

	"rhubarbshore/internal/cmdutil"
)

// Options are the command's flags.
type Options struct {
	JSON bool `help:"Print JSON."`
}

type buildVersion struct {
	Version  string `json:"version"`
	Revision string `json:"revision"`
	Go       string `json:"go"`
}

// Run prints the version.
func (o *Options) Run(f *cmdutil.Factory) error {
	out := buildVersion{Version: "development"}
	if info, ok := debug.ReadBuildInfo(); ok {
		out.Go = info.GoVersion
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				out.Revision = s.Value
			}
		}
	}
	if o.JSON {
		return f.IO.WriteJSON(out)
	}
	_, err := fmt.Fprintf(f.IO.Out, "rhubarbshore %s %s (%s)\n", out.Version, out.Revision, out.Go)
	return err
}
