package callers_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
	"amaranthdock.dev/api/amaranthdock/caller/v1/callerv1connect"
	"amaranthdock.dev/client"
)

const (
	stalledConnections = 10
	// stalledTime is how long a crowd replaces its requests that were refused or ended.
	stalledTime = 20 * time.Second
	// otherTimeout is below the 30 s after which a stalled body ends in any case, and within
	// stalledTime.
	otherTimeout = 15 * time.Second
	// smallWindow is the smallest buffer for a response that the library's client allows. With its
	// default of 4 MiB a response that nobody reads is sent nevertheless.
	smallWindow = 64 << 10
)

// stall sends requests that stall, over connections with many streams, and replaces those that end.
// It returns at the end of stalledTime.
func (d *deployment) stall(ctx context.Context, http1 bool, body func() io.ReadCloser) {
	ctx, cancel := context.WithTimeout(ctx, stalledTime)
	defer cancel()
	var requests sync.WaitGroup
	for range stalledConnections {
		transport := d.transport()
		transport.HTTP2 = &http.HTTP2Config{MaxReceiveBufferPerStream: smallWindow}
		if http1 {
			transport.Protocols.SetHTTP1(true)
			transport.Protocols.SetUnencryptedHTTP2(false)
		}
		for range streams {
			requests.Go(func() {
				for ctx.Err() == nil {
					d.stallOnce(ctx, transport, body())
				}
			})
		}
	}
	requests.Wait()
}

// stallOnce sends a request and waits until it is answered with an error, is ended, or the time is
// over.
func (d *deployment) stallOnce(ctx context.Context, transport *http.Transport, body io.ReadCloser) {
	defer body.Close()
	// The library's client for HTTP/1 waits for a body although its request has ended.
	defer context.AfterFunc(ctx, func() { _ = body.Close() })()
	response, err := d.post(ctx, transport, callerv1connect.CallerServiceExecuteProcedure, body)
	if err != nil {
		pause(ctx)
		return
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		pause(ctx)
		return
	}
	<-ctx.Done()
}

// pause waits a short time, so that a crowd whose requests end does not use the processor up.
func pause(ctx context.Context) {
	select {
	case <-time.After(100 * time.Millisecond):
	case <-ctx.Done():
	}
}

// expectOtherServed expects that a request of another workspace is served while the crowd is there.
func (d *deployment) expectOtherServed(ctx context.Context, crowd <-chan struct{}, statement client.Statement) {
	GinkgoHelper()
	Eventually(func() error { return d.executeAs(ctx, d.otherKey, statement) }).
		WithTimeout(otherTimeout).WithPolling(100 * time.Millisecond).Should(Succeed())
	Expect(crowd).NotTo(BeClosed())
	d.check(ctx)
}

// inBackground runs a crowd and returns a channel that is closed at its end.
func inBackground(ctx context.Context, run func(context.Context)) <-chan struct{} {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		run(ctx)
	}()
	DeferCleanup(func() {
		cancel()
		<-ended
	})
	return ended
}

var _ = Describe("memory that stalled requests hold", func() {
	var d *deployment

	BeforeEach(func(ctx SpecContext) { d = start(ctx) })

	// Guards against bodies that stall and keep the memory for the messages of others until their
	// time limit.
	DescribeTable("is returned by bodies that stop partway",
		func(ctx SpecContext, http1 bool) {
			message := d.message(callerv1.Access_ACCESS_WRITE, "put", "large", strings.Repeat("x", messageLength))
			crowd := inBackground(ctx, func(ctx context.Context) {
				d.stall(ctx, http1, func() io.ReadCloser { return newStoppedReader(message[:messageLength*9/10]) })
			})
			time.Sleep(2 * time.Second)
			d.expectOtherServed(ctx, crowd, client.Statement{
				Command:   "put",
				Arguments: []string{"other", strings.Repeat("x", messageLength)},
				Write:     true,
			})
		},
		Entry("over HTTP/1", true),
		Entry("over HTTP/2", false),
	)

	// Guards against responses that nobody reads and that keep the memory for the responses of
	// others as long as their connections live.
	It("is returned by responses that nobody reads", func(ctx SpecContext) {
		Expect(d.execute(ctx, client.Statement{
			Command:   "put",
			Arguments: []string{"large", strings.Repeat("x", rowLength)},
			Write:     true,
		})).To(Succeed())
		message := d.message(callerv1.Access_ACCESS_READ, "get", "large")
		crowd := inBackground(ctx, func(ctx context.Context) {
			d.stall(ctx, false, func() io.ReadCloser { return io.NopCloser(bytes.NewReader(message)) })
		})
		time.Sleep(2 * time.Second)
		d.expectOtherServed(ctx, crowd, client.Statement{
			Command:   "get",
			Arguments: []string{"large"},
		})
	})
})
