package answers

import (
	"bufio"
	"errors"
	"net"
	"sync"
)

// maxHeadBytes limits the size of a head that a Conn reads.
const maxHeadBytes = 20 << 10

// headReaders holds the buffers of connections that read a head.
var headReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, maxHeadBytes) }}

// Conn is the connection of an HTTP client that checks the head of each answer before the client reads it. It carries one exchange
// at a time: the first write after a read begins the next one. Interim answers are discarded.
type Conn struct {
	net.Conn
	// r holds what was read with the head, until the client has read it.
	r *bufio.Reader
	// checked is set once the head of the current answer has been checked.
	checked bool
	// err is set once a head was malformed.
	err error
}

// NewConn returns a Conn that reads from and writes to c.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Read reads a part of an answer. It returns a MalformedError if the head of the answer is malformed.
func (c *Conn) Read(p []byte) (int, error) {
	if c.err != nil || len(p) == 0 {
		return 0, c.err
	}
	if !c.checked {
		if c.r == nil {
			c.r = headReaders.Get().(*bufio.Reader)
			c.r.Reset(c.Conn)
		}
		if err := Await(c.r); err != nil {
			c.releaseReader()
			return c.fail(p, err)
		}
		c.checked = true
	}
	if c.r == nil {
		return c.Conn.Read(p)
	}
	n, err := c.r.Read(p)
	if c.r.Buffered() == 0 {
		c.releaseReader()
	}
	return n, err
}

// fail returns the result of a read that found no valid head.
func (c *Conn) fail(p []byte, err error) (int, error) {
	var malformed MalformedError
	if !errors.As(err, &malformed) {
		return 0, err
	}
	// fasthttp reports an error before the first byte as a closed connection, so one byte precedes it.
	c.err = malformed
	p[0] = '?'
	return 1, nil
}

// Write writes a part of a request. What was read behind the last answer belongs to none and is dropped.
func (c *Conn) Write(p []byte) (int, error) {
	if c.checked {
		c.checked = false
		c.releaseReader()
	}
	return c.Conn.Write(p)
}

func (c *Conn) releaseReader() {
	if c.r != nil {
		c.r.Reset(nil)
		headReaders.Put(c.r)
		c.r = nil
	}
}
