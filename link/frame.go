package link

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/zeebo/errs"
)

// Err is the class of errors of connections between nodes.
var Err = errs.Class("link")

// kind is the type of a frame. A frame is its length in 4 bytes, its kind in 1 byte, a number in 8 bytes, and a payload.
type kind uint8

const (
	// kindHello opens a connection in both directions; its number is the incarnation of the node that sends it.
	kindHello kind = iota + 1
	// kindCall carries a call under its number.
	kindCall
	// kindAnswer carries the answer to the call with that number.
	kindAnswer
	// kindCancel says that the answer to the call with that number is not needed any more.
	kindCancel
	// kindSettled says that the sender needs no answers below that number.
	kindSettled
	// kindPing and kindPong show that the other end is alive, and carry its status.
	kindPing
	kindPong
	// kindNotice carries news that needs no answer.
	kindNotice
	// kindUnknown is the answer to a call that was sent to an earlier start of the receiver.
	kindUnknown
)

const (
	frameHead = 4 + 1 + 8
	// MaxPayload bounds the payload of a frame, in bytes.
	MaxPayload = 16 << 20
)

type frame struct {
	kind    kind
	number  uint64
	payload []byte
}

func appendFrame(b []byte, f frame) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(1+8+len(f.payload)))
	b = append(b, byte(f.kind))
	b = binary.BigEndian.AppendUint64(b, f.number)
	return append(b, f.payload...)
}

func readFrame(r *bufio.Reader) (frame, error) {
	var head [frameHead]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return frame{}, err
	}
	size := int64(binary.BigEndian.Uint32(head[:4])) - 9
	if size < 0 || size > MaxPayload {
		return frame{}, Err.New("a frame of %d bytes: the other end speaks another protocol or sends more than %d", size, MaxPayload)
	}
	f := frame{kind: kind(head[4]), number: binary.BigEndian.Uint64(head[5:])}
	if size == 0 {
		return f, nil
	}
	f.payload = make([]byte, size)
	_, err := io.ReadFull(r, f.payload)
	return f, err
}
