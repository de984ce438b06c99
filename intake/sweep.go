package intake

import (
	"cmp"
	"net"
	"slices"
	"time"

	"lovagelane/memory"
)

const (
	// SweepInterval is the time between two calls of Sweep.
	SweepInterval = 100 * time.Millisecond
	// stallTimeout is how long a caller may take for a request, or for 64 KB of an answer, while room for messages or connections
	// is short.
	stallTimeout = time.Second
	// minBodyRate is the rate, in bytes a second, below which a caller sends a large body too slowly while another one waits for room.
	minBodyRate = 2 << 20
	// quietSweeps is the number of calls of Sweep of which one looks for slow readers while room is not short.
	quietSweeps = 10
)

// mark returns the present for a field of a connection, which since compares with the present then.
func (s *Server) mark() int64 { return s.sweeps.Load() + 1 }

// since returns the time since a mark, or 0 for none.
func (s *Server) since(mark int64) time.Duration {
	if mark == 0 {
		return 0
	}
	return time.Duration(s.mark()-mark) * SweepInterval
}

// host returns the address of a peer without its port.
func host(a net.Addr) string {
	if tcp, ok := a.(*net.TCPAddr); ok {
		return tcp.IP.String()
	}
	return a.String()
}

// progress is the state of a connection by which connections are chosen for closing.
type progress struct {
	k               *conn
	held, peerHeld  int64
	peerConnections int
	// idle is how long the connection is idle, and stalled how long its caller takes for what it sends or reads.
	idle, stalled time.Duration
	// blocked is for how long the answers to later requests have waited for the first one.
	blocked time.Duration
	// slowBody is how long the caller takes for a large body beyond the time that minBodyRate allows.
	slowBody time.Duration
}

// progressOf returns the state of the open connections.
func (s *Server) progressOf() []progress {
	conns := s.open()
	list := make([]progress, 0, len(conns))
	for _, k := range conns {
		p := progress{k: k, idle: s.since(k.idle.Load()), stalled: max(s.since(k.reading.Load()), s.since(k.writing.Load())),
			blocked: s.since(k.blocked.Load())}
		if size := k.receiving.Load(); size > 0 {
			p.slowBody = s.since(k.reading.Load()) - stallTimeout - time.Duration(size)*time.Second/minBodyRate
		}
		p.held = k.held.Size()
		p.peerHeld, p.peerConnections = k.held.PeerSize()
		list = append(list, p)
	}
	return list
}

// Sweep closes the connections of callers that read too slowly and, while room for messages is short, those without progress: first
// those of the peer for which most is held, and of each peer those that hold most. If there is none and a request waits for room, it
// closes the connection that holds most for answers that wait for a slow one. While large bodies wait for room, it closes the
// connection with the slowest one. It is called each SweepInterval.
func (s *Server) Sweep() {
	excess, roomShort, bodiesWait := s.Budget.Excess(), s.Budget.IsShort(memory.Connections), s.Budget.IsShort(memory.Requests)
	if s.sweeps.Add(1)%quietSweeps != 0 && excess == 0 && !bodiesWait {
		return
	}
	var stalled []progress
	var slowest, blocked progress
	for _, p := range s.progressOf() {
		switch {
		case s.WriteTimeout > 0 && s.since(p.k.writing.Load()) > s.WriteTimeout:
			p.k.end(SlowReader, p.held)
		case excess > 0 && p.held > 0 && p.stalled >= stallTimeout:
			stalled = append(stalled, p)
		case roomShort && p.blocked >= stallTimeout && p.held > max(blocked.held, memory.FreeBytes):
			blocked = p
		case p.slowBody > slowest.slowBody:
			slowest = p
		}
	}
	if bodiesWait && slowest.slowBody > 0 {
		slowest.k.end(NoProgress, slowest.k.receiving.Load())
	}
	if len(stalled) == 0 && blocked.held > 0 {
		blocked.k.end(NoProgress, blocked.held)
	}
	slices.SortFunc(stalled, func(a, b progress) int {
		return cmp.Or(cmp.Compare(b.peerHeld, a.peerHeld), cmp.Compare(b.held, a.held))
	})
	for _, p := range stalled {
		if excess <= 0 {
			return
		}
		p.k.end(NoProgress, p.held)
		excess -= p.held
	}
}

// displace closes a connection in favour of a new one and reports whether there was one to close: one that is idle for longer than
// stallTimeout, or whose request takes longer than that to arrive. Those of the peer with most connections go first, then those on
// which no request has come, then those that are idle for longest.
func (s *Server) displace() bool {
	list := slices.DeleteFunc(s.progressOf(), func(p progress) bool {
		return p.idle < stallTimeout && (p.stalled < stallTimeout || p.k.writing.Load() > 0)
	})
	slices.SortFunc(list, func(a, b progress) int {
		return cmp.Or(cmp.Compare(b.peerConnections, a.peerConnections), compareBool(a.k.served.Load(), b.k.served.Load()),
			cmp.Compare(b.idle, a.idle), cmp.Compare(b.stalled, a.stalled))
	})
	for _, p := range list {
		if p.idle > 0 && !p.k.closeIfIdle() {
			continue // A request has arrived meanwhile.
		}
		s.reportClosed(p.k.c.RemoteAddr(), Displaced, p.held)
		p.k.leave()
		s.remove(p.k)
		return true
	}
	return false
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
