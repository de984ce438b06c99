package testbed

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Service describes a service of the deployment with its backend servers.
type Service struct {
	Name string
	// Zones lists the availability zone of each backend server; a zone listed twice gets two backend servers.
	Zones              []string
	Slots, Connections int
	Timeout            time.Duration
	Calls              []string
	// BackendFlags holds additional flags of the stand-in backend servers, such as --service-time=10ms.
	BackendFlags []string
}

// Region returns the region of an availability zone: the part of its name before the last dash.
func Region(zone string) string {
	if i := strings.LastIndex(zone, "-"); i > 0 {
		return zone[:i]
	}
	return zone
}

// Inventory returns the text of inventory.ini for the services. The store is in the first region.
func Inventory(services []Service) string {
	var b strings.Builder
	var zones []string
	for _, s := range services {
		zones = append(zones, s.Zones...)
	}
	slices.Sort(zones)
	zones = slices.Compact(zones)
	var regions []string
	for _, z := range zones {
		regions = append(regions, Region(z))
	}
	for i, r := range slices.Compact(regions) {
		fmt.Fprintf(&b, "[region %s]\n", r)
		if i == 0 {
			b.WriteString("store = yes\n")
		}
	}
	for _, z := range zones {
		fmt.Fprintf(&b, "[availability-zone %s]\nregion = %s\n", z, Region(z))
	}
	for _, s := range services {
		s.writeTo(&b)
	}
	return b.String()
}

func (s Service) writeTo(b *strings.Builder) {
	fmt.Fprintf(b, "[service %s]\nslots = %d\nconnections = %d\ntimeout = %s\n", s.Name, s.Slots, s.Connections, s.Timeout)
	if len(s.Calls) > 0 {
		fmt.Fprintf(b, "calls = %s\n", strings.Join(s.Calls, ", "))
	}
	counts := map[string]int{}
	for _, z := range s.Zones {
		counts[z]++
	}
	for _, z := range slices.Compact(slices.Sorted(slices.Values(s.Zones))) {
		fmt.Fprintf(b, "[backend-servers %s %s]\ncount = %d\n", s.Name, z, counts[z])
	}
}
