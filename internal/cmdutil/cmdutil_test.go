package cmdutil

import (
	"bytes"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestProgress checks that the progress text is printed only if a command takes
// longer than a second.
func TestProgress(t *testing.T) {
	for elapsed, want := range map[time.Duration]string{900 * time.Millisecond: "", 1100 * time.Millisecond: "waiting ...\n"} {
		synctest.Test(t, func(t *testing.T) {
			var stderr bytes.Buffer
			f := &Factory{IO: &Streams{Err: &stderr}}
			done := f.Progress("waiting")
			time.Sleep(elapsed)
			synctest.Wait()
			done()
			assert.Equal(t, stderr.String(), want)
		})
	}
}
