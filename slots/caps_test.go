package slots_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagelane/kernel"
	"lovagelane/slots"
)

// chainModel simulates a backend server whose runs depend on a downstream service with limited capacity.
type chainModel struct {
	// downstreamCapacity is the work that the downstream service does, in seconds per second. Each run needs workPerRun seconds
	// of it within deadline seconds.
	downstreamCapacity, workPerRun, deadline float64
	// maxParallelism is the maximum work per second that one run can use.
	maxParallelism float64
	slots          int
	caps           *slots.Caps
}

type modelRun struct {
	age, workDone float64
	generation    int
}

// simulate offers requests at a rate for a time and returns the rate of the runs that finish in time in the second half.
func (m chainModel) simulate(rate float64, length time.Duration) float64 {
	const step = 0.005
	random := kernel.NewRand(1)
	var running []modelRun
	good := 0
	total := length.Seconds()
	for now := 0.0; now < total; now += step {
		if random.Float64() < rate*step && len(running) < m.slots {
			generation, ok := 0, true
			if m.caps != nil {
				generation, ok = m.caps.Admit("read", m.slots)
			}
			if ok {
				running = append(running, modelRun{generation: generation})
			}
		}
		share := m.maxParallelism
		if demand := float64(len(running)) * m.maxParallelism; demand > m.downstreamCapacity {
			share *= m.downstreamCapacity / demand
		}
		unfinished := running[:0]
		for _, r := range running {
			r.age += step
			r.workDone += share * step
			finished := r.workDone >= m.workPerRun
			late := !finished && r.age >= m.deadline
			if finished && now > total/2 {
				good++
			}
			if !finished && !late {
				unfinished = append(unfinished, r)
			} else if m.caps != nil {
				m.caps.Finish("read", r.generation, m.slots, late)
			}
		}
		running = unfinished
	}
	for range running {
		if m.caps != nil {
			m.caps.Cancel("read")
		}
	}
	return float64(good) / (total / 2)
}

// Guards against the congestion collapse of a deep chain: requests are admitted at the entry although the downstream service is
// overloaded, so that nearly all of them miss their deadline and the downstream work is wasted.
func TestCapsPreventCollapseOfDeepChain(t *testing.T) {
	m := chainModel{downstreamCapacity: 26, workPerRun: 0.44, deadline: 1.5, maxParallelism: 1.2, slots: 144}
	capacity := m.downstreamCapacity / m.workPerRun
	without := m.simulate(2*capacity, 40*time.Second)
	m.caps = &slots.Caps{}
	with := m.simulate(2*capacity, 40*time.Second)
	t.Logf("capacity %.0f a second, in time without caps %.0f, with caps %.0f", capacity, without, with)
	require.Less(t, without, 0.3*capacity)
	require.Greater(t, with, 0.9*capacity)
}

// Guards against caps that refuse requests although the capacity suffices, or that stay low after an overload.
func TestCapsAdmitAllWithoutShortage(t *testing.T) {
	m := chainModel{downstreamCapacity: 26, workPerRun: 0.44, deadline: 1.5, maxParallelism: 1.2, slots: 144, caps: &slots.Caps{}}
	rate := 0.8 * m.downstreamCapacity / m.workPerRun
	require.Greater(t, m.simulate(rate, 20*time.Second), 0.97*rate)
	m.simulate(3*rate, 20*time.Second)
	m.downstreamCapacity *= 2
	require.Greater(t, m.simulate(rate, 8*time.Second), 0.95*rate)
}

// Guards against caps that are lowered because a few long runs miss their deadline although the downstream service is not
// overloaded.
func TestCapsTolerateOccasionalLateRuns(t *testing.T) {
	const slotCount, runs = 72, 4000
	random := kernel.NewRand(1)
	var caps slots.Caps
	var running []int
	refused := 0
	for range runs {
		if generation, ok := caps.Admit("read", slotCount); ok {
			running = append(running, generation)
		} else {
			refused++
		}
		// Between 10 and 30 run at once, and one in 20 ends late.
		if len(running) > 10+random.IntN(20) {
			caps.Finish("read", running[0], slotCount, random.IntN(20) == 0)
			running = running[1:]
		}
	}
	require.Less(t, refused, runs/100)
}
