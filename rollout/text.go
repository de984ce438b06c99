package rollout

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"lovagelane/inventory"
	"lovagelane/tablestore"
)

const (
	// MaxTextBytes bounds the encoded form of a configuration.
	MaxTextBytes = 256 << 10

	maxFiles = 64

	// versionsPerEra is the distance between the versions of a configuration in two eras of the store.
	versionsPerEra = 1_000_000_000
)

// ErrTextTooLarge reports that an encoded configuration does not fit a control frame.
var ErrTextTooLarge = errors.New("the configuration is larger than 256 KB: split the inventory into two deployments")

var textDecoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxFiles, MaxMapPairs: 16, MaxNestedLevels: 4}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Encode returns the text of a configuration, the encoded form that is stored and sent.
func Encode(files []inventory.File) ([]byte, error) {
	text, err := cbor.Marshal(files)
	if err != nil {
		return nil, err
	}
	if len(text) > MaxTextBytes {
		return nil, ErrTextTooLarge
	}
	return text, nil
}

// Decode returns the files in the text of a configuration.
func Decode(text []byte) ([]inventory.File, error) {
	if len(text) > MaxTextBytes {
		return nil, ErrTextTooLarge
	}
	var files []inventory.File
	if err := textDecoder.Unmarshal(text, &files); err != nil {
		return nil, fmt.Errorf("cannot decode the configuration text: %w", err)
	}
	return files, nil
}

// Hash returns the SHA-256 hash of a text in hexadecimal, which is the name of its object in the store.
func Hash(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// nextVersion returns the version that a configuration gets in an era of the store: the era in billions, plus the version of the row.
// The row's version alone is given out again after the store came back from an older copy.
func nextVersion(base, era uint64) uint64 {
	return max(era, base/versionsPerEra)*versionsPerEra + rowVersion(base) + 1
}

// isBeforeEra reports whether a version is of an earlier era of the store.
func isBeforeEra(version, era uint64) bool { return version/versionsPerEra < era }

func rowVersion(version uint64) uint64 { return version % versionsPerEra }

// Accepted identifies an accepted configuration in the store.
type Accepted struct {
	Version uint64 `json:"version"`
	// Base is the version that it replaced, or 0 if there was none or an earlier release applied it.
	Base uint64 `json:"base,omitempty"`
	Hash string `json:"hash"`
	// ApplyID is random for each apply, so that a re-read can show whether a transaction without an answer took effect.
	ApplyID string `json:"apply-id"`
	// By is the operator who applied the configuration.
	By string `json:"by"`
}

// Previous returns the version that this one replaced, or that of no configuration if there was none.
func (a Accepted) Previous() uint64 { return cmp.Or(a.Base, a.Version-1) }

// ParseRow decodes and validates a row of the config table.
func ParseRow(row tablestore.Row) (Accepted, error) {
	var a Accepted
	if err := json.Unmarshal([]byte(row.Value), &a); err != nil {
		return a, fmt.Errorf("row %s/%s cannot be read: %w", tablestore.ConfigTable, row.Key, err)
	}
	if a.Version == 0 || len(a.Hash) != 2*sha256.Size {
		return a, fmt.Errorf("row %s/%s has no version or hash: repeat the apply", tablestore.ConfigTable, row.Key)
	}
	if row.Key == tablestore.CurrentKey && rowVersion(a.Version) != row.Version {
		return a, fmt.Errorf("row %s/%s names version %d but is at version %d: it was not written by apply",
			tablestore.ConfigTable, row.Key, a.Version, row.Version)
	}
	return a, nil
}
