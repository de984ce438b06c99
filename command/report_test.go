package command_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"lovagelane/burn"
	"lovagelane/command"
	"lovagelane/fleet"
	"lovagelane/kernel"
	"lovagelane/keys"
	"lovagelane/membership"
)

// Guards against a report that omits a node that does not answer, and against one that lacks the data of the other nodes
// because of it.
func TestReport(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "keys")
	require.NoError(t, keys.Issue(dir))
	keyring, err := keys.Load(keys.PathsIn(dir, keys.RoleNode))
	require.NoError(t, err)

	recorder := burn.NewRecorder(burn.Node{ID: "a", AvailabilityZone: "rn-1"}, kernel.SystemClock{})
	recorder.SetObjectives(burn.Objectives{Version: 7, List: []burn.Objective{{Service: "maps", Answered: 0.9}}})
	for range 9 {
		recorder.Record(burn.Key{Service: "maps", Class: "reloads", Operation: "map"}, burn.KindGood)
	}
	recorder.Record(burn.Key{Service: "maps", Class: "reloads", Operation: "map"}, burn.KindShed)

	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	members := []membership.Member{}
	mux := http.NewServeMux()
	mux.HandleFunc(fleet.PathStatus, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(map[string]any{"member": membership.Member{ID: "a", Calls: address}, "members": members})
	})
	mux.HandleFunc(fleet.PathBurn, func(w http.ResponseWriter, _ *http.Request) {
		text, _ := recorder.JSON()
		_, _ = w.Write(text)
	})
	server := &http.Server{Handler: mux, TLSConfig: keyring.ServerConfig("http/1.1")}
	g := kernel.NewGroup(context.Background())
	g.Go("node", func(context.Context) error {
		if err := server.ServeTLS(l, "", ""); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	t.Cleanup(func() {
		require.NoError(t, server.Close())
		require.NoError(t, g.Stop())
	})

	page := filepath.Join(t.TempDir(), "burn.html")
	code, out, errText := run("report", "--node="+address, "--keys="+dir, "--html="+page)
	require.Equal(t, command.CodeOK, code, errText)
	require.Contains(t, out, "configuration 7, 1 nodes answered, 0 did not")
	require.Contains(t, out, "5 min   10     1.00       shed 1")
	text, err := os.ReadFile(page)
	require.NoError(t, err)
	require.Contains(t, string(text), "maps / reloads")

	members = append(members, membership.Member{ID: "b", Calls: "127.0.0.1:1"})
	code, out, errText = run("report", "--node="+address, "--keys="+dir)
	require.Equal(t, command.CodeNotAccepted, code)
	require.Equal(t, "lovagelane: 1 of 2 nodes do not answer\n", errText)
	require.Regexp(t, "127.0.0.1:1 +did not answer .*connection refused", out)
	require.Contains(t, out, "5 min   10     1.00       shed 1", "the other nodes' data must be there")

	code, _, errText = run("report", "--node="+address, "--keys="+dir, "--html="+dir)
	require.Equal(t, command.CodeProblem, code)
	require.Contains(t, errText, "choose a file that can be written")
}
