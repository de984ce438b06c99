package mesh

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagelane/kernel"
)

// Guards against a node without the store that takes a new configuration late, since it asks for it only when a second message of
// the node that has it arrives: over two hops that exceeded the time in which a version must be in force.
// Mutation: pullIfBehind without the case learned.
func TestNewConfigurationIsPulledAfterOneMessage(t *testing.T) {
	for name, send := range map[string]func(n *Node, reply func([]byte)){
		"status": func(n *Node, reply func([]byte)) { n.HandleStatus(encode(versions{ConfigVersion: 5}), reply) },
		"notice": func(n *Node, reply func([]byte)) { n.HandleNotice(encode(gossipMessage{ConfigVersion: 5}), reply) },
	} {
		n := &Node{clock: kernel.SystemClock{}, group: kernel.NewGroup(t.Context())}
		replies := make(chan []byte, 1)
		send(n, func(b []byte) { replies <- b })
		var m gossipMessage
		select {
		case b := <-replies:
			require.NoError(t, decode(b, &m), name)
		case <-time.After(10 * time.Second):
		}
		require.NotNil(t, m.PullSince, name)
	}
}
