package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"lovagelane/settings"
)

const valid = `[node]
service = nursery
availability-zone = rn-1
backend-server = 127.0.0.1:8080
callers-listen = 10.1.0.5:7000
backend-listen = 127.0.0.1:7001
calls-listen = 10.1.0.5:7002
control-listen = 10.1.0.5:7002
seeds = 10.1.0.6:7003, [2001:db8::5]:7003
store = http://10.1.0.2:8000/
[keys]
certificate = node.pem
key = node-key.pem
authority = authority.pem
ticket-key = ticket-key
[baselines]
limiter = fixed
`

var node = settings.Node{
	Service: "nursery", AvailabilityZone: "rn-1", BackendServer: "127.0.0.1:8080", CallersListen: "10.1.0.5:7000",
	BackendListen: "127.0.0.1:7001", CallsListen: "10.1.0.5:7002", ControlListen: "10.1.0.5:7002",
	AdminListen: settings.DefaultAdminListen, Seeds: []string{"10.1.0.6:7003", "[2001:db8::5]:7003"},
	Store: "http://10.1.0.2:8000", Certificate: "node.pem", Key: "node-key.pem", Authority: "authority.pem",
	TicketKey: "ticket-key", Limiter: "fixed",
}

// Guards against settings that are lost when they are loaded from a file or from the environment variable, and against errors
// without a remedy.
func TestLoadFromFileOrEnvironment(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.ini")
	require.NoError(t, os.WriteFile(path, []byte(valid), 0o600))
	got, err := settings.Load(path)
	require.NoError(t, err)
	require.Equal(t, node, got)

	t.Setenv(settings.EnvironmentVariable, valid)
	got, err = settings.Load("")
	require.NoError(t, err)
	require.Equal(t, node, got)

	require.NoError(t, os.Unsetenv(settings.EnvironmentVariable))
	_, err = settings.Load("")
	require.ErrorContains(t, err, "name a file or put the text into the environment variable LOVAGELANE_SETTINGS")
	_, err = settings.Load(path + "x")
	require.ErrorContains(t, err, "name a file that this process can read")
}

// Guards against an invalid setting that a node detects only after it has started, and against one problem that suppresses the
// report of another.
func TestParseReportsAllProblems(t *testing.T) {
	for text, want := range map[string][]string{
		"": {
			"node.ini:1: there is no [node] section: add it with the lines service, availability-zone, backend-server, " +
				"callers-listen, backend-listen, calls-listen, control-listen, store",
			"node.ini:1: there is no [keys] section: add it with the lines certificate, key, authority, ticket-key",
		},
		`[node]
service = Nursery
availability-zone = rn-1
backend-server = localhost:8080
callers-listen = 0.0.0.0:7000
backend-listen = 10.1.0.5:7001
calls-listen = 10.1.0.5:7001
control-listen = 10.1.0.5
admin-listen = 10.1.0.5:0
admin-listen = 10.1.0.5:1
seeds = 10.1.0.6:0, 10.1.0.6:7003, 10.1.0.6:7003, [::]:1
store = 10.1.0.2:8000
colour = blue
[node main]
[keys]
certificate = node.pem
`: {
			"node.ini:2: service = Nursery is not a name: use lower-case letters, digits and single hyphens, at most 63 characters",
			"node.ini:4: backend-server = localhost:8080 is not an address: write an IP number and a port, as in 10.1.0.5:7000",
			"node.ini:5: callers-listen = 0.0.0.0:7000 cannot be announced to others: state the IP number of this instance",
			"node.ini:6: backend-listen = 10.1.0.5:7001 is open to other instances: use a loopback address, as in 127.0.0.1:7001",
			"node.ini:7: calls-listen uses the address 10.1.0.5:7001 of backend-listen: give each listener an address of its own",
			"node.ini:8: control-listen = 10.1.0.5 is not an address: write an IP number and a port, as in 10.1.0.5:7000",
			"node.ini:10: admin-listen is set twice in [node]: keep one of the lines 9 and 10",
			"node.ini:11: seeds names 10.1.0.6:7003 twice: remove one of them",
			"node.ini:11: seeds = 10.1.0.6:0 has port 0: state the port",
			"node.ini:11: seeds = [::]:1 is not the address of one instance: state its IP number",
			"node.ini:12: store = 10.1.0.2:8000 is not a base URL: write it as http://10.1.0.2:8000",
			"node.ini:13: unknown key colour in [node]: use one of service, availability-zone, backend-server, callers-listen, " +
				"backend-listen, calls-listen, control-listen, store, admin-listen, seeds",
			"node.ini:14: [node main] has 1 names: write [node]",
			"node.ini:15: [keys] has no key: add a line key = ...",
			"node.ini:15: [keys] has no authority: add a line authority = ...",
			"node.ini:15: [keys] has no ticket-key: add a line ticket-key = ...",
		},
	} {
		_, err := settings.Parse("node.ini", text)
		require.Error(t, err)
		require.Equal(t, strings.Join(want, "\n"), err.Error())
	}
}
