package event_test

import (
	"context"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"lovagelane/event"
	"lovagelane/kernel"
)

// slowWriter blocks until it is released.
type slowWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (w *slowWriter) Write(b []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(b)
}

// Guards against a process that blocks on a slow reader of its log, and against dropped lines that are not counted.
func TestBufferNeverBlocks(t *testing.T) {
	w := &slowWriter{release: make(chan struct{})}
	b := event.NewBuffer(kernel.NewGroup(context.Background()), w)
	for range 5000 {
		n, err := b.Write([]byte("line\n"))
		require.NoError(t, err)
		require.Equal(t, 5, n)
	}
	close(w.release)
	b.Flush()
	w.mu.Lock()
	defer w.mu.Unlock()
	require.Contains(t, w.text.String(), "event=log-lines-dropped count=")
	require.Less(t, strings.Count(w.text.String(), "line\n"), 2000)
}
