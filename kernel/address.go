package kernel

import (
	"net"
	"strconv"
)

// IsDialable reports whether an address consists of a host and a port from 1 to 65535.
func IsDialable(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}
