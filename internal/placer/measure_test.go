package placer

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"sort"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbshore/examples"
	"rhubarbshore/internal/capacity"
	"rhubarbshore/internal/cell"
	"rhubarbshore/internal/config"
	"rhubarbshore/internal/standin"
	"rhubarbshore/internal/worker"
	"rhubarbshore/pkg/api"
)

// maxBias is the largest factor, either way, by which a customer's declared run times
// are consistently off.
const maxBias = 2.5

// arrival is a job of a simulated stream.
type arrival struct {
	at  time.Duration
	job api.Job
	// runTime is the actual run time, which differs from the declared one.
	runTime time.Duration
	// window is the time from arrival to completion within which the job's worth counts.
	window time.Duration
	urgent bool
}

// stream describes the job arrivals in one zone.
type stream struct {
	name   string
	layout cell.Config
	hours  int
	jobs   int
	// sizes are the job sizes in accelerators, and shares their probabilities.
	sizes         []int
	shares        []float64
	medianRunTime time.Duration
}

// largestLevel returns the level of the largest guaranteed cell.
func (s stream) largestLevel() int {
	level := 0
	for _, g := range s.layout.Guarantees {
		level = max(level, g.Level)
	}
	return level
}

func (s stream) customers() []string {
	seen := map[string]bool{}
	var out []string
	for _, g := range s.layout.Guarantees {
		if !seen[g.Customer] {
			seen[g.Customer] = true
			out = append(out, g.Customer)
		}
	}
	return out
}

// generate returns the arrivals for a seed: Poisson arrivals with bursts, log-normal run
// times, and declarations that are off by up to a factor of four either way. That factor
// combines a bias of the customer with a random deviation of the job.
func (s stream) generate(seed uint64) []arrival {
	rng := rand.New(rand.NewPCG(seed, 1))
	noise := rand.New(rand.NewPCG(seed, 2))
	customers := s.customers()
	bias := map[string]float64{}
	for _, c := range customers {
		bias[c] = math.Exp((2*noise.Float64() - 1) * math.Log(maxBias))
	}
	var out []arrival
	for i := range s.jobs {
		at := time.Duration(rng.Float64() * float64(s.hours) * float64(time.Hour))
		if i%5 == 0 {
			// Every fifth job is part of a burst on the hour.
			at = at.Truncate(time.Hour)
		}
		size := s.sizes[pick(rng, s.shares)]
		runTime := time.Duration(float64(s.medianRunTime) * math.Exp(0.8*rng.NormFloat64()))
		a := arrival{at: at, runTime: runTime, window: 3*runTime + 10*time.Minute}
		a.job = api.Job{
			ID: fmt.Sprintf("j%04d", i), Customer: customers[rng.IntN(len(customers))], Accelerators: size, Cells: 1, Tasks: size,
			Worth: float64(size) * (1 + rng.Float64()),
		}
		deviation := bias[a.job.Customer] * math.Exp((2*noise.Float64()-1)*math.Log(4/maxBias))
		a.job.Seconds = runTime.Seconds() * deviation
		if i%10 == 0 {
			a.urgent = true
			a.job.Class = "guaranteed"
			a.job.Accelerators = s.guaranteedSize(a.job.Customer)
		}
		out = append(out, a)
	}
	sort.SliceStable(out, func(i, k int) bool { return out[i].at < out[k].at })
	return out
}

// guaranteedSize returns the number of accelerators of the customer's guaranteed cell.
func (s stream) guaranteedSize(customer string) int {
	for _, g := range s.layout.Guarantees {
		if g.Customer == customer {
			return cell.Size(g.Level)
		}
	}
	return 1
}

// pick returns a random index, distributed by shares.
func pick(rng *rand.Rand, shares []float64) int {
	x := rng.Float64()
	for i, s := range shares {
		if x -= s; x < 0 {
			return i
		}
	}
	return len(shares) - 1
}

// jobResult is the outcome of a job of the stream.
type jobResult struct {
	arrival
	began, ended time.Duration
	// promised is set for urgent work whose customer had an unused guarantee for it
	// when it arrived.
	promised bool
}

// runStats summarizes a run.
type runStats struct {
	// worth is the share of the total worth that was completed within its window.
	worth float64
	// mean and p99 are of the time from arrival to completion.
	mean, p99 time.Duration
	// largeWait is the mean wait of jobs of the largest guaranteed size or more.
	largeWait time.Duration
	// urgent is the 99th percentile of the wait of promised urgent work.
	urgent        time.Duration
	fragmentation float64
	// stopped is the number of jobs stopped to make room for others.
	stopped    int
	unfinished int
}

func summarize(results []jobResult, fragmentation []float64, largeLevel int) runStats {
	var stats runStats
	var total float64
	var completionTimes, largeWaits, urgent []time.Duration
	for _, r := range results {
		total += r.job.Worth
		if r.ended == 0 {
			stats.unfinished++
			continue
		}
		if r.ended-r.at <= r.window {
			stats.worth += r.job.Worth
		}
		completionTimes = append(completionTimes, r.ended-r.at)
		if cell.Level(r.job.Accelerators) >= largeLevel {
			largeWaits = append(largeWaits, r.began-r.at)
		}
		if r.promised {
			urgent = append(urgent, r.began-r.at)
		}
	}
	stats.worth /= total
	stats.mean, stats.p99 = mean(completionTimes), quantile(completionTimes, 0.99)
	stats.largeWait = mean(largeWaits)
	stats.urgent = quantile(urgent, 0.99)
	for _, f := range fragmentation {
		stats.fragmentation += f / float64(len(fragmentation))
	}
	return stats
}

func mean(all []time.Duration) time.Duration {
	if len(all) == 0 {
		return 0
	}
	var sum time.Duration
	for _, d := range all {
		sum += d
	}
	return sum / time.Duration(len(all))
}

func quantile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	sort.Slice(all, func(i, k int) bool { return all[i] < all[k] })
	return all[min(len(all)-1, int(q*float64(len(all))))]
}

func (s runStats) String() string {
	round := func(d time.Duration) time.Duration { return d.Round(time.Second) }
	return fmt.Sprintf("worth %.3f  mean %-8s p99 %-8s large-wait %-8s urgent-p99 %-6s frag %.3f  reclaims %-4d unfinished %d",
		s.worth, round(s.mean), round(s.p99), round(s.largeWait), s.urgent.Round(time.Millisecond), s.fragmentation, s.stopped, s.unfinished)
}

// runPlacer simulates the stream with a Placer and simulated workers.
func runPlacer(t *testing.T, s stream, rank cell.Rank, seed uint64) runStats {
	var stats runStats
	synctest.Test(t, func(t *testing.T) {
		s.layout.Rank = rank
		arrivals := s.generate(seed)
		runtime := trueRuntime(arrivals)
		z := &zone{t: t, workers: map[string]*standin.Worker{}, layout: s.layout, journal: &memoryJournal{ended: map[string]bool{}}}
		for _, r := range s.layout.Racks {
			for _, w := range r.Workers {
				z.workers[w.Name] = standin.NewWorker(standin.WorkerConfig{Name: w.Name, Accelerators: w.Accelerators, Runtime: runtime})
			}
		}
		v := z.startForStream(s)
		time.Sleep(2 * time.Second)
		stats = z.replay(v, s, arrivals)
		v.kill()
		time.Sleep(time.Minute)
	})
	return stats
}

// trueRuntime returns a function that tells simulated workers the actual run time of a
// lease's tasks.
func trueRuntime(arrivals []arrival) func(worker.Lease) time.Duration {
	runTimes := map[string]time.Duration{}
	for _, a := range arrivals {
		runTimes[a.job.ID] = a.runTime
	}
	return func(l worker.Lease) time.Duration {
		left := runTimes[l.Job] - time.Duration(l.Spec.Saved*float64(time.Second))
		return max(left, time.Millisecond)
	}
}

// startForStream starts a placer that is configured for the stream's customers.
func (z *zone) startForStream(s stream) *vm {
	v := z.startVM("vm")
	limits := map[string]int{}
	for _, c := range s.customers() {
		limits[c] = 10_000
	}
	v.placer.SetLayout(s.layout, capacity.Size{}, limits)
	return v
}

// replay submits the arrivals and samples the placer's state for twice the duration of
// the stream.
func (z *zone) replay(v *vm, s stream, arrivals []arrival) runStats {
	begin := time.Now()
	results := map[string]*jobResult{}
	var fragmentation []float64
	next := 0
	reclaims := 0
	for now := time.Duration(0); now < 2*time.Duration(s.hours)*time.Hour; now = time.Since(begin) {
		for next < len(arrivals) && arrivals[next].at <= now {
			a := arrivals[next]
			results[a.job.ID] = &jobResult{arrival: a, promised: a.urgent && z.hasUnusedGuarantee(v, a.job)}
			z.submit(a.job)
			next++
		}
		if int(now/time.Second)%60 == 0 {
			fragmentation = append(fragmentation, z.sample(v, s.largestLevel(), begin, results, &reclaims))
		}
		wake := now.Truncate(time.Minute) + time.Minute
		if next < len(arrivals) {
			wake = min(wake, arrivals[next].at)
		}
		time.Sleep(max(wake-time.Since(begin), time.Millisecond))
	}
	var all []jobResult
	for _, a := range arrivals {
		all = append(all, *results[a.job.ID])
	}
	stats := summarize(all, fragmentation, s.largestLevel())
	stats.stopped = reclaims
	return stats
}

// hasUnusedGuarantee reports whether the job's customer has an unused guarantee that can
// hold the job.
func (z *zone) hasUnusedGuarantee(v *vm, j api.Job) bool {
	found := false
	_ = v.placer.runSync(context.Background(), func() {
		for _, u := range v.placer.tree.Units() {
			_, bound := u.Bound()
			found = found || u.Customer() == j.Customer && u.Level() >= cell.Level(j.Accelerators) && !bound
		}
	})
	return found
}

// sample records which jobs began and ended, and returns the fragmentation.
func (z *zone) sample(v *vm, level int, begin time.Time, results map[string]*jobResult, reclaims *int) float64 {
	fragmentation := 0.0
	_ = v.placer.runSync(context.Background(), func() {
		fragmentation = v.placer.tree.Fragmentation(level)
		*reclaims = v.placer.reclaims
		assert.NilError(z.t, v.placer.tree.Check())
		for id, j := range v.placer.jobs {
			r := results[id]
			if r == nil {
				continue
			}
			if r.began == 0 && !j.firstStart.IsZero() {
				r.began = j.firstStart.Sub(begin)
			}
			if r.ended == 0 && j.status.State == api.Finished {
				r.ended = j.status.Ended.Sub(begin)
			}
		}
	})
	return fragmentation
}

// runNaive simulates the stream with a naive scheduler: first fit from a single queue in
// order of arrival, without guarantees and without stopping any job.
func runNaive(s stream, seed uint64) runStats {
	tree := cell.NewTree(cell.Config{Levels: s.layout.Levels, Racks: s.layout.Racks})
	arrivals := s.generate(seed)
	results := make([]jobResult, len(arrivals))
	ends := map[int]time.Duration{}
	var queue []int
	var fragmentation []float64
	next := 0
	for now := time.Duration(0); now < 2*time.Duration(s.hours)*time.Hour; now += time.Second {
		for i, end := range ends {
			if end <= now {
				tree.Release(arrivals[i].job.ID)
				results[i].ended = end
				delete(ends, i)
			}
		}
		for next < len(arrivals) && arrivals[next].at <= now {
			results[next] = jobResult{arrival: arrivals[next]}
			queue = append(queue, next)
			next++
		}
		for len(queue) > 0 {
			i := queue[0]
			_, err := tree.Place(cell.Request{Job: arrivals[i].job.ID, Level: cell.Level(arrivals[i].job.Accelerators), Count: 1, Class: cell.Spare}, time.Time{})
			if err != nil {
				break
			}
			queue = queue[1:]
			results[i].began = now
			results[i].promised = results[i].urgent
			ends[i] = now + arrivals[i].runTime
		}
		if int(now/time.Second)%60 == 0 {
			fragmentation = append(fragmentation, tree.Fragmentation(s.largestLevel()))
		}
	}
	return summarize(results, fragmentation, s.largestLevel())
}

// exampleStream returns a stream for a zone of one of the example deployments.
func exampleStream(t *testing.T, name, zone string) stream {
	base, err := examples.Files.ReadFile(name + "/base.toml")
	assert.NilError(t, err)
	cfg, err := config.Parse(string(base), "", zone)
	assert.NilError(t, err)
	return stream{
		name: name, layout: cfg.Tree(zone), hours: 12, jobs: 240, medianRunTime: 45 * time.Minute,
		sizes: []int{1, 2, 4, 8, 16, 32}, shares: []float64{0.3, 0.2, 0.2, 0.15, 0.1, 0.05},
	}
}

// designStream returns a stream for a zone of about the size that the project is designed
// for: one of twelve zones with 167 workers, 267 accelerators, 170 customers and 117 jobs
// a day. The stream's zone has 168 workers with 0 to 8 accelerators, 228 in all.
func designStream() stream {
	layout := cell.Config{Levels: cell.Levels{Worker: 1, Rack: 5}}
	sizes := []int{0, 0, 0, 0, 1, 1, 2, 2, 2, 8}
	for r := range 6 {
		rack := cell.Rack{Name: fmt.Sprint("r", r)}
		for i := range 28 {
			rack.Workers = append(rack.Workers, cell.Worker{Name: fmt.Sprintf("r%d-w%d", r, i), Accelerators: sizes[i%len(sizes)]})
		}
		layout.Racks = append(layout.Racks, rack)
	}
	for c := range 170 {
		g := cell.Guarantee{Customer: fmt.Sprintf("c%03d", c), Order: c, Level: 0, Count: 1}
		if c == 0 {
			g.Level = 5
		}
		if c > 0 && c < 5 {
			g.Level = 3
		}
		layout.Guarantees = append(layout.Guarantees, g)
	}
	return stream{
		name: "design", layout: layout, hours: 24, jobs: 117, medianRunTime: 4 * time.Hour,
		sizes: []int{1, 2, 4, 8, 32, 128}, shares: []float64{0.4, 0.2, 0.15, 0.15, 0.08, 0.02},
	}
}

// seedCount returns the number of seeds to run: the variable SEEDS, or the fallback.
func seedCount(fallback int) int {
	n, err := strconv.Atoi(os.Getenv("SEEDS"))
	if err != nil {
		return fallback
	}
	return n
}

// average returns the mean of each statistic, except for urgent, which is the maximum,
// and stopped and unfinished, which are totals.
func average(all []runStats) runStats {
	n := len(all)
	var stats runStats
	for _, o := range all {
		stats.worth += o.worth / float64(n)
		stats.fragmentation += o.fragmentation / float64(n)
		stats.mean += o.mean / time.Duration(n)
		stats.p99 += o.p99 / time.Duration(n)
		stats.largeWait += o.largeWait / time.Duration(n)
		stats.urgent = max(stats.urgent, o.urgent)
		stats.stopped += o.stopped
		stats.unfinished += o.unfinished
	}
	return stats
}

// runSeeds runs the stream for each seed in parallel.
func runSeeds(t *testing.T, seeds int, run func(t *testing.T, seed uint64) runStats) []runStats {
	all := make([]runStats, seeds)
	t.Run("seeds", func(t *testing.T) {
		for seed := range all {
			t.Run(strconv.Itoa(seed), func(t *testing.T) {
				t.Parallel()
				all[seed] = run(t, uint64(seed))
			})
		}
	})
	return all
}

// TestMeasures compares the placer with the naive scheduler on the same random streams,
// and checks the start of urgent work. The variable SEEDS sets the number of seeds; the
// default is one.
func TestMeasures(t *testing.T) {
	t.Parallel()
	streams := []stream{exampleStream(t, "robes", "si-a"), exampleStream(t, "splints", "ro-a"), designStream()}
	tables := make([]strings.Builder, len(streams))
	t.Run("streams", func(t *testing.T) {
		for i, s := range streams {
			t.Run(s.name, func(t *testing.T) {
				t.Parallel()
				measureStream(t, s, &tables[i])
			})
		}
	})
	for i := range tables {
		t.Log("\n" + tables[i].String())
	}
}

func measureStream(t *testing.T, s stream, table *strings.Builder) {
	naive := runSeeds(t, seedCount(1), func(_ *testing.T, seed uint64) runStats { return runNaive(s, seed) })
	placer := runSeeds(t, seedCount(1), func(t *testing.T, seed uint64) runStats { return runPlacer(t, s, s.layout.Rank, seed) })
	for seed, stats := range placer {
		fmt.Fprintf(table, "%-8s seed %d naive  %s\n%-8s seed %d placer %s\n", s.name, seed, naive[seed], s.name, seed, stats)
		assert.Assert(t, stats.urgent <= urgentLimit, "%s: urgent work started after %s", s.name, stats.urgent)
	}
	fmt.Fprintf(table, "%-8s mean   naive  %s\n%-8s mean   placer %s\n", s.name, average(naive), s.name, average(placer))
}

// TestCurve measures the effect of different values of cell.Rank.Whole. It runs only if
// the variable CURVE is set.
func TestCurve(t *testing.T) {
	if os.Getenv("CURVE") == "" {
		t.Skip("set CURVE to measure the curve")
	}
	var table strings.Builder
	for _, s := range []stream{exampleStream(t, "robes", "si-a"), exampleStream(t, "splints", "ro-a"), designStream()} {
		for _, whole := range []time.Duration{0, 5 * time.Minute, 20 * time.Minute, time.Hour, 4 * time.Hour, 100 * time.Hour} {
			rank := cell.Rank{Lost: s.layout.Rank.Lost, Broken: s.layout.Rank.Broken, Whole: whole}
			all := runSeeds(t, seedCount(1), func(t *testing.T, seed uint64) runStats { return runPlacer(t, s, rank, seed) })
			fmt.Fprintf(&table, "%-8s whole %-8s %s\n", s.name, whole, average(all))
		}
	}
	t.Log("\n" + table.String())
}
