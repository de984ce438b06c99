package hangup

import (
	"crypto/tls"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// Watch holds the connections of waiting callers; its zero value is ready.
type Watch struct {
	mu      sync.Mutex
	next    uint64
	waiting map[uint64]*waitingCaller
}

type waitingCaller struct {
	conn syscall.RawConn
	gone chan struct{}
}

// Add watches a connection until stop is called; the channel is closed when the other end has closed it.
func (w *Watch) Add(conn net.Conn) (gone <-chan struct{}, stop func()) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return nil, func() {}
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, func() {}
	}
	caller := &waitingCaller{conn: raw, gone: make(chan struct{})}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waiting == nil {
		w.waiting = map[uint64]*waitingCaller{}
	}
	w.next++
	id := w.next
	w.waiting[id] = caller
	return caller.gone, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.waiting, id)
	}
}

// Count returns the number of watched connections.
func (w *Watch) Count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.waiting)
}

// Check looks at every watched connection without reading from it.
func (w *Watch) Check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, caller := range w.waiting {
		if closed(caller.conn) {
			close(caller.gone)
			delete(w.waiting, id)
		}
	}
}

// Abandoned reports whether the sender of the request that was just read from conn has given up on it. A request that
// waited in the socket while this process was paused states a remaining time that counts from its sending, so only the
// closed connection shows that its deadline has passed.
func Abandoned(conn net.Conn) bool {
	secured, isTLS := conn.(*tls.Conn)
	if isTLS {
		conn = secured.NetConn()
	}
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	pending, gone := Peek(raw)
	// A node sends nothing after a request but the alert that ends the TLS session.
	return gone || isTLS && pending
}

// closed reports whether the other end has closed a connection.
func closed(conn syscall.RawConn) bool {
	_, gone := Peek(conn)
	return gone
}

// Peek looks at a socket without reading from it: no byte and no error means that the other end has closed it.
func Peek(conn syscall.RawConn) (pending, gone bool) {
	err := conn.Control(func(fd uintptr) {
		var b [1]byte
		count, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		pending = err == nil && count > 0
		gone = (err == nil && count == 0) || err == unix.ECONNRESET
	})
	return pending, gone || err != nil
}
