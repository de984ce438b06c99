package chain

import (
	"time"

	"lovagelane/kernel"
)

const (
	// callerTTL is how long a service counts as a caller of a route after a call.
	callerTTL = 10 * time.Second
	// outsideCoverage is the share of all nodes for which the calling services of a route must stand so that it counts as called
	// by outside callers. Outside callers enter at the nodes of all services, backend servers at those of their own.
	outsideCoverage = 0.9
	// maxCallers bounds the number of calling services that are stored for a route.
	maxCallers = 256
	// coverageInterval is the time between two checks of the coverage of a route.
	coverageInterval = 500 * time.Millisecond
)

// Callers learns which routes are called by outside callers, and not only by backend servers. The caller serializes access to
// it. Its zero value is ready to use.
type Callers struct {
	routes *kernel.LRU[string, routeCallers]
}

type routeCallers struct {
	// lastCall holds the time of the last call by the service of the calling node.
	lastCall  map[string]time.Time
	checkedAt time.Time
	outside   bool
}

// Record records a call of a route by a node beside a backend server of the given service.
func (c *Callers) Record(now time.Time, route, service string) {
	if c.routes == nil {
		c.routes = kernel.NewLRU[string, routeCallers](maxRoutes)
	}
	r := c.routes.GetOrAdd(route)
	if r.lastCall == nil {
		r.lastCall = map[string]time.Time{}
	}
	if _, known := r.lastCall[service]; known || len(r.lastCall) < maxCallers {
		r.lastCall[service] = now
	}
}

// Outside reports whether a route is called by outside callers, given the number of nodes of each service. It reports false
// until calls have shown it.
func (c *Callers) Outside(now time.Time, route string, nodes map[string]int) bool {
	if c.routes == nil {
		return false
	}
	r := c.routes.Get(route)
	if r == nil {
		return false
	}
	if now.Sub(r.checkedAt) < coverageInterval {
		return r.outside
	}
	covered, total := 0, 0
	for service, n := range nodes {
		total += n
		if at, ok := r.lastCall[service]; ok && now.Sub(at) < callerTTL {
			covered += n
		}
	}
	r.checkedAt, r.outside = now, total > 0 && float64(covered) >= outsideCoverage*float64(total)
	return r.outside
}
