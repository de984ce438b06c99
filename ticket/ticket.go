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
	// Lifetime is the time from issue to expiry of a ticket.
	Lifetime = 10 * time.Minute
	// MaxTokenBytes bounds the encoded form of a ticket.
	MaxTokenBytes = 1024
	// formatVersion is the version of the encoding that this code writes and reads.
	formatVersion = 1
)

var (
	// ErrOversized is the class of errors for tickets longer than MaxTokenBytes.
	ErrOversized = errs.Class("oversized ticket")
	// ErrMalformed is the class of errors for tickets that cannot be decoded.
	ErrMalformed = errs.Class("malformed ticket")
	// ErrForged is the class of errors for tickets that were not issued under the deployment's ticket key.
	ErrForged = errs.Class("forged ticket")
)

// Ticket is the idempotency key of a request, bound to the incarnation of the node that issued it.
type Ticket struct {
	// Owner is the member id of the issuing node; each start of the process has a new one.
	Owner string `cbor:"1,keyasint"`
	// Address is the calls address of the issuing node.
	Address string `cbor:"2,keyasint"`
	Seq     uint64 `cbor:"3,keyasint"`
	// IssuedMS is the issue time in milliseconds since the owner started, on its monotonic clock.
	IssuedMS uint64 `cbor:"4,keyasint"`
	Service  string `cbor:"5,keyasint"`
}

// signedTicket is an encoded ticket with its MAC. The payload stays encoded so that the MAC covers the bytes as sent.
type signedTicket struct {
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

// Issuer issues and verifies tickets; it is safe for concurrent use. The zero value has no key and rejects every ticket.
type Issuer struct {
	owner   string
	address string
	start   time.Time

	mu sync.Mutex
	// keys starts with the signing key; every key verifies.
	keys         [][]byte
	lastSeq      uint64
	lastIssuedMS uint64
}

// NewIssuer returns an issuer for the node with the member id owner and the calls address, with the deployment's ticket key.
func NewIssuer(key []byte, owner, address string, start time.Time) *Issuer {
	i := &Issuer{owner: owner, address: address, start: start}
	i.SetKeys([][]byte{key})
	return i
}

// SetKeys replaces the ticket keys: the first key signs and every key verifies, which allows key rotation.
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

// Issue returns a new encoded ticket for a request to the service.
func (i *Issuer) Issue(now time.Time, service string) string {
	return i.sign(mustMarshal(i.newTicket(now, service)))
}

func (i *Issuer) sign(payload []byte) string {
	var key []byte
	if keys := i.currentKeys(); len(keys) > 0 {
		key = keys[0]
	}
	return encoding.EncodeToString(mustMarshal(signedTicket{Version: formatVersion, Payload: payload, MAC: mac(key, payload)}))
}

func (i *Issuer) newTicket(now time.Time, service string) Ticket {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lastSeq++
	// The issue time never decreases, even when the clock jumps back: OwnerTable.watermark requires that tickets expire in the
	// order of their numbers.
	i.lastIssuedMS = max(i.lastIssuedMS, sinceMS(i.start, now))
	return Ticket{Owner: i.owner, Address: i.address, Seq: i.lastSeq, IssuedMS: i.lastIssuedMS, Service: service}
}

// Parse decodes a ticket and verifies its MAC. Every node of the deployment can verify the tickets of the others.
func (i *Issuer) Parse(text string) (Ticket, error) {
	if len(text) > MaxTokenBytes {
		return Ticket{}, ErrOversized.New("%d bytes, at most %d: send the ticket as it was issued", len(text), MaxTokenBytes)
	}
	raw, err := encoding.DecodeString(text)
	if err != nil {
		return Ticket{}, ErrMalformed.New("not base64url (%v): send the ticket as it was issued", err)
	}
	var signed signedTicket
	if err := decoder.Unmarshal(raw, &signed); err != nil {
		return Ticket{}, ErrMalformed.New("not CBOR (%v): send the ticket as it was issued", err)
	}
	if signed.Version != formatVersion {
		return Ticket{}, ErrMalformed.New("version %d, this node reads version %d: get a new ticket", signed.Version, formatVersion)
	}
	keys := i.currentKeys()
	if len(keys) == 0 {
		return Ticket{}, ErrForged.New("this node has no ticket key: give it the deployment's key")
	}
	if !slices.ContainsFunc(keys, func(key []byte) bool { return hmac.Equal(signed.MAC, mac(key, signed.Payload)) }) {
		return Ticket{}, ErrForged.New("MAC mismatch: send the ticket as it was issued, or get a new one")
	}
	var t Ticket
	if err := decoder.Unmarshal(signed.Payload, &t); err != nil {
		return Ticket{}, ErrMalformed.New("payload (%v): get a new ticket", err)
	}
	if t.Owner == "" || t.Seq == 0 {
		return Ticket{}, ErrMalformed.New("no owner or no sequence number: get a new ticket")
	}
	return t, nil
}

func mac(key, payload []byte) []byte {
	h := hmac.New(sha256.New, key)
	// The purpose and the version separate these MACs from others that are made with the same key.
	_, _ = h.Write([]byte{'t', 'i', 'c', 'k', 'e', 't', formatVersion})
	_, _ = h.Write(payload)
	return h.Sum(nil)
}

func mustMarshal(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // Unreachable: the types above always encode.
	}
	return b
}

// sinceMS returns the time from start to now in milliseconds, or 0 when the clock jumped back to before start.
func sinceMS(start, now time.Time) uint64 {
	return uint64(max(0, now.Sub(start).Milliseconds()))
}
