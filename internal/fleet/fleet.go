// Package fleet defines the messages between the leader and the workers and the registry of
// workers, independently of the platform's wire format.
package fleet

import (
	"time"

	"github.com/joomcode/errorx"

	"rhubarbshore/internal/scheduler"
)

// Errors of a call to a worker. Callers test for them with errors.Is.
var (
	workerErrors = errorx.NewNamespace("worker")
	// ErrUnanswered means that the call may have been carried out or may still be: there was no answer, or
	// one that does not tell.
	ErrUnanswered = errorx.NewType(workerErrors, "unanswered").New("no answer that tells what the worker did")
	// ErrUnreached means that the call was not sent.
	ErrUnreached = errorx.NewType(workerErrors, "unreached").New("the worker was not reached")
)

// Verdict is the result of an order or renewal as reported by a worker.
type Verdict int

// Verdicts of a worker.
const (
	Accepted        Verdict = iota
	Fenced                  // a leader with a higher token has called
	RunEnded                // the run, or one with a higher number, has already ended there
	DeadlinePassed          // the order's deadline has passed
	Full                    // the worker has no capacity left
	WorkerRestarted         // the worker has restarted
	Unhealthy               // the worker is unhealthy and did nothing
	Malformed
)

// String returns the verdict's name in logs.
func (v Verdict) String() string {
	return [...]string{"taken", "fenced", "old", "late", "full", "otherlife", "unhealthy", "malformed"}[v]
}

// OrderAnswer is the answer to a start or stop. Clock is the worker's monotonic clock in
// milliseconds, or 0 if unknown.
type OrderAnswer struct {
	Verdict Verdict
	Clock   int64
}

// Renewal asks a worker to keep its tasks running until Deadline, to forget ended runs up to
// number ForgetUpTo, and to wait up to Wait for a run to end before it answers. Deadline is in
// milliseconds of the worker's clock; 0 requests no lease.
type Renewal struct {
	Token      int64
	ForgetUpTo int64
	Deadline   int64
	Wait       time.Duration
}

// RenewalAnswer is the answer to a Renewal.
type RenewalAnswer struct {
	Verdict   Verdict
	Clock     int64
	Report    scheduler.Report
	LastEnded int64 // number of the last ended run that is listed
}

// Registry is the result of reading the workers' registry entries: the workers that are present
// and those that have gone. Next is the offset from which to continue reading.
type Registry struct {
	Workers  []scheduler.Worker
	Gone     []string
	Next     int64
	Complete bool // the read is complete: workers that are not listed have gone
	// Rejected lists the workers whose newest entry cannot be used. What was known of them stays
	// in force.
	Rejected []Rejected
}

// Rejected is a worker whose newest registry entry cannot be used, and the reason.
type Rejected struct {
	ID  string
	Err error
}
