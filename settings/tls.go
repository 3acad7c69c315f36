package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/rotisserie/eris"
)

// TLSFiles names the PEM files of a listener or client.
type TLSFiles struct {
	CertificateFile string `json:"certificateFile" yaml:"certificateFile"`
	KeyFile         string `json:"keyFile" yaml:"keyFile"`
	// CAFile has the authorities that the other side must be signed by. A
	// server with a CAFile requires client certificates.
	CAFile string `json:"caFile,omitempty" yaml:"caFile,omitempty"`
}

// Client returns the configuration of a client that shows its certificate if it
// has one. Servers must have the address that is dialed in their certificate.
func (f *TLSFiles) Client() (*tls.Config, error) {
	config, err := f.load()
	if err != nil {
		return nil, err
	}
	config.RootCAs = config.ClientCAs
	config.ClientCAs = nil
	return config, nil
}

// Server returns the configuration of a server, mutual if there is a CAFile.
func (f *TLSFiles) Server() (*tls.Config, error) {
	config, err := f.load()
	if err != nil {
		return nil, err
	}
	if config.ClientCAs != nil {
		config.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return config, nil
}

func (f *TLSFiles) load() (*tls.Config, error) {
	config := &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2", "http/1.1"},
	}
	if f.CertificateFile != "" || f.KeyFile != "" {
		certificate, err := tls.LoadX509KeyPair(f.CertificateFile, f.KeyFile)
		if err != nil {
			return nil, eris.Wrap(err, "load the certificate and its key")
		}
		config.Certificates = []tls.Certificate{certificate}
	}
	if f.CAFile == "" {
		return config, nil
	}
	authorities, err := os.ReadFile(f.CAFile)
	if err != nil {
		return nil, eris.Wrap(err, "read the certificate authorities")
	}
	config.ClientCAs = x509.NewCertPool()
	if !config.ClientCAs.AppendCertsFromPEM(authorities) {
		return nil, eris.Errorf("%s holds no PEM certificate", f.CAFile)
	}
	return config, nil
}
