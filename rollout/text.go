package rollout

import (
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
	// MaxTextBytes bounds the encoded text of a configuration.
	MaxTextBytes = 256 << 10

	maxFiles = 64
)

// ErrTextTooLarge says that a configuration does not fit a frame.
var ErrTextTooLarge = errors.New("the configuration is larger than 256 KB: split the inventory into two deployments")

var textDecoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxFiles, MaxMapPairs: 16, MaxNestedLevels: 4}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Encode returns the text of a configuration as it is stored and sent.
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

// Decode returns the files of a configuration's text.
func Decode(text []byte) ([]inventory.File, error) {
	if len(text) > MaxTextBytes {
		return nil, ErrTextTooLarge
	}
	var files []inventory.File
	if err := textDecoder.Unmarshal(text, &files); err != nil {
		return nil, fmt.Errorf("the configuration's text cannot be decoded: %w", err)
	}
	return files, nil
}

// Hash returns the name under which a text is stored.
func Hash(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// Accepted is what the store says of an accepted configuration.
type Accepted struct {
	Version uint64 `json:"version"`
	Hash    string `json:"hash"`
	// ApplyID is random for each apply, so that a lost answer can be settled.
	ApplyID string `json:"apply-id"`
	By      string `json:"by"`
}

// ReadRow returns the configuration that a row of the config table names.
func ReadRow(row tablestore.Row) (Accepted, error) {
	var a Accepted
	if err := json.Unmarshal([]byte(row.Value), &a); err != nil {
		return a, fmt.Errorf("row %s/%s cannot be read: %w", tablestore.ConfigTable, row.Key, err)
	}
	if a.Version == 0 || len(a.Hash) != 2*sha256.Size {
		return a, fmt.Errorf("row %s/%s has no version or hash: repeat the apply", tablestore.ConfigTable, row.Key)
	}
	if row.Key == tablestore.CurrentKey && a.Version != row.Version {
		return a, fmt.Errorf("row %s/%s names version %d but is at version %d: it was not written by apply",
			tablestore.ConfigTable, row.Key, a.Version, row.Version)
	}
	return a, nil
}
