package keys

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"

	"github.com/zeebo/errs"
)

// PeerRefused is the class of errors for peers whose certificate is rejected.
var PeerRefused = errs.Class("peer refused")

// Role is the role that a certificate grants.
type Role string

const (
	// RoleNode is the role of nodes, which may forward internal headers.
	RoleNode Role = "node"
	// RoleOperator is the role of the operator's command, which may not act as a server.
	RoleOperator Role = "operator"
)

// PeerRole returns the role in the peer's certificate. The handshake of the connection must be complete.
func PeerRole(s tls.ConnectionState) (Role, error) {
	if len(s.PeerCertificates) == 0 {
		return "", PeerRefused.New("the peer shows no certificate: start it with a key of this deployment")
	}
	role, err := roleOf(s.PeerCertificates[0])
	return role, PeerRefused.Wrap(err)
}

func roleOf(c *x509.Certificate) (Role, error) {
	if units := c.Subject.OrganizationalUnit; len(units) == 1 {
		switch role := Role(units[0]); role {
		case RoleNode, RoleOperator:
			return role, nil
		}
	}
	return "", fmt.Errorf("the organisational unit %q is not the role %q or %q",
		c.Subject.OrganizationalUnit, RoleNode, RoleOperator)
}

// ServerConfig returns the TLS configuration for listeners, which accept only peers with a certificate of the deployment. A
// reloaded key applies from the next handshake.
func (k *Keyring) ServerConfig(protocols ...string) *tls.Config {
	c := k.baseConfig(protocols)
	c.ClientAuth = tls.RequireAnyClientCert // VerifyConnection verifies it against the current authorities
	c.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return k.currentCertificate() }
	c.VerifyConnection = func(s tls.ConnectionState) error {
		_, err := k.verifyPeer(s, x509.ExtKeyUsageClientAuth)
		return err
	}
	return c
}

// ClientConfig returns the TLS configuration for connections to nodes, which must present a node's certificate of the deployment.
func (k *Keyring) ClientConfig(protocols ...string) *tls.Config {
	c := k.baseConfig(protocols)
	c.InsecureSkipVerify = true // VerifyConnection verifies the chain, but no host name
	c.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return k.currentCertificate() }
	c.VerifyConnection = func(s tls.ConnectionState) error {
		role, err := k.verifyPeer(s, x509.ExtKeyUsageServerAuth)
		if err == nil && role != RoleNode {
			return PeerRefused.New("a server with the role %q: start it with a node's key", role)
		}
		return err
	}
	return c
}

// baseConfig returns a configuration without session tickets. VerifyConnection also runs on resumed sessions, but a ticket
// issued before an authority was removed would keep the peer's old certificate in use.
func (k *Keyring) baseConfig(protocols []string) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: protocols, SessionTicketsDisabled: true}
}

func (k *Keyring) currentCertificate() (*tls.Certificate, error) {
	m := k.current.Load()
	if m == nil {
		return nil, Error.New("no key is loaded: create the keyring with Load")
	}
	return &m.certificate, nil
}

func (k *Keyring) verifyPeer(s tls.ConnectionState, usage x509.ExtKeyUsage) (Role, error) {
	m := k.current.Load()
	if m == nil {
		return "", Error.New("no key is loaded: create the keyring with Load")
	}
	role, err := PeerRole(s)
	if err != nil {
		return "", err
	}
	leaf := s.PeerCertificates[0]
	if _, err := m.verify(leaf, s.PeerCertificates[1:], usage); err != nil {
		return "", PeerRefused.New("%s: %v: start the peer with a current key of this deployment", leaf.Subject, err)
	}
	return role, nil
}
