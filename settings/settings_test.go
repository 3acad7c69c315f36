package settings_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/base64"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

const validSettings = `vm: vm-1
dataCentre: s1
region: south
storeRegion: south
callerListen: 127.0.0.1:7100
peerListen: 127.0.0.1:7101
operatorListen: 127.0.0.1:7102
observeListen: 127.0.0.1:7103
platformAddress: 127.0.0.1:7200
seedPeers: [127.0.0.1:7111]
sessionKeyFile: session.keys
peerTls: {certificateFile: cert.pem, keyFile: key.pem, caFile: cert.pem}
logLevel: debug
`

const sessionKey = "0123456789abcdef0123456789abcdef"

// expectErrors expects an error that reports exactly these errors, one per line, with
// their positions. It guards against wrong settings that are accepted, and against
// errors that are reported one at a time or without their position.
func expectErrors(err error, messages []string) {
	GinkgoHelper()
	Expect(err).To(HaveOccurred())
	Expect(strings.Split(err.Error(), "\n")).To(HaveLen(len(messages)), err.Error())
	for _, message := range messages {
		Expect(err.Error()).To(ContainSubstring(message))
	}
}

func write(directory, name, content string) {
	GinkgoHelper()
	Expect(os.WriteFile(filepath.Join(directory, name), []byte(content), 0o600)).To(Succeed())
}

// writeCertificate writes a self-signed certificate for 127.0.0.1 and its key.
func writeCertificate(directory string) {
	GinkgoHelper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		NotBefore:             time.Unix(0, 0),
		NotAfter:              time.Date(2200, 1, 1, 0, 0, 0, 0, time.UTC),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:                  true,
		BasicConstraintsValid: true,
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	for name, block := range map[string]*pem.Block{
		"cert.pem": {
			Type:  "CERTIFICATE",
			Bytes: certificate,
		},
		"key.pem": {
			Type:  "PRIVATE KEY",
			Bytes: encoded,
		},
	} {
		write(directory, name, string(pem.EncodeToMemory(block)))
	}
}

var _ = Describe("Parse", func() {
	DescribeTable("reports the position of each error",
		func(old, replacement string, messages ...string) {
			Expect(validSettings).To(ContainSubstring(old))
			_, err := settings.Parse("s.yaml", []byte(strings.Replace(validSettings, old, replacement, 1)))
			expectErrors(err, messages)
		},
		Entry("unknown field", "logLevel:", "logLevl:", "s.yaml:13:1: logLevl: unknown field"),
		Entry("host name", "127.0.0.1:7200", "localhost:7200", "s.yaml:9:18: platformAddress:"),
		Entry("two errors", "dataCentre: s1\nregion: south", "dataCentre: \"\"\nregion: \"\"", "s.yaml:2:1: dataCentre: must be set", "s.yaml:3:1: region: must be set"),
		Entry("missing field", "vm: vm-1\n", "", "vm: must be set"),
		Entry("duplicate address", "127.0.0.1:7102", "127.0.0.1:7101", "operatorListen: must differ from peerListen"),
		Entry("peer TLS without certificate authorities", ", caFile: cert.pem", "", "peerTls.caFile: must be set"),
		Entry("unknown log level", "logLevel: debug", "logLevel: loud", "logLevel: must be one of"),
		Entry("negative memory", "[127.0.0.1:7111]", "[127.0.0.1:7111]\nmemoryMiB: -1", "memoryMiB: must not be"),
		Entry("seed with an unspecified address", "[127.0.0.1:7111]", "[0.0.0.0:7111]", "seedPeers[0]: must be"),
	)
})

var _ = DescribeTable("examples are valid",
	func(file string) {
		source, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		parsed, err := settings.Parse(file, source)
		Expect(err).NotTo(HaveOccurred())
		Expect(parsed.SeedPeers).To(HaveLen(6))
	},
	Entry(nil, "../examples/saltmyri/proxy.yaml"),
	Entry(nil, "../examples/hladnik/proxy.yaml"),
)

var _ = Describe("Load", func() {
	var directory, file string

	BeforeEach(func() {
		directory = GinkgoT().TempDir()
		file = filepath.Join(directory, "s.yaml")
		write(directory, "s.yaml", validSettings)
		write(directory, "session.keys", "# first\n"+base64.StdEncoding.EncodeToString([]byte(sessionKey))+"\n")
		writeCertificate(directory)
	})

	It("hides the session keys from logs and dumps", func() {
		loaded, err := settings.Load(file)
		Expect(err).NotTo(HaveOccurred())
		Expect([]byte(loaded.SessionKeys[0])).To(BeEquivalentTo(sessionKey))
		dump, err := json.Marshal(loaded.SessionKeys)
		Expect(err).NotTo(HaveOccurred())
		output := string(dump) + fmt.Sprintf("%v %+v %#v %x %s", loaded, loaded.SessionKeys, loaded.SessionKeys, loaded.SessionKeys, loaded.SessionKeys[0])
		Expect(output).NotTo(ContainSubstring(sessionKey))
		Expect(output).NotTo(ContainSubstring(base64.StdEncoding.EncodeToString([]byte(sessionKey))))
		Expect(output).NotTo(ContainSubstring(fmt.Sprintf("%x", sessionKey)))
	})

	It("rejects a peer without a certificate", func() {
		loaded, err := settings.Load(file)
		Expect(err).NotTo(HaveOccurred())
		listener, err := tls.Listen("tcp", "127.0.0.1:0", loaded.PeerServerTLS)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = listener.Close() }()
		results := make(chan error, 2)
		go func() {
			defer GinkgoRecover()
			for range 2 {
				connection, err := listener.Accept()
				Expect(err).NotTo(HaveOccurred())
				results <- connection.(*tls.Conn).Handshake()
				_ = connection.Close()
			}
		}()
		connection, err := tls.Dial("tcp", listener.Addr().String(), loaded.PeerClientTLS)
		Expect(err).NotTo(HaveOccurred())
		Expect(<-results).To(Succeed())
		Expect(connection.Close()).To(Succeed())

		anonymous := loaded.PeerClientTLS.Clone()
		anonymous.Certificates = nil
		connection, err = tls.Dial("tcp", listener.Addr().String(), anonymous)
		if err == nil {
			defer func() { _ = connection.Close() }()
		}
		Expect(<-results).To(HaveOccurred())
	})

	DescribeTable("reports errors in the named files",
		func(name, content string, message string) {
			write(directory, name, content)
			expectErrors(settings.Check(file), []string{message})
		},
		Entry("short key", "session.keys", "c2hvcnQ=", "sessionKeyFile: "),
		Entry("not base64", "session.keys", "!", "is not valid base64"),
		Entry("no key", "session.keys", "# none", "contains no session key"),
		Entry("no certificate", "cert.pem", "", "peerTls: load the certificate"),
	)
})
