// Package ledger compares what callers were told with what the stand-ins say
// really happened. It never looks at the scheduler's own tables.
package ledger

import (
	"fmt"
	"sort"
	"time"

	"rhubarbshore/internal/standin"
	"rhubarbshore/pkg/api"
)

// Told is a request together with the outcome that its caller was given.
type Told struct {
	Request    api.Request
	Idempotent bool
	Response   api.Response
}

// Report is the result of a comparison.
type Report struct {
	Outcomes map[api.Outcome]int
	Runs     int
	Gangs    int
	// Short is the longest time in which a gang ran with a part of its members,
	// and Overlap the longest in which two generations of one job ran.
	Short   time.Duration
	Overlap time.Duration
	Faults  []string
}

func (r *Report) addFault(format string, args ...any) {
	r.Faults = append(r.Faults, fmt.Sprintf(format, args...))
}

// Compare checks every answer against the runs. At is the time up to which the
// spans have been observed; a gang may be short for up to the bound.
func Compare(told []Told, runs []standin.Run, spans []standin.Span, maxShort time.Duration, observedUntil time.Time) Report {
	r := Report{Outcomes: map[api.Outcome]int{}, Runs: len(runs)}
	byRequest := map[string][]standin.Run{}
	for _, run := range runs {
		byRequest[run.Request] = append(byRequest[run.Request], run)
	}
	for _, t := range told {
		r.Outcomes[t.Response.Outcome]++
		r.checkOutcome(t, byRequest[t.Request.ID])
	}
	r.measureGangs(spans, observedUntil)
	if r.Short > maxShort {
		r.addFault("a gang ran short for %s, bound %s", r.Short, maxShort)
	}
	sort.Strings(r.Faults)
	return r
}

func (r *Report) checkOutcome(t Told, runs []standin.Run) {
	id := t.Request.ID
	if !t.Idempotent && len(runs) > 1 {
		r.addFault("request %s may not be repeated and ran %d times", id, len(runs))
	}
	for _, run := range runs {
		if run.Customer != t.Request.Customer || run.Kind != t.Request.Kind || run.Body != string(t.Request.Body) {
			r.addFault("request %s ran with another's content", id)
		}
	}
	switch t.Response.Outcome {
	case api.Done:
		want := t.Request.Customer + " " + t.Request.Kind + " " + string(t.Request.Body)
		if len(runs) == 0 {
			r.addFault("request %s was told done and did not run", id)
		}
		if string(t.Response.Body) != want {
			r.addFault("request %s got %q, not its own answer", id, t.Response.Body)
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

// generation collects the members' spans of one generation of a job.
type generation struct {
	members int
	spans   []standin.Span
}

// measureGangs measures how long measureGangs ran with a part of their members.
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
		r.Short = max(r.Short, g.partialTime())
	}
	for _, generations := range jobs {
		r.Overlap = max(r.Overlap, longestOverlap(generations))
	}
}

// partialTime sums up the time in which some members ran and others did not. Members
// that finished by themselves count as running until the gang has ended.
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
