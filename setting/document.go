package setting

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
	// MaxText is the largest text that is read, in bytes.
	MaxText = 256 << 10
	// maxName is the length of a label of a host name (RFC 1035), so that names can be used in host names.
	maxName = 63
)

var namePattern = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)

// ValidName reports whether the name is in kebab case and not too long.
func ValidName(name string) bool { return len(name) <= maxName && namePattern.MatchString(name) }

// NameRemedy tells how to write a valid name.
const NameRemedy = "use lower-case letters, digits and single hyphens, at most 63 characters"

// Value is the text of a key and its line.
type Value struct {
	Text string
	Line Line
	// unusable marks a value that was reported already, so that its key does not count as missing.
	unusable bool
}

// Section is a section of a file; its zero value has no keys.
type Section struct {
	// Kind is the first word of the header, and Names are the others.
	Kind  string
	Names []string
	Line  Line
	keys  []string
	found map[string]Value
}

// Header returns the words of the section's header.
func (s Section) Header() string { return strings.Join(append([]string{s.Kind}, s.Names...), " ") }

// Value returns the value of a key and whether the section states one that can be used.
func (s Section) Value(key string) (Value, bool) {
	v, ok := s.found[key]
	return v, ok && !v.unusable
}

// LineOf returns the line of a key, or of the section when it does not state the key.
func (s Section) LineOf(key string) Line {
	if v, ok := s.found[key]; ok {
		return v.Line
	}
	return s.Line
}

// Read returns the sections of the text that are of one of the kinds, with every problem found on the way.
func Read(file, text string, kinds []Kind) ([]Section, Problems) {
	r := &reader{file: file}
	if len(text) > MaxText {
		r.problems.Add(Line{file, 1}, fmt.Sprintf("the file has %d bytes", len(text)),
			fmt.Sprintf("keep it within %d bytes", MaxText))
		return nil, r.problems
	}
	r.index(strings.TrimPrefix(text, "\ufeff"))
	r.fill()
	sections := r.check(kinds)
	r.problems.Sort(file)
	return sections, r.problems
}

// reader indexes the lines of sections and keys, which ini.v1 does not report. Lines that ini.v1 might read differently
// (quoted values, multi-line values, repeated keys) are reported and left out of clean, so that both see the same keys.
type reader struct {
	file     string
	problems Problems
	sections []Section
	clean    []string
}

func (r *reader) index(text string) {
	for i, line := range strings.Split(text, "\n") {
		if !r.indexLine(Line{r.file, i + 1}, strings.TrimSpace(line)) {
			line = ""
		}
		r.clean = append(r.clean, line)
	}
}

// indexLine reports whether the library shall read the line as a setting.
func (r *reader) indexLine(at Line, line string) bool {
	readable := r.readable(at, line)
	switch {
	case line == "" || line[0] == '#' || line[0] == ';':
		return false
	case line[0] == '[':
		r.indexHeader(at, line, readable)
		return false
	}
	name, value, ok := strings.Cut(line, "=")
	name, value = strings.TrimSpace(name), strings.TrimSpace(value)
	switch {
	case !ok || !namePattern.MatchString(name):
		if readable {
			r.problems.Add(at, "the line is neither a [section] nor a setting",
				`write "key = value" with the key in lower-case letters, digits and hyphens, or begin a comment with #`)
		}
		return false
	case len(r.sections) == 0:
		r.problems.Add(at, fmt.Sprintf("%s stands before the first section", name), "move it below the [section] that it belongs to")
		return false
	}
	return r.indexKey(at, name, value, readable)
}

func (r *reader) indexKey(at Line, name, value string, readable bool) bool {
	s := &r.sections[len(r.sections)-1]
	if first, ok := s.found[name]; ok {
		r.problems.Add(at, fmt.Sprintf("%s is set twice in [%s]", name, s.Header()),
			fmt.Sprintf("keep one of the lines %d and %d", first.Line.Number, at.Number))
		return false
	}
	usable := readable
	switch {
	case !readable:
	case value == "":
		r.problems.Add(at, fmt.Sprintf("%s has no value", name), "state a value or remove the line")
		usable = false
	case strings.ContainsAny(value[:1], "\"'`"):
		r.problems.Add(at, fmt.Sprintf("the value of %s is quoted", name), "write the value without quotes")
		usable = false
	}
	s.keys = append(s.keys, name)
	s.found[name] = Value{Line: at, unusable: !usable}
	return usable
}

func (r *reader) indexHeader(at Line, line string, readable bool) {
	header, rest, closed := strings.Cut(line[1:], "]")
	rest = strings.TrimSpace(rest)
	words := strings.Fields(header)
	s := Section{Line: at, found: map[string]Value{}}
	switch {
	case !readable:
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
	// A section with a malformed header is kept without a kind, so that its keys are not counted to the one before it.
	r.sections = append(r.sections, s)
}

// readable reports whether the line is plain UTF-8 text.
func (r *reader) readable(at Line, line string) bool {
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

// fill takes the values from the library.
func (r *reader) fill() {
	f, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:       true,
		SpaceBeforeInlineComment: true,
		KeyValueDelimiters:       "=",
		AllowNonUniqueSections:   true,
	}, []byte(r.libraryText()))
	if err != nil {
		r.problems.Add(Line{r.file, 1}, fmt.Sprintf("the file cannot be read as INI (%v)", err), "correct its form")
		return
	}
	for i, s := range r.sections {
		values := f.Section(sectionName(i))
		for _, key := range s.keys {
			v := s.found[key]
			if v.unusable {
				continue
			}
			v.Text = values.Key(key).Value()
			s.found[key] = v
		}
	}
}

// libraryText is the text of the readable settings with each header replaced by the section's number, so that malformed
// and repeated headers do not move settings into another section.
func (r *reader) libraryText() string {
	lines := slices.Clone(r.clean)
	for i, s := range r.sections {
		lines[s.Line.Number-1] = "[" + sectionName(i) + "]"
	}
	return strings.Join(lines, "\n")
}

func sectionName(i int) string { return fmt.Sprintf("section-%d", i) }
