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

// newAuthority writes an authority and a certificate for 127.0.0.1 signed by it.
func newAuthority() *settings.TLSFiles {
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
	// The certificate is its own authority, which is enough to be another one.
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

// serveTLS serves the handler as the listeners of the program do.
func serveTLS(files *settings.TLSFiles, path string, handler http.Handler) netip.AddrPort {
	GinkgoHelper()
	config, err := files.Server()
	Expect(err).NotTo(HaveOccurred())
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	s := newServer("test", netip.AddrPort{}, config, mux)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	ended := make(chan error, 1)
	go func() { ended <- s.http.ServeTLS(listener, "", "") }()
	DeferCleanup(func() {
		Expect(s.http.Close()).To(Succeed())
		Expect(<-ended).To(MatchError(http.ErrServerClosed))
	})
	return netip.MustParseAddrPort(listener.Addr().String())
}

// answering serves one call of each protocol; all others are not implemented.
type answering struct {
	calls *atomic.Int64

	operatorv1connect.UnimplementedOperatorServiceHandler
	peerv1connect.UnimplementedPeerServiceHandler
}

func (a answering) ListVersions(context.Context, *operatorv1.ListVersionsRequest) (*operatorv1.ListVersionsResponse, error) {
	a.calls.Add(1)
	return &operatorv1.ListVersionsResponse{}, nil
}

func (a answering) FetchConfiguration(context.Context, *peerv1.FetchConfigurationRequest) (*peerv1.FetchConfigurationResponse, error) {
	a.calls.Add(1)
	return &peerv1.FetchConfigurationResponse{}, nil
}

// The tables guard against listeners that serve a process which has no
// certificate of their authority, and against clients that trust any server.
var _ = Describe("Mutual TLS", func() {
	var (
		handler    answering
		own, other *settings.TLSFiles
	)
	BeforeEach(func() {
		handler = answering{calls: &atomic.Int64{}}
		own, other = newAuthority(), newAuthority()
	})
	// The text of the client's error depends on whether it reads the server's
	// alert before it writes, so that only the call's absence is compared.
	cases := func(call func(client *tls.Config) error) {
		GinkgoHelper()
		Expect(call(clientTLS(own))).To(Succeed())
		Expect(call(clientTLS(&settings.TLSFiles{CAFile: own.CAFile}))).NotTo(Succeed())
		Expect(call(clientTLS(&settings.TLSFiles{
			CAFile:          own.CAFile,
			CertificateFile: other.CertificateFile,
			KeyFile:         other.KeyFile,
		}))).NotTo(Succeed())
		Expect(call(clientTLS(other))).To(MatchError(ContainSubstring("unknown authority")))
		Expect(handler.calls.Load()).To(BeEquivalentTo(1))
	}

	It("protects the peer listener", func() {
		path, service := peerv1connect.NewPeerServiceHandler(handler)
		address := serveTLS(own, path, service)
		cases(func(client *tls.Config) error {
			clients := peer.NewClients(peer.ClientConfig{TLS: client})
			_, err := clients.Dial(address).FetchConfiguration(context.Background(), &peerv1.FetchConfigurationRequest{})
			return err
		})
	})

	It("protects the operator listener", func() {
		path, service := operatorv1connect.NewOperatorServiceHandler(handler)
		address := serveTLS(own, path, service)
		cases(func(client *tls.Config) error {
			http := peer.NewHTTPClient(peer.ClientConfig{TLS: client})
			_, err := operatorv1connect.NewOperatorServiceClient(http, "https://"+address.String()).
				ListVersions(context.Background(), &operatorv1.ListVersionsRequest{})
			return err
		})
	})
})
