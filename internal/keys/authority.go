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

// Role is what a certificate's holder may act as.
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
	// authorityLife is long, because changing the authority touches every VM.
	authorityLife = 10 * 365 * 24 * time.Hour
	// certificateLife leaves room for a yearly renewal that comes late.
	certificateLife = 400 * 24 * time.Hour

	authorityCert = "ca.crt"
	authorityKey  = "ca.key"

	keyMode    = 0o600
	certMode   = 0o644
	folderMode = 0o700

	pemCertificate = "CERTIFICATE"
	pemKey         = "PRIVATE KEY"

	// identityScheme begins the URI in a certificate that holds role and name.
	identityScheme = "bergamotstall"
)

// Errors of making certificates.
var (
	ErrExists      = errors.New("keys: the folder holds an authority already")
	ErrNoAuthority = errors.New("keys: the folder holds no authority; make one with keys init")
	ErrRole        = errors.New("keys: no such role")
	ErrName        = errors.New("keys: a name is 1 to 64 letters, digits, dots, dashes and underscores")
)

var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// Files are the paths of a process's certificate and key and of the authority
// that it trusts. The authority's file may hold several certificates.
type Files struct {
	Authority   string
	Certificate string
	Key         string
}

// Init makes a certificate authority in the folder. It never replaces one: all
// certificates issued so far would be refused from then on.
func Init(folder string) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return errors.Wrap(err, "keys: make folder")
	}
	for _, name := range []string{authorityCert, authorityKey} {
		if _, err := os.Stat(filepath.Join(folder, name)); err == nil {
			return ErrExists
		}
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "keys: generate")
	}
	template, err := newTemplate("bergamotstall authority", time.Now(), authorityLife)
	if err != nil {
		return err
	}
	template.IsCA = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return errors.Wrap(err, "keys: sign")
	}
	return writePair(filepath.Join(folder, authorityCert), filepath.Join(folder, authorityKey), der, key)
}

// Issue makes a certificate and key for a process or an operator, named
// ROLE-NAME.crt and ROLE-NAME.key in the folder. One that exists is renewed.
// The addresses are those that others reach the process by.
func Issue(folder string, role Role, name string, ips ...net.IP) (Files, error) {
	return issue(folder, role, name, ips, time.Now(), certificateLife)
}

func issue(folder string, role Role, name string, ips []net.IP, from time.Time, life time.Duration) (Files, error) {
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
		return Files{}, errors.Wrap(err, "keys: generate")
	}
	template, err := newTemplate(name, from, life)
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
		return Files{}, errors.Wrap(err, "keys: sign")
	}
	base := filepath.Join(folder, string(role)+"-"+name)
	files := Files{Authority: filepath.Join(folder, authorityCert), Certificate: base + ".crt", Key: base + ".key"}
	return files, writePair(files.Certificate, files.Key, der, key)
}

func newTemplate(name string, from time.Time, life time.Duration) (*x509.Certificate, error) {
	serial, err := newSerial()
	if err != nil {
		return nil, err
	}
	return &x509.Certificate{
		SerialNumber:          serial,
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             from.Add(-clockSkew),
		NotAfter:              from.Add(life),
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
		return nil, nil, errors.New("keys: authority's files are no PEM")
	}
	cert, err := x509.ParseCertificate(certBlock.Bytes)
	if err != nil {
		return nil, nil, errors.Wrap(err, "keys: authority")
	}
	parsed, err := x509.ParsePKCS8PrivateKey(keyBlock.Bytes)
	if err != nil {
		return nil, nil, errors.Wrap(err, "keys: authority's key")
	}
	key, ok := parsed.(*ecdsa.PrivateKey)
	if !ok {
		return nil, nil, errors.New("keys: authority's key is no ECDSA key")
	}
	return cert, key, nil
}

// writePair writes the key first: a certificate without its key would be taken
// for a finished renewal.
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
