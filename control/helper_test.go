package control

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"math/big"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagelane/event"
	"lovagelane/inventory"
	"lovagelane/kernel"
	"lovagelane/membership"
	"lovagelane/quarantine"
	"lovagelane/tablestore"
)

// testKeys holds a self-signed certificate that both sides present and trust.
type testKeys struct {
	certificate tls.Certificate
	pool        *x509.CertPool
}

var sharedKeys = sync.OnceValue(func() testKeys {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		panic(err)
	}
	return selfSignedKeys(key)
})

func selfSignedKeys(key *ecdsa.PrivateKey) testKeys {
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(24 * time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage:              x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		panic(err)
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		panic(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(leaf)
	return testKeys{certificate: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool: pool}
}

func (k testKeys) ServerConfig(protocols ...string) *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{k.certificate}, ClientCAs: k.pool,
		ClientAuth: tls.RequireAndVerifyClientCert, NextProtos: protocols, MinVersion: tls.VersionTLS13,
	}
}

func (k testKeys) ClientConfig(protocols ...string) *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{k.certificate}, RootCAs: k.pool, NextProtos: protocols, MinVersion: tls.VersionTLS13,
	}
}

// fastTuning shortens most intervals of defaultTuning, about tenfold.
func fastTuning(keys tlsSource) tuning {
	t := defaultTuning()
	t.heartbeatInterval, t.silenceTimeout, t.dialTimeout = 100*time.Millisecond, time.Second, time.Second
	t.floodInterval, t.digestInterval, t.suspicionTimeout = 10*time.Millisecond, 300*time.Millisecond, 700*time.Millisecond
	t.renewInterval, t.listInterval, t.pollInterval = 300*time.Millisecond, 300*time.Millisecond, 200*time.Millisecond
	t.seedRetryDelay, t.seedCheckInterval = 50*time.Millisecond, 300*time.Millisecond
	t.backoffMin, t.backoffMax, t.dialInterval = 20*time.Millisecond, 300*time.Millisecond, 5*time.Millisecond
	t.refuteInterval, t.pullTimeout, t.storeTimeout = 50*time.Millisecond, 500*time.Millisecond, time.Second
	t.tls = keys
	return t
}

// testNode is a Control that records the arguments of its callbacks.
type testNode struct {
	*Control
	mu       sync.Mutex
	versions []uint64
	crashes  []quarantine.Report
}

func (n *testNode) inForceVersions() []uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]uint64(nil), n.versions...)
}

func (n *testNode) crashReports() []quarantine.Report {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]quarantine.Report(nil), n.crashes...)
}

type nodeOptions struct {
	id, region, listen, control string
	seeds                       []string
	store                       tablestore.Store
	maxInbound                  int
	log                         *event.Log
}

func startNode(t testing.TB, o nodeOptions) *testNode {
	t.Helper()
	n := &testNode{}
	tuned := fastTuning(sharedKeys())
	tuned.store = o.store
	if o.maxInbound > 0 {
		tuned.maxInbound = o.maxInbound
	}
	c, err := start(context.Background(), Options{
		Self:   membership.Member{ID: o.id, Service: "maps", Region: o.region, AvailabilityZone: o.region + "-1", Control: o.control},
		Listen: listenOrLoopback(o.listen),
		Seeds:  o.seeds,
		Log:    o.log,
		Rand:   kernel.NewRand(uint64(len(o.id)) + uint64(time.Now().UnixNano())),
		OnConfig: func(cfg *inventory.Config) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.versions = append(n.versions, cfg.Version())
		},
		OnCrash: func(r quarantine.Report) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.crashes = append(n.crashes, r)
		},
	}, tuned)
	require.NoError(t, err)
	n.Control = c
	t.Cleanup(func() { _ = c.abort() })
	return n
}

func listenOrLoopback(listen string) string {
	if listen == "" {
		return "127.0.0.1:0"
	}
	return listen
}

// startNodes starts n nodes in two regions. The first two are the seeds of the nodes after them.
func startNodes(t testing.TB, n int, store tablestore.Store) []*testNode {
	t.Helper()
	var nodes []*testNode
	var seeds []string
	for i := range n {
		region := []string{"rn", "ce"}[i%2]
		nodes = append(nodes, startNode(t, nodeOptions{id: fmt.Sprintf("n%02d", i), region: region, seeds: seeds, store: store}))
		if i < 2 {
			seeds = append(seeds, nodes[i].Address())
		}
	}
	return nodes
}

// eventually polls until ok returns true and fails the test after 30 s.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			require.FailNow(t, "timed out waiting for: "+what)
		}
	}
}

func allSee(nodes []*testNode, members int) func() bool {
	return func() bool {
		for _, n := range nodes {
			if len(n.Members()) != members-1 {
				return false
			}
		}
		return true
	}
}

func allInForce(nodes []*testNode, version uint64) func() bool {
	return func() bool {
		for _, n := range nodes {
			if v := n.inForceVersions(); len(v) == 0 || v[len(v)-1] != version {
				return false
			}
		}
		return true
	}
}
