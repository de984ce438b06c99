package routing

import (
	"fmt"
	"strings"
)

// Kind is the kind of an entry of a configuration.
type Kind string

// The kinds of entries.
const (
	KindVersion Kind = "version"
	KindRoute   Kind = "route"
	KindService Kind = "service"
	KindAccount Kind = "account"
	KindLimits  Kind = "limits"
)

// Field is a field of an entry.
type Field string

// The fields of routes, services, accounts and limits.
const (
	FieldName           Field = "name"
	FieldHost           Field = "host"
	FieldPrefix         Field = "prefix"
	FieldIdempotent     Field = "idempotent"
	FieldTimeout        Field = "timeout"
	FieldObjective      Field = "objective"
	FieldRank           Field = "rank"
	FieldMaxAttempts    Field = "max-attempts"
	FieldPublic         Field = "public"
	FieldTargets        Field = "targets"
	FieldMaxConnections Field = "max-connections"
	FieldKeys           Field = "keys"
	FieldRate           Field = "rate"
	FieldBurst          Field = "burst"
	FieldBodyBytes      Field = "body-bytes"
	FieldHeaderBytes    Field = "header-bytes"
	FieldHeaderTimeout  Field = "header-timeout"
	FieldIdleTimeout    Field = "idle-timeout"
)

// Place is an entry of a configuration, or a field of it.
type Place struct {
	Kind Kind
	// Index is the position of the entry among those of its kind.
	Index int
	Name  string
	Field Field
	// Line and Column are the position in text that can't be parsed, from 1, or 0.
	Line, Column int
}

// WithField returns the place of a field of the same entry.
func (p Place) WithField(f Field) Place {
	p.Field = f
	return p
}

// Problem is a mistake in a configuration, with its place and the remedy.
type Problem struct {
	Place        Place
	What, Remedy string
}

// Error returns the mistake and the remedy, and the position of text that can't be parsed.
func (p Problem) Error() string {
	text := p.What + ": " + p.Remedy
	if p.Place.Line > 0 {
		text = fmt.Sprintf("line %d, column %d: %s", p.Place.Line, p.Place.Column, text)
	}
	return text
}

// Problems lists all mistakes that were found in a configuration.
type Problems []Problem

// Add appends a problem.
func (p *Problems) Add(at Place, what, remedy string) {
	*p = append(*p, Problem{Place: at, What: what, Remedy: remedy})
}

// Error returns the problems on one line.
func (p Problems) Error() string {
	texts := make([]string, len(p))
	for i, problem := range p {
		texts[i] = problem.Error()
	}
	return strings.Join(texts, "; ")
}
