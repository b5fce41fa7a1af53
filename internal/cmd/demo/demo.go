// Package demo runs a small site in one process, injects faults under load, and
// checks the outcomes that callers received.
package demo

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"

	"rhubarbshore/examples"
	"rhubarbshore/internal/cmdutil"
	"rhubarbshore/internal/ledger"
	"rhubarbshore/internal/site"
	"rhubarbshore/internal/standin"
	"rhubarbshore/pkg/api"
	"rhubarbshore/pkg/client"
)

// Sizes of the demo of availability zones.
const (
	callerCount    = 16
	minionsPerZone = 4
	workTime       = 2 * time.Millisecond
	callerTimeout  = 10 * time.Second
)

// Options are the command's flags.
type Options struct {
	Path       string `help:"What to run: one pool on the users' platform, or a placer for each availability zone." enum:"pool,zones" default:"pool"`
	Deployment string `help:"The example to run." enum:"robes,splints" default:"robes"`
	Requests   int    `help:"Requests to send." default:"2000"`
	Verbose    bool   `help:"Show the daemons' logs."`
	JSON       bool   `help:"Print the report as JSON."`
}

// Help implements kong.HelpProvider.
func (o *Options) Help() string {
	return `By default, three entry VMs schedule gangs and tasks on workers, all against
stand-ins of the users' platform on loopback. The VM that schedules is killed, the
store is unavailable for a while, and a worker crashes. The command exits with 1 if
a job does not complete or a rule is broken.

With --path zones, three availability zones with an entry VM each, the platform, 50 workers and
minions run on loopback. While requests and gang jobs are running, one entry VM
is killed and replaced, the platform's log is unavailable for a while, and a minion
drops its responses. At the end, the stand-ins' ledger is compared with the outcomes
that callers received; the command exits with 1 if they differ.

Examples:
  rhubarbshore demo
  rhubarbshore demo --path zones --requests 5000`
}

// Run runs the demo.
func (o *Options) Run(f *cmdutil.Factory) error {
	ctx, cancel := context.WithTimeout(context.Background(), max(f.Timeout, time.Minute))
	defer cancel()
	logger := slog.New(slog.DiscardHandler)
	if o.Verbose {
		logger = slog.New(slog.NewTextHandler(f.IO.Err, nil))
	}
	if o.Path == "pool" {
		return o.runPool(f, logger)
	}
	files, err := site.ReadExample(examples.Files, o.Deployment)
	if err != nil {
		return err
	}
	writeLine(f.IO.Err, "starting a site with %d availability zones", len(files.Overlays))
	s, err := site.Start(site.Config{Files: files, VMs: 1, Minions: minionsPerZone, RequestTime: workTime, Logger: logger, Deadlines: site.Deadlines()})
	if err != nil {
		return err
	}
	defer s.Close()
	d := &demoRun{o: o, site: s, client: s.Client(), out: f.IO.Err}
	if err := d.runScenario(ctx); err != nil {
		return err
	}
	return o.report(f, d.compare())
}

func writeLine(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }

// demoRun is one run of the demo of availability zones.
type demoRun struct {
	o      *Options
	site   *site.Site
	client *client.Client
	out    io.Writer

	mu      sync.Mutex
	results []ledger.Exchange
}

// runScenario publishes the configuration, sends jobs and requests while it
// injects faults, and waits for the jobs.
func (d *demoRun) runScenario(ctx context.Context) error {
	published, err := d.site.Publish(ctx, d.client)
	if err != nil {
		return err
	}
	writeLine(d.out, "configuration %d in force on all entry VMs", published.Number)
	if err := d.submitJobs(ctx); err != nil {
		return err
	}
	var wg sync.WaitGroup
	for c := range callerCount {
		wg.Go(func() { d.sendRequests(ctx, c) })
	}
	wg.Go(func() { d.injectFaults(ctx) })
	wg.Wait()
	return d.awaitJobs(ctx)
}

// submitJobs submits two jobs to each zone: a gang with 16 accelerators, which
// takes two neighbouring workers, and a job without accelerators.
func (d *demoRun) submitJobs(ctx context.Context) error {
	for _, zone := range d.site.Zones() {
		jobs := []api.Job{
			{ID: "gang-" + zone, Customer: d.customer(), Zone: zone, Accelerators: 16, Cells: 1, Tasks: 16, Worth: 1, Seconds: 3},
			{ID: "tasks-" + zone, Customer: d.customer(), Zone: zone, Tasks: 40, Cores: 4, Memory: 8, Worth: 1, Seconds: 3},
		}
		for _, j := range jobs {
			status, err := d.client.Submit(ctx, j)
			if err != nil {
				return err
			}
			writeLine(d.out, "job %s: %s", status.Job.ID, status.State)
		}
	}
	return nil
}

// customer returns the example's first customer, whose guarantee covers the gang.
func (d *demoRun) customer() string {
	if d.o.Deployment == "robes" {
		return "parishes"
	}
	return "carpatin"
}

// requestKinds returns an idempotent and a non-idempotent kind of the example.
func (d *demoRun) requestKinds() (idempotent, nonIdempotent string) {
	if d.o.Deployment == "robes" {
		return "fitting", "reminder"
	}
	return "check", "certification"
}

// sendRequests sends one caller's requests and records their responses.
func (d *demoRun) sendRequests(ctx context.Context, caller int) {
	idempotent, nonIdempotent := d.requestKinds()
	for i := caller; i < d.o.Requests; i += callerCount {
		in := api.Request{ID: fmt.Sprintf("request-%d", i), Customer: d.customer(), Kind: nonIdempotent, Body: fmt.Appendf(nil, "body %d", i)}
		if i%2 == 0 {
			in.Kind = idempotent
		}
		o := client.Options{}
		if i%4 == 1 {
			o.Key = fmt.Sprintf("key-%d", i)
		}
		ctx, cancel := context.WithTimeout(ctx, callerTimeout)
		resp, err := d.client.Send(ctx, in, o)
		cancel()
		if err != nil {
			resp = api.Response{Outcome: api.Retry, Reason: err.Error()}
		}
		d.mu.Lock()
		d.results = append(d.results, ledger.Exchange{Request: in, Idempotent: i%2 == 0, Response: resp})
		d.mu.Unlock()
	}
}

// injectFaults makes parts of the site fail and recover.
func (d *demoRun) injectFaults(ctx context.Context) {
	zone := d.site.Zones()[0]
	name := zone + "-vm1"
	sleep(ctx, 200*time.Millisecond)
	writeLine(d.out, "killing %s and starting its replacement", name)
	d.site.VMs[name].Kill()
	if err := d.site.StartVM(zone, name+"b"); err != nil {
		writeLine(d.out, "the replacement failed to start: %v", err)
	}
	delete(d.site.VMs, name)
	sleep(ctx, 200*time.Millisecond)
	writeLine(d.out, "the platform's log is unavailable for a second")
	d.site.Platform.SetFault(standin.Fault{Unavailable: true})
	sleep(ctx, time.Second)
	d.site.Platform.SetFault(standin.Fault{})
	for _, m := range d.site.Minions {
		writeLine(d.out, "minion %s drops its responses", m.Name())
		m.SetFault(standin.MinionFault{DropResponses: true})
		sleep(ctx, 300*time.Millisecond)
		m.SetFault(standin.MinionFault{})
		break
	}
}

// awaitJobs waits until as many jobs have finished as there are zones.
func (d *demoRun) awaitJobs(ctx context.Context) error {
	for ctx.Err() == nil {
		list, err := d.client.Jobs(ctx)
		finished := 0
		for _, j := range list.Jobs {
			if j.State == api.Finished {
				finished++
			}
		}
		if err == nil && finished >= len(d.site.Zones()) {
			writeLine(d.out, "all jobs finished")
			return nil
		}
		sleep(ctx, 100*time.Millisecond)
	}
	return ctx.Err()
}

// maxPartialTime returns how long a gang may run with only some of its members: a
// lease term plus the clock drift.
func maxPartialTime() time.Duration {
	d := site.Deadlines()
	return time.Duration(d.Term) + time.Duration(d.Drift)
}

func (d *demoRun) compare() ledger.Report {
	return ledger.Compare(d.results, d.site.Runs(), d.site.Spans(), maxPartialTime(), time.Now())
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// report prints the comparison. It fails if a response contradicts the ledger.
func (o *Options) report(f *cmdutil.Factory, r ledger.Report) error {
	if o.JSON {
		if err := f.IO.WriteJSON(r); err != nil {
			return err
		}
	} else {
		o.print(f.IO.Out, r)
	}
	if len(r.Faults) > 0 {
		return cmdutil.ErrSilent
	}
	return nil
}

func (o *Options) print(w io.Writer, r ledger.Report) {
	for _, outcome := range []api.Outcome{api.Done, api.Failed, api.NotRun, api.Unknown, api.Retry} {
		writeLine(w, "outcome %s\t%d", outcome, r.Outcomes[outcome])
	}
	writeLine(w, "runs by minions\t%d", r.Runs)
	writeLine(w, "gangs run\t%d, incomplete for at most %s of %s allowed", r.Gangs, r.LongestPartial.Round(time.Millisecond), maxPartialTime())
	for _, fault := range r.Faults {
		writeLine(w, "FAULT\t%s", fault)
	}
	if len(r.Faults) == 0 {
		writeLine(w, "the ledger agrees with all responses")
	}
}
