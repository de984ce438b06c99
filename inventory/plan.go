package inventory

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Change is one difference between two configurations: Added, Removed or Changed.
type Change interface {
	change()
	// Of returns what the change is about.
	Of() Subject
	String() string
}

// Added means that the new configuration has a section that the old one lacks.
type Added struct {
	Subject  Subject
	Settings []Setting
}

// Removed means that the new configuration lacks a section of the old one.
type Removed struct {
	Subject  Subject
	Settings []Setting
}

// Changed means that a setting in force differs; a side that lacks it is the zero Setting.
type Changed struct {
	Subject  Subject
	Key      string
	Old, New Setting
}

func (Added) change()   {}
func (Removed) change() {}
func (Changed) change() {}

// Of returns what is added.
func (c Added) Of() Subject { return c.Subject }

// Of returns what is removed.
func (c Removed) Of() Subject { return c.Subject }

// Of returns what is changed.
func (c Changed) Of() Subject { return c.Subject }

// String returns the change on one line.
func (c Added) String() string {
	return fmt.Sprintf("+ %s%s (%s)", c.Subject.Section, values(c.Settings), c.Settings[0].Line)
}

// String returns the change on one line.
func (c Removed) String() string {
	return fmt.Sprintf("- %s%s (was %s)", c.Subject.Section, values(c.Settings), c.Settings[0].Line)
}

// String returns the change on one line.
func (c Changed) String() string {
	at := c.New.Line
	if at == (Line{}) {
		at = c.Old.Line
	}
	return fmt.Sprintf("~ %s %s: %s -> %s (%s)", c.Subject.Section, c.Key, valueOrNone(c.Old), valueOrNone(c.New), at)
}

func valueOrNone(s Setting) string {
	if s == (Setting{}) {
		return "none"
	}
	return s.Value
}

func values(settings []Setting) string {
	var words []string
	for _, s := range settings {
		if s.Key != "" {
			words = append(words, s.Key+" = "+s.Value)
		}
	}
	if len(words) == 0 {
		return ""
	}
	return ": " + strings.Join(words, ", ")
}

// Plan returns what the new configuration changes in force, with inherited settings at each place that they reach. First
// come the sections of no single service, by place, then each service, by place. A renamed section is a removed and an
// added one. The old configuration may be nil.
func Plan(old, next *Config) []Change {
	before, after := bySubject(old), bySubject(next)
	var subjects []Subject
	for sub := range before {
		subjects = append(subjects, sub)
	}
	for sub := range after {
		if _, ok := before[sub]; !ok {
			subjects = append(subjects, sub)
		}
	}
	slices.SortFunc(subjects, func(a, b Subject) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Place, b.Place), cmp.Compare(a.Section, b.Section))
	})
	var changes []Change
	for _, sub := range subjects {
		changes = append(changes, planSubject(sub, before[sub], after[sub])...)
	}
	return changes
}

func bySubject(c *Config) map[Subject][]Setting {
	settings := map[Subject][]Setting{}
	if c == nil {
		return settings
	}
	for _, s := range c.settings {
		settings[s.Subject] = append(settings[s.Subject], s)
	}
	return settings
}

func planSubject(sub Subject, old, next []Setting) []Change {
	switch {
	case len(old) == 0:
		return []Change{Added{Subject: sub, Settings: next}}
	case len(next) == 0:
		return []Change{Removed{Subject: sub, Settings: old}}
	}
	var changes []Change
	for _, s := range next {
		if before := find(old, s.Key); before.Value != s.Value || before == (Setting{}) {
			changes = append(changes, Changed{Subject: sub, Key: s.Key, Old: before, New: s})
		}
	}
	for _, s := range old {
		if find(next, s.Key) == (Setting{}) {
			changes = append(changes, Changed{Subject: sub, Key: s.Key, Old: s})
		}
	}
	return changes
}

func find(settings []Setting, key string) Setting {
	i := slices.IndexFunc(settings, func(s Setting) bool { return s.Key == key })
	if i < 0 {
		return Setting{}
	}
	return settings[i]
}
