package root

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"rhubarbshore/internal/cmdutil"
	"rhubarbshore/pkg/api"
	"rhubarbshore/pkg/client"
)

// fakeClient is a client with canned responses.
type fakeClient struct {
	cmdutil.Client
	outcome    api.Outcome
	publishErr error
	submitted  api.Job
}

func (f *fakeClient) Send(_ context.Context, in api.Request, o client.Options) (api.Response, error) {
	return api.Response{Outcome: f.outcome, Reason: "window", Request: "r1", Body: []byte(o.Key + in.Customer + string(in.Body))}, nil
}

func (f *fakeClient) Settle(_ context.Context, _ api.Request, o client.Options) (api.Response, error) {
	return api.Response{Outcome: f.outcome, Reason: "cancelled", Request: o.Key}, nil
}

func (f *fakeClient) Submit(_ context.Context, j api.Job) (api.JobStatus, error) {
	f.submitted = j
	state, reason := api.Queued, ""
	if j.Accelerators > 64 {
		state, reason = api.Refused, "infeasible"
	}
	return api.JobStatus{Job: j, State: state, Reason: reason, Zone: "si-a", Durable: j.Customer != "stock"}, nil
}

func (f *fakeClient) Cancel(_ context.Context, zone, id string) (api.JobStatus, error) {
	if id == "absent" {
		return api.JobStatus{}, client.ErrUnreachable
	}
	return api.JobStatus{Job: api.Job{ID: id}, Zone: zone, State: api.Cancelled}, nil
}

func (f *fakeClient) Jobs(context.Context) (api.JobList, error) {
	at := time.Date(2026, 5, 17, 8, 0, 0, 0, time.UTC)
	return api.JobList{Jobs: []api.JobStatus{
		{Job: api.Job{ID: "lot-7", Customer: "parishes", Accelerators: 16, Cells: 1}, State: api.Running, Zone: "si-a", Class: "guaranteed", Durable: true, Submitted: at, Started: at.Add(time.Second), Workers: []string{"w1", "w2"}},
		{Job: api.Job{ID: "lot-8", Customer: "schools", Accelerators: 8, Cells: 2}, State: api.Queued, Reason: "reclaimed", Zone: "si-b"},
	}}, nil
}

func (f *fakeClient) Workers(context.Context) (api.WorkerList, error) {
	return api.WorkerList{Workers: []api.Worker{{Name: "si-a-r1-w1", Zone: "si-a", State: "live", Accelerators: 8, Used: 4, Leases: 1}}}, nil
}

func (f *fakeClient) Customers(context.Context) (api.CustomerList, error) {
	return api.CustomerList{Customers: []api.Customer{{Name: "parishes", Zone: "si-a", Guaranteed: 32, Bound: 16}}}, nil
}

func (f *fakeClient) VMs(context.Context) (api.VMList, error) {
	return api.VMList{VMs: []api.VM{{Name: "vm1", Address: "10.0.0.5:7400", Zone: "si-a", State: "live", Version: "v7", Number: 7, Placer: true}}}, nil
}

func (f *fakeClient) Config(context.Context) (api.ConfigView, error) {
	return api.ConfigView{Version: "v7", Number: 7, Author: "ana", Base: "[site]\n", Overlays: map[string]string{"si-a": "# none\n"}}, nil
}

func (f *fakeClient) Publish(_ context.Context, in api.Publish) (api.Published, error) {
	if in.Parent != "v7" {
		return api.Published{}, &client.RefusedError{Reason: "stale", Text: "v7 is in force"}
	}
	return api.Published{Version: "v8", Number: 8}, f.publishErr
}

// TestCommands compares the output and exit code of every command with its
// golden file, for a terminal, a pipe and --json.
func TestCommands(t *testing.T) {
	bad := t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(bad, "base.toml"), []byte("[site]\nworkers = 0\nzoom = 1\n"), 0o600))
	small := t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(small, "base.toml"), []byte("[site]\n"), 0o600))
	assert.NilError(t, os.WriteFile(filepath.Join(small, "si-b.toml"), []byte("# new\n"), 0o600))
	good := filepath.Join("..", "..", "..", "examples", "robes")
	cases := map[string][]string{
		"usage":          {"job", "submit"},
		"check":          {"config", "check", good},
		"check-bad":      {"config", "check", bad},
		"check-file":     {"config", "check", good + "/base.toml"},
		"check-missing":  {"config", "check", good + "/nothing"},
		"publish":        {"config", "publish", good, "--author", "ana"},
		"publish-stale":  {"config", "publish", good, "--parent", "v6"},
		"config-view":    {"config", "view", "--site", "si-a"},
		"config-status":  {"config", "status"},
		"config-diff":    {"config", "diff", small},
		"send-done":      {"request", "send", "--customer", "parishes", "--kind", "fitting", "--body", "alb"},
		"send-notrun":    {"request", "send", "--customer", "parishes", "--kind", "fitting", "--body", "alb"},
		"send-unknown":   {"request", "send", "--customer", "parishes", "--kind", "fitting"},
		"send-retry":     {"request", "send", "--customer", "parishes", "--kind", "fitting", "--key", "k"},
		"send-failed":    {"request", "send", "--customer", "parishes", "--kind", "fitting", "--body", "x"},
		"request-notrun": {"request", "view", "may-17", "--customer", "schools", "--kind", "reminder"},
		"submit":         {"job", "submit", "--id", "j1", "--customer", "parishes", "--accelerators", "16"},
		"submit-memory":  {"job", "submit", "--id", "j1", "--customer", "stock"},
		"submit-never":   {"job", "submit", "--id", "j1", "--customer", "parishes", "--accelerators", "128"},
		"job-list":       {"job", "list"},
		"job-list-state": {"job", "list", "--state", "running"},
		"job-view":       {"job", "view", "lot-7"},
		"job-view-none":  {"job", "view", "lot-9"},
		"job-cancel":     {"job", "cancel", "lot-7", "--zone", "si-a"},
		"job-cancel-out": {"job", "cancel", "absent", "--zone", "si-a"},
		"customer-list":  {"customer", "list"},
		"worker-list":    {"worker", "list"},
		"vm-list":        {"vm", "list"},
	}
	for name, args := range cases {
		t.Run(name, func(t *testing.T) {
			var got strings.Builder
			for _, mode := range []string{"terminal", "pipe", "json"} {
				if mode == "json" && name == "usage" {
					continue
				}
				argv := args
				if mode == "json" {
					argv = append(append([]string{}, args...), "--json")
				}
				fake := &fakeClient{outcome: api.Done}
				if _, outcome, ok := strings.Cut(name, "-"); ok && (strings.HasPrefix(name, "send") || strings.HasPrefix(name, "request")) {
					fake.outcome = api.Outcome(outcome)
				}
				var stdout, stderr bytes.Buffer
				streams := &cmdutil.Streams{In: strings.NewReader("from input"), Out: &stdout, Err: &stderr, Terminal: mode == "terminal"}
				code := Run(argv, streams, func([]string) cmdutil.Client { return fake })
				fmt.Fprintf(&got, "== %s: exit %d\n%s-- errors\n%s", mode, code, stdout.String(), stderr.String())
			}
			golden.Assert(t, strings.ReplaceAll(got.String(), bad, "FOLDER"), name+".golden")
		})
	}
}

// TestNoVMUp checks that commands exit with the retry code and a hint at --vm
// if nothing listens at the given address.
func TestNoVMUp(t *testing.T) {
	const address = "127.0.0.1:1"
	for _, args := range [][]string{{"job", "list"}, {"config", "publish", "../../../examples/robes"}, {"job", "cancel", "x", "--zone", "si-a"}} {
		var stderr bytes.Buffer
		streams := &cmdutil.Streams{In: strings.NewReader(""), Out: io.Discard, Err: &stderr}
		code := Run(append(args, "--vm", address), streams, func(vms []string) cmdutil.Client { return client.New(client.Config{Addresses: vms}) })
		assert.Equal(t, code, cmdutil.ExitRetry, args)
		assert.Assert(t, strings.Contains(stderr.String(), "no entry VM answers at "+address), stderr.String())
		assert.Assert(t, strings.Contains(stderr.String(), "--vm"), stderr.String())
	}
}

func TestHelpNamesExitCodesAndExamples(t *testing.T) {
	var stdout bytes.Buffer
	code := Run([]string{"--help"}, &cmdutil.Streams{Out: &stdout, Err: &stdout}, func([]string) cmdutil.Client { return nil })
	assert.Equal(t, code, cmdutil.ExitOK)
	assert.Assert(t, strings.Contains(stdout.String(), "Exit codes"))
	assert.Assert(t, strings.Contains(stdout.String(), "rhubarbshore demo"))
}
