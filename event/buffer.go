package event

import (
	"context"
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"lovagelane/kernel"
)

const (
	// bufferedLines is the capacity of a Buffer. Lines beyond it are dropped and counted.
	bufferedLines = 1024
	// flushTimeout bounds the wait for a slow writer in Flush.
	flushTimeout = 100 * time.Millisecond
)

// Buffer writes lines to a writer asynchronously, so that logging never blocks. Create it with NewBuffer.
type Buffer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewBuffer returns a Buffer and starts a goroutine of the group that writes its lines to w.
func NewBuffer(g *kernel.Group, w io.Writer) *Buffer {
	b := &Buffer{lines: make(chan []byte, bufferedLines), done: make(chan struct{})}
	g.Go("log", func(context.Context) error {
		defer close(b.done)
		for {
			line := <-b.lines
			if line == nil {
				return nil
			}
			if n := b.dropped.Swap(0); n > 0 {
				line = append([]byte("level=warn event=log-lines-dropped count="+strconv.FormatInt(n, 10)+"\n"), line...)
			}
			if _, err := w.Write(line); err != nil {
				b.dropped.Add(1) // A failure of the log's writer is only counted: no other output reports it.
			}
		}
	})
	return b
}

// Write queues a line, or drops and counts it if the buffer is full. It never blocks and never returns an error.
func (b *Buffer) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Flush writes the queued lines, unless that takes longer than flushTimeout, and stops the buffer: later lines are lost.
func (b *Buffer) Flush() {
	timer := time.NewTimer(flushTimeout)
	defer timer.Stop()
	select {
	case b.lines <- nil: // Stops the writing goroutine.
	case <-timer.C:
		return
	}
	select {
	case <-b.done:
	case <-timer.C:
	}
}
