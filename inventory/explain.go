package inventory

import (
	"strings"

	"lovagelane/setting"
)

// Source says how a setting came about.
type Source string

const (
	// SourceStated means that the setting is written on its line.
	SourceStated Source = "stated"
	// SourceInherited means that the setting is written on its line for a wider section.
	SourceInherited Source = "inherited"
	// SourceDefault means that nothing is written; the line is the section that lacks the setting.
	SourceDefault Source = "default"
)

// Subject is what a setting belongs to.
type Subject struct {
	// Section is the header of the section, as in "backend-servers nursery rn-1".
	Section string `json:"section"`
	// Service is empty for what belongs to no single service.
	Service string `json:"service,omitempty"`
	// Place is an availability zone or a region, or empty for what is not of one place.
	Place string `json:"place,omitempty"`
}

// Setting is one setting in force with the line that it came from.
type Setting struct {
	Subject Subject `json:"subject"`
	// Key is empty for the section itself.
	Key string `json:"key,omitempty"`
	// Value is in a normal form, so that 1000ms and 1s are the same.
	Value  string `json:"value,omitempty"`
	Line   Line   `json:"at"`
	Source Source `json:"source"`
}

// Name returns the section and the key, as in "service nursery timeout".
func (s Setting) Name() string { return strings.TrimSpace(s.Subject.Section + " " + s.Key) }

// Explain returns the settings whose name is the given one or begins with its words; words may be separated by spaces or
// dots, as in "service nursery timeout" or "service.nursery". The empty name stands for all settings.
func (c *Config) Explain(name string) []Setting {
	words := strings.Join(strings.FieldsFunc(name, func(r rune) bool { return r == ' ' || r == '.' }), " ")
	var found []Setting
	for _, s := range c.settings {
		if words == "" || strings.HasPrefix(s.Name()+" ", words+" ") {
			found = append(found, s)
		}
	}
	return found
}

func (b *builder) note(sub Subject, s setting.Section) {
	b.noteFrom(sub, "", "", s.Line, SourceStated)
}

// noteKey records a key that the section states.
func (b *builder) noteKey(sub Subject, s setting.Section, key, value string) {
	if _, ok := s.Value(key); ok {
		b.noteFrom(sub, key, value, s.LineOf(key), SourceStated)
	}
}

func (b *builder) noteFrom(sub Subject, key, value string, at Line, source Source) {
	b.settings = append(b.settings, Setting{Subject: sub, Key: key, Value: value, Line: at, Source: source})
}
