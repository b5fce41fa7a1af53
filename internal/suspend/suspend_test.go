package suspend_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbshore/internal/suspend"
	"rhubarbshore/internal/suspend/suspendtest"
)

func check(t *testing.T, d *suspend.Detector) time.Duration {
	t.Helper()
	suspended, err := d.Check()
	assert.NilError(t, err)
	return suspended
}

// Guards against a suspension that goes unnoticed, is reported twice, or is taken for a change
// of the time of day.
func TestSuspensionIsReportedOnce(t *testing.T) {
	c := &suspendtest.Clocks{}
	d := suspend.New(suspend.Config{Clocks: c})
	c.Run(time.Hour)
	assert.Equal(t, check(t, d), time.Duration(0))
	c.SetDay(2 * time.Second)
	assert.Equal(t, check(t, d), time.Duration(0), "the time of day was set ahead")
	c.SetDay(-5 * time.Second)
	assert.Equal(t, check(t, d), time.Duration(0), "the time of day was set back")
	c.Suspend(3 * time.Second)
	assert.Equal(t, check(t, d), 3*time.Second)
	assert.Equal(t, check(t, d), time.Duration(0))
	c.Run(time.Minute)
	c.Suspend(100 * time.Millisecond)
	assert.Equal(t, check(t, d), time.Duration(0), "too short to matter")
}

// Guards against a permission that counts as valid because one of the clocks cannot be read.
func TestJumpCountsWithoutTheBootTime(t *testing.T) {
	c := &suspendtest.Clocks{Err: errors.New("no such clock")}
	d := suspend.New(suspend.Config{Clocks: c})
	c.Suspend(3 * time.Second)
	suspended, err := d.Check()
	assert.ErrorContains(t, err, "no such clock")
	assert.Equal(t, suspended, 3*time.Second)
}

func TestSystemClocksAgree(t *testing.T) {
	d := suspend.New(suspend.Config{})
	time.Sleep(10 * time.Millisecond)
	assert.Equal(t, check(t, d), time.Duration(0))
}
