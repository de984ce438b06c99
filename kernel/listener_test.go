package kernel_test

import (
	"errors"
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"lovagelane/kernel"
)

// failingListener fails its first accepts as a process without free file descriptors does.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return nil, net.ErrClosed
}

// Guards against a server that ends, and its process with it, because file descriptors ran out for a moment.
func TestRetryListenerSurvivesFailedAccepts(t *testing.T) {
	var failures []error
	l := &kernel.RetryListener{Listener: &failingListener{failures: 2}, OnError: func(err error) { failures = append(failures, err) }}
	_, err := l.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
	require.Len(t, failures, 2)
	require.ErrorIs(t, failures[0], syscall.EMFILE)
}

// Guards against a panic of a parser that ends the process.
func TestProtectReturnsPanics(t *testing.T) {
	require.ErrorContains(t, kernel.Protect(func() error { panic("index out of range") }), "index out of range")
	failed := errors.New("malformed")
	require.ErrorIs(t, kernel.Protect(func() error { return failed }), failed)
	require.NoError(t, kernel.Protect(func() error { return nil }))
}
