package link

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// readBuffer is the size of a connection's read buffer, in bytes. It is small because a node has many connections.
	readBuffer = 4 << 10
	// maxUnwritten bounds the bytes queued for writing on a connection, which is closed when the receiver reads too slowly.
	maxUnwritten = 32 << 20
	// writeTimeout bounds one write. A receiver that accepts no bytes for this long counts as unreachable.
	writeTimeout = 2 * time.Second
	// UnacknowledgedTimeout is how long sent bytes may stay unacknowledged before the kernel closes the connection, so that
	// a broken network path or an unresponsive peer is detected within seconds.
	UnacknowledgedTimeout = 2 * time.Second
	// keepAliveInterval is the idle time before the first TCP keep-alive probe, and the time between probes.
	keepAliveInterval = time.Second
	// keepAliveCount is the number of unanswered probes after which the kernel closes a connection.
	keepAliveCount = 2
)

// ErrRefused reports that a connection could not be opened because nothing listens at the address.
var ErrRefused = errors.New("connection refused")

// Dial opens a TCP connection that detects a broken network path within seconds.
func Dial(address string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	c, err := d.Dial("tcp", address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, errors.Join(ErrRefused, err)
	}
	if err != nil {
		return nil, err
	}
	return c, setUserTimeout(c)
}

// setUserTimeout sets TCP_USER_TIMEOUT, which bounds how long sent bytes may stay unacknowledged.
func setUserTimeout(c net.Conn) error {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var optErr error
	if err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UnacknowledgedTimeout.Milliseconds()))
	}); err != nil {
		return err
	}
	return optErr
}

// conn writes frames in the order in which they are sent and batches queued frames into one write.
type conn struct {
	c net.Conn
	r *bufio.Reader
	// lastRead is when the last frame was read, in nanoseconds of Transport.uptime.
	lastRead atomic.Int64

	mu      sync.Mutex
	wake    *sync.Cond
	pending []byte
	closed  bool
}

func newConn(c net.Conn) *conn {
	k := &conn{c: c, r: bufio.NewReaderSize(c, readBuffer)}
	k.wake = sync.NewCond(&k.mu)
	return k
}

// send queues a frame and reports whether the connection is open.
func (k *conn) send(f frame) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed {
		return false
	}
	if len(k.pending)+len(f.payload) > maxUnwritten {
		k.closeLocked()
		return false
	}
	k.pending = appendFrame(k.pending, f)
	k.wake.Signal()
	return true
}

// writeLoop writes queued frames until the connection closes.
func (k *conn) writeLoop() {
	var spare []byte
	for {
		k.mu.Lock()
		for len(k.pending) == 0 && !k.closed {
			k.wake.Wait()
		}
		if k.closed {
			k.mu.Unlock()
			return
		}
		b := k.pending
		k.pending = spare[:0]
		k.mu.Unlock()
		if err := k.write(b); err != nil {
			k.close()
			return
		}
		spare = b
		if cap(spare) > 4*readBuffer {
			spare = nil
		}
	}
}

func (k *conn) write(b []byte) error {
	if err := k.c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := k.c.Write(b)
	return err
}

func (k *conn) close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closeLocked()
}

func (k *conn) closeLocked() {
	if !k.closed {
		k.closed = true
		_ = k.c.Close()
		k.wake.Broadcast()
	}
}
