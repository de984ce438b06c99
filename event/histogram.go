package event

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// sliceCount and sliceLength give a sliding window of 20 s to 30 s. An idle histogram shows its last values for as long.
	sliceCount  = 3
	sliceLength = 10 * time.Second
	// maxMicroseconds is the longest duration that is recorded, in microseconds. Longer ones are recorded as this one.
	maxMicroseconds = int64(2 * time.Minute / time.Microsecond)
	// significantDigits limits the error of a recorded duration to 1%.
	significantDigits = 2
)

// histogram records durations in microseconds over a sliding window.
type histogram struct {
	mu     sync.Mutex
	window *hdrhistogram.WindowedHistogram
	slice  int64 // index of the current slice, in slices since 1970
	total  int64 // recorded durations since the start of the process
}

func newHistogram(now time.Time) *histogram {
	return &histogram{window: hdrhistogram.NewWindowed(sliceCount, 1, maxMicroseconds, significantDigits), slice: sliceAt(now)}
}

func sliceAt(now time.Time) int64 { return now.Unix() / int64(sliceLength/time.Second) }

func (h *histogram) record(now time.Time, d time.Duration) {
	v := min(max(int64(d/time.Microsecond), 0), maxMicroseconds)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advance(now)
	h.total++
	_ = h.window.Current.RecordValue(v) // v is in range, so no error is returned
}

// advance rotates the window to the current slice and clears the expired ones.
func (h *histogram) advance(now time.Time) {
	slice := sliceAt(now)
	for n := min(slice-h.slice, sliceCount); n > 0; n-- {
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
