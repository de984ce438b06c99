package inventory

import (
	"net/netip"
	"slices"
	"time"

	"lovagelane/inifile"
)

const (
	// InventoryFile is the base name of the file that declares regions, availability zones, services and backend servers.
	InventoryFile = "inventory.ini"
	// RulesFile is the base name of the file that declares classes, request rules, callers and objectives.
	RulesFile = "rules.ini"
	// MaxTotalBytes is the maximum size of all files together, because nodes exchange a configuration as one text.
	MaxTotalBytes = inifile.MaxFileBytes
)

// File holds the name and the content of one of the operators' INI files.
type File struct {
	Name string `cbor:"1,keyasint"`
	Text string `cbor:"2,keyasint"`
}

// Line is the file and line that a setting came from.
type Line = inifile.Line

// Problem is an error in the files, with its file and line and the remedy.
type Problem = inifile.Problem

// Region is a region declared in the inventory.
type Region struct {
	Name string
	// Store is true for the region that hosts the platform's store.
	Store bool
	Line  Line
}

// AvailabilityZone is an availability zone declared in the inventory.
type AvailabilityZone struct {
	Name   string
	Region string
	Line   Line
}

// Service is a service declared in the inventory.
type Service struct {
	Name string
	// Timeout is the maximum duration of a call to the service.
	Timeout time.Duration
	// MaxBody is the maximum size of a request body, in bytes.
	MaxBody int64
	// Calls lists the services that this one calls, in file order. It must not be modified.
	Calls []string
	Line  Line
	// TimeoutLine is the line that sets Timeout.
	TimeoutLine Line
	// MaxBodyLine is the line that sets MaxBody, or the service's line if the default applies.
	MaxBodyLine Line
}

// BackendServers is a group of identical backend servers of one service in one availability zone.
type BackendServers struct {
	Service          string
	AvailabilityZone string
	Count            int
	Slots            int
	Connections      int
	Line             Line
	// SlotsLine is the line that sets Slots, in the group's section or in the service's.
	SlotsLine Line
	// ConnectionsLine is the line that sets Connections, in the group's section or in the service's.
	ConnectionsLine Line
}

// Class is a priority class of requests that are shed together.
type Class struct {
	Name string
	// Rank orders the classes for load shedding: rank 1 is shed last.
	Rank uint8
	// Default is true for the class of requests that no rule matches.
	Default bool
	Line    Line
	// RankLine is the line that sets Rank.
	RankLine Line
	// DefaultLine is the line that makes the class the default.
	DefaultLine Line
}

// RequestRule assigns an Operation to the requests of a service that match a method and a path.
type RequestRule struct {
	Operation Operation
	// Method is empty if the rule matches all methods.
	Method string
	// Path is an exact path, or a path prefix followed by *.
	Path string
}

// Caller is an external caller declared in the rules.
type Caller struct {
	Name string
	// Addresses lists the networks from which the caller's name is accepted. It must not be modified.
	Addresses []netip.Prefix
	Line      Line
}

// Allows reports whether the caller's name is accepted from the address.
func (c Caller) Allows(address netip.Addr) bool {
	address = address.Unmap()
	return slices.ContainsFunc(c.Addresses, func(p netip.Prefix) bool { return p.Contains(address) })
}

// Objective is the service-level objective of a service. The burn report measures calls against it.
type Objective struct {
	Service string
	// Answered is the target fraction, between 0 and 1, of requests that are answered within Within.
	Answered float64
	Within   time.Duration
	Line     Line
}

// Operation holds the settings that apply to a request: its class, rank, timeout and whether it is non-idempotent.
type Operation struct {
	// Name is the name of the request rule, or the service's name followed by ".other" if no rule matches.
	Name          string
	Service       string
	Class         string
	Rank          uint8
	NonIdempotent bool
	Timeout       time.Duration
	// Line is the line of the rule, or of the service if no rule matches.
	Line Line
	// ClassLine is the line that sets Class, or the line that makes the class the default if no rule matches.
	ClassLine Line
	// TimeoutLine is the line that sets Timeout, in the rule or in the service.
	TimeoutLine Line
}

// Config is a validated, immutable inventory with its rules.
type Config struct {
	version uint64
	files   []File
	*tables
}

// tables holds the parsed data. Copies of a Config share it, and nothing modifies it after Parse.
type tables struct {
	regions      []Region
	zones        []AvailabilityZone
	services     []Service
	groups       []BackendServers
	classes      []Class
	requests     []RequestRule
	callers      []Caller
	objectives   []Objective
	defaultClass Class
	settings     []Setting

	zoneRegion map[string]string
	service    map[string]*serviceEntry
	group      map[groupKey]BackendServers
	caller     map[string]Caller
	objective  map[string]Objective
}

type groupKey struct{ service, zone string }

// serviceEntry holds the service and its request rules, so that a lookup takes one map access.
type serviceEntry struct {
	service Service
	match   matcher
}

// Version returns the version that the store assigned to the configuration, or 0 if the store has not accepted it.
func (c *Config) Version() uint64 { return c.version }

// WithVersion returns a copy of the configuration with the given version.
func (c *Config) WithVersion(version uint64) *Config {
	next := *c
	next.version = version
	return &next
}

// Files returns the files that the configuration was parsed from.
func (c *Config) Files() []File { return slices.Clone(c.files) }

// Service returns the service with the given name.
func (c *Config) Service(name string) (Service, bool) {
	if entry, ok := c.service[name]; ok {
		return entry.service, true
	}
	return Service{}, false
}

// Region returns the region of an availability zone.
func (c *Config) Region(availabilityZone string) (string, bool) {
	region, ok := c.zoneRegion[availabilityZone]
	return region, ok
}

// BackendServers returns the backend servers of a service in an availability zone.
func (c *Config) BackendServers(service, availabilityZone string) (BackendServers, bool) {
	group, ok := c.group[groupKey{service, availabilityZone}]
	return group, ok
}

// Operation returns the settings that apply to a request, or the zero Operation if the service does not exist. The path
// is decoded and does not include the service; a query in it is ignored.
func (c *Config) Operation(service, method, path string) Operation {
	entry, ok := c.service[service]
	if !ok {
		return Operation{}
	}
	return *entry.match.find(method, path)
}

// DefaultRank returns the rank of requests that no rule matches.
func (c *Config) DefaultRank() uint8 { return c.defaultClass.Rank }

// DefaultClass returns the class of requests that no rule matches.
func (c *Config) DefaultClass() Class { return c.defaultClass }

// Caller returns the caller with the given name.
func (c *Config) Caller(name string) (Caller, bool) {
	caller, ok := c.caller[name]
	return caller, ok
}

// Objective returns the objective of a service.
func (c *Config) Objective(service string) (Objective, bool) {
	objective, ok := c.objective[service]
	return objective, ok
}

// Regions returns the regions in file order.
func (c *Config) Regions() []Region { return slices.Clone(c.regions) }

// AvailabilityZones returns the availability zones in file order.
func (c *Config) AvailabilityZones() []AvailabilityZone { return slices.Clone(c.zones) }

// Services returns the services in file order.
func (c *Config) Services() []Service { return slices.Clone(c.services) }

// BackendServerGroups returns all groups of backend servers in file order.
func (c *Config) BackendServerGroups() []BackendServers { return slices.Clone(c.groups) }

// Classes returns the classes in file order.
func (c *Config) Classes() []Class { return slices.Clone(c.classes) }

// RequestRules returns the request rules in file order.
func (c *Config) RequestRules() []RequestRule { return slices.Clone(c.requests) }

// Callers returns the callers in file order.
func (c *Config) Callers() []Caller { return slices.Clone(c.callers) }

// Objectives returns the objectives in file order.
func (c *Config) Objectives() []Objective { return slices.Clone(c.objectives) }
