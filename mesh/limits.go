package mesh

import (
	"cmp"

	"golang.org/x/sys/unix"

	"lovagelane/settings"
)

const (
	// fileDescriptors is the number of descriptors that are left for files.
	fileDescriptors = 200
	// callerDescriptorShare and nodeDescriptorShare are the shares of the other descriptors that connections of callers, and accepted
	// connections of other nodes, may take. The rest is for the backend server, the store and connections to other nodes.
	callerDescriptorShare = 0.5
	nodeDescriptorShare   = 0.25
	// connectionMemory is what a connection of a caller takes beside its messages, in bytes, and connectionMemoryShare the share of the
	// memory limit that all of them may take.
	connectionMemory      = 12 << 10
	connectionMemoryShare = 0.125
	// maxCallerConnections limits the connections of callers if neither descriptors nor memory do.
	maxCallerConnections = 2048
	// defaultConnectionBytes is what may be held for a connection that is read ahead: messages of the largest size that need no
	// reservation, for each of the default number of requests.
	defaultConnectionBytes = 1 << 20
)

// limits are the limits of connections.
type limits struct {
	// callers and nodes limit the open connections of callers, and those accepted from other nodes.
	callers, nodes int
	// connectionBytes is what may be held for a connection of a caller that is read ahead.
	connectionBytes int64
}

// limitsOf returns the limits of connections. Without a setting, the descriptors are those that the kernel allows, or 0 if that is
// not known.
func limitsOf(s settings.Mesh, kernelLimit int) limits {
	l := limits{callers: cmp.Or(s.CallerConnections, maxCallerConnections), connectionBytes: defaultConnectionBytes}
	if s.ConnectionKB > 0 {
		l.connectionBytes = int64(s.ConnectionKB) << 10
	}
	if s.MemoryMB > 0 {
		l.callers = min(l.callers, int(connectionMemoryShare*float64(s.MemoryMB)*(1<<20))/connectionMemory)
	}
	if descriptors := cmp.Or(s.MaxDescriptors, kernelLimit); descriptors > 0 {
		sockets := float64(max(descriptors-fileDescriptors, descriptors/2))
		l.callers = max(min(l.callers, int(callerDescriptorShare*sockets)), 1)
		l.nodes = max(int(nodeDescriptorShare*sockets), 1)
	}
	return l
}

// kernelDescriptors returns the kernel's limit of descriptors of the process, or 0 if it can't be read.
func kernelDescriptors() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > 1<<30 {
		return 0 // Without a limit there is nothing to share out.
	}
	return int(limit.Cur)
}
