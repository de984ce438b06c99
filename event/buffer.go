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
	// bufferedLines is the number of lines that wait for a slow reader; later ones are dropped and counted.
	bufferedLines = 1024
	// flushTimeout bounds the wait for a slow reader at the end of the process.
	flushTimeout = 100 * time.Millisecond
)

// Buffer passes lines on to a writer without making their author wait; use NewBuffer.
type Buffer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewBuffer returns a buffer whose lines a goroutine of the group writes to w.
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
				b.dropped.Add(1) // There is nowhere else to report it.
			}
		}
	})
	return b
}

// Write takes a line; it never waits and never fails.
func (b *Buffer) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Flush writes what waits, unless the reader is too slow; what is written afterwards is lost.
func (b *Buffer) Flush() {
	timer := time.NewTimer(flushTimeout)
	defer timer.Stop()
	select {
	case b.lines <- nil: // Ends the writing goroutine.
	case <-timer.C:
		return
	}
	select {
	case <-b.done:
	case <-timer.C:
	}
}
