package preflight_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagelane/account"
	"lovagelane/kernel"
	"lovagelane/preflight"
	"lovagelane/routing"
)

// draft is a configuration that a test changes before it is built.
type draft struct {
	version  uint64
	routes   []routing.Route
	services []routing.Service
	accounts []account.Credentials
	limits   routing.Limits
}

func newDraft() *draft {
	return &draft{
		version: 8,
		routes: []routing.Route{
			{Name: "maps", Host: "h", Prefix: "/maps/", Idempotent: true, Timeout: 2 * time.Second, Objective: time.Second, MaxAttempts: 2,
				Targets: []routing.Target{{Service: "maps", Weight: 1}}},
			{Name: "orders", Host: "h", Prefix: "/", Rank: 1, MaxAttempts: 2,
				Targets: []routing.Target{{Service: "maps", Weight: 1}, {Service: "nursery", Weight: 9}}},
		},
		services: []routing.Service{{Name: "maps", MaxConnections: 9}, {Name: "nursery"}},
		accounts: []account.Credentials{
			{Account: account.Account{Name: "truro", Quota: account.Quota{Rate: 5, Burst: 5}}, Keys: []string{"k1", "k2"}},
			{Account: account.Account{Name: "bodmin"}, Keys: []string{"k3"}},
		},
		limits: routing.Limits{BodyBytes: 1 << 20},
	}
}

func (d *draft) build(t *testing.T) *routing.Config {
	t.Helper()
	cfg, err := routing.New(d.version, d.routes, d.services, d.limits)
	require.NoError(t, err)
	accounts, err := account.NewSet(d.accounts)
	require.NoError(t, err)
	return cfg.WithAccounts(accounts)
}

// Guards against a mistake that is not found, is found at another place or severity, or hides others, and against findings on a
// configuration without mistakes.
func TestCheckFindsMistakes(t *testing.T) {
	node := routing.Limits{BodyBytes: 8 << 20, IdleTimeout: time.Minute}
	for name, tc := range map[string]struct {
		change  func(d *draft)
		servers map[string]int
		// want is the severity, kind, name and field, with a part of the text.
		want string
		text string
	}{
		"nothing": {func(*draft) {}, nil, "", ""},
		"same prefix": {func(d *draft) {
			d.routes = append(d.routes, routing.Route{Name: "late", Host: "h", Prefix: "/maps/", Targets: d.routes[0].Targets})
		}, nil, "error route late prefix", "since route maps before it"},
		"same prefix of another host": {func(d *draft) { d.routes[1].Host, d.routes[1].Prefix = "other", "/maps/" }, nil, "", ""},
		"query in prefix":             {func(d *draft) { d.routes[0].Prefix = "/a?b/" }, nil, "error route maps prefix", "never matches"},
		"path in host":                {func(d *draft) { d.routes[0].Host = "h/x" }, nil, "error route maps host", "never matches"},
		"negative rank":               {func(d *draft) { d.routes[0].Rank = -1 }, nil, "error route maps rank", "rank -1"},
		"low timeout":                 {func(d *draft) { d.routes[0].Timeout = time.Millisecond }, nil, "warning route maps timeout", "below its latency objective 1s"},
		"no timeout":                  {func(d *draft) { d.routes[0].Timeout = 0 }, nil, "", ""},
		"weight 0":                    {func(d *draft) { d.routes[1].Targets[0].Weight = 0 }, nil, "warning route orders targets", "weight 0"},
		"target twice":                {func(d *draft) { d.routes[1].Targets[0].Service = "nursery" }, nil, "warning route orders targets", "twice"},
		"name twice":                  {func(d *draft) { d.routes[1].Name = "maps" }, nil, "warning route maps name", "listed twice"},
		"no name":                     {func(d *draft) { d.routes[1].Name = "" }, nil, "warning route  name", "no name"},
		"few backend servers":         {func(*draft) {}, map[string]int{"maps": 2, "nursery": 1}, "warning route orders max-attempts", "service nursery has 1"},
		"no backend servers": {func(d *draft) { d.routes[0].MaxAttempts, d.routes[1].MaxAttempts = 1, 0 },
			map[string]int{"maps": 2}, "warning service nursery ", "no backend servers"},
		"equal ranks":        {func(d *draft) { d.routes[0].Rank = 1 }, nil, "warning route maps rank", "all routes have the rank 1"},
		"no ranks":           {func(d *draft) { d.routes[1].Rank = 0 }, nil, "", ""},
		"service unused":     {func(d *draft) { d.services = append(d.services, routing.Service{Name: "pay"}) }, nil, "warning service pay ", "no route"},
		"service twice":      {func(d *draft) { d.services = append(d.services, d.services[0]) }, nil, "error service maps name", "only the last"},
		"connections":        {func(d *draft) { d.services[0].MaxConnections = -1 }, nil, "error service maps max-connections", "-1"},
		"no keys":            {func(d *draft) { d.accounts[0].Keys = nil }, nil, "warning account truro keys", "no keys"},
		"burst, no rate":     {func(d *draft) { d.accounts[0].Account.Quota.Rate = 0 }, nil, "warning account truro rate", "not limited"},
		"rate, no burst":     {func(d *draft) { d.accounts[0].Account.Quota.Burst = 0 }, nil, "warning account truro burst", "without a burst"},
		"body beyond node":   {func(d *draft) { d.limits.BodyBytes = 9 << 20 }, nil, "warning limits  body-bytes", "can't be reached"},
		"idle beyond node":   {func(d *draft) { d.limits.IdleTimeout = time.Hour }, nil, "warning limits  idle-timeout", "limit of 1m0s"},
		"negative limit":     {func(d *draft) { d.limits.HeaderBytes = -1 }, nil, "error limits  header-bytes", "-1"},
		"equal account rank": {func(d *draft) { setRanks(d, 2, 2) }, nil, "warning account truro rank", "all accounts have the rank 2"},
		"account ranks":      {func(d *draft) { setRanks(d, 2, 1) }, nil, "", ""},
	} {
		d := newDraft()
		tc.change(d)
		findings := preflight.Check(d.build(t), preflight.Environment{NodeLimits: node, BackendServers: tc.servers})
		var got []string
		for _, f := range findings {
			got = append(got, strings.Join([]string{string(f.Severity), string(f.Place.Kind), f.Place.Name, string(f.Place.Field)}, " "))
			require.Contains(t, f.What, tc.text, name)
			require.NotEmpty(t, f.Remedy, name)
		}
		require.Equal(t, tc.want, strings.Join(got, ", "), name)
		require.Equal(t, strings.HasPrefix(tc.want, "error"), findings.HasErrors(), name)
	}
}

func setRanks(d *draft, ranks ...int) {
	for i, r := range ranks {
		d.accounts[i].Account.Rank = kernel.Some(r)
	}
}

// Guards against a difference that is missed, and against a key in the output.
func TestChangesListEveryField(t *testing.T) {
	old, next := newDraft(), newDraft()
	require.Empty(t, preflight.Changes(old.build(t), next.build(t)))
	next.routes[0].Timeout, next.routes[0].Idempotent, next.routes[0].Public = 0, false, true
	next.routes[1].Targets[0].Weight = 3
	next.routes[1].Name = "sales"
	next.services[0].MaxConnections = 10
	next.accounts[0].Keys = []string{"k2", "k4", "k5"}
	next.accounts[1] = account.Credentials{Account: account.Account{Name: "looe"}, Keys: []string{"k3"}}
	next.limits = routing.Limits{BodyBytes: 7, IdleTimeout: time.Second}
	var lines []string
	for _, c := range preflight.Changes(old.build(t), next.build(t)) {
		lines = append(lines, c.String())
	}
	require.Equal(t, []string{
		"~ route maps idempotent: yes -> no",
		"~ route maps public: no -> yes",
		"~ route maps timeout: 2s -> none",
		"+ route sales: host = h, prefix = /, idempotent = no, rank = 1, max-attempts = 2, public = no, targets = maps 3 and nursery 9",
		"- route orders: host = h, prefix = /, idempotent = no, rank = 1, max-attempts = 2, public = no, targets = maps 1 and nursery 9",
		"~ service maps max-connections: 9 -> 10",
		"+ account looe: keys = 1",
		"~ account truro keys: 2 added, 1 withdrawn",
		"- account bodmin: keys = 1",
		"~ limits body-bytes: 1048576 -> 7",
		"~ limits idle-timeout: none -> 1s",
	}, lines)
	require.Len(t, preflight.Changes(nil, old.build(t)), 7)

	// Keys that move between accounts are withdrawn from one and added to the other.
	moved := newDraft()
	moved.accounts[0].Keys, moved.accounts[1].Keys = moved.accounts[1].Keys, moved.accounts[0].Keys
	require.Equal(t, []preflight.Change{
		preflight.KeysChanged{Subject: preflight.Subject{Kind: routing.KindAccount, Name: "bodmin"}, Added: 2, Withdrawn: 1},
		preflight.KeysChanged{Subject: preflight.Subject{Kind: routing.KindAccount, Name: "truro"}, Added: 1, Withdrawn: 2},
	}, preflight.Changes(old.build(t), moved.build(t)))
}

// Guards against a configuration that is sent and that nodes ignore, because its version does not exceed the one in force.
func TestCheckComparesVersions(t *testing.T) {
	for name, tc := range map[string]struct {
		version uint64
		change  bool
		want    bool
	}{
		"higher": {9, true, false}, "same, unchanged": {8, false, false}, "same, changed": {8, true, true}, "lower, unchanged": {7, false, true},
	} {
		d := newDraft()
		d.version = tc.version
		if tc.change {
			d.limits.BodyBytes = 5
		}
		findings := preflight.Check(d.build(t), preflight.Environment{InForce: newDraft().build(t)})
		require.Equal(t, tc.want, findings.HasErrors(), name)
	}
}
