package admission_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagelane/admission"
	"lovagelane/call"
)

const (
	mean    = 20 * time.Millisecond
	slots   = 35
	seconds = time.Second
	// capacity is the number of calls per second that the simulated backend server can finish.
	capacity = slots * 50
)

func paying(rate func(time.Duration) float64) *stream {
	return &stream{op: "pay", caller: "a", rank: 1, rate: rate, mean: mean, timeout: time.Second}
}

func browsing(rate func(time.Duration) float64) *stream {
	return &stream{op: "map", caller: "b", rank: 5, rate: rate, mean: mean, timeout: time.Second}
}

// Guards against overload that reduces goodput or sheds an important class that fits the capacity.
// Mutation: with servedFloor = 0 the goodput of cases with a width falls below 90%; with the value in place of the whole
// priority in level.admit the important class is shed.
func TestOverloadKeepsGoodputAndClasses(t *testing.T) {
	for _, width := range []float64{0, 12} {
		for _, n := range []int{10, 35, 70} {
			for _, took := range []time.Duration{10 * time.Millisecond, 100 * time.Millisecond} {
				for _, over := range []float64{2, 5} {
					t.Run(fmt.Sprintf("width=%v,slots=%d,took=%v,over=%v", width, n, took, over), func(t *testing.T) {
						usable := float64(n)
						if width > 0 {
							usable = min(usable, width)
						}
						full := usable / took.Seconds()
						pay, browse := paying(constant(0.4*full)), browsing(constant((over-0.4)*full))
						pay.mean, browse.mean = took, took
						s := simulate(t, 1, admission.Config{Slots: n}, backend{width: width}, 13*seconds, pay, browse)
						p, b := s.sum(pay, 2*seconds, 12*seconds), s.sum(browse, 2*seconds, 12*seconds)
						require.GreaterOrEqual(t, float64(p.good+b.good)/10, 0.9*full, "goodput")
						require.GreaterOrEqual(t, float64(p.good), 0.99*float64(p.offered), "important class")
					})
				}
			}
		}
	}
}

// Guards against low goodput during a demand surge, and against a level that stays strict after it.
// Mutation: without the doubling in relax, calls are refused until 4.5 s after the surge.
func TestDemandSurge(t *testing.T) {
	for _, baseline := range []float64{0.1, 0.5, 0.9} {
		browse := browsing(between(2*seconds, 4*seconds, 10*baseline*capacity, baseline*capacity))
		s := simulate(t, 1, admission.Config{Slots: slots}, backend{}, 7*seconds, browse)
		surge := s.sum(browse, 2500*time.Millisecond, 4*seconds)
		require.GreaterOrEqual(t, float64(surge.good)/1.5, min(0.9*capacity, 9*baseline*capacity), "surge from %v", baseline)
		after := s.sum(browse, 5*seconds, 6*seconds)
		require.GreaterOrEqual(t, float64(after.good), 0.99*float64(after.offered), "1 s after the surge from %v", baseline)
		require.Equal(t, call.LeastImportant, s.levels[6*seconds/admission.TickInterval], "2 s after the surge from %v", baseline)
	}
}

// Guards against a limit that does not fall when concurrency slows the backend server down, and a limit outside [1, slots].
// Mutation: without the reduction in shrink the limit rises to 70.
func TestLimitFollowsTheBackendServer(t *testing.T) {
	for seed, width := range []float64{10, 15, 10, 15, 10, 15} {
		s := simulate(t, uint64(seed), admission.Config{Slots: 70}, backend{width: width}, 6*seconds, browsing(constant(width*50*2)))
		settled := slices.Clone(s.limits[200:])
		slices.Sort(settled)
		require.Greater(t, float64(settled[len(settled)/10]), width)
		require.Less(t, float64(settled[len(settled)/2]), 3.5*width)
		require.LessOrEqual(t, slices.Max(s.limits), 70)
		require.GreaterOrEqual(t, slices.Min(s.limits), 1)
	}
}

// Guards against a limit, level or service time that does not recover after a stall, a cold start or a slowdown, and against a
// limit that stays low when a cause other than concurrency slowed the backend server down permanently.
// Mutation: without the restored limit in shrink, the limit stays low after a slowdown; with servedFloor = 0 the important
// class is shed at first.
func TestRecoversAfterStallOrSlowdown(t *testing.T) {
	tests := []struct {
		name    string
		backend backend
		// from is 1 s after the end of the fault. From then on, minimum is the lower bound of the limit, and good is the minimum
		// share of the calls that finish in time; 0 means that the goodput is compared with the reduced capacity instead.
		from    time.Duration
		minimum int
		good    float64
		// firstGood is the minimum share of the important class that is served in the first 500 ms after the fault.
		firstGood float64
	}{
		{"stall of 300 ms", backend{stalls: [][2]time.Duration{{2 * seconds, 2300 * time.Millisecond}}}, 3300 * time.Millisecond, 20, 0.99, 0.95},
		{"stall of 1 s", backend{stalls: [][2]time.Duration{{2 * seconds, 3 * seconds}}}, 4 * seconds, 20, 0.99, 0.95},
		{"two stalls", backend{stalls: [][2]time.Duration{{2 * seconds, 2500 * time.Millisecond}, {2700 * time.Millisecond, 3 * seconds}}}, 4 * seconds, 20, 0.99, 0.95},
		{"slow for 2 s", backend{slowdown: between(seconds, 3*seconds, 10, 1)}, 4 * seconds, 20, 0.99, 0.5},
		{"cold for 1 s", backend{slowdown: between(0, seconds, 10, 1)}, 2 * seconds, 20, 0.99, 0.5},
		{"slow for good", backend{slowdown: between(2*seconds, 60*seconds, 10, 1)}, 5 * seconds, 25, 0, 0},
	}
	for _, test := range tests {
		for seed := uint64(1); seed <= 3; seed++ {
			t.Run(fmt.Sprint(test.name, " ", seed), func(t *testing.T) {
				pay, browse := paying(constant(0.2*capacity)), browsing(constant(0.3*capacity))
				s := simulate(t, seed, admission.Config{Slots: slots}, test.backend, 8*seconds, pay, browse)
				from := test.from.Truncate(100 * time.Millisecond)
				first := s.sum(pay, from-seconds, from-seconds/2)
				require.GreaterOrEqual(t, float64(first.good), test.firstGood*float64(first.offered), "important class at first")
				p, b := s.sum(pay, from, 7*seconds), s.sum(browse, from, 7*seconds)
				require.GreaterOrEqual(t, float64(p.good+b.good), test.good*float64(p.offered+b.offered))
				if test.good == 0 {
					require.GreaterOrEqual(t, float64(p.good), 0.8*capacity/10*(7*seconds-from).Seconds(), "goodput")
				}
				settled := slices.Clone(s.limits[from/admission.TickInterval:])
				slices.Sort(settled)
				require.GreaterOrEqual(t, settled[len(settled)/10], test.minimum)
			})
		}
	}
}

// Guards against stragglers that delay short calls.
// Mutation: grow without the doubling.
func TestStragglersDoNotDelayShortCalls(t *testing.T) {
	browse := browsing(constant(0.3 * capacity))
	browse.stragglerShare, browse.timeout = 0.02, 10*seconds
	s := simulate(t, 1, admission.Config{Slots: slots}, backend{}, 9*seconds, browse)
	waits := s.waits[browse][capacity:]
	slices.Sort(waits)
	require.LessOrEqual(t, waits[len(waits)*99/100], mean/2)
}

// Guards against stragglers that lower the limit.
// Mutation: latencyTolerance = 1. (The slowest call instead of the median is not enough: the trial in shrink restores the
// limit.)
func TestStragglersDoNotLowerTheLimit(t *testing.T) {
	browse := browsing(constant(capacity))
	browse.stragglerShare, browse.timeout = 0.02, 10*seconds
	s := simulate(t, 1, admission.Config{Slots: slots}, backend{}, 9*seconds, browse)
	settled := slices.Clone(s.limits[200:])
	slices.Sort(settled)
	require.GreaterOrEqual(t, settled[len(settled)/10], slots*3/4)
}

// Guards against the stragglers of one operation occupying every slot while calls of another operation wait.
// Mutation: with a bulkhead that permits every call, the short calls wait for a straggler to finish.
func TestStragglersOfOneOperationLeaveSlots(t *testing.T) {
	long := browsing(constant(225))
	long.op, long.stragglerShare, long.timeout = "report", 0.2, 30*seconds
	short := browsing(constant(20))
	short.timeout = 30 * seconds
	s := simulate(t, 1, admission.Config{Slots: slots}, backend{}, 10*seconds, long, short)
	waits := s.waits[short]
	slices.Sort(waits)
	require.LessOrEqual(t, waits[len(waits)*95/100], mean)
}

// Guards against a change of the baselines: "none" starts every call at once, and the limit of "fixed" is the slots.
// Mutation: any other limit in either of the two.
func TestBaselines(t *testing.T) {
	browse := browsing(constant(3 * capacity))
	s := simulate(t, 1, admission.Config{Slots: slots, Limiter: "none"}, backend{width: slots}, seconds, browse)
	require.Equal(t, s.sum(browse, 0, seconds).offered, len(s.waits[browse]))
	require.Equal(t, call.LeastImportant, s.c.Level())

	s = simulate(t, 1, admission.Config{Slots: slots, Limiter: "fixed"}, backend{width: 10}, 2*seconds, browse)
	require.Equal(t, slots, slices.Min(s.limits))
	require.Equal(t, slots, slices.Max(s.limits))

	_, err := admission.New(admission.Config{Slots: slots, Limiter: "lerned"})
	require.ErrorContains(t, err, "use one of fixed, learned, none")
}
