package inventory

import (
	"fmt"
	"path"
	"slices"
	"strings"
	"time"

	"lovagelane/setting"
)

const (
	// DefaultMaxBody is the largest request body of a service that states none, in bytes.
	DefaultMaxBody = 1 << 20
	// maxTimeout is the longest time that travels with a call.
	maxTimeout = time.Hour
	// maxBody is the largest max-body, in bytes.
	maxBody = 1 << 30
	// maxSlots is the largest number that fits the load report of a backend server.
	maxSlots = 1<<16 - 1
	// maxConnections is the number of ports of one address.
	maxConnections = 1<<16 - 1
	// maxCount is the largest number of backend servers in one availability zone.
	maxCount = 10000
	// reservedService is the first path segment of the nodes' own interface to callers.
	reservedService = "lovagelane"
)

var inventoryKinds = []setting.Kind{
	{Name: "region", Names: []string{"name"}, Optional: []string{"store"}},
	{Name: "availability-zone", Names: []string{"name"}, Required: []string{"region"}},
	{Name: "service", Names: []string{"name"}, Required: []string{"timeout"},
		Optional: []string{"max-body", "calls", "slots", "connections"}},
	{Name: "backend-servers", Names: []string{"service", "availability-zone"}, Required: []string{"count"},
		Optional: []string{"slots", "connections"}},
}

var rulesKinds = []setting.Kind{
	{Name: "class", Names: []string{"name"}, Required: []string{"rank"}, Optional: []string{"default"}},
	{Name: "request", Names: []string{"name"}, Required: []string{"service", "path", "class"},
		Optional: []string{"method", "non-idempotent", "timeout"}},
	{Name: "caller", Names: []string{"name"}, Required: []string{"addresses"}},
	{Name: "objective", Names: []string{"service"}, Required: []string{"answered", "within"}},
}

// Parse reads inventory.ini and rules.ini and returns either a configuration or every problem found, in the order of
// files and lines.
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
		b.Problems.Sort(b.order...)
		return nil, slices.Compact(b.Problems)
	}
	b.finish()
	return &Config{files: slices.Clone(files), tables: b.tables}, nil
}

// builder fills the tables from sections; entries that are referred to but have problems of their own stay in the tables
// so that one mistake is not reported at every reference.
type builder struct {
	setting.Collector
	*tables
	// order holds the names of the files, for sorting problems.
	order         []string
	inventoryFile string
	rulesFile     string

	region map[string]Region
	class  map[string]Class
	// stated holds the section of each service.
	stated  map[string]setting.Section
	byOwner map[string][]Request
	// broken is set when a file could not be read, so that what it lacks is not reported.
	broken bool
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
		region:  map[string]Region{},
		class:   map[string]Class{},
		stated:  map[string]setting.Section{},
		byOwner: map[string][]Request{},
	}
}

// read finds the two files and returns their sections.
func (b *builder) read(files []File) (inventory, rules []setting.Section) {
	size := 0
	for _, f := range files {
		b.order = append(b.order, f.Name)
		size += len(f.Name) + len(f.Text)
		if base := path.Base(f.Name); base != InventoryFile && base != RulesFile {
			b.Add(Line{File: f.Name, Number: 1}, "the file is neither inventory nor rules",
				fmt.Sprintf("name it %s or %s", InventoryFile, RulesFile))
		}
	}
	if size > MaxText {
		b.broken = true
		b.Add(Line{File: files[0].Name, Number: 1}, fmt.Sprintf("the files have %d bytes together", size),
			fmt.Sprintf("keep them within %d bytes", MaxText))
		return nil, nil
	}
	b.inventoryFile, inventory = b.readFile(files, InventoryFile, inventoryKinds)
	b.rulesFile, rules = b.readFile(files, RulesFile, rulesKinds)
	return inventory, rules
}

func (b *builder) readFile(files []File, base string, kinds []setting.Kind) (string, []setting.Section) {
	var found []File
	for _, f := range files {
		if path.Base(f.Name) == base {
			found = append(found, f)
		}
	}
	switch len(found) {
	case 0:
		b.broken = true
		b.order = append(b.order, base)
		b.Add(Line{File: base, Number: 1}, "the file is missing", "add it")
		return base, nil
	case 1:
	default:
		b.Add(Line{File: found[1].Name, Number: 1}, fmt.Sprintf("there is a second %s", base), "give one file of each name")
	}
	sections, problems := setting.Read(found[0].Name, found[0].Text, kinds)
	b.Problems = append(b.Problems, problems...)
	return found[0].Name, sections
}

// require reports a missing kind of section.
func (b *builder) require(file string, n int, header, remedy string) {
	if n == 0 && !b.broken {
		b.Add(Line{File: file, Number: 1}, "there is no "+header+" section", remedy)
	}
}

func ofKind(sections []setting.Section, kind string) []setting.Section {
	return slices.DeleteFunc(slices.Clone(sections), func(s setting.Section) bool { return s.Kind != kind })
}

func (b *builder) readRegions(sections []setting.Section) {
	var store Line
	for _, s := range ofKind(sections, "region") {
		r := Region{Name: s.Names[0], Store: b.Bool(s, "store"), Line: s.Line}
		if r.Store && store.Number > 0 {
			b.Add(s.LineOf("store"), "a second region has the store", fmt.Sprintf("keep store = yes here or on line %d", store.Number))
		}
		if r.Store {
			store = s.LineOf("store")
		}
		sub := Subject{Section: s.Header(), Place: r.Name}
		b.note(sub, s)
		b.noteKey(sub, s, "store", yesNo(r.Store))
		if _, ok := b.region[r.Name]; !ok {
			b.region[r.Name] = r
			b.regions = append(b.regions, r)
		}
	}
	b.require(b.inventoryFile, len(b.regions), "[region NAME]", "add one for each region")
}

func (b *builder) readZones(sections []setting.Section) {
	for _, s := range ofKind(sections, "availability-zone") {
		z := AvailabilityZone{Name: s.Names[0], Region: b.Name(s, "region"), Line: s.Line}
		known(b, s, "region", z.Region, "region", b.region)
		if _, ok := b.region[z.Name]; ok {
			b.Add(s.Line, fmt.Sprintf("%s is the name of a region too", z.Name), "give the availability zone another name")
		}
		sub := Subject{Section: s.Header(), Place: z.Name}
		b.note(sub, s)
		b.noteKey(sub, s, "region", z.Region)
		if _, ok := b.zoneRegion[z.Name]; !ok {
			b.zoneRegion[z.Name] = z.Region
			b.zones = append(b.zones, z)
		}
	}
	b.require(b.inventoryFile, len(b.zones), "[availability-zone NAME]", "add one for each availability zone")
}

func (b *builder) readServices(sections []setting.Section) {
	for _, s := range ofKind(sections, "service") {
		service := b.readService(s)
		if _, ok := b.service[service.Name]; ok {
			continue
		}
		b.service[service.Name] = &serviceEntry{service: service}
		b.stated[service.Name] = s
		b.services = append(b.services, service)
	}
	b.require(b.inventoryFile, len(b.service), "[service NAME]", "add one for each service")
	for _, service := range b.services {
		for _, called := range service.Calls {
			known(b, b.stated[service.Name], "calls", called, "service", b.service)
		}
	}
}

func (b *builder) readService(s setting.Section) Service {
	service := Service{
		Name:        s.Names[0],
		Timeout:     b.Duration(s, "timeout", maxTimeout),
		MaxBody:     b.Bytes(s, "max-body", maxBody),
		Calls:       b.Names(s, "calls"),
		Line:        s.Line,
		TimeoutLine: s.LineOf("timeout"),
		MaxBodyLine: s.LineOf("max-body"),
	}
	if service.Name == reservedService {
		b.Add(s.Line, fmt.Sprintf("%s is the name of the nodes' own interface", reservedService), "give the service another name")
	}
	sub := Subject{Section: s.Header(), Service: service.Name}
	b.note(sub, s)
	b.noteKey(sub, s, "timeout", service.Timeout.String())
	if service.MaxBody == 0 {
		service.MaxBody = DefaultMaxBody
		b.noteFrom(sub, "max-body", setting.FormatBytes(DefaultMaxBody), s.Line, SourceDefault)
	} else {
		b.noteKey(sub, s, "max-body", setting.FormatBytes(service.MaxBody))
	}
	b.noteKey(sub, s, "calls", strings.Join(slices.Sorted(slices.Values(service.Calls)), ", "))
	b.noteKey(sub, s, "slots", fmt.Sprint(b.Int(s, "slots", 1, maxSlots)))
	b.noteKey(sub, s, "connections", fmt.Sprint(b.Int(s, "connections", 1, maxConnections)))
	return service
}

func (b *builder) readBackendServers(sections []setting.Section) {
	for _, s := range ofKind(sections, "backend-servers") {
		g := BackendServers{Service: s.Names[0], AvailabilityZone: s.Names[1], Count: b.Int(s, "count", 1, maxCount), Line: s.Line}
		known(b, s, "", g.Service, "service", b.service)
		known(b, s, "", g.AvailabilityZone, "availability zone", b.zoneRegion)
		sub := Subject{Section: s.Header(), Service: g.Service, Place: g.AvailabilityZone}
		b.note(sub, s)
		b.noteKey(sub, s, "count", fmt.Sprint(g.Count))
		g.Slots, g.SlotsLine = b.limit(sub, s, "slots", maxSlots)
		g.Connections, g.ConnectionsLine = b.limit(sub, s, "connections", maxConnections)
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

// limit returns a limit of a group, or the one that its service states, and the line that it came from.
func (b *builder) limit(sub Subject, s setting.Section, key string, most int) (int, Line) {
	if _, ok := s.Value(key); ok {
		n := b.Int(s, key, 1, most)
		b.noteKey(sub, s, key, fmt.Sprint(n))
		return n, s.LineOf(key)
	}
	defaults, ok := b.stated[sub.Service]
	if !ok {
		return 0, s.Line
	}
	if defaults.LineOf(key) == defaults.Line && s.LineOf(key) == s.Line {
		b.Add(s.Line, fmt.Sprintf("neither [%s] nor [%s] states %s", s.Header(), defaults.Header(), key),
			fmt.Sprintf("add a line %s = ... to one of them", key))
		return 0, s.Line
	}
	// A problem of the service's own value is reported at the service.
	var quiet setting.Collector
	n := quiet.Int(defaults, key, 1, most)
	at := defaults.LineOf(key)
	b.noteFrom(sub, key, fmt.Sprint(n), at, SourceInherited)
	return n, at
}

// known reports a name that is not in the table, unless it was reported as malformed and is empty.
func known[V any](b *builder, s setting.Section, key, name, what string, table map[string]V) {
	if _, ok := table[name]; ok || name == "" {
		return
	}
	remedy := fmt.Sprintf("add a section [%s %s]", strings.ReplaceAll(what, " ", "-"), name)
	if len(table) > 0 && len(table) <= maxNamesShown {
		remedy += ", or use one of " + strings.Join(keys(table), ", ")
	}
	b.Add(s.LineOf(key), fmt.Sprintf("there is no %s %s", what, name), remedy)
}

// maxNamesShown keeps the remedy of an unknown name on one readable line.
const maxNamesShown = 12

func keys[V any](m map[string]V) []string {
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
