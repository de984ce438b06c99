package keys

import (
	"bytes"
	"encoding/hex"
	"slices"
	"strings"
)

// MinTicketKeyBytes is the minimum length of a ticket key in bytes.
const MinTicketKeyBytes = 32

// LoadTicketKeys reads the ticket keys of the deployment from a file with one hexadecimal key on each line; empty lines and
// lines that begin with # are skipped. The first key signs tickets, and all keys verify them. To rotate, add the new key as
// the second line on all nodes, then make it the first, and remove the old key after the lifetime of a ticket.
func LoadTicketKeys(path string) ([][]byte, error) {
	text, err := readFile(path, "ticket-key")
	if err != nil {
		return nil, err
	}
	var keys [][]byte
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		// The message omits the error of hex.DecodeString, which quotes a part of the key.
		key, err := hex.DecodeString(line)
		if err != nil || len(key) < MinTicketKeyBytes {
			return nil, Error.New("%s:%d is not a key: write at least %d random bytes as hexadecimal digits",
				path, i+1, MinTicketKeyBytes)
		}
		if !slices.ContainsFunc(keys, func(k []byte) bool { return bytes.Equal(k, key) }) {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return nil, Error.New("%s holds no key: write at least %d random bytes as hexadecimal digits on one line",
			path, MinTicketKeyBytes)
	}
	return keys, nil
}
