package inifile

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

const (
	// MaxFileBytes is the maximum size of a file in bytes.
	MaxFileBytes = 256 << 10
	// maxNameLength is the maximum length of a host name label (RFC 1035), since names can be part of host names.
	maxNameLength = 63
)

var namePattern = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)

// ValidName reports whether name is in kebab case and has at most 63 characters.
func ValidName(name string) bool { return len(name) <= maxNameLength && namePattern.MatchString(name) }

// NameRemedy is the remedy for an invalid name.
const NameRemedy = "use lower-case letters, digits and single hyphens, at most 63 characters"

// Value is the value of a key, as text, and the line of the key.
type Value struct {
	Text string
	Line Line
	// invalid marks a value that was already reported as a problem, so that its key is not reported as missing too.
	invalid bool
}

// Section is a section of a file; its zero value has no keys.
type Section struct {
	// Kind is the first word of the header; Names are the other words.
	Kind   string
	Names  []string
	Line   Line
	keys   []string
	values map[string]Value
}

// Header returns the words of the section's header.
func (s Section) Header() string { return strings.Join(append([]string{s.Kind}, s.Names...), " ") }

// Value returns the value of a key and whether the section has a valid value for it.
func (s Section) Value(key string) (Value, bool) {
	v, ok := s.values[key]
	return v, ok && !v.invalid
}

// LineOf returns the line of a key, or the line of the section's header if the section does not have the key.
func (s Section) LineOf(key string) Line {
	if v, ok := s.values[key]; ok {
		return v.Line
	}
	return s.Line
}

// Read parses text and returns the sections that match one of the kinds, and all problems in the order of their lines. The
// lines of sections, values and problems have file as their file name.
func Read(file, text string, kinds []Kind) ([]Section, Problems) {
	r := &reader{file: file}
	if len(text) > MaxFileBytes {
		r.problems.Add(Line{file, 1}, fmt.Sprintf("the file has %d bytes", len(text)),
			fmt.Sprintf("keep it within %d bytes", MaxFileBytes))
		return nil, r.problems
	}
	r.indexLines(strings.TrimPrefix(text, "\ufeff"))
	r.loadValues()
	sections := r.checkSections(kinds)
	r.problems.Sort(file)
	return sections, r.problems
}

// reader indexes the lines of sections and keys, which ini.v1 does not report. Lines that ini.v1 might parse differently
// (quoted values, multi-line values, repeated keys) are reported and replaced by empty lines in iniLines, so that the index
// and ini.v1 have the same keys.
type reader struct {
	file     string
	problems Problems
	sections []Section
	iniLines []string
}

func (r *reader) indexLines(text string) {
	for i, line := range strings.Split(text, "\n") {
		if !r.indexLine(Line{r.file, i + 1}, strings.TrimSpace(line)) {
			line = ""
		}
		r.iniLines = append(r.iniLines, line)
	}
}

// indexLine adds a line to the index and returns whether ini.v1 parses the line as a setting.
func (r *reader) indexLine(at Line, line string) bool {
	validText := r.checkCharacters(at, line)
	switch {
	case line == "" || line[0] == '#' || line[0] == ';':
		return false
	case line[0] == '[':
		r.indexHeader(at, line, validText)
		return false
	}
	name, value, ok := strings.Cut(line, "=")
	name, value = strings.TrimSpace(name), strings.TrimSpace(value)
	switch {
	case !ok || !namePattern.MatchString(name):
		if validText {
			r.problems.Add(at, "the line is neither a [section] nor a setting",
				`write "key = value" with the key in lower-case letters, digits and hyphens, or begin a comment with #`)
		}
		return false
	case len(r.sections) == 0:
		r.problems.Add(at, fmt.Sprintf("%s stands before the first section", name), "move it below the [section] that it belongs to")
		return false
	}
	return r.indexKey(at, name, value, validText)
}

func (r *reader) indexKey(at Line, name, value string, validText bool) bool {
	s := &r.sections[len(r.sections)-1]
	if first, ok := s.values[name]; ok {
		r.problems.Add(at, fmt.Sprintf("%s is set twice in [%s]", name, s.Header()),
			fmt.Sprintf("keep one of the lines %d and %d", first.Line.Number, at.Number))
		return false
	}
	valid := validText
	switch {
	case !validText:
	case value == "":
		r.problems.Add(at, fmt.Sprintf("%s has no value", name), "state a value or remove the line")
		valid = false
	case strings.ContainsAny(value[:1], "\"'`"):
		r.problems.Add(at, fmt.Sprintf("the value of %s is quoted", name), "write the value without quotes")
		valid = false
	}
	s.keys = append(s.keys, name)
	s.values[name] = Value{Line: at, invalid: !valid}
	return valid
}

func (r *reader) indexHeader(at Line, line string, validText bool) {
	header, rest, closed := strings.Cut(line[1:], "]")
	rest = strings.TrimSpace(rest)
	words := strings.Fields(header)
	s := Section{Line: at, values: map[string]Value{}}
	switch {
	case !validText:
	case !closed:
		r.problems.Add(at, "the section header has no closing bracket", "write [kind name]")
	case rest != "" && rest[0] != '#' && rest[0] != ';':
		r.problems.Add(at, "text follows the section header", "move it to a line of its own")
	case len(words) == 0:
		r.problems.Add(at, "the section header is empty", "write [kind name]")
	case slices.ContainsFunc(words, func(w string) bool { return !ValidName(w) }):
		r.problems.Add(at, fmt.Sprintf("[%s] is not a valid section header", header), NameRemedy)
	default:
		s.Kind, s.Names = words[0], words[1:]
	}
	// A section with a malformed header is kept without a kind, so that its keys are not added to the section before it.
	r.sections = append(r.sections, s)
}

// checkCharacters returns whether the line is valid UTF-8 without control characters other than tabs, and reports one that is
// not.
func (r *reader) checkCharacters(at Line, line string) bool {
	if !utf8.ValidString(line) {
		r.problems.Add(at, "the line is not UTF-8", "save the file as UTF-8")
		return false
	}
	i := strings.IndexFunc(line, func(c rune) bool { return unicode.IsControl(c) && c != '\t' })
	if i >= 0 {
		r.problems.Add(at, fmt.Sprintf("the line has the control character %q", line[i:i+1]), "remove it")
		return false
	}
	return true
}

// loadValues sets the text of all valid values as ini.v1 parses it.
func (r *reader) loadValues() {
	parsed, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:       true,
		SpaceBeforeInlineComment: true,
		KeyValueDelimiters:       "=",
		AllowNonUniqueSections:   true,
	}, []byte(r.iniText()))
	if err != nil {
		r.problems.Add(Line{r.file, 1}, fmt.Sprintf("the file cannot be read as INI (%v)", err), "correct the INI syntax")
		return
	}
	for i, s := range r.sections {
		iniSection := parsed.Section(iniSectionName(i))
		for _, key := range s.keys {
			v := s.values[key]
			if v.invalid {
				continue
			}
			v.Text = iniSection.Key(key).Value()
			s.values[key] = v
		}
	}
}

// iniText returns the text for ini.v1. It contains the valid settings, and each header is replaced by the number of its
// section, so that malformed and repeated headers do not move settings into another section.
func (r *reader) iniText() string {
	lines := slices.Clone(r.iniLines)
	for i, s := range r.sections {
		lines[s.Line.Number-1] = "[" + iniSectionName(i) + "]"
	}
	return strings.Join(lines, "\n")
}

func iniSectionName(i int) string { return fmt.Sprintf("section-%d", i) }
