package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/pem"
	"errors"
	"io/fs"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

const (
	authorityLifetime = 10 * 365 * 24 * time.Hour
	keyLifetime       = 365 * 24 * time.Hour
	// maxClockSkew is subtracted from the start of validity, so that instances whose clocks are behind accept a new
	// certificate at once.
	maxClockSkew = 10 * time.Minute
)

const (
	authorityFile    = "authority.pem"
	authorityKeyFile = "authority-key.pem"
	ticketKeyFile    = "ticket-key"
)

type file struct {
	name    string
	content []byte
}

// signer is an authority's certificate and private key.
type signer struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// PathsIn returns the paths of the files that Issue writes into dir for role.
func PathsIn(dir string, role Role) Paths {
	return Paths{
		Certificate: filepath.Join(dir, certificateFile(role)),
		Key:         filepath.Join(dir, keyFile(role)),
		Authority:   filepath.Join(dir, authorityFile),
	}
}

// TicketKeyIn returns the path of the ticket key file that Issue writes into dir.
func TicketKeyIn(dir string) string { return filepath.Join(dir, ticketKeyFile) }

func certificateFile(r Role) string { return string(r) + ".pem" }
func keyFile(r Role) string         { return string(r) + "-key.pem" }

// Issue writes the keys of a new deployment into dir: authority.pem, authority-key.pem, node.pem, node-key.pem,
// operator.pem, operator-key.pem and ticket-key. It creates dir if needed and never overwrites a file. Nodes need
// authority.pem, node.pem, node-key.pem and ticket-key; only the operators keep authority-key.pem.
func Issue(dir string) error {
	now := time.Now()
	authority, files, err := newAuthority(now)
	if err != nil {
		return Error.Wrap(err)
	}
	for _, role := range []Role{RoleNode, RoleOperator} {
		issued, err := authority.issue(role, now.Add(-maxClockSkew), now.Add(keyLifetime))
		if err != nil {
			return Error.Wrap(err)
		}
		files = append(files, issued...)
	}
	secret := make([]byte, MinTicketKeyBytes)
	if _, err := rand.Read(secret); err != nil {
		return Error.Wrap(err)
	}
	files = append(files, file{ticketKeyFile, []byte(hex.EncodeToString(secret) + "\n")})
	return writeNewFiles(dir, files)
}

func newAuthority(now time.Time) (signer, []file, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return signer{}, nil, err
	}
	template := &x509.Certificate{
		SerialNumber:          newSerialNumber(),
		Subject:               pkix.Name{CommonName: "lovagelane authority"},
		NotBefore:             now.Add(-maxClockSkew),
		NotAfter:              now.Add(authorityLifetime),
		IsCA:                  true,
		MaxPathLenZero:        true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	s := signer{certificate: template, key: key}
	der, err := s.sign(template, key)
	if err != nil {
		return signer{}, nil, err
	}
	if s.certificate, err = x509.ParseCertificate(der); err != nil {
		return signer{}, nil, err
	}
	files, err := encodePEM(authorityFile, authorityKeyFile, der, key)
	return s, files, err
}

func (s signer) issue(role Role, notBefore, notAfter time.Time) ([]file, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	usages := []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	if role == RoleNode {
		usages = append(usages, x509.ExtKeyUsageServerAuth)
	}
	der, err := s.sign(&x509.Certificate{
		SerialNumber: newSerialNumber(),
		Subject:      pkix.Name{CommonName: "lovagelane " + string(role), OrganizationalUnit: []string{string(role)}},
		NotBefore:    notBefore,
		NotAfter:     notAfter,
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  usages,
	}, key)
	if err != nil {
		return nil, err
	}
	return encodePEM(certificateFile(role), keyFile(role), der, key)
}

func (s signer) sign(template *x509.Certificate, key *ecdsa.PrivateKey) ([]byte, error) {
	return x509.CreateCertificate(rand.Reader, template, s.certificate, &key.PublicKey, s.key)
}

func newSerialNumber() *big.Int {
	b := make([]byte, 16)
	_, _ = rand.Read(b) // never returns an error: it crashes the process instead
	b[0] &= 0x7f        // serial numbers must be positive
	return new(big.Int).SetBytes(b)
}

func encodePEM(certificateName, keyName string, certificateDER []byte, key *ecdsa.PrivateKey) ([]file, error) {
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, err
	}
	return []file{
		{certificateName, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificateDER})},
		{keyName, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER})},
	}, nil
}

// writeNewFiles creates the files in dir. It first checks that none of them exists, so that an existing file makes it fail
// before it writes any.
func writeNewFiles(dir string, files []file) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return Error.New("%v: choose a directory that can be written", err)
	}
	for _, f := range files {
		path := filepath.Join(dir, f.name)
		if _, err := os.Lstat(path); !errors.Is(err, fs.ErrNotExist) {
			return Error.New("%s exists and is not overwritten: choose an empty directory", path)
		}
	}
	for _, f := range files {
		if err := createFile(filepath.Join(dir, f.name), f.content); err != nil {
			return Error.New("%v: choose a directory that can be written", err)
		}
	}
	return nil
}

func createFile(path string, content []byte) error {
	w, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return err
	}
	_, err = w.Write(content)
	return errors.Join(err, w.Close())
}
