// Package rapidtest runs property tests with a fixed seed, so that every run generates
// the same cases.
package rapidtest

import (
	"flag"
	"testing"
)

// seed is the default of the flag -rapid.seed.
const seed = "20261204"

// Main runs the tests of a package with seed, unless the flag -rapid.seed is set. Call it
// from TestMain. It returns the exit code.
func Main(m *testing.M) int {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		_ = flag.Set("rapid.seed", seed)
	}
	return m.Run()
}
