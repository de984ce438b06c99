package inventory

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"lovagelane/call"
	"lovagelane/inifile"
)

// knownMethods lists the valid values of the key method; HTTP methods are case-sensitive.
var knownMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

func (b *builder) readRules(sections []inifile.Section) {
	b.readClasses(sectionsOfKind(sections, "class"))
	b.readRequests(sectionsOfKind(sections, "request"))
	b.readCallers(sectionsOfKind(sections, "caller"))
	b.readObjectives(sectionsOfKind(sections, "objective"))
}

func (b *builder) readClasses(sections []inifile.Section) {
	for _, s := range sections {
		c := Class{
			Name:     s.Names[0],
			Rank:     uint8(b.Int(s, "rank", 1, call.MaxRank)),
			Default:  b.Bool(s, "default"),
			Line:     s.Line,
			RankLine: s.LineOf("rank"),
		}
		if c.Default {
			c.DefaultLine = s.LineOf("default")
			if b.defaultClass.Default {
				b.Add(c.DefaultLine, "a second class is the default",
					fmt.Sprintf("keep default = yes here or on line %d", b.defaultClass.DefaultLine.Number))
			}
			b.defaultClass = c
		}
		sub := Subject{Section: s.Header()}
		b.recordSection(sub, s)
		b.recordKey(sub, s, "rank", fmt.Sprint(c.Rank))
		b.recordKey(sub, s, "default", yesNo(c.Default))
		if _, ok := b.class[c.Name]; !ok {
			b.class[c.Name] = c
			b.classes = append(b.classes, c)
		}
	}
	b.requireSection(b.rulesFile, len(b.classes), "[class NAME]", "add one for each class of requests")
	if len(b.classes) > 0 && !b.defaultClass.Default {
		b.Add(b.classes[len(b.classes)-1].Line, "no class is the default for requests that no rule matches",
			"add a line default = yes to one class")
	}
}

func (b *builder) readRequests(sections []inifile.Section) {
	seen := map[string]bool{}
	for _, s := range sections {
		r := b.readRequest(s)
		if seen[s.Names[0]] {
			continue
		}
		seen[s.Names[0]] = true
		b.requests = append(b.requests, r)
		if _, stated := s.Value("method"); stated && r.Method == "" {
			continue
		}
		if r.Path != "" && r.Operation.Service != "" {
			b.rulesByService[r.Operation.Service] = append(b.rulesByService[r.Operation.Service], r)
		}
	}
	for _, service := range sortedKeys(b.rulesByService) {
		b.checkOverlaps(b.rulesByService[service])
	}
}

func (b *builder) readRequest(s inifile.Section) RequestRule {
	op := Operation{
		Name:          s.Names[0],
		Service:       b.Name(s, "service"),
		Class:         b.Name(s, "class"),
		NonIdempotent: b.Bool(s, "non-idempotent"),
		Timeout:       b.Duration(s, "timeout", maxTimeout),
		Line:          s.Line,
		ClassLine:     s.LineOf("class"),
		TimeoutLine:   s.LineOf("timeout"),
	}
	checkReference(b, s, "service", op.Service, "service", b.service)
	checkReference(b, s, "class", op.Class, "class", b.class)
	class := b.class[op.Class]
	op.Rank = class.Rank
	r := RequestRule{Method: b.readMethod(s), Path: b.readPath(s)}

	sub := Subject{Section: s.Header(), Service: op.Service}
	b.recordSection(sub, s)
	b.recordKey(sub, s, "service", op.Service)
	b.recordKey(sub, s, "method", r.Method)
	b.recordKey(sub, s, "path", r.Path)
	b.recordKey(sub, s, "class", op.Class)
	b.recordSetting(sub, "rank", fmt.Sprint(op.Rank), class.RankLine, SourceInherited)
	b.recordKey(sub, s, "non-idempotent", yesNo(op.NonIdempotent))
	b.recordKey(sub, s, "timeout", op.Timeout.String())
	if entry, ok := b.service[op.Service]; ok {
		b.resolveTimeout(sub, &op, entry.service)
	}
	r.Operation = op
	return r
}

// resolveTimeout applies the service's timeout to a rule without one and reports a timeout that exceeds the service's.
func (b *builder) resolveTimeout(sub Subject, op *Operation, service Service) {
	if op.TimeoutLine == op.Line {
		op.Timeout, op.TimeoutLine = service.Timeout, service.TimeoutLine
		b.recordSetting(sub, "timeout", op.Timeout.String(), op.TimeoutLine, SourceInherited)
		return
	}
	if service.Timeout > 0 && op.Timeout > service.Timeout {
		b.Add(op.TimeoutLine, fmt.Sprintf("timeout %s is longer than the %s of service %s", op.Timeout, service.Timeout, service.Name),
			fmt.Sprintf("shorten it, or raise the timeout in %s", service.TimeoutLine))
	}
}

func (b *builder) readMethod(s inifile.Section) string {
	v, ok := s.Value("method")
	if ok && !slices.Contains(knownMethods, v.Text) {
		b.Add(v.Line, fmt.Sprintf("the rule can never match: %s is not a method", v.Text),
			"use one of "+strings.Join(knownMethods, ", ")+", or remove the line for all methods")
		return ""
	}
	return v.Text
}

// readPath returns the path of a rule, or "" if no request can match it.
func (b *builder) readPath(s inifile.Section) string {
	v, ok := s.Value("path")
	if !ok {
		return ""
	}
	path, isPrefix := strings.CutSuffix(v.Text, "*")
	fault, remedy := "", ""
	switch {
	case !strings.HasPrefix(path, "/"):
		fault, remedy = "does not begin with /", "write the path without the service, as in /orders"
	case strings.Contains(path, "*"):
		fault, remedy = "has a * inside", "put the * at the end, for all paths that begin with the text before it"
	case strings.ContainsAny(path, "?#"):
		fault, remedy = "has a query or a fragment, and rules see the path alone", "remove it"
	case strings.ContainsAny(path, " \t\\"):
		fault, remedy = "has a space or a backslash", "remove it"
	case strings.Contains(path, "//") || slices.ContainsFunc(strings.Split(path, "/"), func(p string) bool { return p == "." || p == ".." }):
		fault, remedy = "has an empty, . or .. segment, which is resolved before rules are read", "write the resolved path"
	case !isPrefix && path != trimSlash(path):
		fault, remedy = "ends with /", "remove the / (a rule for /orders is also for /orders/), or write /* for all below it"
	}
	if fault != "" {
		b.Add(v.Line, fmt.Sprintf("the rule can never match: path %s %s", v.Text, fault), remedy)
		return ""
	}
	return v.Text
}

// checkOverlaps reports duplicate rules, and rules that overlap with an earlier one while neither is more specific, unless
// a third rule matches exactly the requests that they share. It reports at most one problem for each rule, to keep the list
// short if many rules overlap.
func (b *builder) checkOverlaps(rules []RequestRule) {
	patterns := map[[2]string]bool{}
	for _, r := range rules {
		patterns[[2]string{r.Method, r.Path}] = true
	}
	for i, r := range rules {
		for _, earlier := range rules[:i] {
			if r.Method == earlier.Method && r.Path == earlier.Path {
				b.Add(r.Operation.Line, fmt.Sprintf("the rule can never match: %s is for the same requests", earlier.label()),
					"keep one of them, or change a method or a path")
				break
			}
			method, path, ambiguous := ambiguousOverlap(earlier, r)
			if ambiguous && !patterns[[2]string{method, path}] {
				b.Add(r.Operation.Line, fmt.Sprintf("the rule is ambiguous: it and %s overlap and neither is narrower", earlier.label()),
					fmt.Sprintf("add a request with method = %s and path = %s", method, path))
				break
			}
		}
	}
}

func (r RequestRule) label() string {
	return fmt.Sprintf("request %s of line %d", r.Operation.Name, r.Operation.Line.Number)
}

func (b *builder) readCallers(sections []inifile.Section) {
	for _, s := range sections {
		c := Caller{Name: s.Names[0], Line: s.Line}
		var texts []string
		for _, item := range b.List(s, "addresses") {
			prefix, err := parsePrefix(item)
			if err != nil {
				b.Add(s.LineOf("addresses"), fmt.Sprintf("%s is not a network", item),
					"write addresses as 10.1.2.0/24 or 10.1.2.3, with no bits set beyond the length")
				continue
			}
			c.Addresses = append(c.Addresses, prefix)
			texts = append(texts, prefix.String())
		}
		slices.Sort(texts)
		sub := Subject{Section: s.Header()}
		b.recordSection(sub, s)
		b.recordKey(sub, s, "addresses", strings.Join(texts, ", "))
		if _, ok := b.caller[c.Name]; !ok {
			b.caller[c.Name] = c
			b.callers = append(b.callers, c)
		}
	}
}

func parsePrefix(text string) (netip.Prefix, error) {
	if address, err := netip.ParseAddr(text); err == nil && address.Zone() == "" {
		return netip.PrefixFrom(address, address.BitLen()), nil
	}
	prefix, err := netip.ParsePrefix(text)
	if err == nil && prefix != prefix.Masked() {
		err = fmt.Errorf("%s has bits set beyond its length", text)
	}
	return prefix, err
}

func (b *builder) readObjectives(sections []inifile.Section) {
	for _, s := range sections {
		o := Objective{Service: s.Names[0], Answered: b.Percent(s, "answered"), Within: b.Duration(s, "within", maxTimeout), Line: s.Line}
		checkReference(b, s, "", o.Service, "service", b.service)
		if entry, ok := b.service[o.Service]; ok && entry.service.Timeout > 0 && o.Within > entry.service.Timeout {
			b.Add(s.LineOf("within"), fmt.Sprintf("within %s is longer than the timeout %s of service %s",
				o.Within, entry.service.Timeout, o.Service), fmt.Sprintf("shorten it, or raise the timeout in %s", entry.service.TimeoutLine))
		}
		sub := Subject{Section: s.Header(), Service: o.Service}
		b.recordSection(sub, s)
		b.recordKey(sub, s, "answered", strconv.FormatFloat(o.Answered*100, 'g', 10, 64)+"%")
		b.recordKey(sub, s, "within", o.Within.String())
		if _, ok := b.objective[o.Service]; !ok {
			b.objective[o.Service] = o
			b.objectives = append(b.objectives, o)
		}
	}
}

// buildMatchers fills the matcher of each service with its rules. It runs only if the files have no problems.
func (b *builder) buildMatchers() {
	for _, entry := range b.service {
		entry.match.fallback = Operation{
			Name: entry.service.Name + ".other", Service: entry.service.Name, Class: b.defaultClass.Name, Rank: b.defaultClass.Rank,
			Timeout: entry.service.Timeout, Line: entry.service.Line, ClassLine: b.defaultClass.DefaultLine,
			TimeoutLine: entry.service.TimeoutLine,
		}
	}
	for _, r := range b.requests {
		b.service[r.Operation.Service].match.add(r)
	}
}
