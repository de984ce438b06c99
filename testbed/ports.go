package testbed

import (
	"fmt"
	"math/rand/v2"
	"net"

	"lovagelane/kernel"
)

const (
	// The range lies below the ports that the system gives to outgoing connections, so that a process that starts again
	// finds its port free.
	firstPort = 12000
	lastPort  = 32000
	portTries = 5000
)

// ports gives loopback addresses. It gives none twice, since a process may not have opened its listeners yet when the
// addresses of the next one are chosen.
type ports struct{ taken kernel.Set[string] }

// take returns n addresses whose ports are free for TCP and UDP.
func (p *ports) take(n int) ([]string, error) {
	if p.taken == nil {
		p.taken = kernel.Set[string]{}
	}
	var addresses []string
	// Testbeds that run at the same time must not try the same ports, so the source is not seeded.
	for range portTries {
		if len(addresses) == n {
			return addresses, nil
		}
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		if !p.taken.Has(address) && free(address) {
			p.taken[address] = struct{}{}
			addresses = append(addresses, address)
		}
	}
	return nil, Error.New("found %d free ports of %d: end other programs that listen on loopback", len(addresses), n)
}

func free(address string) bool {
	tcp, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer tcp.Close()
	udp, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	return udp.Close() == nil
}
