package ingress

import (
	"math"
	"time"

	"lovagelane/call"
	"lovagelane/fairshare"
	"lovagelane/kernel"
)

const (
	// maxClasses and maxCallers bound the tables of classes and of the callers of one class. Beyond them, the least recently
	// used entry is evicted and its counts are lost.
	maxClasses = 64
	maxCallers = 1024
	// shareInterval is the period at which the fair share is computed.
	shareInterval = 250 * time.Millisecond
	// shareDecay is the fraction of the counts that is kept from one interval to the next.
	shareDecay = 0.7
	// minCallerCount is the decayed request count below which a caller is removed from its table.
	minCallerCount = 0.05
	// shareTolerance is the multiple of its fair share above which the requests of a caller count as excess.
	shareTolerance = 1.1
)

// Shares marks the requests of a caller that exceed its max-min fair share of a class. The zero value is ready to use. The
// caller serializes access to it.
type Shares struct {
	classes *kernel.LRU[string, class]
}

// class holds the decaying request counts of one class.
type class struct {
	callers      *kernel.LRU[string, callerUsage]
	requests     float64
	refused      float64
	lastComputed time.Time
	scratch      []float64
}

// callerUsage holds the decaying request count of one caller and its excess.
type callerUsage struct {
	requests float64
	// excessShare is the fraction of the caller's requests that exceeds its fair share.
	excessShare float64
	// excessSum accumulates excessShare for each request; each time that it reaches 1, a request is marked as excess.
	excessSum float64
}

// Value counts a request and returns its priority value: base (0..127) within the caller's fair share, base+128 beyond it.
func (s *Shares) Value(now time.Time, className, caller string, base uint8) uint8 {
	c := s.class(now, className)
	c.requests++
	u := c.callers.GetOrAdd(caller)
	u.requests++
	base &= call.FairShareValues - 1
	if u.excessSum += u.excessShare; u.excessSum >= 1 {
		u.excessSum--
		return base + call.FairShareValues
	}
	return base
}

// RecordRefusal counts a request of the class that was shed anywhere in the call graph. A class is contended while its
// requests are refused; otherwise no request is marked as excess.
func (s *Shares) RecordRefusal(now time.Time, className string) { s.class(now, className).refused++ }

func (s *Shares) class(now time.Time, className string) *class {
	if s.classes == nil {
		s.classes = kernel.NewLRU[string, class](maxClasses)
	}
	c := s.classes.GetOrAdd(className)
	if c.callers == nil {
		c.callers = kernel.NewLRU[string, callerUsage](maxCallers)
		c.lastComputed = now
	}
	if intervals := now.Sub(c.lastComputed) / shareInterval; intervals > 0 {
		c.updateExcess(int(min(intervals, 64)))
		c.lastComputed = now
	}
	return c
}

// updateExcess sets the excess share of each caller from the max-min fair share of the requests that were not refused, then
// decays the counts.
func (c *class) updateExcess(intervals int) {
	share := c.fairShare() * shareTolerance
	retained := 1.0
	for range intervals {
		retained *= shareDecay
	}
	c.callers.Retain(func(_ string, u *callerUsage) bool {
		u.excessShare = 0
		if share > 0 && u.requests > share {
			u.excessShare = 1 - share/u.requests
		}
		u.requests *= retained
		return u.requests >= minCallerCount
	})
	c.requests *= retained
	c.refused *= retained
}

// fairShare returns the max-min fair share: the largest share such that the requests of all callers, each limited to it, fit
// into the admitted requests. It returns 0 if the class is not contended.
func (c *class) fairShare() float64 {
	// A count below one is the decayed rest of earlier refusals.
	if c.refused < 1 {
		return 0
	}
	c.scratch = c.scratch[:0]
	c.callers.Retain(func(_ string, u *callerUsage) bool {
		c.scratch = append(c.scratch, u.requests)
		return true
	})
	share := fairshare.Level(max(1, c.requests-c.refused), c.scratch)
	if math.IsInf(share, 1) {
		return 0
	}
	return share
}
