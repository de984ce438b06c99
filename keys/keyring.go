package keys

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors about key files; their messages name the file and the remedy.
var Error = errs.Class("keys")

// Paths holds the paths of three PEM files: a certificate, its private key, and the authorities of the deployment.
type Paths struct{ Certificate, Key, Authority string }

// Keyring holds the current certificate, private key and authorities of a process; its zero value has none and rejects every
// connection.
type Keyring struct {
	paths   Paths
	mu      sync.Mutex // serialises Reload
	current atomic.Pointer[keyMaterial]
}

// keyMaterial is the parsed content of the files; it is immutable.
type keyMaterial struct {
	certificate tls.Certificate
	authorities *x509.CertPool
	digest      [sha256.Size]byte
}

// Load returns a keyring with the content of the files. Its errors contain the file and the remedy.
func Load(p Paths) (*Keyring, error) {
	m, err := readKeyMaterial(p, nil)
	if err != nil {
		return nil, err
	}
	k := &Keyring{paths: p}
	k.current.Store(m)
	return k, nil
}

// Reload reads the files again and returns whether their content has changed and is now in use. If the new files are invalid,
// or only some of them have been written, the old content stays in use and the error contains the reason. Open connections
// stay open.
func (k *Keyring) Reload() (bool, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	old := k.current.Load()
	if old == nil {
		return false, Error.New("no key is loaded: create the keyring with Load")
	}
	m, err := readKeyMaterial(k.paths, old)
	if err != nil || m == old {
		return false, err
	}
	k.current.Store(m)
	return true, nil
}

// Role returns the role of the current certificate.
func (k *Keyring) Role() (Role, error) {
	certificate, err := k.currentCertificate()
	if err != nil {
		return "", err
	}
	return roleOf(certificate.Leaf)
}

// Expires returns the time when the current certificate or the authority that signed it expires, whichever is earlier, or the
// zero time if no key is loaded.
func (k *Keyring) Expires() time.Time {
	m := k.current.Load()
	if m == nil {
		return time.Time{}
	}
	return m.expires()
}

// readKeyMaterial reads the files and returns old if their content has not changed.
func readKeyMaterial(p Paths, old *keyMaterial) (*keyMaterial, error) {
	certificate, err := readFile(p.Certificate, "certificate")
	if err != nil {
		return nil, err
	}
	key, err := readFile(p.Key, "key")
	if err != nil {
		return nil, err
	}
	authority, err := readFile(p.Authority, "authority")
	if err != nil {
		return nil, err
	}
	digest := digestOf(certificate, key, authority)
	if old != nil && old.digest == digest {
		return old, nil
	}
	return parseKeyMaterial(p, digest, certificate, key, authority)
}

func readFile(path, setting string) ([]byte, error) {
	if path == "" {
		return nil, Error.New("no file is set for %s: set %s in the settings to a PEM file", setting, setting)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.New("%v: check that the platform provides the file named by the setting %s", err, setting)
	}
	return text, nil
}

// digestOf returns the hash of the hashes of the files, so that moving bytes from one file to the next changes the digest.
func digestOf(files ...[]byte) [sha256.Size]byte {
	var all []byte
	for _, f := range files {
		sum := sha256.Sum256(f)
		all = append(all, sum[:]...)
	}
	return sha256.Sum256(all)
}

func parseKeyMaterial(p Paths, digest [sha256.Size]byte, certificate, key, authority []byte) (*keyMaterial, error) {
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return nil, Error.New("%s and %s: %v: replace both with a certificate and the key that belongs to it",
			p.Certificate, p.Key, err)
	}
	authorities, err := parseAuthorities(p.Authority, authority)
	if err != nil {
		return nil, err
	}
	m := &keyMaterial{certificate: pair, authorities: authorities, digest: digest}
	if _, err := roleOf(pair.Leaf); err != nil {
		return nil, Error.New("%s: %v: issue a certificate with one of these roles", p.Certificate, err)
	}
	if _, err := m.verify(pair.Leaf, nil, x509.ExtKeyUsageClientAuth); err != nil {
		return nil, Error.New("%s: %v: issue a certificate that is valid now and signed by an authority in %s",
			p.Certificate, err, p.Authority)
	}
	return m, nil
}

func parseAuthorities(path string, text []byte) (*x509.CertPool, error) {
	pool := x509.NewCertPool()
	n := 0
	for block, rest := pem.Decode(text); block != nil; block, rest = pem.Decode(rest) {
		c, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, Error.New("%s: certificate %d: %v: replace it with the authority's certificate", path, n+1, err)
		}
		// A pool trusts each of its certificates as a root, so a node's certificate in the pool would bypass the authority.
		if !c.IsCA {
			return nil, Error.New("%s: certificate %d (%s) is not an authority: remove it from the file",
				path, n+1, c.Subject)
		}
		pool.AddCert(c)
		n++
	}
	if n == 0 {
		return nil, Error.New("%s holds no PEM certificate: put the authority's certificate there", path)
	}
	return pool, nil
}

// verify verifies a certificate against the authorities and returns all chains from it to an authority.
func (m *keyMaterial) verify(
	leaf *x509.Certificate, intermediates []*x509.Certificate, usage x509.ExtKeyUsage,
) ([][]*x509.Certificate, error) {
	o := x509.VerifyOptions{Roots: m.authorities, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{usage}}
	for _, c := range intermediates {
		o.Intermediates.AddCert(c)
	}
	return leaf.Verify(o)
}

// expires returns the earlier expiry of the certificate and of its authority. With several chains, the authority that expires
// last counts.
func (m *keyMaterial) expires() time.Time {
	leafExpiry := m.certificate.Leaf.NotAfter
	chains, err := m.verify(m.certificate.Leaf, nil, x509.ExtKeyUsageClientAuth)
	if err != nil {
		return leafExpiry
	}
	var authorityExpiry time.Time
	for _, chain := range chains {
		if rootExpiry := chain[len(chain)-1].NotAfter; rootExpiry.After(authorityExpiry) {
			authorityExpiry = rootExpiry
		}
	}
	if authorityExpiry.Before(leafExpiry) {
		return authorityExpiry
	}
	return leafExpiry
}
