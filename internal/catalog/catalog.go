// Package catalog indexes the operator's configuration: the queue of each route, and the
// customer of each API key.
package catalog

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"rhubarbshore/internal/scheduler"
	"rhubarbshore/internal/store"
)

// Errors of a call and of a configuration. Callers test for them with errors.Is.
var (
	namespace = errorx.NewNamespace("catalog")
	// ErrRoute is returned if no route matches the call.
	ErrRoute = errorx.NewType(namespace, "route").New("no route matches the host and path")
	// ErrMalformed is returned for a configuration that cannot be decoded.
	ErrMalformed = errorx.NewType(namespace, "malformed").New("the configuration is malformed")
	// ErrKey is returned if the call has an unknown key, or none on a route that requires one.
	ErrKey = errorx.NewType(namespace, "key").New("the key belongs to no customer")
)

// Route directs requests for a host and path prefix to a queue.
type Route struct {
	Host      string          `json:"host"`
	Prefix    string          `json:"prefix"`
	Anonymous bool            `json:"anonymous,omitempty"` // no key is required
	Timeout   time.Duration   `json:"timeout,omitempty"`   // until the answer, unless the client requests a shorter one
	Queue     scheduler.Queue `json:"queue"`
}

// Customer is authenticated by its keys and has a number of guaranteed accelerators.
type Customer struct {
	Name       string
	Keys       []string
	Guaranteed int64
}

// Limits bounds the requests that clients may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config configures a Snapshot.
type Config struct {
	Version   int64
	Offset    int64 // of the version in the operator's topic
	Routes    []Route
	Services  []string
	Customers []Customer
	Limits    Limits
}

// Read is the answer to a read of the configuration. Snapshot is nil if it found none.
type Read struct {
	Snapshot *Snapshot
	Extent   store.Extent
}

// Snapshot is one immutable version of the configuration.
type Snapshot struct {
	cfg           Config
	routesByHost  map[string][]Route
	customerByKey map[string]string
	limited       []string // queues with figures that were cut
}

// New indexes a configuration.
func New(cfg Config) *Snapshot {
	s := &Snapshot{cfg: cfg, routesByHost: map[string][]Route{}, customerByKey: map[string]string{}}
	s.cfg.Routes = slices.Clone(cfg.Routes)
	for i := range s.cfg.Routes {
		r := &s.cfg.Routes[i]
		var cut bool
		if r.Queue, cut = r.Queue.Limited(); cut {
			s.limited = append(s.limited, r.Queue.Name)
		}
		host := strings.ToLower(r.Host)
		s.routesByHost[host] = append(s.routesByHost[host], *r)
	}
	for _, routes := range s.routesByHost {
		sort.SliceStable(routes, func(i, k int) bool { return len(routes[i].Prefix) > len(routes[k].Prefix) })
	}
	for _, c := range cfg.Customers {
		for _, k := range c.Keys {
			s.customerByKey[k] = c.Name
		}
	}
	return s
}

// Version returns the operator's version number.
func (s *Snapshot) Version() int64 { return s.cfg.Version }

// Offset returns the offset of the version in the operator's topic.
func (s *Snapshot) Offset() int64 { return s.cfg.Offset }

// Limited returns the names of the queues of which figures were cut to the limits of jobs.
func (s *Snapshot) Limited() []string { return s.limited }

// Limits returns the limits on requests from clients.
func (s *Snapshot) Limits() Limits { return s.cfg.Limits }

// Match returns the route with the longest matching prefix, and the rest of the path.
func (s *Snapshot) Match(host, path string) (Route, string, bool) {
	for _, r := range s.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, path[len(r.Prefix):], true
		}
	}
	return Route{}, "", false
}

// Owner returns the customer that a key belongs to.
func (s *Snapshot) Owner(key string) (string, bool) {
	name, ok := s.customerByKey[key]
	return name, ok
}

// Origin holds the properties of a call that decide whether it is allowed.
type Origin struct {
	Host string `json:"host"`
	Path string `json:"path"`
	Key  string `json:"key,omitempty"`
}

// Admission is the route and customer of an allowed call, with the configuration that allows it. That
// of a rejected call has only the configuration.
type Admission struct {
	Version  int64         `json:"version"`
	Offset   int64         `json:"offset"`
	Age      time.Duration `json:"age"`           // of the configuration's confirmation; negative if it has none
	MaxBody  int64         `json:"max,omitempty"` // size of a request's body in bytes; 0 if it has no limit
	Route    Route         `json:"route"`
	Rest     string        `json:"rest,omitempty"`     // of the path, after the route's prefix
	Customer string        `json:"customer,omitempty"` // empty if the call has no key and the route is anonymous
}

// Admit returns the route and customer of a call, or the reason for rejecting it.
func (s *Snapshot) Admit(o Origin) (Admission, error) {
	a := Admission{Version: s.cfg.Version, Offset: s.cfg.Offset, MaxBody: s.cfg.Limits.BodyBytes}
	route, rest, ok := s.Match(o.Host, o.Path)
	if !ok {
		return a, ErrRoute
	}
	customer, known := s.Owner(o.Key)
	if !known && (!route.Anonymous || o.Key != "") {
		return a, ErrKey
	}
	a.Route, a.Rest, a.Customer = route, rest, customer
	return a, nil
}

// Queues returns the policy of each queue by name.
func (s *Snapshot) Queues() map[string]scheduler.Queue {
	out := make(map[string]scheduler.Queue, len(s.cfg.Routes))
	for _, r := range s.cfg.Routes {
		out[r.Queue.Name] = r.Queue
	}
	return out
}

// Guarantees returns the guaranteed accelerators of each customer.
func (s *Snapshot) Guarantees() map[string]int64 {
	out := make(map[string]int64, len(s.cfg.Customers))
	for _, c := range s.cfg.Customers {
		out[c.Name] = c.Guaranteed
	}
	return out
}

// NamesService reports whether the configuration has a service. One that names none has all.
func (s *Snapshot) NamesService(name string) bool {
	return len(s.cfg.Services) == 0 || slices.Contains(s.cfg.Services, name)
}
