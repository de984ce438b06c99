package balance_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagelane/balance"
	"lovagelane/call"
	"lovagelane/kernel"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var home = balance.Place{Region: "rn", AvailabilityZone: "rn-1"}

func candidate(id, region, zone string) balance.Candidate {
	return balance.Candidate{ID: id, Place: balance.Place{Region: region, AvailabilityZone: zone}, Slots: 35}
}

func newChooser(t require.TestingT, policy string, candidates ...balance.Candidate) *balance.Chooser {
	c, err := balance.New(balance.Config{Policy: policy, Home: home}, kernel.NewRand(1))
	require.NoError(t, err)
	c.Update(epoch, candidates)
	return c
}

// server is a simulated backend server with slots and a queue.
type server struct {
	// slowdown is the factor by which a call that starts at a given time takes longer.
	slowdown func(at time.Duration) float64
	stall    [2]time.Duration
	// refuseAll makes the server refuse every call at once.
	refuseAll bool
	free      []time.Duration
}

type event struct {
	at       time.Duration
	callback func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// simulation holds the results of a Poisson stream of calls of 10 ms sent through one chooser.
type simulation struct {
	chosen    map[string][]time.Duration
	latencies []time.Duration
	refused   int
	none      int
}

func simulate(t testing.TB, policy string, rate, straggle float64, length time.Duration, servers map[string]*server) *simulation {
	ids := make([]string, 0, len(servers))
	var candidates []balance.Candidate
	for id := range servers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		servers[id].free = make([]time.Duration, 35)
		candidates = append(candidates, candidate(id, "rn", "rn-1"))
	}
	c := newChooser(t, policy, candidates...)
	r := rand.New(rand.NewPCG(1, 2))
	s := &simulation{chosen: map[string][]time.Duration{}}
	var events eventQueue
	token := uint64(0)
	for now := time.Duration(0); now < length; now += time.Duration(r.ExpFloat64() / rate * 1e9) {
		for len(events) > 0 && events[0].at <= now {
			heap.Pop(&events).(event).callback()
		}
		choice, ok := c.Choose(epoch.Add(now), balance.Query{}).(balance.Chosen)
		if !ok {
			s.none++
			continue
		}
		token++
		id, callToken, sent := choice.ID, token, now
		c.Started(epoch.Add(now), id, callToken)
		s.chosen[id] = append(s.chosen[id], now)
		end := servers[id].serve(now, r, straggle)
		heap.Push(&events, event{end, func() {
			res := balance.Result{Latency: end - sent, Outcome: call.OutcomeRan, Answered: true, Level: call.LeastImportant}
			if servers[id].refuseAll {
				s.refused++
				res.Outcome, res.Reason = call.OutcomeNotRun, call.ReasonQueueFull
			} else {
				s.latencies = append(s.latencies, end-sent)
			}
			c.Finished(epoch.Add(end), id, callToken, res)
		}})
	}
	return s
}

func (s *server) serve(now time.Duration, r *rand.Rand, straggle float64) time.Duration {
	if s.refuseAll {
		return now + 100*time.Microsecond
	}
	took := float64(5*time.Millisecond) * (1 + r.ExpFloat64())
	if r.Float64() < straggle {
		took = float64(500 * time.Millisecond)
	}
	if s.slowdown != nil {
		took *= s.slowdown(now)
	}
	i := 0
	for j := range s.free {
		if s.free[j] < s.free[i] {
			i = j
		}
	}
	began := max(now, s.free[i])
	end := began + time.Duration(took)
	if began < s.stall[1] && end > s.stall[0] {
		end += s.stall[1] - max(began, s.stall[0])
	}
	s.free[i] = end
	return end
}

func (s *simulation) p99() time.Duration {
	sorted := slices.Clone(s.latencies)
	slices.Sort(sorted)
	return sorted[len(sorted)*99/100]
}

// callsBetween returns how many calls were sent to a server in a time range.
func (s *simulation) callsBetween(id string, from, to time.Duration) int {
	n := 0
	for _, at := range s.chosen[id] {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

func sixServers() map[string]*server {
	servers := map[string]*server{}
	for i := range 6 {
		servers[fmt.Sprint("s", i)] = &server{}
	}
	return servers
}

func fixed(factor float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return factor }
}

func step(at time.Duration, factor float64) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		if now >= at {
			return factor
		}
		return 1
	}
}
