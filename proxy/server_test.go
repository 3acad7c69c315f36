package main

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/api/amaranthdock/operator/v1/operatorv1connect"
	"amaranthdock.dev/api/amaranthdock/peer/v1/peerv1connect"
	"amaranthdock.dev/proxy/peer"
	"amaranthdock.dev/settings"

	operatorv1 "amaranthdock.dev/api/amaranthdock/operator/v1"
	peerv1 "amaranthdock.dev/api/amaranthdock/peer/v1"
)

func TestServer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "proxy")
}

// newCertificateAuthority writes the files of a certificate for 127.0.0.1 that is its
// own certificate authority.
func newCertificateAuthority() *settings.TLSFiles {
	GinkgoHelper()
	directory := GinkgoT().TempDir()
	write := func(name, kind string, der []byte, err error) string {
		Expect(err).NotTo(HaveOccurred())
		file := filepath.Join(directory, name)
		Expect(os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)).To(Succeed())
		return file
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	// Two such self-signed certificates do not trust each other, which is all that
	// the tests need.
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		NotAfter:              time.Unix(1<<33, 0),
		IsCA:                  true,
		KeyUsage:              x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		BasicConstraintsValid: true,
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	certificate := write("certificate.pem", "CERTIFICATE", der, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	return &settings.TLSFiles{
		CAFile:          certificate,
		CertificateFile: certificate,
		KeyFile:         write("key.pem", "PRIVATE KEY", keyDER, err),
	}
}

func clientTLS(files *settings.TLSFiles) *tls.Config {
	GinkgoHelper()
	config, err := files.Client()
	Expect(err).NotTo(HaveOccurred())
	return config
}

// serveTLS serves a handler in the same way as the listeners of the program.
func serveTLS(files *settings.TLSFiles, path string, handler http.Handler) netip.AddrPort {
	GinkgoHelper()
	config, err := files.Server()
	Expect(err).NotTo(HaveOccurred())
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	s := newServer("test", netip.AddrPort{}, config, mux)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	serveErr := make(chan error, 1)
	go func() { serveErr <- s.http.ServeTLS(listener, "", "") }()
	DeferCleanup(func() {
		Expect(s.http.Close()).To(Succeed())
		Expect(<-serveErr).To(MatchError(http.ErrServerClosed))
	})
	return netip.MustParseAddrPort(listener.Addr().String())
}

// countingHandler implements one call of each protocol and counts the calls that reach
// it.
type countingHandler struct {
	calls *atomic.Int64

	operatorv1connect.UnimplementedOperatorServiceHandler
	peerv1connect.UnimplementedPeerServiceHandler
}

func (h countingHandler) ListVersions(context.Context, *operatorv1.ListVersionsRequest) (*operatorv1.ListVersionsResponse, error) {
	h.calls.Add(1)
	return &operatorv1.ListVersionsResponse{}, nil
}

func (h countingHandler) FetchConfiguration(context.Context, *peerv1.FetchConfigurationRequest) (*peerv1.FetchConfigurationResponse, error) {
	h.calls.Add(1)
	return &peerv1.FetchConfigurationResponse{}, nil
}

// The specs guard against listeners that accept clients without a certificate of the
// trusted authority, and against clients that trust any server.
var _ = Describe("Mutual TLS", func() {
	var (
		handler            countingHandler
		trusted, untrusted *settings.TLSFiles
	)
	BeforeEach(func() {
		handler = countingHandler{calls: &atomic.Int64{}}
		trusted, untrusted = newCertificateAuthority(), newCertificateAuthority()
	})
	// expectMutualTLS makes calls with and without trusted certificates, and checks
	// that only the first one reaches the handler. It does not compare the text of
	// rejected clients' errors, which depends on whether the client reads the server's
	// TLS alert before it writes.
	expectMutualTLS := func(call func(client *tls.Config) error) {
		GinkgoHelper()
		Expect(call(clientTLS(trusted))).To(Succeed())
		Expect(call(clientTLS(&settings.TLSFiles{CAFile: trusted.CAFile}))).NotTo(Succeed())
		Expect(call(clientTLS(&settings.TLSFiles{
			CAFile:          trusted.CAFile,
			CertificateFile: untrusted.CertificateFile,
			KeyFile:         untrusted.KeyFile,
		}))).NotTo(Succeed())
		Expect(call(clientTLS(untrusted))).To(MatchError(ContainSubstring("unknown authority")))
		Expect(handler.calls.Load()).To(BeEquivalentTo(1))
	}

	It("protects the peer listener", func() {
		path, service := peerv1connect.NewPeerServiceHandler(handler)
		address := serveTLS(trusted, path, service)
		expectMutualTLS(func(client *tls.Config) error {
			clients := peer.NewClients(peer.ClientConfig{TLS: client})
			_, err := clients.Dial(address).FetchConfiguration(context.Background(), &peerv1.FetchConfigurationRequest{})
			return err
		})
	})

	It("protects the operator listener", func() {
		path, service := operatorv1connect.NewOperatorServiceHandler(handler)
		address := serveTLS(trusted, path, service)
		expectMutualTLS(func(client *tls.Config) error {
			http := peer.NewHTTPClient(peer.ClientConfig{TLS: client})
			_, err := operatorv1connect.NewOperatorServiceClient(http, "https://"+address.String()).
				ListVersions(context.Background(), &operatorv1.ListVersionsRequest{})
			return err
		})
	})
})
