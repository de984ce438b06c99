package inventory

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Change is one difference between two configurations: Added, Removed or Changed.
type Change interface {
	isChange()
	// Of returns the subject of the change.
	Of() Subject
	String() string
}

// Added is a section that only the new configuration has.
type Added struct {
	Subject  Subject
	Settings []Setting
}

// Removed is a section that only the old configuration has.
type Removed struct {
	Subject  Subject
	Settings []Setting
}

// Changed is a setting whose effective value differs. Old or New is the zero Setting if that configuration lacks it.
type Changed struct {
	Subject  Subject
	Key      string
	Old, New Setting
}

func (Added) isChange()   {}
func (Removed) isChange() {}
func (Changed) isChange() {}

// Of returns the added subject.
func (c Added) Of() Subject { return c.Subject }

// Of returns the removed subject.
func (c Removed) Of() Subject { return c.Subject }

// Of returns the subject of the changed setting.
func (c Changed) Of() Subject { return c.Subject }

// String formats the change on one line.
func (c Added) String() string {
	return fmt.Sprintf("+ %s%s (%s)", c.Subject.Section, formatValues(c.Settings), c.Settings[0].Line)
}

// String formats the change on one line.
func (c Removed) String() string {
	return fmt.Sprintf("- %s%s (was %s)", c.Subject.Section, formatValues(c.Settings), c.Settings[0].Line)
}

// String formats the change on one line.
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

func formatValues(settings []Setting) string {
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

// Plan returns the changes of effective settings from the old configuration to the new one. A change of an inherited
// setting is listed for each place that inherits it. Changes are sorted by service and then by place; sections that belong
// to no single service come first. A renamed section appears as one removed and one added section. The old configuration
// may be nil.
func Plan(old, next *Config) []Change {
	before, after := settingsBySubject(old), settingsBySubject(next)
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
		changes = append(changes, diffSubject(sub, before[sub], after[sub])...)
	}
	return changes
}

func settingsBySubject(c *Config) map[Subject][]Setting {
	settings := map[Subject][]Setting{}
	if c == nil {
		return settings
	}
	for _, s := range c.settings {
		settings[s.Subject] = append(settings[s.Subject], s)
	}
	return settings
}

func diffSubject(sub Subject, old, next []Setting) []Change {
	switch {
	case len(old) == 0:
		return []Change{Added{Subject: sub, Settings: next}}
	case len(next) == 0:
		return []Change{Removed{Subject: sub, Settings: old}}
	}
	var changes []Change
	for _, s := range next {
		if before := findSetting(old, s.Key); before.Value != s.Value || before == (Setting{}) {
			changes = append(changes, Changed{Subject: sub, Key: s.Key, Old: before, New: s})
		}
	}
	for _, s := range old {
		if findSetting(next, s.Key) == (Setting{}) {
			changes = append(changes, Changed{Subject: sub, Key: s.Key, Old: s})
		}
	}
	return changes
}

func findSetting(settings []Setting, key string) Setting {
	i := slices.IndexFunc(settings, func(s Setting) bool { return s.Key == key })
	if i < 0 {
		return Setting{}
	}
	return settings[i]
}
