package kernel

import (
	"errors"
	"net"
	"time"
)

// acceptRetryDelay is the delay after a failed accept, for example while the process has no free file descriptor.
const acceptRetryDelay = 50 * time.Millisecond

// RetryListener is a listener whose Accept fails only once it is closed.
type RetryListener struct {
	net.Listener
	// OnError is called with each failure of Accept before it is retried; nil ignores them.
	OnError func(error)
}

// Accept waits for the next connection.
func (l *RetryListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
		if l.OnError != nil {
			l.OnError(err)
		}
		timer := time.NewTimer(acceptRetryDelay)
		<-timer.C
	}
}
