package admission_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagelane/admission"
	"lovagelane/call"
)

// stream is a Poisson stream of calls.
type stream struct {
	op     string
	caller string
	rank   uint8
	rate   func(at time.Duration) float64
	mean   time.Duration
	// straggle is the part of calls that takes 50 times as long.
	straggle float64
	// patience is the time from arrival to deadline.
	patience time.Duration
}

// backend is a simulated backend server: its calls slow each other down beyond width, and everything waits for stalls.
type backend struct {
	width  float64
	slow   func(at time.Duration) float64
	stalls [][2]time.Duration
}

type moment struct {
	at  time.Duration
	run func()
}

type agenda []moment

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at < a[j].at }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(moment)) }
func (a *agenda) Pop() any {
	old := *a
	m := old[len(old)-1]
	*a = old[:len(old)-1]
	return m
}

type job struct {
	stream  *stream
	arrived time.Duration
	item    admission.Item
	started bool
}

// result counts the calls of one stream that arrived in one 100 ms slice.
type result struct{ offered, good, shed, dropped int }

// simulation drives one controller and checks on the way that each call is settled exactly once and that a start never
// exceeds the limit.
type simulation struct {
	t       testing.TB
	c       *admission.Controller
	rand    *rand.Rand
	backend backend
	streams []*stream
	now     time.Duration
	agenda  agenda
	queued  map[uint64]*job
	running map[uint64]*job
	id      uint64
	results map[*stream][]result
	waits   map[*stream][]time.Duration
	limits  []int
	levels  []call.Priority
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func simulate(t testing.TB, seed uint64, cfg admission.Config, b backend, length time.Duration, streams ...*stream) *simulation {
	c, err := admission.New(cfg)
	require.NoError(t, err)
	s := &simulation{
		t: t, c: c, backend: b, streams: streams, rand: rand.New(rand.NewPCG(seed, 1)),
		queued: map[uint64]*job{}, running: map[uint64]*job{},
		results: map[*stream][]result{}, waits: map[*stream][]time.Duration{},
	}
	for _, st := range streams {
		s.results[st] = make([]result, int(length/(100*time.Millisecond))+1)
		s.schedule(0, func() { s.next(st) })
	}
	s.schedule(0, s.tick)
	for len(s.agenda) > 0 && s.agenda[0].at < length {
		m := heap.Pop(&s.agenda).(moment)
		s.now = m.at
		m.run()
	}
	return s
}

func (s *simulation) schedule(at time.Duration, run func()) { heap.Push(&s.agenda, moment{at, run}) }

func (s *simulation) time() time.Time { return epoch.Add(s.now) }

func (s *simulation) tick() {
	s.settle(s.c.Tick(s.time()))
	s.limits = append(s.limits, int(s.c.Load().Limit))
	s.levels = append(s.levels, s.c.Level())
	s.schedule(s.now+admission.TickInterval, s.tick)
}

// next lets a call of the stream arrive and plans the one after it.
func (s *simulation) next(st *stream) {
	rate := st.rate(s.now)
	if rate <= 0 {
		s.schedule(s.now+time.Millisecond, func() { s.next(st) })
		return
	}
	s.arrive(st)
	s.schedule(s.now+time.Duration(s.rand.ExpFloat64()/rate*1e9), func() { s.next(st) })
}

func (s *simulation) arrive(st *stream) {
	s.id++
	j := &job{stream: st, arrived: s.now, item: admission.Item{
		ID: s.id, Priority: call.Priority{Rank: st.rank, Value: uint8(s.rand.IntN(128))}, Operation: st.op,
		Caller: st.caller, Deadline: s.time().Add(st.patience),
	}}
	s.slice(j).offered++
	switch v := s.c.Arrive(s.time(), j.item).(type) {
	case admission.Start:
		s.start(j)
	case admission.Wait:
		s.queued[j.item.ID] = j
	case admission.Refuse:
		s.refused(j, v.Reason)
	}
}

func (s *simulation) slice(j *job) *result {
	return &s.results[j.stream][j.arrived/(100*time.Millisecond)]
}

func (s *simulation) refused(j *job, reason call.Reason) {
	if reason == call.ReasonShed {
		s.slice(j).shed++
	} else {
		s.slice(j).dropped++
	}
}

func (s *simulation) start(j *job) {
	require.False(s.t, j.started, "started twice")
	j.started = true
	s.running[j.item.ID] = j
	load := s.c.Load()
	require.LessOrEqual(s.t, load.InFlight, load.Limit, "started beyond the limit")
	s.waits[j.stream] = append(s.waits[j.stream], s.now-j.arrived)
	took := float64(j.stream.mean) * (0.5 + s.rand.ExpFloat64()/2)
	if s.rand.Float64() < j.stream.straggle {
		took = float64(j.stream.mean) * 50
	}
	if s.backend.width > 0 {
		took *= math.Max(1, float64(len(s.running))/s.backend.width)
	}
	if s.backend.slow != nil {
		took *= s.backend.slow(s.now)
	}
	began := s.now
	end := s.now + time.Duration(took)
	for _, stall := range s.backend.stalls {
		if began < stall[1] && end > stall[0] {
			end += stall[1] - max(stall[0], began)
		}
	}
	s.schedule(end, func() {
		delete(s.running, j.item.ID)
		if !s.time().After(j.item.Deadline) {
			s.slice(j).good++
		}
		s.settle(s.c.Finish(s.time(), j.item.ID, admission.Sample{Latency: s.now - began}))
	})
}

func (s *simulation) settle(events []admission.Event) {
	for _, event := range events {
		switch e := event.(type) {
		case admission.Started:
			j := s.take(e.ID)
			s.start(j)
		case admission.Dropped:
			s.refused(s.take(e.ID), e.Reason)
		}
	}
}

func (s *simulation) take(id uint64) *job {
	j := s.queued[id]
	require.NotNil(s.t, j, "call %d settled twice or never queued", id)
	delete(s.queued, id)
	return j
}

// sum returns the counts of a stream between two times.
func (s *simulation) sum(st *stream, from, to time.Duration) result {
	var sum result
	for _, r := range s.results[st][from/(100*time.Millisecond) : to/(100*time.Millisecond)] {
		sum.offered += r.offered
		sum.good += r.good
		sum.shed += r.shed
		sum.dropped += r.dropped
	}
	return sum
}

func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// between returns a rate that is high from one time to another and low otherwise.
func between(from, to time.Duration, high, low float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return high
		}
		return low
	}
}
