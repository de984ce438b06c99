package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lovagelane/balance"
	"lovagelane/call"
	"lovagelane/kernel"
)

var (
	good = balance.Result{Latency: 10 * time.Millisecond, Outcome: call.OutcomeRan, Answered: true, Level: call.LeastImportant}
	// level admits important and refuses bulk.
	important = call.Priority{Rank: 1}
	level     = call.Priority{Rank: 4, Value: 64}
	bulk      = call.Priority{Rank: 6}
)

// driver calls a chooser and advances a simulated clock.
type driver struct {
	t     require.TestingT
	c     *balance.Chooser
	now   time.Time
	token uint64
}

func newDriver(t require.TestingT, candidates ...balance.Candidate) *driver {
	return &driver{t: t, c: newChooser(t, "", candidates...), now: epoch}
}

func (d *driver) send(id string, res balance.Result) {
	d.token++
	d.c.Started(d.now, id, d.token)
	d.now = d.now.Add(res.Latency)
	d.c.Finished(d.now, id, d.token, res)
}

// warmUp ends slow start and records enough latencies for a p95.
func (d *driver) warmUp(ids ...string) {
	for range 100 {
		for _, id := range ids {
			d.send(id, good)
		}
	}
}

// count returns how often each candidate is chosen by n queries that are not sent.
func (d *driver) count(n int, q balance.Query) map[string]int {
	got := map[string]int{}
	for range n {
		switch choice := d.c.Choose(d.now, q).(type) {
		case balance.Chosen:
			got[choice.ID]++
		case balance.None:
			got[string(choice.Reason)]++
		}
	}
	return got
}

// Guards against calls that leave the availability zone or the region while a nearer backend server accepts them.
// Mutation: the tier of other regions is 1.
func TestNearestTierFirst(t *testing.T) {
	near, region, far := candidate("near", "rn", "rn-1"), candidate("region", "rn", "rn-2"), candidate("far", "ce", "ce-1")
	d := newDriver(t, near, region, far)
	d.warmUp("near", "region", "far")
	require.Equal(t, map[string]int{"near": 50}, d.count(50, balance.Query{}))
	require.Equal(t, map[string]int{"region": 50}, d.count(50, balance.Query{Exclude: kernel.SetOf("near")}))
	choice := d.c.Choose(d.now, balance.Query{Exclude: kernel.SetOf("near", "region")})
	require.Equal(t, balance.Chosen{ID: "far", CrossRegion: true}, choice)
	choice = d.c.Choose(d.now, balance.Query{Exclude: kernel.SetOf("near", "region", "far")})
	require.Equal(t, balance.None{Reason: call.ReasonNoBackendServer}, choice)

	shed := good
	shed.Level = level
	d.send("near", shed)
	d.send("region", shed)
	require.Equal(t, map[string]int{"far": 50}, d.count(50, balance.Query{Priority: bulk}))
	require.Equal(t, map[string]int{"near": 50}, d.count(50, balance.Query{Priority: important}))
}

// Guards against a suspected backend server that is never chosen, and against one that is preferred to others.
// Mutation: Update without the check of Suspected.
func TestSuspectedCandidatesAreALastResort(t *testing.T) {
	suspected := candidate("a", "rn", "rn-1")
	suspected.Suspected = true
	d := newDriver(t, suspected, candidate("b", "ce", "ce-1"))
	require.Equal(t, map[string]int{"b": 50}, d.count(50, balance.Query{}))
	require.Equal(t, map[string]int{"a": 50}, d.count(50, balance.Query{Exclude: kernel.SetOf("b")}))
}

// Guards against an admission level that is ignored, never expires, or is applied to calls that it admits.
// Mutation: refuses always false, or without the age.
func TestAdmissionLevelExcludesCandidate(t *testing.T) {
	d := newDriver(t, candidate("a", "rn", "rn-1"))
	d.warmUp("a")
	refusal := balance.Result{Latency: time.Millisecond, Outcome: call.OutcomeNotRun, Reason: call.ReasonShed, Answered: true, Level: level}
	d.send("a", refusal)
	require.Equal(t, balance.None{Reason: call.ReasonShed, Level: level}, d.c.Choose(d.now, balance.Query{Priority: bulk}))
	require.Equal(t, balance.Chosen{ID: "a"}, d.c.Choose(d.now, balance.Query{Priority: important}))
	d.now = d.now.Add(time.Second)
	require.Equal(t, balance.Chosen{ID: "a"}, d.c.Choose(d.now, balance.Query{Priority: bulk}))
}

// Guards against a dead backend server that still receives calls, is never probed, or stays ejected after it has recovered.
// Mutation: finish without the case of DialFailed; startProbe without the doubling.
func TestDialFailureEjectsAndProbes(t *testing.T) {
	d := newDriver(t, candidate("a", "rn", "rn-1"), candidate("b", "rn", "rn-1"))
	d.warmUp("a", "b")
	failed := balance.Result{DialFailed: true, Outcome: call.OutcomeNotRun}
	d.send("a", failed)
	require.Equal(t, map[string]int{"b": 50}, d.count(50, balance.Query{}))
	var probes []time.Duration
	began := d.now
	for d.now.Sub(began) < 20*time.Second {
		d.now = d.now.Add(10 * time.Millisecond)
		if choice := d.c.Choose(d.now, balance.Query{}).(balance.Chosen); choice.ID == "a" {
			require.True(t, choice.Probe)
			probes = append(probes, d.now.Sub(began).Round(100*time.Millisecond))
			d.send("a", failed)
		}
	}
	require.Equal(t, []time.Duration{
		100 * time.Millisecond, 300 * time.Millisecond, 700 * time.Millisecond, 1500 * time.Millisecond, 3100 * time.Millisecond,
		6300 * time.Millisecond, 11300 * time.Millisecond, 16300 * time.Millisecond,
	}, probes)
	d.now = d.now.Add(5 * time.Second)
	require.Equal(t, balance.Chosen{ID: "a", Probe: true}, d.c.Choose(d.now, balance.Query{Exclude: kernel.SetOf("b")}))
	d.send("a", good)
	require.Greater(t, d.count(100, balance.Query{})["a"], 10)
}

// Guards against a stalled backend server that is detected only when its calls end, and against a straggler that causes
// ejection of a backend server whose other calls are answered.
// Mutation: available without oldestUnovertaken; finish without p.oldestUnovertaken = f.
func TestStallEjectsButStragglerDoesNot(t *testing.T) {
	d := newDriver(t, candidate("a", "rn", "rn-1"), candidate("b", "rn", "rn-1"))
	d.warmUp("a", "b")
	d.c.Started(d.now, "a", 1<<32)
	d.now = d.now.Add(100 * time.Millisecond)
	require.Equal(t, map[string]int{"b": 50}, d.count(50, balance.Query{}))
	d.now = d.now.Add(100 * time.Millisecond)
	require.Equal(t, balance.Chosen{ID: "a", Probe: true}, d.c.Choose(d.now, balance.Query{Exclude: kernel.SetOf("b")}))

	d = newDriver(t, candidate("a", "rn", "rn-1"), candidate("b", "rn", "rn-1"))
	d.warmUp("a", "b")
	d.c.Started(d.now, "a", 1<<32)
	for range 20 {
		d.send("a", good)
		d.send("b", good)
	}
	// Three calls in flight give b a higher score than a with its straggler.
	for token := range uint64(3) {
		d.c.Started(d.now, "b", 1<<33+token)
	}
	require.Equal(t, map[string]int{"a": 50}, d.count(50, balance.Query{}))
}

// Guards against a new candidate that is flooded before it has answered, and against slow start that never ends.
// Mutation: atCap always false; growCap without the doubling.
func TestSlowStart(t *testing.T) {
	d := newDriver(t, candidate("old", "rn", "rn-1"))
	d.warmUp("old")
	d.c.Update(d.now, []balance.Candidate{candidate("old", "rn", "rn-1"), candidate("new", "rn", "rn-1")})
	inFlight := func() int {
		n := 0
		for range 100 {
			choice := d.c.Choose(d.now, balance.Query{}).(balance.Chosen)
			d.token++
			d.c.Started(d.now, choice.ID, d.token)
			if choice.ID == "new" {
				n++
				defer d.c.Finished(d.now.Add(good.Latency), "new", d.token, good)
			} else {
				defer d.c.Finished(d.now.Add(good.Latency), "old", d.token, good)
			}
		}
		return n
	}
	require.Equal(t, []int{2, 4, 8, 16, 32}, []int{inFlight(), inFlight(), inFlight(), inFlight(), inFlight()})
	require.Greater(t, inFlight(), 40)
}

// Guards against a load report that is ignored, and against one that lowers the score of a slow backend server.
// Mutation: score without the load; score divided by the load factor.
func TestLoadReports(t *testing.T) {
	d := newDriver(t, candidate("a", "rn", "rn-1"), candidate("b", "rn", "rn-1"))
	d.warmUp("a", "b")
	busy := good
	busy.Load = call.Load{InFlight: 35, Limit: 35, Queued: 70}
	d.send("a", busy)
	d.send("b", good)
	require.Equal(t, map[string]int{"b": 50}, d.count(50, balance.Query{}))

	idle, slow := good, good
	idle.Load, slow.Load = call.Load{Limit: 35, InFlight: 17}, call.Load{Limit: 35}
	slow.Latency = 35 * time.Millisecond
	d.send("a", slow)
	d.send("b", idle)
	require.Equal(t, map[string]int{"b": 50}, d.count(50, balance.Query{}))
}

// Guards against None while a candidate is left that neither refuses the priority nor is excluded, and against the choice of
// a candidate that does or is.
// Mutation: lastResort returning None when the best one is ejected.
func TestNoneOnlyWhenAllCandidatesAreExcludedOrRefuse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var candidates []balance.Candidate
		for i := range rapid.IntRange(1, 8).Draw(t, "candidates") {
			zone := rapid.IntRange(1, 3).Draw(t, "zone")
			c := candidate(fmt.Sprint("s", i), []string{"", "rn", "rn", "ce"}[zone], fmt.Sprint("rn-", zone))
			c.Suspected = rapid.Bool().Draw(t, "suspected")
			candidates = append(candidates, c)
		}
		d := newDriver(t, candidates...)
		refusing := map[string]time.Time{}
		inFlight := map[uint64]string{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			d.now = d.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			q := balance.Query{Priority: important}
			if rapid.Bool().Draw(t, "bulk") {
				q.Priority = bulk
			}
			eligible := 0
			for _, c := range candidates {
				switch at, ok := refusing[c.ID]; {
				case rapid.IntRange(0, 4).Draw(t, "exclude") == 0:
					q.Exclude = q.Exclude.With(c.ID)
				case !ok || q.Priority == important || d.now.Sub(at) >= time.Second:
					eligible++
				}
			}
			choice, ok := d.c.Choose(d.now, q).(balance.Chosen)
			require.Equal(t, eligible > 0, ok)
			if ok {
				require.False(t, q.Exclude.Has(choice.ID))
				at, refuses := refusing[choice.ID]
				require.False(t, refuses && q.Priority == bulk && d.now.Sub(at) < time.Second)
				d.token++
				d.c.Started(d.now, choice.ID, d.token)
				inFlight[d.token] = choice.ID
			}
			for token, id := range inFlight {
				if token%3 != d.token%3 {
					continue
				}
				delete(inFlight, token)
				res := balance.Result{Latency: time.Duration(token%300) * time.Millisecond, Level: call.LeastImportant}
				switch token % 5 {
				case 0:
					res.DialFailed = true
				case 1:
					res.Reason = call.ReasonBackendFailed
				case 2:
					res.Answered, res.Reason, res.Outcome, res.Level = true, call.ReasonShed, call.OutcomeNotRun, level
					refusing[id] = d.now
				default:
					res.Answered, res.Outcome = true, call.OutcomeRan
					delete(refusing, id)
				}
				d.c.Finished(d.now, id, token, res)
			}
		}
	})
}

// Guards against one slowed backend server that raises the tail latency of all calls, or that is never tried again.
// Mutation: score without the latency and available always true.
func TestOneSlowBackendServer(t *testing.T) {
	for _, rate := range []float64{100, 1000, 5000} {
		for _, straggle := range []float64{0, 0.004} {
			baseline := simulate(t, "least-loaded", rate, straggle, 20*time.Second, sixServers()).p99()
			for name, slow := range map[string]func(time.Duration) float64{"from the start": fixed(10), "later": step(5*time.Second, 10)} {
				servers := sixServers()
				servers["s0"].slowdown = slow
				s := simulate(t, "least-loaded", rate, straggle, 20*time.Second, servers)
				require.LessOrEqual(t, s.p99(), baseline*3/2, "%v calls a second, slow %s", rate, name)
				require.Positive(t, s.callsBetween("s0", 10*time.Second, 20*time.Second))
			}
		}
	}
}

// Guards against a stalled backend server that receives more than a few calls, or that receives none after the stall.
// Mutation: available always true.
func TestOneStalledBackendServer(t *testing.T) {
	servers := sixServers()
	servers["s0"].stall = [2]time.Duration{5 * time.Second, 7 * time.Second}
	s := simulate(t, "least-loaded", 1000, 0, 20*time.Second, servers)
	require.LessOrEqual(t, s.callsBetween("s0", 5*time.Second, 7*time.Second), 20)
	require.Greater(t, s.callsBetween("s0", 9*time.Second, 10*time.Second), 100)
	require.Zero(t, s.none)
}

// Guards against a backend server that refuses at once and attracts calls because it looks idle and fast.
// Mutation: finish without the ejection by refusals.
func TestFastRefusalsDoNotAttractCalls(t *testing.T) {
	for _, rate := range []float64{100, 5000} {
		servers := sixServers()
		servers["s0"].refuseAll = true
		s := simulate(t, "least-loaded", rate, 0.02, 20*time.Second, servers)
		require.LessOrEqual(t, s.refused, 50, "%v calls a second", rate)
	}
}

// Guards against a hedge delay that follows stragglers or is returned before enough latencies are recorded.
// Mutation: minLatencies = 1.
func TestHedgeDelay(t *testing.T) {
	d := newDriver(t, candidate("a", "rn", "rn-1"))
	slow, failed := good, balance.Result{Latency: time.Hour}
	slow.Latency = time.Second
	for i := range 300 {
		if i == 10 {
			require.Zero(t, d.c.HedgeDelay())
		}
		d.send("a", good)
		if i%40 == 0 {
			d.send("a", slow)
		}
		d.send("a", failed)
	}
	require.Equal(t, good.Latency, d.c.HedgeDelay())
}

// Guards against an uneven distribution by the round robin policy, and against an unknown policy that is accepted.
// Mutation: next always 0.
func TestRoundRobin(t *testing.T) {
	c := newChooser(t, "round-robin", candidate("a", "rn", "rn-1"), candidate("b", "rn", "rn-2"), candidate("c", "ce", "ce-1"))
	d := &driver{t: t, c: c, now: epoch}
	require.Equal(t, map[string]int{"a": 10, "b": 10, "c": 10}, d.count(30, balance.Query{}))
	require.Equal(t, map[string]int{"a": 15, "c": 15}, d.count(30, balance.Query{Exclude: kernel.SetOf("b")}))
	_, err := balance.New(balance.Config{Policy: "fastest"}, kernel.NewRand(1))
	require.ErrorContains(t, err, "use one of least-loaded, round-robin")
}

// Guards against an Update that discards the observations of a remaining candidate or keeps a removed one.
// Mutation: Update with newPeer for every candidate.
func TestUpdateKeepsObservations(t *testing.T) {
	a, b := candidate("a", "rn", "rn-1"), candidate("b", "rn", "rn-1")
	d := newDriver(t, a, b)
	d.warmUp("a", "b")
	d.send("a", balance.Result{DialFailed: true})
	d.c.Update(d.now, []balance.Candidate{a, b})
	require.Equal(t, map[string]int{"b": 50}, d.count(50, balance.Query{}))
	d.c.Update(d.now, []balance.Candidate{a})
	require.Equal(t, map[string]int{"a": 50}, d.count(50, balance.Query{}))
	d.send("b", good)
}

func BenchmarkChooseStartedFinished(b *testing.B) {
	for _, n := range []int{6, 100} {
		b.Run(fmt.Sprint("candidates=", n), func(b *testing.B) {
			var candidates []balance.Candidate
			for i := range n {
				candidates = append(candidates, candidate(fmt.Sprint("s", i), "rn", "rn-1"))
			}
			c := newChooser(b, "", candidates...)
			now := epoch
			token := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				token++
				now = now.Add(100 * time.Microsecond)
				id := c.Choose(now, balance.Query{Priority: important}).(balance.Chosen).ID
				c.Started(now, id, token)
				c.Finished(now.Add(good.Latency), id, token, good)
			}
		})
	}
}
