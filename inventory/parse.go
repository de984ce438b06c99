package inventory

import (
	"fmt"
	"path"
	"slices"
	"strings"
	"time"

	"lovagelane/inifile"
)

const (
	// DefaultMaxBodyBytes is the maximum request body size of a service without max-body.
	DefaultMaxBodyBytes = 1 << 20
	// maxTimeout is the longest deadline that is propagated with a call.
	maxTimeout = time.Hour
	// maxBodyBytes is the largest accepted value of max-body.
	maxBodyBytes = 1 << 30
	// maxSlots is the largest number that fits into the load report of a backend server.
	maxSlots = 1<<16 - 1
	// maxConnections is the number of ports of one address.
	maxConnections = 1<<16 - 1
	// maxGroupSize is the maximum number of backend servers of a service in one availability zone.
	maxGroupSize = 10000
	// reservedServiceName is the first path segment of the nodes' own HTTP interface, so no service may have this name.
	reservedServiceName = "lovagelane"
)

var inventoryKinds = []inifile.Kind{
	{Name: "region", Names: []string{"name"}, Optional: []string{"store"}},
	{Name: "availability-zone", Names: []string{"name"}, Required: []string{"region"}},
	{Name: "service", Names: []string{"name"}, Required: []string{"timeout"},
		Optional: []string{"max-body", "calls", "slots", "connections"}},
	{Name: "backend-servers", Names: []string{"service", "availability-zone"}, Required: []string{"count"},
		Optional: []string{"slots", "connections"}},
}

var rulesKinds = []inifile.Kind{
	{Name: "class", Names: []string{"name"}, Required: []string{"rank"}, Optional: []string{"default"}},
	{Name: "request", Names: []string{"name"}, Required: []string{"service", "path", "class"},
		Optional: []string{"method", "non-idempotent", "timeout"}},
	{Name: "caller", Names: []string{"name"}, Required: []string{"addresses"}},
	{Name: "objective", Names: []string{"service"}, Required: []string{"answered", "within"}},
}

// Parse parses inventory.ini and rules.ini and returns either a configuration or all problems found, sorted by file and
// line.
func Parse(files []File) (*Config, []Problem) {
	b := newBuilder()
	inventory, rules := b.read(files)
	b.readRegions(inventory)
	b.readZones(inventory)
	b.readServices(inventory)
	b.readBackendServers(inventory)
	b.checkGraph()
	b.readRules(rules)
	if len(b.Problems) > 0 {
		b.Problems.Sort(b.fileOrder...)
		return nil, slices.Compact(b.Problems)
	}
	b.buildMatchers()
	return &Config{files: slices.Clone(files), tables: b.tables}, nil
}

// builder fills the tables from the parsed sections. Invalid entries stay in the tables, so that an error in one entry is
// not reported again at every reference to it.
type builder struct {
	inifile.Collector
	*tables
	// fileOrder holds the names of the files, for sorting problems.
	fileOrder     []string
	inventoryFile string
	rulesFile     string

	region map[string]Region
	class  map[string]Class
	// serviceSections holds the section of each service.
	serviceSections map[string]inifile.Section
	rulesByService  map[string][]RequestRule
	// incomplete is set if a file is missing or the files are too large, so that missing sections are not reported.
	incomplete bool
}

func newBuilder() *builder {
	return &builder{
		tables: &tables{
			zoneRegion: map[string]string{},
			service:    map[string]*serviceEntry{},
			group:      map[groupKey]BackendServers{},
			caller:     map[string]Caller{},
			objective:  map[string]Objective{},
		},
		region:          map[string]Region{},
		class:           map[string]Class{},
		serviceSections: map[string]inifile.Section{},
		rulesByService:  map[string][]RequestRule{},
	}
}

// read checks the names and the total size of the files and returns the sections of both.
func (b *builder) read(files []File) (inventory, rules []inifile.Section) {
	totalBytes := 0
	for _, f := range files {
		b.fileOrder = append(b.fileOrder, f.Name)
		totalBytes += len(f.Name) + len(f.Text)
		if base := path.Base(f.Name); base != InventoryFile && base != RulesFile {
			b.Add(Line{File: f.Name, Number: 1}, "the file is neither inventory nor rules",
				fmt.Sprintf("name it %s or %s", InventoryFile, RulesFile))
		}
	}
	if totalBytes > MaxTotalBytes {
		b.incomplete = true
		b.Add(Line{File: files[0].Name, Number: 1}, fmt.Sprintf("the files have %d bytes together", totalBytes),
			fmt.Sprintf("keep them within %d bytes", MaxTotalBytes))
		return nil, nil
	}
	b.inventoryFile, inventory = b.readFile(files, InventoryFile, inventoryKinds)
	b.rulesFile, rules = b.readFile(files, RulesFile, rulesKinds)
	return inventory, rules
}

func (b *builder) readFile(files []File, base string, kinds []inifile.Kind) (string, []inifile.Section) {
	var found []File
	for _, f := range files {
		if path.Base(f.Name) == base {
			found = append(found, f)
		}
	}
	switch len(found) {
	case 0:
		b.incomplete = true
		b.fileOrder = append(b.fileOrder, base)
		b.Add(Line{File: base, Number: 1}, "the file is missing", "add it")
		return base, nil
	case 1:
	default:
		b.Add(Line{File: found[1].Name, Number: 1}, fmt.Sprintf("there is a second %s", base), "give one file of each name")
	}
	sections, problems := inifile.Read(found[0].Name, found[0].Text, kinds)
	b.Problems = append(b.Problems, problems...)
	return found[0].Name, sections
}

// requireSection reports a kind of section of which there is none.
func (b *builder) requireSection(file string, n int, header, remedy string) {
	if n == 0 && !b.incomplete {
		b.Add(Line{File: file, Number: 1}, "there is no "+header+" section", remedy)
	}
}

func sectionsOfKind(sections []inifile.Section, kind string) []inifile.Section {
	return slices.DeleteFunc(slices.Clone(sections), func(s inifile.Section) bool { return s.Kind != kind })
}

func (b *builder) readRegions(sections []inifile.Section) {
	var store Line
	for _, s := range sectionsOfKind(sections, "region") {
		r := Region{Name: s.Names[0], Store: b.Bool(s, "store"), Line: s.Line}
		if r.Store && store.Number > 0 {
			b.Add(s.LineOf("store"), "a second region has the store", fmt.Sprintf("keep store = yes here or on line %d", store.Number))
		}
		if r.Store {
			store = s.LineOf("store")
		}
		sub := Subject{Section: s.Header(), Place: r.Name}
		b.recordSection(sub, s)
		b.recordKey(sub, s, "store", yesNo(r.Store))
		if _, ok := b.region[r.Name]; !ok {
			b.region[r.Name] = r
			b.regions = append(b.regions, r)
		}
	}
	b.requireSection(b.inventoryFile, len(b.regions), "[region NAME]", "add one for each region")
}

func (b *builder) readZones(sections []inifile.Section) {
	for _, s := range sectionsOfKind(sections, "availability-zone") {
		z := AvailabilityZone{Name: s.Names[0], Region: b.Name(s, "region"), Line: s.Line}
		checkReference(b, s, "region", z.Region, "region", b.region)
		if _, ok := b.region[z.Name]; ok {
			b.Add(s.Line, fmt.Sprintf("%s is the name of a region too", z.Name), "give the availability zone another name")
		}
		sub := Subject{Section: s.Header(), Place: z.Name}
		b.recordSection(sub, s)
		b.recordKey(sub, s, "region", z.Region)
		if _, ok := b.zoneRegion[z.Name]; !ok {
			b.zoneRegion[z.Name] = z.Region
			b.zones = append(b.zones, z)
		}
	}
	b.requireSection(b.inventoryFile, len(b.zones), "[availability-zone NAME]", "add one for each availability zone")
}

func (b *builder) readServices(sections []inifile.Section) {
	for _, s := range sectionsOfKind(sections, "service") {
		service := b.readService(s)
		if _, ok := b.service[service.Name]; ok {
			continue
		}
		b.service[service.Name] = &serviceEntry{service: service}
		b.serviceSections[service.Name] = s
		b.services = append(b.services, service)
	}
	b.requireSection(b.inventoryFile, len(b.service), "[service NAME]", "add one for each service")
	for _, service := range b.services {
		for _, callee := range service.Calls {
			checkReference(b, b.serviceSections[service.Name], "calls", callee, "service", b.service)
		}
	}
}

func (b *builder) readService(s inifile.Section) Service {
	service := Service{
		Name:        s.Names[0],
		Timeout:     b.Duration(s, "timeout", maxTimeout),
		MaxBody:     b.Bytes(s, "max-body", maxBodyBytes),
		Calls:       b.Names(s, "calls"),
		Line:        s.Line,
		TimeoutLine: s.LineOf("timeout"),
		MaxBodyLine: s.LineOf("max-body"),
	}
	if service.Name == reservedServiceName {
		b.Add(s.Line, fmt.Sprintf("%s is the name of the nodes' own interface", reservedServiceName), "give the service another name")
	}
	sub := Subject{Section: s.Header(), Service: service.Name}
	b.recordSection(sub, s)
	b.recordKey(sub, s, "timeout", service.Timeout.String())
	if service.MaxBody == 0 {
		service.MaxBody = DefaultMaxBodyBytes
		b.recordSetting(sub, "max-body", inifile.FormatBytes(DefaultMaxBodyBytes), s.Line, SourceDefault)
	} else {
		b.recordKey(sub, s, "max-body", inifile.FormatBytes(service.MaxBody))
	}
	b.recordKey(sub, s, "calls", strings.Join(slices.Sorted(slices.Values(service.Calls)), ", "))
	b.recordKey(sub, s, "slots", fmt.Sprint(b.Int(s, "slots", 1, maxSlots)))
	b.recordKey(sub, s, "connections", fmt.Sprint(b.Int(s, "connections", 1, maxConnections)))
	return service
}

func (b *builder) readBackendServers(sections []inifile.Section) {
	for _, s := range sectionsOfKind(sections, "backend-servers") {
		g := BackendServers{Service: s.Names[0], AvailabilityZone: s.Names[1], Count: b.Int(s, "count", 1, maxGroupSize), Line: s.Line}
		checkReference(b, s, "", g.Service, "service", b.service)
		checkReference(b, s, "", g.AvailabilityZone, "availability zone", b.zoneRegion)
		sub := Subject{Section: s.Header(), Service: g.Service, Place: g.AvailabilityZone}
		b.recordSection(sub, s)
		b.recordKey(sub, s, "count", fmt.Sprint(g.Count))
		g.Slots, g.SlotsLine = b.groupLimit(sub, s, "slots", maxSlots)
		g.Connections, g.ConnectionsLine = b.groupLimit(sub, s, "connections", maxConnections)
		key := groupKey{g.Service, g.AvailabilityZone}
		if _, ok := b.group[key]; !ok {
			b.group[key] = g
			b.groups = append(b.groups, g)
		}
	}
	for _, service := range b.services {
		if !slices.ContainsFunc(b.groups, func(g BackendServers) bool { return g.Service == service.Name }) {
			b.Add(service.Line, fmt.Sprintf("service %s has no backend servers", service.Name),
				fmt.Sprintf("add a section [backend-servers %s AVAILABILITY-ZONE]", service.Name))
		}
	}
}

// groupLimit returns a limit that the group sets or inherits from its service, and the line that sets it.
func (b *builder) groupLimit(sub Subject, s inifile.Section, key string, maximum int) (int, Line) {
	if _, ok := s.Value(key); ok {
		n := b.Int(s, key, 1, maximum)
		b.recordKey(sub, s, key, fmt.Sprint(n))
		return n, s.LineOf(key)
	}
	serviceSection, ok := b.serviceSections[sub.Service]
	if !ok {
		return 0, s.Line
	}
	if serviceSection.LineOf(key) == serviceSection.Line && s.LineOf(key) == s.Line {
		b.Add(s.Line, fmt.Sprintf("neither [%s] nor [%s] states %s", s.Header(), serviceSection.Header(), key),
			fmt.Sprintf("add a line %s = ... to one of them", key))
		return 0, s.Line
	}
	// readService has already reported problems with the service's value.
	var discarded inifile.Collector
	n := discarded.Int(serviceSection, key, 1, maximum)
	at := serviceSection.LineOf(key)
	b.recordSetting(sub, key, fmt.Sprint(n), at, SourceInherited)
	return n, at
}

// checkReference reports a name that is not in the table. It skips an empty name, which was reported as malformed.
func checkReference[V any](b *builder, s inifile.Section, key, name, what string, table map[string]V) {
	if _, ok := table[name]; ok || name == "" {
		return
	}
	remedy := fmt.Sprintf("add a section [%s %s]", strings.ReplaceAll(what, " ", "-"), name)
	if len(table) > 0 && len(table) <= maxNamesShown {
		remedy += ", or use one of " + strings.Join(sortedKeys(table), ", ")
	}
	b.Add(s.LineOf(key), fmt.Sprintf("there is no %s %s", what, name), remedy)
}

// maxNamesShown bounds the names listed in a message, to keep it readable on one line.
const maxNamesShown = 12

func sortedKeys[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func yesNo(v bool) string {
	if v {
		return "yes"
	}
	return "no"
}
