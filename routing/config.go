package routing

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"lovagelane/account"
)

// Err is the class of errors for an invalid configuration.
var Err = errs.Class("routing")

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service string
	// Weight is the share of the requests, relative to the weights of the route's other targets.
	Weight int
}

// Route configures the handling of the requests of one host and path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent marks requests that may run more than once. Other requests run at most once for each attempt of the caller.
	Idempotent bool
	// Timeout bounds the time until the answer; zero means that only the deadline of the request applies.
	Timeout time.Duration
	// Objective is the target latency of an answer.
	Objective time.Duration
	// Rank is the importance under overload; rank 0 is shed last.
	Rank int
	// MaxAttempts bounds the number of backend servers that one request may be sent to.
	MaxAttempts int
	// Public marks a route whose requests need no client account.
	Public bool
	// Targets are the services that receive the requests, at least one.
	Targets []Target
}

// Service holds the configuration of a service.
type Service struct {
	Name string
	// MaxConnections bounds the number of connections that a backend server accepts from all callers; zero means no bound.
	MaxConnections int
}

// Limits bounds what callers may send. Nodes apply BodyBytes; their own limits stand in for the others.
type Limits struct {
	// BodyBytes is the maximum size of a request body; zero means no bound.
	BodyBytes int64
	// HeaderBytes is the maximum size of the headers of a request; zero means no bound.
	HeaderBytes int64
	// HeaderTimeout is how long a caller may take to send the headers; zero means no bound.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection of a caller may be idle; zero means no bound.
	IdleTimeout time.Duration
}

// Config is one version of the routes and services. It is immutable after New.
type Config struct {
	version     uint64
	limits      Limits
	services    map[string]Service
	serviceList []Service
	// byHost holds the routes of each host, the longest prefix first.
	byHost   map[string][]*Route
	routes   []*Route
	accounts account.Set
	// routeRanks is the number of ranks of routes, and leastAccountRank the highest rank of an account.
	routeRanks, leastAccountRank int
}

// New validates the routes and returns a configuration, or Problems with every mistake.
func New(version uint64, routes []Route, services []Service, limits Limits) (*Config, error) {
	c := &Config{version: version, limits: limits, services: make(map[string]Service, len(services)),
		serviceList: slices.Clone(services), byHost: map[string][]*Route{}}
	for _, s := range services {
		c.services[s.Name] = s
	}
	var problems Problems
	for i := range routes {
		r := routes[i]
		c.validateRoute(&problems, i, r)
		r.Targets = slices.Clone(r.Targets)
		r.MaxAttempts = max(r.MaxAttempts, 1)
		c.byHost[r.Host] = append(c.byHost[r.Host], &r)
		c.routes = append(c.routes, &r)
		c.routeRanks = max(c.routeRanks, r.Rank+1)
	}
	if len(problems) > 0 {
		return nil, Err.Wrap(problems)
	}
	for _, hostRoutes := range c.byHost {
		slices.SortStableFunc(hostRoutes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c, nil
}

func (c *Config) validateRoute(problems *Problems, i int, r Route) {
	at := Place{Kind: KindRoute, Index: i, Name: r.Name}
	if r.Host == "" {
		problems.Add(at.WithField(FieldHost), "route "+r.Name+" has no host", "set one")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		problems.Add(at.WithField(FieldPrefix), fmt.Sprintf("route %s has the prefix %q", r.Name, r.Prefix),
			"begin and end it with a slash")
	}
	if len(r.Targets) > 1 {
		// A single target may be written in another field than a list.
		at = at.WithField(FieldTargets)
	}
	if len(r.Targets) == 0 {
		problems.Add(at, "route "+r.Name+" has no target service", "add one")
		return
	}
	sum, valid := 0, true
	for _, t := range r.Targets {
		if _, ok := c.services[t.Service]; !ok {
			problems.Add(at, fmt.Sprintf("route %s has target %s, which is not a configured service", r.Name, t.Service),
				"add it to the services")
		}
		if t.Weight < 0 {
			problems.Add(at, fmt.Sprintf("route %s has target %s with weight %d", r.Name, t.Service, t.Weight), "use 0 or more")
			valid = false
		}
		sum += t.Weight
	}
	if valid && sum == 0 {
		problems.Add(at, "route "+r.Name+" has no target with a weight above 0", "set one")
	}
}

// Version returns the version number, by which configurations are ordered.
func (c *Config) Version() uint64 { return c.version }

// Limits returns the bounds of what callers may send.
func (c *Config) Limits() Limits { return c.limits }

// Routes returns all routes. The caller must not modify the result.
func (c *Config) Routes() []*Route { return c.routes }

// Services returns all services in the order of the configuration.
func (c *Config) Services() []Service { return slices.Clone(c.serviceList) }

// WithAccounts returns a copy of the configuration in which the requests of all but the public routes belong to one of the
// accounts. An empty set changes nothing.
func (c *Config) WithAccounts(accounts account.Set) *Config {
	copied := *c
	copied.accounts, copied.leastAccountRank = accounts, 0
	for _, a := range accounts.All() {
		copied.leastAccountRank = max(copied.leastAccountRank, a.Rank.Or(0))
	}
	return &copied
}

// Rank returns the importance of a request under overload; rank 0 is shed last. The rank of the account goes before that of the
// route. A request without an account has the rank of the least important accounts: a call of a backend server may work for any
// of them.
func (c *Config) Rank(r *Route, a account.Account) int {
	return a.Rank.Or(c.leastAccountRank)*c.routeRanks + r.Rank
}

// Accounts returns the client accounts.
func (c *Config) Accounts() account.Set { return c.accounts }

// Identify returns the client account of a request on a route, which is empty if there is none. It reports false if the route
// needs an account and the key identifies none. A public route needs no key, and ignores an unknown one.
func (c *Config) Identify(r *Route, key string) (account.Account, bool) {
	if c.accounts.Len() == 0 {
		return account.Account{}, true
	}
	a, known := c.accounts.ByKey(key)
	return a, known || r.Public
}

// LeastImportantRank returns the rank of the least important requests, which is the highest number.
func (c *Config) LeastImportantRank() int {
	return c.leastAccountRank*c.routeRanks + max(c.routeRanks-1, 0)
}

// Service returns a service by name.
func (c *Config) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Match returns the route of a host with the longest prefix that matches the path.
func (c *Config) Match(host, path string) (*Route, bool) {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}
