package retry_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lovagelane/kernel"
	"lovagelane/retry"
)

// Guards against nodes that together send more repeats in some window than the deployment allows.
func TestWindowBudgetsStayWithinTheSharedBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, fixed = 0.2, 50.0
		const length = 10 * time.Second
		nodes := make([]retry.WindowBudgets, rapid.IntRange(1, 8).Draw(t, "nodes"))
		for i := range nodes {
			nodes[i] = retry.WindowBudgets{Ratio: ratio, Fixed: fixed, Length: length}
		}
		start := time.Unix(1000, 0)
		var requests, repeats []time.Time
		now := start
		for range 400 {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			n := &nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "node")]
			n.CountRequest(now, "maps")
			requests = append(requests, now)
			if n.Withdraw(now, "maps", 1, len(nodes)) {
				repeats = append(repeats, now)
			}
		}
		for i, from := range repeats {
			inWindow, requestCount := 0, 0
			for _, at := range repeats[i:] {
				if at.Sub(from) < length {
					inWindow++
				}
			}
			for _, at := range requests {
				if d := at.Sub(from); d >= -length && d < length {
					requestCount++
				}
			}
			require.LessOrEqual(t, float64(inWindow), ratio*float64(requestCount)+fixed)
		}
	})
}

// Guards against a repeat that causes many downstream calls and is counted as one.
func TestWindowBudgetsCountTheCostOfARepeat(t *testing.T) {
	w := retry.WindowBudgets{Ratio: 0.2, Fixed: 20, Length: 10 * time.Second}
	now := time.Unix(1000, 0)
	require.True(t, w.Withdraw(now, "maps", 18, 1))
	require.False(t, w.Withdraw(now, "maps", 1, 1))
	require.True(t, w.Withdraw(now.Add(11*time.Second), "maps", 18, 1))
	require.False(t, (&retry.WindowBudgets{}).Withdraw(now, "maps", 1, 1))
}

// Guards against an allowance of which nodes use less than nine tenths, or more than all, when many requests are rejected.
// Mutation: usableShare of 0.5.
func TestWindowBudgetsUseNineTenths(t *testing.T) {
	const ratio, fixed, length = 0.2, 50.0, 10 * time.Second
	w := retry.WindowBudgets{Ratio: ratio, Fixed: fixed, Length: length}
	now, repeats := time.Unix(1000, 0), 0
	for i := range 6000 {
		now = now.Add(10 * time.Millisecond)
		w.CountRequest(now, "maps")
		if w.Withdraw(now, "maps", 1, 1) && i >= 3000 {
			repeats++
		}
	}
	allowed := 3 * (ratio*1000 + fixed)
	require.Greater(t, float64(repeats), 0.9*allowed*0.9) // Windows and buckets end at different times.
	require.LessOrEqual(t, float64(repeats), allowed)
}

// chain is a deployment in which each run of a service calls the next one, and nodes beside the backend servers of each service.
type chain struct {
	t       *rapid.T
	nodes   [][]*retry.WindowBudgets
	count   int
	reject  []float64
	now     time.Time
	rand    *kernel.Rand
	repeats [][]time.Time
	sent    [][]time.Time
}

// request sends a request for a service from a node, with its calls further down. The truth is whether a repeated run sent it.
func (c *chain) request(node *retry.WindowBudgets, service int, nested, truth bool) {
	name := string(rune('a' + service))
	estimate := 0.0
	if nested {
		estimate = node.CountCall(c.now, name)
	} else {
		node.CountRequest(c.now, name)
	}
	c.sent[service] = append(c.sent[service], c.now)
	if truth {
		c.repeats[service] = append(c.repeats[service], c.now)
	}
	for attempt := 0; attempt < 3; attempt++ {
		if attempt > 0 {
			if !node.Withdraw(c.now, name, 1, c.count) {
				return
			}
			if !truth {
				c.repeats[service] = append(c.repeats[service], c.now)
			}
			estimate = 1
		}
		target := c.nodes[service][c.rand.IntN(len(c.nodes[service]))]
		target.CountRun(c.now, estimate)
		if service+1 < len(c.nodes) {
			c.request(target, service+1, true, truth || attempt > 0)
		}
		if c.rand.Float64() >= c.reject[service] {
			return
		}
	}
}

// Guards against calls of repeated runs that nobody counts, so that services further down get more repeats than are allowed.
// Mutation: CountCall returns 0 and counts no repeat.
func TestCallsOfRepeatedRunsCountAsRepeats(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, fixed, length = 0.2, 30.0, 10 * time.Second
		c := &chain{t: t, now: time.Unix(1000, 0), rand: kernel.NewRand(rapid.Uint64().Draw(t, "seed"))}
		services := rapid.IntRange(2, 4).Draw(t, "services")
		for range services {
			var nodes []*retry.WindowBudgets
			for range rapid.IntRange(1, 4).Draw(t, "nodes") {
				nodes = append(nodes, &retry.WindowBudgets{Ratio: ratio, Fixed: fixed, Length: length})
			}
			c.nodes, c.count = append(c.nodes, nodes), c.count+len(nodes)
			c.reject = append(c.reject, rapid.Float64Range(0, 0.9).Draw(t, "reject"))
		}
		c.repeats, c.sent = make([][]time.Time, services), make([][]time.Time, services)
		gap := time.Duration(rapid.IntRange(5, 100).Draw(t, "gap")) * time.Millisecond
		for range 1500 {
			c.now = c.now.Add(gap)
			entry := c.nodes[c.rand.IntN(services)]
			c.request(entry[c.rand.IntN(len(entry))], 0, false, false)
		}
		for service := range c.repeats {
			for i, from := range c.repeats[service] {
				require.LessOrEqual(t, float64(inWindow(c.repeats[service][i:], from, length)),
					ratio*float64(max(inWindow(c.sent[service], from, length), inWindow(c.sent[service], from.Add(-length/2), length),
						inWindow(c.sent[service], from.Add(-length), length)))+fixed, "service %d", service)
			}
		}
	})
}

func inWindow(times []time.Time, from time.Time, length time.Duration) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	last, _ := slices.BinarySearchFunc(times, from.Add(length), time.Time.Compare)
	return last - first
}
