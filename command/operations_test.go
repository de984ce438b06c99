package command_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// documentedNames holds patterns that find the operator-visible names in the sources, and the minimum number of names
// that each pattern must find.
var documentedNames = map[string]struct {
	files   string
	pattern *regexp.Regexp
	minimum int
}{
	"refusal reason": {"../*/*.go", regexp.MustCompile(`\bReason\w+\s+(?:call\.)?Reason\s*=\s*"([^"]+)"`), 20},
	"log event":      {"../*/*.go", regexp.MustCompile(`\blog\.(?:Info|Warn|Error)\("([^"]+)"`), 20},
	"metric":         {"../*/*.go", regexp.MustCompile(`\bmetrics\.(?:Add|Set|Observe)\("([^"]+)"`), 20},
	"command":        {"*.go", regexp.MustCompile(`Commands\.Register\("([^"]+)"`), 9},
	"flag":           {"*.go", regexp.MustCompile(`\.Flag\("([^"]+)"`), 9},
	"settings key":   {"../settings/settings.go", regexp.MustCompile(`r\.\w+\([skb], "([^"]+)"`), 15},
	"inventory key":  {"../inventory/*.go", regexp.MustCompile(`b\.(?:Bool|Int|Name|Names|Duration|Bytes|Percent|List)\(s, "([^"]+)"`), 12},
}

// Guards against a refusal reason, log event, metric, command, flag or key that docs/OPERATIONS.md does not list.
func TestOperationsPageIsComplete(t *testing.T) {
	text, err := os.ReadFile("../docs/OPERATIONS.md")
	require.NoError(t, err)
	page := string(text)
	for kind, d := range documentedNames {
		paths, err := filepath.Glob(d.files)
		require.NoError(t, err)
		found := map[string]bool{}
		for _, path := range paths {
			if strings.HasSuffix(path, "_test.go") {
				continue
			}
			source, err := os.ReadFile(path)
			require.NoError(t, err)
			for _, match := range d.pattern.FindAllStringSubmatch(string(source), -1) {
				found[match[1]] = true
			}
		}
		// Without a minimum, a pattern that no longer matches the code would find nothing and the test would pass.
		require.GreaterOrEqual(t, len(found), d.minimum, kind)
		for name := range found {
			if kind == "flag" {
				name = "--" + name
			}
			require.True(t, strings.Contains(page, "`"+name+"`"), "docs/OPERATIONS.md lacks the %s %s", kind, name)
		}
	}
}
