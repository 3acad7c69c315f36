package connections_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/connections"
)

var _ = Describe("the demand for connections", func() {
	var (
		demand connections.Demand
		now    time.Duration
	)

	// use lets workspaces use a connection for 20 ms, each once an interval, until a time.
	use := func(until time.Duration, intervals map[string]time.Duration, priority int) {
		for ; now < until; now += 50 * time.Millisecond {
			for workspace, interval := range intervals {
				if now%interval == 0 {
					demand.Begin(now, workspace, priority)
					demand.End(now+20*time.Millisecond, workspace)
				}
			}
		}
	}
	idle := func(workspace string, since time.Duration) connections.Idle {
		return connections.Idle{
			Workspace: workspace,
			Since:     since,
		}
	}

	BeforeEach(func() { demand, now = connections.Demand{}, 0 })

	It("evicts the connection that is expected to be used least often", func() {
		// Guards against an eviction of a busy workspace that has paused for a moment.
		use(30*time.Second, map[string]time.Duration{
			"busy":  100 * time.Millisecond,
			"quiet": 5 * time.Second,
		}, 0)
		Expect(demand.Evict(now, []connections.Idle{idle("busy", now-2*time.Second), idle("quiet", now)})).To(Equal(1))
	})

	It("evicts a connection of a workspace with several before the only one of another", func() {
		// Guards against a workspace that keeps the connections of its last burst.
		use(30*time.Second, map[string]time.Duration{
			"busy":  100 * time.Millisecond,
			"quiet": time.Second,
		}, 0)
		unused := []connections.Idle{idle("quiet", now-3*time.Second), idle("busy", now), idle("busy", now-time.Second), idle("busy", now)}
		Expect(demand.Evict(now, unused)).To(Equal(2))
	})

	It("keeps the connections of urgent workspaces if urgency counts", func() {
		// Guards against an eviction of the most urgent workspace for a slightly busier one.
		use(10*time.Second, map[string]time.Duration{"urgent": time.Second}, 0)
		now = 0
		use(10*time.Second, map[string]time.Duration{"batch": 700 * time.Millisecond}, 2)
		unused := []connections.Idle{idle("urgent", now), idle("batch", now)}
		Expect(demand.Evict(now, unused)).To(Equal(0))
		demand.ByUrgency = true
		Expect(demand.Evict(now, unused)).To(Equal(1))
	})

	It("closes a connection after a single use, and keeps one that is used regularly", func() {
		// Guards against connections that are closed in each gap between statements, and against
		// connections that are kept forever.
		use(time.Minute, map[string]time.Duration{"regular": 2 * time.Second}, 0)
		demand.Begin(now, "single", 0)
		demand.End(now, "single")
		unused := []connections.Idle{idle("regular", now), idle("regular", now), idle("single", now)}
		Expect(demand.Unneeded(now+connections.MinIdleTime-time.Millisecond, unused)).To(Equal([]bool{false, false, false}))
		Expect(demand.Unneeded(now+5*time.Second, unused)).To(Equal([]bool{true, false, true}))
		Expect(demand.Unneeded(now+2*time.Minute, unused)).To(Equal([]bool{true, true, true}))
	})
})
