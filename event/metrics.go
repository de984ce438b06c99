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
	// maxIntMetrics bounds the counters, and the gauges, of one node. Each name with its labels counts as one.
	maxIntMetrics = 4096
	// maxHistograms bounds the histograms of one node, each of which uses about 80 KB.
	maxHistograms = 128
	// keyBufferSize is the longest key, in bytes, that is looked up without an allocation.
	keyBufferSize = 160
)

// Metrics holds the counters, gauges and duration histograms of one node. It doesn't use expvar's global table, so that a
// process can run several nodes. The key of a metric is its name and labels joined by slashes, as in refusals/shed/orders.
// Counters, gauges and durations have separate namespaces. The number of metrics is bounded; values of metrics beyond the
// bound are dropped and counted in the counter metrics-dropped. A nil Metrics drops all values, and the zero value is ready
// to use.
type Metrics struct {
	clock     kernel.Clock
	counters  table[*expvar.Int]
	gauges    table[*expvar.Int]
	durations table[*histogram]
	dropped   expvar.Int
}

// NewMetrics returns empty metrics.
func NewMetrics() *Metrics { return NewMetricsAt(kernel.SystemClock{}) }

// NewMetricsAt returns empty metrics whose sliding windows use the given clock.
func NewMetricsAt(clock kernel.Clock) *Metrics { return &Metrics{clock: clock} }

// Add adds n to the counter with this name and labels, as in Add("refusals", 1, "shed", "orders").
func (m *Metrics) Add(name string, n int64, labels ...string) {
	if m == nil {
		return
	}
	if v := m.intVar(&m.counters, name, labels); v != nil {
		v.Add(n)
	}
}

// Set sets the gauge with this name and labels.
func (m *Metrics) Set(name string, v int64, labels ...string) {
	if m == nil {
		return
	}
	if g := m.intVar(&m.gauges, name, labels); g != nil {
		g.Set(v)
	}
}

// Observe records a duration in the histogram with this name and labels.
func (m *Metrics) Observe(name string, d time.Duration, labels ...string) {
	if m == nil {
		return
	}
	var buf [keyBufferSize]byte
	key := appendKey(buf[:0], name, labels)
	now := m.now()
	h, ok := m.durations.lookup(key)
	if !ok {
		h, ok = m.durations.create(string(key), maxHistograms, func() *histogram { return newHistogram(now) })
	}
	if !ok {
		m.dropped.Add(1)
		return
	}
	h.record(now, d)
}

// Counter returns the value of a counter, or 0 if it does not exist.
func (m *Metrics) Counter(name string, labels ...string) int64 {
	if m == nil {
		return 0
	}
	return intValue(&m.counters, name, labels)
}

// Gauge returns the value of a gauge, or 0 if it does not exist.
func (m *Metrics) Gauge(name string, labels ...string) int64 {
	if m == nil {
		return 0
	}
	return intValue(&m.gauges, name, labels)
}

// Var returns the metrics as an expvar variable whose String is JSON with the objects counters, gauges and durations.
func (m *Metrics) Var() expvar.Var {
	all := new(expvar.Map)
	if m == nil {
		return all
	}
	counters := &lazyMap{func() *expvar.Map {
		v := expvarMap(&m.counters, func(i *expvar.Int) expvar.Var { return i })
		if m.dropped.Value() > 0 {
			v.Set("metrics-dropped", &m.dropped)
		}
		return v
	}}
	gauges := &lazyMap{func() *expvar.Map {
		return expvarMap(&m.gauges, func(i *expvar.Int) expvar.Var { return i })
	}}
	durations := &lazyMap{func() *expvar.Map {
		now := m.now()
		return expvarMap(&m.durations, func(h *histogram) expvar.Var { return h.summary(now) })
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

func (m *Metrics) intVar(t *table[*expvar.Int], name string, labels []string) *expvar.Int {
	var buf [keyBufferSize]byte
	key := appendKey(buf[:0], name, labels)
	if v, ok := t.lookup(key); ok {
		return v
	}
	v, ok := t.create(string(key), maxIntMetrics, func() *expvar.Int { return new(expvar.Int) })
	if !ok {
		m.dropped.Add(1)
	}
	return v
}

func intValue(t *table[*expvar.Int], name string, labels []string) int64 {
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

// lazyMap is an expvar variable that builds its map on each read.
type lazyMap struct{ read func() *expvar.Map }

// String returns the map as JSON.
func (l *lazyMap) String() string { return l.read().String() }

func expvarMap[T any](t *table[T], v func(T) expvar.Var) *expvar.Map {
	m := new(expvar.Map)
	for key, value := range t.all() {
		m.Set(key, v(value))
	}
	return m
}

// table is a copy-on-write map, so that reads on the data path take no lock.
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
	var zero T
	if len(old) >= limit {
		return zero, false
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
