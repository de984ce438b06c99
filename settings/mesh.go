package settings

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"lovagelane/inifile"
)

// Maximum values of settings.
const (
	maxMemoryMB       = 1 << 20
	maxRepeatsAllowed = 1 << 20
	maxGrace          = 10 * time.Minute
	maxRepeatWindow   = 10 * time.Minute
	maxPipelined      = 1 << 10
	maxQuotaWindow    = 10 * time.Second
	maxQuotaSlack     = 1 << 20
	minDescriptors    = 512
	maxDescriptors    = 1 << 20
	maxConnections    = 1 << 16
	minConnectionKB   = 64
	maxConnectionKB   = 1 << 20
)

var meshKinds = []inifile.Kind{
	{
		Name: "mesh",
		Required: []string{"deployment", "service", "availability-zone", "region", "backend-server", "callers-listen", "ready-listen",
			"announce-listen", "calls-listen", "store"},
		Optional: []string{"calls-address", "admin-listen", "memory-mb", "grace", "repeat-ratio", "repeats-allowed", "repeat-window",
			"pipelined-requests", "whole-chains", "give-way", "repeats-by-value", "compare-failures", "learn-capacity", "follow-run-times",
			"quota-window", "quota-over", "quota-slack", "max-descriptors", "caller-connections", "connection-kb"},
	},
}

// Mesh holds the settings of a node whose deployment uses its own protocols.
type Mesh struct {
	// Deployment names the plug-in that translates the deployment's protocols.
	Deployment       string
	Service          string
	AvailabilityZone string
	Region           string
	// BackendServer is the address of the node's own backend server.
	BackendServer string
	// CallersListen is the listen address for requests from callers and from the node's own backend server.
	CallersListen string
	// ReadyListen is the listen address of the readiness check.
	ReadyListen string
	// AnnounceListen is the listen address for announcements of the node's own backend server.
	AnnounceListen string
	// CallsListen is the listen address for connections of other nodes.
	CallsListen string
	// CallsAddress is the address at which other nodes reach CallsListen; it defaults to CallsListen.
	CallsAddress string
	// AdminListen is the listen address for metrics; empty disables them.
	AdminListen string
	// Store is the address of the operators' store.
	Store string
	// MemoryMB is the memory limit of the process in MB; 0 means that it is not set.
	MemoryMB int
	// Grace is the time between the stop signal and forced termination; 0 means that it is not set.
	Grace time.Duration
	// RepeatRatio, RepeatsAllowed and RepeatWindow define the retry budget of a service, which all nodes share: within
	// RepeatWindow they may repeat a fraction RepeatRatio of the service's requests, and RepeatsAllowed requests more. Without
	// RepeatWindow no request is repeated.
	RepeatRatio    float64
	RepeatsAllowed int
	RepeatWindow   time.Duration
	// PipelinedRequests is the maximum number of unanswered requests of one connection of a caller; 0 means that it is not set.
	PipelinedRequests int
	// WholeChains has nodes report how the runs of a route end, so that no request leaves its region for a backend server at which
	// it would most likely fail.
	WholeChains bool
	// GiveWay limits the requests that are started of a kind that mostly fails while a more important kind mostly fails as well. It
	// needs WholeChains.
	GiveWay bool
	// RepeatsByValue has a retry budget that runs short spent where a repeat saves most. It needs WholeChains.
	RepeatsByValue bool
	// CompareFailures has a backend server of another region count as failing at least as often as its region does on average.
	CompareFailures bool
	// LearnCapacity makes the node limit the calls on its backend server to what that one works best at, and choose among backend
	// servers by the run times that their nodes report.
	LearnCapacity bool
	// FollowRunTimes makes the node choose among backend servers by the run times that their nodes report, without a limit on the
	// calls on its own one.
	FollowRunTimes bool
	// QuotaWindow, QuotaOver and QuotaSlack define by how much accounts may exceed their quotas: within QuotaWindow by a fraction
	// QuotaOver and by QuotaSlack requests more. Without QuotaWindow they may not exceed them.
	QuotaWindow time.Duration
	QuotaOver   float64
	QuotaSlack  int
	// MaxDescriptors is the limit of open descriptors of the process; 0 means that it is not set.
	MaxDescriptors int
	// CallerConnections is the maximum number of open connections of callers; 0 means that it is not set.
	CallerConnections int
	// ConnectionKB is the size of the small messages, in KB, beyond which a connection of a caller is not read ahead; 0 means that it
	// is not set.
	ConnectionKB int
}

// String returns all settings on one line, with field names.
func (m Mesh) String() string {
	type plain Mesh
	return fmt.Sprintf("%+v", plain(m))
}

// LoadMesh reads the settings of a mesh node from an INI file. Its errors contain the file, the line and the remedy.
func LoadMesh(path string) (Mesh, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Mesh{}, Err.New("%v: name a file that this process can read", err)
	}
	return ParseMesh(path, string(text))
}

// ParseMesh parses the settings of a mesh node and returns either them or inifile.Problems with every mistake.
func ParseMesh(file, text string) (Mesh, error) {
	sections, problems := inifile.Read(file, dropUnset(text), meshKinds)
	r := &reader{sections: map[string]inifile.Section{}, listenerKeys: map[string]string{}}
	r.Problems = problems
	for _, s := range sections {
		r.sections[s.Kind] = s
	}
	s, ok := r.sections["mesh"]
	if !ok && len(r.Problems) == 0 {
		r.Add(inifile.Line{File: file, Number: 1}, "there is no [mesh] section", "add it with the lines "+strings.Join(meshKinds[0].Required, ", "))
	}
	m := r.mesh(s)
	if len(r.Problems) > 0 {
		r.Problems.Sort(file)
		return Mesh{}, r.Problems
	}
	return m, nil
}

// dropUnset empties the lines of optional keys without a value, which a template leaves where it has none.
func dropUnset(text string) string {
	lines := strings.Split(text, "\n")
	for i, line := range lines {
		key, value, ok := strings.Cut(line, "=")
		if ok && strings.TrimSpace(value) == "" && slices.Contains(meshKinds[0].Optional, strings.TrimSpace(key)) {
			lines[i] = ""
		}
	}
	return strings.Join(lines, "\n")
}

func (r *reader) mesh(s inifile.Section) Mesh {
	m := Mesh{
		Deployment:       r.Name(s, "deployment"),
		Service:          r.Text(s, "service"),
		AvailabilityZone: r.Text(s, "availability-zone"),
		Region:           r.Text(s, "region"),
		BackendServer:    r.dialAddress(s, "backend-server"),
		CallersListen:    r.advertisedAddress(s, "callers-listen"),
		ReadyListen:      r.advertisedAddress(s, "ready-listen"),
		AnnounceListen:   r.advertisedAddress(s, "announce-listen"),
		CallsListen:      r.advertisedAddress(s, "calls-listen"),
		CallsAddress:     r.dialAddress(s, "calls-address"),
		AdminListen:      formatAddress(r.listenAddress(s, "admin-listen")),
		Store:            r.dialAddress(s, "store"),
		MemoryMB:         r.Int(s, "memory-mb", 1, maxMemoryMB),
		Grace:            r.Duration(s, "grace", maxGrace),
		RepeatRatio:      r.ratio(s, "repeat-ratio"),
		RepeatsAllowed:   r.Int(s, "repeats-allowed", 0, maxRepeatsAllowed),
		RepeatWindow:     r.Duration(s, "repeat-window", maxRepeatWindow),

		PipelinedRequests: r.Int(s, "pipelined-requests", 1, maxPipelined),
		WholeChains:       r.Bool(s, "whole-chains"),
		GiveWay:           r.Bool(s, "give-way"),
		RepeatsByValue:    r.Bool(s, "repeats-by-value"),
		CompareFailures:   r.Bool(s, "compare-failures"),
		LearnCapacity:     r.Bool(s, "learn-capacity"),
		FollowRunTimes:    r.Bool(s, "follow-run-times"),
		QuotaWindow:       r.Duration(s, "quota-window", maxQuotaWindow),
		QuotaOver:         r.ratio(s, "quota-over"),
		QuotaSlack:        r.Int(s, "quota-slack", 0, maxQuotaSlack),
		MaxDescriptors:    r.Int(s, "max-descriptors", minDescriptors, maxDescriptors),
		CallerConnections: r.Int(s, "caller-connections", 1, maxConnections),
		ConnectionKB:      r.Int(s, "connection-kb", minConnectionKB, maxConnectionKB),
	}
	for key, on := range map[string]bool{"give-way": m.GiveWay, "repeats-by-value": m.RepeatsByValue} {
		if v, ok := s.Value(key); ok && on && !m.WholeChains {
			r.Add(v.Line, key+" needs the reports of whole-chains", "add whole-chains = yes")
		}
	}
	if m.CallsAddress == "" {
		m.CallsAddress = m.CallsListen
	}
	for _, key := range []string{"callers-listen", "ready-listen", "announce-listen", "calls-listen", "admin-listen"} {
		// Unlike a node, a mesh node has no default admin address.
		if _, ok := s.Value(key); ok {
			r.checkDuplicateListener(s, key)
		}
	}
	return m
}

// ratio parses a number from 0 to 1.
func (r *reader) ratio(s inifile.Section, key string) float64 {
	v, ok := s.Value(key)
	if !ok {
		return 0
	}
	f, err := strconv.ParseFloat(v.Text, 64)
	if err != nil || f < 0 || f > 1 {
		r.Add(v.Line, fmt.Sprintf("%s = %s is out of range", key, v.Text), "write a number from 0 to 1")
		return 0
	}
	return f
}
