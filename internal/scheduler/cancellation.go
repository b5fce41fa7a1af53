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

// ErrTooMany is returned if no more cancellations of unknown jobs can be kept. Callers test for it
// with errors.Is.
var ErrTooMany = errorx.NewType(errorx.NewNamespace("scheduler"), "toomany").New("too many unknown jobs were cancelled")

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
		if len(c.cancellations) >= maxCancellations {
			return ErrTooMany
		}
		c.storeRecord(key, cancellationRecord{Customer: customer})
		c.cfg.Logger.Info("cancelling of an unknown job kept", "job", id, "customer", customer)
	}
	c.cancellations[key] = now.Add(c.cancellationTTL())
	return nil
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
	c.cancellations[cancellationKey(id, rec.Customer)] = now.Add(c.cancellationTTL())
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
	delete(c.cancellations, key)
	c.effects.Records = append(c.effects.Records, Record{Key: key})
}

// expireCancellations drops cancellations after their time. Those of jobs that can't be read yet stay.
func (c *Core) expireCancellations(now time.Time) {
	for key, expiresAt := range c.cancellations {
		id, _, _ := strings.Cut(key, cancellationSeparator)
		if now.After(expiresAt) && !c.mayBeStored(id, expiresAt) {
			c.dropCancellation(key)
		}
	}
}
