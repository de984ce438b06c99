package event_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lovagelane/event"
	"lovagelane/kernel"
)

// Guards against metrics that are not valid JSON, that mix kinds or labels, or that are read when Var is called instead of when
// its result is rendered.
func TestMetricsAsJSON(t *testing.T) {
	clock := clockAt(start)
	m := event.NewMetricsAt(clock)
	v := m.Var()
	m.Add("refusals", 1, "shed", "orders")
	m.Add("refusals", 2, "shed", "orders")
	m.Add("refusals", 4)
	m.Set("refusals", 7)
	for i := range 1000 {
		m.Observe("call", time.Duration(i+1)*time.Millisecond, "nursery")
	}
	m.Observe("long", time.Hour)
	m.Observe("long", -time.Second)
	require.JSONEq(t, `{
		"counters": {"refusals": 4, "refusals/shed/orders": 3},
		"gauges": {"refusals": 7},
		"durations": {
			"call/nursery": {"total": 1000, "count": 1000,
				"p50-us": 501759, "p99-us": 991231, "p999-us": 999423, "max-us": 1003519},
			"long": {"total": 2, "count": 2, "p50-us": 0, "p99-us": 120061951, "p999-us": 120061951, "max-us": 120061951}}
	}`, v.String())
	require.EqualValues(t, 3, m.Counter("refusals", "shed", "orders"))
	require.EqualValues(t, 7, m.Gauge("refusals"))

	clock.Advance(25 * time.Second)
	m.Observe("call", time.Millisecond, "nursery")
	clock.Advance(10 * time.Second)
	var got struct {
		Durations map[string]map[string]int64 `json:"durations"`
	}
	require.NoError(t, json.Unmarshal([]byte(v.String()), &got))
	require.EqualValues(t, 1, got.Durations["call/nursery"]["count"], "old durations must leave the window")
	require.EqualValues(t, 1001, got.Durations["call/nursery"]["total"])
	require.EqualValues(t, 0, got.Durations["long"]["count"])
}

// Guards against a crash in a component that has no metrics.
func TestNilAndZeroMetrics(t *testing.T) {
	var none *event.Metrics
	none.Add("a", 1)
	none.Set("a", 1)
	none.Observe("a", 1)
	require.Zero(t, none.Counter("a")+none.Gauge("a"))
	require.Equal(t, "{}", none.Var().String())
	var zero event.Metrics
	zero.Add("a", 1)
	zero.Observe("a", 1)
	require.EqualValues(t, 1, zero.Counter("a"))
}

// Guards against labels taken from requests that exhaust the memory of a node.
func TestMetricsAreBounded(t *testing.T) {
	m := event.NewMetrics()
	for i := range 5000 {
		m.Add("calls", 1, fmt.Sprint("caller-", i))
	}
	for i := range 200 {
		m.Observe("calls", 1, fmt.Sprint("caller-", i))
	}
	var got struct {
		Counters  map[string]int64 `json:"counters"`
		Durations map[string]any   `json:"durations"`
	}
	require.NoError(t, json.Unmarshal([]byte(m.Var().String()), &got))
	require.Len(t, got.Counters, 4096+1)
	require.EqualValues(t, 5000-4096+200-128, got.Counters["metrics-dropped"])
	require.Len(t, got.Durations, 128)
}

// Guards against allocations on the data path, where each of up to 10,000 calls per second records several metrics.
func TestMetricsDoNotAllocate(t *testing.T) {
	m := event.NewMetrics()
	labels := []string{"nursery", "orders"}
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		m.Add("refusals", 1, labels[0], labels[1])
		m.Set("level", 3, labels[0])
		m.Observe("call", time.Millisecond, labels[0])
	}))
}

// Guards against updates that are lost while new metrics are created concurrently.
func TestMetricsAreConcurrent(t *testing.T) {
	m := event.NewMetrics()
	g := kernel.NewGroup(context.Background())
	for i := range 8 {
		g.Go("writer", func(context.Context) error {
			for j := range 1000 {
				m.Add("shared", 1)
				m.Add("own", 1, fmt.Sprint(i, "-", j%100))
				m.Observe("shared", time.Millisecond)
			}
			_ = m.Var().String()
			return nil
		})
	}
	require.NoError(t, g.Wait())
	require.EqualValues(t, 8000, m.Counter("shared"))
	require.Contains(t, m.Var().String(), `"total": 8000`)
}

// Guards against counts in the wrong second or series, and against counts that are older than the window.
func TestWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		length := rapid.IntRange(1, 20).Draw(t, "length")
		w := event.NewWindow(time.Duration(length)*time.Second, 2)
		now := rapid.SampledFrom([]time.Time{{}, start}).Draw(t, "start")
		model := map[int64][2]int64{}
		for range rapid.IntRange(1, 60).Draw(t, "n") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			series := rapid.IntRange(0, 1).Draw(t, "series")
			w.Add(now, series, 1)
			counts := model[now.Unix()]
			counts[series]++
			model[now.Unix()] = counts
		}
		now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "idle")) * time.Second)
		d := rapid.IntRange(0, length).Draw(t, "d")
		var sum int64
		for second, counts := range model {
			if second <= now.Unix()-int64(length) {
				delete(model, second)
			}
			if second > now.Unix()-int64(d) {
				sum += counts[1]
			}
		}
		got, last := map[int64][2]int64{}, int64(-1<<62)
		w.Each(now, func(second int64, counts []int64) {
			require.Greater(t, second, last)
			last = second
			got[second] = [2]int64(counts)
		})
		require.Equal(t, model, got)
		require.Equal(t, sum, w.Sum(now, time.Duration(d)*time.Second, 1))
	})
}

func BenchmarkMetrics(b *testing.B) {
	m := event.NewMetrics()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			m.Add("refusals", 1, "shed", "orders")
			m.Observe("call", time.Millisecond, "nursery")
		}
	})
}
