package allowance

import "time"

const (
	// maxEntries bounds each list in a message.
	maxEntries = 512
	// maxTokens bounds the tokens in an entry of a message.
	maxTokens = 1 << 20
)

// Stamp is a time on the clocks of one process of an owner.
type Stamp struct {
	// Incarnation distinguishes the processes of a node.
	Incarnation uint64  `cbor:"1,keyasint"`
	At          Reading `cbor:"2,keyasint"`
}

// Ask is sent by a node to the owner of a group.
type Ask struct {
	Node  string `cbor:"1,keyasint"`
	Group Group  `cbor:"2,keyasint"`
	// Number distinguishes the asks of a process of a node.
	Number uint64 `cbor:"3,keyasint"`
	// Lent, if set, lends the node's part of the group's allowances to the owner. It holds the owner's last stamp.
	Lent    *Stamp   `cbor:"4,keyasint,omitempty"`
	Wants   []Want   `cbor:"5,keyasint,omitempty"`
	Returns []Return `cbor:"6,keyasint,omitempty"`
}

// Want asks for tokens of a key.
type Want struct {
	Key string `cbor:"1,keyasint"`
	// Tokens are needed now, and Spare are likely to be needed soon.
	Tokens int `cbor:"2,keyasint,omitempty"`
	Spare  int `cbor:"3,keyasint,omitempty"`
	// Refused is the number of requests that the node has refused since its last ask.
	Refused int `cbor:"4,keyasint,omitempty"`
}

// Return returns tokens that were not used.
type Return struct {
	Key         string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Epoch       uint64 `cbor:"3,keyasint"`
	Tokens      int    `cbor:"4,keyasint"`
	Slot        int64  `cbor:"5,keyasint,omitempty"`
}

// Reply is the owner's answer to an Ask.
type Reply struct {
	Node  string `cbor:"1,keyasint"`
	Group Group  `cbor:"2,keyasint"`
	// Number is that of the Ask.
	Number uint64  `cbor:"3,keyasint"`
	Stamp  Stamp   `cbor:"4,keyasint"`
	Grants []Grant `cbor:"5,keyasint,omitempty"`
	// Unlent is set if less than half of the allowance is lent to the owner, or has been for a moment only, so that it can't tell
	// whether the allowance is used up.
	Unlent bool `cbor:"6,keyasint,omitempty"`
	// Released is set if the owner's process is about to end: all parts are back with their nodes.
	Released bool `cbor:"7,keyasint,omitempty"`
}

// Grant answers a Want.
type Grant struct {
	Key    string `cbor:"1,keyasint"`
	Tokens int    `cbor:"2,keyasint,omitempty"`
	// Epoch and Slot are stated when the tokens are returned.
	Epoch uint64 `cbor:"3,keyasint,omitempty"`
	Slot  int64  `cbor:"5,keyasint,omitempty"`
	// WaitMS is the time until a token is due if fewer were granted than were needed.
	WaitMS int64 `cbor:"4,keyasint,omitempty"`
}

// Message is what a node sends to another: an Ask or a Reply.
type Message struct {
	Ask   *Ask   `cbor:"1,keyasint,omitempty"`
	Reply *Reply `cbor:"2,keyasint,omitempty"`
}

// Envelope is a message with its receiver.
type Envelope struct {
	To      string
	Message Message
}

func (a *Ask) valid() bool {
	if !a.Group.valid() || len(a.Wants) > maxEntries || len(a.Returns) > maxEntries {
		return false
	}
	for _, w := range a.Wants {
		if !inRange(w.Tokens) || !inRange(w.Spare) || !inRange(w.Refused) {
			return false
		}
	}
	for _, r := range a.Returns {
		if !inRange(r.Tokens) {
			return false
		}
	}
	return true
}

func (r *Reply) valid() bool {
	if !r.Group.valid() || len(r.Grants) > maxEntries {
		return false
	}
	for _, g := range r.Grants {
		if !inRange(g.Tokens) || g.WaitMS < 0 || g.WaitMS > time.Hour.Milliseconds() {
			return false
		}
	}
	return true
}

func inRange(tokens int) bool { return tokens >= 0 && tokens <= maxTokens }
