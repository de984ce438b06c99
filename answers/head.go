package answers

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

const (
	// maxInterimAnswers is the number of interim answers that are discarded before a final one.
	maxInterimAnswers = 100

	firstStatus, firstFinalStatus, lastStatus = 100, 200, 599
	// switchingProtocols is the status of an answer after which a connection carries another protocol.
	switchingProtocols = 101
)

// MalformedError says why a head is malformed. The peer may have run the request. The error quotes nothing of the answer, since
// malformed lines may hold parts of cookies or bodies.
type MalformedError string

// Error returns the reason.
func (e MalformedError) Error() string { return "malformed answer: " + string(e) }

func malformed(format string, args ...any) error { return MalformedError(fmt.Sprintf(format, args...)) }

// Await waits until r has buffered the head of a final answer, and checks it. It discards interim answers and leaves the final
// one in r. The buffer of r limits the size of a head. It returns a MalformedError, io.EOF if r ends before the head and
// io.ErrUnexpectedEOF if r ends within it, or another error of r.
func Await(r *bufio.Reader) error {
	for range maxInterimAnswers + 1 {
		h, err := peekHead(r)
		if err != nil {
			return err
		}
		if h.status >= firstFinalStatus {
			return nil
		}
		if _, err := r.Discard(h.size); err != nil {
			return err
		}
	}
	return malformed("more than %d interim answers", maxInterimAnswers)
}

// Check checks the whole head of a final answer, and returns a MalformedError if it is malformed.
func Check(b []byte) error {
	var h head
	for !h.complete {
		end := bytes.IndexByte(b[h.size:], '\n')
		if end < 0 {
			return malformed("the head ends within a line")
		}
		if err := h.add(b[h.size : h.size+end+1]); err != nil {
			return err
		}
	}
	switch {
	case h.status < firstFinalStatus:
		return malformed("status %d is not final", h.status)
	case h.size < len(b):
		return malformed("%d bytes follow the head", len(b)-h.size)
	}
	return nil
}

// head is what the lines of a head state.
type head struct {
	// size is the number of bytes of the lines.
	size int
	// status is 0 before the status line.
	status   int
	http10   bool
	complete bool
}

// peekHead reads the lines of a head from the buffer of r, without consuming them.
func peekHead(r *bufio.Reader) (head, error) {
	var h head
	for !h.complete {
		line, err := peekLine(r, h.size)
		if err != nil {
			return h, err
		}
		if err := h.add(line); err != nil {
			return h, err
		}
	}
	return h, nil
}

// peekLine returns the line that starts behind the first offset bytes of r, with its end.
func peekLine(r *bufio.Reader, offset int) ([]byte, error) {
	for size := offset + 1; ; size = r.Buffered() + 1 {
		_, err := r.Peek(size)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			return nil, malformed("its head is larger than %d bytes", r.Size())
		case errors.Is(err, io.EOF) && r.Buffered() > 0:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		b, err := r.Peek(r.Buffered())
		if err != nil {
			return nil, err
		}
		if i := bytes.IndexByte(b[offset:], '\n'); i >= 0 {
			return b[offset : offset+i+1], nil
		}
	}
}

// add adds a line with its end.
func (h *head) add(line []byte) error {
	h.size += len(line)
	text, ok := bytes.CutSuffix(line, []byte("\r\n"))
	switch {
	case !ok:
		return malformed("a line does not end with a carriage return and a line feed")
	case h.status > 0 && len(text) == 0:
		h.complete = true
	case h.status > 0:
		return h.checkField(text)
	case len(text) > 0: // Empty lines before the status line may end an earlier body.
		return h.addStatusLine(text)
	}
	return nil
}

func (h *head) addStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	code, reason, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	status, err := strconv.ParseUint(string(code), 10, 16)
	switch {
	case string(version) != "HTTP/1.1" && string(version) != "HTTP/1.0":
		return malformed("it does not start with HTTP/1.0 or HTTP/1.1")
	case err != nil || len(code) != 3:
		return malformed("its status is not three digits")
	case status < firstStatus || status > lastStatus:
		return malformed("status %03d is not one of %d to %d", status, firstStatus, lastStatus)
	case status == switchingProtocols:
		return malformed("status %d without a request for another protocol", status)
	case bytes.ContainsFunc(reason, isControl):
		return malformed("status %d has control bytes in its reason", status)
	}
	h.status, h.http10 = int(status), string(version) == "HTTP/1.0"
	return nil
}

// checkField checks a field line. A blank before or behind the name is malformed too: parsers differ in what they make of it, and
// with that in where the answer ends.
func (h *head) checkField(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok {
		return malformed("a field has no colon")
	}
	if i := bytes.IndexFunc(name, isNotToken); i >= 0 {
		return malformed("a field name has the byte 0x%02x", name[i])
	}
	switch {
	case len(name) == 0:
		return malformed("a field has no name")
	case bytes.ContainsFunc(value, isControl):
		return malformed("a field value has control bytes")
	case h.http10 && strings.EqualFold(string(name), "Transfer-Encoding"):
		return malformed("an answer of HTTP/1.0 has a transfer coding")
	}
	return nil
}

// isNotToken reports whether a character can't be part of a token of RFC 9110.
func isNotToken(c rune) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return false
	}
	return !strings.ContainsRune("!#$%&'*+-.^_`|~", c)
}

// isControl reports whether a character is a control byte that a field value and a reason can't hold.
func isControl(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }
