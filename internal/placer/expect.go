package placer

import (
	"time"

	"rhubarbshore/internal/cell"
	"rhubarbshore/internal/estimate"
	"rhubarbshore/internal/metric"
	"rhubarbshore/pkg/api"
)

// likely is the quantile of run times that placements go by.
const runTimeQuantile = 0.7

// run names the job's history for the estimator.
func (j *job) estimateKey() estimate.Run {
	return estimate.Run{
		Customer: j.status.Job.Customer, Level: j.level,
		Declared: time.Duration(j.status.Job.Seconds * float64(time.Second)),
	}
}

// left is the declared run time that is not yet saved, in seconds, 0 if none was
// declared.
func (j *job) remaining() float64 {
	if j.status.Job.Seconds <= 0 {
		return 0
	}
	return max(minRemaining, j.status.Job.Seconds-j.saved)
}

// ran is for how long the job has run in all, as far as its work is saved or
// still running.
func (j *job) runTime(now time.Time) time.Duration {
	runTime := time.Duration(j.saved * float64(time.Second))
	if j.status.State == api.Running {
		runTime += now.Sub(j.status.Started)
	}
	return runTime
}

// expect is when the job is likely to end if it runs from now on, zero if its
// run time was not declared.
func (p *Placer) predictEnd(j *job, now time.Time) time.Time {
	if j.status.Job.Seconds <= 0 {
		return time.Time{}
	}
	runTime := j.runTime(now)
	return now.Add(p.runTimes.Quantile(j.estimateKey(), runTime, runTimeQuantile) - runTime)
}

// observe learns from a job that ran to its end.
func (p *Placer) observeRunTime(j *job, now time.Time) {
	took := j.runTime(now)
	if j.status.Job.Seconds > 0 {
		metric.Seconds("job_estimate_error_seconds", (p.runTimes.Quantile(j.estimateKey(), 0, runTimeQuantile) - took).Abs())
	}
	p.runTimes.Observe(j.estimateKey(), took)
	p.observeMemory(j)
}

// expectAgain moves the expected end of the jobs that have outlived it.
func (p *Placer) refreshEnds(now time.Time) {
	for id, j := range p.jobs {
		if j.status.State == api.Running && !j.expectedEnd.IsZero() && j.expectedEnd.Before(now) {
			j.expectedEnd = p.predictEnd(j, now)
			p.tree.Expect(id, j.expectedEnd)
		}
	}
}

// gentle reports whether the job still waits rather than break up an idle cell
// of the largest guaranteed shape.
func (p *Placer) keepLarge(j *job, class cell.Class, now time.Time) bool {
	if class != cell.Spare || p.layout.Rank.Whole == 0 {
		return false
	}
	until := j.status.Submitted.Add(p.layout.Rank.Whole)
	if !now.Before(until) {
		return false
	}
	p.wakeBy(until)
	return true
}
