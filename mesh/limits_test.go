package mesh

import (
	"testing"

	"github.com/stretchr/testify/require"

	"lovagelane/settings"
)

// Guards against connections of one kind that may take the descriptors or the memory of the others, and against limits that callers
// inside the limits of the platform meet.
func TestLimitsOfConnections(t *testing.T) {
	for name, tc := range map[string]struct {
		settings    settings.Mesh
		kernelLimit int
		want        limits
	}{
		"no limits":       {want: limits{callers: 2048, connectionBytes: 1 << 20}},
		"large instance":  {settings.Mesh{MaxDescriptors: 8192, MemoryMB: 284}, 1024, limits{2048, 1998, 1 << 20}},
		"small instance":  {settings.Mesh{MaxDescriptors: 4100, MemoryMB: 184}, 0, limits{1950, 975, 1 << 20}},
		"little memory":   {settings.Mesh{MemoryMB: 64}, 1 << 16, limits{682, 16334, 1 << 20}},
		"kernel's limit":  {kernelLimit: 1000, want: limits{400, 200, 1 << 20}},
		"few descriptors": {kernelLimit: 64, want: limits{16, 8, 1 << 20}},
		"stated":          {settings.Mesh{CallerConnections: 900, ConnectionKB: 64}, 0, limits{900, 0, 64 << 10}},
	} {
		require.Equal(t, tc.want, limitsOf(tc.settings, tc.kernelLimit), name)
	}
}
