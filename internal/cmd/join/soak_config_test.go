package join_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"rhubarbshore/platform/platformtest"
)

const (
	// soakRollbackSlack is how long after an answer that only a version allows an older one may
	// still decide at the same VM, by the users' rules.
	soakRollbackSlack = 250 * time.Millisecond
	// soakProbeTimeout ends probes of VMs that are paused or cut off.
	soakProbeTimeout = 4 * time.Second
)

// configProbe is a call whose answer depends on the version in force.
type configProbe struct {
	sent       time.Time
	route, key int // versions that added them; 0 for those of all versions
	status     int
}

// allows reports whether the version gives the answer of the probe.
func (p configProbe) allows(version int) bool {
	switch {
	case p.route > 0 && !platformtest.InForce(p.route, version):
		return p.status == http.StatusNotFound
	case p.key > 0 && !platformtest.InForce(p.key, version):
		return p.status == http.StatusUnauthorized
	}
	return p.status == http.StatusOK
}

// configWatch records which versions a VM has shown to be in force.
type configWatch struct {
	mu    sync.Mutex
	shown []shownVersion
}

// shownVersion is the oldest version that explains an answer.
type shownVersion struct {
	version int
	at      time.Time // when the answer came
}

// floorAt returns the oldest version that may decide a call that is sent at the given time, by what the
// VM has shown.
func (w *configWatch) floorAt(sent time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	floor := 0
	for _, s := range w.shown {
		if sent.Sub(s.at) > soakRollbackSlack {
			floor = max(floor, s.version)
		}
	}
	return floor
}

func (w *configWatch) note(version int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.shown = append(w.shown, shownVersion{version, time.Now()})
}

// publishedVersion is a version with the time of its acknowledgement.
type publishedVersion struct {
	version      int
	acknowledged time.Time
}

// publishVersions publishes configurations until faultsEnd.
func (s *soak) publishVersions(r *rand.Rand) {
	for time.Now().Before(s.faultsEnd) {
		time.Sleep(time.Duration(r.IntN(3000)) * time.Millisecond)
		s.publish()
	}
}

// probeConfig checks until VMs have recovered that no answer of a VM is by a configuration that was
// replaced too long ago, or older than one that the VM has used. That holds during all faults.
func (s *soak) probeConfig(ctx context.Context, r *rand.Rand) {
	client := &http.Client{Timeout: soakProbeTimeout}
	var wg sync.WaitGroup
	defer wg.Wait()
	for time.Now().Before(s.faultsEnd.Add(soakRecoveryTime)) {
		v := s.vms[r.IntN(len(s.vms))]
		newest := s.newestVersion()
		p := configProbe{route: max(newest-r.IntN(4), 0), key: max(newest-r.IntN(4), 0)}
		if r.IntN(2) == 0 {
			p.key = 0
		}
		wg.Go(func() { s.probe(ctx, client, v, p) })
		time.Sleep(time.Duration(r.IntN(60)) * time.Millisecond)
	}
}

// probe sends a probe and checks its answer.
func (s *soak) probe(ctx context.Context, client *http.Client, v *soakVM, p configProbe) {
	path, key := platformtest.PathPrefix(0), platformtest.Key
	if p.route > 0 {
		path = platformtest.VersionPrefix(p.route)
	}
	if p.key > 0 {
		key = platformtest.VersionKey(p.key)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.clients.address()+path, nil)
	if err != nil {
		s.reportf("probe: %v", err)
		return
	}
	r.Host = platformtest.Host
	r.Header.Set("Api-Key", key)
	p.sent = time.Now()
	floor := max(v.config.floorAt(p.sent), s.versionAt(p.sent.Add(-platformtest.ConfigApply)))
	resp, err := client.Do(r)
	if err != nil {
		return // the VM is down, paused or cut off
	}
	_ = resp.Body.Close() // the status is all that counts
	p.status = resp.StatusCode
	if p.status >= http.StatusInternalServerError {
		return
	}
	for version := floor; version <= s.newestVersion(); version++ {
		if p.allows(version) {
			v.config.note(version)
			return
		}
	}
	s.reportf("%s answered %d to a call with the route of version %d and the key of %d, sent at %s, when %d to %d were allowed",
		v.name, p.status, p.route, p.key, p.sent.Format("15:04:05.000"), floor, s.newestVersion())
}

// newestVersion returns the newest version that was published or is being published.
func (s *soak) newestVersion() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// versionAt returns the newest version that was acknowledged at the given time.
func (s *soak) versionAt(t time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range slices.Backward(s.published) {
		if !p.acknowledged.After(t) {
			return p.version
		}
	}
	return 0
}
