package placer

import (
	"time"

	"rhubarbshore/internal/cell"
	"rhubarbshore/internal/estimate"
	"rhubarbshore/internal/metric"
	"rhubarbshore/pkg/api"
)

// likely is the quantile of run times that placements go by.
const likely = 0.7

// run names the job's history for the estimator.
func (j *job) run() estimate.Run {
	return estimate.Run{
		Customer: j.status.Job.Customer, Level: j.level,
		Declared: time.Duration(j.status.Job.Seconds * float64(time.Second)),
	}
}

// left is the declared run time that is not yet saved, in seconds, 0 if none was
// declared.
func (j *job) left() float64 {
	if j.status.Job.Seconds <= 0 {
		return 0
	}
	return max(minLeft, j.status.Job.Seconds-j.saved)
}

// ran is for how long the job has run in all, as far as its work is saved or
// still running.
func (j *job) ran(now time.Time) time.Duration {
	ran := time.Duration(j.saved * float64(time.Second))
	if j.status.State == api.Running {
		ran += now.Sub(j.status.Started)
	}
	return ran
}

// expect is when the job is likely to end if it runs from now on, zero if its
// run time was not declared.
func (p *Placer) expect(j *job, now time.Time) time.Time {
	if j.status.Job.Seconds <= 0 {
		return time.Time{}
	}
	ran := j.ran(now)
	return now.Add(p.runs.Quantile(j.run(), ran, likely) - ran)
}

// observe learns from a job that ran to its end.
func (p *Placer) observe(j *job, now time.Time) {
	took := j.ran(now)
	if j.status.Job.Seconds > 0 {
		metric.Seconds("job_estimate_error_seconds", (p.runs.Quantile(j.run(), 0, likely) - took).Abs())
	}
	p.runs.Observe(j.run(), took)
	p.observeSize(j)
}

// expectAgain moves the expected end of the jobs that have outlived it.
func (p *Placer) expectAgain(now time.Time) {
	for id, j := range p.jobs {
		if j.status.State == api.Running && !j.ends.IsZero() && j.ends.Before(now) {
			j.ends = p.expect(j, now)
			p.tree.Expect(id, j.ends)
		}
	}
}

// gentle reports whether the job still waits rather than break up an idle cell
// of the largest guaranteed shape.
func (p *Placer) gentle(j *job, class cell.Class, now time.Time) bool {
	if class != cell.Spare || p.layout.Rank.Whole == 0 {
		return false
	}
	until := j.status.Submitted.Add(p.layout.Rank.Whole)
	if !now.Before(until) {
		return false
	}
	p.pauseUntil(until)
	return true
}
