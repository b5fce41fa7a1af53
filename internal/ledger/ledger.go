// Package ledger compares the outcomes that callers received with the runs that the
// stand-ins recorded. To stay independent it does not read the scheduler's own state.
package ledger

import (
	"fmt"
	"sort"
	"time"

	"rhubarbshore/internal/standin"
	"rhubarbshore/pkg/api"
)

// Exchange is a request together with the response that its caller received.
type Exchange struct {
	Request    api.Request
	Idempotent bool
	Response   api.Response
}

// Report is the result of a comparison.
type Report struct {
	Outcomes map[api.Outcome]int
	Runs     int // of requests
	Gangs    int // generations of jobs, gangs or not
	// LongestPartial is the longest time that a gang ran with only some of its members.
	// LongestOverlap is the longest time that two generations of a job ran together.
	LongestPartial time.Duration
	LongestOverlap time.Duration
	Faults         []string // contradictions and broken rules
}

func (r *Report) addFault(format string, args ...any) {
	r.Faults = append(r.Faults, fmt.Sprintf(format, args...))
}

// Compare checks every response against the runs, and the spans for gangs that ran with
// only some of their members for longer than maxPartial. A span without an end counts as
// running until observedUntil.
func Compare(exchanges []Exchange, runs []standin.Run, spans []standin.Span, maxPartial time.Duration, observedUntil time.Time) Report {
	r := Report{Outcomes: map[api.Outcome]int{}, Runs: len(runs)}
	byRequest := map[string][]standin.Run{}
	for _, run := range runs {
		byRequest[run.Request] = append(byRequest[run.Request], run)
	}
	for _, e := range exchanges {
		r.Outcomes[e.Response.Outcome]++
		r.checkOutcome(e, byRequest[e.Request.ID])
	}
	r.measureGangs(spans, observedUntil)
	if r.LongestPartial > maxPartial {
		r.addFault("a gang ran short for %s, bound %s", r.LongestPartial, maxPartial)
	}
	sort.Strings(r.Faults)
	return r
}

// checkOutcome checks a response against the runs of its request.
func (r *Report) checkOutcome(e Exchange, runs []standin.Run) {
	id := e.Request.ID
	if !e.Idempotent && len(runs) > 1 {
		r.addFault("request %s may not be repeated and ran %d times", id, len(runs))
	}
	for _, run := range runs {
		if run.Customer != e.Request.Customer || run.Kind != e.Request.Kind || run.Body != string(e.Request.Body) {
			r.addFault("request %s ran with another's content", id)
		}
	}
	switch e.Response.Outcome {
	case api.Done:
		want := e.Request.Customer + " " + e.Request.Kind + " " + string(e.Request.Body)
		if len(runs) == 0 {
			r.addFault("request %s was told done and did not run", id)
		}
		if string(e.Response.Body) != want {
			r.addFault("request %s got %q, not its own answer", id, e.Response.Body)
		}
	case api.NotRun:
		if len(runs) > 0 {
			r.addFault("request %s was told notrun and ran %d times", id, len(runs))
		}
	case api.Failed, api.Unknown, api.Retry:
	default:
		r.addFault("request %s got no outcome", id)
	}
}

// generation holds the spans of all members of one generation of a job.
type generation struct {
	members int
	spans   []standin.Span
}

// measureGangs computes Gangs, LongestPartial and LongestOverlap.
func (r *Report) measureGangs(spans []standin.Span, observedUntil time.Time) {
	byGang := map[string]*generation{}
	jobs := map[string][]*generation{}
	for _, s := range spans {
		if s.End.IsZero() {
			s.End = observedUntil
		}
		key := fmt.Sprintf("%s/%d", s.Job, s.Generation)
		if byGang[key] == nil {
			byGang[key] = &generation{members: s.Members}
			jobs[s.Job] = append(jobs[s.Job], byGang[key])
		}
		byGang[key].spans = append(byGang[key].spans, s)
	}
	r.Gangs = len(byGang)
	for _, g := range byGang {
		r.LongestPartial = max(r.LongestPartial, g.partialTime())
	}
	for _, generations := range jobs {
		r.LongestOverlap = max(r.LongestOverlap, longestOverlap(generations))
	}
}

// partialTime returns the time in which some members ran and others did not. A member
// that finished its tasks counts as running until the gang's last member has ended.
func (g *generation) partialTime() time.Duration {
	first, last := g.spans[0].Begin, g.spans[0].End
	for _, s := range g.spans {
		first = earlier(first, s.Begin)
		last = later(last, s.End)
	}
	if len(g.spans) < g.members {
		return last.Sub(first)
	}
	allBegun, firstEnd := first, last
	for _, s := range g.spans {
		allBegun = later(allBegun, s.Begin)
		if s.Reason != "finished" {
			firstEnd = earlier(firstEnd, s.End)
		}
	}
	if firstEnd.Before(allBegun) {
		return last.Sub(first)
	}
	return allBegun.Sub(first) + last.Sub(firstEnd)
}

// longestOverlap returns the longest time in which spans of two generations overlap.
func longestOverlap(generations []*generation) time.Duration {
	var longest time.Duration
	for i, a := range generations {
		for _, b := range generations[i+1:] {
			for _, s := range a.spans {
				for _, t := range b.spans {
					longest = max(longest, earlier(s.End, t.End).Sub(later(s.Begin, t.Begin)))
				}
			}
		}
	}
	return longest
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
