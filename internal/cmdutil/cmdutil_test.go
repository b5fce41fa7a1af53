package cmdutil

import (
	"bytes"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestProgress speaks only if the command takes longer than a second.
func TestProgress(t *testing.T) {
	for took, want := range map[time.Duration]string{900 * time.Millisecond: "", 1100 * time.Millisecond: "waiting ...\n"} {
		synctest.Test(t, func(t *testing.T) {
			var errs bytes.Buffer
			f := &Factory{IO: &Streams{Err: &errs}}
			done := f.Progress("waiting")
			time.Sleep(took)
			synctest.Wait()
			done()
			assert.Equal(t, errs.String(), want)
		})
	}
}
