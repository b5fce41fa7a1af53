package join_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbshore/internal/cmd/root"
	"rhubarbshore/internal/scheduler"
	"rhubarbshore/internal/site"
	"rhubarbshore/internal/store"
	"rhubarbshore/platform/platformtest"
)

// childVariable is the environment variable that makes the test binary run as the
// rhubarbshore command, with its value as the log level.
const childVariable = "RHUBARBSHORE_CHILD"

func TestMain(m *testing.M) {
	if level := os.Getenv(childVariable); level != "" {
		os.Exit(root.Main([]string{"join", "--level", level}, os.Stdin, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// daemon is an entry VM's daemon that runs as a process of its own. settings and log are
// file paths, clients and ready the addresses for client calls and readiness probes.
type daemon struct {
	settings, clients, ready, log string
	level                         string // of the log
	cmd                           *exec.Cmd
}

func freePort(t *testing.T) int {
	t.Helper()
	port, err := site.FreePort()
	assert.NilError(t, err)
	return port
}

func startDaemon(t *testing.T, p *platformtest.Platform, vm string) *daemon {
	t.Helper()
	return startDaemonWith(t, vm, p.Settings)
}

// startDaemonWith starts a daemon with the settings file that the function renders for its ports.
func startDaemonWith(t *testing.T, vm string, settings func(vm string, clients, ready, internal int) string) *daemon {
	t.Helper()
	dir := t.TempDir()
	clients, ready, internal := freePort(t), freePort(t), freePort(t)
	d := &daemon{
		settings: filepath.Join(dir, "settings.toml"), log: filepath.Join(dir, "log"),
		clients: fmt.Sprintf("127.0.0.1:%d", clients), ready: fmt.Sprintf("127.0.0.1:%d", ready), level: "debug",
	}
	assert.NilError(t, os.WriteFile(d.settings, []byte(settings(vm, clients, ready, internal)), 0o600))
	d.start(t)
	return d
}

func (d *daemon) start(t *testing.T) {
	t.Helper()
	out, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(t, err)
	d.cmd = exec.Command(os.Args[0])
	d.cmd.Env = append(os.Environ(), childVariable+"="+d.level, "RHUBARBSHORE_NODE_FILE="+d.settings)
	d.cmd.Stdout, d.cmd.Stderr = out, out
	assert.NilError(t, d.cmd.Start())
	t.Cleanup(func() { d.stop(syscall.SIGKILL) })
}

// stop signals the process and waits until it has exited.
func (d *daemon) stop(sig syscall.Signal) {
	if d.cmd.ProcessState == nil {
		_ = d.cmd.Process.Signal(sig) // the process may have exited already
		_ = d.cmd.Wait()
	}
}

// isLeader reports whether the log says that the daemon has become leader since its last
// start and has not stepped down.
func (d *daemon) isLeader(t *testing.T) bool {
	t.Helper()
	data, err := os.ReadFile(d.log)
	assert.NilError(t, err)
	last := func(msg string) int { return strings.LastIndex(string(data), `"msg":"`+msg+`"`) }
	return last("leading") > max(last("no longer leading"), last("started"))
}

func (d *daemon) awaitReady(t *testing.T) {
	t.Helper()
	for range 100 {
		resp, err := http.Get("http://" + d.ready + "/v1/readiness")
		if err == nil {
			assert.NilError(t, resp.Body.Close())
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatalf("%s is not ready after ten seconds", d.ready)
}

// TestJobsSurviveTheirSchedulersProcess runs three daemons as processes. While jobs run,
// the leader is killed and restarted, and its successor is stopped as planned. Every job
// must complete, each task must run once, and the planned stop must exit with code 0.
func TestJobsSurviveTheirSchedulersProcess(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	p, err := platformtest.New(platformtest.Config{Workers: 4, TaskTime: func(string) time.Duration { return 900 * time.Millisecond }})
	assert.NilError(t, err)
	defer p.Close()
	p.Publish(1)
	var daemons []*daemon
	var addresses []string
	for i := range 3 {
		d := startDaemon(t, p, fmt.Sprint("vm-", i))
		daemons = append(daemons, d)
		addresses = append(addresses, d.clients)
	}
	for _, d := range daemons {
		d.awaitReady(t)
	}
	var wg sync.WaitGroup
	errs := make([]error, 20)
	for i := range errs {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 250 * time.Millisecond)
			errs[i] = submitAndAwait(ctx, p, addresses, i)
		})
	}
	time.Sleep(1500 * time.Millisecond)
	for _, d := range daemons {
		if d.isLeader(t) {
			d.stop(syscall.SIGKILL)
			time.Sleep(1500 * time.Millisecond)
			d.start(t)
			d.awaitReady(t)
			break
		}
	}
	for _, d := range daemons {
		if d.isLeader(t) && d.cmd.ProcessState == nil {
			d.stop(syscall.SIGTERM)
			assert.Equal(t, d.cmd.ProcessState.ExitCode(), 0)
			d.start(t)
			break
		}
	}
	wg.Wait()
	for _, err := range errs {
		assert.NilError(t, err)
	}
	assert.DeepEqual(t, p.Fleet.Violations(), []string(nil))
}

// TestIdlePoolIsUsedAfterAllVMsLostPower guards against a job that waits for the rack of its data
// while the rest of the pool is idle. Each new leader once began that wait anew, up to 20 s.
func TestIdlePoolIsUsedAfterAllVMsLostPower(t *testing.T) {
	const (
		// The users' limits: how long VMs may take to catch up after a disruption, and how long
		// a job may have nothing running in an idle pool.
		catchUpTime = 4 * time.Second
		idleLimit   = 3 * time.Second
	)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	p, err := platformtest.New(platformtest.Config{Workers: 16, TaskTime: func(string) time.Duration { return 30 * time.Second }})
	assert.NilError(t, err)
	defer p.Close()
	p.Publish(1)
	var daemons []*daemon
	var addresses []string
	for i := range 3 {
		d := startDaemon(t, p, fmt.Sprint("vm-", i))
		daemons, addresses = append(daemons, d), append(addresses, d.clients)
	}
	for _, d := range daemons {
		d.awaitReady(t)
	}
	c := platformtest.NewClient(p, addresses)
	whole := scheduler.Step{Need: scheduler.Resources{CPU: 1000, Memory: 1024, Accelerators: 8}, Estimate: 10 * time.Second, Rack: "r1-0"}
	submit := func(id string, count int, gang bool) {
		step := whole
		step.Count, step.Gang = count, gang
		_, err := c.Submit(ctx, id, 1, []scheduler.Step{step})
		assert.NilError(t, err)
	}
	submit("00000000000000f0", 4, false) // fills the rack
	waitUntil(t, catchUpTime, func() bool { return p.Fleet.Starts() == 4 })
	submit("00000000000000f1", 2, true)
	for _, d := range daemons {
		d.stop(syscall.SIGKILL)
	}
	time.Sleep(time.Second)
	for _, d := range daemons {
		d.start(t)
	}
	for _, d := range daemons {
		d.awaitReady(t)
	}
	waitUntil(t, catchUpTime+idleLimit, func() bool {
		return p.Fleet.Running("00000000000000f1.0.0.0") && p.Fleet.Running("00000000000000f1.0.0.1")
	})
	assert.DeepEqual(t, p.Fleet.Violations(), []string(nil))
}

// waitUntil waits until a condition holds, and fails the test after a timeout.
func waitUntil(t *testing.T, timeout time.Duration, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(timeout); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the condition does not hold after %s", timeout)
		}
	}
}

func submitAndAwait(ctx context.Context, p *platformtest.Platform, addresses []string, i int) error {
	c := platformtest.NewClient(p, addresses)
	id, priority := fmt.Sprintf("%016x", i+1), i%3
	steps := []scheduler.Step{{
		Count: 1 + i%3, Need: scheduler.Resources{CPU: 1000, Memory: 1024, Accelerators: int64(1) << (i % 4)}, Estimate: time.Second, Gang: i%2 == 0,
	}}
	if _, err := c.Submit(ctx, id, priority, steps); err != nil {
		return err
	}
	state, err := c.Await(ctx, id, priority)
	if err == nil && state != scheduler.Completed {
		err = fmt.Errorf("job %s is %s", id, state)
	}
	return err
}

// TestPlannedStopWithoutASuccessorCutsNoCall guards against client calls cut by a planned
// stop of a VM that has no successor to hand leadership to. Connections were once closed
// with calls in flight when the time limit of the stop had passed.
func TestPlannedStopWithoutASuccessorCutsNoCall(t *testing.T) {
	p, err := platformtest.New(platformtest.Config{Workers: 2, TaskTime: func(string) time.Duration { return 100 * time.Millisecond }})
	assert.NilError(t, err)
	defer p.Close()
	p.Publish(1)
	d := startDaemon(t, p, "vm-0")
	d.awaitReady(t)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	failed := make([]failedCall, 8)
	for i := range failed {
		wg.Go(func() {
			c := platformtest.NewClient(p, []string{d.clients})
			for n := 0; ctx.Err() == nil; n++ {
				var call failedCall
				traced := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
					ConnectStart: func(string, string) { call.dialed = time.Now() },
					GotConn:      func(info httptrace.GotConnInfo) { call.local = info.Conn.LocalAddr().String() },
				})
				id := fmt.Sprintf("%08x%08x", i, n)
				_, err := c.SubmitOnce(traced, id, 0, []scheduler.Step{{Count: 1, Need: scheduler.Resources{CPU: 1000, Memory: 1024, Accelerators: 1}, Estimate: time.Second}})
				if err != nil && !refusedConnection(err) {
					call.err = err
					failed[i] = call
				}
				if err != nil {
					return
				}
			}
		})
	}
	time.Sleep(time.Second)
	d.stop(syscall.SIGTERM)
	cancel()
	wg.Wait()
	assert.Equal(t, d.cmd.ProcessState.ExitCode(), 0)
	accepted := d.acceptedConns(t)
	assert.Assert(t, len(accepted) > 0)
	for _, call := range failed {
		if call.err != nil && call.cut(accepted) {
			t.Errorf("the planned stop cut a call on an accepted connection: %v", call.err)
		}
	}
}

// failedCall is a call that ended with an error.
type failedCall struct {
	local  string    // address of the connection's end at the client
	dialed time.Time // zero if the connection was used before
	err    error
}

// cut reports whether the process had accepted the call's connection. If not, the kernel reset the
// connection as the listener was closed; the client sees that as a reset, a broken pipe or an end
// of file, depending on which of its calls takes the error. Ports are used again.
func (c failedCall) cut(accepted map[string][]time.Time) bool {
	if c.local == "" || c.dialed.IsZero() {
		return true
	}
	return slices.ContainsFunc(accepted[c.local], func(at time.Time) bool { return !at.Before(c.dialed) })
}

// acceptedConns returns when the daemon accepted connections, by the address of the other end.
func (d *daemon) acceptedConns(t *testing.T) map[string][]time.Time {
	t.Helper()
	data, err := os.ReadFile(d.log)
	assert.NilError(t, err)
	out := map[string][]time.Time{}
	for line := range bytes.Lines(data) {
		var entry struct {
			Time        time.Time
			Msg, Remote string
		}
		assert.NilError(t, json.Unmarshal(line, &entry))
		if entry.Msg == "connection accepted" {
			out[entry.Remote] = append(out[entry.Remote], entry.Time)
		}
	}
	return out
}

// Guards against an accepted connection that is taken for one that was not.
func TestCallsOnAcceptedConnectionsCountAsCut(t *testing.T) {
	dialed := time.Now()
	accepted := map[string][]time.Time{"a": {dialed.Add(-time.Second)}, "b": {dialed.Add(-time.Second), dialed.Add(time.Millisecond)}}
	for name, c := range map[string]struct {
		call failedCall
		cut  bool
	}{
		"not accepted":            {failedCall{local: "c", dialed: dialed}, false},
		"port accepted before":    {failedCall{local: "a", dialed: dialed}, false},
		"accepted":                {failedCall{local: "b", dialed: dialed}, true},
		"used before":             {failedCall{local: "c"}, true},
		"connection is not known": {failedCall{dialed: dialed}, true},
	} {
		assert.Equal(t, c.call.cut(accepted), c.cut, name)
	}
}

// Guards against entries of other writers that end the processes of VMs again and again or make
// them stop following the list of workers: none may end, and work goes on with the true workers
// and with one that registers later.
func TestOddEntriesOfOtherWritersStopNothing(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	p, err := platformtest.New(platformtest.Config{Workers: 1, TaskTime: func(string) time.Duration { return 300 * time.Millisecond }})
	assert.NilError(t, err)
	defer p.Close()
	p.Publish(1)
	registry := store.Stream{Topic: "servers"}
	nested := strings.Repeat("[", 60_000) + strings.Repeat("]", 60_000)
	putOdd := func() {
		for i, value := range []string{
			nested, `{"service":"robes","capacity":` + nested + `}`, "\xff\xfe", "[]", "7",
			`{"service":"robes","address":"127.0.0.1:70000","state":"ready","capacity":{"cpu":1000,"gpus":8}}`,
			`{"service":"robes","address":"127.0.0.1:9","state":"ready","capacity":{"cpu":9223372036854775807,"gpus":9223372036854775807}}`,
			`{"service":"robes","address":"127.0.0.1:9","state":"ready","capacity":{"cpu":1e400}}`,
			`{"service":"robes","address":"127.0.0.1:9","state":"ready","capacity":{"cpu":1000},"born":9223372036854775807}`,
		} {
			p.Log.Put(registry, store.Record{Key: fmt.Sprint("odd-", i), Value: []byte(value)})
			p.Log.Put(registry, store.Record{Key: "i-0000", Value: []byte(value)}) // the key of a true worker
		}
	}
	putOdd()
	d := startDaemon(t, p, "vm-0")
	d.awaitReady(t)
	assert.NilError(t, submitAndAwait(ctx, p, []string{d.clients}, 0))
	putOdd()
	p.Log.Put(store.Stream{Topic: "op"}, store.Record{Key: "config", Value: []byte(nested)})
	assert.NilError(t, submitAndAwait(ctx, p, []string{d.clients}, 1))
	d.awaitReady(t)
	data, err := os.ReadFile(d.log)
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(string(data), `"msg":"leading"`), 1, "the leader never ended")
	assert.Equal(t, strings.Count(string(data), `"panic"`), 0)
	assert.Assert(t, strings.Contains(string(data), `"msg":"registry entry rejected"`))
	d.stop(syscall.SIGTERM)
	assert.Equal(t, d.cmd.ProcessState.ExitCode(), 0)
}
