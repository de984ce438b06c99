package control

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/quic-go/quic-go"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"lovagelane/kernel"
	"lovagelane/membership"
)

// childVariable names the environment variable that makes the test binary run one node until it is killed. Its value holds the
// seed address, the private key and the certificate.
const childVariable = "LOVAGELANE_TEST_NODE"

func TestMain(m *testing.M) {
	if child := os.Getenv(childVariable); child != "" {
		runChild(strings.Fields(child))
		return
	}
	os.Exit(m.Run())
}

func runChild(fields []string) {
	der, _ := hex.DecodeString(fields[1])
	key, err := x509.ParseECPrivateKey(der)
	if err != nil {
		panic(err)
	}
	certificate, _ := hex.DecodeString(fields[2])
	leaf, err := x509.ParseCertificate(certificate)
	if err != nil {
		panic(err)
	}
	keys := testKeys{certificate: tls.Certificate{Certificate: [][]byte{certificate}, PrivateKey: key}, pool: x509.NewCertPool()}
	keys.pool.AddCert(leaf)
	c, err := start(context.Background(), Options{
		Self:   membership.Member{ID: "child", Service: "maps", Region: "rn", AvailabilityZone: "rn-1"},
		Listen: "127.0.0.1:0", Seeds: fields[:1],
	}, fastTuning(keys))
	if err != nil {
		panic(err)
	}
	<-c.Done()
}

// startChild runs a node with the id "child" in a separate process.
func startChild(t *testing.T, seed string) *os.Process {
	t.Helper()
	keys := sharedKeys()
	key, err := x509.MarshalECPrivateKey(keys.certificate.PrivateKey.(*ecdsa.PrivateKey))
	require.NoError(t, err)
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), childVariable+"="+
		strings.Join([]string{seed, hex.EncodeToString(key), hex.EncodeToString(keys.certificate.Certificate[0])}, " "))
	cmd.Stderr = os.Stderr
	require.NoError(t, cmd.Start())
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	return cmd.Process
}

func startRegion(t *testing.T, n int) []*testNode {
	t.Helper()
	var nodes []*testNode
	var seeds []string
	for i := range n {
		nodes = append(nodes, startNode(t, nodeOptions{id: string(rune('a' + i)), region: "rn", seeds: seeds}))
		seeds = []string{nodes[0].Address()}
	}
	return nodes
}

func childMember(n *testNode) (membership.Member, bool) {
	for _, m := range n.Members() {
		if m.ID == "child" {
			return m, true
		}
	}
	return membership.Member{}, false
}

func allHaveChild(nodes []*testNode, want bool) func() bool {
	return func() bool {
		for _, n := range nodes {
			if m, ok := childMember(n); ok != want || m.Suspected {
				return false
			}
		}
		return true
	}
}

// Guards against a killed member that stays in the views, and against a frozen member that is not accepted again after it
// resumes.
func TestKilledMemberIsRemovedAndPausedMemberRejoins(t *testing.T) {
	nodes := startRegion(t, 5)
	process := startChild(t, nodes[0].Address())
	eventually(t, "the child joins", allHaveChild(nodes, true))
	before, _ := childMember(nodes[0])

	require.NoError(t, process.Signal(syscall.SIGSTOP))
	eventually(t, "the frozen child is removed", allHaveChild(nodes, false))
	require.NoError(t, process.Signal(syscall.SIGCONT))
	eventually(t, "the resumed child is accepted again", allHaveChild(nodes, true))
	after, _ := childMember(nodes[0])
	require.Greater(t, after.Counter, before.Counter)

	require.NoError(t, process.Kill())
	eventually(t, "the killed child is removed", allHaveChild(nodes, false))
	eventually(t, "no other member was removed", allSee(nodes, 5))
}

// relay forwards datagrams to a node. After cut it drops the datagrams of all connections seen so far, in both directions.
type relay struct {
	listener *net.UDPConn
	target   *net.UDPAddr
	group    *kernel.Group

	mu      sync.Mutex
	seen    map[string]bool
	dropped map[string]bool
	flows   map[string]*net.UDPConn
}

const connectionIDBytes = 4

func startRelay(t *testing.T) *relay {
	t.Helper()
	listener, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	r := &relay{
		listener: listener, group: kernel.NewGroup(context.Background()),
		seen: map[string]bool{}, dropped: map[string]bool{}, flows: map[string]*net.UDPConn{},
	}
	t.Cleanup(func() {
		_ = listener.Close()
		r.mu.Lock()
		for _, f := range r.flows {
			_ = f.Close()
		}
		r.mu.Unlock()
		_ = r.group.Stop()
	})
	return r
}

// forwards reports whether to forward a datagram: handshake packets always, others unless their connection was cut.
func (r *relay) forwards(b []byte) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(b) <= connectionIDBytes || b[0]&0x80 != 0 {
		return true
	}
	id := string(b[1 : 1+connectionIDBytes])
	r.seen[id] = true
	return !r.dropped[id]
}

func (r *relay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.seen {
		r.dropped[id] = true
	}
}

func (r *relay) run() {
	r.group.Go("relay", func(context.Context) error {
		b := make([]byte, 2048)
		for {
			n, from, err := r.listener.ReadFromUDP(b)
			if err != nil {
				return nil
			}
			if f := r.flow(from); f != nil && r.forwards(b[:n]) {
				_, _ = f.Write(b[:n])
			}
		}
	})
}

func (r *relay) flow(from *net.UDPAddr) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f, ok := r.flows[from.String()]; ok {
		return f
	}
	f, err := net.DialUDP("udp", nil, r.target)
	if err != nil {
		return nil
	}
	r.flows[from.String()] = f
	r.group.Go("relay-back", func(context.Context) error {
		b := make([]byte, 2048)
		for {
			n, err := f.Read(b)
			if err != nil {
				return nil
			}
			if r.forwards(b[:n]) {
				_, _ = r.listener.WriteToUDP(b[:n], from)
			}
		}
	})
	return f
}

// Guards against a silent connection that stays in use, and against the suspicion of a member that a new connection still
// reaches.
func TestSilentConnectionIsReplacedWithoutSuspicion(t *testing.T) {
	r := startRelay(t)
	far := startNode(t, nodeOptions{id: "far", region: "rn", control: r.listener.LocalAddr().String()})
	r.target = far.udp.LocalAddr().(*net.UDPAddr)
	r.run()
	near := startNode(t, nodeOptions{id: "near", region: "rn", seeds: []string{r.listener.LocalAddr().String()}})
	outgoing := func() (PeerStatus, bool) {
		for _, p := range near.Status().Peers {
			if p.Outgoing && p.ID == "far" {
				return p, true
			}
		}
		return PeerStatus{}, false
	}
	eventually(t, "near watches far", func() bool {
		_, ok := outgoing()
		return ok && len(near.Status().Peers) == 2
	})
	before, _ := outgoing()
	counter := far.Status().Self.Counter
	r.cut()
	eventually(t, "the silent connection is replaced", func() bool {
		p, ok := outgoing()
		return ok && p.Since.After(before.Since)
	})
	require.Equal(t, counter, far.Status().Self.Counter, "far had to refute a suspicion")
	require.False(t, near.Members()[0].Suspected)
}

// dialRaw connects to a node as a peer whose frames the test writes itself.
func dialRaw(t *testing.T, n *testNode) (*quic.Conn, *quic.Stream) {
	t.Helper()
	conn, err := quic.DialAddr(t.Context(), n.Address(), sharedKeys().ClientConfig(protocol), &quic.Config{})
	require.NoError(t, err)
	stream, err := conn.OpenStreamSync(t.Context())
	require.NoError(t, err)
	data, err := encodeFrame(hello{Member: membership.Member{ID: "raw", Counter: 1, Region: "rn", State: membership.StateServing}})
	require.NoError(t, err)
	_, err = stream.Write(data)
	require.NoError(t, err)
	return conn, stream
}

// Guards against a malformed frame that is ignored, and against a frame of an unknown kind that closes the connection.
func TestMalformedFrameClosesConnection(t *testing.T) {
	n := startNode(t, nodeOptions{id: "a", region: "rn"})
	conn, stream := dialRaw(t, n)
	_, err := readFrame(stream)
	require.NoError(t, err)
	_, err = stream.Write(rawFrame(t, 200, "later"))
	require.NoError(t, err)
	data, err := encodeFrame(announce{Members: []membership.Member{
		{ID: "told", Counter: 1, Region: "rn", State: membership.StateServing},
	}})
	require.NoError(t, err)
	_, err = stream.Write(data)
	require.NoError(t, err)
	eventually(t, "the frame after the unknown one is read", func() bool {
		n.Control.mu.Lock()
		defer n.Control.mu.Unlock()
		_, ok := n.view.Get("told")
		return ok
	})
	_, err = stream.Write(withLengthPrefix([]byte{0xff}))
	require.NoError(t, err)
	<-conn.Context().Done()
	var closed *quic.ApplicationError
	require.ErrorAs(t, context.Cause(conn.Context()), &closed)
	require.Equal(t, codeMalformed, closed.ErrorCode)
}

// Guards against a node that accepts an unlimited number of connections.
func TestInboundConnectionsAreBounded(t *testing.T) {
	n := startNode(t, nodeOptions{id: "a", region: "rn", maxInbound: 2})
	for range 2 {
		_, stream := dialRaw(t, n)
		_, err := readFrame(stream)
		require.NoError(t, err)
	}
	conn, err := quic.DialAddr(t.Context(), n.Address(), sharedKeys().ClientConfig(protocol), &quic.Config{})
	require.NoError(t, err)
	<-conn.Context().Done()
	var closed *quic.ApplicationError
	require.ErrorAs(t, context.Cause(conn.Context()), &closed)
	require.Equal(t, codeBusy, closed.ErrorCode)
}

// Guards against announcing an address that no other instance can reach.
func TestStartRefusesUnreachableAddresses(t *testing.T) {
	for _, listen := range []string{"0.0.0.0:0", ":0", "nonsense"} {
		_, err := start(t.Context(), Options{Listen: listen}, fastTuning(sharedKeys()))
		require.ErrorContains(t, err, "10.0.0.1:7300", listen)
	}
}

// Guards against accepting a peer whose key is not from this deployment.
func TestForeignKeysAreRefused(t *testing.T) {
	n := startNode(t, nodeOptions{id: "a", region: "rn"})
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	foreign := selfSignedKeys(key)
	foreign.pool = sharedKeys().pool
	conn, err := quic.DialAddr(t.Context(), n.Address(), foreign.ClientConfig(protocol), &quic.Config{})
	if err == nil {
		// The client's handshake ends before the server has checked its certificate.
		<-conn.Context().Done()
	}
	require.Empty(t, n.Status().Peers)
}

// Guards against goroutines and sockets that are still open after a planned stop, and against a stop that waits in vain for its
// peers to close the connections.
func TestStopReleasesResources(t *testing.T) {
	existing := goleak.IgnoreCurrent()
	nodes := startNodes(t, 4, newMemoryStore())
	eventually(t, "all nodes see each other", allSee(nodes, 4))
	require.NoError(t, nodes[3].Stop())
	eventually(t, "the others see it leave", allSee(nodes[:3], 3))
	for _, n := range nodes[:3] {
		require.NoError(t, n.Stop())
	}
	goleak.VerifyNone(t, existing)
}
