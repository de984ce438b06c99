package account

import (
	"cmp"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
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

// NewSet validates accounts and returns them as a set. An account may have no keys: its last one was withdrawn.
func NewSet(list []Credentials) (Set, error) {
	s := Set{byName: make(map[string]*Account, len(list)), byKey: map[keyHash]*Account{}}
	for i := range list {
		a := list[i].Account
		switch {
		case a.Name == "" || len(a.Name) > maxNameBytes:
			return Set{}, Err.New("account %d has a name of %d bytes: use 1 to %d", i, len(a.Name), maxNameBytes)
		case !isHeaderValue(a.Name):
			return Set{}, Err.New("account %d has a name with control characters, which a header can't hold: remove them", i)
		case s.byName[a.Name] != nil:
			return Set{}, Err.New("account %s is listed twice: join the entries", a.Name)
		case a.Rank.Or(0) < 0:
			return Set{}, Err.New("account %s has the rank %d: use 0 or more", a.Name, a.Rank.Or(0))
		case a.Quota.Rate < 0 || a.Quota.Burst < 0:
			return Set{}, Err.New("account %s has the rate %g and the burst %g: use 0 or more", a.Name, a.Quota.Rate, a.Quota.Burst)
		}
		s.byName[a.Name] = &a
		for _, key := range list[i].Keys {
			if key == "" {
				return Set{}, Err.New("account %s has an empty key: remove it", a.Name)
			}
			h := hashOf(key)
			if other := s.byKey[h]; other != nil && other != &a {
				return Set{}, Err.New("accounts %s and %s have the same key %s: remove it from one", other.Name, a.Name, Fingerprint(key))
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
