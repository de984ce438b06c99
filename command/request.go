package command

import (
	"fmt"
	"net/url"
	"path"
	"strings"
	"text/tabwriter"

	"lovagelane/inventory"
)

// isRequest reports whether the words identify a request by method and path instead of a setting.
func isRequest(words []string) bool {
	return len(words) == 3 && words[0] == "request" && strings.HasPrefix(words[2], "/")
}

// explainRequest prints the rule that matches a request and the resulting settings, each with its source line.
func explainRequest(env *Env, cfg *inventory.Config, method, target, format string) error {
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return problem(fmt.Errorf("%s is not a path: write it as /nursery/orders", target))
	}
	// Nodes also match rules against the decoded and cleaned path.
	service, rest, _ := strings.Cut(strings.TrimPrefix(path.Clean(u.Path), "/"), "/")
	if _, ok := cfg.Service(service); !ok {
		return problem(fmt.Errorf("there is no service %q: begin the path with a service of the inventory, as in /nursery/orders", service))
	}
	settings := requestSettings(cfg, cfg.Operation(service, strings.ToUpper(method), "/"+rest))
	if format == formatJSON {
		return writeJSON(env.Out, map[string]any{"settings": settings})
	}
	w := tabwriter.NewWriter(env.Out, 0, 0, 2, ' ', 0)
	for _, s := range settings {
		fmt.Fprintf(w, "%s\t%s\t%s (%s)\n", s.Key, s.Value, s.Line, s.Source)
	}
	return problem(w.Flush())
}

// requestSettings returns the effective settings of an operation. The source of the rule is default if no rule matches.
func requestSettings(cfg *inventory.Config, op inventory.Operation) []inventory.Setting {
	ruleSettings := map[string]inventory.Setting{}
	rule := inventory.Setting{Subject: inventory.Subject{Section: "service " + op.Service, Service: op.Service}, Key: "rule",
		Value: "none", Line: op.Line, Source: inventory.SourceDefault}
	for _, s := range cfg.Explain("request " + op.Name) {
		ruleSettings[s.Key] = s
		rule.Subject, rule.Value, rule.Source = s.Subject, op.Name, inventory.SourceStated
	}
	// settingOr returns the setting of the rule, or one with the given values if no rule matches or the rule does not set it.
	settingOr := func(key, value string, line inventory.Line, source inventory.Source) inventory.Setting {
		if s, ok := ruleSettings[key]; ok {
			return s
		}
		return inventory.Setting{Subject: rule.Subject, Key: key, Value: value, Line: line, Source: source}
	}
	rankLine := op.ClassLine
	for _, c := range cfg.Classes() {
		if c.Name == op.Class {
			rankLine = c.RankLine
		}
	}
	return []inventory.Setting{
		rule,
		settingOr("class", op.Class, op.ClassLine, inventory.SourceDefault),
		settingOr("rank", fmt.Sprint(op.Rank), rankLine, inventory.SourceInherited),
		settingOr("non-idempotent", "no", op.Line, inventory.SourceDefault),
		settingOr("timeout", op.Timeout.String(), op.TimeoutLine, inventory.SourceInherited),
	}
}
