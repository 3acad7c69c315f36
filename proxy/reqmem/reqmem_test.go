package reqmem_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"amaranthdock.dev/engine/budget"
	"amaranthdock.dev/proxy/reqmem"
	"amaranthdock.dev/timer"
)

func TestReqmem(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "proxy/reqmem")
}

// The budget has room for one body or one answer of a length.
const (
	total        = 8 << 20
	bodyLength   = 2 << 20
	answerLength = 400 << 10
)

func newBudget() *budget.Budget {
	return budget.New(budget.Config{
		Limits: budget.Limits{
			MemoryBytes: total,
			Stall:       100 * time.Millisecond,
		}.WithDefaults(0, 0),
		Timer:    timer.NewSystem(),
		Log:      logr.Discard(),
		Registry: metrics.NewRegistry(),
	})
}

// newRequest returns the memory of a request, which is ended only if it has a response.
func newRequest(b *budget.Budget, response http.ResponseWriter) *reqmem.Request {
	return reqmem.New(reqmem.Config{
		Budget:   b,
		Timer:    timer.NewSystem(),
		Response: response,
	})
}

// serve serves a handler over HTTP/1 or HTTP/2 and returns its URL and a client.
func serve(http2 bool, handler http.HandlerFunc) (string, *http.Client) {
	server := httptest.NewUnstartedServer(handler)
	protocols := new(http.Protocols)
	protocols.SetHTTP1(!http2)
	protocols.SetUnencryptedHTTP2(http2)
	server.Config.Protocols = protocols
	server.Start()
	transport := &http.Transport{
		Protocols: protocols,
		HTTP2:     &http.HTTP2Config{MaxReceiveBufferPerStream: 64 << 10},
	}
	DeferCleanup(func() {
		server.CloseClientConnections()
		transport.CloseIdleConnections()
	})
	return server.URL, &http.Client{Transport: transport}
}

// trickle writes a byte from time to time, which is no progress.
func trickle(w io.Writer) {
	for {
		if _, err := w.Write([]byte("x")); err != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// slowResponse is a response whose caller reads each part just before it would count as stalled.
type slowResponse struct{ *httptest.ResponseRecorder }

// Write implements io.Writer.
func (s slowResponse) Write(data []byte) (int, error) {
	time.Sleep(60 * time.Millisecond)
	return len(data), nil
}

// expectGranted expects that another request gets the memory.
func expectGranted(take func(other *reqmem.Request) error, b *budget.Budget) {
	GinkgoHelper()
	other := newRequest(b, nil)
	defer other.Close()
	Expect(take(other)).To(Succeed())
}

var _ = Describe("a request that makes no progress", func() {
	// Guards against a stalled body that keeps its memory until the time limit of the server.
	DescribeTable("is ended while it sends its body, if others wait for the memory",
		func(http2 bool) {
			b, taken, ended := newBudget(), make(chan struct{}), make(chan bool, 1)
			url, client := serve(http2, func(w http.ResponseWriter, request *http.Request) {
				r := newRequest(b, w)
				defer r.Close()
				if r.TakeBody("w1", bodyLength, time.Now().Add(time.Second)) == nil {
					close(taken)
				}
				_, _ = io.Copy(io.Discard, r.Body(request.Body))
				ended <- !r.EndBody()
				w.WriteHeader(http.StatusTeapot)
			})
			body, stopped := io.Pipe()
			DeferCleanup(stopped.Close)
			status := make(chan int, 1)
			go func() {
				response, err := client.Post(url, "", body)
				if err == nil {
					_ = response.Body.Close()
					status <- response.StatusCode
				}
			}()
			go trickle(stopped)
			Eventually(taken).Should(BeClosed())
			expectGranted(func(other *reqmem.Request) error {
				return other.TakeBody("w2", bodyLength, time.Now().Add(5*time.Second))
			}, b)
			Eventually(ended).Should(Receive(BeTrue()))
			Eventually(status).Should(Receive(Equal(http.StatusTeapot)), "the caller gets a refusal")
		},
		Entry("HTTP/1", false),
		Entry("HTTP/2", true),
	)

	// Guards against a response that nobody reads and that keeps its memory forever.
	DescribeTable("is ended while its response is not read, if others wait for the memory",
		func(http2 bool) {
			b, taken, result := newBudget(), make(chan struct{}), make(chan error, 1)
			url, client := serve(http2, func(w http.ResponseWriter, _ *http.Request) {
				r := newRequest(b, w)
				defer r.Close()
				if r.HoldAnswer("w1", answerLength, answerLength) == nil {
					close(taken)
				}
				var err error
				for err == nil {
					_, err = r.Writer(w).Write([]byte(strings.Repeat("x", answerLength)))
				}
				result <- err
			})
			response, err := client.Get(url)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(response.Body.Close)
			Eventually(taken).Should(BeClosed())
			expectGranted(func(other *reqmem.Request) error { return other.HoldAnswer("w2", answerLength, answerLength) }, b)
			Eventually(result).Should(Receive(HaveOccurred()))
		},
		Entry("HTTP/1", false),
		Entry("HTTP/2", true),
	)
})

// Guards against callers that read a little of each part of a stream and so never count as stalled.
var _ = It("a request is ended if its caller reads little of each part of the response", func() {
	b := newBudget()
	response := slowResponse{httptest.NewRecorder()}
	r := newRequest(b, response)
	Expect(r.TakeBody("w1", bodyLength, time.Now().Add(time.Second))).To(Succeed())
	Expect(r.EndBody()).To(BeTrue())
	go func() {
		defer r.Close()
		for {
			if _, err := r.Writer(response).Write([]byte("part")); err != nil {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
	}()
	expectGranted(func(other *reqmem.Request) error {
		return other.TakeBody("w2", bodyLength, time.Now().Add(5*time.Second))
	}, b)
})

var _ = Describe("a request that runs", func() {
	// Guards against requests that are ended although their callers wait for them.
	It("keeps its memory", func() {
		b := newBudget()
		r := newRequest(b, httptest.NewRecorder())
		defer r.Close()
		Expect(r.TakeBody("w1", bodyLength, time.Now().Add(time.Second))).To(Succeed())
		Expect(r.EndBody()).To(BeTrue())
		time.Sleep(200 * time.Millisecond)
		other := newRequest(b, nil)
		defer other.Close()
		Expect(other.TakeBody("w2", bodyLength, time.Now().Add(time.Second))).To(MatchError(budget.ErrNoMemory))
		_, err := r.Writer(httptest.NewRecorder()).Write([]byte("response"))
		Expect(err).NotTo(HaveOccurred())
	})
})

var _ = Describe("the memory of an answer", func() {
	// Guards against an answer whose memory is taken once as it is read and once more as it is sent.
	It("grows to the largest length, and not by each", func() {
		b := newBudget()
		r := newRequest(b, nil)
		defer r.Close()
		ctx := r.WithContext(context.Background())
		Expect(reqmem.FromContext(ctx).HoldAnswer("w", answerLength, answerLength)).To(Succeed())
		Expect(reqmem.FromContext(ctx).HoldAnswer("w", answerLength, answerLength)).To(Succeed())
		Expect(r.HoldAnswer("w", total, 1)).To(MatchError(reqmem.ErrTooLong))
	})

	It("is not limited without a budget", func() {
		var r *reqmem.Request
		Expect(r.HoldAnswer("w", 1<<40, 1<<40)).To(Succeed())
		Expect(r.EndBody()).To(BeTrue())
		Expect(reqmem.FromContext(r.WithContext(context.Background()))).To(BeNil())
	})
})
