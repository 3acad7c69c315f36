// Package callers_test starts the program of the own interface with small limits and with crowds of
// callers that use HTTP in legal and illegal ways. It checks that the process lives, that its memory
// and descriptors stay within its limits, and that an ordinary request is answered afterwards. It
// checks no times and no share of answered requests.
package callers_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/procfs"
	"google.golang.org/protobuf/proto"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
	"amaranthdock.dev/api/amaranthdock/caller/v1/callerv1connect"
	"amaranthdock.dev/client"
	"amaranthdock.dev/loadtool/harness"
	"amaranthdock.dev/timer"
)

// The limits of the process, which nothing enforces on a machine that runs tests, and the crowds.
// Their sizes were chosen so that the program without limits fails.
const (
	memoryMiB      = 128
	maxDescriptors = 460

	connections       = 40
	streams           = 10
	idleConnections   = 600
	oversizedLength   = 16 << 20
	messageLength     = 1000 << 10
	rowLength         = 900 << 10
	headerConnections = 60
	headerLength      = 900 << 10

	crowdTime    = 6 * time.Second
	serveTimeout = 30 * time.Second
	subnet       = 77
)

func TestCallers(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "faults: callers")
}

// deployment is a running deployment with one VM.
type deployment struct {
	*harness.Deployment
	vm       *harness.VM
	database string
	// key is the key of the crowds' workspace, otherKey that of another workspace.
	key      string
	otherKey string
	baseURL  string
	crowds   []*http.Transport
}

// build builds the programs once.
var build = sync.OnceValues(func() (string, error) {
	directory, err := os.MkdirTemp("", "amaranthdock-callers-bin-")
	if err != nil {
		return "", err
	}
	for _, arguments := range [][]string{
		{"build", "-o", filepath.Join(directory, "amaranthdock"), "./proxy"},
		{"build", "-o", directory + "/", "./amaranthctl", "./standin"},
	} {
		command := exec.Command("go", arguments...)
		command.Dir = filepath.Join("..", "..", "..")
		command.Stdout, command.Stderr = GinkgoWriter, GinkgoWriter
		if err := command.Run(); err != nil {
			return "", err
		}
	}
	return directory, nil
})

var _ = AfterSuite(func() {
	if directory, err := build(); err == nil {
		Expect(os.RemoveAll(directory)).To(Succeed())
	}
})

// start starts a deployment and waits until it serves an ordinary request.
func start(ctx context.Context) *deployment {
	GinkgoHelper()
	programs, err := build()
	Expect(err).NotTo(HaveOccurred())
	spec := harness.Saltmyri()
	spec.Databases = spec.Databases[:1]
	spec.VMs = []string{"olfusa"}
	spec.Workspaces = spec.Workspaces[:2]
	for i := range spec.Workspaces {
		spec.Workspaces[i].Rate, spec.Workspaces[i].Burst = 5000, 5000
	}
	d := &deployment{database: spec.Databases[0]}
	d.Deployment, err = harness.Start(ctx, harness.Config{
		Spec:       spec,
		BinDir:     programs,
		WorkDir:    GinkgoT().TempDir(),
		Subnet:     subnet,
		VMSettings: vmSettings,
		// The crowds connect to the listener for VMs, too.
		DisablePeerTLS: true,
		Timer:          timer.NewSystem(),
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		for _, c := range d.crowds {
			c.CloseIdleConnections()
		}
		d.Stop()
	})
	d.vm = d.VMs[0]
	d.baseURL = "http://" + d.vm.Caller.String()
	declared := d.NewDeclaration()
	d.key, d.otherKey = declared.Keys[spec.Workspaces[0].Name], declared.Keys[spec.Workspaces[1].Name]
	Expect(d.Apply(ctx, declared)).To(Succeed())
	d.expectServed(ctx)
	return d
}

// vmSettings are the settings of the limits.
var vmSettings = fmt.Sprintf("memoryMiB: %d\nmaxDescriptors: %d\n", memoryMiB, maxDescriptors)

// execute runs a statement as an ordinary caller of the crowds' workspace.
func (d *deployment) execute(ctx context.Context, statement client.Statement) error {
	return d.executeAs(ctx, d.key, statement)
}

// executeAs runs a statement with a key.
func (d *deployment) executeAs(ctx context.Context, key string, statement client.Statement) error {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	c, err := client.New(client.Config{
		BaseURL:    d.baseURL,
		HTTPClient: &http.Client{Transport: transport},
		Key:        key,
	})
	Expect(err).NotTo(HaveOccurred())
	statement.Database = d.database
	_, err = c.Execute(ctx, statement)
	return err
}

func (d *deployment) expectServed(ctx context.Context) {
	GinkgoHelper()
	Eventually(func() error {
		return d.execute(ctx, client.Statement{
			Command:   "put",
			Arguments: []string{"key", "value"},
			Write:     true,
		})
	}).WithTimeout(serveTimeout).WithPolling(100 * time.Millisecond).Should(Succeed())
}

// check checks the process while the crowd is still connected.
func (d *deployment) check(ctx context.Context) {
	GinkgoHelper()
	d.expectServed(ctx)
	Expect(d.vm.Done()).NotTo(BeClosed())
	peak := d.peakMiB()
	AddReportEntry("peak of resident memory in MiB", peak)
	fmt.Fprintf(GinkgoWriter, "The peak of resident memory was %d MiB of %d MiB.\n", peak, memoryMiB)
	Expect(peak).To(BeNumerically("<=", memoryMiB), "the peak of resident memory in MiB")
	Expect(d.descriptors()).To(BeNumerically("<=", maxDescriptors))
}

// peakMiB returns the peak of the resident memory of the VM.
func (d *deployment) peakMiB() int {
	GinkgoHelper()
	status, err := d.process().NewStatus()
	Expect(err).NotTo(HaveOccurred())
	Expect(status.VmHWM).NotTo(BeZero())
	return int(status.VmHWM >> 20)
}

func (d *deployment) descriptors() int {
	GinkgoHelper()
	descriptors, err := d.process().FileDescriptorsLen()
	Expect(err).NotTo(HaveOccurred())
	return descriptors
}

func (d *deployment) process() procfs.Proc {
	GinkgoHelper()
	process, err := procfs.NewProc(d.vm.PID())
	Expect(err).NotTo(HaveOccurred())
	return process
}

// transport returns the HTTP/2 transport of one connection of a crowd.
func (d *deployment) transport() *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	t := &http.Transport{
		Protocols: protocols,
		// The rows of the crowds would be much shorter when compressed.
		DisableCompression: true,
	}
	d.crowds = append(d.crowds, t)
	return t
}

// crowd sends requests over many connections with many streams each, until all are answered or
// their time is over. The responses are read only if read is set.
func (d *deployment) crowd(ctx context.Context, method string, body func() io.Reader, read bool) {
	ctx, cancel := context.WithTimeout(ctx, crowdTime)
	DeferCleanup(cancel)
	var requests sync.WaitGroup
	for range connections {
		transport := d.transport()
		for range streams {
			requests.Go(func() {
				response, err := d.post(ctx, transport, method, body())
				if err != nil {
					return
				}
				defer response.Body.Close()
				if read {
					_, _ = io.Copy(io.Discard, response.Body)
					return
				}
				<-ctx.Done()
			})
		}
	}
	requests.Wait()
}

// post sends a request as a caller of the crowds' workspace.
func (d *deployment) post(ctx context.Context, transport *http.Transport, method string, body io.Reader) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, d.baseURL+method, body)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/proto")
	request.Header.Set("Connect-Protocol-Version", "1")
	request.Header.Set("Authorization", "Bearer "+d.key)
	return transport.RoundTrip(request)
}

// message returns an encoded request with a command and arguments.
func (d *deployment) message(access callerv1.Access, command string, arguments ...string) []byte {
	GinkgoHelper()
	encoded, err := proto.Marshal(&callerv1.ExecuteRequest{
		Database: d.database,
		Access:   access,
		Statement: &callerv1.Statement{
			Command:   command,
			Arguments: arguments,
		},
	})
	Expect(err).NotTo(HaveOccurred())
	return encoded
}

// stoppedReader returns a message and then nothing until it is closed.
type stoppedReader struct {
	io.Reader
	closed chan struct{}
	once   sync.Once
}

func newStoppedReader(message []byte) io.ReadCloser {
	return &stoppedReader{
		Reader: bytes.NewReader(message),
		closed: make(chan struct{}),
	}
}

// Read implements io.Reader.
func (r *stoppedReader) Read(data []byte) (int, error) {
	if n, err := r.Reader.Read(data); err == nil {
		return n, nil
	}
	<-r.closed
	return 0, io.EOF
}

// Close implements io.Closer.
func (r *stoppedReader) Close() error {
	r.once.Do(func() { close(r.closed) })
	return nil
}

var _ = Describe("a VM of the own interface", func() {
	var d *deployment

	BeforeEach(func(ctx SpecContext) { d = start(ctx) })

	// Guards against limits that refuse a single message of legal length.
	It("serves one large message", func(ctx SpecContext) {
		Expect(d.execute(ctx, client.Statement{
			Command:   "put",
			Arguments: []string{"large", strings.Repeat("x", messageLength)},
			Write:     true,
		})).To(Succeed())
		d.check(ctx)
	})

	It("outlasts many large messages at once", func(ctx SpecContext) {
		message := d.message(callerv1.Access_ACCESS_WRITE, "put", "large", strings.Repeat("x", messageLength))
		d.crowd(ctx, callerv1connect.CallerServiceExecuteProcedure, func() io.Reader { return bytes.NewReader(message) }, true)
		d.check(ctx)
	})

	It("outlasts messages that stop partway", func(ctx SpecContext) {
		message := d.message(callerv1.Access_ACCESS_WRITE, "put", "large", strings.Repeat("x", messageLength))
		go d.crowd(ctx, callerv1connect.CallerServiceExecuteProcedure, func() io.Reader { return newStoppedReader(message[:messageLength*9/10]) }, true)
		time.Sleep(crowdTime / 2)
		d.check(ctx)
	})

	It("outlasts messages far beyond the limit", func(ctx SpecContext) {
		message := make([]byte, oversizedLength)
		d.crowd(ctx, callerv1connect.CallerServiceExecuteProcedure, func() io.Reader { return bytes.NewReader(message) }, true)
		d.check(ctx)
	})

	It("outlasts responses that nobody reads", func(ctx SpecContext) {
		Expect(d.execute(ctx, client.Statement{
			Command:   "put",
			Arguments: []string{"large", strings.Repeat("x", rowLength)},
			Write:     true,
		})).To(Succeed())
		message := d.message(callerv1.Access_ACCESS_READ, "get", "large")
		go d.crowd(ctx, callerv1connect.CallerServiceExecuteProcedure, func() io.Reader { return bytes.NewReader(message) }, false)
		time.Sleep(crowdTime / 2)
		d.check(ctx)
	})

	It("outlasts long headers", func(ctx SpecContext) {
		var senders sync.WaitGroup
		for range headerConnections {
			senders.Go(func() {
				conn, err := net.Dial("tcp", d.vm.Caller.String())
				if err != nil {
					return
				}
				DeferCleanup(conn.Close)
				_ = conn.SetDeadline(time.Now().Add(crowdTime))
				_, _ = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: a\r\nX-Long: %s", strings.Repeat("x", headerLength))
			})
		}
		senders.Wait()
		d.check(ctx)
	})

	It("keeps descriptors for others", func(ctx SpecContext) {
		most := 0
		for i := range idleConnections {
			conn, err := net.Dial("tcp", d.vm.Caller.String())
			if err != nil {
				continue
			}
			DeferCleanup(func() { _ = conn.Close() })
			if i%20 == 0 {
				most = max(most, d.descriptors())
			}
		}
		Expect(most).To(BeNumerically("<=", maxDescriptors))
		d.check(ctx)
	})
})
