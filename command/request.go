package command

import (
	"fmt"
	"net/url"
	"path"
	"strings"
	"text/tabwriter"

	"lovagelane/inventory"
)

// isRequest reports whether the words name a request by method and path rather than a setting.
func isRequest(words []string) bool {
	return len(words) == 3 && words[0] == "request" && strings.HasPrefix(words[2], "/")
}

// explainRequest shows the rule for a request and what follows from it, each with its line.
func explainRequest(env *Env, cfg *inventory.Config, method, target, format string) error {
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return problem(fmt.Errorf("%s is not a path: write it as /nursery/orders", target))
	}
	// Nodes match rules by the decoded and resolved path too.
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

// requestSettings lists what the rules say about an operation. The source of the rule is default when none matches.
func requestSettings(cfg *inventory.Config, op inventory.Operation) []inventory.Setting {
	stated := map[string]inventory.Setting{}
	rule := inventory.Setting{Subject: inventory.Subject{Section: "service " + op.Service, Service: op.Service}, Key: "rule",
		Value: "none", Line: op.Line, Source: inventory.SourceDefault}
	for _, s := range cfg.Explain("request " + op.Name) {
		stated[s.Key] = s
		rule.Subject, rule.Value, rule.Source = s.Subject, op.Name, inventory.SourceStated
	}
	set := func(key, value string, line inventory.Line, source inventory.Source) inventory.Setting {
		if s, ok := stated[key]; ok {
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
		set("class", op.Class, op.ClassLine, inventory.SourceDefault),
		set("rank", fmt.Sprint(op.Rank), rankLine, inventory.SourceInherited),
		set("non-idempotent", "no", op.Line, inventory.SourceDefault),
		set("timeout", op.Timeout.String(), op.TimeoutLine, inventory.SourceInherited),
	}
}
