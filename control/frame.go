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
	// maxConfigFrameBytes includes the hash and the encoding overhead of a configuration text.
	maxConfigFrameBytes = rollout.MaxTextBytes + 1<<10
	headerBytes         = 4
	maxHashBytes        = 64
	maxListItems        = 4096

	// membersPerFrame keeps a frame of announcements with fields of maximum length below maxFrameBytes.
	membersPerFrame    = 64
	suspicionsPerFrame = 512
	reportsPerFrame    = 256
)

type kind uint8

const (
	kindHello kind = iota + 1
	kindHeartbeat
	kindAnnounce
	kindSuspect
	kindDigest
	kindDiff
	kindConfigNotice
	kindConfigPull
	kindConfigText
	kindCrash
)

// Frame is a message between two nodes.
type Frame interface{ kind() kind }

type (
	// hello is the first frame in each direction.
	hello struct {
		Member membership.Member `cbor:"1,keyasint"`
		// ConfigVersion is the configuration version that the sender has loaded, or 0 if it has none.
		ConfigVersion uint64 `cbor:"2,keyasint"`
	}
	heartbeat struct {
		ConfigVersion uint64 `cbor:"1,keyasint"`
	}
	announce struct {
		Members []membership.Member `cbor:"1,keyasint"`
	}
	suspect struct {
		Suspicions []membership.Suspicion `cbor:"1,keyasint"`
	}
	digest struct {
		Buckets []uint64 `cbor:"1,keyasint"`
	}
	// diff answers a digest with the members in the buckets that differ. Last is set on the final frame of an answer.
	diff struct {
		Buckets []int               `cbor:"1,keyasint"`
		Members []membership.Member `cbor:"2,keyasint"`
		Last    bool                `cbor:"3,keyasint"`
	}
	// configNotice announces that the sender has loaded a configuration version.
	configNotice struct {
		Version uint64 `cbor:"1,keyasint"`
		Hash    string `cbor:"2,keyasint"`
	}
	configPull struct {
		Version uint64 `cbor:"1,keyasint"`
	}
	configText struct {
		Version uint64 `cbor:"1,keyasint"`
		Hash    string `cbor:"2,keyasint"`
		Text    []byte `cbor:"3,keyasint"`
	}
	crash struct {
		Reports []quarantine.Report `cbor:"1,keyasint"`
	}
)

func (hello) kind() kind        { return kindHello }
func (heartbeat) kind() kind    { return kindHeartbeat }
func (announce) kind() kind     { return kindAnnounce }
func (suspect) kind() kind      { return kindSuspect }
func (digest) kind() kind       { return kindDigest }
func (diff) kind() kind         { return kindDiff }
func (configNotice) kind() kind { return kindConfigNotice }
func (configPull) kind() kind   { return kindConfigPull }
func (configText) kind() kind   { return kindConfigText }
func (crash) kind() kind        { return kindCrash }

// envelope is the CBOR encoding of a frame: an array of its kind and its body.
type envelope struct {
	_    struct{} `cbor:",toarray"`
	Kind kind
	Body cbor.RawMessage
}

var (
	errMalformed   = errors.New("malformed frame")
	errUnknownKind = errors.New("unknown frame kind")
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

// encodeFrame returns the encoded frame with a length prefix.
func encodeFrame(f Frame) ([]byte, error) {
	body, err := cbor.Marshal(f)
	if err != nil {
		return nil, err
	}
	data, err := cbor.Marshal(envelope{Kind: f.kind(), Body: body})
	if err != nil {
		return nil, err
	}
	if len(data) > maxEncodedBytes(f.kind()) {
		return nil, fmt.Errorf("frame of kind %d has %d bytes, more than the maximum for this kind", f.kind(), len(data))
	}
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, headerBytes+len(data)), uint32(len(data))), data...), nil
}

func maxEncodedBytes(k kind) int {
	if k == kindConfigText {
		return maxConfigFrameBytes
	}
	return maxFrameBytes
}

// readFrame reads one frame. It returns errUnknownKind if it skipped a frame of a later protocol version, errMalformed if the
// connection must be closed, and the reader's error otherwise.
func readFrame(r io.Reader) (Frame, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(header[:])
	if n == 0 || n > maxConfigFrameBytes {
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
	if len(data) > maxEncodedBytes(e.Kind) {
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
	case kindConfigNotice:
		return decodeBody[configNotice](e.Body)
	case kindConfigPull:
		return decodeBody[configPull](e.Body)
	case kindConfigText:
		return decodeBody[configText](e.Body)
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
	if err := validateFrame(f); err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformed, err)
	}
	return f, nil
}

// validateFrame checks the lengths of fields that are stored or forwarded; members are validated when they are merged.
func validateFrame(f Frame) error {
	switch f := f.(type) {
	case hello:
		if !f.Member.Valid() {
			return errors.New("hello with an invalid member")
		}
	case digest:
		if len(f.Buckets) != membership.DigestBuckets {
			return fmt.Errorf("digest has the wrong number of buckets: %d", len(f.Buckets))
		}
	case configNotice:
		if len(f.Hash) > maxHashBytes {
			return errors.New("hash too long")
		}
	case configText:
		if len(f.Hash) > maxHashBytes || len(f.Text) > rollout.MaxTextBytes {
			return errors.New("hash or configuration text too long")
		}
	case crash:
		for _, r := range f.Reports {
			if len(r.Crash) > 2*maxHashBytes {
				return errors.New("crash id too long")
			}
		}
	}
	return nil
}

// chunks splits a list into slices of at most size items.
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
