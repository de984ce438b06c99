package mesh

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// Guards against bodies of unknown length whose joined parts are mixed up, that break off and pass as whole, or that have no end.
func TestBodyOfUnknownLengthIsReadWhole(t *testing.T) {
	whole := make([]byte, 300_000)
	for i := range whole {
		whole[i] = byte(i ^ i>>8 ^ i>>16)
	}
	for range 2 { // The second one is read into parts that were used.
		for _, size := range []int{64 << 10, 64<<10 + 1, 128 << 10, len(whole)} {
			rest := bytes.NewReader(whole[64<<10 : size])
			body, err := readParts(whole[:64<<10], iotest.DataErrReader(iotest.HalfReader(rest)))
			require.NoError(t, err)
			require.True(t, bytes.Equal(whole[:size], body), size)
		}
	}
	_, err := readParts(nil, io.MultiReader(bytes.NewReader(whole), iotest.ErrReader(io.ErrUnexpectedEOF)))
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	_, err = readParts(nil, io.LimitReader(endlessReader{}, 2*maxBodyBytes))
	require.ErrorIs(t, err, errAnswerTooLarge)
	body, err := readParts(nil, io.LimitReader(endlessReader{}, maxBodyBytes))
	require.NoError(t, err)
	require.Len(t, body, maxBodyBytes)
}

type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }
