package inifile_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lovagelane/inifile"
)

var kinds = []inifile.Kind{{Name: "node", Required: []string{"service"}, Optional: []string{"store"}}, {Name: "keys"}}

func read(text string) ([]inifile.Section, inifile.Problems) {
	return inifile.Read("node.ini", text, kinds)
}

// Guards against values that ini.v1 parses differently from the line index: surrounding space, inline comments, quotes,
// backslashes, interpolation, byte order marks and CRLF.
func TestReadReturnsValuesAndLines(t *testing.T) {
	for written, want := range map[string]string{
		"maps":              "maps",
		"  maps\t":          "maps",
		"maps # at dunes":   "maps",
		"maps ; at dunes":   "maps",
		"http://10.1/#x":    "http://10.1/#x",
		"a = b":             "a = b",
		`maps \`:            `maps \`,
		"%(store)s [keys]":  "%(store)s [keys]",
		"it's \"quoted\" `": "it's \"quoted\" `",
		"# 1":               "# 1",
	} {
		sections, problems := read("\ufeff# comment\r\n\n[node] # [comment]\r\n service =" + written + "\r\nstore = x")
		require.Empty(t, problems)
		v, ok := sections[0].Value("service")
		require.True(t, ok)
		require.Equal(t, want, v.Text)
		require.Equal(t, inifile.Line{File: "node.ini", Number: 4}, v.Line)
		require.Equal(t, inifile.Line{File: "node.ini", Number: 3}, sections[0].Line)
	}
}

// Guards against accepting a file that is too large for a node to send to others, and against an off-by-one error in the limit.
func TestReadBoundsFileSize(t *testing.T) {
	text := "[node]\nservice = maps\n#"
	text += strings.Repeat("x", inifile.MaxFileBytes-len(text))
	_, problems := read(text)
	require.Empty(t, problems)
	_, problems = read(text + "x")
	require.Equal(t, "node.ini:1: the file has 262145 bytes: keep it within 262144 bytes", problems.Error())
}

// Guards against sizes that change when they are formatted and parsed again.
func TestBytesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.Int64Range(1, 1<<30).Draw(t, "n")
		sections, problems := read("[node]\nservice = " + inifile.FormatBytes(n))
		require.Empty(t, problems)
		var c inifile.Collector
		require.Equal(t, n, c.Bytes(sections[0], "service", 1<<30))
		require.Empty(t, c.Problems)
	})
}

// Guards against input that makes the parser panic, and against an accepted line whose value ini.v1 did not parse.
func FuzzRead(f *testing.F) {
	f.Add("[node]\nservice = maps # x\nstore = \"y\"\n[keys]")
	f.Add("[node\n[node] x]\n-=1\n\"\"\"a\"\"\"=b\nservice=`a\nb`\n[node]\nservice=\\\nstore=\xff\x00")
	f.Fuzz(func(t *testing.T, text string) {
		sections, problems := read(text)
		lines := strings.Split(strings.TrimPrefix(text, "\ufeff"), "\n")
		for _, s := range sections {
			require.True(t, strings.HasPrefix(strings.TrimSpace(lines[s.Line.Number-1]), "["))
			for _, key := range []string{"service", "store"} {
				if v, ok := s.Value(key); ok && len(problems) == 0 {
					require.NotEmpty(t, v.Text)
					require.Contains(t, lines[v.Line.Number-1], v.Text)
				}
			}
		}
	})
}
