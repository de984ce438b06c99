package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var lastRequest atomic.Int64

func newRequestID() string { return fmt.Sprintf("r%08x", lastRequest.Add(1)) }

// request is one attempt of a client.
type request struct {
	id, method, host, path string
	deadline               time.Duration
	body                   int
	close                  bool
}

// reply is what a client saw.
type reply struct {
	status int
	signed bool
	size   int
	// err is set if the connection ended before a whole answer.
	err  error
	took time.Duration
}

// clientConn is a connection of a client to the node of its machine.
type clientConn struct {
	n *node
	c net.Conn
	r *bufio.Reader
}

func (n *node) dial() (*clientConn, error) {
	c, err := net.DialTimeout("tcp", n.outbound, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{n: n, c: c, r: bufio.NewReader(c)}, nil
}

// do sends a request and reads its answer. It leaves at the deadline.
func (k *clientConn) do(q request) reply {
	rec := k.n.w.rec
	began := time.Now()
	rec.add("send", "%s to %s %s %s%s body %d", q.id, k.n.name, q.method, q.host, q.path, q.body)
	p := reply{}
	resp, err := k.begin(q)
	if p.err = err; err == nil {
		var size int64
		size, p.err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		p.status, p.signed, p.size = resp.StatusCode, resp.Header.Get("X-Server-Signature") != "", int(size)
	}
	p.took = time.Since(began)
	if p.err != nil {
		rec.add("no-answer", "%s %v", q.id, p.err)
	} else {
		rec.add("answer", "%s %d signed %v size %d", q.id, p.status, p.signed, p.size)
	}
	return p
}

// begin sends a request and reads the head of its answer.
func (k *clientConn) begin(q request) (*http.Response, error) {
	if err := k.c.SetDeadline(time.Now().Add(q.deadline)); err != nil {
		return nil, err
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", q.method, q.path, q.host, q.id,
		q.deadline.Milliseconds())
	if q.body > 0 || q.method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", q.body)
	}
	if q.close {
		head += "Connection: close\r\n"
	}
	head += "\r\n"
	if _, err := k.c.Write(append([]byte(head), make([]byte, q.body)...)); err != nil {
		return nil, err
	}
	return http.ReadResponse(k.r, &http.Request{Method: q.method})
}

// once sends a request on a connection of its own.
func (n *node) once(q request) reply {
	k, err := n.dial()
	if err != nil {
		n.w.rec.add("no-connection", "%s to %s %v", q.id, n.name, err)
		return reply{err: err}
	}
	defer k.c.Close()
	q.close = true
	return k.do(q)
}
