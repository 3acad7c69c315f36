package endpoint_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/connections"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/endpoint"
	"amaranthdock.dev/engine/peer"
	"amaranthdock.dev/timer"
)

// maxConnections is the limit of the endpoint in the tests of the connection limit.
const maxConnections = 40

// rankedHome is a home whose rank the test sets.
type rankedHome struct {
	*endpoint.Home
	rank, since, declared atomic.Int64
}

// limitFixture is an endpoint with a connection limit and its homes.
type limitFixture struct {
	fake  *fakeEndpoint
	clock *timer.Manual
}

func newLimitFixture() *limitFixture {
	return &limitFixture{
		fake:  &fakeEndpoint{limit: maxConnections},
		clock: timer.NewManual(timer.ManualConfig{Start: time.Unix(1000, 0)}),
	}
}

// home returns a home whose rank has been the same since long ago.
func (f *limitFixture) home(rank int64) *rankedHome {
	h := &rankedHome{}
	h.rank.Store(rank)
	h.since.Store(int64(-time.Hour))
	h.declared.Store(maxConnections)
	h.Home = newHomeWith(f.fake, func(c *endpoint.Config) {
		c.Timer = f.clock
		c.IsFirstHome = func(catalog.Endpoint) bool { return h.rank.Load() == 0 }
		c.Standing = func(catalog.Endpoint) connections.Standing {
			return connections.Standing{
				Rank:      int(h.rank.Load()),
				Confirmed: true,
				Since:     time.Duration(h.since.Load()),
			}
		}
	})
	return h
}

// serve runs one statement of each of the workspaces.
func (h *rankedHome) serve(workspaces int) {
	GinkgoHelper()
	for i := range workspaces {
		expectServed(h.Run(context.Background(), request(peer.StepSingle, "READ a", func(r *peer.RunRequest) {
			r.Workspace = fmt.Sprint("ws", i)
			r.MaxConnections = int(h.declared.Load())
		})))
	}
}

// open begins a transaction.
func (h *rankedHome) open(number uint64) {
	GinkgoHelper()
	expectServed(h.Run(context.Background(), request(peer.StepFirst, "READ a", func(r *peer.RunRequest) {
		r.Transaction.Number = number
		r.MaxConnections = int(h.declared.Load())
		r.TransactionIdle = time.Hour
	})))
}

func (h *rankedHome) sweep() { h.Sweep(func(catalog.EndpointKey) bool { return true }) }

// expectNoneRejected expects that the endpoint was not asked for more connections than it accepts.
func (f *limitFixture) expectNoneRejected() {
	GinkgoHelper()
	f.fake.mu.Lock()
	defer f.fake.mu.Unlock()
	Expect(f.fake.rejected).To(BeZero())
}

var _ = Describe("the connection limit of an endpoint", func() {
	var f *limitFixture
	shares := connections.Split(maxConnections)

	BeforeEach(func() { f = newLimitFixture() })

	It("is kept while the home moves", func() {
		// Guards against two homes that both use the share of the first one.
		former, next := f.home(0), f.home(1)
		next.serve(1)
		former.serve(50)
		Expect(f.fake.connections()).To(Equal(shares.First + 1))
		former.rank.Store(1)
		next.rank.Store(0)
		next.serve(50)
		f.expectNoneRejected()
		former.sweep()
		Expect(f.fake.connections()).To(Equal(shares.Others[0] + shares.Of(1)))
		f.clock.Advance(connections.HoldTime)
		next.serve(50)
		f.expectNoneRejected()
		Expect(f.fake.connections()).To(BeNumerically(">=", shares.First))
	})

	It("lets the next home open what the endpoint counts less", func() {
		// Guards against a home that holds few connections for long although those of the home
		// before it have ended, and against one that opens them before they have.
		former, next := f.home(0), f.home(1)
		next.serve(1)
		former.serve(50)
		former.rank.Store(1)
		next.rank.Store(0)
		next.serve(50)
		f.clock.Advance(connections.LearnTime)
		next.sweep()
		next.serve(50)
		f.expectNoneRejected()
		Expect(f.fake.connections()).To(Equal(shares.First + shares.Of(1)))
		former.sweep()
		Eventually(func() int {
			next.serve(50)
			next.sweep()
			return f.fake.connections()
		}).Should(Equal(shares.First))
		f.expectNoneRejected()
	})

	It("leaves transactions more than half of a low limit", func() {
		// Guards against transactions that wait for each other as long as a home holds few
		// connections.
		home := f.home(1)
		Expect(shares.Of(1)).To(Equal(3))
		home.open(1)
		home.open(2)
		home.serve(3)
		Expect(f.fake.connections()).To(Equal(3))
	})

	It("is kept after a home has lost power", func() {
		// Guards against a home that opens connections while the endpoint counts those of the
		// home before it.
		lost, next := f.home(0), f.home(1)
		lost.serve(50)
		f.clock.Advance(time.Minute)
		next.rank.Store(0)
		next.since.Store(int64(f.clock.SinceBoot()))
		next.serve(50)
		f.expectNoneRejected()
	})

	It("is kept by a process that starts", func() {
		// Guards against a process that opens connections while the endpoint counts those of the
		// process before it.
		f.home(0).serve(50)
		f.clock.Advance(time.Minute)
		restarted := f.home(0)
		restarted.since.Store(int64(f.clock.SinceBoot()))
		restarted.serve(50)
		f.expectNoneRejected()
		Expect(f.fake.connections()).To(Equal(shares.First + shares.Others[0]))
	})

	It("is kept by homes that callers use because they do not reach the first one", func() {
		// Guards against a share of the second home that each other home takes.
		for rank := range int64(5) {
			f.home(rank).serve(50)
		}
		f.expectNoneRejected()
	})

	It("leaves a home that has ceased to be the first one its share only, also in transactions", func() {
		// Guards against transactions that hold connections on which the next home counts.
		former := f.home(0)
		for i := range uint64(20) {
			former.open(i)
		}
		former.rank.Store(1)
		former.sweep()
		Expect(former.OpenTransactions()).To(Equal(20))
		f.clock.Advance(connections.ReleaseTime - 500*time.Millisecond)
		former.sweep()
		Eventually(f.fake.connections).Should(Equal(shares.Of(1)))
	})

	It("applies at once if it is lowered, whatever VMs with an older configuration send", func() {
		// Guards against unused connections beyond a lowered limit, and against requests of VMs
		// that have not received it.
		home := f.home(0)
		home.serve(50)
		home.declared.Store(10)
		home.serve(1)
		f.fake.limit = 10
		Expect(f.fake.connections()).To(Equal(connections.Split(10).First))
		for _, declared := range []int64{maxConnections, 10, maxConnections} {
			home.declared.Store(declared)
			home.serve(50)
			f.clock.Advance(time.Second)
		}
		f.expectNoneRejected()
	})

	It("counts connections that the endpoint has not ended yet", func() {
		// Guards against a new connection that arrives at the endpoint before it has noticed the end
		// of the one that made room.
		f.fake.limit = shares.First
		f.fake.lingers = true
		f.home(0).serve(50)
		f.expectNoneRejected()
	})

	It("counts a connection whose end the endpoint does not confirm", func() {
		f.fake.limit = shares.First
		f.fake.lingers, f.fake.unconfirmed = true, true
		home := f.home(0)
		home.serve(shares.First)
		go home.Run(context.Background(), request(peer.StepSingle, "READ b", func(r *peer.RunRequest) {
			r.Workspace = "other"
			r.MaxConnections = maxConnections
		}))
		Eventually(f.fake.connections).Should(BeNumerically("<", shares.First))
		Consistently(func() int {
			f.fake.mu.Lock()
			defer f.fake.mu.Unlock()
			return f.fake.rejected
		}).WithTimeout(50 * time.Millisecond).Should(BeZero())
	})

	It("counts a connection on which a reply was lost", func() {
		// Guards against a new connection in the place of one on which the endpoint still runs a
		// statement.
		f.fake.limit = shares.First
		f.fake.lingers = true
		home := f.home(0)
		home.serve(shares.First)
		f.fake.respond = func(endpoint.Command) (endpoint.Reply, error) { return endpoint.Reply{}, errConnectionLost }
		home.Run(context.Background(), request(peer.StepSingle, "WRITE a", func(r *peer.RunRequest) {
			r.Workspace = "ws0"
			r.MaxConnections = maxConnections
		}))
		f.fake.respond = nil
		home.serve(shares.First + 1)
		f.expectNoneRejected()
	})

	It("has room for control commands, of which a VM runs one at a time", func() {
		// Guards against status requests that take connections from the homes.
		home := f.home(0)
		home.serve(50)
		var open, most atomic.Int64
		f.fake.respond = func(c endpoint.Command) (endpoint.Reply, error) {
			if _, ok := c.(endpoint.Status); ok {
				most.Store(max(most.Load(), open.Add(1)))
				time.Sleep(5 * time.Millisecond)
				open.Add(-1)
			}
			return endpoint.Reply{}, nil
		}
		done := make(chan error, 3)
		for range cap(done) {
			go func() {
				_, err := home.RunControlCommand(context.Background(), target, endpoint.Status{})
				done <- err
			}()
		}
		for range cap(done) {
			Eventually(done).Should(Receive())
		}
		Expect(most.Load()).To(BeEquivalentTo(1))
		Expect(f.fake.connections()).To(Equal(shares.First))
	})
})
