package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/renameio/v2"
)

// Role is the role of a process or operator in its certificate.
type Role string

// The roles of certificates.
const (
	Balancer Role = "balancer"
	Agent    Role = "agent"
	Control  Role = "control"
	Operator Role = "operator"
)

// Roles returns every role.
func Roles() []Role { return []Role{Balancer, Agent, Control, Operator} }

const (
	// authorityLifetime is long, because a new authority has to be installed on every VM.
	authorityLifetime = 10 * 365 * 24 * time.Hour
	// certificateLifetime allows for a yearly renewal that is a month late.
	certificateLifetime = 400 * 24 * time.Hour

	authorityCert = "ca.crt"
	authorityKey  = "ca.key"

	keyMode    = 0o600
	certMode   = 0o644
	folderMode = 0o700

	pemCertificate = "CERTIFICATE"
	pemKey         = "PRIVATE KEY"

	// identityScheme is the scheme of the certificate's URI that holds role and name.
	identityScheme = "bergamotstall"
)

// Errors of Init and Issue.
var (
	ErrExists      = errors.New("keys: the folder already contains an authority")
	ErrNoAuthority = errors.New("keys: the folder contains no authority; create one with keys init")
	ErrRole        = errors.New("keys: unknown role")
	ErrName        = errors.New("keys: a name must have 1 to 64 letters, digits, dots, dashes and underscores, and start with a letter or digit")
)

var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// Files holds the paths of a process's certificate and key and of the certificate
// authorities that it trusts. The Authority file may hold several certificates.
type Files struct {
	Authority   string
	Certificate string
	Key         string
}

// Init creates a certificate authority in the folder. It returns ErrExists instead of
// replacing one, since all certificates issued by the old one would become invalid.
func Init(folder string) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return errors.Wrap(err, "keys: create folder")
	}
	for _, name := range []string{authorityCert, authorityKey} {
		if _, err := os.Stat(filepath.Join(folder, name)); err == nil {
			return ErrExists
		}
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "keys: generate key")
	}
	template, err := newTemplate("bergamotstall authority", time.Now(), authorityLifetime)
	if err != nil {
		return err
	}
	template.IsCA = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return errors.Wrap(err, "keys: sign certificate")
	}
	return writePair(filepath.Join(folder, authorityCert), filepath.Join(folder, authorityKey), der, key)
}

// Issue creates a certificate and key for a process or an operator, named ROLE-NAME.crt
// and ROLE-NAME.key in the folder. An existing one is renewed. The IPs are the addresses
// at which others reach the process.
func Issue(folder string, role Role, name string, ips ...net.IP) (Files, error) {
	return issue(folder, role, name, ips, time.Now(), certificateLifetime)
}

func issue(folder string, role Role, name string, ips []net.IP, from time.Time, lifetime time.Duration) (Files, error) {
	if !slices.Contains(Roles(), role) {
		return Files{}, errors.Wrapf(ErrRole, "%q", role)
	}
	if !validName.MatchString(name) {
		return Files{}, errors.Wrapf(ErrName, "%q", name)
	}
	authority, signer, err := loadAuthority(folder)
	if err != nil {
		return Files{}, err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Files{}, errors.Wrap(err, "keys: generate key")
	}
	template, err := newTemplate(name, from, lifetime)
	if err != nil {
		return Files{}, err
	}
	template.Subject.OrganizationalUnit = []string{string(role)}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.URIs = []*url.URL{{Scheme: identityScheme, Host: string(role), Path: "/" + name}}
	template.IPAddresses = ips
	der, err := x509.CreateCertificate(rand.Reader, template, authority, &key.PublicKey, signer)
	if err != nil {
		return Files{}, errors.Wrap(err, "keys: sign certificate")
	}
	base := filepath.Join(folder, string(role)+"-"+name)
	files := Files{Authority: filepath.Join(folder, authorityCert), Certificate: base + ".crt", Key: base + ".key"}
	return files, writePair(files.Certificate, files.Key, der, key)
}

func newTemplate(name string, from time.Time, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := newSerial()
	if err != nil {
		return nil, err
	}
	return &x509.Certificate{
		SerialNumber:          serial,
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             from.Add(-clockSkew),
		NotAfter:              from.Add(lifetime),
		BasicConstraintsValid: true,
	}, nil
}

func loadAuthority(folder string) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	certPEM, err := os.ReadFile(filepath.Join(folder, authorityCert))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil, ErrNoAuthority
	}
	if err != nil {
		return nil, nil, errors.Wrap(err, "keys: read authority")
	}
	keyPEM, err := os.ReadFile(filepath.Join(folder, authorityKey))
	if err != nil {
		return nil, nil, errors.Wrap(err, "keys: read authority's key")
	}
	certBlock, _ := pem.Decode(certPEM)
	keyBlock, _ := pem.Decode(keyPEM)
	if certBlock == nil || keyBlock == nil {
		return nil, nil, errors.New("keys: authority's files aren't PEM")
	}
	cert, err := x509.ParseCertificate(certBlock.Bytes)
	if err != nil {
		return nil, nil, errors.Wrap(err, "keys: parse authority")
	}
	parsed, err := x509.ParsePKCS8PrivateKey(keyBlock.Bytes)
	if err != nil {
		return nil, nil, errors.Wrap(err, "keys: parse authority's key")
	}
	key, ok := parsed.(*ecdsa.PrivateKey)
	if !ok {
		return nil, nil, errors.New("keys: authority's key isn't an ECDSA key")
	}
	return cert, key, nil
}

// writePair writes the key first: a new certificate without its key would look like a
// finished renewal.
func writePair(certPath, keyPath string, der []byte, key *ecdsa.PrivateKey) error {
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return errors.Wrap(err, "keys: encode key")
	}
	keyPEM := pem.EncodeToMemory(&pem.Block{Type: pemKey, Bytes: keyDER})
	if err := renameio.WriteFile(keyPath, keyPEM, keyMode); err != nil {
		return errors.Wrap(err, "keys: write key")
	}
	certPEM := pem.EncodeToMemory(&pem.Block{Type: pemCertificate, Bytes: der})
	if err := renameio.WriteFile(certPath, certPEM, certMode); err != nil {
		return errors.Wrap(err, "keys: write certificate")
	}
	return nil
}
