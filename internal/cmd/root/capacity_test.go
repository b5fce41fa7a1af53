package root

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbshore/examples"
	"rhubarbshore/internal/config"
	"rhubarbshore/internal/settings"
	"rhubarbshore/pkg/api"
)

// usage is the resource usage of one daemon since its start.
type usage struct {
	cpu   time.Duration
	rss   float64            // MiB
	bytes map[string]float64 // sent and received, by role
}

// clockTick is the unit of CPU time in /proc/PID/stat, at 100 ticks a second.
const clockTick = 10 * time.Millisecond

func (p *vmProcess) usage(t *testing.T) usage {
	t.Helper()
	u := usage{bytes: map[string]float64{}}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	assert.NilError(t, err)
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	for _, i := range []int{11, 12} {
		n, _ := strconv.Atoi(fields[i])
		u.cpu += time.Duration(n) * clockTick
	}
	pages, _ := strconv.Atoi(fields[21])
	u.rss = float64(pages*os.Getpagesize()) / (1 << 20)
	resp, err := http.Get("http://" + p.address + "/metrics")
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		name, value, ok := strings.Cut(lines.Text(), " ")
		if role, found := strings.CutPrefix(name, `rhubarbshore_bytes_total{role="`); ok && found {
			v, _ := strconv.ParseFloat(value, 64)
			u.bytes[role[:strings.IndexByte(role, '"')]] += v
		}
	}
	return u
}

// capacityFiles returns the configuration of a one-zone site with the given
// number of workers. As at the design size, a rack has 25 workers with 1.6
// accelerators each on average.
func capacityFiles(t *testing.T, workers int) config.Files {
	t.Helper()
	text, err := examples.Files.ReadFile("splints/base.toml")
	assert.NilError(t, err)
	var racks []string
	for left := workers; left > 0; left -= 25 {
		var rack []string
		for i := range min(left, 25) {
			rack = append(rack, []string{"1", "2", "1", "2", "2"}[i%5])
		}
		racks = append(racks, "["+strings.Join(rack, ",")+"]")
	}
	base := strings.NewReplacer("[site]\n", "[site]\nlayout = ["+strings.Join(racks, ",")+"]\n",
		"count = 2", "count = 0", "count = 1", "count = 0", "worker = 8", "worker = 1", "rack = 64", "rack = 32").Replace(string(text))
	return config.Files{Base: base, Overlays: map[string]string{"ro-a": "", "ro-b": ""}}
}

// TestCapacity logs the CPU, memory and control traffic of daemons with their
// default deadlines at several sizes. Set CAPACITY to the number of seconds to
// measure each size. In the names of subtests, plain is the number of jobs
// without accelerators.
func TestCapacity(t *testing.T) {
	seconds, err := strconv.Atoi(os.Getenv("CAPACITY"))
	if err != nil {
		t.Skip("set CAPACITY to the number of seconds to measure each size")
	}
	for _, c := range []struct {
		workers, vms, jobs, cpuJobs int
		churn                       bool
	}{{17, 2, 0, 0, false}, {56, 2, 0, 0, false}, {167, 2, 0, 0, false}, {167, 5, 0, 0, false}, {167, 5, 100, 0, false}, {167, 5, 100, 0, true}, {167, 5, 100, 450, true}} {
		t.Run(fmt.Sprintf("workers=%d/vms=%d/jobs=%d/plain=%d/churn=%t", c.workers, c.vms, c.jobs, c.cpuJobs, c.churn), func(t *testing.T) {
			cl := startClusterWith(t, capacityFiles(t, c.workers), c.vms, settings.Default().Deadlines)
			for i := range c.jobs {
				_, err := cl.client.Submit(cl.ctx, api.Job{ID: fmt.Sprint("j", i), Customer: "carpatin", Zone: "ro-a", Accelerators: 2, Cells: 1, Tasks: 20, Worth: 1})
				assert.NilError(t, err)
			}
			for i := range c.cpuJobs {
				_, err := cl.client.Submit(cl.ctx, api.Job{ID: fmt.Sprint("p", i), Customer: "carpatin", Zone: "ro-a", Tasks: 5, Cores: 0.5, Memory: 2, Worth: 1})
				assert.NilError(t, err)
			}
			time.Sleep(8 * time.Second)
			if c.churn {
				go cl.churn()
			}
			cl.logUsage(seconds)
		})
	}
}

// churnInterval is the time between configuration changes, for 7,200 a day.
const churnInterval = 12 * time.Second

// churn publishes small configuration changes at the rate of the design size
// until the context ends.
func (cl *cluster) churn() {
	for i := 0; cl.ctx.Err() == nil; i++ {
		v, err := cl.client.Config(cl.ctx)
		if err != nil {
			return
		}
		base := v.Base + fmt.Sprintf("# change %d\n", i)
		_, _ = cl.client.Publish(cl.ctx, api.Publish{Parent: v.Version, Author: "churn", Base: base, Overlays: v.Overlays})
		time.Sleep(churnInterval)
	}
}

// logUsage logs each daemon's average resource usage over some seconds.
func (cl *cluster) logUsage(seconds int) {
	before := map[string]usage{}
	for name, p := range cl.vms {
		before[name] = p.usage(cl.t)
	}
	time.Sleep(time.Duration(seconds) * time.Second)
	var list api.VMList
	list, err := cl.client.VMs(cl.ctx)
	assert.NilError(cl.t, err)
	for _, v := range list.VMs {
		p := cl.vms[v.Name]
		u, b := p.usage(cl.t), before[v.Name]
		rate := func(role string) float64 { return (u.bytes[role] - b.bytes[role]) / float64(seconds) }
		cl.t.Logf("%-8s placer=%-5t cpu %.2f%%  rss %.1f MB  control %.0f B/s: peer %.0f served %.0f platform %.0f worker %.0f",
			v.Name, v.Placer, 100*(u.cpu-b.cpu).Seconds()/float64(seconds), u.rss,
			rate("peer")+rate("served")+rate("platform")+rate("worker"), rate("peer"), rate("served"), rate("platform"), rate("worker"))
	}
}
