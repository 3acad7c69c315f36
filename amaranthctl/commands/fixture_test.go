package commands_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/amaranthctl/commands"
	"amaranthdock.dev/api/amaranthdock/operator/v1/operatorv1connect"
	"amaranthdock.dev/declaration"
	"amaranthdock.dev/timer"
)

// runFixture runs commands with a fake proxy.
type runFixture struct {
	server *fakeProxy
	// address is the value of --proxy.
	address     string
	output      *bytes.Buffer
	errorOutput *bytes.Buffer
}

func newRunFixture() *runFixture {
	GinkgoHelper()
	source, err := os.ReadFile(declarationFile)
	Expect(err).NotTo(HaveOccurred())
	document, err := declaration.Parse(declarationFile, source)
	Expect(err).NotTo(HaveOccurred())
	document.Version = 1
	f := &runFixture{server: &fakeProxy{document: document}}
	mux := http.NewServeMux()
	mux.Handle(operatorv1connect.NewOperatorServiceHandler(f.server))
	listener := httptest.NewUnstartedServer(mux)
	listener.Config.Protocols = &http.Protocols{}
	listener.Config.Protocols.SetUnencryptedHTTP2(true)
	listener.Start()
	DeferCleanup(listener.Close)
	f.address = strings.TrimPrefix(listener.URL, "http://")
	return f
}

// run runs a command and returns its exit code.
func (f *runFixture) run(arguments ...string) int {
	GinkgoHelper()
	clock := timer.NewManual(timer.ManualConfig{})
	f.output = &bytes.Buffer{}
	f.errorOutput = &bytes.Buffer{}
	codes := make(chan int, 1)
	go func() {
		codes <- commands.Run(commands.Config{
			Arguments: append([]string{"--proxy", f.address, "--author", "test"}, arguments...),
			Output:    f.output,
			Errors:    f.errorOutput,
			Timer:     clock,
			Exit:      func(int) {},
		})
	}()
	var code int
	Eventually(func() chan int {
		// The calls use a real listener, so the manual clock must not run faster
		// than real time; else the timeouts of the calls would expire.
		clock.Advance(time.Millisecond)
		return codes
	}, 60*time.Second, time.Millisecond).Should(Receive(&code))
	return code
}

// expectExit checks the exit code, which scripts rely on, and the output. It guards
// against an exit code that misleads a script, for example 0 for a change that was
// not made.
func (f *runFixture) expectExit(code int, message string, arguments ...string) {
	GinkgoHelper()
	Expect(f.run(arguments...)).To(Equal(code), f.errorOutput.String())
	Expect(f.output.String() + f.errorOutput.String()).To(ContainSubstring(message))
}
