package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"

	"rhubarbshore/internal/cmd/root"
	"rhubarbshore/internal/httpjson"
	"rhubarbshore/internal/ledger"
	"rhubarbshore/internal/platform"
	"rhubarbshore/internal/site"
	"rhubarbshore/internal/standin"
	"rhubarbshore/pkg/api"
	"rhubarbshore/pkg/client"
)

// childEnv is the environment variable that makes the test binary run one of the
// project's commands instead of the tests.
const childEnv = "RHUBARBSHORE_STANDIN_CHILD"

func TestMain(m *testing.M) {
	switch os.Getenv(childEnv) {
	case "standin":
		main()
	case "rhubarbshore":
		os.Exit(root.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

const (
	configFolder   = "../../examples/splints"
	requests       = 120
	minionsPerZone = 2
	testTimeout    = 2 * time.Minute
	requestTimeout = 10 * time.Second
)

// system is a complete deployment, with a process for each part.
type system struct {
	t         *testing.T
	ctx       context.Context
	platform  string            // URL
	addresses map[string]string // of the running VMs, by name
	vms       map[string]*exec.Cmd
}

// childCommand returns one of the project's commands, ready to start.
func (s *system) childCommand(command string, args ...string) *exec.Cmd {
	cmd := exec.CommandContext(s.ctx, os.Args[0], args...)
	cmd.Env = append(os.Environ(), childEnv+"="+command)
	return cmd
}

func (s *system) start(command string, args ...string) *exec.Cmd {
	cmd := s.childCommand(command, args...)
	assert.NilError(s.t, cmd.Start())
	s.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	return cmd
}

// run runs an operator's or caller's command against the running VMs and returns its
// output.
func (s *system) run(args ...string) string {
	s.t.Helper()
	for _, address := range s.addresses {
		args = append(args, "--vm", address)
	}
	out, err := s.childCommand("rhubarbshore", args...).CombinedOutput()
	assert.NilError(s.t, err, "%s: %s", args, out)
	return string(out)
}

func (s *system) await(condition string, ready func() bool) {
	s.t.Helper()
	for s.ctx.Err() == nil {
		if ready() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	s.t.Fatalf("timed out waiting until %s", condition)
}

func (s *system) freePort() string {
	address, err := site.FreeAddress()
	assert.NilError(s.t, err)
	return address
}

// startVM starts a daemon with its own settings file and registers it with the platform.
func (s *system) startVM(zone, name string) {
	address := s.freePort()
	text, err := toml.Marshal(site.Settings(zone, name, address, s.platform, site.Deadlines()))
	assert.NilError(s.t, err)
	path := filepath.Join(s.t.TempDir(), name+".toml")
	assert.NilError(s.t, os.WriteFile(path, text, 0o600))
	s.vms[name] = s.start("rhubarbshore", "serve", "--settings", path)
	in := platform.Instance{Name: name, Role: platform.RoleEntry, Zone: zone, Address: address, State: platform.StateLive}
	assert.NilError(s.t, register(s.platform, in))
	s.addresses[name] = address
	s.await(name+" listens", func() bool { return s.accepts(address) })
}

func (s *system) accepts(address string) bool {
	c, err := net.Dial("tcp", address)
	if err == nil {
		_ = c.Close()
	}
	return err == nil
}

// startSystem starts the platform and three zones, each with workers, minions and a
// daemon.
func startSystem(t *testing.T) *system {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	s := &system{t: t, ctx: ctx, addresses: map[string]string{}, vms: map[string]*exec.Cmd{}}
	address := s.freePort()
	s.platform = "http://" + address
	s.start("standin", "platform", "--listen", address)
	s.await("the platform listens", func() bool { return s.accepts(address) })
	for _, zone := range []string{"ro-a", "ro-b", "ro-c"} {
		s.start("standin", "workers", "--listen", "127.0.0.1:0", "--platform", s.platform, "--zone", zone, "--folder", configFolder)
		s.start("standin", "minions", "--listen", "127.0.0.1:0", "--platform", s.platform, "--zone", zone, "--service", "splinting", "--count", fmt.Sprint(minionsPerZone))
		s.startVM(zone, zone+"-vm1")
	}
	return s
}

// ledgers fetches the ledgers of all workers and minions.
func (s *system) ledgers() ([]standin.Span, []standin.Run) {
	list, err := platform.NewList(http.DefaultClient, s.platform).Get(s.ctx, "", 0)
	assert.NilError(s.t, err)
	var spans []standin.Span
	var runs []standin.Run
	seen := map[string]bool{}
	for _, in := range list.Instances {
		url, _, _ := strings.Cut(in.Address, "/workers/")
		if seen[url] {
			continue
		}
		seen[url] = true
		switch in.Role {
		case platform.RoleWorker:
			more, err := httpjson.Get[[]standin.Span](s.ctx, http.DefaultClient, url+"/ledger")
			assert.NilError(s.t, err)
			spans = append(spans, more...)
		case platform.RoleMinion:
			more, err := httpjson.Get[[]standin.Run](s.ctx, http.DefaultClient, url+"/ledger")
			assert.NilError(s.t, err)
			runs = append(runs, more...)
		case platform.RoleEntry:
		}
	}
	return spans, runs
}

// ranToEnd reports whether all members of one generation of the job finished.
func (s *system) ranToEnd(job string) bool {
	spans, _ := s.ledgers()
	ends := map[uint64]int{}
	for _, span := range spans {
		if span.Job == job && span.Reason == "finished" {
			ends[span.Generation]++
			if ends[span.Generation] == span.Members {
				return true
			}
		}
	}
	return false
}

// sendCertifications has four callers send certification requests, each one after the
// other, and returns their outcomes.
func (s *system) sendCertifications() []ledger.Exchange {
	var addresses []string
	for _, address := range s.addresses {
		addresses = append(addresses, address)
	}
	c := client.New(client.Config{Addresses: addresses})
	outcomes := make([]ledger.Exchange, requests)
	var wg sync.WaitGroup
	for caller := range 4 {
		wg.Go(func() {
			for i := caller; i < requests; i += 4 {
				id := fmt.Sprint("certification-", i)
				in := api.Request{ID: id, Customer: "carpatin", Kind: "certification", Body: []byte(id)}
				o := client.Options{}
				if i%3 == 0 {
					o.Key = id
				}
				ctx, cancel := context.WithTimeout(s.ctx, requestTimeout)
				resp, err := c.Send(ctx, in, o)
				cancel()
				if err != nil {
					resp = api.Response{Outcome: api.Retry, Reason: err.Error()}
				}
				outcomes[i] = ledger.Exchange{Request: in, Response: resp}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return outcomes
}

// TestWholePathAsProcesses guards against faults that show only between processes. It
// runs the platform, workers, minions and three daemons as processes, uses the commands to
// publish, send and submit, and kills a daemon meanwhile. Callers' outcomes must agree with
// the stand-ins' ledgers, and the jobs of the killed daemon's zone must finish under its
// successor.
func TestWholePathAsProcesses(t *testing.T) {
	s := startSystem(t)
	s.run("config", "publish", configFolder)
	s.await("all VMs apply the same configuration", func() bool { return strings.Count(s.run("config", "status", "--json"), `"number": 1`) >= 3 })
	answer := s.run("request", "send", "--customer", "carpatin", "--kind", "check", "--body", "alb-52")
	assert.Assert(t, strings.Contains(answer, "carpatin check alb-52"), answer)
	s.await("the placers are ready", func() bool { return strings.Contains(s.run("worker", "list"), "ro-b-r1-w1\tro-b\tlive") })
	s.run("job", "submit", "--id", "gang", "--zone", "ro-b", "--customer", "carpatin", "--accelerators", "16", "--tasks", "16", "--seconds", "5")
	s.run("job", "submit", "--id", "tasks", "--zone", "ro-b", "--customer", "carpatin", "--accelerators", "0", "--tasks", "40", "--cores", "2", "--memory", "4", "--seconds", "5")
	killed := s.vms["ro-b-vm1"].Process
	time.AfterFunc(300*time.Millisecond, func() { _ = killed.Kill() })
	outcomes := s.sendCertifications()
	delete(s.addresses, "ro-b-vm1")
	s.startVM("ro-b", "ro-b-vm2")
	s.await("the gang and the tasks have finished", func() bool { return s.ranToEnd("gang") && s.ranToEnd("tasks") })
	spans, runs := s.ledgers()
	d := site.Deadlines()
	r := ledger.Compare(outcomes, runs, spans, time.Duration(d.Term)+time.Duration(d.Drift), time.Now())
	t.Log(r.Outcomes, "runs", r.Runs, "gangs", r.Gangs, "short", r.LongestPartial)
	assert.Equal(t, len(r.Faults), 0, strings.Join(r.Faults, "\n"))
	assert.Equal(t, r.LongestOverlap, time.Duration(0))
}
