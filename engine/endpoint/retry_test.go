package endpoint_test

import (
	"context"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/endpoint"
	"amaranthdock.dev/engine/peer"
	"amaranthdock.dev/timer"
)

// The failures after which a home sends something again.
func loseReply(c endpoint.Command) (endpoint.Reply, error) {
	if _, ok := c.(endpoint.Forward); ok {
		return endpoint.Reply{}, errConnectionLost
	}
	return endpoint.Reply{}, nil
}

func refuseSetup(c endpoint.Command) (endpoint.Reply, error) {
	if _, ok := c.(endpoint.Set); ok {
		return scriptedRefusal(endpoint.ExecutionFailed)
	}
	return endpoint.Reply{}, nil
}

func refuseCommit(c endpoint.Command) (endpoint.Reply, error) {
	if _, ok := c.(endpoint.Commit); ok {
		return scriptedRefusal(endpoint.Busy)
	}
	return endpoint.Reply{}, nil
}

var _ = Describe("the retries of a home", func() {
	ctx := context.Background()
	var fake *fakeEndpoint
	var home *endpoint.Home

	BeforeEach(func() {
		fake = &fakeEndpoint{}
		home = newHome(fake)
	})

	read := func() *peer.RunResponse {
		return home.Run(ctx, request(peer.StepSingle, "READ a"))
	}
	values := 0
	readWithNewValue := func() *peer.RunResponse {
		values++
		return home.Run(ctx, request(peer.StepSingle, "READ a", func(r *peer.RunRequest) {
			r.Values = map[string]string{"tz": strconv.Itoa(values)}
		}))
	}
	transaction := func() *peer.RunResponse {
		expectServed(home.Run(ctx, request(peer.StepFirst, "WRITE a b")))
		return home.Run(ctx, request(peer.StepCommit, "COMMIT"))
	}
	sent := func(prefix string) int {
		count := 0
		for _, command := range fake.commands() {
			if strings.HasPrefix(command, prefix) {
				count++
			}
		}
		return count
	}

	// Guards against retries that multiply the load of an endpoint in trouble. Each run may add
	// 0.18 to the 3 retries of a new process.
	DescribeTable("are limited by the budget of the workspace",
		func(fault func(endpoint.Command) (endpoint.Reply, error), run func() *peer.RunResponse, command string) {
			fake.respond = fault
			const runs = 15
			for range runs {
				Expect(run().Refused).NotTo(BeNil())
			}
			Expect(sent(command)).To(BeNumerically("<=", runs+3+runs*18/100))
			Expect(sent(command)).To(BeNumerically(">", runs))
		},
		Entry("of reads whose reply is lost", loseReply, read, "READ"),
		Entry("of the setup of connections", refuseSetup, readWithNewValue, "set"),
		Entry("of commits at a busy endpoint", refuseCommit, transaction, "commit"),
	)

	// Guards against callers that get errors of an endpoint that fails rarely, because the budget
	// is too small for that.
	DescribeTable("cover one failure in 15", func(fault func(endpoint.Command) (endpoint.Reply, error), run func() *peer.RunResponse) {
		calls := 0
		fake.respond = func(c endpoint.Command) (endpoint.Reply, error) {
			if reply, err := fault(c); reply.Err != nil || err != nil {
				if calls++; calls%15 == 0 {
					return reply, err
				}
			}
			return endpoint.Reply{}, nil
		}
		for range 400 {
			expectServed(run())
		}
	},
		Entry("of reads whose reply is lost", loseReply, read),
		Entry("of the setup of connections", refuseSetup, readWithNewValue),
		Entry("of commits at a busy endpoint", refuseCommit, transaction),
	)

	It("of a commit end after a suspension that outlasts its time limit", func() {
		// Guards against a commit that takes effect long after its caller was told that the
		// outcome is not known.
		clock := timer.NewManual(timer.ManualConfig{Start: time.Unix(1000, 0)})
		home = newHomeWithClock(fake, clock)
		expectServed(home.Run(ctx, request(peer.StepFirst, "WRITE a b")))
		fake.mu.Lock()
		fake.respond = refuseCommit
		fake.mu.Unlock()
		result := make(chan *peer.RunResponse, 1)
		go func() { result <- home.Run(ctx, request(peer.StepCommit, "COMMIT")) }()
		Eventually(func() int { return sent("commit") }).Should(Equal(1))
		Eventually(clock.Subscribers).Should(Equal(1))
		clock.Suspend(time.Second)
		clock.Advance(20 * time.Millisecond)
		var ran *peer.RunResponse
		Eventually(result).Should(Receive(&ran))
		expectRefused(ran, refusal.NotRun, refusal.Overloaded)
		Expect(sent("commit")).To(Equal(1))
	})

	It("are not the only attempts of a commit that end with its time limit", func() {
		// Guards against a commit that is sent after a suspension, behind another step of its
		// transaction for which it waited.
		clock := timer.NewManual(timer.ManualConfig{Start: time.Unix(1000, 0)})
		home = newHomeWithClock(fake, clock)
		expectServed(home.Run(ctx, request(peer.StepFirst, "WRITE a b")))
		fake.mu.Lock()
		fake.holdReads = make(chan struct{})
		fake.mu.Unlock()
		step, commit := make(chan *peer.RunResponse, 1), make(chan *peer.RunResponse, 1)
		go func() { step <- home.Run(ctx, request(peer.StepNext, "READ a")) }()
		Eventually(func() int { return sent("READ") }).Should(Equal(1))
		go func() { commit <- home.Run(ctx, request(peer.StepCommit, "COMMIT")) }()
		Consistently(commit).WithTimeout(200 * time.Millisecond).ShouldNot(Receive())
		clock.Suspend(time.Second)
		close(fake.holdReads)
		Eventually(step).Should(Receive())
		var ran *peer.RunResponse
		Eventually(commit).Should(Receive(&ran))
		expectRefused(ran, refusal.NotRun, refusal.QueueTimeout)
		Expect(sent("commit")).To(BeZero())
		Expect(home.OpenTransactions()).To(BeZero())
	})

	Describe("of the first statement of a transaction", func() {
		// busyTimes refuses the first commands of a kind as busy.
		busyTimes := func(times int, matches func(endpoint.Command) bool) {
			fake.respond = func(c endpoint.Command) (endpoint.Reply, error) {
				if times > 0 && matches(c) {
					times--
					return scriptedRefusal(endpoint.Busy)
				}
				return endpoint.Reply{}, nil
			}
		}
		isBegin := func(c endpoint.Command) bool { _, ok := c.(endpoint.Begin); return ok }
		isStatement := func(c endpoint.Command) bool { _, ok := c.(endpoint.Forward); return ok }

		DescribeTable("follow a busy reply", func(matches func(endpoint.Command) bool) {
			// Guards against a transaction that is refused although a slot is free a moment later,
			// and against a statement that runs outside of its transaction.
			busyTimes(2, matches)
			expectServed(home.Run(ctx, request(peer.StepFirst, "WRITE a b")))
			expectServed(home.Run(ctx, request(peer.StepCommit, "COMMIT")))
			Expect(sent("rollback")).To(Equal(2))
			Expect(fake.commands()[len(fake.commands())-3:]).To(Equal([]string{"begin", "WRITE a b", "commit"}))
			Expect(fake.connections()).To(Equal(1))
		},
			Entry("to the statement", isStatement),
			Entry("to the begin", isBegin),
		)

		It("do not follow if the transaction can run at another endpoint", func() {
			busyTimes(1, isStatement)
			refused := home.Run(ctx, request(peer.StepFirst, "READ a", func(r *peer.RunRequest) { r.Alternatives = true }))
			expectRefused(refused, refusal.NotRun, refusal.Overloaded)
			Expect(sent("READ")).To(Equal(1))
		})

		It("are limited by the budget and leave no transaction open", func() {
			// Guards against retries that keep an endpoint overloaded.
			busyTimes(1000, isStatement)
			for range 10 {
				expectRefused(home.Run(ctx, request(peer.StepFirst, "WRITE a b")), refusal.NotRun, refusal.Overloaded)
			}
			Expect(sent("WRITE")).To(And(BeNumerically(">", 10), BeNumerically("<=", 14)))
			Expect(sent("rollback")).To(Equal(sent("WRITE")))
			Expect(home.OpenTransactions()).To(BeZero())
		})
	})
})
