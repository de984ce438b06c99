package link

import (
	"bytes"
	"encoding/binary"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a call that runs a second time because its answer was released, and against answers of other calls that are lost
// with it.
func TestReleasedCallDoesNotRunAgain(t *testing.T) {
	a, b := net.Pipe()
	defer func() { _, _ = a.Close(), b.Close() }()
	k := newConn(a)
	s := &session{calls: map[uint64]*IncomingCall{}}
	answer := bytes.Repeat([]byte("x"), 1000)
	for number := range uint64(3) {
		c := s.admit(k, frame{kind: kindCall, number: number})
		require.NotNil(t, c)
		if number > 0 {
			c.Answer(answer)
		}
	}
	require.Equal(t, 2000, s.storedBytes())
	s.release(append(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, 0), 1), 7))
	require.Equal(t, 1000, s.storedBytes())
	for number := range uint64(3) {
		require.Nil(t, s.admit(k, frame{kind: kindCall, number: number}), "call %d runs again", number)
	}
	s.calls[0].Answer(answer)
	require.Equal(t, 2000, s.storedBytes(), "a call that ran is released only with its answer")
	s.acknowledge(3)
	require.Empty(t, s.calls)
}
