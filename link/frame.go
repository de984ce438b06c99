package link

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/zeebo/errs"
)

// Err is the class of errors of connections between nodes.
var Err = errs.Class("link")

// kind is the type of a frame. A frame consists of its length in 4 bytes, its kind in 1 byte, a number in 8 bytes and a
// payload.
type kind uint8

const (
	// kindHello is the first frame in both directions; its number is the incarnation of the sending node.
	kindHello kind = iota + 1
	// kindCall carries a call with its number.
	kindCall
	// kindAnswer carries the answer to the call with that number.
	kindAnswer
	// kindCancel cancels the call with that number.
	kindCancel
	// kindAck acknowledges all calls below that number: the sender no longer needs their answers.
	kindAck
	// kindPing and kindPong are heartbeats that carry the status of the sending node.
	kindPing
	kindPong
	// kindNotice carries a one-way message.
	kindNotice
	// kindOutcomeUnknown rejects a call that the sender has acknowledged or that exceeds maxCallsPerSession. The call may
	// have run before.
	kindOutcomeUnknown
	// kindWithdraw asks for the call with that number to be answered at once if it has not started.
	kindWithdraw
	// kindRelease carries the numbers of calls, of 8 bytes each, whose answers the sender has while an earlier call is pending. The
	// receiver drops the answers, but not the calls, so that none runs again.
	kindRelease
)

const (
	frameHeaderSize = 4 + 1 + 8
	// MaxPayload bounds the payload of a frame, in bytes.
	MaxPayload = 16 << 20
)

type frame struct {
	kind    kind
	number  uint64
	payload []byte
}

func appendFrame(b []byte, f frame) []byte { return append(appendFrameHeader(b, f), f.payload...) }

func appendFrameHeader(b []byte, f frame) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(1+8+len(f.payload)))
	b = append(b, byte(f.kind))
	return binary.BigEndian.AppendUint64(b, f.number)
}

func readFrame(r *bufio.Reader) (frame, error) {
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return frame{}, err
	}
	size := int64(binary.BigEndian.Uint32(header[:4])) - 9
	if size < 0 || size > MaxPayload {
		return frame{}, Err.New("frame payload of %d bytes: the peer uses another protocol or exceeds %d bytes", size, MaxPayload)
	}
	f := frame{kind: kind(header[4]), number: binary.BigEndian.Uint64(header[5:])}
	if size == 0 {
		return f, nil
	}
	f.payload = make([]byte, size)
	_, err := io.ReadFull(r, f.payload)
	return f, err
}
