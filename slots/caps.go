package slots

import "lovagelane/kernel"

const (
	// runsPerWindow is the number of finished runs after which a cap is adjusted. With fewer, a single long run would change
	// the cap.
	runsPerWindow = 32
	// maxLateShare is the share of late runs above which a cap is lowered. Up to it, the late runs are the long ones that any
	// mix contains.
	maxLateShare = 0.15
	// capDecrease is the fraction by which a cap is lowered when all runs are late; it scales with the share of late runs.
	capDecrease = 0.7
	// nearIncrease is the fraction by which a cap is raised near the value from which it was last lowered, and farIncrease
	// elsewhere.
	nearIncrease = 0.02
	farIncrease  = 0.08
	// nearBelow and nearAbove bound the range in which nearIncrease applies, as multiples of routeCap.lastDecreaseFrom.
	nearBelow = 0.85
	nearAbove = 1.15
	// minCapShare is the minimum cap as a fraction of the slots, so that enough runs finish to raise the cap again.
	minCapShare = 0.05
	// maxRoutes bounds the number of routes that have caps, and of those that have a learned run time.
	maxRoutes = 4096
)

// Caps is an adaptive concurrency limit for each sheddable route, driven by the share of runs that finish in time. When a
// downstream service is overloaded, runs on this node wait for it until their deadline and all their work is lost; with
// fewer concurrent runs, the remaining ones finish in time. The caller serializes access to Caps. The zero value starts each
// route at a cap of all slots.
type Caps struct {
	routes *kernel.LRU[string, routeCap]
}

// routeCap holds the cap of one route and the counts of the current window.
type routeCap struct {
	// limit is the cap; 0 means that no call has arrived.
	limit   float64
	running int
	// maxRunning is the maximum number of concurrent runs in the window.
	maxRunning int
	finished   int
	late       int
	// decreases counts the decreases of the cap, and Admit returns it as the generation. A run that was admitted before the
	// last decrease does not reflect the current cap.
	decreases int
	// lastDecreaseFrom is the cap before the last decrease, or maxRunning if that was lower.
	lastDecreaseFrom float64
}

// Admit reports whether one more call of a route may run and, if so, counts it as running. The generation must be passed to
// Finish.
func (c *Caps) Admit(route string, slots int) (generation int, ok bool) {
	if c.routes == nil {
		c.routes = kernel.NewLRU[string, routeCap](maxRoutes)
	}
	r := c.routes.GetOrAdd(route)
	if r.limit == 0 || r.limit > float64(slots) {
		r.limit = float64(slots)
	}
	if r.running >= max(1, int(r.limit)) {
		return 0, false
	}
	r.running++
	r.maxRunning = max(r.maxRunning, r.running)
	return r.decreases, true
}

// Cancel reverts an admission whose call did not run or ended without a meaningful outcome.
func (c *Caps) Cancel(route string) {
	if r := c.find(route); r != nil && r.running > 0 {
		r.running--
	}
}

// Finish records a finished run and adjusts the cap after each window. late is set if the run failed after most of its time
// had passed.
func (c *Caps) Finish(route string, generation, slots int, late bool) {
	r := c.find(route)
	if r == nil {
		return
	}
	if r.running > 0 {
		r.running--
	}
	if generation != r.decreases {
		return
	}
	r.finished++
	if late {
		r.late++
	}
	if r.finished < runsPerWindow {
		return
	}
	lateShare := float64(r.late) / float64(r.finished)
	if lateShare > maxLateShare {
		// A cap that was not reached has no effect, so the decrease starts from the concurrency that was reached.
		r.lastDecreaseFrom = min(r.limit, float64(r.maxRunning))
		r.limit = r.lastDecreaseFrom * (1 - capDecrease*lateShare)
		r.decreases++
	} else {
		r.limit += max(1, r.increase()*r.limit)
	}
	r.limit = max(minCapShare*float64(slots), 1, min(r.limit, float64(slots)))
	r.finished, r.late, r.maxRunning = 0, 0, r.running
}

// increase returns the fraction by which the cap is raised. It is small near lastDecreaseFrom, because a persisting overload
// recurs there.
func (r *routeCap) increase() float64 {
	if r.limit > nearBelow*r.lastDecreaseFrom && r.limit < nearAbove*r.lastDecreaseFrom {
		return nearIncrease
	}
	return farIncrease
}

// Limit returns the cap of a route, or 0 when there is none.
func (c *Caps) Limit(route string) int {
	if r := c.find(route); r != nil {
		return int(r.limit)
	}
	return 0
}

func (c *Caps) find(route string) *routeCap {
	if c.routes == nil {
		return nil
	}
	return c.routes.Get(route)
}
