//go:build review

// Package harness plays the cases of the review: it starts the daemon in separate processes,
// with stand-ins of the store, the workers and the clients, and checks one rule. Its test binary
// takes the name of a case and a folder in place of the flags of a test.
package harness

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

var cases = map[string]func(rec *recorder, trouble bool) error{
	"cancel":      playCancel,
	"reservation": playReservation,
	"outcome":     playOutcome,
	"poison":      playPoison,
	"long":        playLong,
}

func TestMain(*testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER, with the record in FOLDER/record.txt")
		os.Exit(exitUnable)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(f func(rec *recorder, trouble bool) error, folder string) (code int) {
	file, err := os.Create(filepath.Join(folder, "record.txt")) // #nosec G304,G703 -- the script names the folder
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	rec := &recorder{start: time.Now(), file: file}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("disruption: %v", trouble)
	defer func() {
		if v := recover(); v != nil {
			var why errUnable
			if e, ok := v.(error); !ok || !errors.As(e, &why) {
				panic(v)
			}
			rec.line("could not run: %s", why.why)
			fmt.Println("could not run:", why.why)
			code = exitUnable
		}
	}()
	err = f(rec, trouble)
	switch {
	case err == nil:
		rec.line("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		rec.line("%v", err)
		fmt.Println(err)
		return exitBroken
	}
	rec.line("could not run: %v", err)
	fmt.Println("could not run:", err)
	return exitUnable
}
