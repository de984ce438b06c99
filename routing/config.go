package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Err is the class of errors for a configuration that cannot be put in force.
var Err = errs.Class("routing")

// Target is a service that takes a share of a route's requests.
type Target struct {
	Service string
	// Weight is relative to the weights of the route's other targets.
	Weight int
}

// Route says what is done with the requests of one host and path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent requests may run more than once; others run at most once for each attempt of the caller.
	Idempotent bool
	// Timeout is the longest time that a request may be kept waiting; zero means that only its deadline counts.
	Timeout time.Duration
	// Objective is the latency within which an answer is worth most to the caller.
	Objective time.Duration
	// Rank is the importance under overload; 0 is shed last.
	Rank int
	// MaxAttempts bounds the backend servers that one request may be sent to.
	MaxAttempts int
	// Targets are the services that take the requests, at least one.
	Targets []Target
}

// Service is a service as the configuration describes it.
type Service struct {
	Name string
	// MaxConnections bounds the connections that a backend server accepts from all callers; zero means no bound.
	MaxConnections int
}

// Limits bound what a caller may send.
type Limits struct {
	// BodyBytes is the largest body of a request; zero means no bound.
	BodyBytes int64
}

// Config is one version of the routes and services; it does not change after New.
type Config struct {
	version  uint64
	limits   Limits
	services map[string]Service
	// byHost holds the routes of a host, the longest prefix first.
	byHost map[string][]*Route
	routes []*Route
	// least is the rank of the least important route.
	least int
}

// New checks the parts of a configuration and returns it.
func New(version uint64, routes []Route, services []Service, limits Limits) (*Config, error) {
	c := &Config{version: version, limits: limits, services: make(map[string]Service, len(services)), byHost: map[string][]*Route{}}
	for _, s := range services {
		c.services[s.Name] = s
	}
	for i := range routes {
		r := routes[i]
		if err := c.check(r); err != nil {
			return nil, err
		}
		r.Targets = slices.Clone(r.Targets)
		r.MaxAttempts = max(r.MaxAttempts, 1)
		c.byHost[r.Host] = append(c.byHost[r.Host], &r)
		c.routes = append(c.routes, &r)
		c.least = max(c.least, r.Rank)
	}
	for _, list := range c.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c, nil
}

func (c *Config) check(r Route) error {
	if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return Err.New("route %s has host %q and prefix %q: state a host and a prefix that begins and ends with a slash", r.Name, r.Host, r.Prefix)
	}
	if len(r.Targets) == 0 {
		return Err.New("route %s leads to no service: name one", r.Name)
	}
	sum := 0
	for _, t := range r.Targets {
		if _, ok := c.services[t.Service]; !ok {
			return Err.New("route %s leads to %s, which is not among the services: add it there", r.Name, t.Service)
		}
		if t.Weight < 0 {
			return Err.New("route %s gives %s the weight %d: use 0 or more", r.Name, t.Service, t.Weight)
		}
		sum += t.Weight
	}
	if sum == 0 {
		return Err.New("route %s has no weight above 0: give one to a service", r.Name)
	}
	return nil
}

// Version returns the number by which versions compare.
func (c *Config) Version() uint64 { return c.version }

// Limits returns the bounds on what callers send.
func (c *Config) Limits() Limits { return c.limits }

// Routes returns all routes; the result must not be changed.
func (c *Config) Routes() []*Route { return c.routes }

// LeastRank returns the rank of the least important routes.
func (c *Config) LeastRank() int { return c.least }

// Service returns a service by name.
func (c *Config) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Match returns the route of a host whose prefix is the longest that begins the path.
func (c *Config) Match(host, path string) (*Route, bool) {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}
