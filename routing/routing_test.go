package routing_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lovagelane/account"
	"lovagelane/kernel"
	"lovagelane/routing"
)

func newConfig(t *testing.T, routes ...routing.Route) *routing.Config {
	t.Helper()
	c, err := routing.New(7, routes, []routing.Service{{Name: "maps"}, {Name: "nursery"}}, routing.Limits{})
	require.NoError(t, err)
	return c
}

func route(name, host, prefix string, targets ...routing.Target) routing.Route {
	return routing.Route{Name: name, Host: host, Prefix: prefix, Targets: targets}
}

// Guards against a request that matches the route of another host, or a shorter prefix although a longer one matches.
func TestMatchTakesTheLongestPrefix(t *testing.T) {
	maps := routing.Target{Service: "maps", Weight: 1}
	c := newConfig(t, route("short", "a", "/x/", maps), route("long", "a", "/x/y/", maps), route("other", "b", "/x/y/z/", maps))
	for _, tc := range []struct{ host, path, want string }{
		{"a", "/x/1", "short"},
		{"a", "/x/y/1", "long"},
		{"a", "/x/y", "short"},
		{"a", "/x/y/z/1", "long"},
		{"b", "/x/y/z/1", "other"},
		{"b", "/x/1", ""},
		{"c", "/x/1", ""},
	} {
		r, ok := c.Match(tc.host, tc.path)
		require.Equal(t, tc.want != "", ok, "%s%s", tc.host, tc.path)
		if ok {
			require.Equal(t, tc.want, r.Name, "%s%s", tc.host, tc.path)
		}
	}
}

// Guards against a configuration that is accepted although it cannot route some requests.
func TestNewRejectsUnroutableConfiguration(t *testing.T) {
	maps := routing.Target{Service: "maps", Weight: 1}
	for name, r := range map[string]routing.Route{
		"no host":         route("r", "", "/x/", maps),
		"open prefix":     route("r", "a", "/x", maps),
		"no service":      route("r", "a", "/x/"),
		"unknown service": route("r", "a", "/x/", routing.Target{Service: "tides", Weight: 1}),
		"negative weight": route("r", "a", "/x/", maps, routing.Target{Service: "nursery", Weight: -1}),
		"no weight":       route("r", "a", "/x/", routing.Target{Service: "maps"}),
	} {
		_, err := routing.New(1, []routing.Route{r}, []routing.Service{{Name: "maps"}, {Name: "nursery"}}, routing.Limits{})
		require.Error(t, err, name)
	}
}

// Guards against shares of a split route that deviate from the weights when many nodes receive few requests each.
func TestSplitSharesMatchTheWeightsOverAllNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weight := rapid.IntRange(0, 100).Draw(t, "weight")
		nodes := rapid.IntRange(1, 60).Draw(t, "nodes")
		r := route("r", "a", "/", routing.Target{Service: "maps", Weight: weight}, routing.Target{Service: "nursery", Weight: 101 - weight})
		count := 0
		each := 600 / nodes
		for n := range nodes {
			var s routing.TrafficSplitter
			random := kernel.NewRand(uint64(n) + 1)
			for range each {
				if s.Next(&r, random) == "maps" {
					count++
				}
			}
		}
		share := float64(count) / float64(nodes*each)
		if math.Abs(share-float64(weight)/101) > 0.1 {
			t.Fatalf("share %.3f for weight %d of 101 on %d nodes", share, weight, nodes)
		}
	})
}

// Guards against a weight change that takes effect late because the old round robin sequence continues.
func TestChangedWeightsTakeEffectAtOnce(t *testing.T) {
	var s routing.TrafficSplitter
	random := kernel.NewRand(1)
	first := route("r", "a", "/", routing.Target{Service: "maps", Weight: 100}, routing.Target{Service: "nursery", Weight: 0})
	second := route("r", "a", "/", routing.Target{Service: "maps", Weight: 0}, routing.Target{Service: "nursery", Weight: 100})
	for i := range 10 {
		require.Equal(t, "maps", s.Next(&first, random), fmt.Sprint(i))
	}
	require.Equal(t, "nursery", s.Next(&second, random))
}

// Guards against a request without a key that runs on a route that needs one, and against calls of backend servers, which carry
// none, that are refused on public routes.
func TestIdentify(t *testing.T) {
	maps := routing.Target{Service: "maps", Weight: 1}
	private, public := route("private", "a", "/x/", maps), route("public", "a", "/y/", maps)
	private.Rank, public.Rank, public.Public = 4, 1, true
	c := newConfig(t, private, public)
	_, ok := c.Identify(c.Routes()[0], "")
	require.True(t, ok, "without accounts no key is needed")
	accounts, err := account.NewSet([]account.Credentials{
		{Account: account.Account{Name: "truro", Rank: kernel.Some(2)}, Keys: []string{"key"}}})
	require.NoError(t, err)
	with := c.WithAccounts(accounts)
	require.Zero(t, c.Accounts().Len())
	for _, tc := range []struct {
		route int
		key   string
		name  string
		ok    bool
	}{{0, "key", "truro", true}, {0, "other", "", false}, {0, "", "", false}, {1, "key", "truro", true}, {1, "other", "", true}, {1, "", "", true}} {
		a, ok := with.Identify(with.Routes()[tc.route], tc.key)
		require.Equal(t, tc.ok, ok)
		require.Equal(t, tc.name, a.Name)
	}
}

// Guards against a request of a less important account that goes before one of a more important account because of its route, and
// against calls of backend servers that are shed like the least important requests although their callers' work would be lost.
func TestRankOfAccountGoesBeforeThatOfRoute(t *testing.T) {
	maps := routing.Target{Service: "maps", Weight: 1}
	quote, order, call := route("quote", "a", "/x/", maps), route("order", "a", "/y/", maps), route("call", "a", "/z/", maps)
	order.Rank, call.Rank, call.Public = 2, 1, true
	c := newConfig(t, quote, order, call)
	routes := c.Routes()
	require.Equal(t, []int{0, 2, 1}, []int{c.Rank(routes[0], account.Account{}), c.Rank(routes[1], account.Account{}), c.Rank(routes[2], account.Account{})})
	first, second := account.Account{Name: "first", Rank: kernel.Some(0)}, account.Account{Name: "second", Rank: kernel.Some(1)}
	accounts, err := account.NewSet([]account.Credentials{{Account: first}, {Account: second}, {Account: account.Account{Name: "third"}}})
	require.NoError(t, err)
	c = c.WithAccounts(accounts)
	order1, quote2, call2, order2 := c.Rank(routes[1], first), c.Rank(routes[0], second), c.Rank(routes[2], account.Account{}), c.Rank(routes[1], second)
	require.IsIncreasing(t, []int{c.Rank(routes[0], first), order1, quote2, call2, order2})
	require.Equal(t, order2, c.LeastImportantRank())
	require.Equal(t, order2, c.Rank(routes[1], account.Account{Name: "third"}))
}
