package settings_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagelane/settings"
)

const validMesh = `[mesh]
deployment = operators-platform
service = huvo11a
availability-zone = rn-natal
region = rn
backend-server = 10.1.0.8:8301
callers-listen = 10.1.0.8:8304
ready-listen = 10.1.0.8:8302
announce-listen = 10.1.0.8:8306
calls-listen = 10.1.0.8:8300
store = 10.200.1.7:8309
memory-mb = 284
grace = 6s
repeat-ratio = 0.2
repeats-allowed = 50
repeat-window = 10s
whole-chains = yes
give-way = yes
repeats-by-value = yes
compare-failures = yes
learn-capacity = yes
follow-run-times = yes
quota-window = 5s
quota-over = 0.1
quota-slack = 20
max-descriptors = 4100
caller-connections = 900
connection-kb = 512
`

// Guards against a field of Mesh that is not set, or is set from the wrong key or in the wrong unit.
func TestParseMeshReadsAllFields(t *testing.T) {
	m, err := settings.ParseMesh("mesh.ini", validMesh)
	require.NoError(t, err)
	require.Equal(t, settings.Mesh{Deployment: "operators-platform", Service: "huvo11a", AvailabilityZone: "rn-natal", Region: "rn",
		BackendServer: "10.1.0.8:8301", CallersListen: "10.1.0.8:8304", ReadyListen: "10.1.0.8:8302", AnnounceListen: "10.1.0.8:8306",
		CallsListen: "10.1.0.8:8300", CallsAddress: "10.1.0.8:8300", Store: "10.200.1.7:8309", MemoryMB: 284, Grace: 6 * time.Second,
		RepeatRatio: 0.2, RepeatsAllowed: 50, RepeatWindow: 10 * time.Second, WholeChains: true, GiveWay: true, RepeatsByValue: true,
		CompareFailures: true, LearnCapacity: true, FollowRunTimes: true, QuotaWindow: 5 * time.Second, QuotaOver: 0.1, QuotaSlack: 20,
		MaxDescriptors: 4100, CallerConnections: 900, ConnectionKB: 512}, m)
}

// Guards against a node that doesn't start because a template had no value for an optional setting, and against a required one that
// may be empty.
func TestParseMeshTakesEmptyOptionalSettingsAsUnset(t *testing.T) {
	text := strings.NewReplacer("quota-window = 5s", "quota-window =", "max-descriptors = 4100", "max-descriptors = ").Replace(validMesh)
	m, err := settings.ParseMesh("mesh.ini", text)
	require.NoError(t, err)
	require.Zero(t, m.QuotaWindow)
	require.Zero(t, m.MaxDescriptors)
	require.Equal(t, 900, m.CallerConnections)
	_, err = settings.ParseMesh("mesh.ini", strings.Replace(validMesh, "region = rn\n", "region =\n", 1))
	require.ErrorContains(t, err, "region has no value")
}

// Guards against invalid settings that are accepted, or that are reported without the line or the remedy.
func TestParseMeshReportsMistakes(t *testing.T) {
	for name, tc := range map[string]struct{ old, new, want string }{
		"no section":        {validMesh, "", "there is no [mesh] section"},
		"missing key":       {"service = huvo11a\n", "", "[mesh] has no service"},
		"unknown key":       {"region = rn\n", "region = rn\nregions = 3\n", "mesh.ini:6: unknown key regions"},
		"no address":        {"store = 10.200.1.7:8309", "store = here", "store = here is not an address"},
		"open address":      {"calls-listen = 10.1.0.8:8300", "calls-listen = 0.0.0.0:8300", "cannot be announced"},
		"same address":      {"ready-listen = 10.1.0.8:8302", "ready-listen = 10.1.0.8:8304", "uses the address 10.1.0.8:8304"},
		"grace, no unit":    {"grace = 6s", "grace = 6", "grace = 6"},
		"ratio above 1":     {"repeat-ratio = 0.2", "repeat-ratio = 2", "write a number from 0 to 1"},
		"quota over 1":      {"quota-over = 0.1", "quota-over = 2", "write a number from 0 to 1"},
		"long quota window": {"quota-window = 5s", "quota-window = 1m", "quota-window = 1m is out of range"},
		"ratio in words":    {"repeat-ratio = 0.2", "repeat-ratio = some", "write a number from 0 to 1"},
		"negative repeats":  {"repeats-allowed = 50", "repeats-allowed = -1", "repeats-allowed = -1 is out of range"},
		"chains in words":   {"whole-chains = yes", "whole-chains = maybe", "whole-chains = maybe is not a choice"},
		"give way alone":    {"whole-chains = yes\n", "", "give-way needs the reports of whole-chains"},
		"by value alone":    {"whole-chains = yes\ngive-way = yes\n", "", "repeats-by-value needs the reports of whole-chains"},
		"switch in words":   {"learn-capacity = yes", "learn-capacity = often", "learn-capacity = often is not a choice"},
		"few descriptors":   {"max-descriptors = 4100", "max-descriptors = 100", "max-descriptors = 100 is out of range"},
		"no connections":    {"caller-connections = 900", "caller-connections = 0", "caller-connections = 0 is out of range"},
		"memory in letters": {"memory-mb = 284", "memory-mb = much", "memory-mb = much is out of range"},
	} {
		_, err := settings.ParseMesh("mesh.ini", strings.Replace(validMesh, tc.old, tc.new, 1))
		require.ErrorContains(t, err, tc.want, name)
	}
}
