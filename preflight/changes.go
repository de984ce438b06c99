package preflight

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"lovagelane/kernel"
	"lovagelane/routing"
)

// Subject is the entry that a change is about.
type Subject struct {
	Kind routing.Kind `json:"kind"`
	Name string       `json:"name,omitempty"`
}

// String returns the kind and the name.
func (s Subject) String() string { return strings.TrimSpace(string(s.Kind) + " " + s.Name) }

// Setting is a field of an entry with its value as text.
type Setting struct {
	Key   routing.Field `json:"key"`
	Value string        `json:"value"`
}

// Change is one difference between two configurations: Added, Removed, Changed or KeysChanged.
type Change interface {
	isChange()
	// Of returns the subject of the change.
	Of() Subject
	String() string
}

// Added is an entry that only the new configuration has.
type Added struct {
	Subject  Subject
	Settings []Setting
}

// Removed is an entry that only the old configuration has.
type Removed struct {
	Subject  Subject
	Settings []Setting
}

// Changed is a field whose value differs; Old or New is empty if that configuration does not set it.
type Changed struct {
	Subject  Subject
	Key      routing.Field
	Old, New string
}

// KeysChanged counts the keys of an account that were added and withdrawn; the keys themselves stay secret.
type KeysChanged struct {
	Subject          Subject
	Added, Withdrawn int
}

func (Added) isChange()       {}
func (Removed) isChange()     {}
func (Changed) isChange()     {}
func (KeysChanged) isChange() {}

// Of returns the added subject.
func (c Added) Of() Subject { return c.Subject }

// Of returns the removed subject.
func (c Removed) Of() Subject { return c.Subject }

// Of returns the subject of the changed field.
func (c Changed) Of() Subject { return c.Subject }

// Of returns the account.
func (c KeysChanged) Of() Subject { return c.Subject }

// String formats the change on one line.
func (c Added) String() string { return "+ " + c.Subject.String() + formatSettings(c.Settings) }

// String formats the change on one line.
func (c Removed) String() string { return "- " + c.Subject.String() + formatSettings(c.Settings) }

// String formats the change on one line.
func (c Changed) String() string {
	return fmt.Sprintf("~ %s %s: %s -> %s", c.Subject, c.Key, cmp.Or(c.Old, "none"), cmp.Or(c.New, "none"))
}

// String formats the change on one line.
func (c KeysChanged) String() string {
	return fmt.Sprintf("~ %s %s: %d added, %d withdrawn", c.Subject, routing.FieldKeys, c.Added, c.Withdrawn)
}

func formatSettings(settings []Setting) string {
	var words []string
	for _, s := range settings {
		words = append(words, string(s.Key)+" = "+s.Value)
	}
	if len(words) == 0 {
		return ""
	}
	return ": " + strings.Join(words, ", ")
}

// entry is a subject with its settings. The occurrence tells entries of one name apart.
type entry struct {
	subject    Subject
	occurrence int
	settings   []Setting
}

type entryKey struct {
	subject    Subject
	occurrence int
}

// Changes returns the differences from an old configuration, which may be nil, to a new one: those of routes, services,
// accounts and limits, in this order. A renamed entry appears as one removed and one added entry. The order of entries and the
// version are not compared.
func Changes(old, next *routing.Config) []Change {
	before, after := entriesOf(old), entriesOf(next)
	var changes []Change
	for _, kind := range []routing.Kind{routing.KindRoute, routing.KindService, routing.KindAccount, routing.KindLimits} {
		remaining := map[entryKey]entry{}
		for _, e := range before[kind] {
			remaining[entryKey{e.subject, e.occurrence}] = e
		}
		for _, e := range after[kind] {
			key := entryKey{e.subject, e.occurrence}
			was, known := remaining[key]
			delete(remaining, key)
			switch {
			case !known:
				changes = append(changes, Added{Subject: e.subject, Settings: e.settings})
			default:
				changes = append(changes, diffSettings(e.subject, was.settings, e.settings)...)
				changes = append(changes, diffKeys(old, next, e.subject)...)
			}
		}
		for _, e := range before[kind] {
			if _, ok := remaining[entryKey{e.subject, e.occurrence}]; ok {
				changes = append(changes, Removed{Subject: e.subject, Settings: e.settings})
			}
		}
	}
	return changes
}

func diffSettings(sub Subject, old, next []Setting) []Change {
	var changes []Change
	keys := slices.Clone(next)
	for _, s := range old {
		if valueOf(next, s.Key) == "" {
			keys = append(keys, s)
		}
	}
	for _, s := range keys {
		// Keys of accounts are compared by their hashes, not by their number.
		if before, after := valueOf(old, s.Key), valueOf(next, s.Key); before != after && s.Key != routing.FieldKeys {
			changes = append(changes, Changed{Subject: sub, Key: s.Key, Old: before, New: after})
		}
	}
	return changes
}

func diffKeys(old, next *routing.Config, sub Subject) []Change {
	if sub.Kind != routing.KindAccount {
		return nil
	}
	added, withdrawn := next.Accounts().KeyChanges(old.Accounts(), sub.Name)
	if added == 0 && withdrawn == 0 {
		return nil
	}
	return []Change{KeysChanged{Subject: sub, Added: added, Withdrawn: withdrawn}}
}

func valueOf(settings []Setting, key routing.Field) string {
	i := slices.IndexFunc(settings, func(s Setting) bool { return s.Key == key })
	if i < 0 {
		return ""
	}
	return settings[i].Value
}

// entriesOf returns the entries of a configuration by kind. Fields without a value are left out.
func entriesOf(c *routing.Config) map[routing.Kind][]entry {
	entries := map[routing.Kind][]entry{}
	if c == nil {
		return entries
	}
	occurrences := map[Subject]int{}
	add := func(kind routing.Kind, name string, settings ...Setting) {
		sub := Subject{Kind: kind, Name: name}
		settings = slices.DeleteFunc(settings, func(s Setting) bool { return s.Value == "" })
		entries[kind] = append(entries[kind], entry{subject: sub, occurrence: occurrences[sub], settings: settings})
		occurrences[sub]++
	}
	for _, r := range c.Routes() {
		add(routing.KindRoute, r.Name, Setting{routing.FieldHost, r.Host}, Setting{routing.FieldPrefix, r.Prefix},
			Setting{routing.FieldIdempotent, formatBool(r.Idempotent)}, Setting{routing.FieldTimeout, formatDuration(r.Timeout)},
			Setting{routing.FieldObjective, formatDuration(r.Objective)}, Setting{routing.FieldRank, strconv.Itoa(r.Rank)},
			Setting{routing.FieldMaxAttempts, strconv.Itoa(r.MaxAttempts)}, Setting{routing.FieldPublic, formatBool(r.Public)},
			Setting{routing.FieldTargets, formatTargets(r.Targets)})
	}
	for _, s := range c.Services() {
		add(routing.KindService, s.Name, Setting{routing.FieldMaxConnections, formatNumber(float64(s.MaxConnections))})
	}
	for _, a := range c.Accounts().All() {
		add(routing.KindAccount, a.Name, Setting{routing.FieldRank, formatRank(a.Rank)}, Setting{routing.FieldRate, formatNumber(a.Quota.Rate)},
			Setting{routing.FieldBurst, formatNumber(a.Quota.Burst)},
			Setting{routing.FieldKeys, strconv.Itoa(c.Accounts().KeyCount(a.Name))})
	}
	l := c.Limits()
	add(routing.KindLimits, "", Setting{routing.FieldBodyBytes, formatNumber(float64(l.BodyBytes))},
		Setting{routing.FieldHeaderBytes, formatNumber(float64(l.HeaderBytes))},
		Setting{routing.FieldHeaderTimeout, formatDuration(l.HeaderTimeout)}, Setting{routing.FieldIdleTimeout, formatDuration(l.IdleTimeout)})
	return entries
}

func formatBool(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func formatDuration(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}

// formatNumber returns a number, or an empty text for 0, which sets nothing.
func formatNumber(n float64) string {
	if n == 0 {
		return ""
	}
	return strconv.FormatFloat(n, 'f', -1, 64)
}

func formatRank(rank kernel.Option[int]) string {
	n, ok := rank.Get()
	if !ok {
		return ""
	}
	return strconv.Itoa(n)
}

func formatTargets(targets []routing.Target) string {
	if len(targets) == 1 {
		return targets[0].Service
	}
	var words []string
	for _, t := range targets {
		words = append(words, fmt.Sprintf("%s %d", t.Service, t.Weight))
	}
	return strings.Join(words, " and ")
}
