package link

import (
	"bufio"
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzReadFrame feeds arbitrary bytes: a frame is rejected, or is encoded to the bytes that it was read from.
func FuzzReadFrame(f *testing.F) {
	f.Add(appendFrame(nil, frame{kind: kindCall, number: 7, payload: []byte("call")}))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0, 0, 0, 0, 0, 0})
	f.Add([]byte{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		fr, err := readFrame(bufio.NewReader(bytes.NewReader(b)))
		if err == nil {
			require.True(t, bytes.HasPrefix(b, appendFrame(nil, fr)))
		}
	})
}
