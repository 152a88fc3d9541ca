package keys

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// Reasons to refuse a peer. Each has a counter, tls_refused_ and the word that
// Reason gives.
var (
	ErrNoCertificate = errors.New("keys: peer shows no certificate")
	ErrExpired       = errors.New("keys: peer's certificate has expired or isn't valid yet")
	ErrAuthority     = errors.New("keys: peer's certificate is of an authority that isn't trusted")
	ErrIdentity      = errors.New("keys: peer's certificate names no role")
	ErrWrongRole     = errors.New("keys: peer's role isn't served here")
	ErrAddress       = errors.New("keys: peer's certificate is for another address")
)

// Peer is who holds a certificate.
type Peer struct {
	Role Role
	Name string
}

// Reason returns the word that counters use for a refusal.
func Reason(err error) string {
	switch {
	case errors.Is(err, ErrNoCertificate):
		return "no_certificate"
	case errors.Is(err, ErrExpired):
		return "expired"
	case errors.Is(err, ErrAuthority):
		return "authority"
	case errors.Is(err, ErrIdentity):
		return "identity"
	case errors.Is(err, ErrWrongRole):
		return "role"
	case errors.Is(err, ErrAddress):
		return "address"
	}
	return "other"
}

// PeerOf returns who is at the other end of a connection whose certificate has
// been verified by a Store's settings.
func PeerOf(cs tls.ConnectionState) (Peer, error) {
	if len(cs.PeerCertificates) == 0 {
		return Peer{}, ErrNoCertificate
	}
	return identityOf(cs.PeerCertificates[0])
}

func identityOf(cert *x509.Certificate) (Peer, error) {
	for _, u := range cert.URIs {
		if u.Scheme != identityScheme {
			continue
		}
		p := Peer{Role: Role(u.Host), Name: strings.TrimPrefix(u.Path, "/")}
		if !slices.Contains(Roles(), p.Role) || p.Name == "" {
			return Peer{}, ErrIdentity
		}
		return p, nil
	}
	return Peer{}, ErrIdentity
}

// verify checks a peer's chain against the pool and its role against those
// allowed. The library's own check is replaced, not weakened: it takes its pool
// once, and a change of authority would need a restart of every process.
func verify(cs tls.ConnectionState, pool *x509.CertPool, allowed []Role) error {
	if len(cs.PeerCertificates) == 0 {
		return ErrNoCertificate
	}
	leaf := cs.PeerCertificates[0]
	intermediates := x509.NewCertPool()
	for _, c := range cs.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots:         pool,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return verifyError(err)
	}
	peer, err := identityOf(leaf)
	if err != nil {
		return err
	}
	if !slices.Contains(allowed, peer.Role) {
		return errors.Wrapf(ErrWrongRole, "%s %s", peer.Role, peer.Name)
	}
	return nil
}

// verifyError turns the library's errors into this package's.
func verifyError(err error) error {
	var invalid x509.CertificateInvalidError
	if errors.As(err, &invalid) && invalid.Reason == x509.Expired {
		return errors.Wrap(ErrExpired, err.Error())
	}
	return errors.Wrap(ErrAuthority, err.Error())
}

// Client does a client's handshake on a connection to the given host, an IP
// number, and checks that the peer's certificate is for it. The settings come
// from Store.Client, which can't know the address.
func Client(ctx context.Context, raw net.Conn, cfg *tls.Config, host string) (*tls.Conn, error) {
	conn := tls.Client(raw, cfg)
	if err := conn.HandshakeContext(ctx); err != nil {
		return nil, errors.Wrap(err, "keys: handshake")
	}
	certs := conn.ConnectionState().PeerCertificates
	if len(certs) == 0 {
		return nil, ErrNoCertificate
	}
	if err := certs[0].VerifyHostname(host); err != nil {
		return nil, errors.Wrap(ErrAddress, err.Error())
	}
	return conn, nil
}
