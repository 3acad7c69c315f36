package commands_test

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/amaranthctl/commands"
	"amaranthdock.dev/api/amaranthdock/operator/v1/operatorv1connect"
	"amaranthdock.dev/declaration"
	"amaranthdock.dev/settings"
	"amaranthdock.dev/timer"
)

// Expiry times of certificates, far in the past and in the future of any test run.
var (
	expired = time.Unix(1, 0)
	valid   = time.Unix(1<<33, 0)
)

// newAuthority writes the certificate of a new CA, and a certificate for 127.0.0.1
// that it signed with its key.
func newAuthority(notAfter time.Time) *settings.TLSFiles {
	GinkgoHelper()
	directory := GinkgoT().TempDir()
	write := func(name, kind string, der []byte, err error) string {
		Expect(err).NotTo(HaveOccurred())
		file := filepath.Join(directory, name)
		Expect(os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)).To(Succeed())
		return file
	}
	newKey := func() *ecdsa.PrivateKey {
		key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
		Expect(err).NotTo(HaveOccurred())
		return key
	}
	authority := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		NotAfter:              valid,
		IsCA:                  true,
		KeyUsage:              x509.KeyUsageCertSign,
		BasicConstraintsValid: true,
	}
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(2),
		NotAfter:     notAfter,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	authorityKey, key := newKey(), newKey()
	authorityDER, err := x509.CreateCertificate(rand.Reader, authority, authority, authorityKey.Public(), authorityKey)
	ca := write("ca.pem", "CERTIFICATE", authorityDER, err)
	leafDER, err := x509.CreateCertificate(rand.Reader, leaf, authority, key.Public(), authorityKey)
	certificate := write("certificate.pem", "CERTIFICATE", leafDER, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	return &settings.TLSFiles{
		CAFile:          ca,
		CertificateFile: certificate,
		KeyFile:         write("key.pem", "PRIVATE KEY", keyDER, err),
	}
}

// Guards against an operator listener that serves a client without a certificate of
// its CA, and against a client that accepts a proxy with a certificate of another CA.
//
// The text of the client's error depends on whether it reads the server's TLS alert
// before it writes. The table therefore also checks whether the proxy was called.
var _ = Describe("Mutual TLS", func() {
	DescribeTable("between amaranthctl and the operator listener",
		func(notAfter time.Time, arguments func(own, other *settings.TLSFiles) []string, code int, message string) {
			own, other := newAuthority(notAfter), newAuthority(valid)
			mux := http.NewServeMux()
			server := &fakeProxy{document: &declaration.Document{Version: 1}}
			mux.Handle(operatorv1connect.NewOperatorServiceHandler(server))
			listener := httptest.NewUnstartedServer(mux)
			config, err := own.Server()
			Expect(err).NotTo(HaveOccurred())
			listener.TLS = config
			listener.EnableHTTP2 = true
			listener.StartTLS()
			DeferCleanup(listener.Close)
			var output, errorOutput bytes.Buffer
			address := strings.TrimPrefix(listener.URL, "https://")
			got := commands.Run(commands.Config{
				Arguments: append([]string{"--proxy", address, "versions"}, arguments(own, other)...),
				Output:    &output,
				Errors:    &errorOutput,
				Timer:     timer.NewSystem(),
				Exit:      func(int) {},
			})
			Expect(got).To(Equal(code), errorOutput.String())
			Expect(output.String() + errorOutput.String()).To(ContainSubstring(message))
			Expect(server.versionCalls > 0).To(Equal(code == 0))
		},
		Entry("good certificate", valid, func(own, _ *settings.TLSFiles) []string {
			return []string{"--ca-file", own.CAFile, "--certificate-file", own.CertificateFile, "--key-file", own.KeyFile}
		}, 0, "vm-1"),
		Entry("no certificate", valid, func(own, _ *settings.TLSFiles) []string {
			return []string{"--ca-file", own.CAFile}
		}, 1, "proxy 127.0.0.1:"),
		Entry("certificate of another CA", valid, func(own, other *settings.TLSFiles) []string {
			return []string{"--ca-file", own.CAFile, "--certificate-file", other.CertificateFile, "--key-file", other.KeyFile}
		}, 1, "proxy 127.0.0.1:"),
		Entry("proxy with a certificate of another CA", valid, func(own, other *settings.TLSFiles) []string {
			return []string{"--ca-file", other.CAFile, "--certificate-file", own.CertificateFile, "--key-file", own.KeyFile}
		}, 1, "certificate signed by unknown authority"),
		Entry("proxy with an expired certificate", expired, func(own, other *settings.TLSFiles) []string {
			return []string{"--ca-file", own.CAFile, "--certificate-file", other.CertificateFile, "--key-file", other.KeyFile}
		}, 1, "certificate has expired"),
		Entry("connection without TLS", valid, func(_, _ *settings.TLSFiles) []string { return nil }, 1, "connected without TLS, because --ca-file is absent"),
	)
})
