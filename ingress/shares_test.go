package ingress_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lovagelane/call"
	"lovagelane/ingress"
)

// simulateDemand sends the requests of callers, at the given rates per second, through s. It records the requests beyond
// capacity as refused, and returns the share of each caller's requests that was marked as excess in the last second.
func simulateDemand(s *ingress.Shares, start time.Time, length time.Duration, capacity float64, rates ...float64) []float64 {
	pending, marked, sent := make([]float64, len(rates)), make([]float64, len(rates)), make([]float64, len(rates))
	var offered, excess float64
	refusals := 0.0
	for at := time.Duration(0); at < length; at += ms {
		now := start.Add(at)
		for i, rate := range rates {
			for pending[i] += rate / 1000; pending[i] >= 1; pending[i]-- {
				value := s.Value(now, "orders", fmt.Sprint("caller", i), 5)
				offered++
				if value >= call.FairShareValues {
					excess++
				}
				if at >= length-time.Second {
					sent[i]++
					if value >= call.FairShareValues {
						marked[i]++
					}
				}
			}
		}
		var total float64
		for _, rate := range rates {
			total += rate
		}
		for refusals += max(0, total-capacity) / 1000; refusals >= 1; refusals-- {
			s.RecordRefusal(now, "orders")
		}
	}
	for i := range marked {
		marked[i] /= sent[i]
	}
	return marked
}

// Guards against marking requests in a class that is not contended or of callers within their fair share, and against not
// marking a surge.
// Mutation: remaining halved in fairShare; excessShare always 0; fairShare without remaining -= requests.
func TestExcessIsMarked(t *testing.T) {
	tests := []struct {
		name     string
		capacity float64
		rates    []float64
		want     []float64
	}{
		{"not contended", 1000, []float64{10, 10, 500}, []float64{0, 0, 0}},
		{"one surges", 100, []float64{10, 10, 10, 500}, []float64{0, 0, 0, 0.85}},
		{"two surge", 100, []float64{10, 10, 200, 200}, []float64{0, 0, 0.78, 0.78}},
		{"all equal", 100, []float64{100, 100, 100}, []float64{0.63, 0.63, 0.63}},
		{"one caller", 100, []float64{500}, []float64{0.78}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var s ingress.Shares
			got := simulateDemand(&s, epoch, 5*time.Second, test.capacity, test.rates...)
			for i := range test.want {
				require.InDelta(t, test.want[i], got[i], 0.05, "caller %d", i)
			}
			// After the refusals stop, no request is marked.
			for _, v := range simulateDemand(&s, epoch.Add(10*time.Second), 2*time.Second, 1e9, test.rates...) {
				require.Zero(t, v)
			}
		})
	}
}

// Guards against values outside 0..127 within the fair share or outside 128..255 beyond it, and against a changed base.
// Mutation: Value without the mask of the base.
func TestValuesKeepTheBase(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s ingress.Shares
		now, contended := epoch, false
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * ms)
			base := rapid.Byte().Draw(t, "base")
			value := s.Value(now, "orders", fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "caller")), base)
			require.Equal(t, base%128, value%128)
			require.True(t, contended || value < 128)
			if rapid.Bool().Draw(t, "refused") {
				s.RecordRefusal(now, "orders")
				contended = true
			}
		}
	})
}

func BenchmarkValue(b *testing.B) {
	names := make([]string, 1000)
	for i := range names {
		names[i] = fmt.Sprint("caller-", i)
	}
	var s ingress.Shares
	now := epoch
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(100 * time.Microsecond)
		s.Value(now, "orders", names[i%len(names)], 5)
		if i%2 == 0 {
			s.RecordRefusal(now, "orders")
		}
	}
}
