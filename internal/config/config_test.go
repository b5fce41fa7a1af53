package config

import (
	"io/fs"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"rhubarbshore/examples"
	"rhubarbshore/internal/rapidtest"
)

func TestMain(m *testing.M) { os.Exit(rapidtest.Main(m)) }

func TestExamplesPass(t *testing.T) {
	for _, name := range []string{"robes", "splints"} {
		dir, err := fs.Sub(examples.Files, name)
		assert.NilError(t, err)
		files, err := ReadDir(dir)
		assert.NilError(t, err)
		assert.Equal(t, len(files.Overlays), 3)
		assert.NilError(t, files.Check())
		total := 0
		for site := range files.Overlays {
			cfg, err := files.Site(site)
			assert.NilError(t, err)
			for _, rack := range cfg.Site.Racks(site) {
				total += len(rack.Workers)
			}
		}
		assert.Equal(t, total, 50)
	}
}

// base returns an example's base file with the given replacements.
func base(t *testing.T, pairs ...string) string {
	t.Helper()
	text, err := examples.Files.ReadFile("robes/base.toml")
	assert.NilError(t, err)
	return strings.NewReplacer(pairs...).Replace(string(text))
}

func TestProblemsNameFileLineAndKey(t *testing.T) {
	cases := map[string]struct{ base, overlay string }{
		"syntax":    {base: "[site\n"},
		"types":     {base: base(t, `window = "30s"`, `window = 30`, "rack = 8\n", "rak = 8\n", `worth = 5.0`, `worth = "much"`)},
		"meaning":   {base: base(t, "share = 4.0", "share = -1.0", `service = "booking"`, `service = "boking"`, "accelerators = 16", "accelerators = 12")},
		"guarantee": {base: base(t, "count = 2", "count = 9")},
		"overlay":   {base: base(t), overlay: "[site]\nworkers = 3\nrack = 4\nzoom = 1\n"},
		"unfit":     {base: base(t), overlay: "[site]\nworkers = 2\n"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Parse(c.base, c.overlay, "si-a")
			assert.ErrorIs(t, err, ErrInvalid)
			golden.Assert(t, err.Error()+"\n", "problems-"+name+".golden")
		})
	}
}
