package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"github.com/joomcode/errorx"

	"rhubarbshore/internal/cell"
	"rhubarbshore/internal/config"
	"rhubarbshore/internal/httpjson"
	"rhubarbshore/internal/metric"
	"rhubarbshore/internal/peer"
	"rhubarbshore/internal/peer/rpc"
	"rhubarbshore/internal/placer"
	"rhubarbshore/internal/platform"
	"rhubarbshore/internal/request"
	"rhubarbshore/pkg/api"
)

// Limits on the input of callers and operators.
const (
	maxRequestBody = 6 << 20
	maxConfigBody  = 4 << 20
	maxTickets     = 1000
	maxID          = 128
)

// errAnswerLost is returned when the placer may have accepted or cancelled a job, but
// its answer was lost.
var errAnswerLost = errorx.NewType(errorx.NewNamespace("job"), "lost").New("the placer's answer was lost; ask again with the same id and zone")

// handler routes calls of callers, operators and peers and the platform's health
// checks.
func (d *Daemon) handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/requests", d.admit(d.handleRequest)).Methods(http.MethodPost)
	r.HandleFunc("/v1/requests/settle", d.admit(d.handleSettle)).Methods(http.MethodPost)
	r.HandleFunc("/v1/tickets", d.handleTickets).Methods(http.MethodPost)
	r.HandleFunc("/v1/jobs", d.handleSubmit).Methods(http.MethodPost)
	r.HandleFunc("/v1/jobs", d.handleView(viewJobs)).Methods(http.MethodGet)
	r.HandleFunc("/v1/jobs/{zone}/{id}", d.handleCancel).Methods(http.MethodDelete)
	r.HandleFunc("/v1/workers", d.handleView(viewWorkers)).Methods(http.MethodGet)
	r.HandleFunc("/v1/customers", d.handleView(viewCustomers)).Methods(http.MethodGet)
	r.HandleFunc("/v1/zone", d.handleZone).Methods(http.MethodGet)
	r.HandleFunc("/v1/vms", d.handleVMs).Methods(http.MethodGet)
	r.HandleFunc("/v1/config", d.handleConfig).Methods(http.MethodGet)
	r.HandleFunc("/v1/config", d.handlePublish).Methods(http.MethodPost)
	r.HandleFunc("/health", d.handleHealth).Methods(http.MethodGet)
	r.HandleFunc("/metrics", handleMetrics).Methods(http.MethodGet)
	r.PathPrefix(rpc.PeerPathPrefix).Handler(omitDate(rpc.NewPeerServer(&peerServer{d: d})))
	return r
}

// omitDate omits the Date header from answers to peers, since the clocks of VMs are
// not compared.
func omitDate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil
		next.ServeHTTP(w, r)
	})
}

// admit limits the number of concurrent requests and refuses all requests once the
// daemon is stopping.
func (d *Daemon) admit(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		n := d.inflight.Add(1)
		defer d.inflight.Add(-1)
		switch {
		case d.stopping.Load():
			w.Header().Set("Connection", "close")
			writeResponse(w, refuseStopping(""))
		case n > int64(d.opts.Limits.Callers):
			metric.Refusal("request", request.ReasonFull)
			writeResponse(w, api.Response{Outcome: api.Retry, Reason: request.ReasonFull})
		default:
			next(w, r)
		}
	}
}

func writeResponse(w http.ResponseWriter, resp api.Response) {
	if resp.Outcome == api.Retry {
		w.Header().Set("Retry-After", "1")
	}
	httpjson.Write(w, resp.Outcome.Status(), resp)
}

func (d *Daemon) handleRequest(w http.ResponseWriter, r *http.Request) { d.serveRequest(w, r, false) }

func (d *Daemon) handleSettle(w http.ResponseWriter, r *http.Request) { d.serveRequest(w, r, true) }

func (d *Daemon) serveRequest(w http.ResponseWriter, r *http.Request, settle bool) {
	in, err := httpjson.Read[api.Request](w, r, maxRequestBody)
	key, ticket := r.Header.Get(api.HeaderKey), r.Header.Get(api.HeaderTicket)
	if err != nil || len(in.ID) > maxID || len(key) > maxID || len(ticket) > maxID || settle && key == "" && ticket == "" {
		metric.Refusal("request", "malformed")
		httpjson.Refuse(w, http.StatusBadRequest, "malformed", "the request can't be read or is over a limit")
		return
	}
	if in.ID == "" {
		in.ID = uuid.NewString()
	}
	writeResponse(w, d.execute(r.Context(), incomingRequest{in: in, key: key, ticket: ticket, settle: settle}))
}

func (d *Daemon) handleTickets(w http.ResponseWriter, r *http.Request) {
	n, err := strconv.Atoi(r.URL.Query().Get("count"))
	if err != nil || n < 1 || n > maxTickets {
		metric.Refusal("tickets", "malformed")
		httpjson.Refuse(w, http.StatusBadRequest, "malformed", "count: 1 to 1000")
		return
	}
	if d.leaving.Load() {
		metric.Refusal("tickets", request.ReasonStopping)
		httpjson.Refuse(w, http.StatusServiceUnavailable, request.ReasonStopping, "this VM is leaving")
		return
	}
	out := api.Tickets{Deadline: time.Now().Add(time.Duration(d.opts.Deadlines.Ticket))}
	for range n {
		out.Tickets = append(out.Tickets, d.selfOwner.minter.Mint(out.Deadline))
	}
	httpjson.Write(w, http.StatusOK, out)
}

func (d *Daemon) handleSubmit(w http.ResponseWriter, r *http.Request) {
	j, err := httpjson.Read[api.Job](w, r, maxConfigBody)
	if err != nil || !validJob(j) {
		metric.Refusal("job", "malformed")
		httpjson.Refuse(w, http.StatusBadRequest, "malformed", "a job needs an id, a zone, and at least one cell of one accelerator or a task with processors or memory")
		return
	}
	status, err := d.submitJob(r.Context(), j)
	d.writeJobStatus(w, status, err)
}

// validJob reports whether the job has an id and a zone and asks for resources.
func validJob(j api.Job) bool {
	named := j.ID != "" && len(j.ID) <= maxID && j.Zone != ""
	nonNegative := j.Tasks >= 0 && j.Seconds >= 0 && j.Cores >= 0 && j.Memory >= 0
	taskJob := j.Accelerators == 0 && j.Tasks > 0 && j.Cores+j.Memory > 0
	return named && nonNegative && (taskJob || j.Accelerators > 0 && j.Cells > 0)
}

func (d *Daemon) handleCancel(w http.ResponseWriter, r *http.Request) {
	v := mux.Vars(r)
	status, err := d.cancelJob(r.Context(), api.Job{ID: v["id"], Zone: v["zone"]})
	d.writeJobStatus(w, status, err)
}

func (d *Daemon) writeJobStatus(w http.ResponseWriter, status api.JobStatus, err error) {
	switch {
	case err == nil && status.State == api.Refused:
		httpjson.Write(w, api.NotRun.Status(), status)
	case err == nil:
		httpjson.Write(w, http.StatusAccepted, status)
	case errors.Is(err, placer.ErrNotLeading) || errors.Is(err, placer.ErrFull):
		metric.Refusal("job", "notleading")
		httpjson.Refuse(w, api.Retry.Status(), "notleading", err.Error())
	default:
		metric.Refusal("job", "lost")
		httpjson.Refuse(w, api.Unknown.Status(), "lost", err.Error())
	}
}

// handleView merges the views of all zones' placers. A Silent-Zone header names each
// zone that did not answer.
func (d *Daemon) handleView(viewName string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var out mergedView
		var silent []string
		for _, zone := range d.members.Zones() {
			if err := d.mergeZoneView(r.Context(), zone, viewName, &out); err != nil {
				silent = append(silent, zone)
			}
		}
		for _, zone := range silent {
			w.Header().Add("Silent-Zone", zone)
		}
		switch viewName {
		case viewJobs:
			httpjson.Write(w, http.StatusOK, out.JobList)
		case viewWorkers:
			httpjson.Write(w, http.StatusOK, out.WorkerList)
		default:
			httpjson.Write(w, http.StatusOK, out.CustomerList)
		}
	}
}

// mergedView is one view merged over several zones. Only the list that belongs to the
// view is filled.
type mergedView struct {
	api.JobList
	api.WorkerList
	api.CustomerList
}

func (d *Daemon) mergeZoneView(ctx context.Context, zone, viewName string, out *mergedView) error {
	data, err := d.fetchZoneView(ctx, zone, viewName)
	if err != nil {
		return err
	}
	var part mergedView
	if err := json.Unmarshal(data, &part); err != nil {
		return err
	}
	out.Jobs = append(out.Jobs, part.Jobs...)
	out.Workers = append(out.Workers, part.Workers...)
	out.Customers = append(out.Customers, part.Customers...)
	return nil
}

func (d *Daemon) fetchZoneView(ctx context.Context, zone, viewName string) ([]byte, error) {
	if zone == d.opts.Zone {
		if view, err := d.localView(ctx, viewName); err == nil {
			return json.Marshal(view)
		}
	}
	p, ok := d.members.PlacerOf(zone)
	if !ok {
		return nil, placer.ErrNotLeading
	}
	reply, err := p.Client.View(ctx, &rpc.ViewRequest{What: viewName})
	if err != nil && unsent(err) {
		d.members.RecordFailure(p.Info.GetName())
	}
	return reply.GetView(), err
}

// handleZone proposes a zone for a job of the given number of accelerators: this VM's
// zone if it can start the job now or no other zone can, and otherwise the zone with
// the most free capacity.
func (d *Daemon) handleZone(w http.ResponseWriter, r *http.Request) {
	n, err := strconv.Atoi(r.URL.Query().Get("accelerators"))
	if err != nil || n < 0 || cell.Level(n) > cell.MaxLevel {
		httpjson.Refuse(w, http.StatusBadRequest, "malformed", "accelerators: 0 to 4096")
		return
	}
	free := d.freeByZone(n)
	if sum, ok := d.placer.Summary(r.Context()); ok {
		free[d.opts.Zone] = max(free[d.opts.Zone], freeCapacity(toSummary(sum), n))
	}
	best := d.opts.Zone
	if free[best] == 0 {
		best = mostFreeZone(free, best)
	}
	httpjson.Write(w, http.StatusOK, api.VM{Zone: best})
}

// freeCapacity returns the number of cells of n accelerators that a zone can allocate.
// For n = 0 it returns how many eighths of the zone's processors and memory are free.
func freeCapacity(s *rpc.Summary, n int) int {
	if n == 0 {
		return int(s.GetFree())
	}
	if level := cell.Level(n); level < len(s.GetIdle()) {
		return int(s.GetIdle()[level] + s.GetSlack()[level])
	}
	return 0
}

// freeByZone returns each zone's free capacity as its placer published it last.
func (d *Daemon) freeByZone(n int) map[string]int {
	free := map[string]int{}
	for _, p := range d.members.All() {
		s := p.Info.GetSummary()
		if s == nil || p.Info.GetState() != peer.Alive {
			continue
		}
		zone := p.Info.GetZone()
		free[zone] = max(free[zone], freeCapacity(s, n))
	}
	return free
}

// mostFreeZone returns the zone with the most free capacity, the first by name among
// equals. It returns best if no zone has more than that one.
func mostFreeZone(free map[string]int, best string) string {
	for _, zone := range slices.Sorted(maps.Keys(free)) {
		if free[zone] > free[best] {
			best = zone
		}
	}
	return best
}

func (d *Daemon) handleVMs(w http.ResponseWriter, _ *http.Request) {
	var out api.VMList
	add := func(m *rpc.Member, state string) {
		out.VMs = append(out.VMs, api.VM{
			Name: m.GetName(), Address: m.GetAddress(), Zone: m.GetZone(), State: state,
			Version: m.GetVersion(), Number: m.GetNumber(), Placer: m.GetSummary() != nil,
		})
	}
	add(d.members.Self(), stateName(d.members.Self().GetState()))
	for _, p := range d.members.All() {
		add(p.Info, stateName(p.Info.GetState()))
	}
	httpjson.Write(w, http.StatusOK, out)
}

func stateName(state int32) string {
	switch state {
	case peer.Leaving:
		return "leaving"
	case peer.Gone:
		return "gone"
	}
	return "live"
}

func (d *Daemon) handleConfig(w http.ResponseWriter, _ *http.Request) {
	v := d.configStore.Version()
	httpjson.Write(w, http.StatusOK, api.ConfigView{
		Version: v.ID, Number: v.Number, Parent: v.Parent, Author: v.Author, Base: v.Files.Base, Overlays: v.Files.Overlays,
	})
}

// handlePublish checks and publishes a change of the configuration. It answers once the
// change is accepted or rejected, or reports it as unsettled if that can't be told.
func (d *Daemon) handlePublish(w http.ResponseWriter, r *http.Request) {
	in, err := httpjson.Read[api.Publish](w, r, maxConfigBody)
	if err != nil {
		metric.Refusal("config", "malformed")
		httpjson.Refuse(w, http.StatusBadRequest, "malformed", err.Error())
		return
	}
	files := config.Files{Base: in.Base, Overlays: in.Overlays}
	if err := files.Check(); err != nil {
		metric.Refusal("config", "invalid")
		refuseInvalid(w, err)
		return
	}
	from := d.configStore.Version()
	if in.Parent != from.ID {
		metric.Refusal("config", "stale")
		httpjson.Refuse(w, http.StatusConflict, "stale", "the change was not made from version "+from.ID+", which is in force")
		return
	}
	c := config.NewChange(uuid.NewString(), in.Author, from, files)
	d.writePublished(w, c, from.Number+1, d.configStore.Publish(r.Context(), c))
}

func refuseInvalid(w http.ResponseWriter, err error) {
	var problems config.Problems
	p := api.Problem{Error: "the configuration is not valid", Reason: "invalid"}
	if errors.As(err, &problems) {
		p.Details = problems.Strings()
	}
	httpjson.Write(w, http.StatusUnprocessableEntity, p)
}

func (d *Daemon) writePublished(w http.ResponseWriter, c config.Change, number int64, err error) {
	switch {
	case err == nil:
		httpjson.Write(w, http.StatusOK, api.Published{Version: c.ID, Number: number})
	case errors.Is(err, config.ErrLost):
		metric.Refusal("config", "lost")
		httpjson.Refuse(w, http.StatusConflict, "lost", err.Error())
	case errors.Is(err, platform.ErrUnavailable):
		metric.Refusal("config", "out")
		httpjson.Refuse(w, api.Retry.Status(), "out", err.Error())
	default:
		metric.Refusal("config", "unsettled")
		httpjson.Refuse(w, api.Unknown.Status(), "unsettled", err.Error()+" (version "+c.ID+")")
	}
}

func (d *Daemon) handleHealth(w http.ResponseWriter, _ *http.Request) {
	cfg, _ := d.configStore.Current()
	switch {
	case d.leaving.Load():
		httpjson.Refuse(w, http.StatusServiceUnavailable, "leaving", "this VM is leaving")
	case cfg == nil:
		httpjson.Refuse(w, http.StatusServiceUnavailable, "config", "no configuration is in force yet")
	default:
		httpjson.Write(w, http.StatusOK, d.members.Self().GetName())
	}
}

func handleMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	metric.Write(w)
}
