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
	slow  func(at time.Duration) float64
	stall [2]time.Duration
	// refuses answers at once that nothing runs.
	refuses bool
	free    []time.Duration
}

type ending struct {
	at  time.Duration
	run func()
}

type agenda []ending

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at < a[j].at }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(ending)) }
func (a *agenda) Pop() any {
	old := *a
	e := old[len(old)-1]
	*a = old[:len(old)-1]
	return e
}

// simulation sends a Poisson stream of calls of 10 ms through one chooser.
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
	var events agenda
	token := uint64(0)
	for now := time.Duration(0); now < length; now += time.Duration(r.ExpFloat64() / rate * 1e9) {
		for len(events) > 0 && events[0].at <= now {
			heap.Pop(&events).(ending).run()
		}
		choice, ok := c.Choose(epoch.Add(now), balance.Query{}).(balance.Chosen)
		if !ok {
			s.none++
			continue
		}
		token++
		id, mine, sent := choice.ID, token, now
		c.Started(epoch.Add(now), id, mine)
		s.chosen[id] = append(s.chosen[id], now)
		end := servers[id].serve(now, r, straggle)
		heap.Push(&events, ending{end, func() {
			res := balance.Result{Latency: end - sent, Outcome: call.OutcomeRan, Answered: true, Level: call.LeastImportant}
			if servers[id].refuses {
				s.refused++
				res.Outcome, res.Reason = call.OutcomeNotRun, call.ReasonQueueFull
			} else {
				s.latencies = append(s.latencies, end-sent)
			}
			c.Finished(epoch.Add(end), id, mine, res)
		}})
	}
	return s
}

func (s *server) serve(now time.Duration, r *rand.Rand, straggle float64) time.Duration {
	if s.refuses {
		return now + 100*time.Microsecond
	}
	took := float64(5*time.Millisecond) * (1 + r.ExpFloat64())
	if r.Float64() < straggle {
		took = float64(500 * time.Millisecond)
	}
	if s.slow != nil {
		took *= s.slow(now)
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

// between returns how many calls a server got from one time to another.
func (s *simulation) between(id string, from, to time.Duration) int {
	n := 0
	for _, at := range s.chosen[id] {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

func six() map[string]*server {
	servers := map[string]*server{}
	for i := range 6 {
		servers[fmt.Sprint("s", i)] = &server{}
	}
	return servers
}

func always(factor float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return factor }
}

func from(at time.Duration, factor float64) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		if now >= at {
			return factor
		}
		return 1
	}
}
