package caller_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/caller"
	"amaranthdock.dev/engine/peer"
	"amaranthdock.dev/engine/statement"
)

var _ = Describe("urgency across workspaces", func() {
	const targetLatency = 500 * time.Millisecond
	var f *fixture

	// setTarget gives a route a priority and a target.
	setTarget := func(host string, priority int) {
		changed := configuration(2, map[string]string{"key": "ws"})
		route := changed.Routes[host]
		route.Priority = priority
		route.TargetLatency = targetLatency
		changed.Routes[host] = route
		f.view.AcceptConfiguration(changed, "test")
	}

	BeforeEach(func() {
		f = newFixtureWith(func(c *caller.Config) { c.UrgencyAcrossWorkspaces = true }).start()
		setTarget("strict", 0)
	})

	It("sends the time that is left until the target of a single statement", func() {
		expectServed(do(f.open("strict"), statement.Read{}, "READ a"), statement.Idle)
		Expect(f.fleet.lastRun().Target).To(BeNumerically("~", targetLatency, 100*time.Millisecond))
	})

	It("counts the target of a transaction from its begin", func() {
		// Guards against a long transaction whose every statement seems to have the whole time.
		session := f.open("strict")
		expectServed(do(session, statement.Begin{}, "BEGIN"), statement.InTransaction)
		time.Sleep(20 * time.Millisecond)
		expectServed(do(session, statement.Write{}, "WRITE a"), statement.InTransaction)
		first := f.fleet.lastRun().Target
		Expect(first).To(BeNumerically("<=", targetLatency-20*time.Millisecond))
		time.Sleep(20 * time.Millisecond)
		expectServed(do(session, statement.Write{}, "WRITE b"), statement.InTransaction)
		Expect(f.fleet.lastRun().Target).To(BeNumerically("<=", first-20*time.Millisecond))
	})

	It("sends no target without the setting or the route's target", func() {
		expectServed(do(f.open("own"), statement.Read{}, "READ a"), statement.Idle)
		Expect(f.fleet.lastRun().Target).To(BeZero())
		f = newFixture().start()
		setTarget("strict", 0)
		expectServed(do(f.open("strict"), statement.Read{}, "READ a"), statement.Idle)
		Expect(f.fleet.lastRun().Target).To(BeZero())
	})

	It("sends few reads a second time while all endpoints are full", func() {
		// Guards against a burst that doubles because each refused read goes to another
		// endpoint.
		f.acceptSample(90)
		f.fleet.respond = refuseAt(refusal.NewNotRun(refusal.Overloaded, "full"), "p", "r1", "r2")
		session := f.open("bounded")
		const reads = 100
		for range reads {
			expectRefused(do(session, statement.Read{}, "READ a"), refusal.NotRun, refusal.Overloaded, statement.Idle)
		}
		Expect(len(f.fleet.steps())).To(BeNumerically("<=", reads+3+reads/10))
	})

	It("chooses endpoints by the wait that was reported for the priority", func() {
		// Guards against an urgent statement that did not wait and makes a full endpoint look
		// idle to less urgent ones, and against the reverse.
		f.fleet.respond = func(_ string, r *peer.RunRequest) (*peer.RunResponse, error) {
			if r.Step == peer.StepPosition {
				return nil, nil
			}
			result := successResult(r)
			if r.Endpoint == "r1" && r.Priority > 0 {
				result.ExpectedWait = time.Second
			}
			return result, nil
		}
		f.acceptSample(90)
		changed := configuration(3, map[string]string{"key": "ws"})
		urgent := changed.Routes["bounded"]
		less := urgent
		less.Priority = 2
		less.Host = "less"
		changed.Routes["less"] = less
		f.view.AcceptConfiguration(changed, "test")
		read := func(host string) string {
			expectServed(do(f.open(host), statement.Read{}, "READ a"), statement.Idle)
			return f.fleet.lastRun().Endpoint
		}
		Expect(read("bounded")).To(Equal("r1"))
		Expect(read("less")).To(Equal("r1"))
		Expect(read("bounded")).To(Equal("r1"))
		Expect(read("less")).To(Equal("r2"))
	})
})
