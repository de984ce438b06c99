package testbed

import (
	"fmt"
	"math/rand/v2"
	"net"
)

const (
	// The range lies below the ports that the system gives to outgoing connections, so that a process that starts again
	// finds its port free.
	firstPort = 12000
	lastPort  = 32000
	portTries = 5000
)

// freeAddresses returns n loopback addresses whose ports are free for TCP and UDP. It holds all ports until it has found
// the last one, so that none is given twice.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	var held []interface{ Close() error }
	defer func() {
		for _, h := range held {
			_ = h.Close()
		}
	}()
	// Testbeds that run at the same time must not try the same ports, so the source is not seeded.
	for range portTries {
		if len(addresses) == n {
			return addresses, nil
		}
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		tcp, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		held = append(held, tcp)
		udp, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		held = append(held, udp)
		addresses = append(addresses, address)
	}
	return nil, Error.New("found %d free ports of %d: end other programs that listen on loopback", len(addresses), n)
}
