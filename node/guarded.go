package node

import (
	"errors"
	"net"
	"sync/atomic"

	"lovagelane/disconnect"
)

// errStrayBytes marks a call that was not sent, because its kept connection holds bytes that belong to no call or is closed.
var errStrayBytes = errors.New("the kept connection holds stray bytes or is closed")

// errStrayAnswer marks a call whose answer states the context of another call. The call may have run.
var errStrayAnswer = errors.New("the answer belongs to another call")

// guardedConn is a connection to the own backend server. It sends no further call once bytes came behind the answer to the last
// one: they would be taken as the answer to the next call.
type guardedConn struct {
	net.Conn
	// answered is set when something was read since the last write.
	answered atomic.Bool
}

// dialBackend opens a connection to the own backend server.
func dialBackend(address string) (net.Conn, error) {
	conn, err := dial(address)
	if err != nil {
		return nil, err
	}
	return &guardedConn{Conn: conn}, nil
}

// Read reads from the connection.
func (c *guardedConn) Read(b []byte) (int, error) {
	c.answered.Store(true)
	return c.Conn.Read(b)
}

// Write writes to the connection. The first write after a read begins a call.
func (c *guardedConn) Write(b []byte) (int, error) {
	if c.answered.CompareAndSwap(true, false) && !disconnect.IsQuiet(c.Conn) {
		return 0, errStrayBytes
	}
	return c.Conn.Write(b)
}
