package inventory

import (
	"slices"
	"strings"
)

// matcher finds the rule of one service for a request without allocating or looking at every rule. The rule with the
// narrower path wins, and for the same path a rule for one method wins over a rule for all methods. The check for
// ambiguous rules makes this the narrowest rule in every respect.
type matcher struct {
	exact    map[string]methods
	prefixes map[string]methods
	// lengths are the different lengths of the prefixes, longest first.
	lengths []int
	other   Operation
}

// methods are the rules for one path.
type methods struct {
	byMethod []methodRule
	any      *Operation
}

type methodRule struct {
	method    string
	operation *Operation
}

func (m methods) find(method string) *Operation {
	for i := range m.byMethod {
		if m.byMethod[i].method == method {
			return m.byMethod[i].operation
		}
	}
	return m.any
}

func (m methods) with(method string, op *Operation) methods {
	if method == "" {
		m.any = op
		return m
	}
	m.byMethod = append(m.byMethod, methodRule{method, op})
	return m
}

func (m *matcher) add(r Request) {
	op := r.Operation
	prefix, isPrefix := strings.CutSuffix(r.Path, "*")
	if !isPrefix {
		if m.exact == nil {
			m.exact = map[string]methods{}
		}
		m.exact[r.Path] = m.exact[r.Path].with(r.Method, &op)
		return
	}
	if m.prefixes == nil {
		m.prefixes = map[string]methods{}
	}
	m.prefixes[prefix] = m.prefixes[prefix].with(r.Method, &op)
	if !slices.Contains(m.lengths, len(prefix)) {
		m.lengths = append(m.lengths, len(prefix))
		slices.SortFunc(m.lengths, func(a, b int) int { return b - a })
	}
}

func (m *matcher) find(method, path string) *Operation {
	if i := strings.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	// A rule for /orders is also for /orders/: a slash at the end must not turn a non-idempotent request into another one.
	if op := m.exact[trimSlash(path)].find(method); op != nil {
		return op
	}
	for _, n := range m.lengths {
		if n > len(path) {
			continue
		}
		if op := m.prefixes[path[:n]].find(method); op != nil {
			return op
		}
	}
	return &m.other
}

func trimSlash(path string) string {
	if len(path) > 1 && path[len(path)-1] == '/' {
		return path[:len(path)-1]
	}
	return path
}

// pathWithin reports whether every path that a is for counts as a path that b is for. An exact rule for /orders, which is
// also for /orders/, counts as within /orders/*.
func pathWithin(a, b Request) bool {
	prefix, isPrefix := strings.CutSuffix(b.Path, "*")
	if !isPrefix {
		return a.Path == b.Path
	}
	path, aIsPrefix := strings.CutSuffix(a.Path, "*")
	return strings.HasPrefix(path, prefix) || !aIsPrefix && path+"/" == prefix
}

// crossing returns the method and path that two rules share when neither is narrower than the other: one has the narrower
// path and the other the narrower method.
func crossing(a, b Request) (method, path string, ok bool) {
	narrow, wide := a, b
	if !pathWithin(a, b) {
		narrow, wide = b, a
	}
	ok = narrow.Path != wide.Path && pathWithin(narrow, wide) && narrow.Method == "" && wide.Method != ""
	return wide.Method, narrow.Path, ok
}
