package mesh

import (
	"bufio"
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// Guards against a malformed head that another node, of an earlier release, took from its backend server and passed on.
func TestMalformedHeadsOfOtherNodesAreRejected(t *testing.T) {
	_, err := parseAnswerHead([]byte("HTTP/1.1 200 OK\r\nX-Own: 1\r\nContent-Length: 5\r\n\r\n"))
	require.NoError(t, err)
	for _, head := range []string{
		"",
		"HTTP/1.1 000 OK\r\n\r\n",
		"HTTP/1.1 101 Switching Protocols\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\n\r\n",
		"HTTP/1.1 600 OK\r\n\r\n",
		"HTTP/9.9 200 OK\r\n\r\n",
		"HTTP/1.1 200 O\x00K\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX Own: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Own : 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Own: 1\r\n\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Own: 1\r\n",
		"HTTP/1.1 200 OK\r\nX-Own: 1\r\n\r\nbody",
	} {
		_, err := parseAnswerHead([]byte(head))
		require.Error(t, err, "%q", head)
	}
}

// FuzzAnswerHead feeds arbitrary answers of a backend server: each is rejected, or its head is passed on with the same status, and in a
// form that other nodes take.
func FuzzAnswerHead(f *testing.F) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nX-Own: 1\r\nSet-Cookie: a=b\r\nServer: s\r\nContent-Type: t\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.0 404\r\nConnection: X-Own, close\r\nX-Own: \t 1 \t2\x80\r\n\r\n",
		"\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 599 \t\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.1 000 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX Own : 1\r\n 2\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\nX-Own: 1\r\n\r\n",
	} {
		f.Add([]byte(head))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		resp := &fasthttp.Response{StreamBody: true}
		if readAnswerHead(bufio.NewReader(bytes.NewReader(b)), resp) != nil {
			return
		}
		require.GreaterOrEqual(t, resp.StatusCode(), fasthttp.StatusOK)
		h, err := parseAnswerHead(answerHead(&resp.Header))
		require.NoError(t, err)
		require.Equal(t, resp.StatusCode(), h.StatusCode())
	})
}
