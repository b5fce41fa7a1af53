package root

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"

	"rhubarbshore/examples"
	"rhubarbshore/internal/config"
	"rhubarbshore/internal/ledger"
	"rhubarbshore/internal/settings"
	"rhubarbshore/internal/site"
	"rhubarbshore/pkg/api"
	"rhubarbshore/pkg/client"
)

// childVariable is the environment variable that makes the test binary run as
// the rhubarbshore command.
const childVariable = "RHUBARBSHORE_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(childVariable) != "" {
		os.Exit(Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// cluster is a site whose entry VMs run as separate processes.
type cluster struct {
	t      *testing.T
	site   *site.Site
	ctx    context.Context
	vms    map[string]*vmProcess
	client *client.Client

	deadlines settings.Deadlines
}

type vmProcess struct {
	cmd     *exec.Cmd
	address string
}

func startCluster(t *testing.T) *cluster {
	t.Helper()
	files, err := site.ReadExample(examples.Files, "splints")
	assert.NilError(t, err)
	return startClusterWith(t, files, 2, site.Deadlines())
}

// startClusterWith starts vms daemons in each zone of the configuration, and
// waits until the configuration is in force on all of them.
func startClusterWith(t *testing.T, files config.Files, vms int, deadlines settings.Deadlines) *cluster {
	t.Helper()
	s, err := site.Start(site.Config{Files: files, Minions: 4, RequestTime: 2 * time.Millisecond, Logger: slog.New(slog.DiscardHandler)})
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	cl := &cluster{t: t, site: s, ctx: ctx, vms: map[string]*vmProcess{}, deadlines: deadlines}
	t.Cleanup(func() {
		for _, p := range cl.vms {
			_ = p.cmd.Process.Kill()
			_ = p.cmd.Wait()
		}
		s.Close()
		cancel()
	})
	for _, zone := range s.Zones() {
		for i := range vms {
			cl.startVM(zone, fmt.Sprintf("%s-vm%d", zone, i+1))
		}
	}
	cl.client = cl.newClient()
	published, err := cl.client.Publish(ctx, api.Publish{Author: "test", Base: files.Base, Overlays: files.Overlays})
	assert.NilError(t, err)
	cl.await("configuration in force", func() bool {
		for _, p := range cl.vms {
			v, err := cl.client.ConfigAt(ctx, p.address)
			if err != nil || v.Number < published.Number {
				return false
			}
		}
		return true
	})
	return cl
}

// startVM runs a daemon as a child process, registers it with the platform and
// waits until it listens.
func (cl *cluster) startVM(zone, name string) {
	address, err := site.FreeAddress()
	assert.NilError(cl.t, err)
	text, err := toml.Marshal(site.Settings(zone, name, address, cl.site.PlatformURL(), cl.deadlines))
	assert.NilError(cl.t, err)
	path := filepath.Join(cl.t.TempDir(), "vm.toml")
	assert.NilError(cl.t, os.WriteFile(path, text, 0o600))
	cmd := exec.Command(os.Args[0], "serve", "--settings", path)
	cmd.Env = append(os.Environ(), childVariable+"=1")
	logFile, err := os.Create(filepath.Join(cl.t.TempDir(), name+".log"))
	assert.NilError(cl.t, err)
	cmd.Stderr = logFile
	assert.NilError(cl.t, cmd.Start())
	cl.vms[name] = &vmProcess{cmd: cmd, address: address}
	cl.site.Register(zone, name, address)
	cl.await(name+" listens", func() bool {
		c, err := net.Dial("tcp", address)
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	})
}

func (cl *cluster) newClient() *client.Client {
	var addresses []string
	for _, p := range cl.vms {
		addresses = append(addresses, p.address)
	}
	return client.New(client.Config{Addresses: addresses})
}

func (cl *cluster) await(condition string, ready func() bool) {
	cl.t.Helper()
	for cl.ctx.Err() == nil {
		if ready() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	cl.t.Fatalf("timed out waiting for: %s", condition)
}

// startLoad sends requests in the background. The returned function stops that
// and returns all requests with their responses.
func (cl *cluster) startLoad() func() []ledger.Exchange {
	ctx, stop := context.WithCancel(cl.ctx)
	var mu sync.Mutex
	var results []ledger.Exchange
	var wg sync.WaitGroup
	for caller := range 8 {
		wg.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				id := fmt.Sprintf("%s-%d-%d", cl.t.Name(), caller, i)
				in := api.Request{ID: id, Customer: "carpatin", Kind: "certification", Body: []byte(id)}
				o := client.Options{}
				if i%4 == 0 {
					o.Key = id
				}
				call, cancel := context.WithTimeout(cl.ctx, 10*time.Second)
				resp, err := cl.client.Send(call, in, o)
				cancel()
				if err != nil {
					resp = api.Response{Outcome: api.Retry, Reason: err.Error()}
				}
				mu.Lock()
				results = append(results, ledger.Exchange{Request: in, Response: resp})
				mu.Unlock()
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	return func() []ledger.Exchange {
		stop()
		wg.Wait()
		return results
	}
}

func (cl *cluster) compare(results []ledger.Exchange) ledger.Report {
	d := site.Deadlines()
	bound := time.Duration(d.Term) + time.Duration(d.Drift)
	return ledger.Compare(results, cl.site.Runs(), cl.site.Spans(), bound, time.Now())
}

// submitGang submits a gang with 16 accelerators to the zone and waits until it
// runs on both of its workers.
func (cl *cluster) submitGang(zone, id string, seconds float64) {
	_, err := cl.client.Submit(cl.ctx, api.Job{ID: id, Customer: "carpatin", Zone: zone, Accelerators: 16, Cells: 1, Tasks: 16, Worth: 1, Seconds: seconds})
	assert.NilError(cl.t, err)
	cl.await(id+" runs", func() bool { return cl.countSpans(id) == 2 })
}

func (cl *cluster) countSpans(job string) int {
	n := 0
	for _, s := range cl.site.Spans() {
		if s.Job == job {
			n++
		}
	}
	return n
}

func (cl *cluster) awaitFinished(job string) {
	cl.await(job+" finished", func() bool {
		n := 0
		for _, s := range cl.site.Spans() {
			if s.Job == job && s.Reason == "finished" {
				n++
			}
		}
		return n == 2
	})
}

// TestProcessesKilledAndFrozen kills one daemon without restarting it and
// suspends another for longer than a lease term, under load and with gangs
// running. Responses must agree with the ledger, and no job may have two
// generations running at once.
func TestProcessesKilledAndFrozen(t *testing.T) {
	cl := startCluster(t)
	stopLoad := cl.startLoad()
	cl.submitGang("ro-a", "gang-a", 12)
	cl.submitGang("ro-b", "gang-b", 12)
	time.Sleep(500 * time.Millisecond)
	assert.NilError(t, cl.vms["ro-a-vm1"].cmd.Process.Kill())
	frozen := cl.vms["ro-b-vm1"].cmd.Process
	assert.NilError(t, frozen.Signal(syscall.SIGSTOP))
	time.Sleep(time.Duration(site.Deadlines().Term) + time.Second)
	assert.NilError(t, frozen.Signal(syscall.SIGCONT))
	cl.awaitFinished("gang-a")
	cl.awaitFinished("gang-b")
	r := cl.compare(stopLoad())
	t.Log(r.Outcomes, "short", r.LongestPartial, "overlap", r.LongestOverlap)
	assert.Equal(t, len(r.Faults), 0, strings.Join(r.Faults, "\n"))
	assert.Equal(t, r.LongestOverlap, time.Duration(0))
	assert.Equal(t, r.Gangs, 2)
}

// TestRollingRestart replaces every daemon under load, stopping the old one by
// SIGTERM. No request may be cut off, and the outcome of a keyed request sent
// before must still be known afterwards.
func TestRollingRestart(t *testing.T) {
	cl := startCluster(t)
	in := api.Request{ID: "kept", Customer: "bucegi", Kind: "certification", Body: []byte("kept")}
	resp, err := cl.client.Send(cl.ctx, in, client.Options{Key: "kept"})
	assert.NilError(t, err)
	assert.Equal(t, resp.Outcome, api.Done, resp.Reason)
	cl.submitGang("ro-c", "gang-c", 15)
	stopLoad := cl.startLoad()
	for _, zone := range cl.site.Zones() {
		for _, n := range []string{"1", "2"} {
			old := cl.vms[zone+"-vm"+n]
			cl.startVM(zone, zone+"-vm"+n+"b")
			time.Sleep(time.Second)
			assert.NilError(t, old.cmd.Process.Signal(syscall.SIGTERM))
			assert.NilError(t, old.cmd.Wait(), "a stop that cuts requests exits with an error")
			delete(cl.vms, zone+"-vm"+n)
			cl.client.Readdress(cl.addresses())
		}
	}
	results := stopLoad()
	cl.awaitFinished("gang-c")
	repeated, err := cl.client.Send(cl.ctx, in, client.Options{Key: "kept"})
	assert.NilError(t, err)
	assert.Equal(t, repeated.Outcome, api.Done, repeated.Reason)
	r := cl.compare(append(results, ledger.Exchange{Request: in, Response: repeated}))
	t.Log(r.Outcomes, "gangs", r.Gangs, "other outcomes", countNotDone(results))
	assert.Equal(t, len(r.Faults), 0, strings.Join(r.Faults, "\n"))
	assert.Equal(t, r.Outcomes[api.Done], len(results)+1)
	assert.Equal(t, r.Gangs, 1)
}

// countNotDone counts the outcomes other than done by outcome and reason.
func countNotDone(results []ledger.Exchange) map[string]int {
	out := map[string]int{}
	for _, result := range results {
		if r := result.Response; r.Outcome != api.Done {
			out[fmt.Sprintf("%s: %s", r.Outcome, r.Reason)]++
		}
	}
	return out
}

func (cl *cluster) addresses() []string {
	var out []string
	for _, p := range cl.vms {
		out = append(out, p.address)
	}
	return out
}
