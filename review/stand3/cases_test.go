//go:build review3

package stand3

import (
	"encoding/json"
	"os"
	"syscall"
	"time"
)

func init() {
	cases["odd-service"] = oddService
	cases["odd-born"] = oddBorn
	cases["lost-zone"] = lostZone
	cases["release"] = release
	cases["grey"] = grey
}

var zones = []string{"z1", "z2", "z3"}

var (
	robes = route{name: "q-robes", prefix: "/lohu930/", service: "robe-desk", priority: 1}
	tents = route{name: "q-tents", prefix: "/pule252/", service: "tent-desk", priority: 1}
)

// startAttempts allows for a port that another process has taken since it was found free.
const startAttempts = 3

// startSite starts three VMs and waits until they take calls and one leads.
func startSite(s *site, routes ...route) error {
	s.publish(routes...)
	for range startAttempts {
		for _, zone := range zones {
			if err := s.addVM("frontend-"+zone+"-1", zone); err != nil {
				return err
			}
		}
		if await(8*time.Second, s.isUp) {
			s.note("all daemons are ready")
			return nil
		}
		s.note("not all daemons are ready; starting them with other ports")
		s.endVMs()
	}
	return errCannotRun
}

// isUp reports whether all daemons take calls and one leads.
func (s *site) isUp() bool {
	for _, v := range s.vms {
		if !v.isReady() {
			return false
		}
	}
	return s.leader() != nil
}

func step(count, gpus int, estimate time.Duration) map[string]any {
	return map[string]any{"count": count, "cpu": 1000, "requested_memory_mb": 1024, "gpus": gpus, "estimated_ms": estimate.Milliseconds()}
}

// putOdd leaves an odd entry of another writer under a minion's ID.
func (s *site) putOdd(m *minion, entry map[string]any) {
	value, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	s.store.put("servers", m.id, value)
	s.note("another writer: entry under %s: %s", m.id, value)
}

// oddService: an entry with fields missing names another service for a minion, while work waits there.
func oddService(record *os.File, trouble bool) (*site, error) {
	s, err := newSite(record, 6*time.Second)
	if err != nil {
		return nil, err
	}
	for i, id := range []string{"i-r1", "i-r2"} {
		if err := s.addMinion(id, robes.service, "r1-"+string(rune('1'+i)), "z1", 8); err != nil {
			return s, err
		}
	}
	for _, id := range []string{"i-t1", "i-t2"} {
		if err := s.addMinion(id, tents.service, "r2-1", "z2", 8); err != nil {
			return s, err
		}
	}
	if err := startSite(s, robes, tents); err != nil {
		return s, err
	}
	id, ok := s.submit(robes, tenantKey, job{work: 4 * time.Second}, []map[string]any{step(8, 8, 4*time.Second)})
	if !ok || !await(10*time.Second, func() bool { return s.atWork(id) == 2 }) {
		return s, errCannotRun
	}
	time.Sleep(time.Second)
	t1 := s.minions[2]
	if trouble {
		t1.afterBeat()
		s.putOdd(t1, map[string]any{
			"service": robes.service, "address": t1.address, "state": "ready",
			"capacity": map[string]any{"cpu": 32000, "requested_memory_mb": 131072, "gpus": 8},
		})
	}
	done := func() bool {
		n := 0
		for _, o := range s.observedRuns(id) {
			if o.how == "done" {
				n++
			}
		}
		return n >= 8
	}
	await(30*time.Second, done)
	for _, o := range s.observedRuns(id) {
		if o.minion.service != robes.service {
			s.rule("ROUTE: %s/%d of %s started on %s, a minion of %s", o.task, o.number, robes.name, o.minion.id, o.minion.service)
		}
	}
	if len(s.broken) == 0 && !done() {
		return s, errCannotRun
	}
	return s, nil
}

// oddBorn: an entry of a service that isn't named has a later start than the minion on which tasks that last
// are at work.
func oddBorn(record *os.File, trouble bool) (*site, error) {
	s, err := newSite(record, 6*time.Second)
	if err != nil {
		return nil, err
	}
	for _, id := range []string{"i-r1", "i-r2", "i-r3"} {
		if err := s.addMinion(id, robes.service, "r1-1", "z1", 8); err != nil {
			return s, err
		}
	}
	if err := startSite(s, robes); err != nil {
		return s, err
	}
	st := step(3, 2, time.Second)
	st["long_running"], st["miss_allowed"], st["anti_affinity"] = true, 1, 2
	id, ok := s.submit(robes, tenantKey, job{lasting: true}, []map[string]any{st})
	if !ok || !await(10*time.Second, func() bool { return s.atWork(id) == 3 }) {
		return s, errCannotRun
	}
	time.Sleep(5 * time.Second)
	var shared *minion
	n := map[*minion]int{}
	for _, o := range s.observedRuns(id) {
		if n[o.minion]++; n[o.minion] == 2 {
			shared = o.minion
		}
	}
	if shared == nil || s.atWork(id) != 3 {
		return s, errCannotRun
	}
	if trouble {
		entry := shared.entry()
		entry["service"], entry["born"] = "old-desk", time.Now().UnixMilli()
		s.putOdd(shared, entry)
	}
	time.Sleep(20 * time.Second)
	s.checkMissAllowed(id, 1)
	return s, nil
}

// lostZone: the zone of the VM that leads is lost for good, with a minion on which a task that lasts is at work.
func lostZone(record *os.File, trouble bool) (*site, error) {
	s, err := newSite(record, 6*time.Second)
	if err != nil {
		return nil, err
	}
	for _, zone := range zones {
		for _, n := range []string{"1", "2"} {
			if err := s.addMinion("i-"+zone+"-"+n, robes.service, "r-"+zone, zone, 8); err != nil {
				return s, err
			}
		}
	}
	if err := startSite(s, robes); err != nil {
		return s, err
	}
	var steps []map[string]any
	for _, zone := range zones {
		st := step(1, 2, time.Second)
		st["long_running"], st["data_rack"] = true, "r-"+zone
		steps = append(steps, st)
	}
	id, ok := s.submit(robes, tenantKey, job{lasting: true}, steps)
	if !ok || !await(10*time.Second, func() bool { return s.atWork(id) == len(zones) }) {
		return s, errCannotRun
	}
	time.Sleep(8 * time.Second)
	l := s.leader()
	if l == nil || s.atWork(id) != len(zones) {
		return s, errCannotRun
	}
	at := time.Now()
	if trouble {
		l.signal(syscall.SIGKILL)
		for _, m := range s.minions {
			if m.zone == l.zone {
				m.lose()
			}
		}
	}
	if s.atWork(id) == len(zones) && trouble {
		return s, errCannotRun // no task was there
	}
	await(20*time.Second, func() bool { return s.atWork(id) == len(zones) })
	for task, since := range s.away(id) {
		if gone := since.until.Sub(since.from); gone >= 9*time.Second {
			s.rule("LOST: %s had no run for %d ms, from %d ms after the loss on", task, gone.Milliseconds(), since.from.Sub(at).Milliseconds())
		}
	}
	return s, nil
}

type span struct{ from, until time.Time }

// away returns the last time in which each task of a job had no run, if there was one.
func (s *site) away(id string) map[string]span {
	out := map[string]span{}
	for _, o := range s.observedRuns(id) {
		if sp, was := out[o.task]; was {
			sp.until = o.startedAt
			out[o.task] = sp
		}
		if !o.endedAt.IsZero() {
			out[o.task] = span{o.endedAt, time.Now()}
		}
	}
	return out
}

// checkMissAllowed checks that no task was ended by an order, or by a lease that lapsed, while as many others were
// away as may be missed. All minions are sound and none drains.
func (s *site) checkMissAllowed(id string, allowed int) {
	runs := s.observedRuns(id)
	for i, o := range runs {
		if o.how != "stopped" && o.how != "lapsed" {
			continue
		}
		away := 0
		for k, other := range runs {
			if k == i || other.task == o.task || other.endedAt.IsZero() || other.endedAt.After(o.endedAt) || other.endedAt.Equal(o.endedAt) && k > i {
				continue
			}
			back := false
			for _, next := range runs {
				back = back || next.task == other.task && next.number > other.number && next.startedAt.Before(o.endedAt)
			}
			if !back {
				away++
			}
		}
		if away >= allowed {
			s.rule("AVAIL: %s/%d ended on %s (%s), while %d others of its step were away; %d may be", o.task, o.number, o.minion.id, o.how, away, allowed)
		}
	}
}

// release: the minions of a service are replaced by such of the next version of their software.
func release(record *os.File, trouble bool) (*site, error) {
	s, err := newSite(record, 6*time.Second)
	if err != nil {
		return nil, err
	}
	add := func(name string) error { return s.addMinion(name, robes.service, "r1-1", "z1", 8) }
	names := []string{"i-a", "i-b", "i-c", "i-d"}
	for _, name := range names {
		if err := add(name + "1"); err != nil {
			return s, err
		}
	}
	if err := startSite(s, robes); err != nil {
		return s, err
	}
	steps := []map[string]any{step(2, 8, 6*time.Second)}
	if trouble {
		s.software = paddingVersion
	}
	for i, name := range names {
		s.minions[i].leave()
		if err := add(name + "2"); err != nil {
			return s, err
		}
	}
	time.Sleep(2 * time.Second)
	id, ok := s.submit(robes, tenantKey, job{work: 6 * time.Second}, steps)
	if !ok || !await(10*time.Second, func() bool { return s.atWork(id) >= 2 }) {
		return s, errCannotRun
	}
	time.Sleep(20 * time.Second)
	return s, nil
}

// greyTime is how long a minion is grey.
const greyTime = 6 * time.Second

// grey: a minion fails part of its requests while its health is good.
func grey(record *os.File, trouble bool) (*site, error) {
	s, err := newSite(record, 6*time.Second)
	if err != nil {
		return nil, err
	}
	for _, name := range []string{"i-a", "i-b", "i-c", "i-d", "i-e", "i-f", "i-g", "i-h"} {
		if err := s.addMinion(name, robes.service, "r1-1", "z1", 8); err != nil {
			return s, err
		}
	}
	if err := startSite(s, robes); err != nil {
		return s, err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		m := s.minions[0]
		m.setGrey(true)
		time.AfterFunc(greyTime, func() { m.setGrey(false) })
	}
	for range 3 {
		id, ok := s.submit(robes, tenantKey, job{work: 2500 * time.Millisecond}, []map[string]any{step(5, 8, 2500*time.Millisecond)})
		if !ok || !await(10*time.Second, func() bool { return s.atWork(id) >= 5 }) {
			return s, errCannotRun
		}
		time.Sleep(3500 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	return s, nil
}
