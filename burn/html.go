package burn

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"strings"
	"time"
)

//go:embed report.html
var templateText string

var reportTemplate = template.Must(template.New("report").Parse(templateText))

const (
	plotWidth  = 720
	plotHeight = 90
	// plotColumns fits 3 days in columns of 1 hour, 6 hours in columns of 5 minutes, and 288 seconds in columns of 4 seconds.
	plotColumns = 72
	// minTopShare is the smallest upper end of the scale, so that a few bad calls among many do not fill a plot.
	minTopShare = 0.01
)

// plot is a stacked chart of the share of bad calls over time, by kind.
type plot struct {
	Title         string
	Width, Height int
	Top           string
	Paths         []plotPath
}

type plotPath struct{ Kind, D string }

type pageRow struct {
	Row
	Cells  []pageCell
	Causes []string
	Plots  []plot
}

type pageCell struct {
	Window, Rate, BadCallsByKind string
	Calls                        int64
}

// WriteHTML writes the report as a self-contained HTML page without scripts.
func (r Report) WriteHTML(w io.Writer) error {
	data := struct {
		Report
		Time    string
		Rows    []pageRow
		Recent  []plot
		Windows []Window
	}{Report: r, Time: r.At.Format(reportTime), Windows: Windows[:]}
	if hasBadCalls(r.Seconds) {
		data.Recent = []plot{newPlot("all services, 5 min", r.Seconds, r.At.Unix(), 4)}
	}
	for _, row := range r.Rows {
		data.Rows = append(data.Rows, newPageRow(row, r.At))
	}
	var out bytes.Buffer
	if err := reportTemplate.Execute(&out, data); err != nil {
		return err
	}
	_, err := w.Write(out.Bytes())
	return err
}

func newPageRow(row Row, at time.Time) pageRow {
	p := pageRow{Row: row}
	for i, b := range row.Burns {
		p.Cells = append(p.Cells, pageCell{Windows[i].Name, row.RateText(i), b.BadCallsByKind(), b.Counts.Total()})
	}
	for _, c := range row.Causes {
		p.Causes = append(p.Causes, c.text(row.CausesWindow))
	}
	if hasBadCalls(row.Minutes) {
		p.Plots = append(p.Plots, newPlot("6 h", row.Minutes, minuteOf(at), 5))
	}
	if hasBadCalls(row.Hours) {
		p.Plots = append(p.Plots, newPlot("3 d", row.Hours, hourOf(at), 1))
	}
	return p
}

func hasBadCalls(b Buckets) bool {
	for _, bucket := range b {
		if bucket.Counts.Bad() > 0 {
			return true
		}
	}
	return false
}

// newPlot creates a plot with perColumn buckets in each column; the last column ends with the bucket of index last.
func newPlot(title string, b Buckets, last, perColumn int64) plot {
	var columns [plotColumns]Counts
	top := minTopShare
	for _, bucket := range b {
		if age := (last - bucket.Index) / perColumn; bucket.Index <= last && age < plotColumns {
			i := plotColumns - 1 - age
			columns[i] = columns[i].Plus(bucket.Counts)
		}
	}
	for _, c := range columns {
		if c.Total() > 0 {
			top = max(top, float64(c.Bad())/float64(c.Total()))
		}
	}
	p := plot{Title: title, Width: plotWidth, Height: plotHeight, Top: fmt.Sprintf("%.3g%%", 100*top)}
	for _, k := range BadKinds {
		if d := pathData(columns, k, top); d != "" {
			p.Paths = append(p.Paths, plotPath{k.String(), d})
		}
	}
	return p
}

// pathData returns the SVG path data of one kind, stacked on top of the preceding kinds.
func pathData(columns [plotColumns]Counts, kind Kind, top float64) string {
	const width = plotWidth / plotColumns
	var d strings.Builder
	for i, c := range columns {
		if c[kind] == 0 {
			continue
		}
		var below int64
		for k := KindShed; k < kind; k++ {
			below += c[k]
		}
		scale := plotHeight / top / float64(c.Total())
		fmt.Fprintf(&d, "M%d %.1fh%dv-%.1fh-%dz", i*width, plotHeight-float64(below)*scale, width-1,
			float64(c[kind])*scale, width-1)
	}
	return d.String()
}
