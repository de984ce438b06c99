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

// peer is another node as this node calls it.
type peer struct {
	id      string
	address string

	mu     sync.Mutex
	client *fasthttp.HostClient
	// questions carries the small messages about attempts on connections of its own, so that they pass a silent one.
	questions *fasthttp.HostClient
	dial      func(string) (net.Conn, error)
}

// nextAttempt numbers a new attempt to another node. One counter serves all receivers, so that a number is not used twice
// for a member that was removed and came back.
func (n *Node) nextAttempt(receiver string) call.Attempt {
	return call.Attempt{Sender: n.self.ID, Receiver: receiver, Seq: n.attemptSeq.Next()}
}

func (p *peer) current() *fasthttp.HostClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.client
}

// questionClient returns the client for small messages.
func (p *peer) questionClient() *fasthttp.HostClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.questions == nil {
		p.questions = newClient(p.address, p.dial, idleConnection)
	}
	return p.questions
}

// dropQuestions leaves the connections for small messages behind, because one of them gave no answer.
func (p *peer) dropQuestions(old *fasthttp.HostClient) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.questions == old {
		p.questions = nil
		old.CloseIdleConnections()
	}
}

// renew leaves all connections of the peer behind, because one of them went silent.
func (p *peer) renew(old *fasthttp.HostClient) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.client == old {
		p.client = newClient(p.address, p.dial, idleConnection)
		old.CloseIdleConnections()
	}
}

// peers holds the nodes that this node has called, by member id.
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
		p = &peer{id: id, address: address, dial: connect, client: newClient(address, connect, idleConnection)}
		t.byID[id] = p
	}
	return p
}

// keep forgets peers that are no longer members.
func (t *peers) keep(members map[string]membership.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, p := range t.byID {
		if _, ok := members[id]; !ok {
			p.current().CloseIdleConnections()
			delete(t.byID, id)
		}
	}
}

// closeIdle is called now and then; fasthttp closes idle connections by itself once a client has been used.
func (t *peers) closeIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.byID {
		if client := p.current(); time.Since(client.LastUseTime()) > 2*idleConnection {
			client.CloseIdleConnections()
		}
	}
}

// secure wraps the calls listener in mutual TLS.
func (n *Node) secure(ln net.Listener) net.Listener {
	return tls.NewListener(ln, n.keyring.Server("http/1.1"))
}

// dialPeer opens a connection to another node with mutual TLS and marks a failure as errDial.
func (n *Node) dialPeer(address string) (net.Conn, error) {
	conn, err := dial(address)
	if err != nil {
		return nil, err
	}
	secured := tls.Client(conn, n.keyring.Client("http/1.1"))
	if err := secured.SetDeadline(n.clock.Now().Add(2 * time.Second)); err != nil {
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

// ask sends a small message to another node and returns the body of a 200 answer. Connections for such messages are kept:
// a TLS handshake for each one cost more than the calls that they were about when many callers gave up at once.
func (n *Node) ask(p *peer, path string, message []byte, timeout time.Duration) ([]byte, error) {
	client := p.questionClient()
	b, err := exchange(client, p.address, path, message, timeout)
	if err != nil {
		p.dropQuestions(client)
	}
	return b, err
}

func exchange(client *fasthttp.HostClient, address, path string, message []byte, timeout time.Duration) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + path)
	req.SetBodyRaw(message)
	if err := client.DoTimeout(req, resp, timeout); err != nil {
		return nil, err
	}
	b, whole, err := takeBody(resp)
	switch {
	case err != nil:
		return nil, err
	case resp.StatusCode() != fasthttp.StatusOK:
		return nil, Err.New("%s answered %d on %s", address, resp.StatusCode(), path)
	case !whole:
		_ = resp.CloseBodyStream()
		return nil, Err.New("%s answered more than %d bytes on %s", address, bufferedBody, path)
	}
	return append([]byte(nil), b...), nil
}
