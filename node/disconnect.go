package node

import (
	"crypto/tls"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// disconnectTicks is the number of admission ticks after which the connections of waiting callers are checked.
const disconnectTicks = 3

// disconnects notices callers that closed their connection while they waited for an answer.
type disconnects struct {
	mu      sync.Mutex
	next    uint64
	waiting map[uint64]*waitingCaller
}

type waitingCaller struct {
	conn syscall.RawConn
	gone chan struct{}
}

// add watches a connection until stop is called; the channel is closed when the other end has closed it.
func (d *disconnects) add(conn net.Conn) (gone <-chan struct{}, stop func()) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return nil, func() {}
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, func() {}
	}
	w := &waitingCaller{conn: raw, gone: make(chan struct{})}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.waiting == nil {
		d.waiting = map[uint64]*waitingCaller{}
	}
	d.next++
	id := d.next
	d.waiting[id] = w
	return w.gone, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.waiting, id)
	}
}

// count returns the number of watched connections.
func (d *disconnects) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.waiting)
}

// check looks at every watched connection without reading from it.
func (d *disconnects) check() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, w := range d.waiting {
		if closed(w.conn) {
			close(w.gone)
			delete(d.waiting, id)
		}
	}
}

// abandoned reports whether the sender of the request that was just read from conn has given up on it. A request that
// waited in the socket while this process was paused states a remaining time that counts from its sending, so only the
// closed connection shows that its deadline has passed.
func abandoned(conn net.Conn) bool {
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
	pending, gone := peek(raw)
	// A node sends nothing after a request but the alert that ends the TLS session.
	return gone || isTLS && pending
}

// closed reports whether the other end has closed a connection.
func closed(conn syscall.RawConn) bool {
	_, gone := peek(conn)
	return gone
}

// peek looks at a socket without reading from it: no byte and no error means that the other end has closed it.
func peek(conn syscall.RawConn) (pending, gone bool) {
	err := conn.Control(func(fd uintptr) {
		var b [1]byte
		count, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		pending = err == nil && count > 0
		gone = (err == nil && count == 0) || err == unix.ECONNRESET
	})
	return pending, gone || err != nil
}
