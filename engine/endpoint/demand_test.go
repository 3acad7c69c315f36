package endpoint_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/engine/endpoint"
	"amaranthdock.dev/engine/peer"
	"amaranthdock.dev/timer"
)

var _ = Describe("unused connections", func() {
	run := func(home *endpoint.Home, workspace string) {
		GinkgoHelper()
		expectServed(home.Run(context.Background(), request(peer.StepSingle, "READ "+workspace, func(r *peer.RunRequest) {
			r.Workspace = workspace
		})))
	}

	It("are evicted from the workspace with the least demand, not from the one used least recently", func() {
		// Guards against a busy workspace that needs a new connection after each burst of others.
		fake := &fakeEndpoint{}
		clock := timer.NewManual(timer.ManualConfig{Start: time.Unix(1000, 0)})
		home := newHomeWithClock(fake, clock)
		for range 20 {
			run(home, "busy")
			clock.Advance(10 * time.Millisecond)
		}
		// The limit of 10 lets the home open 8.
		for i := range 12 {
			run(home, fmt.Sprint("other", i))
			clock.Advance(10 * time.Millisecond)
		}
		opened := len(fake.commands())
		run(home, "busy")
		Expect(fake.commands()).To(HaveLen(opened + 1))
		Expect(fake.connections()).To(Equal(8))
	})
})

var _ = Describe("statements that need a new connection", func() {
	It("start after those that have one while many connections are being opened", func() {
		// Guards against handshakes of many workspaces that keep the slots from workspaces with a
		// connection after a restart.
		fake := &fakeEndpoint{}
		home := newHome(fake)
		ctx := context.Background()
		expectServed(home.Run(ctx, request(peer.StepSingle, "READ warm")))
		hold := make(chan struct{})
		fake.mu.Lock()
		fake.holdDials = hold
		fake.holdReads = make(chan struct{})
		fake.mu.Unlock()
		results := make(chan *peer.RunResponse, 10)
		send := func(workspace string) {
			go func() {
				results <- home.Run(ctx, request(peer.StepSingle, "READ "+workspace, func(r *peer.RunRequest) {
					r.Workspace = workspace
					r.Timeout = 5 * time.Second
				}))
			}()
		}
		// The endpoint has 2 slots and gets one more statement.
		for i := range 2 {
			send(fmt.Sprint("cold", i))
		}
		Eventually(fake.dialing).Should(Equal(2))
		send("ws")
		Eventually(fake.commands).Should(ContainElement("READ ws"))
		send("cold2")
		time.Sleep(20 * time.Millisecond)
		send("ws")
		time.Sleep(20 * time.Millisecond)
		fake.holdReads <- struct{}{}
		expectServed(<-results)
		Consistently(fake.dialing).WithTimeout(50 * time.Millisecond).Should(Equal(2))
		close(fake.holdReads)
		close(hold)
		for range 4 {
			expectServed(<-results)
		}
	})
})
