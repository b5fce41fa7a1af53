// Package config defines the published configuration: customers with their
// guarantees, kinds of requests, services and the layout of each site. It is
// written in TOML, as a base file and an overlay for each site, and distributed
// through a stream of the platform's log.
package config

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"rhubarbshore/internal/capacity"
	"rhubarbshore/internal/cell"
)

// Duration is a length of time written as text, for example "30s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Config is the configuration of one site: the base with its overlay applied.
type Config struct {
	// Differs lists patterns of the keys that an overlay may change.
	Differs   []string            `toml:"differs"`
	Site      Site                `toml:"site"`
	Weights   Weights             `toml:"weights"`
	Customers map[string]Customer `toml:"customers"`
	Services  map[string]Service  `toml:"services"`
	Kinds     map[string]Kind     `toml:"kinds"`
}

// Site is the layout of one availability zone.
type Site struct {
	Region       string `toml:"region"`
	Workers      int    `toml:"workers"`
	Rack         int    `toml:"rack"`
	Accelerators int    `toml:"accelerators"`
	// Cores and Memory are the size of each worker; Memory is in GB. If both are 0,
	// workers accept no jobs without accelerators.
	Cores  float64 `toml:"cores"`
	Memory float64 `toml:"memory"`
	// Layout lists the accelerators of each worker, rack by rack. If it is set, it
	// replaces Workers, Rack (the workers in a full rack) and Accelerators (of each
	// worker).
	Layout [][]int `toml:"layout"`
	// Spare is the number of workers that may fail without a guarantee becoming
	// impossible to meet.
	Spare  int    `toml:"spare"`
	Levels Levels `toml:"levels"`
}

// Levels are the largest cells, in accelerators, that lie within one worker
// and within one rack.
type Levels struct {
	Worker int `toml:"worker"`
	Rack   int `toml:"rack"`
}

// Weights are the site's costs for choosing which accelerators to reclaim: Lost is
// the cost of an accelerator-second of lost work, Broken the cost per accelerator
// of breaking up a large cell.
type Weights struct {
	Lost   float64 `toml:"lost"`
	Broken float64 `toml:"broken"`
	// Whole is how long spare work waits before it may break up an idle cell of the
	// largest guaranteed shape.
	Whole Duration `toml:"whole"`
}

// Customer is a customer's share of the services and its guarantees.
type Customer struct {
	Share      float64              `toml:"share"`
	Order      int                  `toml:"order"`
	Jobs       int                  `toml:"jobs"`
	Guarantees map[string]Guarantee `toml:"guarantees"`
}

// Guarantee guarantees Count cells of Accelerators adjacent accelerators each.
type Guarantee struct {
	Accelerators int `toml:"accelerators"`
	Count        int `toml:"count"`
}

// Service is a pool of backend servers with the same limits.
type Service struct {
	Slots       int `toml:"slots"`
	Connections int `toml:"connections"`
	Queue       int `toml:"queue"`
}

// Kind is a kind of request.
type Kind struct {
	Service    string   `toml:"service"`
	Window     Duration `toml:"window"`
	Timeout    Duration `toml:"timeout"`
	Worth      float64  `toml:"worth"`
	Idempotent bool     `toml:"idempotent"`
	Size       int      `toml:"size"`
}

// WorkerName returns the name of a worker in the platform's list.
func WorkerName(zone string, rack, index int) string {
	return fmt.Sprintf("%s-r%d-w%d", zone, rack+1, index+1)
}

// Racks returns the site's racks with their workers. Without an explicit layout,
// all racks but the last are full.
func (s Site) Racks(zone string) []cell.Rack {
	var out []cell.Rack
	for r, row := range s.rows() {
		rack := cell.Rack{Name: fmt.Sprintf("%s-r%d", zone, r+1)}
		for i, n := range row {
			rack.Workers = append(rack.Workers, cell.Worker{Name: WorkerName(zone, r, i), Accelerators: n})
		}
		out = append(out, rack)
	}
	return out
}

func (s Site) rows() [][]int {
	if len(s.Layout) > 0 {
		return s.Layout
	}
	var rows [][]int
	for left := s.Workers; left > 0 && s.Rack > 0; left -= s.Rack {
		row := make([]int, min(left, s.Rack))
		for i := range row {
			row[i] = s.Accelerators
		}
		rows = append(rows, row)
	}
	return rows
}

// Tree returns the configuration of the zone's tree of cells.
func (c *Config) Tree(zone string) cell.Config {
	out := cell.Config{
		Levels: cell.Levels{Worker: cell.Level(c.Site.Levels.Worker), Rack: cell.Level(c.Site.Levels.Rack)},
		Racks:  c.Site.Racks(zone),
		Rank:   cell.Rank{Lost: c.Weights.Lost, Broken: c.Weights.Broken, Whole: time.Duration(c.Weights.Whole)},
	}
	for _, name := range slices.Sorted(maps.Keys(c.Customers)) {
		customer := c.Customers[name]
		for _, shape := range slices.Sorted(maps.Keys(customer.Guarantees)) {
			g := customer.Guarantees[shape]
			out.Guarantees = append(out.Guarantees, cell.Guarantee{
				Customer: name, Order: customer.Order, Level: cell.Level(g.Accelerators), Count: g.Count,
			})
		}
	}
	return out
}

// WorkerSize returns the size of each worker.
func (s Site) WorkerSize() capacity.Size { return capacity.Size{Cores: s.Cores, Memory: s.Memory} }

// total returns the number of accelerators of the site.
func (s Site) total() int {
	n := 0
	for _, row := range s.rows() {
		for _, a := range row {
			n += a
		}
	}
	return n
}
