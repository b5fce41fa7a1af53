package placer

import (
	"time"

	"rhubarbshore/internal/cell"
	"rhubarbshore/internal/estimate"
	"rhubarbshore/internal/metric"
	"rhubarbshore/pkg/api"
)

// runTimeQuantile is the quantile of run times that placements are based on.
const runTimeQuantile = 0.7

// estimateKey identifies the job's history in the estimator.
func (j *job) estimateKey() estimate.Run {
	return estimate.Run{
		Customer: j.status.Job.Customer, Level: j.level,
		Declared: time.Duration(j.status.Job.Seconds * float64(time.Second)),
	}
}

// remaining returns the part of the declared run time, in seconds, whose work is not
// saved yet, or 0 if no run time was declared.
func (j *job) remaining() float64 {
	if j.status.Job.Seconds <= 0 {
		return 0
	}
	return max(minRemaining, j.status.Job.Seconds-j.saved)
}

// runTime returns how long the job has run in total, counting only saved work and
// the current run.
func (j *job) runTime(now time.Time) time.Duration {
	runTime := time.Duration(j.saved * float64(time.Second))
	if j.status.State == api.Running {
		runTime += now.Sub(j.status.Started)
	}
	return runTime
}

// predictEnd returns when the job is likely to end if it runs from now on, or zero if
// its run time was not declared.
func (p *Placer) predictEnd(j *job, now time.Time) time.Time {
	if j.status.Job.Seconds <= 0 {
		return time.Time{}
	}
	runTime := j.runTime(now)
	return now.Add(p.runTimes.Quantile(j.estimateKey(), runTime, runTimeQuantile) - runTime)
}

// observeRunTime feeds the estimators with a job that ran to its end.
func (p *Placer) observeRunTime(j *job, now time.Time) {
	took := j.runTime(now)
	if j.status.Job.Seconds > 0 {
		metric.Seconds("job_estimate_error_seconds", (p.runTimes.Quantile(j.estimateKey(), 0, runTimeQuantile) - took).Abs())
	}
	p.runTimes.Observe(j.estimateKey(), took)
	p.observeMemory(j)
}

// refreshEnds predicts the end anew for jobs that have passed their expected end.
func (p *Placer) refreshEnds(now time.Time) {
	for id, j := range p.jobs {
		if j.status.State == api.Running && !j.expectedEnd.IsZero() && j.expectedEnd.Before(now) {
			j.expectedEnd = p.predictEnd(j, now)
			p.tree.SetExpectedEnd(id, j.expectedEnd)
		}
	}
}

// keepLarge reports whether the job may not yet break up an idle cell of the largest
// guaranteed shape. Spare work may do so once it has waited for Rank.Whole.
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
