package event_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"lovagelane/event"
	"lovagelane/kernel"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func clockAt(t time.Time) *kernel.ManualClock {
	c := new(kernel.ManualClock)
	for c.Now().Before(t) { // Sub is limited to 292 years
		c.Advance(t.Sub(c.Now()))
	}
	return c
}

var start = time.Date(2026, 3, 1, 23, 59, 58, 123456789, time.FixedZone("BRT", -3*3600))

// localClock returns times in a zone other than UTC.
type localClock struct{ kernel.Clock }

func (c localClock) Now() time.Time { return c.Clock.Now().In(start.Location()) }

// Guards against events that span several lines, local times, lost values and a missing value that shifts later pairs.
func TestLogLines(t *testing.T) {
	var out bytes.Buffer
	l := event.New(&out, localClock{clockAt(start)})
	l.Info("member-joined", "member", "a1", "slots", 70, "delay", 1500*time.Millisecond)
	l.Warn("call-failed", "error", errors.New("dial:\nrefused"), "zones", []string{"rn-1", "ce-1"}, "since", start)
	l.Error("key-broken", "file")
	require.Equal(t, `time=2026-03-02T02:59:58.123Z level=info event=member-joined member=a1 slots=70 delay=1.5s
time=2026-03-02T02:59:58.123Z level=warn event=call-failed error="dial:\nrefused" zones="[rn-1 ce-1]" since=2026-03-02T02:59:58.123Z
time=2026-03-02T02:59:58.123Z level=error event=key-broken file=missing
`, out.String())
}

// Guards against a crash in a component that has no log.
func TestNilLogWritesNothing(t *testing.T) {
	var l *event.Log
	l.Info("a", "b", 1)
	(&event.Log{}).Warn("a")
}

// Guards against a repeated event that floods the log, and against suppressed lines that are not counted.
func TestLogLimitsRepeatedEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var out bytes.Buffer
		clock := clockAt(start)
		l := event.New(&out, clock)
		// The model is a token bucket for each name, with 10 tokens and a refill of one per second.
		tokens, refilledAt := map[string]int{"a": 10, "b": 10}, map[string]time.Time{}
		suppressed, want := map[string]int{}, ""
		for range rapid.IntRange(1, 10).Draw(t, "n") {
			now := clock.Advance(time.Duration(rapid.SampledFrom([]int{0, 300, 1000, 4500, 60000}).Draw(t, "ms")) *
				time.Millisecond)
			name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
			if refilledAt[name].IsZero() {
				refilledAt[name] = now
			}
			for now.Sub(refilledAt[name]) >= time.Second {
				tokens[name], refilledAt[name] = min(tokens[name]+1, 10), refilledAt[name].Add(time.Second)
			}
			for range rapid.IntRange(1, 15).Draw(t, "lines") {
				l.Info(name)
				if tokens[name] == 0 {
					suppressed[name]++
					continue
				}
				tokens[name]--
				want += "event=" + name
				if suppressed[name] > 0 {
					want += fmt.Sprintf(" suppressed=%d", suppressed[name])
				}
				want += "\n"
				suppressed[name] = 0
			}
		}
		var got string
		for line := range strings.Lines(out.String()) {
			got += line[strings.Index(line, "event="):]
		}
		require.Equal(t, want, got)
	})
}

// Guards against a table of event names that grows without bound, and against names beyond the bound that are not limited.
func TestLogBoundsEventNames(t *testing.T) {
	var out bytes.Buffer
	l := event.New(&out, clockAt(start))
	for i := range 2000 {
		l.Info(fmt.Sprint("event-", i))
	}
	require.Equal(t, 512+10, strings.Count(out.String(), "\n"))
}

// Guards against interleaved lines of concurrent writers.
func TestLogIsConcurrent(t *testing.T) {
	var out bytes.Buffer
	l := event.New(&out, kernel.SystemClock{})
	g := kernel.NewGroup(context.Background())
	for i := range 8 {
		g.Go("writer", func(context.Context) error {
			for range 5 {
				l.Info(fmt.Sprint("event-", i), "key", "value")
			}
			return nil
		})
	}
	require.NoError(t, g.Wait())
	require.Equal(t, 40, strings.Count(out.String(), " key=value\n"))
}

// Guards against lines about single requests that get the default rate limit, which is too low to trace requests.
func TestSetRateSetsTheRateOfAnEvent(t *testing.T) {
	var out bytes.Buffer
	clock := &kernel.ManualClock{}
	l := event.New(&out, clock)
	l.SetRate(50, "request-refused")
	for range 200 {
		l.Info("request-refused")
		l.Info("other")
	}
	require.Equal(t, 50, strings.Count(out.String(), "event=request-refused"))
	require.Equal(t, 10, strings.Count(out.String(), "event=other"))
	clock.Advance(time.Second)
	for range 200 {
		l.Info("request-refused")
	}
	require.Equal(t, 100, strings.Count(out.String(), "event=request-refused"))
}
