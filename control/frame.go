package control

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"lovagelane/membership"
	"lovagelane/quarantine"
	"lovagelane/rollout"
)

const (
	maxFrameBytes = 64 << 10
	// maxTextFrameBytes leaves room for the hash and the encoding around the text.
	maxTextFrameBytes = rollout.MaxTextBytes + 1<<10
	headerBytes       = 4
	maxHashBytes      = 64
	maxListItems      = 4096

	// membersPerFrame keeps a frame of announcements with the longest fields below maxFrameBytes.
	membersPerFrame = 64
	marksPerFrame   = 512
	reportsPerFrame = 256
)

type kind uint8

const (
	kindHello kind = iota + 1
	kindHeartbeat
	kindAnnounce
	kindSuspect
	kindDigest
	kindDiff
	kindNotice
	kindPull
	kindText
	kindCrash
)

// Frame is a message between two nodes.
type Frame interface{ kind() kind }

type (
	// hello is the first frame in each direction.
	hello struct {
		Member membership.Member `cbor:"1,keyasint"`
		// Held is the configuration version whose text the sender holds, 0 for none.
		Held uint64 `cbor:"2,keyasint"`
	}
	heartbeat struct {
		Held uint64 `cbor:"1,keyasint"`
	}
	announce struct {
		Members []membership.Member `cbor:"1,keyasint"`
	}
	suspect struct {
		Marks []membership.Mark `cbor:"1,keyasint"`
	}
	digest struct {
		Parts []uint64 `cbor:"1,keyasint"`
	}
	// diff answers a digest with the members in the parts that differ; the last one of an answer says so.
	diff struct {
		Parts   []int               `cbor:"1,keyasint"`
		Members []membership.Member `cbor:"2,keyasint"`
		Last    bool                `cbor:"3,keyasint"`
	}
	// notice says that the sender holds the text of a version.
	notice struct {
		Version uint64 `cbor:"1,keyasint"`
		Hash    string `cbor:"2,keyasint"`
	}
	pull struct {
		Version uint64 `cbor:"1,keyasint"`
	}
	text struct {
		Version uint64 `cbor:"1,keyasint"`
		Hash    string `cbor:"2,keyasint"`
		Body    []byte `cbor:"3,keyasint"`
	}
	crash struct {
		Reports []quarantine.Report `cbor:"1,keyasint"`
	}
)

func (hello) kind() kind     { return kindHello }
func (heartbeat) kind() kind { return kindHeartbeat }
func (announce) kind() kind  { return kindAnnounce }
func (suspect) kind() kind   { return kindSuspect }
func (digest) kind() kind    { return kindDigest }
func (diff) kind() kind      { return kindDiff }
func (notice) kind() kind    { return kindNotice }
func (pull) kind() kind      { return kindPull }
func (text) kind() kind      { return kindText }
func (crash) kind() kind     { return kindCrash }

// envelope is a frame's CBOR: an array of its kind and its body.
type envelope struct {
	_    struct{} `cbor:",toarray"`
	Kind kind
	Body cbor.RawMessage
}

var (
	errMalformed   = errors.New("malformed frame")
	errUnknownKind = errors.New("frame kind of a later version")
)

var frameDecoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements: maxListItems,
		MaxMapPairs:      64,
		MaxNestedLevels:  6,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// encodeFrame returns the frame with its length in front.
func encodeFrame(f Frame) ([]byte, error) {
	body, err := cbor.Marshal(f)
	if err != nil {
		return nil, err
	}
	data, err := cbor.Marshal(envelope{Kind: f.kind(), Body: body})
	if err != nil {
		return nil, err
	}
	if len(data) > bound(f.kind()) {
		return nil, fmt.Errorf("frame of kind %d has %d bytes, more than its bound", f.kind(), len(data))
	}
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, headerBytes+len(data)), uint32(len(data))), data...), nil
}

func bound(k kind) int {
	if k == kindText {
		return maxTextFrameBytes
	}
	return maxFrameBytes
}

// readFrame reads one frame. It fails with errUnknownKind when the frame was skipped, with errMalformed when the
// connection cannot be used further, and with the reader's error otherwise.
func readFrame(r io.Reader) (Frame, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(header[:])
	if n == 0 || n > maxTextFrameBytes {
		return nil, fmt.Errorf("%w: length %d", errMalformed, n)
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r, data); err != nil {
		return nil, err
	}
	return decodeFrame(data)
}

func decodeFrame(data []byte) (Frame, error) {
	var e envelope
	if err := frameDecoder.Unmarshal(data, &e); err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformed, err)
	}
	if len(data) > bound(e.Kind) {
		return nil, fmt.Errorf("%w: kind %d has %d bytes", errMalformed, e.Kind, len(data))
	}
	switch e.Kind {
	case kindHello:
		return decodeBody[hello](e.Body)
	case kindHeartbeat:
		return decodeBody[heartbeat](e.Body)
	case kindAnnounce:
		return decodeBody[announce](e.Body)
	case kindSuspect:
		return decodeBody[suspect](e.Body)
	case kindDigest:
		return decodeBody[digest](e.Body)
	case kindDiff:
		return decodeBody[diff](e.Body)
	case kindNotice:
		return decodeBody[notice](e.Body)
	case kindPull:
		return decodeBody[pull](e.Body)
	case kindText:
		return decodeBody[text](e.Body)
	case kindCrash:
		return decodeBody[crash](e.Body)
	}
	return nil, errUnknownKind
}

func decodeBody[T Frame](body []byte) (Frame, error) {
	var f T
	if err := frameDecoder.Unmarshal(body, &f); err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformed, err)
	}
	if err := checkFrame(f); err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformed, err)
	}
	return f, nil
}

// checkFrame bounds the fields that are stored or passed on; members are checked when they are merged.
func checkFrame(f Frame) error {
	switch f := f.(type) {
	case hello:
		if !f.Member.Valid() {
			return errors.New("hello without a valid member")
		}
	case digest:
		if len(f.Parts) != membership.DigestBuckets {
			return fmt.Errorf("digest of %d parts", len(f.Parts))
		}
	case notice:
		if len(f.Hash) > maxHashBytes {
			return errors.New("long hash")
		}
	case text:
		if len(f.Hash) > maxHashBytes || len(f.Body) > rollout.MaxTextBytes {
			return errors.New("long hash or text")
		}
	case crash:
		for _, r := range f.Reports {
			if len(r.Crash) > 2*maxHashBytes {
				return errors.New("long crash id")
			}
		}
	}
	return nil
}

// chunks splits a list so that each part fits a frame.
func chunks[T any](list []T, size int) [][]T {
	var parts [][]T
	for len(list) > size {
		parts = append(parts, list[:size])
		list = list[size:]
	}
	if len(list) > 0 {
		parts = append(parts, list)
	}
	return parts
}
