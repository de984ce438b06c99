package kernel

import (
	"sync"
	"time"
)

// Clock tells the time to code that must be testable without waiting.
type Clock interface {
	Now() time.Time
}

// SystemClock is the clock of the running process.
type SystemClock struct{}

// Now returns the current time with its monotonic reading.
func (SystemClock) Now() time.Time { return time.Now() }

// ManualClock is a clock for tests that moves only when told to; its zero value starts at the zero time.
type ManualClock struct {
	mu  sync.Mutex
	now time.Time
}

// Now returns the time that the clock was last moved to.
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
