package join_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbshore/platform/platformtest"
)

// startLinkedDaemon starts a daemon whose calls to the store go through a link, with version 1 in force.
func startLinkedDaemon(t *testing.T, p *platformtest.Platform) (*daemon, *link) {
	t.Helper()
	store := newLink(t, p.Store())
	d := startDaemonWith(t, "vm-0", func(vm string, clients, ready, internal int) string {
		return strings.Replace(p.Settings(vm, clients, ready, internal), p.Store(), store.address(), 1)
	})
	p.Publish(1)
	d.awaitReady(t)
	waitUntil(t, platformtest.ConfigApply, func() bool { return d.get(t, platformtest.VersionPrefix(1), platformtest.Key) == http.StatusOK })
	return d, store
}

// get requests the number of waiting jobs and returns the status.
func (d *daemon) get(t *testing.T, path, key string) int {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.clients+path, nil)
	assert.NilError(t, err)
	r.Host = platformtest.Host
	r.Header.Set("Api-Key", key)
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	return resp.StatusCode
}

// outdated returns the answers that only a version before the given one allows.
func (d *daemon) outdated(t *testing.T, version int) (found []string) {
	t.Helper()
	before, current := version-platformtest.VersionsKept, version // before has just been dropped
	for _, c := range []struct {
		path, key string
		wrong     int
	}{
		{platformtest.VersionPrefix(current), platformtest.Key, http.StatusNotFound},
		{platformtest.VersionPrefix(current), platformtest.VersionKey(current), http.StatusUnauthorized},
		{platformtest.VersionPrefix(before), platformtest.Key, http.StatusOK},
		{platformtest.PathPrefix(0), platformtest.VersionKey(before), http.StatusOK},
	} {
		if status := d.get(t, c.path, c.key); status == c.wrong || status == http.StatusNotFound && c.wrong == http.StatusUnauthorized {
			found = append(found, fmt.Sprintf("%s with %s: %d", c.path, c.key, status))
		}
	}
	return found
}

// TestVersionIsInForceThoughItsAnswerIsLost guards against a VM that answers calls by an outdated
// configuration because the connection of its read fell silent. The read ended after 2.5 s only.
func TestVersionIsInForceThoughItsAnswerIsLost(t *testing.T) {
	p, err := platformtest.New(platformtest.Config{Workers: 1, TaskTime: func(string) time.Duration { return time.Second }})
	assert.NilError(t, err)
	defer p.Close()
	d, store := startLinkedDaemon(t, p)
	p.Publish(2)
	waitUntil(t, platformtest.ConfigApply, func() bool { return d.get(t, platformtest.VersionPrefix(2), platformtest.Key) == http.StatusOK })
	store.silence() // a read that waits for the next version was just sent
	p.Publish(4)
	acknowledged := time.Now()
	time.Sleep(platformtest.ConfigApply)
	for time.Since(acknowledged) < 3*platformtest.ConfigApply {
		if found := d.outdated(t, 4); len(found) > 0 {
			t.Errorf("%v after the acknowledgement: %s", time.Since(acknowledged), strings.Join(found, ", "))
		}
		time.Sleep(100 * time.Millisecond)
	}
	assert.Equal(t, d.get(t, platformtest.VersionPrefix(4), platformtest.Key), http.StatusOK)
}

// TestResumedVMDoesNotAnswerByItsOldConfiguration guards against a VM that was paused and answers the
// calls that wait for it before it has read the configuration again.
func TestResumedVMDoesNotAnswerByItsOldConfiguration(t *testing.T) {
	p, err := platformtest.New(platformtest.Config{Workers: 1, TaskTime: func(string) time.Duration { return time.Second }})
	assert.NilError(t, err)
	defer p.Close()
	d, store := startLinkedDaemon(t, p)
	assert.NilError(t, d.cmd.Process.Signal(syscall.SIGSTOP))
	store.setFault(linkStalled)
	p.Publish(3)
	time.Sleep(platformtest.ConfigApply + 500*time.Millisecond)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var found []string
	for range 10 {
		wg.Go(func() {
			outdated := d.outdated(t, 3)
			mu.Lock()
			defer mu.Unlock()
			found = append(found, outdated...)
		})
	}
	time.Sleep(200 * time.Millisecond) // the calls have been sent
	assert.NilError(t, d.cmd.Process.Signal(syscall.SIGCONT))
	time.Sleep(200 * time.Millisecond)
	store.setFault(linkHealthy)
	wg.Wait()
	assert.DeepEqual(t, found, []string(nil))
	waitUntil(t, platformtest.ConfigApply, func() bool { return d.get(t, platformtest.VersionPrefix(3), platformtest.Key) == http.StatusOK })
}
