package pressure

import (
	"slices"
	"time"

	"lovagelane/call"
	"lovagelane/kernel"
)

const (
	// maxClasses and maxCallers bound the tables; callers beyond them share no history.
	maxClasses = 64
	maxCallers = 1024
	// shareInterval is the time between two computations of the fair share.
	shareInterval = 250 * time.Millisecond
	// shareDecay is the part of the counts that is kept from one interval to the next.
	shareDecay = 0.7
	// forgetBelow is the decayed count below which a caller is forgotten.
	forgetBelow = 0.05
	// shareTolerance is how far a caller may exceed its share before its requests count as excess.
	shareTolerance = 1.1
)

// Shares tells which requests of a caller exceed its fair share of a class; its zero value is ready. The caller serializes
// access to it.
type Shares struct {
	classes *kernel.Table[string, class]
}

// class holds the recent requests of one class. The counts decay.
type class struct {
	callers  *kernel.Table[string, usage]
	requests float64
	refused  float64
	computed time.Time
	scratch  []float64
}

type usage struct {
	requests float64
	// excess is the part of the caller's requests that exceeds its share.
	excess float64
	// due sums up excess; each time it reaches 1 a request is marked.
	due float64
}

// Value returns the value for a request: base (0..127) within the caller's fair share, base+128 beyond it.
func (s *Shares) Value(now time.Time, name, caller string, base uint8) uint8 {
	c := s.class(now, name)
	c.requests++
	u := c.callers.Put(caller)
	u.requests++
	base &= call.FairValues - 1
	if u.due += u.excess; u.due >= 1 {
		u.due--
		return base + call.FairValues
	}
	return base
}

// Refused counts a request of the class that was shed anywhere. A class is contended while requests of it are refused;
// without that nothing is marked as excess.
func (s *Shares) Refused(now time.Time, name string) { s.class(now, name).refused++ }

func (s *Shares) class(now time.Time, name string) *class {
	if s.classes == nil {
		s.classes = kernel.NewTable[string, class](maxClasses)
	}
	c := s.classes.Put(name)
	if c.callers == nil {
		c.callers = kernel.NewTable[string, usage](maxCallers)
		c.computed = now
	}
	if intervals := now.Sub(c.computed) / shareInterval; intervals > 0 {
		c.compute(int(min(intervals, 64)))
		c.computed = now
	}
	return c
}

// compute sets the excess of each caller against the max-min fair share of the requests that were not refused, then lets
// the counts decay.
func (c *class) compute(intervals int) {
	share := c.fairShare() * shareTolerance
	keep := 1.0
	for range intervals {
		keep *= shareDecay
	}
	c.callers.Each(func(_ string, u *usage) bool {
		u.excess = 0
		if share > 0 && u.requests > share {
			u.excess = 1 - share/u.requests
		}
		u.requests *= keep
		return u.requests >= forgetBelow
	})
	c.requests *= keep
	c.refused *= keep
}

// fairShare returns the largest share such that all callers limited to it fit into what was admitted, or 0 when the class
// is not contended.
func (c *class) fairShare() float64 {
	// Less than one refusal is what is left by decay.
	if c.refused < 1 {
		return 0
	}
	c.scratch = c.scratch[:0]
	c.callers.Each(func(_ string, u *usage) bool {
		c.scratch = append(c.scratch, u.requests)
		return true
	})
	slices.Sort(c.scratch)
	left := max(1, c.requests-c.refused)
	for i, requests := range c.scratch {
		share := left / float64(len(c.scratch)-i)
		if requests >= share {
			return share
		}
		left -= requests
	}
	return 0
}
