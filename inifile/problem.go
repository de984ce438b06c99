package inifile

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Line is the file and line number of a setting.
type Line struct {
	File   string `json:"file"`
	Number int    `json:"line"`
}

// String returns the file and the line, as in rules.ini:14.
func (l Line) String() string { return fmt.Sprintf("%s:%d", l.File, l.Number) }

// Problem is a mistake in a file, with its line and the remedy.
type Problem struct {
	Line   Line   `json:"at"`
	What   string `json:"what"`
	Remedy string `json:"remedy"`
}

// Error returns the file, the line number, the mistake and the remedy, as in rules.ini:14: mistake: remedy.
func (p Problem) Error() string { return fmt.Sprintf("%s: %s: %s", p.Line, p.What, p.Remedy) }

// Problems lists all mistakes that were found.
type Problems []Problem

// Error returns the problems, one on each line.
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

// Sort sorts the problems by file, in the order of files, and then by line number; it is stable.
func (p Problems) Sort(files ...string) {
	slices.SortStableFunc(p, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(slices.Index(files, a.Line.File), slices.Index(files, b.Line.File)),
			cmp.Compare(a.Line.Number, b.Line.Number))
	})
}
