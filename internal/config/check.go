package config

import (
	"fmt"
	"maps"
	"math/bits"
	"slices"
	"time"

	"rhubarbshore/internal/cell"
)

// Limits of a configuration.
const (
	maxCustomers    = 1000
	maxAccelerators = 4096
	maxWindow       = 12 * time.Hour
	maxWhole        = 24 * time.Hour
	maxBody         = 4 << 20
	maxQueue        = 100_000
)

// check reports values that have the right type but are invalid.
func (s *source) check(cfg *Config, site string) {
	s.checkSite(cfg.Site)
	s.checkWeights(cfg.Weights)
	s.checkServices(cfg)
	s.checkKinds(cfg)
	s.checkCustomers(cfg)
	if len(s.problems) == 0 {
		s.checkGuarantees(cfg, site)
	}
}

// require adds a problem for the key unless ok is true.
func (s *source) require(ok bool, key string, found any, allowed string) {
	if !ok {
		s.addProblem(key, fmt.Sprint(found), allowed)
	}
}

func (s *source) checkSite(site Site) {
	if len(site.Layout) == 0 {
		s.require(site.Workers > 0, "site.workers", site.Workers, "1 or more, or a layout")
		s.require(site.Rack > 0, "site.rack", site.Rack, "1 or more workers to a rack")
	}
	total := site.total()
	s.require(total > 0 && total <= maxAccelerators, "site.accelerators", fmt.Sprintf("%d in all", total), fmt.Sprintf("1 to %d in all", maxAccelerators))
	s.require(site.Cores >= 0, "site.cores", site.Cores, "0 or more processors to a worker")
	s.require(site.Memory >= 0, "site.memory", site.Memory, "0 or more GB to a worker")
	s.require(site.Spare >= 0, "site.spare", site.Spare, "0 or more workers")
	s.require(powerOfTwo(site.Levels.Worker), "site.levels.worker", site.Levels.Worker, "a power of two")
	s.require(powerOfTwo(site.Levels.Rack) && site.Levels.Rack >= site.Levels.Worker, "site.levels.rack", site.Levels.Rack, "a power of two, not below site.levels.worker")
}

func (s *source) checkWeights(w Weights) {
	s.require(w.Lost >= 0, "weights.lost", w.Lost, "0 or more")
	s.require(w.Broken >= 0, "weights.broken", w.Broken, "0 or more")
	s.require(w.Whole >= 0 && time.Duration(w.Whole) <= maxWhole, "weights.whole", time.Duration(w.Whole), fmt.Sprintf("0s to %s", maxWhole))
}

func powerOfTwo(n int) bool { return n > 0 && bits.OnesCount(uint(n)) == 1 }

func (s *source) checkServices(cfg *Config) {
	for _, name := range slices.Sorted(maps.Keys(cfg.Services)) {
		v, key := cfg.Services[name], "services."+name
		s.require(v.Slots > 0, key+".slots", v.Slots, "1 or more")
		s.require(v.Connections >= v.Slots, key+".connections", v.Connections, "not below slots")
		s.require(v.Queue > 0 && v.Queue <= maxQueue, key+".queue", v.Queue, fmt.Sprintf("1 to %d requests", maxQueue))
	}
}

func (s *source) checkKinds(cfg *Config) {
	for _, name := range slices.Sorted(maps.Keys(cfg.Kinds)) {
		v, key := cfg.Kinds[name], "kinds."+name
		_, known := cfg.Services[v.Service]
		s.require(known, key+".service", fmt.Sprintf("%q", v.Service), fmt.Sprintf("one of %v", slices.Sorted(maps.Keys(cfg.Services))))
		window, timeout := time.Duration(v.Window), time.Duration(v.Timeout)
		s.require(window > 0 && window <= maxWindow, key+".window", window, fmt.Sprintf("above 0s, up to %s", maxWindow))
		s.require(timeout > 0 && timeout <= window, key+".timeout", timeout, "above 0s, not above window")
		s.require(v.Worth > 0, key+".worth", v.Worth, "above 0")
		s.require(v.Size > 0 && v.Size <= maxBody, key+".size", v.Size, fmt.Sprintf("1 to %d bytes", maxBody))
	}
}

func (s *source) checkCustomers(cfg *Config) {
	s.require(len(cfg.Customers) > 0 && len(cfg.Customers) <= maxCustomers, "customers", len(cfg.Customers), fmt.Sprintf("1 to %d customers", maxCustomers))
	for _, name := range slices.Sorted(maps.Keys(cfg.Customers)) {
		c, key := cfg.Customers[name], "customers."+name
		s.require(c.Share > 0, key+".share", c.Share, "above 0")
		s.require(c.Jobs > 0, key+".jobs", c.Jobs, "1 or more waiting jobs")
		for _, shape := range slices.Sorted(maps.Keys(c.Guarantees)) {
			g, path := c.Guarantees[shape], key+".guarantees."+shape
			s.require(powerOfTwo(g.Accelerators), path+".accelerators", g.Accelerators, "a power of two")
			s.require(g.Count >= 0, path+".count", g.Count, "0 or more")
		}
	}
}

// checkGuarantees rejects guarantees that don't all fit in the zone after the loss
// of as many workers as the site holds spare. The reported problem names the first
// guarantee that needs cells of the lacking size or larger, starting with the customer
// of the highest Order.
func (s *source) checkGuarantees(cfg *Config, zone string) {
	tree := cfg.Tree(zone)
	level, lacking, ok := cell.Shortfall(tree, cfg.Site.Spare)
	if ok {
		return
	}
	names := slices.Sorted(maps.Keys(cfg.Customers))
	slices.SortStableFunc(names, func(a, b string) int { return cfg.Customers[b].Order - cfg.Customers[a].Order })
	for _, name := range names {
		for _, shape := range slices.Sorted(maps.Keys(cfg.Customers[name].Guarantees)) {
			g := cfg.Customers[name].Guarantees[shape]
			if g.Count > 0 && g.Accelerators >= cell.Size(level) {
				found := fmt.Sprintf("%d x %d accelerators, for which the zone lacks %d cells of %d", g.Count, g.Accelerators, lacking, cell.Size(level))
				s.addProblem("customers."+name+".guarantees."+shape+".count", found, fmt.Sprintf("what fits with %d workers failed", cfg.Site.Spare))
				return
			}
		}
	}
}
