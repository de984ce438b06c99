package node

import (
	"encoding/hex"
	"os"
	"strings"
)

// shortestSecret is the least length of a ticket key, in bytes.
const shortestSecret = 32

// loadTicketKey reads the deployment's ticket key.
func loadTicketKey(path string) ([]byte, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	key, err := hex.DecodeString(strings.TrimSpace(string(b)))
	if err != nil || len(key) < shortestSecret {
		return nil, Err.New("%s does not hold at least %d bytes in hexadecimal: make one with lovagelane keys", path, shortestSecret)
	}
	return key, nil
}
