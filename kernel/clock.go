package kernel

import (
	"sync"
	"time"
)

// Clock returns the current time; code that takes a Clock can be tested without waiting.
type Clock interface {
	Now() time.Time
}

// SystemClock is a Clock that reads the system time.
type SystemClock struct{}

// Now returns the current time with its monotonic reading.
func (SystemClock) Now() time.Time { return time.Now() }

// ManualClock is a Clock for tests that moves only on Advance; its zero value starts at the zero time.
type ManualClock struct {
	mu  sync.Mutex
	now time.Time
}

// Now returns the time set by the last Advance.
func (c *ManualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// Advance moves the clock forward by d and returns the new time.
func (c *ManualClock) Advance(d time.Duration) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
	return c.now
}
