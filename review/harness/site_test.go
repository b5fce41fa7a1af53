//go:build review

package harness

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Names in the configuration of the test.
const (
	serviceName = "robe-desk"
	hostName    = "robes.example"
	apiKey      = "key-of-the-parishes"
	tenantName  = "parishes"
)

// Bounds of the sheet of zbor-robe.
const (
	cancelTime = 3 * time.Second
	contact    = 3 * time.Second
	finishTime = 14 * time.Second
)

// vmCount is the number of VMs, fewer than on the sheet: 8.
const vmCount = 3

// program is the daemon, as the deploy file builds and starts it.
const program = "target/rhubarbshore"

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, err := fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	must(err)
}

// errUnable ends a case that could not run.
type errUnable struct{ why string }

func (e errUnable) Error() string { return e.why }

func unable(format string, args ...any) { panic(errUnable{fmt.Sprintf(format, args...)}) }

func must(err error) {
	if err != nil {
		unable("%v", err)
	}
}

// step is a step of a job as a client sends it, and how long its tasks really take.
type step struct {
	count int
	need  amount
	work  time.Duration
	gang  bool
	fails bool // each run fails at its end, wherever it runs
	// declared is the estimate that the client gives, work if it is 0.
	declared time.Duration
	spread   int
	label    string
}

type job struct {
	id       string
	priority int
	steps    []step
}

// vm is a VM of the system with its process.
type vm struct {
	name                 string
	clients, ready, peer int
	store                string
	file                 string
	log                  *os.File
	cmd                  *exec.Cmd
	exited               chan struct{}
}

// site is a small deployment: the store, workers, and VMs with a process each.
type site struct {
	ctx    context.Context //nolint:containedctx // the life of the test
	cancel context.CancelFunc
	rec    *recorder
	store  *store
	pool   *pool
	vms    []*vm
	folder string
	next   int
	status int // status_s
}

func newSite(rec *recorder) *site {
	folder, err := os.MkdirTemp("", "review")
	must(err)
	ctx, cancel := context.WithCancel(context.Background())
	s := &site{ctx: ctx, cancel: cancel, rec: rec, store: newStore(), folder: folder, status: 120}
	s.pool = newPool(s.store, rec)
	s.publish(1)
	for i := range vmCount {
		s.addVM(i)
	}
	return s
}

// publish writes a configuration with a queue for each priority from 0 to 2.
func (s *site) publish(version int) {
	var routes []map[string]any
	for priority := range 3 {
		routes = append(routes, map[string]any{
			"name": fmt.Sprint("q", priority), "host": hostName, "path_prefix": prefix(priority), "kind": "non_idempotent", "timeout_ms": 3000,
			"target_latency_ms": 1000, "priority": priority, "service": serviceName, "retry_attempts": 3, "stretch_factor": 3.0,
		})
	}
	value, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": []map[string]any{{"name": serviceName, "enforce_capacity": false}},
		"limits":  map[string]any{"header_bytes": 16384, "body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": tenantName, "api_keys": []string{apiKey}, "guaranteed_gpus": map[string]any{"gpus": 16}}},
	})
	must(err)
	s.store.put("keyed.op", "config", value)
}

func prefix(priority int) string { return fmt.Sprintf("/q%d/", priority) }

// freePort returns a port that was free a moment ago.
func freePort() int {
	var lc net.ListenConfig
	l, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	must(err)
	defer func() { _ = l.Close() }() // it was only opened for its number
	return l.Addr().(*net.TCPAddr).Port
}

func (s *site) addVM(i int) {
	v := &vm{name: fmt.Sprintf("frontend-lj-north-%d", i+1)}
	var lc net.ListenConfig
	l, err := lc.Listen(s.ctx, "tcp", "127.0.0.1:0")
	must(err)
	v.store = l.Addr().String()
	srv := &http.Server{Handler: s.store.handler(v.name), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = srv.Serve(l) }() // until the test ends
	v.file = filepath.Join(s.folder, v.name+".toml")
	v.log, err = os.Create(filepath.Join(s.folder, v.name+".log"))
	must(err)
	s.vms = append(s.vms, v)
}

// settings returns the settings file of a VM, with the bounds of zbor-robe.
func (s *site) settings(v *vm) string {
	return fmt.Sprintf(`node_name = %q
role = "scheduler"
machine_class = "frontend"
serves = ["frontend"]
ip_address = "127.0.0.1"
zone = "lj-north"
region = "sl-central"
internal_ports = [%d, %d]
bootstrap = true
discovery = "platform"
heartbeat_interval_ms = %d
command_mode = "invocation"
[listen_addresses]
frontend = "127.0.0.1:%d"
ready = "127.0.0.1:%d"
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
file_descriptors = 4100
[bounds]
contact_ms = 3000
acknowledge_ms = 4000
drain_ms = 2000
grace_period_s = 6
config_apply_ms = 2000
max_hold_ms = %d
stop_timeout_ms = 400
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = %d
remote_penalty = 3
checkpoint_interval_s = 0.5
restore_ms = 250
[platform]
address = %q
form = "log"
parts = 8
append_ms = 4.0
record_bytes = 262144
request_bytes = 2097152
[cloud]
duties = []
`, v.name, v.peer, v.peer, heartbeat.Milliseconds(), v.clients, v.ready, maxHold.Milliseconds(), s.status, v.store)
}

// startTime is how long a process that can't listen takes to end, and startAttempts how often it is
// started again with other ports: another program may take a free port first.
const (
	startTime     = 500 * time.Millisecond
	startAttempts = 5
)

// start starts the processes of all VMs.
func (s *site) start() {
	for range startAttempts {
		for _, v := range s.vms {
			if v.cmd == nil {
				v.clients, v.ready, v.peer = freePort(), freePort(), freePort()
				s.startProcess(v)
			}
		}
		time.Sleep(startTime)
		failed := false
		for _, v := range s.vms {
			select {
			case <-v.exited:
				s.rec.line("VM %s: a port is in use; others are tried", v.name)
				v.cmd, failed = nil, true
			default:
			}
		}
		if !failed {
			return
		}
	}
	unable("no free ports")
}

func (s *site) startProcess(v *vm) {
	must(os.WriteFile(v.file, []byte(s.settings(v)), 0o600))
	cmd := exec.CommandContext(s.ctx, program, "join")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "RHUBARBSHORE_NODE_FILE=" + v.file}
	cmd.Stdout, cmd.Stderr = v.log, v.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(cmd.Start())
	v.cmd, v.exited = cmd, make(chan struct{})
	go func(exited chan struct{}) {
		_ = cmd.Wait() // how it ended is of no interest
		close(exited)
	}(v.exited)
	s.rec.line("VM %s: process %d starts", v.name, cmd.Process.Pid)
}

// kill ends the process of a VM with SIGKILL.
func (s *site) kill(v *vm) {
	s.rec.line("VM %s: SIGKILL", v.name)
	must(v.cmd.Process.Kill())
	<-v.exited
}

// close ends all processes of the test.
func (s *site) close() {
	for _, v := range s.vms {
		if v.cmd != nil {
			_ = v.cmd.Process.Kill() // it may have ended
			<-v.exited
		}
	}
	s.cancel()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder) // a folder left behind in the temporary folder does no harm
	} else {
		fmt.Println("logs:", s.folder)
	}
}

// startAll starts all VMs and waits until one leads and all are ready.
func (s *site) startAll() {
	s.start()
	s.await(15*time.Second, "all VMs are ready and one leads", func() bool {
		for _, v := range s.vms {
			if !s.isReady(v) {
				return false
			}
		}
		return s.leader() != nil
	})
	time.Sleep(contact)
	s.rec.line("leader: %s", s.leader().name)
}

func (s *site) isReady(v *vm) bool {
	r, err := http.NewRequestWithContext(s.ctx, http.MethodGet, fmt.Sprintf("http://127.0.0.1:%d/v1/readiness", v.ready), http.NoBody)
	must(err)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // it has no body
	return resp.StatusCode == http.StatusOK
}

// leader returns the VM that the store names as the leader, or nil.
func (s *site) leader() *vm {
	value, ok := s.store.get("keyed.lead", 0, "leader")
	if !ok {
		return nil
	}
	var rec struct {
		VM string `json:"vm"`
	}
	must(json.Unmarshal(value, &rec))
	for _, v := range s.vms {
		if v.name == rec.VM {
			return v
		}
	}
	return nil
}

// others returns the VMs other than v.
func (s *site) others(v *vm) []*vm {
	var out []*vm
	for _, o := range s.vms {
		if o != v {
			out = append(out, o)
		}
	}
	return out
}

// await waits until f holds. The case can't run if it doesn't in time.
func (s *site) await(timeout time.Duration, what string, f func() bool) {
	if !s.within(timeout, f) {
		unable("not in %s: %s", timeout, what)
	}
}

// within reports whether f holds within a time.
func (s *site) within(timeout time.Duration, f func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}

// newJob returns a job with a new ID.
func (s *site) newJob(priority int, steps ...step) *job {
	s.next++
	j := &job{id: fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, 0xab00+s.next), priority: priority, steps: steps}
	s.pool.mu.Lock()
	s.pool.jobs[j.id] = j
	s.pool.mu.Unlock()
	return j
}

// call sends a client's call to a VM and returns the status, 0 for none.
func (s *site) call(v *vm, method string, j *job, body any) (int, []byte) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		must(err)
		reader = bytes.NewReader(data)
	}
	ctx, cancel := context.WithTimeout(s.ctx, 3*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://127.0.0.1:%d%s%s", v.clients, prefix(j.priority), j.id), reader)
	must(err)
	r.Host = hostName
	r.Header.Set("Api-Key", apiKey)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Request-Deadline", "3000")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		s.rec.line("client: %s %s at %s gets no answer", method, j.id, v.name)
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	s.rec.line("client: %s %s at %s: %d %s", method, j.id, v.name, resp.StatusCode, bytes.TrimSpace(data))
	return resp.StatusCode, data
}

// submit hands a job in at a VM and repeats it at the others until it is accepted.
func (s *site) submit(v *vm, j *job) {
	var steps []map[string]any
	for _, st := range j.steps {
		m := map[string]any{"count": st.count, "cpu": st.need.CPU, "requested_memory_mb": st.need.Memory, "gpus": st.need.GPUs, "estimated_ms": cmp.Or(st.declared, st.work).Milliseconds()}
		if st.gang {
			m["gang_scheduled"] = true
		}
		if st.spread > 0 {
			m["anti_affinity"] = st.spread
		}
		if st.label != "" {
			m["required_label"] = st.label
		}
		steps = append(steps, m)
	}
	for range 10 {
		if status, _ := s.call(v, http.MethodPost, j, map[string]any{"specification": "size fitting", "steps": steps}); status == http.StatusOK {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	unable("job %s is not accepted", j.id)
}

// state asks a VM for the state of a job.
func (s *site) state(v *vm, j *job) string {
	status, data := s.call(v, http.MethodGet, j, nil)
	if status != http.StatusOK {
		return fmt.Sprint(status)
	}
	var out struct {
		State string `json:"state"`
	}
	must(json.Unmarshal(data, &out))
	return out.State
}

// running reports how many tasks of a job run.
func (p *pool) running(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(time.Now())
	n := 0
	for _, w := range p.workers {
		for _, r := range w.runs {
			if len(r.task) > len(id) && r.task[:len(id)] == id {
				n++
			}
		}
	}
	return n
}

var errBroken = errors.New("the rule was broken")
