package event

import (
	"math"
	"sync"
	"time"
)

// Window counts by second over a sliding window, in several lanes.
type Window struct {
	mu    sync.Mutex
	lanes int
	slots []slot
}

type slot struct {
	second int64
	counts []int64
}

// NewWindow returns a window of the given length in whole seconds, with the given number of lanes.
func NewWindow(length time.Duration, lanes int) *Window {
	slots := make([]slot, max(1, int(length/time.Second)))
	counts := make([]int64, lanes*len(slots))
	for i := range slots {
		slots[i].second = math.MinInt64
		slots[i].counts = counts[i*lanes : (i+1)*lanes]
	}
	return &Window{lanes: lanes, slots: slots}
}

// Add adds n to a lane in the second of now. A time that is older than the window is ignored.
func (w *Window) Add(now time.Time, lane int, n int64) {
	second := now.Unix()
	w.mu.Lock()
	defer w.mu.Unlock()
	s := &w.slots[index(second, len(w.slots))]
	if second < s.second {
		return
	}
	if second > s.second {
		s.second = second
		clear(s.counts)
	}
	s.counts[lane] += n
}

// Each calls f for each second of the window that ends with now and has counts, the oldest first. f must not keep
// counts or use the window.
func (w *Window) Each(now time.Time, f func(second int64, counts []int64)) {
	end := now.Unix()
	w.mu.Lock()
	defer w.mu.Unlock()
	for second := end - int64(len(w.slots)) + 1; second <= end; second++ {
		if s := &w.slots[index(second, len(w.slots))]; s.second == second {
			f(second, s.counts)
		}
	}
}

// Sum returns the count of a lane over the last d, which includes the current second.
func (w *Window) Sum(now time.Time, d time.Duration, lane int) int64 {
	first := now.Unix() - int64(d/time.Second) + 1
	var sum int64
	w.Each(now, func(second int64, counts []int64) {
		if second >= first {
			sum += counts[lane]
		}
	})
	return sum
}

// index is not negative for seconds before 1970, which a manual clock starts at.
func index(second int64, n int) int {
	return int(((second % int64(n)) + int64(n)) % int64(n))
}
