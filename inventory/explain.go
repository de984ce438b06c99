package inventory

import (
	"strings"

	"lovagelane/inifile"
)

// Source is the origin of a setting's value.
type Source string

const (
	// SourceStated means that the section itself sets the value.
	SourceStated Source = "stated"
	// SourceInherited means that the value comes from another section, such as that of the service or of the class.
	SourceInherited Source = "inherited"
	// SourceDefault means that no line sets the value; Line is the header of the section that lacks the setting.
	SourceDefault Source = "default"
)

// Subject identifies the section, service and place that a setting applies to.
type Subject struct {
	// Section is the header of the section, as in "backend-servers nursery rn-1".
	Section string `json:"section"`
	// Service is empty if the section does not belong to a single service.
	Service string `json:"service,omitempty"`
	// Place is an availability zone or a region, or empty if the section is not specific to a place.
	Place string `json:"place,omitempty"`
}

// Setting is an effective setting with the line that it came from.
type Setting struct {
	Subject Subject `json:"subject"`
	// Key is empty for the entry of the section header.
	Key string `json:"key,omitempty"`
	// Value is in canonical form, so that 1000ms and 1s compare equal.
	Value  string `json:"value,omitempty"`
	Line   Line   `json:"at"`
	Source Source `json:"source"`
}

// Name returns the section and the key, as in "service nursery timeout".
func (s Setting) Name() string { return strings.TrimSpace(s.Subject.Section + " " + s.Key) }

// Explain returns the settings whose name equals the given one or begins with its words. Words are separated by spaces or
// dots, as in "service nursery timeout" or "service.nursery". The empty name selects all settings.
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

func (b *builder) recordSection(sub Subject, s inifile.Section) {
	b.recordSetting(sub, "", "", s.Line, SourceStated)
}

// recordKey records a key if the section sets it.
func (b *builder) recordKey(sub Subject, s inifile.Section, key, value string) {
	if _, ok := s.Value(key); ok {
		b.recordSetting(sub, key, value, s.LineOf(key), SourceStated)
	}
}

func (b *builder) recordSetting(sub Subject, key, value string, at Line, source Source) {
	b.settings = append(b.settings, Setting{Subject: sub, Key: key, Value: value, Line: at, Source: source})
}
