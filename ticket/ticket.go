package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"
)

const (
	// Lifetime is how long a ticket may be used after it was issued.
	Lifetime = 10 * time.Minute
	// MaxToken bounds a ticket in the form that callers send back, in bytes.
	MaxToken = 1024
	// version is the version of the form that this code writes and reads.
	version = 1
)

var (
	// ErrOversized is the class of errors for tickets longer than MaxToken.
	ErrOversized = errs.Class("oversized ticket")
	// ErrMalformed is the class of errors for tickets that cannot be read.
	ErrMalformed = errs.Class("malformed ticket")
	// ErrForged is the class of errors for tickets that were not issued under the deployment's ticket key.
	ErrForged = errs.Class("forged ticket")
)

// Ticket binds a request to the incarnation of the node that issued it.
type Ticket struct {
	// Owner is the member id of the issuing node, which is new at each start of the process.
	Owner   string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	Seq     uint64 `cbor:"3,keyasint"`
	// IssuedMS is the issue time in ms since the owner started, on its monotonic clock.
	IssuedMS uint64 `cbor:"4,keyasint"`
	Service  string `cbor:"5,keyasint"`
}

// token is the signed form of a ticket. The payload stays encoded so that the MAC covers the bytes that were sent.
type token struct {
	Version uint8  `cbor:"1,keyasint"`
	Payload []byte `cbor:"2,keyasint"`
	MAC     []byte `cbor:"3,keyasint"`
}

var (
	decoder  = mustDecoder()
	encoding = base64.RawURLEncoding.Strict()
)

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		IndefLength:       cbor.IndefLengthForbidden,
		MaxArrayElements:  16,
		MaxMapPairs:       16,
		MaxNestedLevels:   4,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Issuer issues and verifies tickets; it is safe for concurrent use. Its zero value has no key and verifies none.
type Issuer struct {
	owner   string
	address string
	start   time.Time

	mu sync.Mutex
	// keys holds the key that signs first; all of them verify.
	keys   [][]byte
	seq    uint64
	issued uint64
}

// NewIssuer returns an issuer for the node with this member id and calls address, under the deployment's ticket key.
func NewIssuer(key []byte, owner, address string, start time.Time) *Issuer {
	i := &Issuer{owner: owner, address: address, start: start}
	i.SetKeys([][]byte{key})
	return i
}

// SetKeys replaces the ticket keys: the first one signs, all of them verify, so that keys can be rotated.
func (i *Issuer) SetKeys(keys [][]byte) {
	copies := make([][]byte, 0, len(keys))
	for _, key := range keys {
		if len(key) > 0 {
			copies = append(copies, slices.Clone(key))
		}
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.keys = copies
}

func (i *Issuer) currentKeys() [][]byte {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.keys
}

// Issue returns a new ticket for a request to the service, in the form that callers send back.
func (i *Issuer) Issue(now time.Time, service string) string {
	return i.sign(mustMarshal(i.next(now, service)))
}

func (i *Issuer) sign(payload []byte) string {
	var key []byte
	if keys := i.currentKeys(); len(keys) > 0 {
		key = keys[0]
	}
	return encoding.EncodeToString(mustMarshal(token{Version: version, Payload: payload, MAC: mac(key, payload)}))
}

func (i *Issuer) next(now time.Time, service string) Ticket {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.seq++
	// A clock that jumps back must not make a later ticket look older than an earlier one: the owner forgets in order.
	i.issued = max(i.issued, sinceMS(i.start, now))
	return Ticket{Owner: i.owner, Address: i.address, Seq: i.seq, IssuedMS: i.issued, Service: service}
}

// Parse verifies a ticket's MAC and form; any node of the deployment can do so.
func (i *Issuer) Parse(text string) (Ticket, error) {
	if len(text) > MaxToken {
		return Ticket{}, ErrOversized.New("%d bytes, at most %d: send the ticket as it was issued", len(text), MaxToken)
	}
	raw, err := encoding.DecodeString(text)
	if err != nil {
		return Ticket{}, ErrMalformed.New("not base64url (%v): send the ticket as it was issued", err)
	}
	var tok token
	if err := decoder.Unmarshal(raw, &tok); err != nil {
		return Ticket{}, ErrMalformed.New("not CBOR (%v): send the ticket as it was issued", err)
	}
	if tok.Version != version {
		return Ticket{}, ErrMalformed.New("version %d, this node reads version %d: get a new ticket", tok.Version, version)
	}
	keys := i.currentKeys()
	if len(keys) == 0 {
		return Ticket{}, ErrForged.New("this node has no ticket key: give it the deployment's key")
	}
	if !slices.ContainsFunc(keys, func(key []byte) bool { return hmac.Equal(tok.MAC, mac(key, tok.Payload)) }) {
		return Ticket{}, ErrForged.New("the MAC does not fit: send the ticket as it was issued, or get a new one")
	}
	var t Ticket
	if err := decoder.Unmarshal(tok.Payload, &t); err != nil {
		return Ticket{}, ErrMalformed.New("payload (%v): get a new ticket", err)
	}
	if t.Owner == "" || t.Seq == 0 {
		return Ticket{}, ErrMalformed.New("no owner or no number: get a new ticket")
	}
	return t, nil
}

func mac(key, payload []byte) []byte {
	h := hmac.New(sha256.New, key)
	// The purpose and the version keep a MAC made for something else under the same key from being accepted.
	_, _ = h.Write([]byte{'t', 'i', 'c', 'k', 'e', 't', version})
	_, _ = h.Write(payload)
	return h.Sum(nil)
}

func mustMarshal(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // The types above always encode.
	}
	return b
}

// sinceMS returns the time from start to now in ms, and 0 for a clock that jumped to before start.
func sinceMS(start, now time.Time) uint64 {
	return uint64(max(0, now.Sub(start).Milliseconds()))
}
