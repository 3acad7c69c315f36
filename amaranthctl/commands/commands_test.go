package commands_test

import (
	"context"
	"encoding/json"
	"encoding/pem"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
	operatorv1 "amaranthdock.dev/api/amaranthdock/operator/v1"
	"amaranthdock.dev/api/amaranthdock/operator/v1/operatorv1connect"
	"amaranthdock.dev/declaration"
)

func TestCommands(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "amaranthctl/commands")
}

const declarationFile = "../../declaration/testdata/valid.yaml"

// fakeProxy stores a document and injects the faults that its fields select.
type fakeProxy struct {
	operatorv1connect.UnimplementedOperatorServiceHandler

	mu             sync.Mutex
	document       *declaration.Document
	lostResponses  int
	conflict       bool
	vm2Unreachable bool
	// failRepeats fails every change after the first one, as if the connection was
	// lost.
	failRepeats  bool
	changeIDs    []string
	explained    []*operatorv1.ExplainRouteRequest
	versionCalls int
}

func (p *fakeProxy) GetConfiguration(context.Context, *operatorv1.GetConfigurationRequest) (*operatorv1.GetConfigurationResponse, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	encoded, err := json.Marshal(p.document)
	return &operatorv1.GetConfigurationResponse{
		Document: encoded,
		Version:  p.document.Version,
	}, err
}

func (p *fakeProxy) ChangeConfiguration(_ context.Context, request *operatorv1.ChangeConfigurationRequest) (*operatorv1.ChangeConfigurationResponse, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changeIDs = append(p.changeIDs, request.GetChangeId())
	if p.failRepeats && len(p.changeIDs) > 1 {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("the connection was lost"))
	}
	if accepted, found := declaration.FindChange(p.document, request.GetChangeId()); found {
		return &operatorv1.ChangeConfigurationResponse{
			Version:  accepted.Version,
			Repeated: true,
		}, nil
	}
	if p.conflict || request.GetExpectedVersion() != p.document.Version {
		refusal := connect.NewError(connect.CodeAborted, errors.New("version 2 is by Anna: add a workspace"))
		detail, err := connect.NewErrorDetail(&callerv1.Refusal{
			Outcome: callerv1.Outcome_OUTCOME_NOT_RUN,
			Reason:  "versionConflict",
		})
		if err != nil {
			return nil, err
		}
		refusal.AddDetail(detail)
		return nil, refusal
	}
	document := &declaration.Document{}
	if err := json.Unmarshal(request.GetDocument(), document); err != nil {
		return nil, err
	}
	declaration.AppendChange(document, declaration.Change{
		ID:      request.GetChangeId(),
		Version: p.document.Version + 1,
	})
	p.document = document
	if p.lostResponses > 0 {
		p.lostResponses--
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("the connection was lost"))
	}
	return &operatorv1.ChangeConfigurationResponse{Version: document.Version}, nil
}

// GetDump responds as vm-1.
func (p *fakeProxy) GetDump(_ context.Context, request *operatorv1.GetDumpRequest) (*operatorv1.GetDumpResponse, error) {
	if request.GetVm() == "" || request.GetVm() == "vm-1" {
		return &operatorv1.GetDumpResponse{Dump: []byte(`{"vm":"vm-1"}`)}, nil
	}
	return nil, wrongVMError()
}

// wrongVMError returns the error of a request for another VM.
func wrongVMError() error {
	refusal := connect.NewError(connect.CodeInvalidArgument, errors.New("this is vm-1"))
	detail, err := connect.NewErrorDetail(&callerv1.Refusal{
		Outcome: callerv1.Outcome_OUTCOME_NOT_RUN,
		Field:   "vm",
	})
	if err != nil {
		return err
	}
	refusal.AddDetail(detail)
	return refusal
}

func (p *fakeProxy) ListVersions(context.Context, *operatorv1.ListVersionsRequest) (*operatorv1.ListVersionsResponse, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.versionCalls++
	response := &operatorv1.ListVersionsResponse{}
	for _, name := range []string{"vm-1", "vm-2"} {
		response.Vms = append(response.Vms, &operatorv1.VmVersion{
			Vm:       name,
			Version:  p.document.Version,
			Answered: !p.vm2Unreachable || name == "vm-1",
		})
	}
	return response, nil
}

var _ = Describe("Run", func() {
	var f *runFixture
	BeforeEach(func() { f = newRunFixture() })

	DescribeTable("returns the exit code of the result",
		func(prepare func(), code int, message string, arguments ...string) {
			prepare()
			f.expectExit(code, message, arguments...)
		},
		Entry("done", func() {}, 0, "true", "preset", "use", "peak"),
		Entry("lost response", func() { f.server.lostResponses = 1 }, 0, "true", "endpoint", "drain", "main-1"),
		Entry("unknown preset", func() {}, 1, `preset "none"`, "preset", "use", "none"),
		Entry("invalid edit", func() {}, 1, "workspaces[2].rate", "workspace", "set", "gamma"),
		Entry("unknown command", func() {}, 2, "expected command", "fly"),
		Entry("conflict", func() { f.server.conflict = true }, 3, "by Anna: add a workspace", "key", "revoke", "k1"),
		Entry("expected version", func() {}, 3, "expected version 7, but the configuration has version 1", "apply", declarationFile, "--expect-version", "7"),
		Entry("VM without the version", func() { f.server.vm2Unreachable = true }, 4, "not yet active on: vm-2", "key", "withdraw", "k1", "--wait", "300ms"),
		Entry("valid file", func() {}, 0, "is valid", "validate", declarationFile),
		Entry("dump of the VM", func() {}, 0, `{"vm":"vm-1"}`, "dump", "--vm", "vm-1"),
		Entry("dump of another VM", func() {}, 1, "no --proxy address is the operator listener of vm-2", "dump", "--vm", "vm-2"),
		Entry("host name as address", func() {}, 2, `--proxy requires the IP:PORT of an operator listener, got "localhost:1"`, "status", "--proxy", "localhost:1"),
		Entry("expected version that is not a number", func() {}, 2, `got "x"`, "apply", declarationFile, "--expect-version", "x"),
		Entry("error that names the edit", func() {}, 1, "set workspace gamma: workspaces[2]", "workspace", "set", "gamma"),
		Entry("versions", func() {}, 0, "vm-2  1        true", "versions"),
	)

	It("tries the next proxy with the same change ID", func() {
		// Guards against a change that is made twice because the first response was
		// lost.
		dead := httptest.NewServer(http.NotFoundHandler())
		dead.Close()
		f.address = strings.TrimPrefix(dead.URL, "http://") + "," + f.address
		f.server.lostResponses = 1
		f.expectExit(0, "true", "preset", "use", "peak")
		Expect(f.server.changeIDs).To(HaveLen(2))
		Expect(f.server.changeIDs[0]).To(Equal(f.server.changeIDs[1]))
		Expect(f.server.document.PresetInForce).To(Equal("peak"))
	})

	It("reports an unknown outcome and does not show the key", func() {
		f.server.failRepeats = true
		f.server.lostResponses = 1
		f.expectExit(5, "may have been created; revoke it", "key", "create", "beta")
		Expect(f.output.String()).NotTo(ContainSubstring("ad_"))
	})

	It("verifies the proxies' certificates", func() {
		mux := http.NewServeMux()
		mux.Handle(operatorv1connect.NewOperatorServiceHandler(f.server))
		listener := httptest.NewUnstartedServer(mux)
		listener.EnableHTTP2 = true
		listener.StartTLS()
		defer listener.Close()
		f.address = strings.TrimPrefix(listener.URL, "https://")
		trusted := filepath.Join(GinkgoT().TempDir(), "ca.pem")
		Expect(os.WriteFile(trusted, pem.EncodeToMemory(&pem.Block{
			Type:  "CERTIFICATE",
			Bytes: listener.Certificate().Raw,
		}), 0o600)).To(Succeed())
		f.expectExit(0, "peak", "preset", "show", "--ca-file", trusted)
		f.expectExit(1, "ca.pem", "preset", "show", "--ca-file", trusted+".absent")
		Expect(f.run("preset", "show")).To(Equal(1))
	})

	It("shows the secret of a new key only once", func() {
		f.expectExit(0, "ad_", "--output", "json", "key", "create", "beta")
		var result struct {
			Key string `json:"key"`
		}
		Expect(json.Unmarshal(f.output.Bytes(), &result)).To(Succeed())
		id, secret, ok := declaration.SplitKey(result.Key)
		Expect(ok).To(BeTrue())
		for _, command := range [][]string{{"show"}, {"key", "list"}, {"show", "--output", "json"}} {
			f.expectExit(0, id, command...)
			Expect(f.output.String()).NotTo(ContainSubstring(secret))
		}
	})

	It("keeps the keys of a workspace if the file lists none", func() {
		source, err := os.ReadFile(declarationFile)
		Expect(err).NotTo(HaveOccurred())
		start := strings.Index(string(source), "    keys:")
		end := strings.Index(string(source), "  - name: beta")
		file := filepath.Join(GinkgoT().TempDir(), "d.yaml")
		Expect(os.WriteFile(file, []byte(string(source[:start])+string(source[end:])), 0o600)).To(Succeed())
		f.expectExit(0, "0 changes to version 1", "plan", file)
		f.expectExit(0, "true", "apply", file)
		Expect(f.server.document.Workspaces[0].Keys).To(HaveLen(1))
	})
})
