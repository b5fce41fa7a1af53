// Package logpipe writes log lines without blocking the goroutines that log. Lines that
// the reader of the output does not read in time are dropped and counted.
package logpipe

import (
	"bytes"
	"fmt"
	"io"
	"sync"

	"rhubarbshore/internal/metric"
)

// pipeBuf is the size in bytes up to which a write to a pipe is atomic (PIPE_BUF on
// Linux), so that a reader of several processes' output gets complete lines.
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

// New returns a pipe that queues at most size lines. Queued lines are written
// together, up to pipeBuf bytes at a time.
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

// appendQueued appends queued lines to buf as long as they fit into pipeBuf bytes. It
// returns the line that did not fit, if any.
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

// Close writes the queued lines. Later lines are dropped, because some goroutine may
// still log while the process ends.
func (p *Pipe) Close() {
	p.mu.Lock()
	p.closed = true
	close(p.lines)
	p.mu.Unlock()
	<-p.done
}
