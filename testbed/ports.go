package testbed

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"

	"golang.org/x/sys/unix"

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

// reserved keeps the locks on the ports that this process has given, until it ends.
var reserved struct {
	mu    sync.Mutex
	files []*os.File
}

// reserve takes a lock on a port that other testbeds on this machine respect. Without it, two of them could choose the same
// port before either has opened its listener.
func reserve(port int) (bool, error) {
	dir := filepath.Join(os.TempDir(), "lovagelane-ports")
	if err := os.MkdirAll(dir, 0o777); err != nil {
		return false, Error.Wrap(err)
	}
	f, err := os.OpenFile(filepath.Join(dir, strconv.Itoa(port)), os.O_CREATE|os.O_RDWR, 0o666)
	if err != nil {
		return false, Error.Wrap(err)
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return false, Error.Wrap(f.Close())
	}
	reserved.mu.Lock()
	defer reserved.mu.Unlock()
	reserved.files = append(reserved.files, f)
	return true, nil
}

// Addresses returns n loopback addresses that no other testbed on this machine is given.
func Addresses(n int) ([]string, error) {
	var p ports
	return p.take(n)
}

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
		port := firstPort + rand.IntN(lastPort-firstPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if p.taken.Has(address) || !free(address) {
			continue
		}
		ok, err := reserve(port)
		if err != nil {
			return nil, err
		}
		if ok {
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
