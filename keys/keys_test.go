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

func issued(t *testing.T) string {
	dir := filepath.Join(t.TempDir(), "keys")
	require.NoError(t, Issue(dir))
	return dir
}

func load(t *testing.T, dir string, role Role) *Keyring {
	k, err := Load(PathsIn(dir, role))
	require.NoError(t, err)
	return k
}

// connect returns both ends of a loopback connection; the ends of net.Pipe block when both write, as at a refusal.
func connect() (server, client net.Conn, err error) {
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

// exchange makes one connection that carries one byte each way and returns the errors of both ends.
func exchange(server, client *tls.Config) (role Role, serverErr, clientErr error) {
	a, b, err := connect()
	if err != nil {
		return "", err, err
	}
	g := kernel.NewGroup(context.Background())
	g.Go("server", func(context.Context) error {
		defer a.Close()
		c := tls.Server(a, server)
		if serverErr = c.Handshake(); serverErr == nil {
			role, serverErr = PeerRole(c.ConnectionState())
			_, _ = c.Write([]byte{1})
		}
		return nil
	})
	c := tls.Client(b, client)
	if clientErr = c.Handshake(); clientErr == nil {
		_, clientErr = c.Read(make([]byte, 1))
	}
	b.Close()
	return role, serverErr, errorsOf(clientErr, g.Wait())
}

func errorsOf(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

// Guards against keys that do not work with each other, and against a role that gets lost.
func TestIssuedKeysAreAccepted(t *testing.T) {
	dir := issued(t)
	node := load(t, dir, RoleNode)
	for _, r := range []Role{RoleNode, RoleOperator} {
		role, serverErr, clientErr := exchange(node.Server("h1"), load(t, dir, r).Client("h1"))
		require.NoError(t, serverErr)
		require.NoError(t, clientErr)
		require.Equal(t, r, role)
	}
	require.WithinDuration(t, time.Now().Add(keyLifetime), node.Expires(), time.Hour)
}

// Guards against private keys that others can read, and against a second Issue that cuts off a running deployment.
func TestIssueProtectsFiles(t *testing.T) {
	dir := issued(t)
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

// Guards against a peer that is let in without a current key of the deployment and a role of it, in both directions.
func TestPeersAreRefused(t *testing.T) {
	dir := issued(t)
	now := time.Now()
	authority, _, err := newAuthority(now)
	require.NoError(t, err)
	// The cases replace the files of a deployment whose authority they hold, so only the named fault is present.
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
	own := load(t, dir, RoleNode)
	ownAndOther := &Keyring{}
	m := *own.current.Load()
	m.authorities = m.authorities.Clone()
	m.authorities.AddCert(authority.certificate)
	ownAndOther.current.Store(&m)
	for _, tc := range cases {
		files, err := authority.issue(tc.role, now.Add(tc.from), now.Add(tc.to))
		require.NoError(t, err)
		pair, err := tls.X509KeyPair(files[0].content, files[1].content)
		require.NoError(t, err)
		peer := &Keyring{}
		peer.current.Store(&material{certificate: pair, authorities: m.authorities})
		k := own
		if tc.trusted {
			k = ownAndOther
		}
		_, serverErr, clientErr := exchange(k.Server(), peer.Client())
		require.ErrorContains(t, serverErr, tc.why, "%s: server", tc.name)
		require.Error(t, clientErr)
		_, _, clientErr = exchange(peer.Server(), k.Client())
		require.ErrorContains(t, clientErr, tc.why, "%s: client", tc.name)
		require.True(t, Refused.Has(clientErr))
	}

	_, serverErr, _ := exchange(own.Server(), &tls.Config{InsecureSkipVerify: true})
	require.ErrorContains(t, serverErr, "certificate", "no certificate")
	_, _, clientErr := exchange(load(t, dir, RoleOperator).Server(), own.Client())
	require.ErrorContains(t, clientErr, "peer refused", "an operator's key must not serve")
	both, err := authority.issue(RoleNode, now.Add(-time.Hour), now.Add(time.Hour))
	require.NoError(t, err)
	pair, err := tls.X509KeyPair(both[0].content, both[1].content)
	require.NoError(t, err)
	template := *pair.Leaf
	template.RawSubject = nil
	template.Subject = pkix.Name{OrganizationalUnit: []string{string(RoleOperator)}}
	pair.Certificate[0], err = authority.sign(&template, pair.PrivateKey.(*ecdsa.PrivateKey))
	require.NoError(t, err)
	operator := &Keyring{}
	operator.current.Store(&material{certificate: pair, authorities: m.authorities})
	_, _, clientErr = exchange(operator.Server(), ownAndOther.Client())
	require.ErrorContains(t, clientErr, `server with the role "operator"`, "even when the key's usage allows it")

	old := own.Client()
	old.MinVersion, old.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	_, serverErr, _ = exchange(own.Server(), old)
	require.ErrorContains(t, serverErr, "unsupported versions")
	_, serverErr, _ = exchange((&Keyring{}).Server(), own.Client())
	require.ErrorContains(t, serverErr, "no key is loaded")
}

// Guards against a resumed session that skips the check after the peer's authority was removed.
func TestResumedSessionsAreChecked(t *testing.T) {
	dir := issued(t)
	server, client := load(t, dir, RoleNode), load(t, dir, RoleNode)
	for _, tickets := range []bool{false, true} {
		s, c := server.Server(), client.Client()
		s.SessionTicketsDisabled = !tickets && s.SessionTicketsDisabled // when true, only VerifyConnection checks
		c.SessionTicketsDisabled, c.ServerName, c.ClientSessionCache = false, "node", tls.NewLRUClientSessionCache(1)
		for range 2 {
			_, serverErr, clientErr := exchange(s, c)
			require.NoError(t, serverErr)
			require.NoError(t, clientErr)
		}
		session, ok := c.ClientSessionCache.Get("node")
		require.Equal(t, tickets, ok && session != nil, "tickets")

		m := *server.current.Load()
		m.authorities = load(t, issued(t), RoleNode).current.Load().authorities
		kept := server.current.Swap(&m)
		_, serverErr, _ := exchange(s, c)
		require.ErrorContains(t, serverErr, "peer refused")
		server.current.Store(kept)
	}
}

// Guards against broken, mixed or missing files that are accepted, and against messages without file and remedy.
func TestBrokenFilesAreNamed(t *testing.T) {
	other := issued(t)
	cases := []struct{ name, file, content, problem string }{
		{"missing", "node.pem", "", "the setting certificate"},
		{"not PEM", "node.pem", "hello", "node.pem and "},
		{"key of another", "node-key.pem", "node-key.pem", "replace both with a certificate and the key"},
		{"authority of another", "authority.pem", "authority.pem", "signed by an authority in"},
		{"authority is a node", "authority.pem", "node.pem", "is not an authority: remove it"},
		{"authority is empty", "authority.pem", "\n", "holds no PEM certificate: put"},
	}
	for _, tc := range cases {
		dir := issued(t)
		path := filepath.Join(dir, tc.file)
		k := load(t, dir, RoleNode)
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

// Guards against a rotation of the authority that refuses a peer, cuts an open connection or needs a restart.
func TestReloadUnderTraffic(t *testing.T) {
	first, second := issued(t), issued(t)
	read := func(dir, name string) []byte {
		b, err := os.ReadFile(filepath.Join(dir, name))
		require.NoError(t, err)
		return b
	}
	old := [...]string{string(read(first, "authority.pem")), string(read(second, "authority.pem"))}
	server, client := load(t, first, RoleNode), load(t, first, RoleNode)
	s, c := server.Server("h1"), client.Client("h1")

	a, b, err := connect()
	require.NoError(t, err)
	open, peer := tls.Client(b, c), tls.Server(a, s)
	echo := kernel.NewGroup(context.Background())
	echo.Go("echo", func(context.Context) error {
		buf := make([]byte, 1)
		for {
			if _, err := peer.Read(buf); err != nil {
				return nil
			}
			if _, err := peer.Write(buf); err != nil {
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
				_, serverErr, clientErr := exchange(s, c)
				dials.RUnlock()
				if serverErr != nil || clientErr != nil {
					return errorsOf(serverErr, clientErr)
				}
			}
			return nil
		})
	}
	put := func(name string, content []byte) {
		require.NoError(t, os.WriteFile(filepath.Join(first, name), content, 0o600))
	}
	reload := func(want bool) {
		for _, k := range []*Keyring{server, client} {
			changed, err := k.Reload()
			require.NoError(t, err)
			require.Equal(t, want, changed)
		}
		_, err := open.Write([]byte{1})
		require.NoError(t, err)
		_, err = open.Read(make([]byte, 1))
		require.NoError(t, err, "the open connection must stay")
	}
	reload(false)
	put("authority.pem", []byte(old[0]+old[1]))
	reload(true)
	put("node.pem", read(second, "node.pem"))
	changed, err := server.Reload()
	require.False(t, changed)
	require.ErrorContains(t, err, "replace both", "a half-written pair must not take effect")
	put("node-key.pem", read(second, "node-key.pem"))
	reload(true)
	dials.Lock() // a handshake that began with the old key ends before the old authority is removed
	put("authority.pem", []byte(old[1]))
	dials.Unlock()
	reload(true)
	require.NoError(t, traffic.Stop())

	_, serverErr, _ := exchange(s, load(t, issued(t), RoleNode).Client("h1"))
	require.Error(t, serverErr)
	open.Close()
	require.NoError(t, echo.Stop())
}

// Guards against a rotation of the ticket key that signs with the wrong key or loses one, and weak keys.
func TestTicketKeys(t *testing.T) {
	dir := issued(t)
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
