package inventory

import (
	"net/netip"
	"slices"
	"time"

	"lovagelane/setting"
)

const (
	// InventoryFile is the base name of the file that describes services and places.
	InventoryFile = "inventory.ini"
	// RulesFile is the base name of the file that describes classes, requests, callers and objectives.
	RulesFile = "rules.ini"
	// MaxText is the largest size of all files together, in bytes; a configuration travels between nodes as one text.
	MaxText = setting.MaxText
)

// File is one of the operators' INI files.
type File struct {
	Name string `cbor:"1,keyasint"`
	Text string `cbor:"2,keyasint"`
}

// Line is the place in a file that a setting came from.
type Line = setting.Line

// Problem is a mistake in the files, with its place and the remedy.
type Problem = setting.Problem

// Region is a region of the inventory.
type Region struct {
	Name string
	// Store marks the region that the platform's store is in.
	Store bool
	Line  Line
}

// AvailabilityZone is an availability zone of the inventory.
type AvailabilityZone struct {
	Name   string
	Region string
	Line   Line
}

// Service is a service of the inventory.
type Service struct {
	Name string
	// Timeout is the longest time that a call to the service may take.
	Timeout time.Duration
	// MaxBody is the largest request body, in bytes.
	MaxBody int64
	// Calls are the services that this one calls, in order; it must not be changed.
	Calls []string
	Line  Line
	// TimeoutLine is the line that the timeout came from.
	TimeoutLine Line
	// MaxBodyLine is the line that the largest body came from, or the service's line for DefaultMaxBody.
	MaxBodyLine Line
}

// BackendServers is a group of equal backend servers of one service in one availability zone.
type BackendServers struct {
	Service          string
	AvailabilityZone string
	Count            int
	Slots            int
	Connections      int
	Line             Line
	// SlotsLine is the line that the number of slots came from.
	SlotsLine Line
	// ConnectionsLine is the line that the number of connections came from.
	ConnectionsLine Line
}

// Class is a class of requests that are shed together.
type Class struct {
	Name string
	// Rank orders the classes: rank 1 is shed last.
	Rank uint8
	// Default marks the class of requests that no rule matches.
	Default bool
	Line    Line
	// RankLine is the line that the rank came from.
	RankLine Line
	// DefaultLine is the line that made the class the default.
	DefaultLine Line
}

// Request is a rule for the requests of a service that match a method and a path.
type Request struct {
	Operation Operation
	// Method is empty when the rule is for all methods.
	Method string
	// Path ends with a * when the rule is for all paths that begin with it.
	Path string
}

// Caller is an outside caller that the rules know.
type Caller struct {
	Name string
	// Addresses are the networks that the caller's name is accepted from; it must not be changed.
	Addresses []netip.Prefix
	Line      Line
}

// Allows reports whether the caller's name is accepted from the address.
func (c Caller) Allows(address netip.Addr) bool {
	address = address.Unmap()
	return slices.ContainsFunc(c.Addresses, func(p netip.Prefix) bool { return p.Contains(address) })
}

// Objective is what a service is meant to achieve, for the service-level burn report.
type Objective struct {
	Service string
	// Answered is the share of requests, as a fraction of 1, that are to be answered within Within.
	Answered float64
	Within   time.Duration
	Line     Line
}

// Operation is what the rules say about a request.
type Operation struct {
	// Name is the name of the request rule, or the service's name with ".other" when no rule matches.
	Name          string
	Service       string
	Class         string
	Rank          uint8
	NonIdempotent bool
	Timeout       time.Duration
	// Line is the line of the rule, or of the service when no rule matches.
	Line Line
	// ClassLine is the line that the class came from.
	ClassLine Line
	// TimeoutLine is the line that the timeout came from.
	TimeoutLine Line
}

// Config is a checked inventory with its rules; it never changes.
type Config struct {
	version uint64
	files   []File
	*tables
}

// tables are shared by all versions of a Config and are not written after Parse.
type tables struct {
	regions      []Region
	zones        []AvailabilityZone
	services     []Service
	groups       []BackendServers
	classes      []Class
	requests     []Request
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

// serviceEntry holds what a call to one service needs, so that a lookup costs one map access.
type serviceEntry struct {
	service Service
	match   matcher
}

// Version returns the version under which the store accepted the configuration, or 0 before that.
func (c *Config) Version() uint64 { return c.version }

// WithVersion returns the configuration with its accepted version.
func (c *Config) WithVersion(version uint64) *Config {
	next := *c
	next.version = version
	return &next
}

// Files returns the text that the configuration was read from.
func (c *Config) Files() []File { return slices.Clone(c.files) }

// Service returns a service by name.
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

// BackendServers returns the group of a service in an availability zone.
func (c *Config) BackendServers(service, availabilityZone string) (BackendServers, bool) {
	group, ok := c.group[groupKey{service, availabilityZone}]
	return group, ok
}

// Operation returns what the rules say about a request to a service that exists, and the zero Operation for another
// service. The path is without the service and decoded, and a query in it is ignored.
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

// Caller returns a caller that the rules know.
func (c *Config) Caller(name string) (Caller, bool) {
	caller, ok := c.caller[name]
	return caller, ok
}

// Objective returns the objective of a service.
func (c *Config) Objective(service string) (Objective, bool) {
	objective, ok := c.objective[service]
	return objective, ok
}

// Regions returns the regions in the order of the file.
func (c *Config) Regions() []Region { return slices.Clone(c.regions) }

// AvailabilityZones returns the availability zones in the order of the file.
func (c *Config) AvailabilityZones() []AvailabilityZone { return slices.Clone(c.zones) }

// Services returns the services in the order of the file.
func (c *Config) Services() []Service { return slices.Clone(c.services) }

// Groups returns all groups of backend servers in the order of the file.
func (c *Config) Groups() []BackendServers { return slices.Clone(c.groups) }

// Classes returns the classes in the order of the file.
func (c *Config) Classes() []Class { return slices.Clone(c.classes) }

// Requests returns the request rules in the order of the file.
func (c *Config) Requests() []Request { return slices.Clone(c.requests) }

// Callers returns the callers in the order of the file.
func (c *Config) Callers() []Caller { return slices.Clone(c.callers) }

// Objectives returns the objectives in the order of the file.
func (c *Config) Objectives() []Objective { return slices.Clone(c.objectives) }
