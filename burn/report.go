package burn

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Window is a span that burn is reported over.
type Window struct {
	Name   string
	Length time.Duration
	// Hours says that hour buckets are used, since minute buckets do not reach that far.
	Hours bool
}

// Windows are those of a report, the shortest first. Each ends with the bucket under way, so the oldest part of up to
// one bucket is missing.
var Windows = [...]Window{
	{"5 min", 5 * time.Minute, false},
	{"1 h", time.Hour, false},
	{"6 h", 6 * time.Hour, false},
	{"3 d", 3 * 24 * time.Hour, true},
}

const (
	// fastRate spends 2% of a 30 day budget in an hour.
	fastRate = 14.4
	// steadyRate spends 5% of a 30 day budget in 6 hours.
	steadyRate = 6
	// slowRate spends exactly the budget.
	slowRate = 1
)

// Verdict sums up a row.
type Verdict string

const (
	// VerdictFast means that the budget burns fast now and has for an hour.
	VerdictFast Verdict = "burning fast"
	// VerdictSteady means that the budget has burnt steadily for hours.
	VerdictSteady Verdict = "burning steadily"
	// VerdictSlow means that more than the budget is spent over days.
	VerdictSlow Verdict = "over budget"
	// VerdictWithin means that the objective is met.
	VerdictWithin Verdict = "within budget"
	// VerdictNoObjective means that the rules state no objective for the service.
	VerdictNoObjective Verdict = "no objective"
	// VerdictNoCalls means that nothing was counted.
	VerdictNoCalls Verdict = "no calls"
)

// verdicts are in the order of their rows in a report.
var verdicts = []Verdict{VerdictFast, VerdictSteady, VerdictSlow, VerdictNoObjective, VerdictWithin, VerdictNoCalls}

// Burn is what happened in one window.
type Burn struct {
	Counts Counts
	// Rate is the bad share divided by the share that the objective allows; 1 spends exactly the budget. It is
	// infinite when the objective allows no bad call and there was one.
	Rate float64
}

// Cause is one share of the bad calls of a row.
type Cause struct {
	Kind             Kind
	AvailabilityZone string
	Operation        string
	Calls            int64
	// Share is the part of all bad calls in the window.
	Share float64
}

// Row is the burn of one class of a service.
type Row struct {
	Service, Class string
	Objective      Objective
	HasObjective   bool
	Verdict        Verdict
	Burns          [len(Windows)]Burn
	// Causes are the largest shares of the bad calls in CausesWindow, the shortest window from 1 h up that has any.
	Causes         []Cause
	CausesWindow   Window
	Minutes, Hours Buckets
}

// Group is one protective state in one hour over all nodes.
type Group struct {
	Kind     EventKind
	Subject  string
	From, To time.Time
	Nodes    int
	Count    int64
}

// Report is the burn of all services.
type Report struct {
	At         time.Time
	Rows       []Row
	Groups     []Group
	EventsLost int64
	Nodes      []Node
	Missing    []Missing
	// Whole is the number of nodes that have data for the whole of each window.
	Whole   [len(Windows)]int
	Version uint64
	Seconds Buckets
}

// maxCauses is the number of causes listed for a row.
const maxCauses = 5

// Rate returns how many times faster than allowed the counts spend the budget of an objective.
func Rate(c Counts, answered float64) float64 {
	if c.Bad() == 0 {
		return 0
	}
	allowed := 1 - answered
	if allowed <= 0 {
		return math.Inf(1)
	}
	return float64(c.Bad()) / float64(c.Total()) / allowed
}

// NewReport computes the burn at a time from the counts of all nodes.
func NewReport(s Snapshot, at time.Time) Report {
	s = Merge(s)
	r := Report{At: at.UTC(), Groups: group(s.Events), EventsLost: s.EventsLost, Nodes: s.Nodes, Missing: s.Missing,
		Version: s.Objectives.Version, Seconds: s.Seconds}
	for i, w := range Windows {
		for _, n := range s.Nodes {
			if !n.Since.After(at.Add(-w.Length)) {
				r.Whole[i]++
			}
		}
	}
	for rest := s.Series; len(rest) > 0; {
		n := 1
		for n < len(rest) && rest[n].Service == rest[0].Service && rest[n].Class == rest[0].Class {
			n++
		}
		r.Rows = append(r.Rows, newRow(rest[:n], s.Objectives, at))
		rest = rest[n:]
	}
	slices.SortStableFunc(r.Rows, func(a, b Row) int {
		return cmp.Compare(slices.Index(verdicts, a.Verdict), slices.Index(verdicts, b.Verdict))
	})
	return r
}

// newRow takes the series of one service and class.
func newRow(series []Series, objectives Objectives, at time.Time) Row {
	row := Row{Service: series[0].Service, Class: series[0].Class}
	row.Objective, row.HasObjective = objectives.Of(row.Service)
	for _, s := range series {
		row.Minutes, row.Hours = row.Minutes.With(s.Minutes), row.Hours.With(s.Hours)
	}
	for i, w := range Windows {
		c := w.sum(row.Minutes, row.Hours, at)
		row.Burns[i].Counts = c
		if row.HasObjective {
			row.Burns[i].Rate = Rate(c, row.Objective.Answered)
		}
	}
	row.Verdict = verdict(row)
	for _, w := range Windows[1:] {
		if row.Causes = causes(series, w, at); len(row.Causes) > 0 {
			row.CausesWindow = w
			break
		}
	}
	return row
}

func (w Window) sum(minutes, hours Buckets, at time.Time) Counts {
	if w.Hours {
		return hours.Sum(hourOf(at), int64(w.Length/time.Hour))
	}
	return minutes.Sum(minuteOf(at), int64(w.Length/time.Minute))
}

// verdict needs a short and a long window over the same rate: the long one so that a moment does not count, the short
// one so that the verdict ends soon after its cause.
func verdict(r Row) Verdict {
	b := r.Burns
	switch {
	case b[2].Counts.Total()+b[3].Counts.Total() == 0:
		return VerdictNoCalls
	case !r.HasObjective:
		return VerdictNoObjective
	case min(b[0].Rate, b[1].Rate) >= fastRate:
		return VerdictFast
	case min(b[1].Rate, b[2].Rate) >= steadyRate:
		return VerdictSteady
	case min(b[2].Rate, b[3].Rate) > slowRate:
		return VerdictSlow
	default:
		return VerdictWithin
	}
}

func causes(series []Series, w Window, at time.Time) []Cause {
	var all []Cause
	var bad int64
	for _, s := range series {
		c := w.sum(s.Minutes, s.Hours, at)
		bad += c.Bad()
		for _, k := range BadKinds {
			if c[k] > 0 {
				all = append(all, Cause{Kind: k, AvailabilityZone: s.AvailabilityZone, Operation: s.Operation, Calls: c[k]})
			}
		}
	}
	slices.SortStableFunc(all, func(a, b Cause) int { return cmp.Compare(b.Calls, a.Calls) })
	for i := range all {
		all[i].Share = float64(all[i].Calls) / float64(bad)
	}
	return all[:min(len(all), maxCauses)]
}

// group joins the events of many nodes, since one cause lowers the limits of a whole service.
func group(events []Event) []Group {
	type key struct {
		kind    EventKind
		subject string
		hour    int64
	}
	groups, nodes := map[key]*Group{}, map[key]map[string]bool{}
	var order []key
	for _, e := range events {
		k := key{e.Kind, e.Subject, hourOf(e.From)}
		g := groups[k]
		if g == nil {
			g = &Group{Kind: e.Kind, Subject: e.Subject, From: e.From, To: e.To}
			groups[k], nodes[k] = g, map[string]bool{}
			order = append(order, k)
		}
		if e.To.After(g.To) {
			g.To = e.To
		}
		nodes[k][e.Node] = true
		g.Nodes = len(nodes[k])
		g.Count += e.Count
	}
	all := make([]Group, len(order))
	for i, k := range order {
		all[i] = *groups[k]
	}
	return all
}

// RateText returns the rate with two digits, or a dash without an objective or calls.
func (r Row) RateText(i int) string {
	b := r.Burns[i]
	switch {
	case !r.HasObjective || b.Counts.Total() == 0:
		return "-"
	case math.IsInf(b.Rate, 1):
		return "no budget"
	default:
		return fmt.Sprintf("%.2f", b.Rate)
	}
}

// BurntBy returns the bad calls of a window by kind.
func (b Burn) BurntBy() string {
	var parts []string
	for _, k := range BadKinds {
		if n := b.Counts[k]; n > 0 {
			parts = append(parts, fmt.Sprintf("%s %d", k, n))
		}
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, ", ")
}

// ObjectiveText returns the objective with the line that states it, or how to state one.
func (r Row) ObjectiveText() string {
	if !r.HasObjective {
		return "add an [objective " + r.Service + "] to the rules to measure it"
	}
	o := r.Objective
	return fmt.Sprintf("%.6g%% within %s (%s)", 100*o.Answered, o.Within, o.Line)
}
