package testbed

import (
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"lovagelane/kernel"
)

// Guards against two concurrent testbeds that allocate the same port before either has opened its listener: a process of
// one of them then fails with "address already in use".
func TestPortsAreReservedAcrossProcesses(t *testing.T) {
	if port := os.Getenv("TESTBED_RESERVE"); port != "" {
		n, err := strconv.Atoi(port)
		require.NoError(t, err)
		ok, err := lockPort(n)
		require.NoError(t, err)
		t.Logf("reserved %v", ok)
		return
	}
	list, err := Addresses(20)
	require.NoError(t, err)
	require.Len(t, kernel.SetOf(list...), 20)
	_, port, _ := strings.Cut(list[0], ":")
	cmd := exec.Command(os.Args[0], "-test.v", "-test.run=^TestPortsAreReservedAcrossProcesses$")
	cmd.Env = append(os.Environ(), "TESTBED_RESERVE="+port)
	out, err := cmd.CombinedOutput()
	require.NoError(t, err, string(out))
	require.Contains(t, string(out), "reserved false")
}
