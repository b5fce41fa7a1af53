package logpipe_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbshore/internal/logpipe"
)

// slowWriter blocks all writes until it is released.
type slowWriter struct {
	release chan struct{}
	buf     bytes.Buffer
	largest int
}

func (w *slowWriter) Write(p []byte) (int, error) {
	<-w.release
	w.largest = max(w.largest, len(p))
	return w.buf.Write(p)
}

// TestLoggingNeverBlocks guards against goroutines that block in a log call because
// the reader of the log has stopped reading. Lines beyond the queue's size must be
// dropped, and the drop logged.
func TestLoggingNeverBlocks(t *testing.T) {
	w := &slowWriter{release: make(chan struct{})}
	p := logpipe.New(w, 100)
	start := time.Now()
	for i := range 1000 {
		_, err := fmt.Fprintf(p, "line %d %s\n", i, strings.Repeat("x", 1000))
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(start) < 5*time.Second, "logging waited for a reader that does not read")
	close(w.release)
	p.Close()
	_, err := fmt.Fprintln(p, "after the end")
	assert.NilError(t, err)
	lines := strings.Split(strings.TrimSpace(w.buf.String()), "\n")
	assert.Assert(t, strings.HasPrefix(lines[0], "line 0 "))
	assert.Assert(t, len(lines) >= 100 && len(lines) < 110, "%d lines", len(lines))
	assert.Assert(t, strings.Contains(w.buf.String(), "log lines dropped"))
	assert.Assert(t, w.largest <= 4096+100, "a write is too large to be atomic")
}
