package event

import (
	"math"
	"sync"
	"time"
)

// Window holds several series of counts per second over a sliding window.
type Window struct {
	mu          sync.Mutex
	seriesCount int
	slots       []slot
}

type slot struct {
	second int64
	counts []int64
}

// NewWindow returns a window of the given length in whole seconds, with the given number of series.
func NewWindow(length time.Duration, seriesCount int) *Window {
	slots := make([]slot, max(1, int(length/time.Second)))
	counts := make([]int64, seriesCount*len(slots))
	for i := range slots {
		slots[i].second = math.MinInt64
		slots[i].counts = counts[i*seriesCount : (i+1)*seriesCount]
	}
	return &Window{seriesCount: seriesCount, slots: slots}
}

// Add adds n to a series in the second of now. Times older than the window are ignored.
func (w *Window) Add(now time.Time, series int, n int64) {
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
	s.counts[series] += n
}

// Each calls f for each second with counts in the window that ends at now, from the oldest to the latest. f must not retain
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

// Sum returns the sum of a series over the last d, including the current second.
func (w *Window) Sum(now time.Time, d time.Duration, series int) int64 {
	first := now.Unix() - int64(d/time.Second) + 1
	var sum int64
	w.Each(now, func(second int64, counts []int64) {
		if second >= first {
			sum += counts[series]
		}
	})
	return sum
}

// index returns the slot of a second. The result is not negative for seconds before 1970, at which a manual clock starts.
func index(second int64, n int) int {
	return int(((second % int64(n)) + int64(n)) % int64(n))
}
