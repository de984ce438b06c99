package rollout_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagelane/inventory"
	"lovagelane/rollout"
	"lovagelane/testbed"
)

// targetSizeFiles returns an inventory of the target size, 590 backend servers in 37 services over five availability zones,
// and rules with four request kinds and an objective for each service.
func targetSizeFiles() []inventory.File {
	var services []testbed.Service
	var rules strings.Builder
	for rank := 1; rank <= 8; rank++ {
		fmt.Fprintf(&rules, "[class class-%d]\nrank = %d\n", rank, rank)
	}
	rules.WriteString("default = yes\n")
	for i := range 37 {
		s := testbed.Service{Name: fmt.Sprintf("service-%d", i), Slots: 70, Connections: 500, Timeout: 2 * time.Second}
		for j := range 590 / 37 {
			s.Zones = append(s.Zones, []string{"rn-1", "rn-2", "rn-3", "ce-1", "ce-2"}[j%5])
		}
		// Steps of three limit the deepest call chain to 13 calls.
		for next := i + 3; next <= min(i+9, 36); next += 3 {
			s.Calls = append(s.Calls, fmt.Sprintf("service-%d", next))
		}
		services = append(services, s)
		for j := range 4 {
			fmt.Fprintf(&rules, "[request request-%d-%d]\nservice = %s\nmethod = POST\npath = /path-%d\nclass = class-%d\n", i, j, s.Name,
				j, j+1)
		}
		fmt.Fprintf(&rules, "[objective %s]\nanswered = 99.9%%\nwithin = 500ms\n", s.Name)
	}
	return []inventory.File{{Name: "inventory.ini", Text: testbed.Inventory(services)}, {Name: "rules.ini", Text: rules.String()}}
}

// BenchmarkTargetText measures the size of the text of a configuration of the target size, and the time to decode and parse
// it.
func BenchmarkTargetText(b *testing.B) {
	text, err := rollout.Encode(targetSizeFiles())
	require.NoError(b, err)
	for b.Loop() {
		files, err := rollout.Decode(text)
		require.NoError(b, err)
		_, problems := inventory.Parse(files)
		require.Empty(b, problems)
	}
	b.ReportMetric(float64(len(text)), "B/text")
}
