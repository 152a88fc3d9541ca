package keys

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"bergamotstall/internal/events"
	"bergamotstall/internal/metrics"
)

// Errors of a process's own files.
var (
	ErrFiles                 = errors.New("keys: can't use the certificate files")
	ErrOwnCertificateExpired = errors.New("keys: own certificate has expired or isn't valid yet")
)

// Store holds a process's certificate and the authorities that it trusts. It provides TLS
// configurations that follow the files: a renewed certificate is used from the next
// handshake on, without a restart.
type Store struct {
	files   Files
	log     logrus.FieldLogger
	metrics *metrics.Set

	mu          sync.RWMutex
	certificate *tls.Certificate
	pool        *x509.CertPool
	self        Peer
	modifiedAt  [3]time.Time
}

// Load reads the files and checks the certificate against the key and the authorities.
func Load(files Files, log logrus.FieldLogger, m *metrics.Set) (*Store, error) {
	s := &Store{files: files, log: log, metrics: m}
	if err := s.Reload(); err != nil {
		return nil, err
	}
	m.Gauge("tls_certificate_expires_unix", func() int64 {
		s.mu.RLock()
		defer s.mu.RUnlock()
		return s.certificate.Leaf.NotAfter.Unix()
	})
	return s, nil
}

// Self returns the role and name in the process's own certificate.
func (s *Store) Self() Peer {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.self
}

// Reload reads the files again. After an error the current certificate stays in use.
func (s *Store) Reload() error {
	modified := s.modificationTimes()
	cert, err := tls.LoadX509KeyPair(s.files.Certificate, s.files.Key)
	if err != nil {
		return errors.Wrap(ErrFiles, err.Error())
	}
	authority, err := os.ReadFile(s.files.Authority)
	if err != nil {
		return errors.Wrap(ErrFiles, err.Error())
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return errors.Wrapf(ErrFiles, "no certificate in %s", s.files.Authority)
	}
	self, err := verifyOwn(cert.Leaf, pool)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.certificate, s.pool, s.self, s.modifiedAt = &cert, pool, self, modified
	return nil
}

// verifyOwn checks the process's own certificate as its peers do, so that an invalid one
// is found at the start.
func verifyOwn(leaf *x509.Certificate, pool *x509.CertPool) (Peer, error) {
	_, err := leaf.Verify(x509.VerifyOptions{Roots: pool, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}})
	if err != nil {
		if errors.Is(verifyError(err), ErrExpired) {
			return Peer{}, errors.Wrap(ErrOwnCertificateExpired, err.Error())
		}
		return Peer{}, errors.Wrap(ErrFiles, err.Error())
	}
	return identityOf(leaf)
}

func (s *Store) modificationTimes() [3]time.Time {
	var out [3]time.Time
	for i, path := range []string{s.files.Authority, s.files.Certificate, s.files.Key} {
		if info, err := os.Stat(path); err == nil {
			out[i] = info.ModTime()
		}
	}
	return out
}

// Watch reloads the files when they change, until ctx is done.
func (s *Store) Watch(ctx context.Context, every time.Duration) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.reloadIfChanged()
		}
	}
}

func (s *Store) reloadIfChanged() {
	now := s.modificationTimes()
	s.mu.RLock()
	unchanged := now == s.modifiedAt
	s.mu.RUnlock()
	if unchanged {
		return
	}
	if err := s.Reload(); err != nil {
		// The reload may have fallen between a renewal's writes of the certificate and of the
		// key. The next check may succeed.
		s.metrics.Counter("tls_reload_errors").Add(1)
		events.Log(s.log, events.CertificateUnusable, logrus.Fields{"file": s.files.Certificate, "error": err})
		return
	}
	s.metrics.Counter("tls_reloads").Add(1)
	events.Log(s.log, events.CertificateReloaded, logrus.Fields{"file": s.files.Certificate})
}

// Server returns a configuration for a listener that accepts the given roles.
func (s *Store) Server(allowed ...Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// VerifyConnection checks the chain against the current authorities.
		ClientAuth: tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return s.current(), nil
		},
		VerifyConnection: s.verifier(allowed),
	}
}

// Client returns a configuration for connections to peers of the given roles. Use it with
// the function Client, which also checks the address.
func (s *Store) Client(allowed ...Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// This disables only the check of crypto/tls. verify checks the same against the
		// current authorities, and also checks the role.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return s.current(), nil
		},
		VerifyConnection: s.verifier(allowed),
	}
}

func (s *Store) current() *tls.Certificate {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.certificate
}

// verifier returns a function that checks peers and counts the refused ones. It also runs
// for resumed sessions, so that a session ticket can't be used after the certificate has
// expired.
func (s *Store) verifier(allowed []Role) func(tls.ConnectionState) error {
	return func(cs tls.ConnectionState) error {
		s.mu.RLock()
		pool := s.pool
		s.mu.RUnlock()
		err := verify(cs, pool, allowed)
		if err != nil {
			s.metrics.Counter("tls_refused_" + Reason(err)).Add(1)
			events.Log(s.log, events.PeerRefused, logrus.Fields{"error": err})
		}
		return err
	}
}
