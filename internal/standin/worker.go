package standin

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"rhubarbshore/internal/httpjson"
	"rhubarbshore/internal/worker"
)

// Span is a period of time in which a worker ran a job's tasks.
type Span struct {
	Worker     string    `json:"worker"`
	Job        string    `json:"job"`
	Generation uint64    `json:"generation"`
	Members    int       `json:"members"`
	Begin      time.Time `json:"begin"`
	End        time.Time `json:"end,omitzero"`
	Reason     string    `json:"reason,omitempty"`
}

// WorkerFault injects faults into one worker.
type WorkerFault struct {
	// Fail makes every task fail at its start.
	Fail bool `json:"fail"`
	// Hang makes checkpoint calls hang until they are cancelled.
	Hang bool `json:"hang"`
}

// WorkerConfig configures a Worker.
type WorkerConfig struct {
	Name         string
	Accelerators int
	// Runtime returns the run time of a lease's tasks. If nil, they run for the
	// declared time.
	Runtime func(l worker.Lease) time.Duration
	// Cores and Memory, in GB, are the worker's capacity. Memory 0 turns off memory
	// accounting.
	Cores  float64
	Memory float64
	// Use returns the total usage of a lease's tasks. If nil, they use what they
	// declare.
	Use func(l worker.Lease) (cores, memory float64)
	// Lag is the age of reported usage; jobs that started more recently are left out.
	Lag time.Duration
}

// Worker simulates one worker.
type Worker struct {
	cfg      WorkerConfig
	mu       sync.Mutex
	fence    worker.Fence
	lastCall time.Time
	leases   map[string]*grant
	spans    []Span
	fault    WorkerFault
	limits   map[string]float64 // cores of throttled jobs
}

// grant is a lease with its deadline on the worker's own clock.
type grant struct {
	lease    worker.Lease
	deadline time.Time
	finishAt time.Time // when the tasks are done, zero if they run until stopped
	span     int       // index into Worker.spans
}

// NewWorker returns an idle worker.
func NewWorker(cfg WorkerConfig) *Worker {
	return &Worker{cfg: cfg, leases: map[string]*grant{}}
}

// SetFault replaces the fault in force.
func (w *Worker) SetFault(f WorkerFault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = f
}

// Ledger returns the periods in which tasks ran.
func (w *Worker) Ledger() []Span {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire(time.Now())
	return append([]Span(nil), w.spans...)
}

// Busy returns the number of accelerators under lease.
func (w *Worker) Busy() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire(time.Now())
	n := 0
	for _, g := range w.leases {
		n += len(g.lease.Accelerators)
	}
	return n
}

// expire ends tasks that are done and removes leases past their deadline.
func (w *Worker) expire(now time.Time) {
	for job, g := range w.leases {
		if g.lease.State == worker.Running && !g.finishAt.IsZero() && !now.Before(g.finishAt) && g.finishAt.Before(g.deadline) {
			w.endSpan(g, g.finishAt, "finished")
			g.lease.State = worker.Finished
		}
		if !now.Before(g.deadline) {
			w.endSpan(g, g.deadline, "lapsed")
			delete(w.leases, job)
		}
	}
}

// endSpan records the end of a running lease.
func (w *Worker) endSpan(g *grant, at time.Time, reason string) {
	if g.lease.State == worker.Running {
		w.spans[g.span].End = at
		w.spans[g.span].Reason = reason
	}
}

// lockFenced locks the worker if f is not below the current fence, and makes f the
// current one. Otherwise it returns ErrFenced without the lock.
func (w *Worker) lockFenced(f worker.Fence) error {
	w.mu.Lock()
	w.expire(time.Now())
	if f.Less(w.fence) {
		w.mu.Unlock()
		return worker.ErrFenced
	}
	w.fence = f
	w.lastCall = time.Now()
	return nil
}

// Fence raises the fence and lists the leases. A fence below the current one changes
// nothing; the answer then holds the current fence and the time since its last call.
func (w *Worker) Fence(_ context.Context, f worker.Fence) (worker.Table, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire(time.Now())
	if f.Less(w.fence) {
		return worker.Table{Fence: w.fence, Silence: time.Since(w.lastCall).Milliseconds()}, nil
	}
	w.fence = f
	w.lastCall = time.Now()
	t := worker.Table{Fence: f}
	for _, g := range w.leases {
		t.Leases = append(t.Leases, g.lease)
	}
	return t, nil
}

// Hold grants the lease if its accelerators are free and its memory fits.
func (w *Worker) Hold(_ context.Context, f worker.Fence, l worker.Lease, term time.Duration) error {
	if err := w.lockFenced(f); err != nil {
		return err
	}
	defer w.mu.Unlock()
	if g := w.leases[l.Job]; g != nil && g.lease.Generation == l.Generation && g.lease.State == worker.Held {
		return nil
	}
	inUse := map[int]bool{}
	for _, g := range w.leases {
		for _, a := range g.lease.Accelerators {
			inUse[a] = true
		}
	}
	for _, a := range l.Accelerators {
		if a < 0 || a >= w.cfg.Accelerators || inUse[a] {
			return worker.ErrRefused
		}
	}
	if w.cfg.Memory > 0 && w.memoryExcept(l.Job)+w.leaseMemory(l) > w.cfg.Memory*(1+1e-9) {
		return worker.ErrRefused
	}
	l.State = worker.Held
	w.leases[l.Job] = &grant{lease: l, deadline: time.Now().Add(term)}
	return nil
}

// Start starts the tasks of a held lease.
func (w *Worker) Start(_ context.Context, f worker.Fence, job string, generation uint64, term time.Duration) error {
	if err := w.lockFenced(f); err != nil {
		return err
	}
	defer w.mu.Unlock()
	g := w.leases[job]
	if g == nil || g.lease.Generation != generation {
		return worker.ErrRefused
	}
	if g.lease.State == worker.Running {
		return nil
	}
	now := time.Now()
	g.lease.State = worker.Running
	g.lease.Since = now
	g.deadline = now.Add(term)
	g.span = len(w.spans)
	if g.lease.Spec.Seconds > 0 {
		g.finishAt = now.Add(w.runtime(g.lease))
	}
	w.spans = append(w.spans, Span{Worker: w.cfg.Name, Job: job, Generation: generation, Members: len(g.lease.Members), Begin: now})
	if w.fault.Fail {
		w.endSpan(g, now, "failed")
		g.lease.State = worker.Failed
	}
	return nil
}

// leaseMemory returns the memory of a lease in GB. With accelerators it is their share
// of the worker's memory. Otherwise it is the usage of running tasks, or the expected
// usage if there is no measurement yet.
func (w *Worker) leaseMemory(l worker.Lease) float64 {
	if len(l.Accelerators) > 0 {
		return w.cfg.Memory * float64(len(l.Accelerators)) / float64(w.cfg.Accelerators)
	}
	if w.cfg.Use != nil && l.State == worker.Running {
		_, memory := w.cfg.Use(l)
		return memory
	}
	return l.Reserve * float64(l.Spec.Tasks)
}

// memoryExcept returns the memory of all leases except the excluded job's, in GB.
func (w *Worker) memoryExcept(excluded string) float64 {
	sum := 0.0
	for job, g := range w.leases {
		if job != excluded {
			sum += w.leaseMemory(g.lease)
		}
	}
	return sum
}

// Limit returns the cores that the job may use, if it is throttled.
func (w *Worker) Limit(job string) (float64, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	cores, ok := w.limits[job]
	return cores, ok
}

// usage returns the usage of running jobs without accelerators, except those that
// started less than Lag ago.
func (w *Worker) usage(now time.Time) []worker.Usage {
	var out []worker.Usage
	for job, g := range w.leases {
		if g.lease.State != worker.Running || len(g.lease.Accelerators) > 0 || now.Sub(g.lease.Since) < w.cfg.Lag {
			continue
		}
		n := float64(g.lease.Spec.Tasks)
		cores, memory := g.lease.Cores*n, g.lease.Memory*n
		if w.cfg.Use != nil {
			cores, memory = w.cfg.Use(g.lease)
		}
		if limit, ok := w.limits[job]; ok {
			cores = min(cores, limit)
		}
		out = append(out, worker.Usage{Job: job, Generation: g.lease.Generation, Cores: cores, Memory: memory})
	}
	return out
}

func (w *Worker) runtime(l worker.Lease) time.Duration {
	if w.cfg.Runtime != nil {
		return w.cfg.Runtime(l)
	}
	return time.Duration(l.Spec.Seconds * float64(time.Second))
}

// Renew extends the running leases, replaces the limits if the call has any, and
// returns ended leases and, on request, usage.
func (w *Worker) Renew(_ context.Context, f worker.Fence, r worker.Renew) (worker.Renewal, error) {
	if err := w.lockFenced(f); err != nil {
		return worker.Renewal{}, err
	}
	defer w.mu.Unlock()
	var out worker.Renewal
	for _, g := range w.leases {
		switch g.lease.State {
		case worker.Running:
			out.Running++
			g.deadline = time.Now().Add(r.Term)
		case worker.Held:
		default:
			out.Changes = append(out.Changes, worker.Change{Job: g.lease.Job, Generation: g.lease.Generation, State: g.lease.State})
		}
	}
	if r.Limits != nil {
		w.limits = map[string]float64{}
		for _, l := range r.Limits.Jobs {
			w.limits[l.Job] = l.Cores
		}
	}
	if r.Usage {
		out.Usage = w.usage(time.Now())
	}
	return out, nil
}

// Checkpoint saves the job's work by moving the lease's Since to now.
func (w *Worker) Checkpoint(ctx context.Context, f worker.Fence, job string, generation uint64) error {
	if err := w.lockFenced(f); err != nil {
		return err
	}
	hang := w.fault.Hang
	if g := w.leases[job]; g != nil && g.lease.Generation == generation && !hang {
		g.lease.Since = time.Now()
	}
	w.mu.Unlock()
	if hang {
		<-ctx.Done()
		return worker.ErrUnknownOutcome
	}
	return nil
}

// Stop ends the jobs' tasks and releases their leases.
func (w *Worker) Stop(_ context.Context, f worker.Fence, stops []worker.Stop) error {
	if err := w.lockFenced(f); err != nil {
		return err
	}
	defer w.mu.Unlock()
	for _, s := range stops {
		if g := w.leases[s.Job]; g != nil && g.lease.Generation == s.Generation {
			w.endSpan(g, time.Now(), "stopped")
			delete(w.leases, s.Job)
		}
	}
	return nil
}

// Workers serves many workers from one address, each under /workers/NAME.
type Workers struct {
	byName map[string]*Worker
}

// NewWorkers returns a server for the workers.
func NewWorkers(workers []*Worker) *Workers {
	out := &Workers{byName: map[string]*Worker{}}
	for _, w := range workers {
		out.byName[w.cfg.Name] = w
	}
	return out
}

// Handler serves the workers' API, their joint ledger and their fault injection.
func (s *Workers) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/workers/{name}/{op}", s.handle).Methods(http.MethodPost)
	r.HandleFunc("/ledger", s.handleLedger).Methods(http.MethodGet)
	return r
}

func (s *Workers) handleLedger(w http.ResponseWriter, _ *http.Request) {
	var out []Span
	for _, v := range s.byName {
		out = append(out, v.Ledger()...)
	}
	httpjson.Write(w, http.StatusOK, out)
}

func (s *Workers) handle(w http.ResponseWriter, r *http.Request) {
	v := s.byName[mux.Vars(r)["name"]]
	if v == nil {
		httpjson.Refuse(w, http.StatusNotFound, worker.ReasonAbsent, "no such worker")
		return
	}
	if mux.Vars(r)["op"] == "fault" {
		f, err := httpjson.Read[WorkerFault](w, r, httpjson.MaxBody)
		if err == nil {
			v.SetFault(f)
		}
		httpjson.Write(w, http.StatusOK, f)
		return
	}
	in, err := httpjson.Read[worker.Grant](w, r, httpjson.MaxBody)
	if err != nil {
		httpjson.Refuse(w, http.StatusBadRequest, "body", err.Error())
		return
	}
	out, err := v.serve(r.Context(), mux.Vars(r)["op"], in)
	switch {
	case err == nil:
		httpjson.Write(w, http.StatusOK, out)
	case errors.Is(err, worker.ErrFenced):
		httpjson.Refuse(w, http.StatusConflict, worker.ReasonFenced, err.Error())
	default:
		httpjson.Refuse(w, http.StatusConflict, worker.ReasonHeld, err.Error())
	}
}

func (w *Worker) serve(ctx context.Context, op string, in worker.Grant) (any, error) {
	term := time.Duration(in.Term) * time.Millisecond
	switch op {
	case "fence":
		return w.Fence(ctx, in.Fence)
	case "hold":
		if in.Lease == nil {
			return nil, worker.ErrRefused
		}
		return struct{}{}, w.Hold(ctx, in.Fence, *in.Lease, term)
	case "start":
		return struct{}{}, w.Start(ctx, in.Fence, in.Job, in.Generation, term)
	case "renew":
		return w.Renew(ctx, in.Fence, worker.Renew{Term: term, Limits: in.Limits, Usage: in.Usage})
	case "checkpoint":
		return struct{}{}, w.Checkpoint(ctx, in.Fence, in.Job, in.Generation)
	case "stop":
		return struct{}{}, w.Stop(ctx, in.Fence, in.Stops)
	}
	return nil, worker.ErrRefused
}

// Crash restarts the worker. Its tasks end, and its leases and fence are lost.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.expire(now)
	for _, g := range w.leases {
		w.endSpan(g, now, "crashed")
	}
	w.leases = map[string]*grant{}
	w.fence = worker.Fence{}
}
