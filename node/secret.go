package node

import (
	"encoding/hex"
	"os"
	"strings"

	"github.com/valyala/fasthttp"
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

// peerMayCall reports whether the peer's key has a role that may use the calls listener.
func (n *Node) peerMayCall(ctx *fasthttp.RequestCtx) bool { return ctx.IsTLS() }
