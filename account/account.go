package account

import (
	"cmp"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"

	"github.com/zeebo/errs"

	"lovagelane/kernel"
)

// Err is the class of errors for invalid accounts.
var Err = errs.Class("account")

// maxNameBytes bounds the name of an account, which is sent with each call.
const maxNameBytes = 200

// Quota bounds the requests of an account that run, summed over all nodes. The zero value is no bound.
type Quota struct {
	// Rate is the number of requests per second.
	Rate float64
	// Burst is the number of requests that may run beyond the rate after a pause.
	Burst float64
}

// Limited reports whether the quota is a bound.
func (q Quota) Limited() bool { return q.Rate > 0 }

// Account is a client account.
type Account struct {
	Name string
	// Rank is the importance of the account's requests, 0 or more, which goes before that of their routes. Without one the account
	// is among the least important.
	Rank  kernel.Option[int]
	Quota Quota
}

// Credentials are an account and the API keys that identify it.
type Credentials struct {
	Account Account
	Keys    []string
}

// Set is an immutable set of accounts. The zero value is empty.
type Set struct {
	byName map[string]*Account
	byKey  map[keyHash]*Account
	// hashes holds the keys of each account by its name, and position its index in the list that NewSet got.
	hashes   map[string][]keyHash
	position map[string]int
}

type keyHash [sha256.Size]byte

// hashSecret makes the hashes of this process useless elsewhere.
var hashSecret = newSecret()

func newSecret() []byte {
	b := make([]byte, sha256.Size)
	_, _ = rand.Read(b) // crypto/rand never returns an error.
	return b
}

func hashOf(key string) (h keyHash) {
	mac := hmac.New(sha256.New, hashSecret)
	mac.Write([]byte(key))
	mac.Sum(h[:0])
	return h
}

// Fingerprint returns a short hash of a key for logs and errors. It differs from process to process.
func Fingerprint(key string) string {
	h := hashOf(key)
	return hex.EncodeToString(h[:4])
}

// Invalid is the error for an invalid account, with its index in the list, the mistake and the remedy.
type Invalid struct {
	Index        int
	What, Remedy string
}

// Error returns the mistake and the remedy.
func (e Invalid) Error() string { return e.What + ": " + e.Remedy }

// NewSet validates accounts and returns them as a set, or an error that wraps Invalid. An account may have no keys: its last one
// was withdrawn.
func NewSet(list []Credentials) (Set, error) {
	s := Set{byName: make(map[string]*Account, len(list)), byKey: map[keyHash]*Account{},
		hashes: map[string][]keyHash{}, position: map[string]int{}}
	for i := range list {
		a := list[i].Account
		invalid := func(remedy, format string, args ...any) (Set, error) {
			return Set{}, Err.Wrap(Invalid{Index: i, What: fmt.Sprintf(format, args...), Remedy: remedy})
		}
		switch {
		case a.Name == "" || len(a.Name) > maxNameBytes:
			return invalid(fmt.Sprintf("use 1 to %d", maxNameBytes), "account %d has a name of %d bytes", i, len(a.Name))
		case !isHeaderValue(a.Name):
			return invalid("remove them", "account %d has a name with control characters, which a header can't hold", i)
		case s.byName[a.Name] != nil:
			return invalid("join the entries", "account %s is listed twice", a.Name)
		case a.Rank.Or(0) < 0:
			return invalid("use 0 or more", "account %s has the rank %d", a.Name, a.Rank.Or(0))
		case a.Quota.Rate < 0 || a.Quota.Burst < 0:
			return invalid("use 0 or more", "account %s has the rate %g and the burst %g", a.Name, a.Quota.Rate, a.Quota.Burst)
		}
		s.byName[a.Name], s.position[a.Name] = &a, i
		for _, key := range list[i].Keys {
			if key == "" {
				return invalid("remove it", "account %s has an empty key", a.Name)
			}
			h := hashOf(key)
			if other := s.byKey[h]; other != nil && other != &a {
				return invalid("remove it from one", "accounts %s and %s have the same key %s", other.Name, a.Name, Fingerprint(key))
			}
			if s.byKey[h] == nil {
				s.hashes[a.Name] = append(s.hashes[a.Name], h)
			}
			s.byKey[h] = &a
		}
	}
	return s, nil
}

func isHeaderValue(text string) bool {
	return !slices.ContainsFunc([]byte(text), func(b byte) bool { return b < ' ' || b == 0x7f })
}

// Len returns the number of accounts.
func (s Set) Len() int { return len(s.byName) }

// ByKey returns the account that a key identifies.
func (s Set) ByKey(key string) (Account, bool) {
	if len(s.byKey) == 0 {
		return Account{}, false
	}
	a := s.byKey[hashOf(key)]
	if a == nil {
		return Account{}, false
	}
	return *a, true
}

// ByName returns an account by its name.
func (s Set) ByName(name string) (Account, bool) {
	a := s.byName[name]
	if a == nil {
		return Account{}, false
	}
	return *a, true
}

// All returns the accounts in the order of their names.
func (s Set) All() []Account {
	list := make([]Account, 0, len(s.byName))
	for _, a := range s.byName {
		list = append(list, *a)
	}
	slices.SortFunc(list, func(a, b Account) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// Position returns the index of an account in the list that the set was made from, or 0 if there is no such account.
func (s Set) Position(name string) int { return s.position[name] }

// KeyCount returns the number of keys that identify an account.
func (s Set) KeyCount(name string) int { return len(s.hashes[name]) }

// KeyChanges returns how many keys of an account are new since an old set, and how many of the old ones are gone.
func (s Set) KeyChanges(old Set, name string) (added, withdrawn int) {
	return s.keysBeyond(old, name), old.keysBeyond(s, name)
}

// keysBeyond returns the number of keys of an account that do not identify it in another set.
func (s Set) keysBeyond(other Set, name string) int {
	n := 0
	for _, h := range s.hashes[name] {
		if a := other.byKey[h]; a == nil || a.Name != name {
			n++
		}
	}
	return n
}
