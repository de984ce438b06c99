package mesh

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagelane/event"
	"lovagelane/intake"
	"lovagelane/kernel"
)

// closedStore is a Store of which only Close may be called.
type closedStore struct{ Store }

func (closedStore) Close() {}

// Guards against a node that goes on taking requests after one of its goroutines has failed, with the configuration that it had and
// without connections to other nodes (CONFIG in the hunt of 2026-12-06), until it is killed.
// Mutation: Wait waits for all goroutines.
func TestNodeEndsWhenAGoroutineFails(t *testing.T) {
	n := &Node{clock: kernel.SystemClock{}, group: kernel.NewGroup(t.Context()), callers: &intake.Server{}, store: closedStore{},
		log: event.New(t.Output(), kernel.SystemClock{})}
	release := make(chan struct{})
	defer close(release)
	n.group.Go("callers", func(context.Context) error {
		<-release
		return nil
	})
	n.group.Go("notice", func(context.Context) error { panic("malformed") })
	failed := make(chan error, 1)
	kernel.NewGroup(t.Context()).Go("wait", func(context.Context) error {
		failed <- n.Wait()
		return nil
	})
	select {
	case err := <-failed:
		require.ErrorContains(t, err, "goroutine notice panicked: malformed")
	case <-time.After(10 * time.Second):
		require.Fail(t, "the node goes on")
	}
}
