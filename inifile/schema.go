package inifile

import (
	"fmt"
	"slices"
	"strings"
)

// Kind is the schema of one kind of section.
type Kind struct {
	// Name is the first word of the header.
	Name string
	// Names are the placeholders for the other words of the header, as shown in remedies.
	Names    []string
	Required []string
	Optional []string
}

// headerFormat returns the header with its placeholders in upper case, as in [service NAME].
func (k Kind) headerFormat() string {
	words := []string{k.Name}
	for _, n := range k.Names {
		words = append(words, strings.ToUpper(n))
	}
	return "[" + strings.Join(words, " ") + "]"
}

func (k Kind) keys() []string { return append(slices.Clone(k.Required), k.Optional...) }

// checkSections reports unknown and repeated sections, and unknown and missing keys. It returns the sections of a known kind
// whose header has the right number of names, including repeated ones.
func (r *reader) checkSections(kinds []Kind) []Section {
	var known []Section
	firstLines := map[string]Line{}
	for _, s := range r.sections {
		if s.Kind == "" {
			continue
		}
		i := slices.IndexFunc(kinds, func(k Kind) bool { return k.Name == s.Kind })
		if i < 0 {
			r.problems.Add(s.Line, fmt.Sprintf("unknown section [%s]", s.Header()), "use one of "+headerFormats(kinds))
			continue
		}
		k := kinds[i]
		r.checkUnknownKeys(s, k)
		if len(s.Names) != len(k.Names) {
			r.problems.Add(s.Line, fmt.Sprintf("[%s] has %d names", s.Header(), len(s.Names)), "write "+k.headerFormat())
			continue
		}
		if at, ok := firstLines[s.Header()]; ok {
			r.problems.Add(s.Line, fmt.Sprintf("[%s] is stated twice", s.Header()),
				fmt.Sprintf("merge it into line %d", at.Number))
		} else {
			firstLines[s.Header()] = s.Line
			r.checkMissingKeys(s, k)
		}
		known = append(known, s)
	}
	return known
}

func (r *reader) checkUnknownKeys(s Section, k Kind) {
	for _, key := range s.keys {
		if !slices.Contains(k.keys(), key) {
			r.problems.Add(s.values[key].Line, fmt.Sprintf("unknown key %s in [%s]", key, s.Header()), allowedKeys(k))
		}
	}
}

func (r *reader) checkMissingKeys(s Section, k Kind) {
	for _, key := range k.Required {
		if _, ok := s.values[key]; !ok {
			r.problems.Add(s.Line, fmt.Sprintf("[%s] has no %s", s.Header(), key), fmt.Sprintf("add a line %s = ...", key))
		}
	}
}

func allowedKeys(k Kind) string {
	if len(k.keys()) == 0 {
		return "remove it"
	}
	return "use one of " + strings.Join(k.keys(), ", ")
}

func headerFormats(kinds []Kind) string {
	var list []string
	for _, k := range kinds {
		list = append(list, k.headerFormat())
	}
	return strings.Join(list, ", ")
}
