package ticket_test

import (
	"bytes"
	"encoding/base64"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lovagelane/ticket"
)

// Guards against a ticket whose fields change between issue and parse, and against two tickets with the same number.
func TestIssueAndParseRoundTrip(t *testing.T) {
	issuer := ticket.NewIssuer([]byte("key"), "here", "10.0.0.1:1", start)
	other := ticket.NewIssuer([]byte("key"), "there", "10.0.0.2:1", start)
	for seq := uint64(1); seq < 4; seq++ {
		got, err := other.Parse(issuer.Issue(start.Add(1500*time.Millisecond), "payments"))
		require.NoError(t, err)
		want := ticket.Ticket{Owner: "here", Address: "10.0.0.1:1", Seq: seq, IssuedMS: 1500, Service: "payments"}
		require.Equal(t, want, got)
	}
}

// Guards against accepting a ticket that is malformed, oversized or signed with another key, and against an error of the
// wrong class.
func TestParseClassifiesErrors(t *testing.T) {
	issuer := ticket.NewIssuer([]byte("key"), "here", "10.0.0.1:1", start)
	good := issuer.Issue(start, "payments")
	signed := func(version uint8, owner string) string {
		payload, err := cbor.Marshal(ticket.Ticket{Owner: owner, Seq: 1})
		require.NoError(t, err)
		raw, err := cbor.Marshal(map[int]any{1: version, 2: payload, 3: make([]byte, 32)})
		require.NoError(t, err)
		return base64.RawURLEncoding.EncodeToString(raw)
	}
	numberless, err := cbor.Marshal(ticket.Ticket{Owner: "here"})
	require.NoError(t, err)
	cases := map[string]struct {
		text string
		has  func(error) bool
	}{
		"empty":            {"", ticket.ErrMalformed.Has},
		"not base64":       {good + "*", ticket.ErrMalformed.Has},
		"cut":              {good[:len(good)/2], ticket.ErrMalformed.Has},
		"other version":    {signed(2, "here"), ticket.ErrMalformed.Has},
		"no MAC":           {signed(1, "here"), ticket.ErrForged.Has},
		"another key":      {ticket.NewIssuer([]byte("old"), "here", "", start).Issue(start, "payments"), ticket.ErrForged.Has},
		"no owner":         {ticket.NewIssuer([]byte("key"), "", "", start).Issue(start, "payments"), ticket.ErrMalformed.Has},
		"no number":        {issuer.Sign(numberless), ticket.ErrMalformed.Has},
		"too long":         {strings.Repeat("A", ticket.MaxTokenBytes+1), ticket.ErrOversized.Has},
		"too long, signed": {issuer.Issue(start, strings.Repeat("p", ticket.MaxTokenBytes)), ticket.ErrOversized.Has},
	}
	for name, c := range cases {
		got, err := issuer.Parse(c.text)
		require.True(t, c.has(err), "%s: %v", name, err)
		require.Zero(t, got, name)
	}
	var keyless ticket.Issuer
	_, err = keyless.Parse(keyless.Issue(start, "payments"))
	require.True(t, ticket.ErrForged.Has(err), "a node without a key must not accept tickets made without one: %v", err)
}

// Guards against a ticket that is accepted after any single character was changed.
func TestParseRejectsAnyChangedCharacter(t *testing.T) {
	issuer := ticket.NewIssuer([]byte("key"), "here", "10.0.0.1:1", start)
	const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_"
	rapid.Check(t, func(t *rapid.T) {
		service := strings.Repeat("p", rapid.IntRange(1, 3).Draw(t, "length"))
		text := []byte(issuer.Issue(start, service))
		i := rapid.IntRange(0, len(text)-1).Draw(t, "place")
		if i%2 == 0 {
			i = len(text) - 1 // The last character has bits that a lenient decoder ignores.
		}
		digit := rapid.SampledFrom([]byte(digits)).Draw(t, "digit")
		if text[i] == digit {
			return
		}
		text[i] = digit
		_, err := issuer.Parse(string(text))
		require.Error(t, err)
	})
}

// Guards against input from callers on which the parser panics or accepts a ticket that this deployment did not issue.
func FuzzParse(f *testing.F) {
	issuer := ticket.NewIssuer([]byte("key"), "here", "10.0.0.1:1", start)
	good := issuer.Issue(start, "payments")
	for _, seed := range []string{
		good, good[1:], good[:len(good)-1], good + "A", "", "oA", "gA", "owEBAkAD", "v_-A", strings.Repeat("n_", 500),
		ticket.NewIssuer([]byte("other"), "here", "10.0.0.1:1", start).Issue(start, "payments"),
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		got, err := issuer.Parse(text)
		if err != nil {
			require.Zero(t, got)
			return
		}
		require.Equal(t, "here", got.Owner)
		require.True(t, bytes.Equal([]byte(good), []byte(text)), "accepted a ticket that was not issued")
	})
}

// Guards against a signed payload on which the parser panics, or that is accepted without an owner or a sequence number.
func FuzzPayload(f *testing.F) {
	issuer := ticket.NewIssuer([]byte("key"), "here", "10.0.0.1:1", start)
	good, err := cbor.Marshal(ticket.Ticket{Owner: "here", Address: "10.0.0.1:1", Seq: 1, IssuedMS: 5, Service: "payments"})
	require.NoError(f, err)
	for _, seed := range [][]byte{good, good[:9], append(good, 0), {0xa0}, {0xa2, 1, 0x61, 'a', 1, 0x61, 'b'}, {0xbf, 0xff}, nil} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, payload []byte) {
		got, err := issuer.Parse(issuer.Sign(payload))
		if err != nil {
			require.True(t, ticket.ErrMalformed.Has(err) || ticket.ErrOversized.Has(err), err)
			return
		}
		require.NotEmpty(t, got.Owner)
		require.NotZero(t, got.Seq)
	})
}

// Guards against tickets that become invalid while nodes get a new ticket key one after another.
func TestTicketsStayValidDuringKeyRotation(t *testing.T) {
	before, after := []byte("0123456789abcdef0123456789abcdef"), []byte("fedcba9876543210fedcba9876543210")
	start := time.Now()
	issuer, other := ticket.NewIssuer(before, "a", "127.0.0.1:1", start), ticket.NewIssuer(before, "b", "127.0.0.1:2", start)
	token := issuer.Issue(start, "nursery")
	other.SetKeys([][]byte{after, before})
	_, err := other.Parse(token)
	require.NoError(t, err)
	issuer.SetKeys([][]byte{before, after})
	_, err = issuer.Parse(other.Issue(start, "nursery"))
	require.NoError(t, err)
	other.SetKeys([][]byte{after})
	_, err = other.Parse(token)
	require.True(t, ticket.ErrForged.Has(err))
}
