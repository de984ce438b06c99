package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// request is one attempt of a client.
type request struct {
	id, method, path string
	host             string
	body             []byte
	deadline         time.Duration
	headers          []string
	// bytesPerSecond is how fast the client reads the answer during the first slowFor; 0 means as fast as possible.
	bytesPerSecond int
	slowFor        time.Duration
	// before is a request that the client sends on the same connection first.
	before *request
}

// response is what the client saw.
type response struct {
	req        request
	sentAt     time.Time
	endedAt    time.Time
	status     int
	signature  string
	retryAfter string
	length     int
	read       int
	complete   bool
	intact     bool
	err        error
}

// do sends a request on a new connection and reads the answer until its end or the deadline.
func do(address string, q request) (r response) {
	r = response{req: q}
	defer func() { r.endedAt = time.Now() }()
	d := net.Dialer{Timeout: time.Second}
	c, err := d.Dial("tcp", address)
	if err != nil {
		r.err = err
		return r
	}
	defer c.Close()
	if q.bytesPerSecond > 0 {
		_ = c.(*net.TCPConn).SetReadBuffer(64 << 10)
	}
	reader := bufio.NewReaderSize(c, 4096)
	if q.before != nil {
		_ = c.SetDeadline(time.Now().Add(q.before.deadline))
		if _, err := c.Write(q.before.encode()); err != nil {
			r.err = err
			return r
		}
		resp, err := http.ReadResponse(reader, &http.Request{Method: q.before.method})
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err != nil {
			r.err = err
			return r
		}
	}
	begin := time.Now()
	_ = c.SetDeadline(begin.Add(q.deadline))
	if _, err := c.Write(q.encode()); err != nil {
		r.err = err
		return r
	}
	r.sentAt = time.Now()
	resp, err := http.ReadResponse(reader, &http.Request{Method: q.method})
	if err != nil {
		r.err = err
		return r
	}
	r.status, r.signature, r.retryAfter = resp.StatusCode, resp.Header.Get("X-Server-Signature"), resp.Header.Get("Retry-After")
	r.length = int(resp.ContentLength)
	var body []byte
	started := time.Now()
	buf := make([]byte, 16<<10)
	for {
		count, err := resp.Body.Read(buf)
		body = append(body, buf[:count]...)
		if errors.Is(err, io.EOF) {
			r.complete = true
			break
		}
		if err != nil {
			r.err = err
			break
		}
		if q.bytesPerSecond > 0 && time.Since(started) < q.slowFor {
			due := started.Add(time.Duration(float64(len(body)) / float64(q.bytesPerSecond) * float64(time.Second)))
			time.Sleep(time.Until(due))
		}
	}
	r.read = len(body)
	r.intact = r.complete && (r.signature == "" || bytes.Equal(body, answerBody(q.id, len(body))))
	return r
}

// encode returns the request as it is sent.
func (q request) encode() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", q.method, q.path, q.host, q.id,
		q.deadline.Milliseconds())
	for _, h := range q.headers {
		b.WriteString(h + "\r\n")
	}
	if q.method != http.MethodGet {
		b.WriteString("Content-Length: " + strconv.Itoa(len(q.body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(q.body)
	return b.Bytes()
}
