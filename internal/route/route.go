// Package route chooses the backend server for a request and limits the load that this VM
// puts on each server.
//
// All entry VMs share the slots and connections of a backend server without coordination.
// Each VM stays within its share of the connections and adapts its own limit on slots: a
// refusal for lack of a slot halves the limit, and using it fully without a refusal
// raises it.
package route

import (
	"math/rand/v2"
	"time"
)

// Parameters of the router. Latencies are in seconds; smoothing is the weight of the
// latest sample in moving averages.
const (
	minLimit               = 1.0
	multiplicativeDecrease = 0.5
	additiveIncrease       = 0.25
	smoothing              = 0.2
	initialLatency         = 0.05
	failureThreshold       = 0.5
	poolFailureThreshold   = 0.25
	minSamples             = 8
	firstEjection          = 2 * time.Second
	maxEjection            = time.Minute
	maxEjectedShare        = 0.5
)

// Server is the state of one backend server as seen by this VM. The queue's goroutine
// owns it.
type Server struct {
	name     string
	address  string
	zone     string
	leaving  bool
	inFlight int
	// limit is this VM's adaptive limit on requests in flight.
	limit float64
	// latency and failureRate are moving averages; failureRate starts anew after an
	// ejection.
	latency      float64
	failureRate  float64
	samples      int
	ejectedUntil time.Time
	ejections    int
}

// Name returns the server's name in the platform's list.
func (s *Server) Name() string { return s.name }

// Address returns the URL that requests are sent to.
func (s *Server) Address() string { return s.address }

// ListedServer is a backend server in the platform's list.
type ListedServer struct {
	Name    string
	Address string
	Zone    string
	Leaving bool
}

// Result is the result of an attempt as far as it matters for routing.
type Result int

// The results of an attempt.
const (
	// OK means that a complete answer arrived.
	OK Result = iota
	// Failed means that the server reported a failure.
	Failed
	// Busy means that the server had no free slot.
	Busy
	// Leaving means that the server accepts no new requests.
	Leaving
	// NoAnswer means that no usable answer arrived.
	NoAnswer
	// Expired means that this VM ended the attempt because the request's window ended. That
	// says nothing about the server.
	Expired
)

// Config configures a Router. Connections is this VM's share of a server's connections.
type Config struct {
	Zone        string
	Slots       int
	Connections int
}

// Router chooses among the servers of one service.
type Router struct {
	cfg     Config
	servers []*Server
	byName  map[string]*Server
}

// New returns a router without servers.
func New(cfg Config) *Router { return &Router{cfg: cfg, byName: map[string]*Server{}} }

// SetLimits changes the slots and connections that each server offers to this VM.
func (r *Router) SetLimits(slots, connections int) {
	r.cfg.Slots, r.cfg.Connections = slots, max(1, connections)
}

// Update replaces the servers with the platform's list. A server that is known to be
// leaving remains so even if the list, which lags, still shows it as live.
func (r *Router) Update(listed []ListedServer) {
	seen := map[string]bool{}
	for _, l := range listed {
		seen[l.Name] = true
		s := r.byName[l.Name]
		if s == nil || s.address != l.Address {
			s = &Server{name: l.Name, address: l.Address, zone: l.Zone, limit: minLimit, latency: initialLatency}
			r.byName[l.Name] = s
		}
		s.leaving = s.leaving || l.Leaving
	}
	r.servers = r.servers[:0]
	for _, l := range listed {
		r.servers = append(r.servers, r.byName[l.Name])
	}
	for name := range r.byName {
		if !seen[name] {
			delete(r.byName, name)
		}
	}
}

// MarkLeaving stops new requests to the server immediately. It reports whether this
// changed the server's state.
func (r *Router) MarkLeaving(name string) bool {
	s := r.byName[name]
	if s == nil || s.leaving {
		return false
	}
	s.leaving = true
	return true
}

// cap is the maximum number of requests that this VM may have in flight at the server.
func (r *Router) cap(s *Server) int {
	return max(1, min(int(s.limit), r.cfg.Slots, r.cfg.Connections))
}

func (r *Router) accepting(s *Server, now time.Time) bool {
	return !s.leaving && now.After(s.ejectedUntil) && s.inFlight < r.cap(s)
}

// Pick draws two servers at random and returns the one with the lower expected wait. It
// prefers servers of this zone and skips those in tried.
func (r *Router) Pick(now time.Time, tried []string) *Server {
	for _, sameZone := range []bool{true, false} {
		if s := r.pickInZone(now, tried, sameZone); s != nil {
			return s
		}
	}
	return nil
}

func (r *Router) pickInZone(now time.Time, tried []string, sameZone bool) *Server {
	var best *Server
	found := 0
	n := len(r.servers)
	if n == 0 {
		return nil
	}
	start := rand.IntN(n)
	step := coprime(n)
	for i := 0; i < n && found < 2; i++ {
		s := r.servers[(start+i*step)%n]
		if (s.zone == r.cfg.Zone) != sameZone || !r.accepting(s, now) || contains(tried, s.name) {
			continue
		}
		found++
		if best == nil || score(s) < score(best) {
			best = s
		}
	}
	return best
}

// coprime draws a step that visits every index of a ring of n once.
func coprime(n int) int {
	for {
		step := 1 + rand.IntN(n)
		if gcd(step, n) == 1 {
			return step
		}
	}
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

func contains(list []string, name string) bool {
	for _, v := range list {
		if v == name {
			return true
		}
	}
	return false
}

// score is the expected wait at the server. Lower is better.
func score(s *Server) float64 { return float64(s.inFlight+1) / s.limit * s.latency }

// Begin counts a new attempt in flight.
func (r *Router) Begin(s *Server) { s.inFlight++ }

// End removes an attempt in flight and updates the server's limit, latency and health
// from its result.
func (r *Router) End(s *Server, result Result, took time.Duration, now time.Time) {
	full := s.inFlight >= r.cap(s)
	s.inFlight--
	switch result {
	case Busy:
		s.limit = max(minLimit, s.limit*multiplicativeDecrease)
		return
	case Leaving:
		s.leaving = true
		return
	case OK, Failed:
		s.latency += smoothing * (took.Seconds() - s.latency)
		if full {
			s.limit = min(float64(r.cfg.Slots), s.limit+additiveIncrease)
		}
	case Expired:
		return
	case NoAnswer:
	}
	r.updateHealth(s, result, now)
}

// updateHealth records the result and ejects a server for some time if it fails often
// while the rest of the pool does not.
func (r *Router) updateHealth(s *Server, result Result, now time.Time) {
	failed := 0.0
	if result != OK {
		failed = 1
	}
	s.samples++
	s.failureRate += smoothing * (failed - s.failureRate)
	if s.samples < minSamples || s.failureRate < failureThreshold || !r.canEject(s, now) {
		return
	}
	pause := min(maxEjection, firstEjection<<min(s.ejections, 10))
	s.ejections++
	s.ejectedUntil = now.Add(pause/2 + rand.N(pause/2))
	s.limit = minLimit
	s.failureRate = 0
	s.samples = 0
}

// canEject reports whether the server may be ejected: at least half of the servers have to
// remain, and none is ejected while the whole pool is failing.
func (r *Router) canEject(s *Server, now time.Time) bool {
	ejected, otherRates := 1, 0.0
	for _, o := range r.servers {
		if o == s {
			continue
		}
		otherRates += o.failureRate
		if now.Before(o.ejectedUntil) {
			ejected++
		}
	}
	n := len(r.servers)
	return n > 1 && float64(ejected) <= maxEjectedShare*float64(n) && otherRates/float64(n-1) < poolFailureThreshold
}

// Capacity is the number of requests that this VM may have in flight in total.
func (r *Router) Capacity(now time.Time) int {
	n := 0
	for _, s := range r.servers {
		if !s.leaving && now.After(s.ejectedUntil) {
			n += r.cap(s)
		}
	}
	return n
}

// Free reports whether any server can accept a request now.
func (r *Router) Free(now time.Time) bool {
	for _, s := range r.servers {
		if r.accepting(s, now) {
			return true
		}
	}
	return false
}
