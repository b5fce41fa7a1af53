package operator

import (
	"log/slog"
	"sync"
	"time"

	"rhubarbshore/internal/suspend"
)

// confirmation records how recently the store has confirmed that no configuration is newer than the
// one of this VM.
type confirmation struct {
	maxAge     time.Duration
	logger     *slog.Logger
	suspension *suspend.Detector

	mu      sync.Mutex
	askedAt time.Time // when the newest read that proves it was sent
	wokenAt time.Time // when a suspension of the machine was last noticed
}

func newConfirmation(maxAge time.Duration, logger *slog.Logger, clocks suspend.Clocks) *confirmation {
	return &confirmation{maxAge: maxAge, logger: logger, suspension: suspend.New(suspend.Config{Clocks: clocks})}
}

// confirm records the answer to a read that was sent at the given time. The answer to a read
// that was sent before a suspension may be as old as that.
func (c *confirmation) confirm(askedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkSuspension()
	if askedAt.After(c.wokenAt) && askedAt.After(c.askedAt) {
		c.askedAt = askedAt
	}
}

// age returns the age of the confirmation, which counts from the sending of the read, and whether
// it is recent enough to act on. The age is -1 if there is none.
func (c *confirmation) age() (age time.Duration, recent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkSuspension()
	if !c.askedAt.After(c.wokenAt) {
		return -1, false
	}
	age = time.Since(c.askedAt)
	return age, age < c.maxAge
}

// recent reports whether the confirmation is recent enough to act on.
func (c *confirmation) recent() bool {
	_, recent := c.age()
	return recent
}

// checkSuspension notes a suspension, which the age of a confirmation does not count. The caller
// holds the lock.
func (c *confirmation) checkSuspension() {
	suspended, err := c.suspension.Check()
	if err != nil {
		c.logger.Error("boot time not read", "error", err)
	}
	if suspended > 0 {
		c.logger.Warn("machine was suspended", "suspended_ms", suspended.Milliseconds())
		c.wokenAt = time.Now()
	}
}
