// Package suspendtest provides clocks of a machine that tests suspend.
package suspendtest

import (
	"sync"
	"time"
)

// Clocks are the clocks of a machine. They stand still unless Run, Suspend or SetDay is called.
type Clocks struct {
	// Err is returned by Boot.
	Err error

	mu                sync.Mutex
	steady, boot, day time.Duration
}

// Run lets the machine run for d.
func (c *Clocks) Run(d time.Duration) { c.add(d, d, d) }

// Suspend suspends the machine for d.
func (c *Clocks) Suspend(d time.Duration) { c.add(0, d, d) }

// SetDay moves the time of day by d.
func (c *Clocks) SetDay(d time.Duration) { c.add(0, 0, d) }

func (c *Clocks) add(steady, boot, day time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.steady, c.boot, c.day = c.steady+steady, c.boot+boot, c.day+day
}

// Steady implements suspend.Clocks.
func (c *Clocks) Steady() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.steady
}

// Day implements suspend.Clocks.
func (c *Clocks) Day() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Unix(1_800_000_000, 0).Add(c.day)
}

// Boot implements suspend.Clocks.
func (c *Clocks) Boot() (time.Duration, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.boot, c.Err
}
