package burn

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"lovagelane/call"
	"lovagelane/inventory"
	"lovagelane/kernel"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testClock is a manual clock that can start at any time and be set back.
type testClock struct{ now time.Time }

func (c *testClock) Now() time.Time { return c.now }

var startTime = time.Date(2026, 3, 1, 22, 40, 30, 0, time.UTC)

var nurseryObjectives = Objectives{Version: 3, List: []Objective{
	{Service: "nursery", Answered: 0.999, Within: 500 * time.Millisecond, Line: "rules.ini:40"}}}

// Guards against calls in a wrong window, kind, row or cause, and against a wrong burn rate. It compares the report with a
// model that keeps every call. The counts are encoded as JSON, as between nodes.
func TestReportMatchesNaiveModel(t *testing.T) {
	type record struct {
		at   time.Time
		key  Key
		kind Kind
	}
	rapid.Check(t, func(t *rapid.T) {
		clock := &testClock{now: startTime}
		nodes := []*Recorder{NewRecorder(Node{ID: "a", AvailabilityZone: "rn-1"}, clock),
			NewRecorder(Node{ID: "b", AvailabilityZone: "ce-1"}, clock)}
		nodes[1].SetObjectives(nurseryObjectives)
		var all []record
		for range rapid.IntRange(0, 60).Draw(t, "n") {
			gap := rapid.SampledFrom([]time.Duration{0, time.Second, 50 * time.Second, 3 * time.Minute, time.Hour, 9 * time.Hour})
			clock.now = clock.now.Add(gap.Draw(t, "gap"))
			key := Key{Service: rapid.SampledFrom([]string{"nursery", "maps"}).Draw(t, "service"), Class: "orders",
				Operation: rapid.SampledFrom([]string{"order", "list"}).Draw(t, "operation")}
			i := rapid.IntRange(0, 1).Draw(t, "node")
			kind := Kind(rapid.IntRange(0, int(numKinds)-1).Draw(t, "kind"))
			nodes[i].Record(key, kind)
			key.AvailabilityZone = []string{"rn-1", "ce-1"}[i]
			all = append(all, record{clock.now, key, kind})
		}
		at := clock.now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "idle")) * time.Second)
		clock.now = at
		var parts []Snapshot
		for _, n := range nodes {
			text, err := n.JSON()
			require.NoError(t, err)
			var s Snapshot
			require.NoError(t, json.Unmarshal(text, &s))
			parts = append(parts, s)
		}
		report := NewReport(Merge(parts...), at)
		seen := int64(0)
		for _, row := range report.Rows {
			for i, w := range Windows {
				unit := time.Minute
				if w.Hours {
					unit = time.Hour
				}
				var want Counts
				causes := map[Cause]int64{}
				for _, r := range all {
					inside := r.at.Truncate(unit).After(at.Truncate(unit).Add(-w.Length))
					if r.key.Service == row.Service && inside {
						want[r.kind]++
						causes[Cause{Kind: r.kind, AvailabilityZone: r.key.AvailabilityZone, Operation: r.key.Operation}]++
					}
				}
				require.Equal(t, want, row.Burns[i].Counts, "%s %s", row.Service, w.Name)
				rate := 0.0
				if bad := want.Total() - want[KindGood]; bad > 0 && row.Service == "nursery" {
					rate = float64(bad) / float64(want.Total()) / 0.001
				}
				require.InEpsilon(t, 1+rate, 1+row.Burns[i].Rate, 1e-9)
				if w == row.CausesWindow {
					share := 0.0
					for _, c := range row.Causes {
						key := Cause{Kind: c.Kind, AvailabilityZone: c.AvailabilityZone, Operation: c.Operation}
						require.Equal(t, causes[key], c.Calls)
						share += c.Share
					}
					require.True(t, len(row.Causes) == maxCauses || math.Abs(share-1) < 1e-9)
				}
			}
			seen += row.Burns[3].Counts.Total()
		}
		var want int64
		for _, r := range all {
			if r.at.Truncate(time.Hour).After(at.Truncate(time.Hour).Add(-72 * time.Hour)) {
				want++
			}
		}
		require.Equal(t, want, seen, "no row may be missing")
	})
}

func snapshots() *rapid.Generator[Snapshot] {
	return rapid.Custom(func(t *rapid.T) Snapshot {
		name := rapid.SampledFrom([]string{"a", "b", "c"})
		buckets := rapid.Custom(func(t *rapid.T) Buckets {
			var b Buckets
			for n := int64(1); n < 6; n++ {
				if rapid.Bool().Draw(t, "used") {
					b = append(b, Bucket{Index: n, Counts: Counts{n, rapid.Int64Range(0, 3).Draw(t, "shed")}})
				}
			}
			return b
		})
		at := func() time.Time { return startTime.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "at")) * time.Hour) }
		s := Snapshot{Nodes: []Node{{ID: name.Draw(t, "id"), Since: at()}}, Seconds: buckets.Draw(t, "seconds"),
			EventsLost: rapid.Int64Range(0, 2).Draw(t, "lost")}
		if s.Objectives.Version = rapid.Uint64Range(0, 3).Draw(t, "version"); s.Objectives.Version > 0 {
			s.Objectives.List = []Objective{{Service: "a", Answered: float64(s.Objectives.Version)}}
		}
		for range rapid.IntRange(0, 3).Draw(t, "items") {
			s.Series = append(s.Series, Series{Key{Service: name.Draw(t, "service"), Operation: name.Draw(t, "operation")},
				buckets.Draw(t, "minutes"), buckets.Draw(t, "hours")})
			s.Events = append(s.Events, Event{Kind: EventEjected, Subject: name.Draw(t, "subject"), From: at()})
			s.Missing = append(s.Missing, Missing{Address: name.Draw(t, "address")})
		}
		return s
	})
}

// Guards against a merged snapshot that depends on the order in which nodes answer.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	text := func(s Snapshot) string {
		b, err := json.Marshal(s)
		if err != nil {
			return err.Error()
		}
		return string(b)
	}
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := snapshots().Draw(t, "a"), snapshots().Draw(t, "b"), snapshots().Draw(t, "c")
		want := text(Merge(a, b, c))
		require.Equal(t, want, text(Merge(c, a, b)))
		require.Equal(t, want, text(Merge(b, a, c)))
		require.Equal(t, want, text(Merge(a, Merge(b, c))))
		require.Equal(t, want, text(Merge(Merge(a, b), c)))
	})
}

// Guards against malformed counts of a faulty node that corrupt the report or make it panic, and against a clock that is
// set back.
func TestMalformedBucketsAreRejected(t *testing.T) {
	for _, text := range []string{`[[]]`, `[[5,-1]]`, `[[5,1],[0,1]]`, `[[5,1],[-2,1]]`, `[[5,1,2,3,4,5,6]]`, `{}`,
		"[[1]" + strings.Repeat(",[1]", maxBuckets) + "]"} {
		var b Buckets
		require.Error(t, json.Unmarshal([]byte(text), &b), text)
	}
	r := newRing(3)
	r.add(-1, KindGood)
	r.add(7, KindGood)
	r.add(4, KindShed) // the clock was set back
	require.Equal(t, Buckets{{Index: 7, Counts: Counts{1}}}, r.buckets(8))
}

// Guards against errors of callers that count as failures, and against failures that do not count.
func TestClassify(t *testing.T) {
	const fast, slow, within = time.Millisecond, time.Second, 500 * time.Millisecond
	cases := []struct {
		outcome call.Outcome
		reason  call.Reason
		status  int
		took    time.Duration
		want    string
	}{
		{call.OutcomeRan, call.ReasonNone, 200, fast, "good"},
		{call.OutcomeRan, call.ReasonNone, 404, fast, "good"},
		{call.OutcomeRan, call.ReasonNone, 500, fast, "failed"},
		{call.OutcomeRan, call.ReasonNone, 200, slow, "late"},
		{call.OutcomeRan, call.ReasonBackendFailed, 502, fast, "failed"},
		{call.OutcomeNotRun, call.ReasonShed, 503, fast, "shed"},
		{call.OutcomeNotRun, call.ReasonQueueFull, 503, fast, "shed"},
		{call.OutcomeNotRun, call.ReasonDeadline, 504, slow, "shed"},
		{call.OutcomeNotRun, call.ReasonNoBackendServer, 503, fast, "failed"},
		{call.OutcomeNotRun, call.ReasonQuarantined, 422, fast, "failed"},
		{call.OutcomeUnknown, call.ReasonDeadline, 504, slow, "unknown"},
		{call.OutcomeUnknown, call.ReasonOwnerGone, 503, fast, "unknown"},
		{call.OutcomeUnknown, call.ReasonCancelled, 0, fast, ""},
		{call.OutcomeUnknown, call.ReasonCancelled, 0, slow, "late"},
		{call.OutcomeNotRun, call.ReasonTicketRequired, 428, fast, ""},
		{call.OutcomeNotRun, call.ReasonBadRequest, 400, fast, ""},
	}
	for _, tc := range cases {
		kind, counted := Classify(tc.outcome, tc.reason, tc.status, tc.took, within)
		require.Equal(t, tc.want != "", counted, "%+v", tc)
		if counted {
			require.Equal(t, tc.want, kind.String(), "%+v", tc)
		}
	}
	kind, _ := Classify(call.OutcomeRan, call.ReasonNone, 200, time.Hour, 0)
	require.Equal(t, KindGood, kind, "without an objective no call is late")
}

// Guards against a status that a short spike triggers or that persists after its cause ends, and against wrong results
// without an objective, without calls, or for an objective that allows no bad calls.
func TestRowStatus(t *testing.T) {
	burns := func(rates ...float64) Row {
		r := Row{HasObjective: true}
		for i, rate := range rates {
			r.Burns[i] = WindowBurn{Counts: Counts{1}, Rate: rate}
		}
		return r
	}
	require.Equal(t, StatusFastBurn, rowStatus(burns(20, 15, 1, 1)))
	require.Equal(t, StatusWithinBudget, rowStatus(burns(100, 5, 1, 1)), "short spike")
	require.Equal(t, StatusWithinBudget, rowStatus(burns(0, 100, 1, 1)), "cause has ended")
	require.Equal(t, StatusSteadyBurn, rowStatus(burns(0, 7, 6, 1)))
	require.Equal(t, StatusOverBudget, rowStatus(burns(0, 0, 2, 1.1)))
	require.Equal(t, StatusNoObjective, rowStatus(Row{Burns: burns(9, 9, 9, 9).Burns}))
	require.Equal(t, StatusNoCalls, rowStatus(Row{HasObjective: true}))
	require.True(t, math.IsInf(Rate(Counts{9, 1}, 1), 1))
	require.Zero(t, Rate(Counts{9}, 1))
	require.Zero(t, Rate(Counts{}, 0.9))
	require.InDelta(t, 1, Rate(Counts{90, 1, 2, 3, 4}, 0.9), 1e-9)
}

// Guards against a report with one line for each node when one cause affects many nodes.
func TestEventsAreGrouped(t *testing.T) {
	at := func(minutes int) time.Time { return startTime.Add(time.Duration(minutes) * time.Minute) }
	r := NewReport(Snapshot{Events: []Event{
		{EventLimitLowered, "maps", "b", at(5), at(9), 3},
		{EventLimitLowered, "maps", "a", at(0), at(30), 4},
		{EventLimitLowered, "maps", "a", at(18), at(19), 1},
		{EventLimitLowered, "maps", "a", at(90), at(91), 1},
		{EventEjected, "maps", "a", at(2), at(2), 1},
	}}, at(100))
	require.Equal(t, []EventGroup{
		{EventLimitLowered, "maps", at(0), at(30), 2, 8},
		{EventEjected, "maps", at(2), at(2), 1, 1},
		{EventLimitLowered, "maps", at(90), at(91), 1, 1},
	}, r.EventGroups)
}

// Guards against objectives whose version, share, duration or line gets lost in the conversion from the configuration.
func TestObjectivesOfConfiguration(t *testing.T) {
	cfg, problems := inventory.Parse([]inventory.File{{Name: inventory.InventoryFile, Text: "[region rn]\n[availability-zone rn-1]\nregion = rn\n[service nursery]\n" +
		"timeout = 2s\nslots = 7\nconnections = 9\n[backend-servers nursery rn-1]\ncount = 1\n"},
		{Name: inventory.RulesFile, Text: "[class orders]\nrank = 1\ndefault = yes\n[objective nursery]\nanswered = 99.9%\nwithin = 500ms\n"}})
	require.Empty(t, problems)
	stated, ok := cfg.Objective("nursery")
	require.True(t, ok)
	require.InDelta(t, 0.999, stated.Answered, 1e-12)
	require.Equal(t, Objectives{Version: 4, List: []Objective{
		{Service: "nursery", Answered: stated.Answered, Within: 500 * time.Millisecond, Line: "rules.ini:4"}}}, ObjectivesOf(cfg.WithVersion(4)))
	require.Empty(t, ObjectivesOf(nil))
}

// Guards against unbounded memory for many operations or events, against allocations for a call with a known key, and
// against a nil Recorder that panics.
func TestRecorderIsBounded(t *testing.T) {
	clock := &testClock{now: startTime}
	r := NewRecorder(Node{ID: "a", AvailabilityZone: "rn-1"}, clock)
	for i := range 1000 {
		r.Record(Key{Service: "maps", Operation: fmt.Sprint(i)}, KindGood)
		r.RecordEvent(EventEjected, fmt.Sprint(i))
	}
	s := r.Snapshot()
	require.Len(t, s.Series, maxSeries+1)
	require.Equal(t, 1000, int(s.Seconds.Sum(startTime.Unix(), 1).Total()))
	require.Len(t, s.Events, maxEvents)
	require.EqualValues(t, 1000-maxEvents, s.EventsLost)
	key := Key{Service: "maps", Operation: "3", AvailabilityZone: "ce-1"}
	r.Record(key, KindGood)
	require.Zero(t, testing.AllocsPerRun(100, func() { r.Record(key, KindShed) }))

	var nilRecorder *Recorder
	nilRecorder.Record(key, KindGood)
	nilRecorder.RecordEvent(EventEjected, "a")
	nilRecorder.SetObjectives(nurseryObjectives)
	require.Empty(t, nilRecorder.Snapshot())
}

// Guards against lost counts when calls are recorded concurrently.
func TestRecorderIsConcurrent(t *testing.T) {
	r := NewRecorder(Node{ID: "a"}, kernel.SystemClock{})
	g := kernel.NewGroup(context.Background())
	for range 4 {
		g.Go("calls", func(context.Context) error {
			for i := range 500 {
				r.Record(Key{Service: "maps", Operation: fmt.Sprint(i % 50)}, KindGood)
				r.RecordEvent(EventLimitLowered, "maps")
			}
			_ = r.Snapshot()
			return nil
		})
	}
	require.NoError(t, g.Wait())
	s := r.Snapshot()
	var hours Buckets
	for _, series := range s.Series {
		hours = hours.Plus(series.Hours)
	}
	require.EqualValues(t, 2000, hours.Sum(hours[len(hours)-1].Index, 2).Total())
	require.EqualValues(t, 2000, s.Events[0].Count)
}

// exampleReport returns the report of a night in which the service nursery sheds orders for ten minutes, and the second node
// has data only from a restart two hours later. It also returns the recorder of the first node.
func exampleReport() (Report, *Recorder) {
	clock := &testClock{now: startTime}
	a := NewRecorder(Node{ID: "a", Address: "10.0.0.1:9100", AvailabilityZone: "rn-1"}, clock)
	a.SetObjectives(nurseryObjectives)
	order := Key{Service: "nursery", Class: "orders", Operation: "order-seedlings"}
	for i := range 600 {
		clock.now = startTime.Add(time.Duration(i) * time.Second)
		for range 9 {
			a.Record(order, KindGood)
		}
		a.Record(order, KindShed)
		a.RecordEvent(EventLimitLowered, "nursery <1>")
	}
	clock.now = startTime.Add(2 * time.Hour)
	a.RecordEvent(EventQuarantined, "digest 9f3c")
	b := NewRecorder(Node{ID: "b", Address: "10.0.1.1:9100", AvailabilityZone: "ce-1"}, clock)
	b.Record(Key{Service: "maps", Class: "reloads", Operation: "map", AvailabilityZone: "rn-2"}, KindFailed)
	clock.now = startTime.Add(150 * time.Minute)
	s := Merge(a.Snapshot(), b.Snapshot(), Snapshot{Missing: []Missing{{"10.0.2.1:9100", "connection refused"}}})
	s.Nodes[0].SnapshotTime = clock.now.Add(-time.Minute)
	return NewReport(s, clock.now), a
}

// Guards against a text report that omits the causes of the burn, their zones, since when there is data, or which node did
// not answer.
func TestTextReport(t *testing.T) {
	r, _ := exampleReport()
	var out bytes.Buffer
	require.NoError(t, r.WriteText(&out))
	require.Equal(t, `Service-level burn at 2026-03-02 01:10Z, configuration 3, 2 nodes answered, 1 did not

nursery / orders: over budget; 99.9% within 500ms (rules.ini:40)
  window  calls  burn rate  burnt by
  5 min   0      -          -
  1 h     0      -          -
  6 h     6000   100.00     shed 600
  3 d     6000   100.00     shed 600
  100% of the bad calls in 6 h: shed, operation order-seedlings, availability zone rn-1 (600 calls)

maps / reloads: no objective; add an [objective maps] to the rules to measure it
  window  calls  burn rate  burnt by
  5 min   0      -          -
  1 h     1      -          failed 1
  6 h     1      -          failed 1
  3 d     1      -          failed 1
  100% of the bad calls in 1 h: failed, operation map, availability zone rn-2 (1 calls)

Protective states:
  2026-03-01 22:40Z to 2026-03-01 22:50Z  limit-lowered  nursery <1>  600 times on 1 nodes
  2026-03-02 00:40Z to 2026-03-02 00:40Z  quarantined    digest 9f3c  1 times on 1 nodes

Data (nodes keep nothing over a restart):
  5 min: 2 of 2 nodes have data for the whole window
  1 h: 1 of 2 nodes have data for the whole window
  6 h: 0 of 2 nodes have data for the whole window
  3 d: 0 of 2 nodes have data for the whole window
  10.0.2.1:9100  did not answer  connection refused
  10.0.1.1:9100  ce-1            since 2026-03-02 00:40Z, its clock differs by -1m0s
  10.0.0.1:9100  rn-1            since 2026-03-01 22:40Z
`, out.String())
	out.Reset()
	require.NoError(t, NewReport(Snapshot{}, startTime).WriteText(&out))
	require.Contains(t, out.String(), "No calls were counted.")
}

// Guards against an HTML report that needs the network or a script, that does not escape names, or that has wrong plots.
func TestHTMLReport(t *testing.T) {
	r, _ := exampleReport()
	var out bytes.Buffer
	require.NoError(t, r.WriteHTML(&out))
	text := out.String()
	for _, forbidden := range []string{"http", "<script", "src=", "@import", "url(", "<1>", "ZgotmplZ"} {
		require.NotContains(t, text, forbidden)
	}
	for _, needed := range []string{"prefers-color-scheme: dark", "nursery &lt;1&gt;", "nursery / orders: over budget",
		"100.00", "connection refused", "6 h: 0 of 2 nodes", "its clock differs by -1m0s"} {
		require.Contains(t, text, needed)
	}
	// In the plot of 6 h, 150 minutes before the end are columns 41 to 43 of 72. Each has full height, since every share equals
	// the top of the scale.
	require.Contains(t, text, `<path class="shed" d="M410 90.0h9v-90.0h-9zM420 90.0h9v-90.0h-9zM430 90.0h9v-90.0h-9z"/>`)
	require.Equal(t, 4, strings.Count(text, "<svg"), "6 h and 3 d for both rows")

	columns := [plotColumns]Counts{0: {50, 25, 25}}
	require.Equal(t, "M0 67.5h9v-22.5h-9z", pathData(columns, KindFailed, 1), "failed is on top of shed")
}

// Guards against a wrong merge if a node does not answer, returns a malformed answer, or answers at two addresses.
func TestMergeAnswers(t *testing.T) {
	_, recorder := exampleReport()
	s := recorder.Snapshot()
	got := MergeAnswers([]NodeAnswer{
		{Address: "10.0.0.1:7002", Snapshot: s},
		{Address: "10.0.0.2:7002", Err: errors.New("refused")},
		{Address: "10.0.0.3:7002"},
		{Address: "10.0.9.1:7002", Snapshot: s},
	})
	require.Len(t, got.Nodes, 1)
	require.Equal(t, "10.0.0.1:7002", got.Nodes[0].Address)
	require.Equal(t, []Missing{{"10.0.0.2:7002", "refused"},
		{"10.0.0.3:7002", "the answer is of 0 nodes instead of one: upgrade the older program"}}, got.Missing)
	require.Equal(t, s.Series, got.Series)
	require.Equal(t, "10.0.0.1:9100", s.Nodes[0].Address, "the answers must not change")
}
