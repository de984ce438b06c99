package node

import (
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"lovagelane/call"
	"lovagelane/membership"
)

// peer is the client side of another node.
type peer struct {
	id      string
	address string

	mu     sync.Mutex
	client *fasthttp.HostClient
	// messages is the client for control messages about attempts. It has connections of its own, so that messages get through
	// when a connection for calls went silent.
	messages *fasthttp.HostClient
	dial     func(string) (net.Conn, error)
}

// nextAttempt returns the ID of a new attempt. One counter serves all receivers, so that no number is reused for a member
// that was removed and came back.
func (n *Node) nextAttempt(receiver string) call.Attempt {
	return call.Attempt{Sender: n.self.ID, Receiver: receiver, Seq: n.attemptSeq.Next()}
}

func (p *peer) current() *fasthttp.HostClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.client
}

// messageClient returns the client for control messages.
func (p *peer) messageClient() *fasthttp.HostClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.messages == nil {
		p.messages = newClient(p.address, p.dial, peerIdleTimeout)
	}
	return p.messages
}

// dropMessageClient discards the client for control messages, after one of its connections gave no answer.
func (p *peer) dropMessageClient(old *fasthttp.HostClient) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.messages == old {
		p.messages = nil
		old.CloseIdleConnections()
	}
}

// replaceClient replaces the client and so all connections to the peer, after one of them went silent.
func (p *peer) replaceClient(old *fasthttp.HostClient) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.client == old {
		p.client = newClient(p.address, p.dial, peerIdleTimeout)
		old.CloseIdleConnections()
	}
}

// peers holds the nodes that this node has called, by member ID.
type peers struct {
	mu   sync.Mutex
	byID map[string]*peer
}

func (t *peers) get(id, address string, connect func(string) (net.Conn, error)) *peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byID == nil {
		t.byID = map[string]*peer{}
	}
	p, ok := t.byID[id]
	if !ok {
		p = &peer{id: id, address: address, dial: connect, client: newClient(address, connect, peerIdleTimeout)}
		t.byID[id] = p
	}
	return p
}

// retain removes peers that are no longer members.
func (t *peers) retain(members map[string]membership.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, p := range t.byID {
		if _, ok := members[id]; !ok {
			p.current().CloseIdleConnections()
			delete(t.byID, id)
		}
	}
}

// closeIdle closes the idle connections of clients that were not used recently. fasthttp also closes idle connections by
// itself once a client has been used.
func (t *peers) closeIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.byID {
		if client := p.current(); time.Since(client.LastUseTime()) > 2*peerIdleTimeout {
			client.CloseIdleConnections()
		}
	}
}

// withTLS wraps the calls listener in mutual TLS.
func (n *Node) withTLS(ln net.Listener) net.Listener {
	return tls.NewListener(ln, n.keyring.ServerConfig("http/1.1"))
}

// dialPeer opens a connection to another node with mutual TLS. A failure wraps errDial.
func (n *Node) dialPeer(address string) (net.Conn, error) {
	conn, err := dial(address)
	if err != nil {
		return nil, err
	}
	secured := tls.Client(conn, n.keyring.ClientConfig("http/1.1"))
	if err := secured.SetDeadline(n.clock.Now().Add(2 * time.Second)); err != nil {
		_ = conn.Close()
		return nil, errors.Join(errDial, err)
	}
	if err := secured.Handshake(); err != nil {
		_ = conn.Close()
		return nil, errors.Join(errDial, err)
	}
	n.metrics.Add("connections-opened", 1)
	return secured, secured.SetDeadline(time.Time{})
}

func (n *Node) peer(id, address string) *peer {
	return n.peers.get(id, address, n.dialPeer)
}

// sendMessage sends a control message to another node and returns the body of a 200 response. Connections for messages are
// reused: when many callers gave up at once, a TLS handshake per message cost more than the calls that the messages were
// about.
func (n *Node) sendMessage(p *peer, path string, message []byte, timeout time.Duration) ([]byte, error) {
	client := p.messageClient()
	b, err := post(client, p.address, path, message, timeout)
	if err != nil {
		p.dropMessageClient(client)
	}
	return b, err
}

func post(client *fasthttp.HostClient, address, path string, message []byte, timeout time.Duration) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + path)
	req.SetBodyRaw(message)
	if err := client.DoTimeout(req, resp, timeout); err != nil {
		return nil, err
	}
	b, whole, err := readResponseBody(resp)
	switch {
	case err != nil:
		return nil, err
	case resp.StatusCode() != fasthttp.StatusOK:
		return nil, Err.New("%s answered %d on %s", address, resp.StatusCode(), path)
	case !whole:
		_ = resp.CloseBodyStream()
		return nil, Err.New("%s answered more than %d bytes on %s", address, maxBufferedBody, path)
	}
	return append([]byte(nil), b...), nil
}
