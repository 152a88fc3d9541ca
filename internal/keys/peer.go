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

// Reasons to refuse a peer. Each has a counter, tls_refused_ followed by its Reason.
var (
	ErrNoCertificate = errors.New("keys: peer sent no certificate")
	ErrExpired       = errors.New("keys: peer's certificate has expired or isn't valid yet")
	ErrAuthority     = errors.New("keys: peer's certificate isn't signed by a trusted authority")
	ErrIdentity      = errors.New("keys: peer's certificate contains no known role")
	ErrWrongRole     = errors.New("keys: peer's role isn't allowed here")
	ErrAddress       = errors.New("keys: peer's certificate is for another address")
)

// Peer is the holder of a certificate.
type Peer struct {
	Role Role
	Name string
}

// Reason returns the name of the error in the metric tls_refused_.
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

// PeerOf returns the peer of a connection whose certificate was verified by a Store's
// configuration.
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

// verify checks a peer's chain against the pool and its role against the allowed ones. It
// replaces the check of crypto/tls and is as strict. The pool of crypto/tls can't be
// changed, so that a new authority would require a restart of every process.
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

// verifyError maps errors of crypto/x509 to this package's errors.
func verifyError(err error) error {
	var invalid x509.CertificateInvalidError
	if errors.As(err, &invalid) && invalid.Reason == x509.Expired {
		return errors.Wrap(ErrExpired, err.Error())
	}
	return errors.Wrap(ErrAuthority, err.Error())
}

// Client runs a client's handshake on a connection to host, an IP address, and checks that
// the peer's certificate is valid for it. The configuration comes from Store.Client, which
// can't check the address because it doesn't know it.
func Client(ctx context.Context, raw net.Conn, cfg *tls.Config, host string) (*tls.Conn, error) {
	conn := tls.Client(raw, cfg)
	if err := conn.HandshakeContext(ctx); err != nil {
		return nil, errors.Wrap(err, "keys: TLS handshake")
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
