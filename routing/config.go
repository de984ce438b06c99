package routing

import (
	"cmp"
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

// Limits holds the size limits of requests.
type Limits struct {
	// BodyBytes is the maximum size of a request body; zero means no bound.
	BodyBytes int64
}

// Config is one version of the routes and services. It is immutable after New.
type Config struct {
	version  uint64
	limits   Limits
	services map[string]Service
	// byHost holds the routes of each host, the longest prefix first.
	byHost   map[string][]*Route
	routes   []*Route
	accounts account.Set
	// routeRanks is the number of ranks of routes, and leastAccountRank the highest rank of an account.
	routeRanks, leastAccountRank int
}

// New validates the routes and returns a configuration.
func New(version uint64, routes []Route, services []Service, limits Limits) (*Config, error) {
	c := &Config{version: version, limits: limits, services: make(map[string]Service, len(services)), byHost: map[string][]*Route{}}
	for _, s := range services {
		c.services[s.Name] = s
	}
	for i := range routes {
		r := routes[i]
		if err := c.validateRoute(r); err != nil {
			return nil, err
		}
		r.Targets = slices.Clone(r.Targets)
		r.MaxAttempts = max(r.MaxAttempts, 1)
		c.byHost[r.Host] = append(c.byHost[r.Host], &r)
		c.routes = append(c.routes, &r)
		c.routeRanks = max(c.routeRanks, r.Rank+1)
	}
	for _, hostRoutes := range c.byHost {
		slices.SortStableFunc(hostRoutes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c, nil
}

func (c *Config) validateRoute(r Route) error {
	if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return Err.New("route %s has host %q and prefix %q: set a host and a prefix that begins and ends with a slash", r.Name, r.Host, r.Prefix)
	}
	if len(r.Targets) == 0 {
		return Err.New("route %s has no target service: add one", r.Name)
	}
	sum := 0
	for _, t := range r.Targets {
		if _, ok := c.services[t.Service]; !ok {
			return Err.New("route %s has target %s, which is not a configured service: add it to the services", r.Name, t.Service)
		}
		if t.Weight < 0 {
			return Err.New("route %s has target %s with weight %d: use 0 or more", r.Name, t.Service, t.Weight)
		}
		sum += t.Weight
	}
	if sum == 0 {
		return Err.New("route %s has no target with a weight above 0: set one", r.Name)
	}
	return nil
}

// Version returns the version number, by which configurations are ordered.
func (c *Config) Version() uint64 { return c.version }

// Limits returns the size limits of requests.
func (c *Config) Limits() Limits { return c.limits }

// Routes returns all routes. The caller must not modify the result.
func (c *Config) Routes() []*Route { return c.routes }

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
