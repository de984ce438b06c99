package call

import (
	"encoding/base64"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"
)

const (
	// MetaVersion is the version of Meta and AnswerMeta that this code writes and reads.
	MetaVersion = 1
	// MaxDepth bounds the depth of a call chain.
	MaxDepth = 32
	// maxHeaderBytes bounds an encoded header.
	maxHeaderBytes = 4096
	// maxRemaining bounds the remaining time that a header may state.
	maxRemaining = time.Hour
)

// ErrMeta is the class of errors for malformed metadata headers.
var ErrMeta = errs.Class("call header")

// Attempt identifies one attempt of a call by the member ids of the sender's and the receiver's incarnations and a number
// that increases for that pair.
type Attempt struct {
	Sender   string `cbor:"1,keyasint"`
	Receiver string `cbor:"2,keyasint"`
	Seq      uint64 `cbor:"3,keyasint"`
}

// Meta is the metadata that a node sends with a call to another node.
type Meta struct {
	Version     uint8    `cbor:"1,keyasint"`
	RequestID   string   `cbor:"2,keyasint"`
	Attempt     Attempt  `cbor:"3,keyasint"`
	Operation   string   `cbor:"4,keyasint"`
	Priority    Priority `cbor:"5,keyasint"`
	RemainingMS uint32   `cbor:"6,keyasint"`
	// Allowance is the number of retries that the receiver may use for its downstream calls.
	Allowance uint8 `cbor:"7,keyasint"`
	// Depth is the number of calls above this one in the call chain.
	Depth uint8 `cbor:"8,keyasint"`
	// Crashes is the number of backend servers that the request is known to have crashed.
	Crashes       uint8  `cbor:"9,keyasint"`
	NonIdempotent bool   `cbor:"10,keyasint,omitempty"`
	Digest        uint64 `cbor:"11,keyasint"`
	// Region is the region of the sender.
	Region string `cbor:"12,keyasint"`
	// Caller is the name under which the fair share of the original caller is counted.
	Caller string `cbor:"13,keyasint"`
	// Rule is the file and line of the rule that set the class.
	Rule string `cbor:"14,keyasint"`
}

// Remaining returns the time that was left until the deadline when the call was sent.
func (m Meta) Remaining() time.Duration { return time.Duration(m.RemainingMS) * time.Millisecond }

// Load is the load of a backend server as observed by its node.
type Load struct {
	InFlight uint16 `cbor:"1,keyasint" json:"in-flight"`
	Limit    uint16 `cbor:"2,keyasint" json:"limit"`
	Queued   uint16 `cbor:"3,keyasint" json:"queued"`
}

// AnswerMeta is the metadata that a node returns with the answer to a call.
type AnswerMeta struct {
	Version uint8   `cbor:"1,keyasint"`
	Outcome Outcome `cbor:"2,keyasint"`
	Reason  Reason  `cbor:"3,keyasint,omitempty"`
	Rule    string  `cbor:"4,keyasint,omitempty"`
	// Allowance is the unused part of Meta.Allowance.
	Allowance uint8 `cbor:"5,keyasint"`
	// Level is the most restrictive admission level that applied to the call and its downstream calls.
	Level   Priority `cbor:"6,keyasint"`
	Load    Load     `cbor:"7,keyasint"`
	Crashes uint8    `cbor:"8,keyasint,omitempty"`
	// ServiceUS is the service time of the backend server in microseconds, without the time in the queue.
	ServiceUS uint32 `cbor:"9,keyasint"`
	// OwnLevel is the admission level of the answering node alone.
	OwnLevel Priority `cbor:"10,keyasint"`
}

var decoder = mustDecoder()

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1024, MaxMapPairs: 64, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns m as a header value.
func (m Meta) Encode() string {
	m.Version = MetaVersion
	return encode(m)
}

// DecodeMeta decodes a header value and rejects a field that is out of range.
func DecodeMeta(header []byte) (Meta, error) {
	var m Meta
	if err := decode(header, &m); err != nil {
		return Meta{}, err
	}
	switch {
	case m.Version != MetaVersion:
		return Meta{}, ErrMeta.New("version %d: this node supports version %d, upgrade the older node", m.Version, MetaVersion)
	case m.Priority.Rank > MaxRank:
		return Meta{}, ErrMeta.New("class rank %d is above %d", m.Priority.Rank, MaxRank)
	case m.Depth > MaxDepth:
		return Meta{}, ErrMeta.New("depth %d is above %d: look for a loop in the call graph", m.Depth, MaxDepth)
	case m.Remaining() > maxRemaining:
		return Meta{}, ErrMeta.New("remaining time %s is above %s", m.Remaining(), maxRemaining)
	case m.Attempt.Sender == "" || m.Attempt.Receiver == "":
		return Meta{}, ErrMeta.New("the attempt has no sender or receiver")
	}
	return m, nil
}

// Encode returns a as a header value.
func (a AnswerMeta) Encode() string {
	a.Version = MetaVersion
	return encode(a)
}

// DecodeAnswerMeta decodes a header value and rejects a field that is out of range.
func DecodeAnswerMeta(header []byte) (AnswerMeta, error) {
	var a AnswerMeta
	if err := decode(header, &a); err != nil {
		return AnswerMeta{}, err
	}
	if a.Version != MetaVersion {
		return AnswerMeta{}, ErrMeta.New("version %d: this node supports version %d, upgrade the older node", a.Version, MetaVersion)
	}
	if a.Outcome > OutcomeRan || a.Level.Rank > MaxRank || a.OwnLevel.Rank > MaxRank {
		return AnswerMeta{}, ErrMeta.New("the outcome or the level is out of range")
	}
	return a, nil
}

func encode(v any) string {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // Unreachable: the types above always encode.
	}
	return base64.RawURLEncoding.EncodeToString(b)
}

func decode(header []byte, dest any) error {
	if len(header) == 0 || len(header) > maxHeaderBytes {
		return ErrMeta.New("%d bytes, expected 1 to %d", len(header), maxHeaderBytes)
	}
	raw := make([]byte, base64.RawURLEncoding.DecodedLen(len(header)))
	n, err := base64.RawURLEncoding.Decode(raw, header)
	if err != nil {
		return ErrMeta.Wrap(err)
	}
	if err := decoder.Unmarshal(raw[:n], dest); err != nil {
		return ErrMeta.Wrap(err)
	}
	return nil
}

// Digest returns a hash of the content of a request.
func Digest(method, target string, body []byte) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(method)
	_, _ = h.WriteString("\n")
	_, _ = h.WriteString(target)
	_, _ = h.WriteString("\n")
	_, _ = h.Write(body)
	return h.Sum64()
}

// DigestKey returns a digest as a hexadecimal string, for tables with string keys.
func DigestKey(digest uint64) string { return strconv.FormatUint(digest, 16) }
