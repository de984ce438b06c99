package kernel

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Rand is a seeded random source that is safe for concurrent use.
type Rand struct {
	mu sync.Mutex
	r  *rand.Rand
}

// NewRand returns a source that yields the same sequence for the same seed.
func NewRand(seed uint64) *Rand {
	return &Rand{r: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

// IntN returns a random integer in [0, n).
func (r *Rand) IntN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.r.IntN(n)
}

// Uint64 returns a random 64-bit number.
func (r *Rand) Uint64() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.r.Uint64()
}

// Float64 returns a random number in [0, 1).
func (r *Rand) Float64() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.r.Float64()
}

// Jitter returns d reduced by a random share of d that is at most fraction.
func (r *Rand) Jitter(d time.Duration, fraction float64) time.Duration {
	return d - time.Duration(float64(d)*fraction*r.Float64())
}
