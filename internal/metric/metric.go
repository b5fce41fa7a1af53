// Package metric updates the counters and histograms of a process and prints them for
// Prometheus.
package metric

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// prefix starts the name of every metric.
const prefix = "rhubarbshore_"

// Outcome counts a request's outcome with its reason.
func Outcome(outcome, reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(prefix+`outcomes_total{outcome=%q,reason=%q}`, outcome, reason)).Inc()
}

// Refusal counts a refusal by the place where it is made and its reason.
func Refusal(where, reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(prefix+`refusals_total{where=%q,reason=%q}`, where, reason)).Inc()
}

// Retry counts a repeated attempt by its reason.
func Retry(reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(prefix+`retries_total{reason=%q}`, reason)).Inc()
}

// StartVerdict counts a start of a run by how it ended.
func StartVerdict(verdict string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(prefix+`starts_total{verdict=%q}`, verdict)).Inc()
}

// Count adds one to a counter without labels.
func Count(name string) { metrics.GetOrCreateCounter(prefix + name).Inc() }

// Bytes returns the counter of the bytes sent to or received from peers of a role.
func Bytes(role, direction string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(prefix+`bytes_total{role=%q,direction=%q}`, role, direction))
}

// Add adds v to a counter without labels.
func Add(name string, v float64) { metrics.GetOrCreateFloatCounter(prefix + name).Add(v) }

// Set sets a gauge. The name may include labels.
func Set(name string, v float64) { metrics.GetOrCreateGauge(prefix+name, nil).Set(v) }

// Observe adds the time since start, in seconds, to a histogram.
func Observe(name string, start time.Time) {
	metrics.GetOrCreateHistogram(prefix + name).UpdateDuration(start)
}

// Seconds adds a duration, in seconds, to a histogram.
func Seconds(name string, d time.Duration) {
	metrics.GetOrCreateHistogram(prefix + name).Update(d.Seconds())
}

// Write prints all metrics in the Prometheus text format.
func Write(w io.Writer) { metrics.WritePrometheus(w, true) }
