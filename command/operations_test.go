package command_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// documented finds what operators can meet in the sources of the product.
var documented = map[string]struct {
	files   string
	pattern *regexp.Regexp
	least   int
}{
	"refusal reason": {"../*/*.go", regexp.MustCompile(`\bReason\w+\s+(?:call\.)?Reason\s*=\s*"([^"]+)"`), 20},
	"log event":      {"../*/*.go", regexp.MustCompile(`\blog\.(?:Info|Warn|Error)\("([^"]+)"`), 20},
	"metric":         {"../*/*.go", regexp.MustCompile(`\bmetrics\.(?:Add|Set|Observe)\("([^"]+)"`), 20},
	"command":        {"*.go", regexp.MustCompile(`Commands\.Register\("([^"]+)"`), 9},
	"flag":           {"*.go", regexp.MustCompile(`\.Flag\("([^"]+)"`), 9},
	"settings key":   {"../settings/settings.go", regexp.MustCompile(`r\.\w+\([skb], "([^"]+)"`), 15},
	"inventory key":  {"../inventory/*.go", regexp.MustCompile(`b\.(?:Bool|Int|Name|Names|Duration|Bytes|Percent|List)\(s, "([^"]+)"`), 12},
}

// Guards against a refusal, log event, metric, command, flag or key that operators meet and cannot look up.
func TestOperationsPageIsComplete(t *testing.T) {
	text, err := os.ReadFile("../docs/OPERATIONS.md")
	require.NoError(t, err)
	page := string(text)
	for kind, d := range documented {
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
		// A pattern that no longer fits the code would find nothing and pass.
		require.GreaterOrEqual(t, len(found), d.least, kind)
		for name := range found {
			if kind == "flag" {
				name = "--" + name
			}
			require.True(t, strings.Contains(page, "`"+name+"`"), "docs/OPERATIONS.md lacks the %s %s", kind, name)
		}
	}
}
