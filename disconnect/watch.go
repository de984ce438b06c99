package disconnect

import (
	"crypto/tls"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// Watcher detects when waiting callers close their connection. The zero value is ready to use.
type Watcher struct {
	mu      sync.Mutex
	lastID  uint64
	callers map[uint64]*waitingCaller
}

type waitingCaller struct {
	conn         syscall.RawConn
	disconnected chan struct{}
}

// Add watches a connection until stop is called. Check closes the returned channel when the peer has closed the connection.
// The channel is nil for a connection without access to its socket.
func (w *Watcher) Add(conn net.Conn) (disconnected <-chan struct{}, stop func()) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return nil, func() {}
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, func() {}
	}
	caller := &waitingCaller{conn: raw, disconnected: make(chan struct{})}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.callers == nil {
		w.callers = map[uint64]*waitingCaller{}
	}
	w.lastID++
	id := w.lastID
	w.callers[id] = caller
	return caller.disconnected, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.callers, id)
	}
}

// Count returns the number of watched connections.
func (w *Watcher) Count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.callers)
}

// Check tests every watched connection and closes the channels of those that the peer has closed.
func (w *Watcher) Check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, caller := range w.callers {
		if peerClosed(caller.conn) {
			close(caller.disconnected)
			delete(w.callers, id)
		}
	}
}

// Abandoned reports whether the sender of the request that was just read from conn has closed the connection. If this process
// was frozen while the request waited in the socket buffer, the remaining time that the request states counts from its
// sending, so that only the closed connection shows that the deadline has passed.
func Abandoned(conn net.Conn) bool {
	tlsConn, isTLS := conn.(*tls.Conn)
	if isTLS {
		conn = tlsConn.NetConn()
	}
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	pending, closed := Peek(raw)
	// After a request, a node sends only the alert that closes the TLS session.
	return closed || isTLS && pending
}

// peerClosed reports whether the peer has closed a connection.
func peerClosed(conn syscall.RawConn) bool {
	_, closed := Peek(conn)
	return closed
}

// IsQuiet reports whether a connection is open and has no unread bytes. It can't tell for a connection without access to its
// socket, and reports true.
func IsQuiet(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	pending, closed := Peek(raw)
	return !pending && !closed
}

// Peek reports whether a socket has unread data and whether it is closed or unusable, without consuming data. A read of zero
// bytes without an error means that the peer has closed the connection.
func Peek(conn syscall.RawConn) (pending, closed bool) {
	err := conn.Control(func(fd uintptr) {
		var b [1]byte
		count, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		pending = err == nil && count > 0
		closed = (err == nil && count == 0) || err == unix.ECONNRESET
	})
	return pending, closed || err != nil
}
