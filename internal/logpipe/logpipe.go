// Package logpipe writes log lines without ever holding up who logs them: lines
// that the reader doesn't take in time are dropped and counted.
package logpipe

import (
	"bytes"
	"fmt"
	"io"
	"sync"

	"rhubarbshore/internal/metric"
)

// pipeBuf is how many bytes a pipe takes as a whole (PIPE_BUF on Linux), so that
// readers of several processes' output see whole lines.
const pipeBuf = 4096

// Pipe is a bounded queue of lines in front of a writer.
type Pipe struct {
	mu      sync.Mutex
	lines   chan []byte
	dropped int
	closed  bool
	out     io.Writer
	done    chan struct{}
}

// New returns a pipe of at most size lines. Lines already queued are written
// together.
func New(out io.Writer, size int) *Pipe {
	p := &Pipe{lines: make(chan []byte, size), out: out, done: make(chan struct{})}
	go p.run()
	return p
}

// Write queues a line. It never blocks and never fails.
func (p *Pipe) Write(line []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return len(line), nil
	}
	select {
	case p.lines <- bytes.Clone(line):
	default:
		p.dropped++
		metric.Count("log_lines_dropped_total")
	}
	return len(line), nil
}

func (p *Pipe) run() {
	defer close(p.done)
	var buf bytes.Buffer
	for line := range p.lines {
		buf.Reset()
		buf.Write(line)
		overflow := p.appendQueued(&buf)
		p.mu.Lock()
		dropped := p.dropped
		p.dropped = 0
		p.mu.Unlock()
		if dropped > 0 {
			fmt.Fprintf(&buf, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", dropped)
		}
		p.write(buf.Bytes())
		if len(overflow) > 0 {
			p.write(overflow)
		}
	}
}

// appendQueued adds lines that wait, as long as they fit. It returns one that did not.
func (p *Pipe) appendQueued(buf *bytes.Buffer) []byte {
	for {
		select {
		case next, ok := <-p.lines:
			if !ok || buf.Len()+len(next) > pipeBuf {
				return next
			}
			buf.Write(next)
		default:
			return nil
		}
	}
}

func (p *Pipe) write(lines []byte) {
	if _, err := p.out.Write(lines); err != nil {
		metric.Count("log_write_failures_total")
	}
}

// Close writes what is queued. Lines that come later are dropped: some goroutine
// may still have one when the process ends.
func (p *Pipe) Close() {
	p.mu.Lock()
	p.closed = true
	close(p.lines)
	p.mu.Unlock()
	<-p.done
}
