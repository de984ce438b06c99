package command_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"lovagelane/command"
	"lovagelane/kernel"
	"lovagelane/rollout"
	"lovagelane/settings"
	"lovagelane/standin"
	"lovagelane/tablestore"
)

const (
	oldInventory = "[region rn]\n[availability-zone rn-1]\nregion = rn\n[service maps]\ntimeout = 2s\nslots = 7\nconnections = 9\n" +
		"[backend-servers maps rn-1]\ncount = 1\n"
	rules = "[class lookups]\nrank = 6\ndefault = yes\n"
)

func writeDir(t *testing.T, inventory, rules string) string {
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "inventory.ini"), []byte(inventory), 0o600))
	require.NoError(t, os.WriteFile(filepath.Join(dir, "rules.ini"), []byte(rules), 0o600))
	return dir
}

func run(args ...string) (code int, out, err string) {
	var stdout, stderr bytes.Buffer
	code = command.Run(args, &command.Env{Out: &stdout, Err: &stderr})
	return code, stdout.String(), stderr.String()
}

// Guards against exit codes and output that differ from the help text.
func TestCommands(t *testing.T) {
	old := writeDir(t, oldInventory, rules)
	next := writeDir(t, strings.Replace(oldInventory, "slots = 7", "slots = 8", 1), rules)
	orders := writeDir(t, oldInventory, rules+"[request order]\nservice = maps\nmethod = POST\npath = /orders\nclass = lookups\n"+
		"non-idempotent = yes\ntimeout = 1s\n")
	bad := writeDir(t, strings.Replace(oldInventory, "timeout = 2s", "timeout = 2", 1), rules)
	problem := bad + "/inventory.ini:5: timeout = 2 has no unit: add the unit: s or ms\n"
	for _, c := range []struct {
		args     string
		code     int
		out, err string
	}{
		{"check " + old, command.CodeOK, "ok: 1 services, 0 requests, no problems\n", ""},
		{"check " + bad, command.CodeProblem, problem, ""},
		{"check --format=yaml " + old, command.CodeUsage, "",
			"lovagelane: enum value must be one of text,json, got 'yaml': try lovagelane --help\n"},
		{"check " + old + "/none", command.CodeUsage, "", "lovagelane: path '" + old + "/none' does not exist: try lovagelane --help\n"},
		{"plan --from=" + old + " " + old, command.CodeOK, "no changes\n", ""},
		{"plan --from=" + old + " " + next, command.CodeOK, "~ service maps slots: 7 -> 8 (inventory.ini:6)\n" +
			"~ backend-servers maps rn-1 slots: 7 -> 8 (inventory.ini:6)\n", ""},
		{"plan --from=" + bad + " " + next, command.CodeProblem, "", problem},
		{"explain --dir=" + old + " backend-servers maps rn-1", command.CodeOK, "inventory.ini:8: [backend-servers maps rn-1]\n" +
			"inventory.ini:9: backend-servers maps rn-1 count = 1 (stated)\n" +
			"inventory.ini:6: backend-servers maps rn-1 slots = 7 (inherited)\n" +
			"inventory.ini:7: backend-servers maps rn-1 connections = 9 (inherited)\n", ""},
		{"explain --dir=" + old + " service.map", command.CodeProblem, "",
			"lovagelane: there is no setting \"service.map\": name a section of the files, as in service nursery\n"},
		{"explain --dir=" + old + " request GET /maps/natal?zoom=3", command.CodeOK, "rule            none     inventory.ini:4 (default)\n" +
			"class           lookups  rules.ini:3 (default)\nrank            6        rules.ini:2 (inherited)\n" +
			"non-idempotent  no       inventory.ini:4 (default)\ntimeout         2s       inventory.ini:5 (inherited)\n", ""},
		{"explain --dir=" + orders + " request POST /maps/%6frders/", command.CodeOK, "rule            order    rules.ini:4 (stated)\n" +
			"class           lookups  rules.ini:8 (stated)\nrank            6        rules.ini:2 (inherited)\n" +
			"non-idempotent  yes      rules.ini:9 (stated)\ntimeout         1s       rules.ini:10 (stated)\n", ""},
		{"explain --dir=" + old + " request GET /natal", command.CodeProblem, "",
			"lovagelane: there is no service \"natal\": begin the path with a service of the inventory, as in /nursery/orders\n"},
		{"check " + old + "/inventory.ini", command.CodeUsage, "", "lovagelane: 'inventory.ini' is a file: " +
			"name the directory of inventory.ini and rules.ini, not the files\n"},
		{"plan --from=" + old + " --store=http://127.0.0.1:1 " + old, command.CodeUsage, "",
			"lovagelane: --from and --store exclude each other: try lovagelane --help\n"},
		{"status --keys=" + old, command.CodeUsage, "",
			"lovagelane: state either --store, or --node when the store is down: try lovagelane --help\n"},
		{"weather", command.CodeUsage, "", "lovagelane: expected command but got \"weather\": try lovagelane --help\n"},
	} {
		code, out, err := run(strings.Fields(c.args)...)
		require.Equal(t, c, struct {
			args     string
			code     int
			out, err string
		}{c.args, code, out, err})
	}
}

// Guards against JSON output that scripts cannot parse, and against empty lists written as null.
func TestJSON(t *testing.T) {
	old := writeDir(t, oldInventory, rules)
	for args, want := range map[string]string{
		"check --format=json " + old:                   `{"ok":true,"problems":[]}`,
		"plan --format=json --from=" + old + " " + old: `{"changes":[]}`,
		"explain --format=json --dir=" + old + " availability-zone rn-1 region": `{"settings":[{"subject":{"section":"availability-zone rn-1",
			"place":"rn-1"},"key":"region","value":"rn","at":{"file":"inventory.ini","line":3},"source":"stated"}]}`,
	} {
		code, out, err := run(strings.Fields(args)...)
		require.Equal(t, command.CodeOK, code, err)
		require.JSONEq(t, want, out)
	}
	bad := writeDir(t, oldInventory, "")
	for _, args := range []string{"check " + bad, "plan " + bad, "plan --from=" + bad + " " + old, "explain maps --dir=" + bad} {
		code, out, err := run(append(strings.Fields(args), "--format=json")...)
		require.Equal(t, command.CodeProblem, code)
		require.Empty(t, err)
		require.JSONEq(t, `{"ok":false,"problems":[{"at":{"file":"`+bad+`/rules.ini","line":1},"what":"there is no [class NAME] section",
			"remedy":"add one for each class of requests"}]}`, out)
	}
}

// Guards against --help running the command, and against commands whose help lacks examples or exit codes.
func TestHelp(t *testing.T) {
	code, out, err := run()
	require.Equal(t, command.CodeUsage, code)
	require.Empty(t, out)
	require.Contains(t, err, "Exit codes: 0 done")
	for _, name := range command.Commands.Names() {
		code, out, err := run(name, "--help")
		require.Equal(t, command.CodeOK, code, err)
		require.Contains(t, out, "Examples:\n\n  lovagelane "+name)
		require.Contains(t, out, "Exit codes: 0 ")
		require.NotContains(t, out, "\x1b")
	}
}

// Guards against a node that starts with invalid settings, and against a node failure that the exit code does not show.
func TestNode(t *testing.T) {
	text := "[node]\nservice = maps\navailability-zone = rn-1\nbackend-server = 127.0.0.1:1\ncallers-listen = 127.0.0.1:2\n" +
		"backend-listen = 127.0.0.1:3\ncalls-listen = 127.0.0.1:4\ncontrol-listen = 127.0.0.1:4\nstore = http://127.0.0.1:5\n" +
		"[keys]\ncertificate = a\nkey = b\nauthority = c\nticket-key = d\n"
	var started []string
	command.RunNode = func(n settings.Node) error {
		started = append(started, n.Service)
		return os.ErrPermission
	}
	t.Cleanup(func() { command.RunNode = nil })
	t.Setenv(settings.EnvironmentVariable, text)
	code, _, err := run("node")
	require.Equal(t, command.CodeProblem, code)
	require.Equal(t, "lovagelane: permission denied\n", err)
	code, out, _ := run("node", "--check")
	require.Equal(t, command.CodeOK, code)
	require.Equal(t, "ok: node of service maps in rn-1\n", out)
	t.Setenv(settings.EnvironmentVariable, text+"key = e\n")
	code, _, err = run("node")
	require.Equal(t, command.CodeProblem, code)
	require.Equal(t, "LOVAGELANE_SETTINGS:15: key is set twice in [keys]: keep one of the lines 12 and 15\n", err)
	require.Equal(t, []string{"maps"}, started)
}

// Guards against a plan whose printed base version is not the accepted version, so that apply would refuse the change.
func TestPlanAgainstStore(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	group := kernel.NewGroup(context.Background())
	standin.NewPlatform(kernel.SystemClock{}).Serve(group, ln)
	t.Cleanup(func() { _ = group.Stop() })
	store := "--store=http://" + ln.Addr().String()

	old := writeDir(t, oldInventory, rules)
	next := writeDir(t, strings.Replace(oldInventory, "count = 1", "count = 2", 1), rules)
	code, out, errText := run("plan", store, old)
	require.Equal(t, command.CodeOK, code, errText)
	require.Contains(t, out, "+ region rn (inventory.ini:1)\n")
	require.Contains(t, out, "planned against version 0: apply with --base=0\n")
	code, _, errText = run("apply", store, "--base=0", "--by=ana", old)
	require.Equal(t, command.CodeOK, code, errText)
	code, out, errText = run("plan", store, next)
	require.Equal(t, command.CodeOK, code, errText)
	require.Equal(t, "~ backend-servers maps rn-1 count: 1 -> 2 (inventory.ini:9)\nplanned against version 1: apply with --base=1\n", out)
	code, _, errText = run("apply", store, "--base=0", "--by=bo", next)
	require.Equal(t, command.CodeNotAccepted, code)
	require.Contains(t, errText, "not accepted: ana applied version 1")
	code, out, errText = run("plan", store, "--format=json", old)
	require.Equal(t, command.CodeOK, code, errText)
	require.JSONEq(t, `{"base":1,"changes":[]}`, out)
	require.NoError(t, group.Stop())
	code, _, errText = run("plan", store, old)
	require.Equal(t, command.CodeNotAccepted, code)
	require.Equal(t, 1, strings.Count(errText, "\n"), errText)
}

// Guards against a failing apply when the store has lost the text of the accepted configuration, since applying the files
// again is the remedy.
func TestApplyWithLostConfiguration(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	group := kernel.NewGroup(context.Background())
	standin.NewPlatform(kernel.SystemClock{}).Serve(group, ln)
	t.Cleanup(func() { _ = group.Stop() })
	client, err := tablestore.NewClient("http://"+ln.Addr().String(), 0)
	require.NoError(t, err)
	t.Cleanup(client.Close)
	row, err := json.Marshal(rollout.Accepted{Version: 1, Hash: strings.Repeat("a", 64), ApplyID: "x", By: "ana"})
	require.NoError(t, err)
	_, err = client.Transact(t.Context(), tablestore.ConfigTable, []tablestore.Write{{Key: tablestore.CurrentKey, Value: string(row)}})
	require.NoError(t, err)

	store, files := "--store=http://"+ln.Addr().String(), writeDir(t, oldInventory, rules)
	code, _, errText := run("plan", store, files)
	require.Equal(t, command.CodeNotAccepted, code)
	require.Contains(t, errText, "the store has lost the text of version 1: apply that version's files again")
	code, out, errText := run("apply", store, files)
	require.Equal(t, command.CodeOK, code, errText)
	require.Contains(t, out, "accepted as version 2")
}
