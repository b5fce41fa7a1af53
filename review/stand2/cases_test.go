//go:build review2

package stand2

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"rhubarbshore/internal/intake"
	"rhubarbshore/internal/standin"
)

// Times of the rule LOST for tasks that last.
const (
	restartTime = 6 * time.Second
	stallLimit  = 3 * time.Second
)

// smallSite starts three VMs and ten minions, of which the last has the label b.
func smallSite(s *site) (*vm, []*vm) {
	for i := range 10 {
		label := "a"
		if i == 9 {
			label = "b"
		}
		s.addMinion(fmt.Sprintf("m-%02d", i), fmt.Sprintf("r1-%d", i/5), label, room{128000, 262144, 8})
	}
	for i := range 3 {
		s.addVM(fmt.Sprintf("vm-%d", i+1))
	}
	lead, others := s.leader()
	time.Sleep(contact) // all are in touch
	return lead, others
}

// jobIDs returns n IDs of jobs of one part.
func jobIDs(part, n int) []string {
	var ids []string
	for i := 0; len(ids) < n; i++ {
		if id := fmt.Sprintf("%016x", 0x5c0e7a21d94b0000+i); intake.PartOf(id) == part {
			ids = append(ids, id)
		}
	}
	return ids
}

// cancelledJobRuns is case 6: a client that was not told whether its job was accepted cancels it, and the job
// starts long after the cancelling was acknowledged.
func cancelledJobRuns(s *site, trouble bool) string {
	_, others := smallSite(s)
	a, b := others[0], others[1]
	id := jobIDs(3, 1)[0]
	if trouble {
		s.note("the store does not answer the writes of %s, and carries them out 6 s later", a.name)
		s.platform.Log.SetVMFault(a.name, &standin.LogFault{LossRate: 1, Late: 6 * time.Second})
	}
	others8 := make(chan bool)
	go func() { // other clients, whose writes the store answers
		defer close(others8)
		for _, other := range jobIDs(5, 8) {
			s.call(b, http.MethodPost, other, job("work=500", nil))
			time.Sleep(200 * time.Millisecond)
		}
	}()
	status, _ := s.call(a, http.MethodPost, id, job("work=9000", nil))
	s.platform.Log.SetVMFault(a.name, nil)
	s.note("the store answers all writes")
	<-others8
	cancelled := s.retry(http.MethodDelete, id, nil)
	ackedAt := time.Now()
	if cancelled == 0 {
		return "" // no acknowledgement to judge by
	}
	s.note("the cancelling of %s is acknowledged with %d", id, cancelled)
	for end := ackedAt.Add(12 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, at := range s.startsOf(id) {
			if late := at.Sub(ackedAt); late > cancelTime {
				return fmt.Sprintf("UNASKED a task of %s starts %d ms after its cancelling was acknowledged with %d; its submission was answered %d", id, late.Milliseconds(), cancelled, status)
			}
		}
	}
	return ""
}

// waitingJobsAreNotCounted is case 10: jobs whose starts were refused are not counted as waiting.
func waitingJobsAreNotCounted(s *site, trouble bool) string {
	smallSite(s)
	sick := s.minions[9]
	if trouble {
		sick.setBusy(true)
		defer sick.setBusy(false)
	}
	ids := jobIDs(1, 8)
	for _, id := range ids {
		if s.retry(http.MethodPost, id, job("work=9000", map[string]any{"required_label": "b"})) != http.StatusOK {
			return ""
		}
	}
	time.Sleep(visible + 2*time.Second + 200*time.Millisecond)
	for _, v := range s.vms {
		begunBefore := s.begun(ids)
		status, data := s.call(v, http.MethodGet, "", nil)
		notBegun := len(ids) - s.begun(ids)
		var out struct {
			Waiting int `json:"waiting"`
		}
		if status != http.StatusOK || json.Unmarshal(data, &out) != nil {
			continue
		}
		s.note("%s says that %d jobs wait; %d of %d had begun before the call", v.name, out.Waiting, begunBefore, len(ids))
		if 2*out.Waiting < notBegun {
			return fmt.Sprintf("MIXED %s gives %d as waiting, and %d jobs that were accepted over %s before have not begun", v.name, out.Waiting, notBegun, visible+2*time.Second)
		}
	}
	return ""
}

// begun returns how many of the jobs have begun.
func (s *site) begun(ids []string) int {
	n := 0
	for _, id := range ids {
		if len(s.startsOf(id)) > 0 {
			n++
		}
	}
	return n
}

// lastingTaskStaysAway is case 8: a task that lasts is not started again in time after its minion has crashed
// and a new one runs at its address.
func lastingTaskStaysAway(s *site, trouble bool) string {
	smallSite(s)
	id := jobIDs(2, 1)[0]
	if s.retry(http.MethodPost, id, job("lasts", map[string]any{"long_running": true})) != http.StatusOK {
		return ""
	}
	task := id + ".0.0.0"
	time.Sleep(contact + 2*time.Second)
	if up, _ := s.running(task); !up {
		return "LOST the lasting task has not begun 5 s after its acceptance"
	}
	if trouble {
		s.hostOf(task).restart(time.Second)
	}
	problem := ""
	for end := time.Now().Add(14 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		up, ended := s.running(task)
		switch {
		case !up && problem == "" && time.Since(ended) > restartTime+stallLimit:
			problem = fmt.Sprintf("LOST %s has had no run since its last one ended %s ago, with ten minions free", task, restartTime+stallLimit)
		case up && problem != "":
			s.note("the task runs again")
			return problem
		}
	}
	return problem
}

// hostOf returns the minion that runs a task.
func (s *site) hostOf(task string) *minion {
	for _, m := range s.minions {
		m.mu.Lock()
		host := m.runs[task] != nil
		m.mu.Unlock()
		if host {
			return m
		}
	}
	panic(setupError{fmt.Errorf("no minion runs %s", task)})
}

// acceptedJobIsPassedOver is case 9: after a change of the configuration jobs are accepted that no leader takes.
func acceptedJobIsPassedOver(s *site, trouble bool) string {
	smallSite(s)
	target := int64(2000)
	if trouble {
		target = 400 * 24 * time.Hour.Milliseconds()
	}
	s.note("the operator changes the queue's objective to %d ms", target)
	s.publish(7, target)
	time.Sleep(contact)
	for _, id := range jobIDs(4, 3) {
		if s.retry(http.MethodPost, id, job("work=500", nil)) != http.StatusOK {
			continue
		}
		time.Sleep(visible + time.Second)
		for _, v := range s.vms {
			if status, _ := s.call(v, http.MethodGet, id, nil); status == http.StatusGone {
				return fmt.Sprintf("LOST %s answers 410 for %s, accepted over %s before; starts: %d", v.name, id, visible, len(s.startsOf(id)))
			}
		}
	}
	return ""
}

// largeJob returns the body of a job of 256 steps, each of which waits for all earlier ones. The store's records
// and the configuration allow jobs of nearly twice its size.
func largeJob() map[string]any {
	const steps = 256
	var list []any
	for i := range steps {
		step := job("", nil)["steps"].([]any)[0].(map[string]any)
		var after []int
		for before := range i {
			after = append(after, before)
		}
		step["after"] = after
		list = append(list, step)
	}
	return map[string]any{"specification": "work=9000", "steps": list}
}

// cancelledJobsRunOn is case 7: large jobs that come at once while the store is slow are accepted, and their
// cancelling is answered 410 while they go on.
func cancelledJobsRunOn(s *site, trouble bool) string {
	const jobs = 24
	smallSite(s)
	if trouble {
		s.storeDelay.Store(int64(30 * 4 * time.Millisecond))
		s.note("the store takes 120 ms for an answer")
		time.AfterFunc(4500*time.Millisecond, func() {
			s.storeDelay.Store(0)
			s.note("the store takes the usual time again")
		})
	}
	body, ids := largeJob(), jobIDs(6, jobs)
	data, err := json.Marshal(body)
	s.must(err)
	s.note("%d jobs of %d bytes come at once", jobs, len(data))
	gone := make(chan string, jobs)
	var wg sync.WaitGroup
	for i := range jobs {
		id := ids[i]
		wg.Go(func() {
			if status, _ := s.call(s.vms[i%len(s.vms)], http.MethodPost, id, body); status != http.StatusOK {
				return
			}
			if status, _ := s.call(s.vms[(i+1)%len(s.vms)], http.MethodDelete, id, nil); status == http.StatusGone {
				gone <- id
			}
		})
	}
	wg.Wait()
	ackedAt := time.Now()
	close(gone)
	s.note("%d accepted jobs were answered 410", len(gone))
	time.Sleep(time.Until(ackedAt.Add(contact + 4500*time.Millisecond + cancelTime + stopTime)))
	for id := range gone {
		task := id + ".0.0.0"
		if running, _ := s.running(task); running || len(s.startsOf(id)) > 1 {
			return fmt.Sprintf("UNASKED tasks of %s run %d ms after its cancelling was acknowledged with 410, though it was accepted", id, time.Since(ackedAt).Milliseconds())
		}
	}
	return ""
}
