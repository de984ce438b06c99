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
	// The range lies below the system's ephemeral ports, so that no outgoing connection occupies the port of a process
	// that is restarted.
	firstPort    = 12000
	lastPort     = 32000
	maxPortTries = 5000
)

// portAllocator allocates loopback addresses. It never returns an address twice, since a process may not have opened its
// listeners yet when the addresses of the next one are allocated.
type portAllocator struct{ allocated kernel.Set[string] }

// portLocks holds the locked files of the ports that this process has allocated. They stay locked until it exits.
var portLocks struct {
	mu    sync.Mutex
	files []*os.File
}

// lockPort takes the lock of a port, which all testbeds on this machine share, and reports whether it got the lock. Without
// the lock, two testbeds could allocate the same port before either has opened its listener.
func lockPort(port int) (bool, error) {
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
	portLocks.mu.Lock()
	defer portLocks.mu.Unlock()
	portLocks.files = append(portLocks.files, f)
	return true, nil
}

// Addresses allocates n loopback addresses that no other testbed on this machine uses.
func Addresses(n int) ([]string, error) {
	var p portAllocator
	return p.allocate(n)
}

// allocate returns n addresses whose ports are free for TCP and UDP.
func (p *portAllocator) allocate(n int) ([]string, error) {
	if p.allocated == nil {
		p.allocated = kernel.Set[string]{}
	}
	var addresses []string
	// The random source has no fixed seed, so that concurrent testbeds do not try the same ports.
	for range maxPortTries {
		if len(addresses) == n {
			return addresses, nil
		}
		port := firstPort + rand.IntN(lastPort-firstPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if p.allocated.Has(address) || !isFree(address) {
			continue
		}
		ok, err := lockPort(port)
		if err != nil {
			return nil, err
		}
		if ok {
			p.allocated[address] = struct{}{}
			addresses = append(addresses, address)
		}
	}
	return nil, Error.New("found only %d of %d free ports: stop other programs that listen on loopback", len(addresses), n)
}

func isFree(address string) bool {
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
