package admission

import (
	"math"
	"time"

	"lovagelane/kernel"
)

// Unlimited is the limit of a limiter that admits everything without a queue.
const Unlimited = math.MaxInt

// Observation is what a limiter learns from a call that finished.
type Observation struct {
	Now     time.Time
	Started time.Time
	// Latency is relative to the usual latency of the call's operation, so that the mix of operations does not matter.
	Latency float64
	// Saturated is set when the limit was reached lately.
	Saturated bool
	Slots     int
}

// Limiter bounds the calls in flight; the controller serializes access to it.
type Limiter interface {
	// Limit returns the bound, which is in [1, slots] or Unlimited.
	Limit(slots int) int
	// Observe learns from a call that finished.
	Observe(o Observation)
}

// Limiters holds the limiter plug-ins by name.
var Limiters kernel.Registry[func() Limiter]

func init() {
	Limiters.Register("none", func() Limiter { return none{} })
	Limiters.Register("fixed", func() Limiter { return fixed{} })
}

// none is the baseline without limit, queue and shedding.
type none struct{}

func (none) Limit(int) int       { return Unlimited }
func (none) Observe(Observation) {}

// fixed is the baseline whose limit is the number of slots.
type fixed struct{}

func (fixed) Limit(slots int) int { return slots }
func (fixed) Observe(Observation) {}
