package burn

import (
	"bytes"
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

const reportTime = "2006-01-02 15:04Z"

// WriteText writes the report as plain text.
func (r Report) WriteText(w io.Writer) error {
	var out bytes.Buffer
	fmt.Fprintf(&out, "Service-level burn at %s, configuration %d, %d nodes answered, %d did not\n\n",
		r.At.Format(reportTime), r.Version, len(r.Nodes), len(r.Missing))
	for _, row := range r.Rows {
		row.writeText(&out)
	}
	if len(r.Rows) == 0 {
		fmt.Fprint(&out, "No calls were counted.\n\n")
	}
	r.writeEvents(&out)
	r.writeNodes(&out)
	_, err := w.Write(out.Bytes())
	return err
}

func (r Row) writeText(out io.Writer) {
	fmt.Fprintf(out, "%s / %s: %s; %s\n", r.Service, r.Class, r.Status, r.ObjectiveText())
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "  window\tcalls\tburn rate\tburnt by")
	for i, b := range r.Burns {
		fmt.Fprintf(t, "  %s\t%d\t%s\t%s\n", Windows[i].Name, b.Counts.Total(), r.RateText(i), b.BadCallsByKind())
	}
	_ = t.Flush()
	for _, c := range r.Causes {
		fmt.Fprintf(out, "  %s\n", c.text(r.CausesWindow))
	}
	fmt.Fprintln(out)
}

func (c Cause) text(w Window) string {
	return fmt.Sprintf("%.0f%% of the bad calls in %s: %s, operation %s, availability zone %s (%d calls)",
		100*c.Share, w.Name, c.Kind, c.Operation, c.AvailabilityZone, c.Calls)
}

func (r Report) writeEvents(out io.Writer) {
	fmt.Fprintln(out, "Protective states:")
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, g := range r.EventGroups {
		fmt.Fprintf(t, "  %s\t%s\t%s\t%s\n", g.Span(), g.Kind, g.Subject, g.Occurrences())
	}
	_ = t.Flush()
	if len(r.EventGroups) == 0 {
		fmt.Fprintln(out, "  none")
	}
	if r.EventsLost > 0 {
		fmt.Fprintf(out, "  %d older ones did not fit into the nodes' memory\n", r.EventsLost)
	}
	fmt.Fprintln(out)
}

// Span formats the times at which the state was first and last entered.
func (g EventGroup) Span() string {
	return g.From.Format(reportTime) + " to " + g.To.Format(reportTime)
}

// Occurrences formats how often the state was entered and on how many nodes.
func (g EventGroup) Occurrences() string {
	return fmt.Sprintf("%d times on %d nodes", g.Count, g.Nodes)
}

func (r Report) writeNodes(out io.Writer) {
	fmt.Fprintln(out, "Data (nodes keep nothing over a restart):")
	for i, w := range Windows {
		fmt.Fprintf(out, "  %s: %d of %d nodes have data for the whole window\n", w.Name, r.NodesWithFullData[i], len(r.Nodes))
	}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, m := range r.Missing {
		fmt.Fprintf(t, "  %s\tdid not answer\t%s\n", m.Address, m.Problem)
	}
	for _, n := range r.Nodes {
		fmt.Fprintf(t, "  %s\t%s\tsince %s%s\n", n.Address, n.AvailabilityZone, n.Since.Format(reportTime), r.ClockSkewNote(n))
	}
	_ = t.Flush()
}

// maxClockSkew is the clock difference above which a node is reported, since its calls are counted in the wrong minutes.
const maxClockSkew = 30 * time.Second

// ClockSkewNote returns a warning if the clock of a node differs from that of the report, or "".
func (r Report) ClockSkewNote(n Node) string {
	if d := n.SnapshotTime.Sub(r.At); d.Abs() > maxClockSkew && !n.SnapshotTime.IsZero() {
		return fmt.Sprintf(", its clock differs by %s", d.Round(time.Second))
	}
	return ""
}
