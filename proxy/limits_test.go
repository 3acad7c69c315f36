package main

import (
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	metrics "github.com/rcrowley/go-metrics"

	"amaranthdock.dev/engine/budget"
	"amaranthdock.dev/timer"
)

// serveLimited serves a handler with one connection, and returns its URL.
func serveLimited(handler http.Handler) string {
	GinkgoHelper()
	s := newServer("test", netip.AddrPort{}, nil, handler)
	s.limitCallers(budget.New(budget.Config{
		Limits:   budget.Limits{Connections: 1}.WithDefaults(0, 0),
		Timer:    timer.NewSystem(),
		Log:      logr.Discard(),
		Registry: metrics.NewRegistry(),
	}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	go func() {
		_ = s.http.Serve(limitedListener{
			Listener: listener,
			budget:   s.budget,
		})
	}()
	DeferCleanup(s.http.Close)
	return "http://" + listener.Addr().String()
}

// newHTTPClient returns a client with a connection of its own.
func newHTTPClient(http2 bool) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(!http2)
	protocols.SetUnencryptedHTTP2(http2)
	transport := &http.Transport{Protocols: protocols}
	DeferCleanup(transport.CloseIdleConnections)
	return &http.Client{
		Transport: transport,
		Timeout:   5 * time.Second,
	}
}

var _ = Describe("the limit of connections", func() {
	DescribeTable("spares connections with a request, and closes idle ones",
		// Guards against callers whose running requests are ended by new connections.
		func(http2 bool) {
			arrived, finish := make(chan struct{}, 3), make(chan struct{})
			url := serveLimited(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				arrived <- struct{}{}
				<-finish
				w.WriteHeader(http.StatusNoContent)
			}))
			first, second := newHTTPClient(http2), newHTTPClient(http2)
			result := make(chan error, 1)
			go func() {
				response, err := first.Get(url)
				if err == nil {
					err = response.Body.Close()
				}
				result <- err
			}()
			Eventually(arrived).Should(Receive())
			time.Sleep(1100 * time.Millisecond)
			_, err := second.Get(url)
			Expect(err).To(HaveOccurred())
			close(finish)
			Eventually(result).Should(Receive(BeNil()))
			Eventually(func() error {
				response, err := second.Get(url)
				if err == nil {
					err = response.Body.Close()
				}
				return err
			}).Should(Succeed(), "the first connection is idle")
		},
		Entry("HTTP/1", false),
		Entry("HTTP/2", true),
	)
})
