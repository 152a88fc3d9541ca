package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"time"

	"github.com/go-faster/errors"
)

// selfSignedLifetime is short because these certificates are for the demo and tests only.
const selfSignedLifetime = 30 * 24 * time.Hour

// SelfSigned creates a self-signed certificate for the demo and tests, and a pool that
// trusts it. The hosts are names or IP addresses.
func SelfSigned(hosts ...string) (tls.Certificate, *x509.CertPool, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, nil, errors.Wrap(err, "keys: generate key")
	}
	serial, err := newSerial()
	if err != nil {
		return tls.Certificate{}, nil, err
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber:          serial,
		Subject:               pkix.Name{CommonName: "bergamotstall self-signed"},
		NotBefore:             now.Add(-clockSkew),
		NotAfter:              now.Add(selfSignedLifetime),
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
		BasicConstraintsValid: true,
		IsCA:                  true,
	}
	for _, h := range hosts {
		if ip := net.ParseIP(h); ip != nil {
			template.IPAddresses = append(template.IPAddresses, ip)
			continue
		}
		template.DNSNames = append(template.DNSNames, h)
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return tls.Certificate{}, nil, errors.Wrap(err, "keys: sign certificate")
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		return tls.Certificate{}, nil, errors.Wrap(err, "keys: parse certificate")
	}
	pool := x509.NewCertPool()
	pool.AddCert(leaf)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key, Leaf: leaf}, pool, nil
}

// newSerial returns a random positive certificate serial number of 127 bits.
func newSerial() (*big.Int, error) {
	limit := new(big.Int).Lsh(big.NewInt(1), 127)
	n, err := rand.Int(rand.Reader, limit)
	if err != nil {
		return nil, errors.Wrap(err, "keys: generate serial number")
	}
	return n, nil
}

// WritePEM writes a certificate chain and its key to two files, the key readable
// by their owner only.
func WritePEM(cert tls.Certificate, certificate, key string) error {
	var chain []byte
	for _, der := range cert.Certificate {
		chain = append(chain, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})...)
	}
	der, err := x509.MarshalPKCS8PrivateKey(cert.PrivateKey)
	if err != nil {
		return errors.Wrap(err, "keys: encode key")
	}
	if err := os.WriteFile(certificate, chain, certMode); err != nil {
		return errors.Wrap(err, "keys: write certificate")
	}
	if err := os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der}), keyMode); err != nil {
		return errors.Wrap(err, "keys: write key")
	}
	return nil
}
