package burn

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Window is a time window over which the burn rate is computed.
type Window struct {
	Name   string
	Length time.Duration
	// Hours selects hour buckets, for windows that exceed the retention of minute buckets.
	Hours bool
}

// Windows lists the windows of a report, shortest first. Each ends with the current, incomplete bucket, so a window can be
// up to one bucket shorter than its length.
var Windows = [...]Window{
	{"5 min", 5 * time.Minute, false},
	{"1 h", time.Hour, false},
	{"6 h", 6 * time.Hour, false},
	{"3 d", 3 * 24 * time.Hour, true},
}

const (
	// fastBurnRate spends 2% of the error budget of 30 days in 1 hour.
	fastBurnRate = 14.4
	// steadyBurnRate spends 5% of the error budget of 30 days in 6 hours.
	steadyBurnRate = 6
	// budgetBurnRate spends exactly the error budget.
	budgetBurnRate = 1
)

// Status summarizes the burn rates of a row.
type Status string

const (
	// StatusFastBurn means that the burn rate is at least fastBurnRate over both 5 minutes and 1 hour.
	StatusFastBurn Status = "burning fast"
	// StatusSteadyBurn means that the burn rate is at least steadyBurnRate over both 1 hour and 6 hours.
	StatusSteadyBurn Status = "burning steadily"
	// StatusOverBudget means that the burn rate is above budgetBurnRate over both 6 hours and 3 days.
	StatusOverBudget Status = "over budget"
	// StatusWithinBudget means that none of the burn rates exceeds its threshold in both of its windows.
	StatusWithinBudget Status = "within budget"
	// StatusNoObjective means that the rules have no objective for the service.
	StatusNoObjective Status = "no objective"
	// StatusNoCalls means that no calls were counted in the windows of 6 hours and 3 days.
	StatusNoCalls Status = "no calls"
)

// statuses lists the statuses in the order of the rows of a report.
var statuses = []Status{StatusFastBurn, StatusSteadyBurn, StatusOverBudget, StatusNoObjective, StatusWithinBudget, StatusNoCalls}

// WindowBurn holds the counts and the burn rate of one window.
type WindowBurn struct {
	Counts Counts
	// Rate is the share of bad calls divided by the share that the objective allows; 1 spends exactly the error budget.
	// It is infinite if the objective allows no bad calls and there is one.
	Rate float64
}

// Cause is a group of bad calls of a row with the same kind, availability zone and operation.
type Cause struct {
	Kind             Kind
	AvailabilityZone string
	Operation        string
	Calls            int64
	// Share is the fraction, from 0 to 1, of all bad calls in the window.
	Share float64
}

// Row holds the burn rates of one class of a service.
type Row struct {
	Service, Class string
	Objective      Objective
	HasObjective   bool
	Status         Status
	Burns          [len(Windows)]WindowBurn
	// Causes lists the largest causes in CausesWindow, which is the shortest window of at least 1 h with bad calls.
	Causes         []Cause
	CausesWindow   Window
	Minutes, Hours Buckets
}

// EventGroup combines the events of all nodes that have the same kind and subject and begin in the same hour.
type EventGroup struct {
	Kind     EventKind
	Subject  string
	From, To time.Time
	Nodes    int
	Count    int64
}

// Report holds the burn rates of all services, the protective states and the nodes that the data comes from.
type Report struct {
	At          time.Time
	Rows        []Row
	EventGroups []EventGroup
	EventsLost  int64
	Nodes       []Node
	Missing     []Missing
	// NodesWithFullData is, for each window, the number of nodes that have data for all of it.
	NodesWithFullData [len(Windows)]int
	Version           uint64
	Seconds           Buckets
}

// maxCauses is the maximum number of causes listed for a row.
const maxCauses = 5

// Rate returns the burn rate of the counts: the share of bad calls divided by the share that the objective allows.
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

// NewReport computes the report at the given time from the merged snapshots of all nodes.
func NewReport(s Snapshot, at time.Time) Report {
	s = Merge(s)
	r := Report{At: at.UTC(), EventGroups: groupEvents(s.Events), EventsLost: s.EventsLost, Nodes: s.Nodes, Missing: s.Missing,
		Version: s.Objectives.Version, Seconds: s.Seconds}
	for i, w := range Windows {
		for _, n := range s.Nodes {
			if !n.Since.After(at.Add(-w.Length)) {
				r.NodesWithFullData[i]++
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
		return cmp.Compare(slices.Index(statuses, a.Status), slices.Index(statuses, b.Status))
	})
	return r
}

// newRow computes the row of one service and class from all its series.
func newRow(series []Series, objectives Objectives, at time.Time) Row {
	row := Row{Service: series[0].Service, Class: series[0].Class}
	row.Objective, row.HasObjective = objectives.ForService(row.Service)
	for _, s := range series {
		row.Minutes, row.Hours = row.Minutes.Plus(s.Minutes), row.Hours.Plus(s.Hours)
	}
	for i, w := range Windows {
		c := w.sum(row.Minutes, row.Hours, at)
		row.Burns[i].Counts = c
		if row.HasObjective {
			row.Burns[i].Rate = Rate(c, row.Objective.Answered)
		}
	}
	row.Status = rowStatus(row)
	for _, w := range Windows[1:] {
		if row.Causes = largestCauses(series, w, at); len(row.Causes) > 0 {
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

// rowStatus requires that a short and a long window both exceed a burn rate: the long one filters out short spikes, and the
// short one resets the status soon after its cause ends.
func rowStatus(r Row) Status {
	b := r.Burns
	switch {
	case b[2].Counts.Total()+b[3].Counts.Total() == 0:
		return StatusNoCalls
	case !r.HasObjective:
		return StatusNoObjective
	case min(b[0].Rate, b[1].Rate) >= fastBurnRate:
		return StatusFastBurn
	case min(b[1].Rate, b[2].Rate) >= steadyBurnRate:
		return StatusSteadyBurn
	case min(b[2].Rate, b[3].Rate) > budgetBurnRate:
		return StatusOverBudget
	default:
		return StatusWithinBudget
	}
}

func largestCauses(series []Series, w Window, at time.Time) []Cause {
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

// groupEvents combines the events of many nodes, since one cause can lower the limits of a service on all of them.
func groupEvents(events []Event) []EventGroup {
	type key struct {
		kind    EventKind
		subject string
		hour    int64
	}
	groups, nodes := map[key]*EventGroup{}, map[key]map[string]bool{}
	var order []key
	for _, e := range events {
		k := key{e.Kind, e.Subject, hourOf(e.From)}
		g := groups[k]
		if g == nil {
			g = &EventGroup{Kind: e.Kind, Subject: e.Subject, From: e.From, To: e.To}
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
	all := make([]EventGroup, len(order))
	for i, k := range order {
		all[i] = *groups[k]
	}
	return all
}

// RateText formats the burn rate of window i with two decimals, or as a dash if there is no objective or no calls.
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

// BadCallsByKind formats the number of bad calls of each kind.
func (b WindowBurn) BadCallsByKind() string {
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

// ObjectiveText formats the objective with the line that sets it, or explains how to add one.
func (r Row) ObjectiveText() string {
	if !r.HasObjective {
		return "add an [objective " + r.Service + "] to the rules to measure it"
	}
	o := r.Objective
	return fmt.Sprintf("%.6g%% within %s (%s)", 100*o.Answered, o.Within, o.Line)
}
