// Package fleet holds the messages between the leader and the workers, and the
// workers' registry, in the product's terms.
package fleet

import (
	"time"

	"github.com/joomcode/errorx"

	"rhubarbshore/internal/scheduler"
)

// Errors of a call to a worker. Callers test for them with errors.Is.
var (
	workerErrors = errorx.NewNamespace("worker")
	// ErrUnanswered: the call may have been carried out, or may still be.
	ErrUnanswered = errorx.NewType(workerErrors, "unanswered").New("the worker did not answer")
	// ErrUnreached: the call was not sent.
	ErrUnreached = errorx.NewType(workerErrors, "unreached").New("the worker was not reached")
)

// Verdict is a worker's answer to an order.
type Verdict int

// Verdicts of workers.
const (
	Taken     Verdict = iota
	Fenced            // a leader with a higher token has called
	Old               // the run has ended there, or a higher one has
	Late              // the order's deadline has passed
	Full              // no capacity
	OtherLife         // the worker has restarted
	Unhealthy         // nothing was done
	Malformed
)

// String names the verdict in logs.
func (v Verdict) String() string {
	return [...]string{"taken", "fenced", "old", "late", "full", "otherlife", "unhealthy", "malformed"}[v]
}

// OrderAnswer is the answer to a start or stop. Clock is the worker's steady
// clock in milliseconds, or 0.
type OrderAnswer struct {
	Verdict Verdict
	Clock   int64
}

// Renewal asks a worker to keep what runs until Deadline, in milliseconds of its
// own clock (0 asks for nothing), to forget ends up to Seen, and to wait up to
// Wait for an end.
type Renewal struct {
	Token    int64
	Seen     int64
	Deadline int64
	Wait     time.Duration
}

// Held is the answer to a renewal.
type Held struct {
	Verdict Verdict
	Clock   int64
	Report  scheduler.Report
	Last    int64 // number of the last end that is listed
}

// Registry is what the workers' entries say: those that are there, and those
// that have gone. Next is the offset from which to read on.
type Registry struct {
	Workers []scheduler.Worker
	Gone    []string
	Next    int64
	Whole   bool // workers that aren't listed have gone
}
