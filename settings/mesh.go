package settings

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"lovagelane/setting"
)

// Bounds of what settings may state.
const (
	maxMemoryMB   = 1 << 20
	maxRepeats    = 1 << 20
	longestGrace  = 10 * time.Minute
	longestWindow = 10 * time.Minute
)

var meshKinds = []setting.Kind{
	{
		Name: "mesh",
		Required: []string{"deployment", "service", "availability-zone", "region", "backend-server", "callers-listen", "ready-listen",
			"announce-listen", "calls-listen", "store"},
		Optional: []string{"calls-address", "admin-listen", "memory-mb", "grace", "repeat-ratio", "repeats-allowed", "repeat-window"},
	},
}

// Mesh holds the settings of a node whose deployment brings its own protocols.
type Mesh struct {
	// Deployment names the plug-in that translates the deployment's protocols.
	Deployment       string
	Service          string
	AvailabilityZone string
	Region           string
	// BackendServer is the address of the own backend server.
	BackendServer string
	// CallersListen takes requests of callers and of the own backend server.
	CallersListen string
	// ReadyListen answers whether the node takes requests.
	ReadyListen string
	// AnnounceListen takes the announcements of the own backend server.
	AnnounceListen string
	// CallsListen takes the connections of other nodes.
	CallsListen string
	// CallsAddress is where other nodes reach CallsListen.
	CallsAddress string
	// AdminListen serves metrics; empty means that they are not served.
	AdminListen string
	// Store is the address of the operators' store.
	Store string
	// MemoryMB is the memory that the process may use, in MB; 0 means that it is not stated.
	MemoryMB int
	// Grace is the time between the signal to stop and the end by force; 0 means that it is not stated.
	Grace time.Duration
	// RepeatRatio is the part of a service's requests that all nodes together may send again within RepeatWindow, and
	// RepeatsAllowed is what they may send again beyond that. Without a window nothing is sent again.
	RepeatRatio    float64
	RepeatsAllowed int
	RepeatWindow   time.Duration
}

// String returns all settings in one line.
func (m Mesh) String() string {
	type plain Mesh
	return fmt.Sprintf("%+v", plain(m))
}

// LoadMesh reads the settings of a mesh node from an INI file and returns an error that names file, line and remedy.
func LoadMesh(path string) (Mesh, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Mesh{}, Err.New("%v: name a file that this process can read", err)
	}
	return ParseMesh(path, string(text))
}

// ParseMesh reads the settings of a mesh node from text and returns either them or setting.Problems with every mistake.
func ParseMesh(file, text string) (Mesh, error) {
	sections, problems := setting.Read(file, text, meshKinds)
	r := &reader{sections: map[string]setting.Section{}, listeners: map[string]string{}}
	r.Problems = problems
	for _, s := range sections {
		r.sections[s.Kind] = s
	}
	s, ok := r.sections["mesh"]
	if !ok && len(r.Problems) == 0 {
		r.Add(setting.Line{File: file, Number: 1}, "there is no [mesh] section", "add it with the lines "+strings.Join(meshKinds[0].Required, ", "))
	}
	m := r.mesh(s)
	if len(r.Problems) > 0 {
		r.Problems.Sort(file)
		return Mesh{}, r.Problems
	}
	return m, nil
}

func (r *reader) mesh(s setting.Section) Mesh {
	m := Mesh{
		Deployment:       r.Name(s, "deployment"),
		Service:          r.Text(s, "service"),
		AvailabilityZone: r.Text(s, "availability-zone"),
		Region:           r.Text(s, "region"),
		BackendServer:    r.peer(s, "backend-server"),
		CallersListen:    r.announced(s, "callers-listen"),
		ReadyListen:      r.announced(s, "ready-listen"),
		AnnounceListen:   r.announced(s, "announce-listen"),
		CallsListen:      r.announced(s, "calls-listen"),
		CallsAddress:     r.peer(s, "calls-address"),
		AdminListen:      text(r.address(s, "admin-listen")),
		Store:            r.peer(s, "store"),
		MemoryMB:         r.Int(s, "memory-mb", 1, maxMemoryMB),
		Grace:            r.Duration(s, "grace", longestGrace),
		RepeatRatio:      r.ratio(s, "repeat-ratio"),
		RepeatsAllowed:   r.Int(s, "repeats-allowed", 0, maxRepeats),
		RepeatWindow:     r.Duration(s, "repeat-window", longestWindow),
	}
	if m.CallsAddress == "" {
		m.CallsAddress = m.CallsListen
	}
	for _, key := range []string{"callers-listen", "ready-listen", "announce-listen", "calls-listen", "admin-listen"} {
		// A mesh node has no admin address of its own accord.
		if _, ok := s.Value(key); ok {
			r.checkListener(s, key)
		}
	}
	return m
}

// ratio reads a number from 0 to 1.
func (r *reader) ratio(s setting.Section, key string) float64 {
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
