package admission

import (
	"math"
	"time"

	"lovagelane/kernel"
)

// Unlimited is the limit of a limiter that admits every call without a queue.
const Unlimited = math.MaxInt

// Observation holds the measurements of a finished call for a limiter.
type Observation struct {
	Now     time.Time
	Started time.Time
	// Latency is relative to the reference latency of the call's operation, so that it does not depend on the mix of
	// operations; 0 means that the operation has no reference yet.
	Latency float64
	// Saturated is set when the limit was reached since the last update of the admission level.
	Saturated bool
	Slots     int
}

// Limiter bounds the calls in flight; the controller serializes access to it.
type Limiter interface {
	// Limit returns the maximum number of calls in flight, which is in [1, slots] or Unlimited.
	Limit(slots int) int
	// Observe updates the limit with a finished call.
	Observe(o Observation)
}

// Limiters holds the limiter plug-ins by name.
var Limiters kernel.Registry[func() Limiter]

func init() {
	Limiters.Register("none", func() Limiter { return noneLimiter{} })
	Limiters.Register("fixed", func() Limiter { return fixedLimiter{} })
}

// noneLimiter is the baseline without limit, queue or load shedding.
type noneLimiter struct{}

func (noneLimiter) Limit(int) int       { return Unlimited }
func (noneLimiter) Observe(Observation) {}

// fixedLimiter is the baseline whose limit is the number of slots.
type fixedLimiter struct{}

func (fixedLimiter) Limit(slots int) int { return slots }
func (fixedLimiter) Observe(Observation) {}
