package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"slices"
	"strings"

	"github.com/zeebo/errs"

	"lovagelane/inifile"
)

const (
	// EnvironmentVariable names the environment variable that can contain the text of the settings, since instances have no
	// disks.
	EnvironmentVariable = "LOVAGELANE_SETTINGS"
	// DefaultAdminListen is the default of Node.AdminListen.
	DefaultAdminListen = "127.0.0.1:7004"
)

// Err is the class of errors for settings that cannot be read; mistakes in settings are inifile.Problems.
var Err = errs.Class("settings")

var nodeKinds = []inifile.Kind{
	{
		Name: "node",
		Required: []string{"service", "availability-zone", "backend-server", "callers-listen", "backend-listen",
			"calls-listen", "control-listen", "store"},
		Optional: []string{"admin-listen", "seeds"},
	},
	{Name: "keys", Required: []string{"certificate", "key", "authority", "ticket-key"}},
	{Name: "baselines", Optional: []string{"limiter", "policy", "retries"}},
}

// Node holds the settings of a node.
type Node struct {
	Service          string
	AvailabilityZone string
	// BackendServer is the address of the node's own backend server.
	BackendServer string
	// CallersListen is the listen address for calls from external callers over HTTP.
	CallersListen string
	// BackendListen is the loopback listen address for calls from the node's own backend server over HTTP.
	BackendListen string
	// CallsListen is the listen address for calls from other nodes over HTTP with mutual TLS.
	CallsListen string
	// ControlListen is the UDP listen address for QUIC connections with other nodes.
	ControlListen string
	// AdminListen is the listen address for metrics, status and drain over HTTP.
	AdminListen string
	// Seeds are the control addresses of the nodes that the node contacts to join.
	Seeds []string
	// Store is the base URL of the platform's table service and object store.
	Store string
	// Certificate, Key and Authority are paths of PEM files; TicketKey is the path of a file with keys of at least 32 random
	// bytes in hexadecimal.
	Certificate, Key, Authority, TicketKey string
	// Limiter, Policy and Retries select plug-ins for baseline measurements; they are empty in production.
	Limiter, Policy, Retries string
}

// Load reads a node's settings from an INI file, or from the variable EnvironmentVariable if path is empty. Its errors
// contain the file, the line and the remedy.
func Load(path string) (Node, error) {
	if path == "" {
		text, ok := os.LookupEnv(EnvironmentVariable)
		if !ok {
			return Node{}, Err.New("no settings: name a file or put the text into the environment variable %s", EnvironmentVariable)
		}
		return Parse(EnvironmentVariable, text)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Node{}, Err.New("%v: name a file that this process can read", err)
	}
	return Parse(path, string(text))
}

// Parse parses a node's settings and returns either them or inifile.Problems with every mistake.
func Parse(file, text string) (Node, error) {
	sections, problems := inifile.Read(file, text, nodeKinds)
	r := &reader{sections: map[string]inifile.Section{}, listenerKeys: map[string]string{}}
	r.Problems = problems
	for _, s := range sections {
		if _, ok := r.sections[s.Kind]; !ok {
			r.sections[s.Kind] = s
		}
	}
	for _, kind := range []string{"node", "keys"} {
		if _, ok := r.sections[kind]; !ok && len(text) <= inifile.MaxFileBytes {
			r.Add(inifile.Line{File: file, Number: 1}, fmt.Sprintf("there is no [%s] section", kind), "add it with the lines "+
				strings.Join(nodeKinds[slices.IndexFunc(nodeKinds, func(k inifile.Kind) bool { return k.Name == kind })].Required, ", "))
		}
	}
	n := r.node()
	if len(r.Problems) > 0 {
		r.Problems.Sort(file)
		return Node{}, r.Problems
	}
	return n, nil
}

type reader struct {
	inifile.Collector
	sections map[string]inifile.Section
	// listenerKeys maps each TCP listen address to the settings key that contains it.
	listenerKeys map[string]string
}

func (r *reader) node() Node {
	s, k, b := r.sections["node"], r.sections["keys"], r.sections["baselines"]
	n := Node{
		Service:          r.Name(s, "service"),
		AvailabilityZone: r.Name(s, "availability-zone"),
		BackendServer:    r.dialAddress(s, "backend-server"),
		CallersListen:    r.advertisedAddress(s, "callers-listen"),
		BackendListen:    r.loopbackAddress(s, "backend-listen"),
		CallsListen:      r.advertisedAddress(s, "calls-listen"),
		ControlListen:    r.advertisedAddress(s, "control-listen"),
		AdminListen:      DefaultAdminListen,
		Store:            r.url(s, "store"),
		Certificate:      r.Text(k, "certificate"),
		Key:              r.Text(k, "key"),
		Authority:        r.Text(k, "authority"),
		TicketKey:        r.Text(k, "ticket-key"),
		Limiter:          r.Name(b, "limiter"),
		Policy:           r.Name(b, "policy"),
		Retries:          r.Name(b, "retries"),
	}
	if _, ok := s.Value("admin-listen"); ok {
		n.AdminListen = formatAddress(r.listenAddress(s, "admin-listen"))
	}
	for _, item := range r.List(s, "seeds") {
		n.Seeds = append(n.Seeds, formatAddress(r.parseAddress(s.LineOf("seeds"), "seeds", item, false)))
	}
	for _, key := range []string{"callers-listen", "backend-listen", "calls-listen", "admin-listen"} {
		r.checkDuplicateListener(s, key)
	}
	return n
}

func formatAddress(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}

// parseAddress parses an IP address and port. Only a listener can have port 0, for which the system selects a port, or an
// unspecified IP address.
func (r *reader) parseAddress(at inifile.Line, key, value string, listener bool) netip.AddrPort {
	a, err := netip.ParseAddrPort(value)
	switch {
	case err != nil:
		r.Add(at, fmt.Sprintf("%s = %s is not an address", key, value), "write an IP number and a port, as in 10.1.0.5:7000")
	case a.Port() == 0 && !listener:
		r.Add(at, fmt.Sprintf("%s = %s has port 0", key, value), "state the port")
	case a.Addr().IsUnspecified() && !listener:
		r.Add(at, fmt.Sprintf("%s = %s is not the address of one instance", key, value), "state its IP number")
	default:
		return a
	}
	return netip.AddrPort{}
}

func (r *reader) listenAddress(s inifile.Section, key string) netip.AddrPort {
	v, ok := s.Value(key)
	if !ok {
		return netip.AddrPort{}
	}
	return r.parseAddress(v.Line, key, v.Text, true)
}

func (r *reader) dialAddress(s inifile.Section, key string) string {
	v, ok := s.Value(key)
	if !ok {
		return ""
	}
	return formatAddress(r.parseAddress(v.Line, key, v.Text, false))
}

// advertisedAddress parses a listen address that is advertised to others, so it must not have the unspecified IP address.
func (r *reader) advertisedAddress(s inifile.Section, key string) string {
	a := r.listenAddress(s, key)
	if a.IsValid() && a.Addr().IsUnspecified() {
		r.Add(s.LineOf(key), fmt.Sprintf("%s = %s cannot be announced to others", key, a), "state the IP number of this instance")
	}
	return formatAddress(a)
}

func (r *reader) loopbackAddress(s inifile.Section, key string) string {
	a := r.listenAddress(s, key)
	if a.IsValid() && !a.Addr().IsLoopback() {
		r.Add(s.LineOf(key), fmt.Sprintf("%s = %s is open to other instances", key, a), "use a loopback address, as in 127.0.0.1:7001")
	}
	return formatAddress(a)
}

// checkDuplicateListener reports a TCP listen address that an earlier key has too.
func (r *reader) checkDuplicateListener(s inifile.Section, key string) {
	v, ok := s.Value(key)
	value := v.Text
	if !ok && key == "admin-listen" {
		value = DefaultAdminListen
	}
	a, err := netip.ParseAddrPort(value)
	if err != nil || a.Port() == 0 {
		return
	}
	if other, taken := r.listenerKeys[a.String()]; taken {
		r.Add(s.LineOf(key), fmt.Sprintf("%s uses the address %s of %s", key, a, other), "give each listener an address of its own")
		return
	}
	r.listenerKeys[a.String()] = key
}

func (r *reader) url(s inifile.Section, key string) string {
	v, ok := s.Value(key)
	if !ok {
		return ""
	}
	u, err := url.Parse(v.Text)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" || u.RawQuery != "" || u.Fragment != "" || u.User != nil {
		r.Add(v.Line, fmt.Sprintf("%s = %s is not a base URL", key, v.Text), "write it as http://10.1.0.2:8000")
		return ""
	}
	return strings.TrimSuffix(v.Text, "/")
}
