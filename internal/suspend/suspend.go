// Package suspend detects that the machine was suspended. The steady clock, on which Go's timers
// and time.Since run, does not count that time, so that a lease or a permission that ran out
// meanwhile still looks valid.
package suspend

import (
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/sys/unix"
)

// minSuspension is the shortest suspension that is reported. It is above the errors of the
// clocks and below the shortest time in which another VM takes over.
const minSuspension = 400 * time.Millisecond

// Clocks are the clocks of a machine.
type Clocks interface {
	// Steady returns the time of the steady clock, which stands still during a suspension.
	Steady() time.Duration
	// Day returns the time of day, which may jump.
	Day() time.Time
	// Boot returns the time since the machine started, with the time of suspensions.
	Boot() (time.Duration, error)
}

// Config configures a Detector.
type Config struct {
	Clocks Clocks // nil: the clocks of this machine
}

// Detector reports suspensions. It is safe for concurrent use.
type Detector struct {
	clocks Clocks

	mu      sync.Mutex
	dayLead time.Duration // time of day less steady time when last compared, in Unix time
	lag     time.Duration // boot time less steady time when last compared
	err     error         // why the boot time could not be read last
}

// New returns a Detector that reports suspensions from now on.
func New(cfg Config) *Detector {
	if cfg.Clocks == nil {
		cfg.Clocks = systemClocks{start: time.Now()}
	}
	d := &Detector{clocks: cfg.Clocks}
	steady := d.clocks.Steady()
	d.dayLead = dayLead(d.clocks, steady)
	var boot time.Duration
	if boot, d.err = d.clocks.Boot(); d.err == nil {
		d.lag = boot - steady
	}
	return d
}

func dayLead(c Clocks, steady time.Duration) time.Duration {
	return time.Duration(c.Day().UnixNano()) - steady
}

// Check returns for how long the machine was suspended since the last call, or 0. The time of
// day decides whether the boot time is read, which costs a system call. If the boot time cannot
// be read, a jump of the time of day ahead counts as a suspension.
func (d *Detector) Check() (time.Duration, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	steady := d.clocks.Steady()
	lead := dayLead(d.clocks, steady)
	jump := lead - d.dayLead
	if jump.Abs() < minSuspension {
		return 0, nil
	}
	d.dayLead = lead
	boot, err := d.clocks.Boot()
	if err != nil || d.err != nil {
		d.err = err
		if err == nil {
			d.lag = boot - steady
		}
		return max(jump, 0), errorx.Decorate(err, "read the boot time")
	}
	suspended := boot - steady - d.lag
	if suspended < minSuspension {
		return 0, nil // the time of day was set
	}
	d.lag += suspended
	return suspended, nil
}

// systemClocks are the clocks of this machine. The steady clock starts at start.
type systemClocks struct{ start time.Time }

// Steady implements Clocks.
func (c systemClocks) Steady() time.Duration { return time.Since(c.start) }

// Day implements Clocks.
func (systemClocks) Day() time.Time { return time.Now() }

// Boot implements Clocks.
func (systemClocks) Boot() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}
