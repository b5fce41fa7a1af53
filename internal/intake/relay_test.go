package intake_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbshore/internal/intake"
	"rhubarbshore/internal/standin"
	"rhubarbshore/internal/store"
)

// schedulingVM is another VM, which schedules. It stores relayed jobs unless it is silent or
// gone.
type schedulingVM struct {
	intake *intake.Intake
	silent bool
	gone   bool
	calls  int
}

// RoundTrip implements http.RoundTripper.
func (v *schedulingVM) RoundTrip(r *http.Request) (*http.Response, error) {
	v.calls++
	if v.gone {
		return nil, &net.OpError{Op: "dial", Err: io.EOF}
	}
	if v.silent {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	var in intake.RelayRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		return nil, err
	}
	data, err := json.Marshal(v.intake.Accept(r.Context(), in))
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(data)), Header: http.Header{}}, err
}

// addSchedulingVM adds another VM that schedules, with a configuration that allows the given
// key. The store refuses only the first VM.
func addSchedulingVM(s *site, key string) *schedulingVM {
	watched := store.NewHealthTracker(s.log.View("other"))
	o := &schedulingVM{intake: intake.New(intake.Config{
		Log: watched, LeaderTracker: &tracker{changed: make(chan struct{})}, Logger: slog.New(slog.DiscardHandler),
		LocalScheduler: func() intake.LocalScheduler { return nil }, Healthy: watched.Healthy, FailingFor: watched.FailingFor,
		Admit: admitKey(key), CatalogConfirmed: func() bool { return true },
	})}
	s.wg.Go(func() { o.intake.Run(s.ctx) })
	s.client.Transport = o
	s.tracker.setLeader("other")
	s.log.SetVMFault("vm", &standin.LogFault{Refuse: true})
	return o
}

// A job submitted to a VM that the store refuses must be stored through another VM that reaches
// the store. A third of the VMs once refused all jobs for nine seconds.
func TestJobsOfARefusedVMAreStoredByAnother(t *testing.T) {
	run(t, func(s *site) {
		addSchedulingVM(s, "k")
		for id := range 20 { // the VM does not know at first that it is refused
			took, err := s.submit(id)
			assert.NilError(t, err)
			assert.Assert(t, took < 200*time.Millisecond, "took %s", took)
			assert.Assert(t, s.stored(t, id))
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// A VM that the store refuses may have missed a configuration. A job must not be stored if its
// key has been removed in the meantime.
func TestJobsThatAreNoLongerAllowedAreNotRelayed(t *testing.T) {
	run(t, func(s *site) {
		addSchedulingVM(s, "another")
		_, err := s.submit(1)
		var busy *intake.BusyError
		assert.Assert(t, errors.As(err, &busy), "%v", err)
		assert.Assert(t, !s.stored(t, 1))
	})
}

// Guards against a VM that was paused and accepts a job with a key that was withdrawn meanwhile:
// until its configuration is confirmed, another VM must decide.
func TestPausedVMDoesNotAcceptOnAWithdrawnKey(t *testing.T) {
	for name, key := range map[string]string{"withdrawn": "another", "still allowed": "k"} {
		run(t, func(s *site) {
			addSchedulingVM(s, key)
			s.log.SetVMFault("vm", nil)
			s.unconfirmed = true
			_, err := s.submit(1)
			if key == "k" {
				assert.NilError(t, err, name)
				assert.Assert(t, s.stored(t, 1), name)
				return
			}
			var busy *intake.BusyError
			assert.Assert(t, errors.As(err, &busy), "%s: %v", name, err)
			assert.Assert(t, !s.stored(t, 1), name)
		})
	}
}

// After a relay, a job may only be refused if the other VM cannot have stored it.
func TestRefusalsAfterARelayAreTrue(t *testing.T) {
	run(t, func(s *site) {
		o := addSchedulingVM(s, "k")
		var busy *intake.BusyError
		o.gone = true
		_, err := s.submit(1)
		assert.Assert(t, errors.As(err, &busy), "%v", err)
		o.gone, o.silent = false, true
		took, err := s.submit(2)
		assert.ErrorIs(t, err, intake.ErrUncertain)
		assert.Assert(t, took < 700*time.Millisecond, "took %s", took)
		o.silent = false
		s.log.SetVMFault("other", &standin.LogFault{LossRate: 1, Late: time.Second})
		_, err = s.submit(3)
		assert.ErrorIs(t, err, intake.ErrUncertain)
	})
}

// A VM that reaches neither the store nor the scheduling VM must refuse jobs at once.
func TestACutVMRefusesAtOnce(t *testing.T) {
	run(t, func(s *site) {
		o := addSchedulingVM(s, "k")
		time.Sleep(time.Second)
		_, err := s.submit(1) // the VM learns that it is refused
		assert.NilError(t, err)
		s.tracker.silent = true
		time.Sleep(time.Second)
		calls := o.calls
		took, err := s.submit(2)
		var busy *intake.BusyError
		assert.Assert(t, errors.As(err, &busy), "%v", err)
		assert.Assert(t, took == 0 && o.calls == calls, "took %s, %d calls", took, o.calls-calls)
	})
}
