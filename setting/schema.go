package setting

import (
	"fmt"
	"slices"
	"strings"
)

// Kind describes one kind of section.
type Kind struct {
	// Name is the first word of the header.
	Name string
	// Names say what the other words of the header stand for.
	Names    []string
	Required []string
	Optional []string
}

func (k Kind) header() string {
	words := []string{k.Name}
	for _, n := range k.Names {
		words = append(words, strings.ToUpper(n))
	}
	return "[" + strings.Join(words, " ") + "]"
}

func (k Kind) keys() []string { return append(slices.Clone(k.Required), k.Optional...) }

// check reports sections and keys that the kinds do not allow or that are missing, and returns the other sections.
func (r *reader) check(kinds []Kind) []Section {
	var known []Section
	first := map[string]Line{}
	for _, s := range r.sections {
		if s.Kind == "" {
			continue
		}
		i := slices.IndexFunc(kinds, func(k Kind) bool { return k.Name == s.Kind })
		if i < 0 {
			r.problems.Add(s.Line, fmt.Sprintf("unknown section [%s]", s.Header()), "use one of "+headers(kinds))
			continue
		}
		k := kinds[i]
		r.checkUnknownKeys(s, k)
		if len(s.Names) != len(k.Names) {
			r.problems.Add(s.Line, fmt.Sprintf("[%s] has %d names", s.Header(), len(s.Names)), "write "+k.header())
			continue
		}
		if at, ok := first[s.Header()]; ok {
			r.problems.Add(s.Line, fmt.Sprintf("[%s] is stated twice", s.Header()),
				fmt.Sprintf("merge it into line %d", at.Number))
		} else {
			first[s.Header()] = s.Line
			r.checkMissingKeys(s, k)
		}
		known = append(known, s)
	}
	return known
}

func (r *reader) checkUnknownKeys(s Section, k Kind) {
	for _, key := range s.keys {
		if !slices.Contains(k.keys(), key) {
			r.problems.Add(s.found[key].Line, fmt.Sprintf("unknown key %s in [%s]", key, s.Header()), allowed(k))
		}
	}
}

func (r *reader) checkMissingKeys(s Section, k Kind) {
	for _, key := range k.Required {
		if _, ok := s.found[key]; !ok {
			r.problems.Add(s.Line, fmt.Sprintf("[%s] has no %s", s.Header(), key), fmt.Sprintf("add a line %s = ...", key))
		}
	}
}

func allowed(k Kind) string {
	if len(k.keys()) == 0 {
		return "remove it"
	}
	return "use one of " + strings.Join(k.keys(), ", ")
}

func headers(kinds []Kind) string {
	var list []string
	for _, k := range kinds {
		list = append(list, k.header())
	}
	return strings.Join(list, ", ")
}
