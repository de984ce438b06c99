package setting

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Line is the place in a file that a setting came from.
type Line struct {
	File   string `json:"file"`
	Number int    `json:"line"`
}

// String returns the file and the line, as in rules.ini:14.
func (l Line) String() string { return fmt.Sprintf("%s:%d", l.File, l.Number) }

// Problem is a mistake in the files, with its place and the remedy.
type Problem struct {
	Line   Line   `json:"at"`
	What   string `json:"what"`
	Remedy string `json:"remedy"`
}

// Error returns the place, the mistake and the remedy on one line.
func (p Problem) Error() string { return fmt.Sprintf("%s: %s: %s", p.Line, p.What, p.Remedy) }

// Problems is every mistake found in a run.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// Add appends a problem.
func (p *Problems) Add(at Line, what, remedy string) {
	*p = append(*p, Problem{Line: at, What: what, Remedy: remedy})
}

// Sort orders the problems by file, in the order of files, and by line.
func (p Problems) Sort(files ...string) {
	slices.SortStableFunc(p, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(slices.Index(files, a.Line.File), slices.Index(files, b.Line.File)),
			cmp.Compare(a.Line.Number, b.Line.Number))
	})
}
