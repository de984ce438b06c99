package event

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// slices and sliceLength give a window of 20 s to 30 s, which is also how long an idle histogram shows values.
	slices      = 3
	sliceLength = 10 * time.Second
	// maxDuration is the longest duration told apart, in microseconds; longer ones count as this one.
	maxDuration = int64(2 * time.Minute / time.Microsecond)
	// digits keeps durations to within 1%.
	digits = 2
)

// histogram counts durations in microseconds over a sliding window.
type histogram struct {
	mu     sync.Mutex
	window *hdrhistogram.WindowedHistogram
	slice  int64 // number of the current slice
	total  int64 // durations since the start of the process
}

func newHistogram(now time.Time) *histogram {
	return &histogram{window: hdrhistogram.NewWindowed(slices, 1, maxDuration, digits), slice: sliceOf(now)}
}

func sliceOf(now time.Time) int64 { return now.Unix() / int64(sliceLength/time.Second) }

func (h *histogram) record(now time.Time, d time.Duration) {
	v := min(max(int64(d/time.Microsecond), 0), maxDuration)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advance(now)
	h.total++
	_ = h.window.Current.RecordValue(v) // v is in range
}

// advance empties the slices that have passed.
func (h *histogram) advance(now time.Time) {
	slice := sliceOf(now)
	for n := min(slice-h.slice, slices); n > 0; n-- {
		h.window.Rotate()
	}
	h.slice = max(h.slice, slice)
}

func (h *histogram) summary(now time.Time) expvar.Var {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advance(now)
	all := h.window.Merge()
	v := new(expvar.Map)
	v.Add("total", h.total)
	v.Add("count", all.TotalCount())
	v.Add("p50-us", all.ValueAtPercentile(50))
	v.Add("p99-us", all.ValueAtPercentile(99))
	v.Add("p999-us", all.ValueAtPercentile(99.9))
	v.Add("max-us", all.Max())
	return v
}
