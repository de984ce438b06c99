package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"slices"
	"strings"

	"github.com/zeebo/errs"

	"lovagelane/setting"
)

const (
	// Variable is the environment variable that may hold the settings' text, since instances have no disks.
	Variable = "LOVAGELANE_SETTINGS"
	// DefaultAdminListen is the admin address of a node that states none.
	DefaultAdminListen = "127.0.0.1:7004"
)

// Err is the class of errors for settings that cannot be read; mistakes in them are setting.Problems.
var Err = errs.Class("settings")

var kinds = []setting.Kind{
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
	// BackendServer is the address of the own backend server.
	BackendServer string
	// CallersListen takes calls from outside callers over HTTP.
	CallersListen string
	// BackendListen takes calls from the own backend server over HTTP, on loopback.
	BackendListen string
	// CallsListen takes calls from other nodes over HTTP with mutual TLS.
	CallsListen string
	// ControlListen is the UDP address for QUIC with other nodes.
	ControlListen string
	// AdminListen serves metrics, status and drain over HTTP.
	AdminListen string
	// Seeds are control addresses of other nodes to join by.
	Seeds []string
	// Store is the base URL of the platform's table service and object store.
	Store string
	// Certificate, Key and Authority are PEM files; TicketKey is a file with at least 32 random bytes in hexadecimal.
	Certificate, Key, Authority, TicketKey string
	// Limiter, Policy and Retries choose plug-ins; they exist to measure baselines and are empty in operation.
	Limiter, Policy, Retries string
}

// Load reads a node's settings from an INI file, or from the environment when the path is empty, and returns an error that
// names file, line and remedy.
func Load(path string) (Node, error) {
	if path == "" {
		text, ok := os.LookupEnv(Variable)
		if !ok {
			return Node{}, Err.New("no settings: name a file or put the text into the environment variable %s", Variable)
		}
		return Parse(Variable, text)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Node{}, Err.New("%v: name a file that this process can read", err)
	}
	return Parse(path, string(text))
}

// Parse reads a node's settings from text and returns either them or setting.Problems with every mistake.
func Parse(file, text string) (Node, error) {
	sections, problems := setting.Read(file, text, kinds)
	r := &reader{sections: map[string]setting.Section{}, listeners: map[string]string{}}
	r.Problems = problems
	for _, s := range sections {
		if _, ok := r.sections[s.Kind]; !ok {
			r.sections[s.Kind] = s
		}
	}
	for _, kind := range []string{"node", "keys"} {
		if _, ok := r.sections[kind]; !ok && len(text) <= setting.MaxText {
			r.Add(setting.Line{File: file, Number: 1}, fmt.Sprintf("there is no [%s] section", kind), "add it with the lines "+
				strings.Join(kinds[slices.IndexFunc(kinds, func(k setting.Kind) bool { return k.Name == kind })].Required, ", "))
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
	setting.Collector
	sections map[string]setting.Section
	// listeners holds the key that states each TCP listener.
	listeners map[string]string
}

func (r *reader) node() Node {
	s, k, b := r.sections["node"], r.sections["keys"], r.sections["baselines"]
	n := Node{
		Service:          r.Name(s, "service"),
		AvailabilityZone: r.Name(s, "availability-zone"),
		BackendServer:    r.peer(s, "backend-server"),
		CallersListen:    r.announced(s, "callers-listen"),
		BackendListen:    r.loopback(s, "backend-listen"),
		CallsListen:      r.announced(s, "calls-listen"),
		ControlListen:    r.announced(s, "control-listen"),
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
		n.AdminListen = text(r.address(s, "admin-listen"))
	}
	for _, item := range r.List(s, "seeds") {
		n.Seeds = append(n.Seeds, text(r.parse(s.LineOf("seeds"), "seeds", item, false)))
	}
	for _, key := range []string{"callers-listen", "backend-listen", "calls-listen", "admin-listen"} {
		r.checkListener(s, key)
	}
	return n
}

func text(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}

// parse reads an address by IP number; port 0, for a port that the system chooses, is for listeners only.
func (r *reader) parse(at setting.Line, key, value string, listener bool) netip.AddrPort {
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

func (r *reader) address(s setting.Section, key string) netip.AddrPort {
	v, ok := s.Value(key)
	if !ok {
		return netip.AddrPort{}
	}
	return r.parse(v.Line, key, v.Text, true)
}

func (r *reader) peer(s setting.Section, key string) string {
	v, ok := s.Value(key)
	if !ok {
		return ""
	}
	return text(r.parse(v.Line, key, v.Text, false))
}

// announced reads the address of a listener that others are told of, so it must name the instance.
func (r *reader) announced(s setting.Section, key string) string {
	a := r.address(s, key)
	if a.IsValid() && a.Addr().IsUnspecified() {
		r.Add(s.LineOf(key), fmt.Sprintf("%s = %s cannot be announced to others", key, a), "state the IP number of this instance")
	}
	return text(a)
}

func (r *reader) loopback(s setting.Section, key string) string {
	a := r.address(s, key)
	if a.IsValid() && !a.Addr().IsLoopback() {
		r.Add(s.LineOf(key), fmt.Sprintf("%s = %s is open to other instances", key, a), "use a loopback address, as in 127.0.0.1:7001")
	}
	return text(a)
}

// checkListener reports a TCP address that an earlier key uses already.
func (r *reader) checkListener(s setting.Section, key string) {
	v, ok := s.Value(key)
	value := v.Text
	if !ok && key == "admin-listen" {
		value = DefaultAdminListen
	}
	a, err := netip.ParseAddrPort(value)
	if err != nil || a.Port() == 0 {
		return
	}
	if other, taken := r.listeners[a.String()]; taken {
		r.Add(s.LineOf(key), fmt.Sprintf("%s uses the address %s of %s", key, a, other), "give each listener an address of its own")
		return
	}
	r.listeners[a.String()] = key
}

func (r *reader) url(s setting.Section, key string) string {
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
