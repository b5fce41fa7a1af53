package demo

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"rhubarbshore/internal/cmdutil"
	"rhubarbshore/internal/node"
	"rhubarbshore/internal/scheduler"
	"rhubarbshore/internal/site"
	"rhubarbshore/internal/standin"
	"rhubarbshore/platform"
	"rhubarbshore/platform/platformtest"
)

// Sizes and times of the pool demo.
const (
	poolVMs         = 3
	poolWorkers     = 6
	poolJobs        = 24
	poolTimeout     = 90 * time.Second
	poolStoreOutage = 1500 * time.Millisecond
)

// poolReport is the result of the pool demo.
type poolReport struct {
	Jobs      int      `json:"jobs"`
	Completed int      `json:"completed"`
	Attempts  int      `json:"attempts"`
	Runs      int      `json:"runs"`
	Broken    []string `json:"broken"`
}

// runPool runs entry VMs against stand-ins of the users' platform. While jobs run,
// it kills the leader, makes the store unavailable for a while and crashes a worker.
func (o *Options) runPool(f *cmdutil.Factory, logger *slog.Logger) error {
	ctx, cancel := context.WithTimeout(context.Background(), poolTimeout)
	defer cancel()
	p, err := platformtest.New(platformtest.Config{Workers: poolWorkers, TaskTime: func(string) time.Duration { return 700 * time.Millisecond }})
	if err != nil {
		return err
	}
	defer p.Close()
	p.Publish(1)
	nodes, addresses, err := startNodes(ctx, p, logger)
	if err != nil {
		return err
	}
	writeLine(f.IO.Err, "%d entry VMs and %d workers with 8 accelerators each", poolVMs, poolWorkers)
	report, err := runPoolJobs(ctx, f, p, nodes, addresses)
	for _, n := range nodes {
		n.Kill()
	}
	if err != nil {
		return err
	}
	if o.JSON {
		err = f.IO.WriteJSON(report)
	} else {
		_, err = fmt.Fprintf(f.IO.Out, "jobs %d, completed %d, submission attempts %d, runs %d, rules broken %d\n",
			report.Jobs, report.Completed, report.Attempts, report.Runs, len(report.Broken))
	}
	if err == nil && (report.Completed < report.Jobs || len(report.Broken) > 0) {
		return errorx.AssertionFailed.New("%d of %d jobs completed; broken rules: %v", report.Completed, report.Jobs, report.Broken)
	}
	return err
}

// startNodes starts the entry VMs and returns them with their client addresses.
func startNodes(ctx context.Context, p *platformtest.Platform, logger *slog.Logger) ([]*node.Node, []string, error) {
	var nodes []*node.Node
	var addresses []string
	dir, err := os.MkdirTemp("", "rhubarbshore")
	if err != nil {
		return nil, nil, errorx.Decorate(err, "create a folder for settings")
	}
	defer func() { _ = os.RemoveAll(dir) }() // remaining files are in the system's temporary folder
	for i := range poolVMs {
		var ports [3]int
		for k := range ports {
			if ports[k], err = site.FreePort(); err != nil {
				return nil, nil, err
			}
		}
		vm := fmt.Sprintf("vm-%d", i+1)
		path := filepath.Join(dir, vm+".toml")
		if err := os.WriteFile(path, []byte(p.Settings(vm, ports[0], ports[1], ports[2])), 0o600); err != nil {
			return nil, nil, errorx.Decorate(err, "write settings")
		}
		cfg, err := platform.LoadFile(path)
		if err != nil {
			return nil, nil, err
		}
		n := node.New(node.Config{Settings: cfg, Logger: logger.With("vm", vm)})
		if err := n.Start(ctx); err != nil {
			return nil, nil, err
		}
		nodes = append(nodes, n)
		addresses = append(addresses, cfg.Clients)
	}
	return nodes, addresses, nil
}

// runPoolJobs submits jobs, injects faults and waits until the jobs have ended.
func runPoolJobs(ctx context.Context, f *cmdutil.Factory, p *platformtest.Platform, nodes []*node.Node, addresses []string) (poolReport, error) {
	report := poolReport{Jobs: poolJobs}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var jobErr error
	for i := range poolJobs {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 200 * time.Millisecond)
			c := platformtest.NewClient(p, addresses)
			id, priority := fmt.Sprintf("%016x", i+1), i%3
			attempts, err := c.Submit(ctx, id, priority, poolSteps(i))
			state := scheduler.Queued
			if err == nil {
				state, err = c.Await(ctx, id, priority)
			}
			mu.Lock()
			defer mu.Unlock()
			report.Attempts += attempts
			if err != nil {
				jobErr = err
			} else if state == scheduler.Completed {
				report.Completed++
			}
		})
	}
	wg.Go(func() { injectPoolFaults(f, p, nodes) })
	wg.Wait()
	report.Runs, report.Broken = p.Fleet.Starts(), p.Fleet.Violations()
	return report, jobErr
}

// poolSteps returns the steps of job i. The jobs vary between gangs, dependent
// steps and tasks with a single accelerator.
func poolSteps(i int) []scheduler.Step {
	first := scheduler.Step{
		Count: 1 + i%4, Need: scheduler.Resources{CPU: 2000, Memory: 2048, Accelerators: int64(1) << (i % 4)},
		Estimate: time.Second, Gang: i%2 == 0,
	}
	if i%5 != 0 {
		return []scheduler.Step{first}
	}
	dependent := scheduler.Step{Count: 3, Need: scheduler.Resources{CPU: 1000, Memory: 1024, Accelerators: 1}, Estimate: time.Second, After: []int{0}}
	return []scheduler.Step{first, dependent}
}

// injectPoolFaults kills the leader, makes the store unavailable for a while and
// crashes a worker, one after the other.
func injectPoolFaults(f *cmdutil.Factory, p *platformtest.Platform, nodes []*node.Node) {
	time.Sleep(time.Second)
	for _, n := range nodes {
		if n.IsLeader() {
			writeLine(f.IO.Err, "killing the leading entry VM")
			n.Kill()
			break
		}
	}
	time.Sleep(time.Second)
	writeLine(f.IO.Err, "making the platform's store unavailable for %s", poolStoreOutage)
	p.Log.SetFault(standin.LogFault{Refuse: true})
	time.Sleep(poolStoreOutage)
	p.Log.SetFault(standin.LogFault{})
	writeLine(f.IO.Err, "crashing a worker")
	p.Crash("i-0000")
}
