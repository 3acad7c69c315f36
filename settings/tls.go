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
	// CAFile contains the certificate authorities that must have signed the peer's
	// certificate. A server with a CAFile requires client certificates.
	CAFile string `json:"caFile,omitempty" yaml:"caFile,omitempty"`
}

// Client returns the configuration of a client, which presents its certificate if it
// has one. A server's certificate must contain the dialed address.
func (f *TLSFiles) Client() (*tls.Config, error) {
	config, err := f.baseConfig()
	if err != nil {
		return nil, err
	}
	config.RootCAs = config.ClientCAs
	config.ClientCAs = nil
	return config, nil
}

// Server returns the configuration of a server, with mutual TLS if there is a CAFile.
func (f *TLSFiles) Server() (*tls.Config, error) {
	config, err := f.baseConfig()
	if err != nil {
		return nil, err
	}
	if config.ClientCAs != nil {
		config.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return config, nil
}

func (f *TLSFiles) baseConfig() (*tls.Config, error) {
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
	caCertificates, err := os.ReadFile(f.CAFile)
	if err != nil {
		return nil, eris.Wrap(err, "read the certificate authorities")
	}
	config.ClientCAs = x509.NewCertPool()
	if !config.ClientCAs.AppendCertsFromPEM(caCertificates) {
		return nil, eris.Errorf("%s contains no PEM certificate", f.CAFile)
	}
	return config, nil
}
