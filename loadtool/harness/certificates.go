package harness

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"amaranthdock.dev/timer"
)

// certificateLifetime is far longer than any run.
const certificateLifetime = 24 * time.Hour

// Certificates holds the files of a certificate authority and of one certificate that is
// valid for all addresses. They are created for one run.
type Certificates struct {
	CAFile          string
	CertificateFile string
	KeyFile         string
}

// CertificateConfig configures CreateCertificates.
type CertificateConfig struct {
	Dir       string
	Addresses []netip.Addr
	Timer     timer.Service
}

// CreateCertificates creates a certificate authority and a certificate signed by it, and
// writes them to files.
func CreateCertificates(config CertificateConfig) (*Certificates, error) {
	now := config.Timer.Now()
	authorityKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "harness: generate the authority's key")
	}
	authority := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject: pkix.Name{
			CommonName: "amaranthdock test authority",
		},
		NotBefore:             now.Add(-time.Hour),
		NotAfter:              now.Add(certificateLifetime),
		IsCA:                  true,
		KeyUsage:              x509.KeyUsageCertSign,
		BasicConstraintsValid: true,
	}
	authorityDER, err := x509.CreateCertificate(rand.Reader, authority, authority, authorityKey.Public(), authorityKey)
	if err != nil {
		return nil, eris.Wrap(err, "harness: create the authority's certificate")
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "harness: generate a key")
	}
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(2),
		Subject: pkix.Name{
			CommonName: "amaranthdock test",
		},
		NotBefore:   now.Add(-time.Hour),
		NotAfter:    now.Add(certificateLifetime),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses: ipAddresses(config.Addresses),
	}
	leafDER, err := x509.CreateCertificate(rand.Reader, leaf, authority, key.Public(), authorityKey)
	if err != nil {
		return nil, eris.Wrap(err, "harness: create a certificate")
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, eris.Wrap(err, "harness: marshal the key")
	}
	files := &Certificates{
		CAFile:          filepath.Join(config.Dir, "ca.pem"),
		CertificateFile: filepath.Join(config.Dir, "certificate.pem"),
		KeyFile:         filepath.Join(config.Dir, "key.pem"),
	}
	if err := writePEM(files.CAFile, "CERTIFICATE", authorityDER); err != nil {
		return nil, err
	}
	if err := writePEM(files.CertificateFile, "CERTIFICATE", leafDER); err != nil {
		return nil, err
	}
	if err := writePEM(files.KeyFile, "PRIVATE KEY", keyDER); err != nil {
		return nil, err
	}
	return files, nil
}

func ipAddresses(addresses []netip.Addr) []net.IP {
	ips := make([]net.IP, 0, len(addresses))
	for _, a := range addresses {
		ips = append(ips, a.AsSlice())
	}
	return ips
}

func writePEM(file, kind string, der []byte) error {
	block := pem.EncodeToMemory(&pem.Block{
		Type:  kind,
		Bytes: der,
	})
	if err := os.WriteFile(file, block, 0o600); err != nil {
		return eris.Wrapf(err, "harness: write %s", file)
	}
	return nil
}
