//go:build review2

package stand2

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// Exit codes of a script.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// maxTime is less than the time that a script may take.
const maxTime = 110 * time.Second

// cases run a case with or without its disruption, and return how the rule was broken, or "".
var cases = map[string]func(s *site, trouble bool) string{
	"6":  cancelledJobRuns,
	"7":  cancelledJobsRunOn,
	"8":  lastingTaskStaysAway,
	"9":  acceptedJobIsPassedOver,
	"10": waitingJobsAreNotCounted,
}

// TestMain runs the case that CASE names, in place of tests, and exits as the review's page says.
func TestMain(_ *testing.M) { os.Exit(runCase(os.Getenv("CASE"))) }

func runCase(name string) (code int) {
	run, ok := cases[name]
	if !ok {
		fmt.Println("no such case:", name)
		return couldNot
	}
	record, err := os.Create(filepath.Join("review", name, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return couldNot
	}
	defer func() { _ = record.Close() }()
	var s *site
	defer func() {
		v := recover()
		if s != nil {
			s.close()
		}
		if e, isSetup := v.(setupError); isSetup {
			_, _ = fmt.Fprintln(record, "could not run:", e)
			fmt.Println("could not run:", e)
			code = couldNot
		} else if v != nil {
			panic(v)
		}
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	s = newSite(record)
	watchdog := time.AfterFunc(maxTime, func() {
		s.close()
		fmt.Println("could not run: out of time")
		os.Exit(couldNot)
	})
	defer watchdog.Stop()
	s.note("case %s, with the disruption: %t", name, trouble)
	if problem := run(s, trouble); problem != "" {
		s.note("BROKEN: %s", problem)
		fmt.Println("BROKEN:", problem)
		return broken
	}
	s.note("the rule held")
	fmt.Println("the rule held")
	return held
}
