package keys

import (
	"context"
	"crypto/ecdsa"
	"crypto/tls"
	"crypto/x509/pkix"
	"encoding/hex"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"lovagelane/kernel"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func issueKeys(t *testing.T) string {
	dir := filepath.Join(t.TempDir(), "keys")
	require.NoError(t, Issue(dir))
	return dir
}

func loadKeyring(t *testing.T, dir string, role Role) *Keyring {
	k, err := Load(PathsIn(dir, role))
	require.NoError(t, err)
	return k
}

// connectLoopback returns both ends of a TCP connection on loopback. net.Pipe would block when both ends write, as they do
// when a handshake fails.
func connectLoopback() (server, client net.Conn, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	defer l.Close()
	if client, err = net.Dial("tcp", l.Addr().String()); err != nil {
		return nil, nil, err
	}
	server, err = l.Accept()
	return server, client, err
}

// handshake completes a TLS handshake, sends one byte from the server to the client, and returns the role that the server saw
// and the errors of both ends.
func handshake(server, client *tls.Config) (role Role, serverErr, clientErr error) {
	serverConn, clientConn, err := connectLoopback()
	if err != nil {
		return "", err, err
	}
	g := kernel.NewGroup(context.Background())
	g.Go("server", func(context.Context) error {
		defer serverConn.Close()
		c := tls.Server(serverConn, server)
		if serverErr = c.Handshake(); serverErr == nil {
			role, serverErr = PeerRole(c.ConnectionState())
			_, _ = c.Write([]byte{1})
		}
		return nil
	})
	c := tls.Client(clientConn, client)
	if clientErr = c.Handshake(); clientErr == nil {
		_, clientErr = c.Read(make([]byte, 1))
	}
	clientConn.Close()
	return role, serverErr, firstError(clientErr, g.Wait())
}

func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

// Guards against issued keys that peers reject, a role that is not the issued one, and a wrong expiry.
func TestIssuedKeysAreAccepted(t *testing.T) {
	dir := issueKeys(t)
	node := loadKeyring(t, dir, RoleNode)
	for _, r := range []Role{RoleNode, RoleOperator} {
		role, serverErr, clientErr := handshake(node.ServerConfig("h1"), loadKeyring(t, dir, r).ClientConfig("h1"))
		require.NoError(t, serverErr)
		require.NoError(t, clientErr)
		require.Equal(t, r, role)
	}
	require.WithinDuration(t, time.Now().Add(keyLifetime), node.Expires(), time.Hour)
}

// Guards against private keys that other users can read, and against a second Issue that replaces the keys of a running
// deployment, whose processes would then reject each other.
func TestIssueProtectsFilesAndNeverOverwrites(t *testing.T) {
	dir := issueKeys(t)
	entries, err := os.ReadDir(dir)
	require.NoError(t, err)
	var names []string
	for _, e := range entries {
		info, err := e.Info()
		require.NoError(t, err)
		require.Equal(t, os.FileMode(0o600), info.Mode().Perm(), e.Name())
		names = append(names, e.Name())
	}
	require.Equal(t, []string{"authority-key.pem", "authority.pem", "node-key.pem", "node.pem", "operator-key.pem",
		"operator.pem", "ticket-key"}, names)

	for _, n := range names[1:] {
		require.NoError(t, os.Remove(filepath.Join(dir, n)))
	}
	require.ErrorContains(t, Issue(dir), "authority-key.pem exists and is not overwritten")
	entries, err = os.ReadDir(dir)
	require.NoError(t, err)
	require.Len(t, entries, 1, "a refused Issue must write nothing")
}

// Guards against a server or client that accepts a peer without a valid certificate of the deployment, without the required
// role or with an old TLS version, and against an empty keyring that accepts peers.
func TestInvalidPeersAreRefused(t *testing.T) {
	dir := issueKeys(t)
	now := time.Now()
	authority, _, err := newAuthority(now)
	require.NoError(t, err)
	// In the cases with trusted set, the node also trusts the authority that signs the peer's certificate, so that the named
	// fault is the only one.
	cases := []struct {
		name, why string
		role      Role
		from, to  time.Duration
		trusted   bool
	}{
		{"other authority", "unknown authority", RoleNode, -time.Hour, time.Hour, false},
		{"expired", "expired", RoleNode, -2 * time.Hour, -time.Hour, true},
		{"not valid yet", "not yet valid", RoleNode, time.Hour, 2 * time.Hour, true},
		{"wrong role", "not the role", "backup", -time.Hour, time.Hour, true},
		{"no role", "not the role", "", -time.Hour, time.Hour, true},
	}
	node := loadKeyring(t, dir, RoleNode)
	nodeTrustingBoth := &Keyring{}
	m := *node.current.Load()
	m.authorities = m.authorities.Clone()
	m.authorities.AddCert(authority.certificate)
	nodeTrustingBoth.current.Store(&m)
	for _, tc := range cases {
		files, err := authority.issue(tc.role, now.Add(tc.from), now.Add(tc.to))
		require.NoError(t, err)
		pair, err := tls.X509KeyPair(files[0].content, files[1].content)
		require.NoError(t, err)
		peer := &Keyring{}
		peer.current.Store(&keyMaterial{certificate: pair, authorities: m.authorities})
		k := node
		if tc.trusted {
			k = nodeTrustingBoth
		}
		_, serverErr, clientErr := handshake(k.ServerConfig(), peer.ClientConfig())
		require.ErrorContains(t, serverErr, tc.why, "%s: server", tc.name)
		require.Error(t, clientErr)
		_, _, clientErr = handshake(peer.ServerConfig(), k.ClientConfig())
		require.ErrorContains(t, clientErr, tc.why, "%s: client", tc.name)
		require.True(t, PeerRefused.Has(clientErr))
	}

	_, serverErr, _ := handshake(node.ServerConfig(), &tls.Config{InsecureSkipVerify: true})
	require.ErrorContains(t, serverErr, "certificate", "no certificate")
	_, _, clientErr := handshake(loadKeyring(t, dir, RoleOperator).ServerConfig(), node.ClientConfig())
	require.ErrorContains(t, clientErr, "peer refused", "an operator's key must not serve")
	nodeFiles, err := authority.issue(RoleNode, now.Add(-time.Hour), now.Add(time.Hour))
	require.NoError(t, err)
	pair, err := tls.X509KeyPair(nodeFiles[0].content, nodeFiles[1].content)
	require.NoError(t, err)
	template := *pair.Leaf
	template.RawSubject = nil
	template.Subject = pkix.Name{OrganizationalUnit: []string{string(RoleOperator)}}
	pair.Certificate[0], err = authority.sign(&template, pair.PrivateKey.(*ecdsa.PrivateKey))
	require.NoError(t, err)
	operator := &Keyring{}
	operator.current.Store(&keyMaterial{certificate: pair, authorities: m.authorities})
	_, _, clientErr = handshake(operator.ServerConfig(), nodeTrustingBoth.ClientConfig())
	require.ErrorContains(t, clientErr, `server with the role "operator"`, "even when the key's usage allows it")

	tls12 := node.ClientConfig()
	tls12.MinVersion, tls12.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	_, serverErr, _ = handshake(node.ServerConfig(), tls12)
	require.ErrorContains(t, serverErr, "unsupported versions")
	_, serverErr, _ = handshake((&Keyring{}).ServerConfig(), node.ClientConfig())
	require.ErrorContains(t, serverErr, "no key is loaded")
}

// Guards against a resumed session that is accepted after the peer's authority was removed, with and without session tickets.
func TestResumedSessionsAreVerified(t *testing.T) {
	dir := issueKeys(t)
	server, client := loadKeyring(t, dir, RoleNode), loadKeyring(t, dir, RoleNode)
	for _, tickets := range []bool{false, true} {
		s, c := server.ServerConfig(), client.ClientConfig()
		s.SessionTicketsDisabled = !tickets && s.SessionTicketsDisabled // with tickets, only VerifyConnection can reject the peer
		c.SessionTicketsDisabled, c.ServerName, c.ClientSessionCache = false, "node", tls.NewLRUClientSessionCache(1)
		for range 2 {
			_, serverErr, clientErr := handshake(s, c)
			require.NoError(t, serverErr)
			require.NoError(t, clientErr)
		}
		session, ok := c.ClientSessionCache.Get("node")
		require.Equal(t, tickets, ok && session != nil, "tickets")

		m := *server.current.Load()
		m.authorities = loadKeyring(t, issueKeys(t), RoleNode).current.Load().authorities
		previous := server.current.Swap(&m)
		_, serverErr, _ := handshake(s, c)
		require.ErrorContains(t, serverErr, "peer refused")
		server.current.Store(previous)
	}
}

// Guards against accepting invalid, mismatched or missing files, against a failed Reload that drops the old key, and against
// errors without the file and the remedy.
func TestInvalidFilesAreReported(t *testing.T) {
	other := issueKeys(t)
	cases := []struct{ name, file, content, problem string }{
		{"missing", "node.pem", "", "the setting certificate"},
		{"not PEM", "node.pem", "hello", "node.pem and "},
		{"key of another", "node-key.pem", "node-key.pem", "replace both with a certificate and the key"},
		{"authority of another", "authority.pem", "authority.pem", "signed by an authority in"},
		{"authority is a node", "authority.pem", "node.pem", "is not an authority: remove it"},
		{"authority is empty", "authority.pem", "\n", "holds no PEM certificate: put"},
	}
	for _, tc := range cases {
		dir := issueKeys(t)
		path := filepath.Join(dir, tc.file)
		k := loadKeyring(t, dir, RoleNode)
		before := k.current.Load()
		if tc.content == "" {
			require.NoError(t, os.Remove(path))
		} else {
			content, err := os.ReadFile(filepath.Join(other, tc.content))
			if err != nil {
				content = []byte(tc.content)
			}
			require.NoError(t, os.WriteFile(path, content, 0o600))
		}
		_, err := Load(PathsIn(dir, RoleNode))
		require.ErrorContains(t, err, tc.problem, tc.name)
		require.ErrorContains(t, err, tc.file, tc.name)
		changed, err := k.Reload()
		require.False(t, changed, tc.name)
		require.ErrorContains(t, err, tc.problem, tc.name)
		require.Same(t, before, k.current.Load(), "the old key must stay")
	}
	_, err := Load(Paths{})
	require.ErrorContains(t, err, "set certificate in the settings")
}

// Guards against a rotation of the authority that makes a handshake fail, closes an open connection or requires a restart.
func TestAuthorityRotationUnderTraffic(t *testing.T) {
	first, second := issueKeys(t), issueKeys(t)
	read := func(dir, name string) []byte {
		b, err := os.ReadFile(filepath.Join(dir, name))
		require.NoError(t, err)
		return b
	}
	authorities := [...]string{string(read(first, "authority.pem")), string(read(second, "authority.pem"))}
	server, client := loadKeyring(t, first, RoleNode), loadKeyring(t, first, RoleNode)
	s, c := server.ServerConfig("h1"), client.ClientConfig("h1")

	a, b, err := connectLoopback()
	require.NoError(t, err)
	openConn, peerConn := tls.Client(b, c), tls.Server(a, s)
	echo := kernel.NewGroup(context.Background())
	echo.Go("echo", func(context.Context) error {
		buf := make([]byte, 1)
		for {
			if _, err := peerConn.Read(buf); err != nil {
				return nil
			}
			if _, err := peerConn.Write(buf); err != nil {
				return err
			}
		}
	})
	var dials sync.RWMutex
	traffic := kernel.NewGroup(context.Background())
	for range 4 {
		traffic.Go("dials", func(ctx context.Context) error {
			for ctx.Err() == nil {
				dials.RLock()
				_, serverErr, clientErr := handshake(s, c)
				dials.RUnlock()
				if serverErr != nil || clientErr != nil {
					return firstError(serverErr, clientErr)
				}
			}
			return nil
		})
	}
	writeFile := func(name string, content []byte) {
		require.NoError(t, os.WriteFile(filepath.Join(first, name), content, 0o600))
	}
	reload := func(want bool) {
		for _, k := range []*Keyring{server, client} {
			changed, err := k.Reload()
			require.NoError(t, err)
			require.Equal(t, want, changed)
		}
		_, err := openConn.Write([]byte{1})
		require.NoError(t, err)
		_, err = openConn.Read(make([]byte, 1))
		require.NoError(t, err, "the open connection must stay")
	}
	reload(false)
	writeFile("authority.pem", []byte(authorities[0]+authorities[1]))
	reload(true)
	writeFile("node.pem", read(second, "node.pem"))
	changed, err := server.Reload()
	require.False(t, changed)
	require.ErrorContains(t, err, "replace both", "a half-written pair must not take effect")
	writeFile("node-key.pem", read(second, "node-key.pem"))
	reload(true)
	dials.Lock() // handshakes that began with the old key must end before the old authority is removed
	writeFile("authority.pem", []byte(authorities[1]))
	dials.Unlock()
	reload(true)
	require.NoError(t, traffic.Stop())

	_, serverErr, _ := handshake(s, loadKeyring(t, issueKeys(t), RoleNode).ClientConfig("h1"))
	require.Error(t, serverErr)
	openConn.Close()
	require.NoError(t, echo.Stop())
}

// Guards against a rotation of the ticket key that changes the order of the keys or drops one, against keys that are too short
// or not hexadecimal, and against errors that contain a part of a key.
func TestLoadTicketKeys(t *testing.T) {
	dir := issueKeys(t)
	keys, err := LoadTicketKeys(TicketKeyIn(dir))
	require.NoError(t, err)
	require.Len(t, keys, 1)
	require.Len(t, keys[0], 32)

	path := filepath.Join(t.TempDir(), "ticket-key")
	rapid.Check(t, func(t *rapid.T) {
		want := rapid.SliceOfNDistinct(rapid.SliceOfN(rapid.Byte(), 32, 40), 1, 4,
			func(k []byte) string { return string(k) }).Draw(t, "keys")
		var text strings.Builder
		for _, k := range want {
			text.WriteString(rapid.SampledFrom([]string{"", "\n", "# old\n", "  \r\n"}).Draw(t, "noise"))
			text.WriteString(" " + hex.EncodeToString(k) + "\r\n")
		}
		require.NoError(t, os.WriteFile(path, []byte(text.String()), 0o600))
		got, err := LoadTicketKeys(path)
		require.NoError(t, err)
		require.Equal(t, want, got)
	})
	for content, problem := range map[string]string{
		"":                                 "holds no key",
		"\n" + strings.Repeat("a", 62):     "ticket-key:2 is not a key",
		strings.Repeat("secret", 20):       "ticket-key:1 is not a key",
		strings.Repeat("ab", 32) + "\n12x": "ticket-key:2 is not a key",
	} {
		require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
		_, err := LoadTicketKeys(path)
		require.ErrorContains(t, err, problem)
		require.NotContains(t, err.Error(), "secret")
	}
}
