package event

import (
	"expvar"
	"maps"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lovagelane/kernel"
)

const (
	// maxNumbers bounds the counters and gauges of one node, one for each name with its labels.
	maxNumbers = 4096
	// maxDurations bounds the histograms of one node, each of which holds about 80 KB.
	maxDurations = 128
	// keyBytes is the length of a name with its labels that is looked up without an allocation.
	keyBytes = 160
)

// Metrics are the counters of one node, outside expvar's global table so that a process can hold several nodes. A
// metric is known by its name and labels joined by slashes, as in refusals/shed/orders. Counters, gauges and durations
// have separate names. The number of metrics is bounded; new ones beyond the bound are only counted, in the counter
// metrics-dropped. A nil Metrics keeps nothing, and the zero value is ready to use.
type Metrics struct {
	clock     kernel.Clock
	counters  table[*expvar.Int]
	gauges    table[*expvar.Int]
	durations table[*histogram]
	dropped   expvar.Int
}

// NewMetrics returns empty metrics.
func NewMetrics() *Metrics { return NewMetricsAt(kernel.SystemClock{}) }

// NewMetricsAt returns empty metrics whose sliding windows follow the clock.
func NewMetricsAt(clock kernel.Clock) *Metrics { return &Metrics{clock: clock} }

// Add adds n to the counter with this name and labels, as in Add("refusals", 1, "shed", "orders").
func (m *Metrics) Add(name string, n int64, labels ...string) {
	if m == nil {
		return
	}
	if v := m.number(&m.counters, name, labels); v != nil {
		v.Add(n)
	}
}

// Set sets a gauge.
func (m *Metrics) Set(name string, v int64, labels ...string) {
	if m == nil {
		return
	}
	if g := m.number(&m.gauges, name, labels); g != nil {
		g.Set(v)
	}
}

// Observe records a duration in the histogram with this name.
func (m *Metrics) Observe(name string, d time.Duration, labels ...string) {
	if m == nil {
		return
	}
	var buf [keyBytes]byte
	key := appendKey(buf[:0], name, labels)
	now := m.now()
	h, ok := m.durations.lookup(key)
	if !ok {
		h, ok = m.durations.create(string(key), maxDurations, func() *histogram { return newHistogram(now) })
	}
	if !ok {
		m.dropped.Add(1)
		return
	}
	h.record(now, d)
}

// Counter returns the value of a counter, 0 when nothing was added.
func (m *Metrics) Counter(name string, labels ...string) int64 {
	if m == nil {
		return 0
	}
	return value(&m.counters, name, labels)
}

// Gauge returns the value of a gauge, 0 when it was not set.
func (m *Metrics) Gauge(name string, labels ...string) int64 {
	if m == nil {
		return 0
	}
	return value(&m.gauges, name, labels)
}

// Var returns the metrics as an expvar variable whose String is JSON with the objects counters, gauges and durations.
func (m *Metrics) Var() expvar.Var {
	all := new(expvar.Map)
	if m == nil {
		return all
	}
	counters := &live{func() *expvar.Map {
		v := fill(&m.counters, func(i *expvar.Int) expvar.Var { return i })
		if m.dropped.Value() > 0 {
			v.Set("metrics-dropped", &m.dropped)
		}
		return v
	}}
	gauges := &live{func() *expvar.Map {
		return fill(&m.gauges, func(i *expvar.Int) expvar.Var { return i })
	}}
	durations := &live{func() *expvar.Map {
		now := m.now()
		return fill(&m.durations, func(h *histogram) expvar.Var { return h.summary(now) })
	}}
	all.Set("counters", counters)
	all.Set("gauges", gauges)
	all.Set("durations", durations)
	return all
}

func (m *Metrics) now() time.Time {
	if m.clock == nil {
		return time.Now()
	}
	return m.clock.Now()
}

func (m *Metrics) number(t *table[*expvar.Int], name string, labels []string) *expvar.Int {
	var buf [keyBytes]byte
	key := appendKey(buf[:0], name, labels)
	if v, ok := t.lookup(key); ok {
		return v
	}
	v, ok := t.create(string(key), maxNumbers, func() *expvar.Int { return new(expvar.Int) })
	if !ok {
		m.dropped.Add(1)
	}
	return v
}

func value(t *table[*expvar.Int], name string, labels []string) int64 {
	if v, ok := t.lookup(appendKey(nil, name, labels)); ok {
		return v.Value()
	}
	return 0
}

func appendKey(key []byte, name string, labels []string) []byte {
	key = append(key, name...)
	for _, l := range labels {
		key = append(key, '/')
		key = append(key, l...)
	}
	return key
}

// live builds its map each time it is read.
type live struct{ read func() *expvar.Map }

// String returns the map as JSON.
func (l *live) String() string { return l.read().String() }

func fill[T any](t *table[T], v func(T) expvar.Var) *expvar.Map {
	m := new(expvar.Map)
	for key, value := range t.all() {
		m.Set(key, v(value))
	}
	return m
}

// table is a map that is copied when it grows, so that readers on the data path take no lock.
type table[T any] struct {
	mu      sync.Mutex
	entries atomic.Pointer[map[string]T]
}

func (t *table[T]) all() map[string]T {
	if m := t.entries.Load(); m != nil {
		return *m
	}
	return nil
}

func (t *table[T]) lookup(key []byte) (T, bool) {
	v, ok := t.all()[string(key)]
	return v, ok
}

func (t *table[T]) create(key string, limit int, make func() T) (T, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.all()
	if v, ok := old[key]; ok {
		return v, true
	}
	var none T
	if len(old) >= limit {
		return none, false
	}
	next := maps.Clone(old)
	if next == nil {
		next = map[string]T{}
	}
	v := make()
	next[strings.Clone(key)] = v
	t.entries.Store(&next)
	return v, true
}
