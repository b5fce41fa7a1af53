// Package rapidtest makes property tests draw the same cases in every run.
package rapidtest

import (
	"flag"
	"testing"
)

// seed draws the cases; -rapid.seed draws others.
const seed = "20261204"

// Main is the body of a TestMain. It returns the exit code.
func Main(m *testing.M) int {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		_ = flag.Set("rapid.seed", seed)
	}
	return m.Run()
}
