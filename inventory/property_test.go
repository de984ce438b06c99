package inventory_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lovagelane/inventory"
)

// drawConfig draws a valid configuration. It uses few names, so that two draws have some in common.
func drawConfig(t *rapid.T, label string) *inventory.Config {
	var inv, rules strings.Builder
	inv.WriteString("[region rn]\nstore = yes\n[region ce]\n")
	zones := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"z1", "z2", "z3"}), 1, 3, rapid.ID).Draw(t, label+" zones")
	for _, z := range zones {
		fmt.Fprintf(&inv, "\n[availability-zone %s]\nregion = %s\n", z, rapid.SampledFrom([]string{"rn", "ce"}).Draw(t, "region"))
	}
	services := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"maps", "nursery", "imagery"}), 1, 3, rapid.ID).Draw(t, "services")
	rules.WriteString("[class lookups]\nrank = 6\ndefault = yes\n[class orders]\nrank = 1\n")
	number := func(low, high int) int { return rapid.IntRange(low, high).Draw(t, "number") }
	for i, s := range services {
		fmt.Fprintf(&inv, "[service %s]\ntimeout = %dms\nslots = %d\nconnections = 10\n", s, number(1000, 1003), number(1, 3))
		if i > 0 && rapid.Bool().Draw(t, "calls") {
			fmt.Fprintf(&inv, "calls = %s\n", services[i-1])
		}
		for _, z := range zones {
			fmt.Fprintf(&inv, "[backend-servers %s %s]\ncount = 1\n", s, z)
			if rapid.Bool().Draw(t, "override") {
				fmt.Fprintf(&inv, "slots = %d\n", number(1, 3))
			}
		}
		fmt.Fprintf(&rules, "[request r-%s]\nservice = %s\npath = /%d*\nclass = orders\n", s, s, number(1, 3))
		if rapid.Bool().Draw(t, "non-idempotent") {
			rules.WriteString("method = POST\nnon-idempotent = yes\ntimeout = 100ms\n")
		}
	}
	cfg, problems := inventory.Parse(files(inv.String(), rules.String()))
	require.Empty(t, problems)
	return cfg
}

// effectiveValues returns the value of each setting by subject and key.
func effectiveValues(cfg *inventory.Config) map[string]string {
	values := map[string]string{}
	for _, s := range cfg.Explain("") {
		values[settingID(s.Subject, s.Key)] = s.Value
	}
	return values
}

func settingID(sub inventory.Subject, key string) string { return fmt.Sprintf("%v %s", sub, key) }

// Guards against an effective setting whose line is not the one that sets it.
func TestSettingLineSetsTheValue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := drawConfig(t, "config")
		lines := map[string][]string{}
		for _, f := range cfg.Files() {
			lines[f.Name] = strings.Split(f.Text, "\n")
		}
		require.NotEmpty(t, cfg.Explain(""))
		for _, s := range cfg.Explain("") {
			text := lines[s.Line.File][s.Line.Number-1]
			if s.Key == "" || s.Source == inventory.SourceDefault {
				require.Equal(t, "["+s.Subject.Section+"]", text)
				continue
			}
			require.True(t, strings.HasPrefix(text, s.Key+" = "), "%s: %s", s.Name(), text)
		}
	})
}

// Guards against a plan that misses a change, contains a spurious one, or shows a renamed section as a change.
func TestPlanTransformsOldIntoNew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, next := drawConfig(t, "old"), drawConfig(t, "new")
		require.Empty(t, inventory.Plan(old, old.WithVersion(9)))
		values := effectiveValues(old)
		for _, c := range inventory.Plan(old, next) {
			switch c := c.(type) {
			case inventory.Added:
				for _, s := range c.Settings {
					require.NotContains(t, values, settingID(c.Subject, s.Key))
					values[settingID(c.Subject, s.Key)] = s.Value
				}
			case inventory.Removed:
				for _, s := range c.Settings {
					delete(values, settingID(c.Subject, s.Key))
				}
			case inventory.Changed:
				require.NotEqual(t, c.Old.Value, c.New.Value)
				require.Equal(t, c.Old.Value, values[settingID(c.Subject, c.Key)])
				values[settingID(c.Subject, c.Key)] = c.New.Value
				if c.New == (inventory.Setting{}) {
					delete(values, settingID(c.Subject, c.Key))
				}
			}
		}
		require.True(t, maps.Equal(effectiveValues(next), values))
	})
}

// Guards against a lookup whose result differs from a linear search of all rules for the most specific match.
func TestOperationMatchesLinearSearch(t *testing.T) {
	paths := []string{"/", "/a", "/a/b", "/a/b/c", "/*", "/a*", "/a/*", "/a/b*"}
	rapid.Check(t, func(t *rapid.T) {
		text := "[class lookups]\nrank = 6\ndefault = yes\n"
		for i := range rapid.IntRange(0, 5).Draw(t, "rules") {
			text += fmt.Sprintf("[request r%d]\nservice = payments\nclass = lookups\npath = %s\n", i, rapid.SampledFrom(paths).Draw(t, "path"))
			if method := rapid.SampledFrom([]string{"", "GET", "POST"}).Draw(t, "method"); method != "" {
				text += "method = " + method + "\n"
			}
		}
		cfg, problems := inventory.Parse(files(validInventory, text))
		if len(problems) > 0 {
			t.Skip("rules that overlap")
		}
		method := rapid.SampledFrom([]string{"GET", "POST", "PUT"}).Draw(t, "request method")
		path := rapid.SampledFrom([]string{"/", "/a", "/a/", "/a/b", "/a/b/", "/a/b/c", "/a/x", "/ab", "/x"}).Draw(t, "request path")
		want, specificity := "payments.other", -1
		for _, r := range cfg.RequestRules() {
			if w := matchSpecificity(r, method, path); w > specificity {
				want, specificity = r.Operation.Name, w
			}
		}
		require.Equal(t, want, cfg.Operation("payments", method, path).Name)
	})
}

// matchSpecificity returns a number that is higher for a more specific rule, or -1 if the rule does not match the request.
func matchSpecificity(r inventory.RequestRule, method, path string) int {
	prefix, isPrefix := strings.CutSuffix(r.Path, "*")
	exact := slices.Contains([]string{r.Path, r.Path + "/"}, path)
	if r.Method != "" && r.Method != method || !exact && !(isPrefix && strings.HasPrefix(path, prefix)) {
		return -1
	}
	specificity := 2 * len(prefix)
	if !isPrefix {
		specificity = 1000
	}
	if r.Method != "" {
		specificity++
	}
	return specificity
}

// Guards against input that makes Parse panic, and against accepted files for which a lookup or the plan fails.
func FuzzParse(f *testing.F) {
	f.Add(validInventory, validRules)
	for _, dir := range caseDirs(f) {
		files, _ := readCase(f, dir)
		if len(files) == 2 {
			f.Add(files[0].Text, files[1].Text)
		}
	}
	f.Fuzz(func(t *testing.T, inv, rules string) {
		cfg, problems := inventory.Parse(files(inv, rules))
		require.Equal(t, cfg == nil, len(problems) > 0)
		for _, p := range problems {
			require.Positive(t, p.Line.Number)
			require.True(t, p.What != "" && p.Remedy != "", p)
		}
		if cfg == nil {
			return
		}
		require.Empty(t, inventory.Plan(cfg, cfg))
		for _, s := range cfg.Services() {
			require.Equal(t, s.Name, cfg.Operation(s.Name, "GET", "/").Service)
		}
		for _, g := range cfg.BackendServerGroups() {
			require.True(t, g.Count > 0 && g.Slots > 0 && g.Connections > 0)
		}
	})
}
