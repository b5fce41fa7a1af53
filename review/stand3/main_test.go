//go:build review3

package stand3

import (
	"errors"
	"fmt"
	"os"
	"testing"
)

// errCannotRun means that a case couldn't be brought about.
var errCannotRun = errors.New("the case could not run")

// cases are the scripts by their numbers. Each returns an error if it could not run.
var cases = map[string]func(record *os.File, trouble bool) (*site, error){}

// TestMain runs the case that STAND3_CASE names. It exits with 1 if a rule was broken, 0 if it held and 2 if the
// case could not run.
func TestMain(m *testing.M) {
	name := os.Getenv("STAND3_CASE")
	if name == "" {
		os.Exit(m.Run())
	}
	os.Exit(runCase(name))
}

func runCase(name string) int {
	f := cases[name]
	if f == nil {
		fmt.Println("no such case")
		return 2
	}
	record, err := os.Create(os.Getenv("STAND3_RECORD"))
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer func() { _ = record.Close() }()
	s, err := f(record, os.Getenv("TROUBLE") != "0")
	if s != nil {
		s.close(os.Getenv("STAND3_KEEP") != "")
		if os.Getenv("STAND3_KEEP") != "" {
			fmt.Println("logs:", s.dir)
		}
	}
	switch {
	case err != nil:
		fmt.Fprintln(record, "could not run:", err)
		fmt.Println("could not run:", err)
		return 2
	case len(s.broken) > 0:
		fmt.Fprintf(record, "result: %d breaks of the rule\n", len(s.broken))
		fmt.Println("broken:", s.broken[0])
		return 1
	}
	fmt.Fprintln(record, "result: the rule held")
	fmt.Println("held")
	return 0
}
