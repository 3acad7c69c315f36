package endpoint_test

import (
	"context"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/endpoint"
	"amaranthdock.dev/engine/peer"
	"amaranthdock.dev/timer"
)

var _ = Describe("the concurrency limit", func() {
	var fake *fakeEndpoint
	var home *endpoint.Home
	var clock *timer.Manual
	ctx := context.Background()

	BeforeEach(func() {
		fake = &fakeEndpoint{}
		clock = timer.NewManual(timer.ManualConfig{Start: time.Unix(1000, 0)})
		home = newHomeWithClock(fake, clock)
	})

	// readsSent returns the number of reads that the endpoint has received.
	readsSent := func() int { return strings.Count(strings.Join(fake.commands(), " "), "READ a") }

	It("is the reported slots and a margin at first", func() {
		// Guards against a new home that serves less than the one before.
		fake.holdReads = make(chan struct{})
		for range 5 {
			go home.Run(ctx, request(peer.StepSingle, "READ a"))
		}
		Eventually(readsSent).Should(Equal(3))
		Consistently(readsSent, "100ms").Should(Equal(3))
		close(fake.holdReads)
	})

	It("falls when the endpoint rejects statements, and is reported", func() {
		// Guards against a home that goes on sending as many statements as the endpoint reports
		// slots while the endpoint rejects them.
		fake.respond = func(endpoint.Command) (endpoint.Reply, error) { return scriptedRefusal(endpoint.Busy) }
		var ran *peer.RunResponse
		for range 5 {
			// The timeout is too short for a retry, whose delay this clock would not end.
			ran = home.Run(ctx, request(peer.StepSingle, "READ b", func(r *peer.RunRequest) { r.Timeout = 30 * time.Millisecond }))
			expectRefused(ran, refusal.NotRun, refusal.Overloaded)
		}
		fake.mu.Lock()
		fake.respond = nil
		fake.holdReads = make(chan struct{})
		fake.mu.Unlock()
		Expect(ran.Report.Capacity).To(Equal(1))
		for range 5 {
			go home.Run(ctx, request(peer.StepSingle, "READ a"))
		}
		Eventually(readsSent).Should(Equal(1))
		Consistently(readsSent, "100ms").Should(Equal(1))
		result := make(chan *peer.RunResponse, 1)
		go func() { result <- home.Run(ctx, request(peer.StepSingle, "READ c")) }()
		Eventually(func() int { return clock.Subscribers() }).Should(BeNumerically(">=", 5))
		clock.Advance(100 * time.Millisecond)
		close(fake.holdReads)
		Expect((<-result).Report.SlotWait).To(BeNumerically(">", 5*time.Millisecond))
	})

	It("is reported with the time of a statement, without that of a new connection", func() {
		// Guards against reads that avoid an endpoint because statements wait at its home, or
		// because it has new connections.
		fake.respond = func(c endpoint.Command) (endpoint.Reply, error) {
			if _, ok := c.(endpoint.Forward); ok {
				clock.Advance(20 * time.Millisecond)
			}
			return endpoint.Reply{}, nil
		}
		fake.onDial = func() { clock.Advance(50 * time.Millisecond) }
		var ran *peer.RunResponse
		for range 20 {
			ran = home.Run(ctx, request(peer.StepSingle, "READ a"))
			expectServed(ran)
		}
		Expect(ran.Report.ServiceTime).To(Equal(20 * time.Millisecond))
		Expect(ran.Report.Capacity).To(Equal(2))
	})

	It("is not learned from a refusal for another reason", func() {
		// Guards against a replica whose refusals, which are fast, count as service times.
		fake.respond = func(endpoint.Command) (endpoint.Reply, error) { return scriptedRefusal(endpoint.ReplicaBehind) }
		for range 30 {
			ran := home.Run(ctx, request(peer.StepSingle, "READ a"))
			expectRefused(ran, refusal.NotRun, refusal.ReplicaBehind)
			Expect(ran.Report.ServiceTime).To(BeZero())
			Expect(ran.Report.Capacity).To(Equal(2))
		}
	})
})
