package preflight

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"lovagelane/account"
	"lovagelane/inifile"
	"lovagelane/kernel"
	"lovagelane/routing"
)

// Severity tells whether a configuration with a finding should be sent.
type Severity string

// The severities of findings.
const (
	// SeverityError marks a configuration that nodes refuse, or an entry that can't be meant.
	SeverityError Severity = "error"
	// SeverityWarning marks an entry without effect, or a contradiction, that may be meant.
	SeverityWarning Severity = "warning"
)

// Finding is a problem of a configuration with its severity.
type Finding struct {
	Severity Severity
	routing.Problem
}

// Findings lists findings.
type Findings []Finding

// HasErrors reports whether a finding is an error.
func (f Findings) HasErrors() bool {
	return slices.ContainsFunc(f, func(f Finding) bool { return f.Severity == SeverityError })
}

// Environment is what a check knows beside the configuration; the zero value is nothing.
type Environment struct {
	// NodeLimits are the limits of the nodes themselves; a zero limit is not compared.
	NodeLimits routing.Limits
	// BackendServers is the number of backend servers of each service, or nil if it isn't known.
	BackendServers map[string]int
	// InForce is the configuration in force, or nil if there is none.
	InForce *routing.Config
}

// Check returns the findings on a configuration: on its version, its routes, services, accounts and limits, in this order.
func Check(cfg *routing.Config, env Environment) Findings {
	c := &checker{cfg: cfg, env: env}
	c.checkVersion()
	c.checkRoutes()
	c.checkRouteRanks()
	c.checkServices()
	c.checkAccounts()
	c.checkLimits()
	return c.findings
}

// Refused returns the findings on a configuration that can't be read or is not valid.
func Refused(problems routing.Problems) Findings {
	var findings Findings
	for _, p := range problems {
		findings = append(findings, Finding{Severity: SeverityError, Problem: p})
	}
	return findings
}

type checker struct {
	cfg      *routing.Config
	env      Environment
	findings Findings
}

func (c *checker) error(at routing.Place, what, remedy string) {
	c.findings = append(c.findings, Finding{SeverityError, routing.Problem{Place: at, What: what, Remedy: remedy}})
}

func (c *checker) warn(at routing.Place, what, remedy string) {
	c.findings = append(c.findings, Finding{SeverityWarning, routing.Problem{Place: at, What: what, Remedy: remedy}})
}

// checkVersion reports a version that nodes ignore because they have the same or a higher one.
func (c *checker) checkVersion() {
	old := c.env.InForce
	if old == nil || c.cfg.Version() > old.Version() || c.cfg.Version() == old.Version() && len(Changes(old, c.cfg)) == 0 {
		return
	}
	c.error(routing.Place{Kind: routing.KindVersion}, fmt.Sprintf("version %d does not exceed version %d, which is in force, so that "+
		"nodes ignore it", c.cfg.Version(), old.Version()), fmt.Sprintf("use %d or more", old.Version()+1))
}

func (c *checker) checkRoutes() {
	byName, byPrefix := map[string]bool{}, map[[2]string]*routing.Route{}
	for i, r := range c.cfg.Routes() {
		at := routing.Place{Kind: routing.KindRoute, Index: i, Name: r.Name}
		if r.Name == "" {
			c.warn(at.WithField(routing.FieldName), fmt.Sprintf("the route of host %s and prefix %s has no name, so that logs can't name it",
				r.Host, r.Prefix), "set one")
		} else if byName[r.Name] {
			c.warn(at.WithField(routing.FieldName), "route "+r.Name+" is listed twice, and the entries share what nodes learn of a route",
				"rename one")
		}
		byName[r.Name] = true
		if first := byPrefix[[2]string{r.Host, r.Prefix}]; first != nil {
			c.error(at.WithField(routing.FieldPrefix), fmt.Sprintf("route %s never matches, since route %s before it has the same host %s "+
				"and prefix %s", r.Name, first.Name, r.Host, r.Prefix), "remove one or change its prefix")
		} else {
			byPrefix[[2]string{r.Host, r.Prefix}] = r
		}
		c.checkRoute(at, r)
	}
}

func (c *checker) checkRoute(at routing.Place, r *routing.Route) {
	if !isRequestText(r.Host) || strings.Contains(r.Host, "/") {
		c.error(at.WithField(routing.FieldHost), fmt.Sprintf("route %s never matches, since no request has the host %q", r.Name, r.Host),
			"use a host name without spaces and slashes, with the port if requests state it")
	}
	if !isRequestText(r.Prefix) || strings.Contains(r.Prefix, "?") {
		c.error(at.WithField(routing.FieldPrefix), fmt.Sprintf("route %s never matches, since no path begins with %q", r.Name, r.Prefix),
			"write the path as it is sent, with %20 for a space and without a query")
	}
	if r.Rank < 0 {
		c.error(at.WithField(routing.FieldRank), fmt.Sprintf("route %s has the rank %d", r.Name, r.Rank), "use 0 or more")
	}
	if r.Timeout > 0 && r.Timeout < r.Objective {
		c.warn(at.WithField(routing.FieldTimeout), fmt.Sprintf("route %s has the timeout %v, which is below its latency objective %v",
			r.Name, r.Timeout, r.Objective), "raise the timeout or lower the objective")
	}
	c.checkTargets(at, r)
}

func (c *checker) checkTargets(at routing.Place, r *routing.Route) {
	listed := kernel.Set[string]{}
	for _, t := range r.Targets {
		if t.Weight == 0 {
			c.warn(at.WithField(routing.FieldTargets), fmt.Sprintf("route %s sends nothing to target %s, which has weight 0", r.Name, t.Service),
				"remove it or give it a weight")
		}
		if listed.Has(t.Service) {
			c.warn(at.WithField(routing.FieldTargets), fmt.Sprintf("route %s lists target %s twice", r.Name, t.Service), "add the weights")
		}
		listed[t.Service] = struct{}{}
		n := c.env.BackendServers[t.Service]
		if c.env.BackendServers != nil && t.Weight > 0 && r.MaxAttempts > max(n, 1) {
			c.warn(at.WithField(routing.FieldMaxAttempts), fmt.Sprintf("route %s may send a request to %d backend servers, but service %s has %d",
				r.Name, r.MaxAttempts, t.Service, n), "lower the number or add backend servers")
		}
	}
}

// isRequestText reports whether a text can be part of a request line or of a host.
func isRequestText(text string) bool {
	return !slices.ContainsFunc([]byte(text), func(b byte) bool { return b <= ' ' || b >= 0x7f })
}

// checkRouteRanks reports ranks that were set although they are all the same.
func (c *checker) checkRouteRanks() {
	routes := c.cfg.Routes()
	if len(routes) < 2 || routes[0].Rank == 0 || slices.ContainsFunc(routes, func(r *routing.Route) bool { return r.Rank != routes[0].Rank }) {
		return
	}
	c.warn(routing.Place{Kind: routing.KindRoute, Name: routes[0].Name, Field: routing.FieldRank},
		fmt.Sprintf("all routes have the rank %d, so that ranks decide nothing under overload", routes[0].Rank),
		"give important routes a lower rank, or leave the ranks out")
}

func (c *checker) checkServices() {
	used, listed := kernel.Set[string]{}, kernel.Set[string]{}
	for _, r := range c.cfg.Routes() {
		for _, t := range r.Targets {
			used[t.Service] = struct{}{}
		}
	}
	for i, s := range c.cfg.Services() {
		at := routing.Place{Kind: routing.KindService, Index: i, Name: s.Name}
		switch {
		case s.Name == "":
			c.error(at.WithField(routing.FieldName), fmt.Sprintf("service %d has no name, so that no route can have it as a target", i),
				"set one")
		case listed.Has(s.Name):
			c.error(at.WithField(routing.FieldName), "service "+s.Name+" is listed twice, and only the last entry counts", "remove one")
		case !used.Has(s.Name):
			c.warn(at, "service "+s.Name+" is the target of no route, so that it gets no requests", "remove it or add a route")
		case c.env.BackendServers != nil && c.env.BackendServers[s.Name] == 0:
			c.warn(at, "service "+s.Name+" has no backend servers, so that its requests are refused", "add backend servers")
		}
		listed[s.Name] = struct{}{}
		if s.MaxConnections < 0 {
			c.error(at.WithField(routing.FieldMaxConnections), fmt.Sprintf("service %s has %d connections", s.Name, s.MaxConnections),
				"use 0 for no bound, or more")
		}
	}
}

func (c *checker) checkAccounts() {
	set := c.cfg.Accounts()
	accounts := set.All()
	slices.SortFunc(accounts, func(a, b account.Account) int { return cmp.Compare(set.Position(a.Name), set.Position(b.Name)) })
	ranks := kernel.Set[int]{}
	for _, a := range accounts {
		at := routing.Place{Kind: routing.KindAccount, Index: set.Position(a.Name), Name: a.Name}
		if set.KeyCount(a.Name) == 0 {
			c.warn(at.WithField(routing.FieldKeys), "account "+a.Name+" has no keys, so that no request belongs to it", "add a key or remove it")
		}
		q := a.Quota
		switch {
		case q.Rate == 0 && q.Burst > 0:
			c.warn(at.WithField(routing.FieldRate), fmt.Sprintf("account %s has the burst %g without a rate, so that it is not limited", a.Name, q.Burst),
				"set a rate or remove the burst")
		case q.Rate > 0 && q.Burst == 0:
			c.warn(at.WithField(routing.FieldBurst), fmt.Sprintf("account %s has the rate %g without a burst, so that requests that arrive together "+
				"may be refused below the rate", a.Name, q.Rate), "set the burst to the number of requests that arrive together")
		}
		ranks[a.Rank.Or(-1)] = struct{}{}
	}
	if len(accounts) > 1 && len(ranks) == 1 && !ranks.Has(-1) {
		first := accounts[0]
		c.warn(routing.Place{Kind: routing.KindAccount, Name: first.Name, Field: routing.FieldRank},
			fmt.Sprintf("all accounts have the rank %d, so that ranks decide nothing between them", first.Rank.Or(0)),
			"give important accounts a lower rank, or leave the ranks out")
	}
}

// limit is a limit of the configuration and that of the nodes.
type limit struct {
	field      routing.Field
	text       string
	value, own int64
	format     func(int64) string
}

func (c *checker) checkLimits() {
	cfg, node := c.cfg.Limits(), c.env.NodeLimits
	duration := func(n int64) string { return time.Duration(n).String() }
	for _, l := range []limit{
		{routing.FieldBodyBytes, "bodies of requests", cfg.BodyBytes, node.BodyBytes, inifile.FormatBytes},
		{routing.FieldHeaderBytes, "headers of requests", cfg.HeaderBytes, node.HeaderBytes, inifile.FormatBytes},
		{routing.FieldHeaderTimeout, "the time to send a request", int64(cfg.HeaderTimeout), int64(node.HeaderTimeout), duration},
		{routing.FieldIdleTimeout, "the time that a connection is idle", int64(cfg.IdleTimeout), int64(node.IdleTimeout), duration},
	} {
		at := routing.Place{Kind: routing.KindLimits, Field: l.field}
		switch {
		case l.value < 0:
			c.error(at, fmt.Sprintf("the limit on %s is %s", l.text, l.format(l.value)), "use 0 for no bound, or more")
		case l.own > 0 && l.value > l.own:
			c.warn(at, fmt.Sprintf("the limit on %s is %s and can't be reached, since nodes have a limit of %s", l.text, l.format(l.value),
				l.format(l.own)), "lower it to "+l.format(l.own))
		}
	}
}
