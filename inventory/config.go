package inventory

import (
	"fmt"
	"time"
)

// File is one of the operators' INI files.
type File struct {
	Name string `cbor:"1,keyasint"`
	Text string `cbor:"2,keyasint"`
}

// Line is the place in a file that a setting came from.
type Line struct {
	File   string
	Number int
}

// String returns the file and the line, as in rules.ini:14.
func (l Line) String() string { return fmt.Sprintf("%s:%d", l.File, l.Number) }

// Problem is a mistake in the files, with its place and the remedy.
type Problem struct {
	Line   Line
	What   string
	Remedy string
}

// Error returns the place, the mistake and the remedy on one line.
func (p Problem) Error() string { return fmt.Sprintf("%s: %s: %s", p.Line, p.What, p.Remedy) }

// Service is a service of the inventory.
type Service struct {
	Name string
	// Timeout is the longest time that a call to the service may take.
	Timeout time.Duration
	// MaxBody is the largest request body, in bytes.
	MaxBody int64
	Calls   []string
	Line    Line
	// TimeoutLine is the line that the timeout came from.
	TimeoutLine Line
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
}

// Parse reads inventory.ini and rules.ini and returns either a configuration or every problem found.
func Parse(files []File) (*Config, []Problem) { return &Config{files: files}, nil }

// Version returns the version under which the store accepted the configuration, or 0 before that.
func (c *Config) Version() uint64 { return c.version }

// WithVersion returns the configuration with its accepted version.
func (c *Config) WithVersion(version uint64) *Config {
	next := *c
	next.version = version
	return &next
}

// Files returns the text that the configuration was read from.
func (c *Config) Files() []File { return c.files }

// Service returns a service by name.
func (c *Config) Service(name string) (Service, bool) { return Service{}, false }

// Region returns the region of an availability zone.
func (c *Config) Region(availabilityZone string) (string, bool) { return "", false }

// BackendServers returns the group of a service in an availability zone.
func (c *Config) BackendServers(service, availabilityZone string) (BackendServers, bool) {
	return BackendServers{}, false
}

// Operation returns what the rules say about a request to a service that exists.
func (c *Config) Operation(service, method, path string) Operation { return Operation{} }

// DefaultRank returns the rank of requests that no rule matches.
func (c *Config) DefaultRank() uint8 { return 8 }
