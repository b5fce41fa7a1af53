package node

import (
	"log/slog"
	"sync"
	"time"

	"rhubarbshore/internal/suspend"
)

// maxConfirmationAge is how long ago the store may have been asked for a newer configuration
// while jobs are accepted under the present one. A read that waits and the one before it take
// two seconds, and one may fail.
const maxConfirmationAge = 2*configPollWait + configPollMargin

// confirmation records when the store last confirmed the configuration in force.
type confirmation struct {
	logger     *slog.Logger
	suspension *suspend.Detector

	mu      sync.Mutex
	askedAt time.Time // when the last answered read was sent
	wokenAt time.Time // when a suspension of the machine was last noticed
}

func newConfirmation(logger *slog.Logger, clocks suspend.Clocks) *confirmation {
	return &confirmation{logger: logger, suspension: suspend.New(suspend.Config{Clocks: clocks})}
}

// confirm records the answer to a read that was sent at the given time. The answer to a read
// that was sent before a suspension may be as old as that.
func (c *confirmation) confirm(askedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkSuspension()
	if askedAt.After(c.wokenAt) {
		c.askedAt = askedAt
	}
}

// recent reports whether the configuration was confirmed recently.
func (c *confirmation) recent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkSuspension()
	return c.askedAt.After(c.wokenAt) && time.Since(c.askedAt) < maxConfirmationAge
}

// age returns how long ago the newest answered read of the configuration was sent, or -1 if none
// was answered since the start or the last suspension.
func (c *confirmation) age() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkSuspension()
	if !c.askedAt.After(c.wokenAt) {
		return -1
	}
	return time.Since(c.askedAt)
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
