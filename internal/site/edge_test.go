package site

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"rhubarbshore/pkg/api"
)

// post sends a body and returns the status code and the reason of the answer.
func post(t *testing.T, c *http.Client, address, path string, body []byte) (int, string) {
	t.Helper()
	resp, err := c.Post("http://"+address+path, "application/json", bytes.NewReader(body))
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	var p api.Problem
	_ = json.NewDecoder(resp.Body).Decode(&p)
	return resp.StatusCode, p.Reason
}

// TestAddressesAreUsedOnce guards against an address that FreeAddress returns twice, for
// as many addresses as the control matrix needs.
func TestAddressesAreUsedOnce(t *testing.T) {
	seen := map[string]bool{}
	for range 1000 {
		address, err := FreeAddress()
		assert.NilError(t, err)
		assert.Assert(t, !seen[address], address)
		seen[address] = true
	}
}

// TestProcessesShareNoPorts guards against two test processes whose VMs get the same
// address, because neither VM listens yet when the other process allocates the port.
func TestProcessesShareNoPorts(t *testing.T) {
	var processes [20]portAllocator
	seen := map[int]bool{}
	for range 60 {
		for i := range processes {
			port, err := processes[i].allocate()
			assert.NilError(t, err)
			assert.Assert(t, !seen[port], port)
			seen[port] = true
		}
	}
	for i := range processes {
		for _, l := range processes[i].blockLocks {
			assert.NilError(t, l.Close())
		}
	}
}

// TestLimits guards against accepting requests that exceed a limit, are malformed, or name
// an unknown customer or kind.
func TestLimits(t *testing.T) { synctest.Test(t, testLimits) }

func testLimits(t *testing.T) {
	s, _, _ := startSite(t)
	address, hc := s.Addresses()[0], s.HTTP("caller")
	request := func(customer, kind string, size int) []byte {
		data, err := json.Marshal(api.Request{Customer: customer, Kind: kind, Body: make([]byte, size)})
		assert.NilError(t, err)
		return data
	}
	cases := []struct {
		path   string
		body   []byte
		status int
		reason string
	}{
		{"/v1/requests", request("stock", "reminder", 16384), http.StatusOK, ""},
		{"/v1/requests", request("stock", "reminder", 16385), api.NotRun.Status(), "size"},
		{"/v1/requests", request("nobody", "reminder", 1), api.NotRun.Status(), "customer"},
		{"/v1/requests", request("stock", "nothing", 1), api.NotRun.Status(), "kind"},
		{"/v1/requests", bytes.Repeat([]byte("x"), 7<<20), http.StatusBadRequest, "malformed"},
		{"/v1/requests", []byte("{"), http.StatusBadRequest, "malformed"},
		{"/v1/requests/settle", request("stock", "reminder", 1), http.StatusBadRequest, "malformed"},
		{"/v1/tickets?count=1001", nil, http.StatusBadRequest, "malformed"},
		{"/v1/jobs", []byte(`{"id":"x"}`), http.StatusBadRequest, "malformed"},
		{"/v1/jobs", []byte(`{"id":"` + strings.Repeat("x", 129) + `","zone":"si-a","accelerators":1,"cells":1}`), http.StatusBadRequest, "malformed"},
		{"/v1/config", []byte(`{"base":"zoom = 1"}`), http.StatusUnprocessableEntity, "invalid"},
	}
	for _, c := range cases {
		status, reason := post(t, hc, address, c.path, c.body)
		assert.Equal(t, status, c.status, "%s %.60s", c.path, c.body)
		assert.Equal(t, reason, c.reason, "%s %.60s", c.path, c.body)
	}
}

// TestHealthTurns guards against a stopping daemon that refuses connections before its
// health check has reported that it is unavailable.
func TestHealthTurns(t *testing.T) { synctest.Test(t, testHealthTurns) }

func testHealthTurns(t *testing.T) {
	s, _, _ := startSite(t)
	address, hc := s.VMs["si-a-vm1"].Address(), s.HTTP("caller")
	health := func() int {
		resp, err := hc.Get("http://" + address + "/health")
		if err != nil {
			return 0
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	assert.Equal(t, health(), http.StatusOK)
	done := make(chan error)
	go func() { done <- s.VMs["si-a-vm1"].Stop() }()
	for health() != http.StatusServiceUnavailable {
		if health() == 0 {
			t.Fatal("the daemon stopped without reporting that it is unavailable")
		}
	}
	assert.NilError(t, <-done)
	delete(s.VMs, "si-a-vm1")
}
