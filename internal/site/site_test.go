package site

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbshore/examples"
	"rhubarbshore/internal/peer/rpc"
	"rhubarbshore/internal/standin"
	"rhubarbshore/pkg/api"
	"rhubarbshore/pkg/client"
)

// testTimeout guards against tests that hang; it is not a performance bound.
const testTimeout = 5 * time.Minute

// drainTime exceeds the timeout of every call within a site, so that all calls of a
// closed site have ended after it.
const drainTime = 30 * time.Second

// closeAndDrain closes a site and waits, in virtual time, until its calls have ended.
func closeAndDrain(s *Site) {
	s.Close()
	time.Sleep(drainTime)
}

func startSite(t *testing.T) (*Site, *client.Client, context.Context) {
	t.Helper()
	files, err := ReadExample(examples.Files, "robes")
	assert.NilError(t, err)
	logger := slog.New(slog.DiscardHandler)
	if testing.Verbose() {
		logger = slog.New(slog.NewTextHandler(t.Output(), nil))
	}
	s, err := Start(Config{Files: files, VMs: 1, Minions: 4, RequestTime: time.Millisecond, Logger: logger, Deadlines: Deadlines(), Network: newMemoryNetwork()})
	assert.NilError(t, err)
	t.Cleanup(func() { closeAndDrain(s) })
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	c := s.Client()
	_, err = s.Publish(ctx, c)
	assert.NilError(t, err)
	return s, c, ctx
}

// awaitJobFinished waits until the job has finished.
func awaitJobFinished(ctx context.Context, t *testing.T, c *client.Client, id string) api.JobStatus {
	t.Helper()
	for ctx.Err() == nil {
		list, err := c.Jobs(ctx)
		if err == nil {
			for _, j := range list.Jobs {
				if j.Job.ID == id && j.State == api.Finished {
					return j
				}
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("job %s did not finish", id)
	return api.JobStatus{}
}

func TestWholePath(t *testing.T) { synctest.Test(t, testWholePath) }

func testWholePath(t *testing.T) {
	s, c, ctx := startSite(t)
	for i := range 20 {
		body := []byte(fmt.Sprint("body ", i))
		resp, err := c.Send(ctx, api.Request{Customer: "parishes", Kind: "reminder", Body: body}, client.Options{})
		assert.NilError(t, err)
		assert.Equal(t, resp.Outcome, api.Done, resp.Reason)
		assert.Equal(t, string(resp.Body), "parishes reminder "+string(body))
	}
	resp, err := c.Send(ctx, api.Request{Customer: "schools", Kind: "reminder", Body: []byte("k")}, client.Options{Key: "own"})
	assert.NilError(t, err)
	assert.Equal(t, resp.Outcome, api.Done, resp.Reason)
	again, err := c.Send(ctx, api.Request{Customer: "schools", Kind: "reminder", Body: []byte("k")}, client.Options{Key: "own"})
	assert.NilError(t, err)
	assert.Equal(t, again.Outcome, api.Done, again.Reason)
	assert.Equal(t, len(s.Runs()), 21)

	status, err := c.Submit(ctx, api.Job{ID: "lot", Customer: "parishes", Accelerators: 16, Cells: 1, Tasks: 16, Worth: 1, Seconds: 2, Zone: "si-b"})
	assert.NilError(t, err)
	assert.Assert(t, status.Durable)
	status = awaitJobFinished(ctx, t, c, "lot")
	assert.Equal(t, status.Class, "guaranteed")
	_, err = c.Submit(ctx, api.Job{ID: "tasks", Customer: "stock", Tasks: 70, Cores: 4, Memory: 8, Worth: 1, Seconds: 1})
	assert.NilError(t, err)
	status = awaitJobFinished(ctx, t, c, "tasks")
	assert.Equal(t, len(status.Workers), 3, "70 tasks of 8 GB on workers of 250")
	spans := s.Spans()
	assert.Equal(t, len(spans), 5)
	for _, span := range spans {
		assert.Equal(t, span.Reason, "finished")
	}
}

// TestStartDuringOutage guards against an entry VM that can't start while the log is
// unavailable. A new VM must get the configuration from its peers and serve requests;
// until the log is back it must neither publish nor run a request with a caller's key.
func TestStartDuringOutage(t *testing.T) { synctest.Test(t, testStartDuringOutage) }

func testStartDuringOutage(t *testing.T) {
	s, c, ctx := startSite(t)
	s.Platform.SetFault(standin.Fault{Unavailable: true})
	killVM(s)
	newAddress := ""
	for name, d := range s.VMs {
		if name != "si-a-vm1" && name != "si-c-vm1" {
			newAddress = d.Address()
		}
	}
	assert.NilError(t, s.AwaitConfig(ctx, c, 1))
	newVM := s.ClientOf(newAddress)
	resp, err := newVM.Send(ctx, api.Request{Customer: "stock", Kind: "reminder", Body: []byte("x")}, client.Options{})
	assert.NilError(t, err)
	assert.Equal(t, resp.Outcome, api.Done, resp.Reason)
	_, err = newVM.Publish(ctx, api.Publish{Parent: "none", Base: "x"})
	assert.ErrorIs(t, err, client.ErrRefused)
	shortCtx, cancel := context.WithTimeout(ctx, time.Second)
	resp, err = newVM.Send(shortCtx, api.Request{Customer: "stock", Kind: "reminder", Body: []byte("y")}, client.Options{Key: "own"})
	cancel()
	assert.NilError(t, err)
	assert.Assert(t, resp.Outcome == api.Retry || resp.Outcome == api.Unknown, "a claim can't be settled while the log is unavailable: %s", resp.Outcome)
	for _, run := range s.Runs() {
		assert.Assert(t, run.Body != "y")
	}
	s.Platform.SetFault(standin.Fault{})
	s.cfg.Files.Base += "# changed\n"
	view, err := newVM.Config(ctx)
	assert.NilError(t, err)
	out, err := newVM.Publish(ctx, api.Publish{Parent: view.Version, Base: s.cfg.Files.Base, Overlays: s.cfg.Files.Overlays})
	assert.NilError(t, err)
	assert.NilError(t, s.AwaitConfig(ctx, newVM, out.Number))
}

// TestForwardAfterTheDeadline guards against running a request twice: a delayed copy
// reaches the key's owner after the owner has dropped the key.
func TestForwardAfterTheDeadline(t *testing.T) { synctest.Test(t, testForwardAfterTheDeadline) }

func testForwardAfterTheDeadline(t *testing.T) {
	s, _, ctx := startSite(t)
	base := strings.Replace(s.cfg.Files.Base, "window = \"1m\"", "window = \"2s\"", 1)
	base = strings.Replace(base, "timeout = \"5s\"\nworth = 1.0", "timeout = \"1s\"\nworth = 1.0", 1)
	address := s.VMs["si-a-vm1"].Address()
	vmClient := s.ClientOf(address)
	view, err := vmClient.Config(ctx)
	assert.NilError(t, err)
	_, err = vmClient.Publish(ctx, api.Publish{Parent: view.Version, Base: base, Overlays: view.Overlays})
	assert.NilError(t, err)
	in := api.Request{ID: "late", Customer: "stock", Kind: "reminder", Body: []byte("late")}
	resp, err := vmClient.Send(ctx, in, client.Options{Key: "late"})
	assert.NilError(t, err)
	assert.Equal(t, resp.Outcome, api.Done, resp.Reason)
	time.Sleep(2500 * time.Millisecond)
	owner := rpc.NewPeerProtobufClient("http://"+address, s.HTTP("peer"))
	gossip, err := owner.Probe(ctx, &rpc.Gossip{Self: &rpc.Member{}})
	assert.NilError(t, err)
	reply, err := owner.Forward(ctx, &rpc.ForwardRequest{
		Owner: gossip.GetSelf().GetOwners()[0], Key: "late", Request: in.ID, Customer: in.Customer, Kind: in.Kind, Body: in.Body,
	})
	assert.NilError(t, err)
	assert.Equal(t, reply.GetOutcome(), string(api.Unknown), reply.GetReason())
	assert.Equal(t, len(s.Runs()), 1)
}

// TestStopPassesOverDeadSuccessors guards against keys that are lost in a handover: a
// stopping VM has a successor that was killed but is still considered live. The keys
// must go to the third VM.
func TestStopPassesOverDeadSuccessors(t *testing.T) {
	synctest.Test(t, testStopPassesOverDeadSuccessors)
}

func testStopPassesOverDeadSuccessors(t *testing.T) {
	s, c, ctx := startSite(t)
	in := api.Request{ID: "kept", Customer: "stock", Kind: "reminder", Body: []byte("kept")}
	vmClient := s.ClientOf(s.VMs["si-b-vm1"].Address())
	resp, err := vmClient.Send(ctx, in, client.Options{Key: "kept"})
	assert.NilError(t, err)
	assert.Equal(t, resp.Outcome, api.Done, resp.Reason)
	s.VMs["si-a-vm1"].Kill()
	assert.NilError(t, s.VMs["si-b-vm1"].Stop())
	delete(s.VMs, "si-a-vm1")
	delete(s.VMs, "si-b-vm1")
	c.Readdress(s.Addresses())
	again, err := c.Send(ctx, in, client.Options{Key: "kept"})
	assert.NilError(t, err)
	assert.Equal(t, again.Outcome, api.Done, again.Reason)
	assert.Equal(t, len(s.Runs()), 1)
}
