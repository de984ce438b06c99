package inventory

import (
	"slices"
	"strings"
)

// matcher finds the request rule of one service by exact path and then by longest prefix, without allocations or a scan
// of all rules. For the same path, a rule for one method takes precedence over a rule for all methods. Since checkOverlaps
// rejects ambiguous rules, the rule found is the most specific one in both path and method.
type matcher struct {
	exact    map[string]pathRules
	prefixes map[string]pathRules
	// prefixLengths holds the distinct lengths of the prefixes, longest first.
	prefixLengths []int
	fallback      Operation
}

// pathRules holds the rules for one path.
type pathRules struct {
	byMethod []methodRule
	any      *Operation
}

type methodRule struct {
	method    string
	operation *Operation
}

func (m pathRules) find(method string) *Operation {
	for i := range m.byMethod {
		if m.byMethod[i].method == method {
			return m.byMethod[i].operation
		}
	}
	return m.any
}

func (m pathRules) withRule(method string, op *Operation) pathRules {
	if method == "" {
		m.any = op
		return m
	}
	m.byMethod = append(m.byMethod, methodRule{method, op})
	return m
}

func (m *matcher) add(r RequestRule) {
	op := r.Operation
	prefix, isPrefix := strings.CutSuffix(r.Path, "*")
	if !isPrefix {
		if m.exact == nil {
			m.exact = map[string]pathRules{}
		}
		m.exact[r.Path] = m.exact[r.Path].withRule(r.Method, &op)
		return
	}
	if m.prefixes == nil {
		m.prefixes = map[string]pathRules{}
	}
	m.prefixes[prefix] = m.prefixes[prefix].withRule(r.Method, &op)
	if !slices.Contains(m.prefixLengths, len(prefix)) {
		m.prefixLengths = append(m.prefixLengths, len(prefix))
		slices.SortFunc(m.prefixLengths, func(a, b int) int { return b - a })
	}
}

func (m *matcher) find(method, path string) *Operation {
	if i := strings.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	// A rule for /orders also matches /orders/. Otherwise a trailing slash would make a non-idempotent request lose its rule.
	if op := m.exact[trimSlash(path)].find(method); op != nil {
		return op
	}
	for _, n := range m.prefixLengths {
		if n > len(path) {
			continue
		}
		if op := m.prefixes[path[:n]].find(method); op != nil {
			return op
		}
	}
	return &m.fallback
}

func trimSlash(path string) string {
	if len(path) > 1 && path[len(path)-1] == '/' {
		return path[:len(path)-1]
	}
	return path
}

// pathWithin reports whether b covers every path that a matches. An exact rule for /orders also matches /orders/ and
// counts as within /orders/*.
func pathWithin(a, b RequestRule) bool {
	prefix, isPrefix := strings.CutSuffix(b.Path, "*")
	if !isPrefix {
		return a.Path == b.Path
	}
	path, aIsPrefix := strings.CutSuffix(a.Path, "*")
	return strings.HasPrefix(path, prefix) || !aIsPrefix && path+"/" == prefix
}

// ambiguousOverlap returns the method and path that two rules share if neither is more specific: one has the narrower path
// and the other the narrower method.
func ambiguousOverlap(a, b RequestRule) (method, path string, ok bool) {
	narrow, wide := a, b
	if !pathWithin(a, b) {
		narrow, wide = b, a
	}
	ok = narrow.Path != wide.Path && pathWithin(narrow, wide) && narrow.Method == "" && wide.Method != ""
	return wide.Method, narrow.Path, ok
}
