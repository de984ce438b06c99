package link

import (
	"bufio"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// readBuffer is the size of a connection's read buffer, in bytes. It is small because a node has many connections.
	readBuffer = 4 << 10
	// maxUnwritten bounds the bytes of small frames queued for writing on a connection, which is closed when the receiver reads too
	// slowly. Larger payloads are held by their calls in any case.
	maxUnwritten = 32 << 20
	// largePayload is the size above which a payload is queued without a copy. It must not be changed after it was sent.
	largePayload = 16 << 10
	// maxWrite bounds the bytes of one write.
	maxWrite = 256 << 10
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

	mu   sync.Mutex
	wake *sync.Cond
	// pending holds the queued bytes in order: copies of small frames and, behind their headers, large payloads. The last slice is
	// one of copies. copied is the number of copied bytes.
	pending [][]byte
	copied  int
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
	if k.copied > maxUnwritten {
		k.closeLocked()
		return false
	}
	if len(k.pending) == 0 {
		k.pending = append(k.pending, nil)
	}
	last := len(k.pending) - 1
	before := len(k.pending[last])
	if len(f.payload) > largePayload {
		k.pending[last] = appendFrameHeader(k.pending[last], f)
		k.pending = append(k.pending, f.payload, nil)
	} else {
		k.pending[last] = appendFrame(k.pending[last], f)
	}
	k.copied += len(k.pending[last]) - before
	k.wake.Signal()
	return true
}

// writeLoop writes queued frames until the connection closes.
func (k *conn) writeLoop() {
	var spare [][]byte
	var buffer []byte
	for {
		k.mu.Lock()
		for k.copied == 0 && !k.closed {
			k.wake.Wait()
		}
		if k.closed {
			k.mu.Unlock()
			return
		}
		queued := k.pending
		k.pending, k.copied = append(spare[:0], buffer), 0
		k.mu.Unlock()
		for _, b := range queued {
			if err := k.write(b); err != nil {
				k.close()
				return
			}
		}
		buffer = queued[0][:0]
		if cap(buffer) > 4*readBuffer {
			buffer = nil
		}
		clear(queued)
		spare = queued
	}
}

func (k *conn) write(b []byte) error {
	for part := range slices.Chunk(b, maxWrite) {
		if err := k.c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		if _, err := k.c.Write(part); err != nil {
			return err
		}
	}
	return nil
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
