// Package catalog is the operator's configuration in the product's terms: which
// queue a request belongs to, and which customer a key belongs to.
package catalog

import (
	"sort"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"rhubarbshore/internal/scheduler"
)

// Reasons why a call is not allowed. Callers test for them with errors.Is.
var (
	namespace = errorx.NewNamespace("catalog")
	// ErrRoute: no route leads there.
	ErrRoute = errorx.NewType(namespace, "route").New("no route leads there")
	// ErrKey: the key belongs to no customer, and the route needs one.
	ErrKey = errorx.NewType(namespace, "key").New("the key belongs to no customer")
)

// Route leads requests of a host and path prefix to a queue.
type Route struct {
	Host      string
	Prefix    string
	Anonymous bool          // needs no key
	Timeout   time.Duration // for an answer, unless the client names less
	Queue     scheduler.Queue
}

// Customer has guaranteed accelerators and proves itself by its keys.
type Customer struct {
	Name       string
	Keys       []string
	Guaranteed int64
}

// Limits bound what clients send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config constructs a Snapshot.
type Config struct {
	Version   int64
	Offset    int64 // where the version stands in the operator's topic
	Routes    []Route
	Customers []Customer
	Limits    Limits
}

// Snapshot is one version of the configuration. It doesn't change.
type Snapshot struct {
	cfg           Config
	routesByHost  map[string][]Route
	customerByKey map[string]string
}

// New indexes a configuration.
func New(cfg Config) *Snapshot {
	s := &Snapshot{cfg: cfg, routesByHost: map[string][]Route{}, customerByKey: map[string]string{}}
	for _, r := range cfg.Routes {
		host := strings.ToLower(r.Host)
		s.routesByHost[host] = append(s.routesByHost[host], r)
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

// Version returns the operator's number of the version.
func (s *Snapshot) Version() int64 { return s.cfg.Version }

// Offset returns where the version stands in the operator's topic.
func (s *Snapshot) Offset() int64 { return s.cfg.Offset }

// Limits returns what clients are held to.
func (s *Snapshot) Limits() Limits { return s.cfg.Limits }

// Match finds the route of the longest prefix, and the rest of the path.
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

// Origin is what tells whether a call is allowed.
type Origin struct {
	Host string `json:"host"`
	Path string `json:"path"`
	Key  string `json:"key,omitempty"`
}

// Admission is how a call that is allowed goes on.
type Admission struct {
	Route    Route
	Rest     string // of the path
	Customer string // empty if the call carried no known key and needs none
}

// Admit finds the route and the customer of a call.
func (s *Snapshot) Admit(o Origin) (Admission, error) {
	route, rest, ok := s.Match(o.Host, o.Path)
	if !ok {
		return Admission{}, ErrRoute
	}
	customer, known := s.Owner(o.Key)
	if !known && !route.Anonymous {
		return Admission{}, ErrKey
	}
	return Admission{Route: route, Rest: rest, Customer: customer}, nil
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
