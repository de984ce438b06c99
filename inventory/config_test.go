package inventory_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagelane/inventory"
)

const validInventory = `[region rn]
store = yes
[region ce]
[availability-zone rn-1]
region = rn
[availability-zone ce-1]
region = ce
[service nursery]
slots = 70
connections = 500
timeout = 2s
calls = payments
[service payments]
timeout = 10s
max-body = 64KB
[backend-servers nursery rn-1]
count = 2
slots = 35
[backend-servers nursery ce-1]
count = 1
[backend-servers payments rn-1]
count = 1
slots = 20
connections = 240
`

const validRules = `[class orders]
rank = 1
[class lookups]
rank = 6
default = yes
[request order-seedlings]
service = nursery
method = POST
path = /orders
class = orders
non-idempotent = yes
timeout = 500ms
[request orders]
service = nursery
path = /orders/*
class = lookups
[request urgent]
service = nursery
path = /orders/urgent/*
class = orders
[caller field-leads]
addresses = 10.1.0.0/16, 192.0.2.7
[objective nursery]
answered = 99.9%
within = 500ms
`

func files(inv, rules string) []inventory.File {
	return []inventory.File{{Name: "inventory.ini", Text: inv}, {Name: "rules.ini", Text: rules}}
}

func valid(t testing.TB) *inventory.Config {
	cfg, problems := inventory.Parse(files(validInventory, validRules))
	require.Empty(t, problems)
	return cfg
}

func invLine(n int) inventory.Line   { return inventory.Line{File: "inventory.ini", Number: n} }
func rulesLine(n int) inventory.Line { return inventory.Line{File: "rules.ini", Number: n} }

// Guards against a request that does not get its most specific rule, or a setting that refers to a wrong line.
func TestOperation(t *testing.T) {
	cfg := valid(t)
	order := inventory.Operation{Name: "order-seedlings", Service: "nursery", Class: "orders", Rank: 1, NonIdempotent: true,
		Timeout: 500 * time.Millisecond, Line: rulesLine(6), ClassLine: rulesLine(10), TimeoutLine: rulesLine(12)}
	for _, path := range []string{"/orders", "/orders/", "/orders?fast=1"} {
		require.Equal(t, order, cfg.Operation("nursery", "POST", path), path)
	}
	require.Equal(t, inventory.Operation{Name: "orders", Service: "nursery", Class: "lookups", Rank: 6, Timeout: 2 * time.Second,
		Line: rulesLine(13), ClassLine: rulesLine(16), TimeoutLine: invLine(11)}, cfg.Operation("nursery", "GET", "/orders/7"))
	require.Equal(t, "urgent", cfg.Operation("nursery", "GET", "/orders/urgent/7").Name)
	require.Equal(t, inventory.Operation{Name: "nursery.other", Service: "nursery", Class: "lookups", Rank: 6, Timeout: 2 * time.Second,
		Line: invLine(8), ClassLine: rulesLine(5), TimeoutLine: invLine(11)}, cfg.Operation("nursery", "GET", "/orders"))
	require.Equal(t, inventory.Operation{}, cfg.Operation("imagery", "GET", "/"))
}

// Guards against allocations in the lookups that run for each call.
func TestLookupsDoNotAllocate(t *testing.T) {
	cfg := valid(t)
	require.Zero(t, testing.AllocsPerRun(100, func() {
		cfg.Operation("nursery", "POST", "/orders/urgent/7?x=1")
		cfg.Operation("nursery", "GET", "/none")
		cfg.Service("nursery")
		cfg.Region("rn-1")
		cfg.BackendServers("nursery", "rn-1")
	}))
}

// Guards against limits that lose their override, their inherited or default value, or the line that sets them.
func TestLimits(t *testing.T) {
	cfg := valid(t)
	group, ok := cfg.BackendServers("nursery", "rn-1")
	require.True(t, ok)
	require.Equal(t, inventory.BackendServers{Service: "nursery", AvailabilityZone: "rn-1", Count: 2, Slots: 35, Connections: 500,
		Line: invLine(16), SlotsLine: invLine(18), ConnectionsLine: invLine(10)}, group)
	service, ok := cfg.Service("nursery")
	require.True(t, ok)
	require.Equal(t, inventory.Service{Name: "nursery", Timeout: 2 * time.Second, MaxBody: inventory.DefaultMaxBodyBytes,
		Calls: []string{"payments"}, Line: invLine(8), TimeoutLine: invLine(11), MaxBodyLine: invLine(8)}, service)
	region, ok := cfg.Region("ce-1")
	require.True(t, ok)
	require.Equal(t, "ce", region)
	require.EqualValues(t, 6, cfg.DefaultRank())
	require.EqualValues(t, 7, cfg.WithVersion(7).Version())
	require.Zero(t, cfg.Version())
}

// Guards against example files that Parse rejects, that have unexpected numbers of zones, backend servers, slots or
// connections, or whose important requests have a rank above 2 or are not marked non-idempotent.
func TestExamples(t *testing.T) {
	important := map[string][]string{
		"restinga-viva": {"payments POST /payments", "nursery POST /orders"},
		"pamoja":        {"job-booking POST /jobs", "leaf-orders POST /orders"},
	}
	sizes := map[string][3]int{
		"restinga-viva": {1, 70, 500}, "restinga-viva payments": {1, 20, 240},
		"pamoja": {1, 35, 300}, "pamoja job-booking": {1, 10, 170},
	}
	for name, requests := range important {
		var files []inventory.File
		for _, base := range []string{inventory.InventoryFile, inventory.RulesFile} {
			text, err := os.ReadFile(filepath.Join("..", "examples", name, base))
			require.NoError(t, err)
			files = append(files, inventory.File{Name: base, Text: string(text)})
		}
		cfg, problems := inventory.Parse(files)
		require.Empty(t, problems)
		for _, r := range requests {
			words := strings.Fields(r)
			op := cfg.Operation(words[0], words[1], words[2])
			require.LessOrEqual(t, op.Rank, uint8(2), r)
			require.True(t, op.NonIdempotent, r)
		}
		require.Len(t, cfg.AvailabilityZones(), 6)
		require.Len(t, cfg.BackendServerGroups(), 24)
		for _, g := range cfg.BackendServerGroups() {
			size, ok := sizes[name+" "+g.Service]
			if !ok {
				size = sizes[name]
			}
			require.Equal(t, size, [3]int{g.Count, g.Slots, g.Connections}, g.Service)
		}
	}
}

// BenchmarkOperation looks up requests among 37 services with 40 rules each.
func BenchmarkOperation(b *testing.B) {
	inv := "[region rn]\n[availability-zone rn-1]\nregion = rn\n"
	rules := "[class lookups]\nrank = 6\ndefault = yes\n"
	for s := range 37 {
		inv += fmt.Sprintf("[service s%d]\ntimeout = 2s\nslots = 1\nconnections = 1\n[backend-servers s%d rn-1]\ncount = 1\n", s, s)
		for r := range 20 {
			rules += fmt.Sprintf("[request a%d-%d]\nservice = s%d\nclass = lookups\nmethod = GET\npath = /%d/*\n", s, r, s, r)
			rules += fmt.Sprintf("[request b%d-%d]\nservice = s%d\nclass = lookups\nmethod = POST\npath = /%d\n", s, r, s, r)
		}
	}
	cfg, problems := inventory.Parse(files(inv, rules))
	require.Empty(b, problems)
	b.ReportAllocs()
	for b.Loop() {
		cfg.Operation("s36", "GET", "/19/orders")
	}
}
