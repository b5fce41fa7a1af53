package scheduler

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"
)

const (
	// maxCancellationTTL is how long the cancelling of an unknown job is kept, unless outcomes are
	// kept for less. Writes that the store carries out late come within seconds.
	maxCancellationTTL = time.Minute
	// maxCancellations bounds the memory for them.
	maxCancellations = 10_000
	// cancellationSeparator separates a job's ID from its customer in the key of a record. No ID
	// contains it.
	cancellationSeparator = "~"
)

// ErrTooMany is returned if no more cancellations of unknown jobs can be kept for a customer. Callers test
// for it with errors.Is.
var ErrTooMany = errorx.NewType(errorx.NewNamespace("scheduler"), "toomany").New("too many unknown jobs were cancelled")

// cancellation is the cancelling of an unknown job.
type cancellation struct {
	customer  string
	expiresAt time.Time
}

// cancellationRecord is the stored cancelling of an unknown job.
type cancellationRecord struct {
	Customer string `json:"customer,omitempty"`
}

// cancellationKey returns the key of the record of a cancellation. Customers with the same ID have
// records of their own.
func cancellationKey(id, customer string) string {
	return id + cancellationSeparator + strconv.FormatUint(xxhash.Sum64String(customer), 16)
}

// CancelUnknown notes that a customer has cancelled a job that is not known. A submission of it may be
// stored later, as the store may carry out a call whose answer was given up. It is cancelled then.
func (c *Core) CancelUnknown(now time.Time, id, customer string) error {
	key := cancellationKey(id, customer)
	if _, kept := c.cancellations[key]; !kept {
		// No customer may use up the places of the others: each has as many as are free.
		if c.cancellationsOf[customer] >= maxCancellations-len(c.cancellations) {
			return ErrTooMany
		}
		c.storeRecord(key, cancellationRecord{Customer: customer})
		c.cfg.Logger.Info("cancelling of an unknown job kept", "job", id, "customer", customer)
	}
	c.keepCancellation(key, cancellation{customer, now.Add(c.cancellationTTL())})
	return nil
}

// Cancellations returns how many cancellations of unknown jobs are kept, and when the next one expires, as of
// the last tick.
func (c *Core) Cancellations() (kept int, nextExpiry time.Time) {
	return len(c.cancellations), c.nextCancellationExpiry
}

func (c *Core) keepCancellation(key string, v cancellation) {
	if _, kept := c.cancellations[key]; !kept {
		c.cancellationsOf[v.customer]++
	}
	c.cancellations[key] = v
}

// restoreCancellation loads a record of a cancellation. It reports false for a record of another kind.
func (c *Core) restoreCancellation(now time.Time, key string, value []byte) (bool, error) {
	id, _, ok := strings.Cut(key, cancellationSeparator)
	if !ok {
		return false, nil
	}
	var rec cancellationRecord
	if err := json.Unmarshal(value, &rec); err != nil {
		return true, errorx.Decorate(err, "stored cancellation %s", key)
	}
	c.keepCancellation(cancellationKey(id, rec.Customer), cancellation{rec.Customer, now.Add(c.cancellationTTL())})
	return true, nil
}

// applyCancellation cancels a job that was cancelled before its submission was read.
func (c *Core) applyCancellation(now time.Time, j *job) {
	key := cancellationKey(j.spec.ID, j.spec.Customer)
	if _, cancelled := c.cancellations[key]; !cancelled {
		return
	}
	c.dropCancellation(key)
	if !j.state.Final() {
		c.endJob(now, j, Cancelled, "cancelled before it was known")
	}
}

func (c *Core) cancellationTTL() time.Duration { return min(maxCancellationTTL, c.cfg.KeepEnded) }

func (c *Core) dropCancellation(key string) {
	customer := c.cancellations[key].customer
	if c.cancellationsOf[customer]--; c.cancellationsOf[customer] == 0 {
		delete(c.cancellationsOf, customer)
	}
	delete(c.cancellations, key)
	c.effects.Records = append(c.effects.Records, Record{Key: key})
}

// expireCancellations drops cancellations after their time. Those of jobs that can't be read yet stay.
func (c *Core) expireCancellations(now time.Time) {
	c.nextCancellationExpiry = time.Time{}
	for key, v := range c.cancellations {
		id, _, _ := strings.Cut(key, cancellationSeparator)
		switch {
		case now.After(v.expiresAt) && !c.mayBeStored(id, v.expiresAt):
			c.dropCancellation(key)
		case c.nextCancellationExpiry.IsZero() || v.expiresAt.Before(c.nextCancellationExpiry):
			c.nextCancellationExpiry = v.expiresAt
		}
	}
}
