package lending_test

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"amaranthdock.dev/decision/limits"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/lending"
	"amaranthdock.dev/engine/peer"
	"amaranthdock.dev/timer"
)

func TestLending(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "engine/lending")
}

// fakeFleet is a fleet of VMs that share one manual clock.
type fakeFleet struct {
	clock *timer.Manual

	mu            sync.Mutex
	configuration *catalog.Configuration
	vms           *catalog.VMSnapshot
	limiters      map[string]*lending.Limiter
	down          map[string]bool
	unregistered  int
	// start is how processes start.
	start limits.Start
	// views holds the fleets that VMs see instead of vms.
	views map[string]*catalog.VMSnapshot
	// responseDelay is the delay of each response to a loan request.
	responseDelay time.Duration
	// cut holds the VMs that reach no other VM, and uncertain those that may not use their
	// shares.
	cut, uncertain map[string]bool
}

// member is the fleet as seen by one VM.
type member struct {
	*fakeFleet
	name string
}

func (m member) Self() catalog.VM { return catalog.VM{Name: m.name} }

func (m member) VMs() *catalog.VMSnapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	if seen, ok := m.views[m.name]; ok {
		return seen
	}
	return m.vms
}

func (m member) Configuration() *catalog.Configuration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.configuration
}

func (m member) Unreachable(vm string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.down[vm]
}

func (m member) Call(_ context.Context, vm catalog.VM, _ string, arguments, answer any, _ time.Duration) error {
	m.mu.Lock()
	lender, responseDelay := m.limiters[vm.Name], m.responseDelay
	cut := m.cut[m.name] || m.cut[vm.Name] || lender == nil
	m.mu.Unlock()
	if cut {
		return peer.ErrUnreachable
	}
	*answer.(*peer.LoanResponse) = lender.Lend(arguments.(*peer.LoanRequest))
	m.clock.Advance(responseDelay)
	return nil
}

func newFleet(size int, rate, burst float64) *fakeFleet {
	f := &fakeFleet{
		clock:     timer.NewManual(timer.ManualConfig{Start: time.Unix(1000, 0)}),
		limiters:  map[string]*lending.Limiter{},
		down:      map[string]bool{},
		cut:       map[string]bool{},
		start:     limits.Resumed{},
		uncertain: map[string]bool{},
	}
	f.configureLimit(rate, burst)
	f.register(size)
	for i := range size {
		f.restart(name(i), 0)
	}
	return f
}

func name(i int) string { return fmt.Sprintf("vm%d", i) }

// configureLimit changes the rate limit of the workspace.
func (f *fakeFleet) configureLimit(rate, burst float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.configuration = &catalog.Configuration{
		Workspaces: map[string]catalog.Workspace{"ws": {
			Name:          "ws",
			RatePerSecond: rate,
			Burst:         burst,
		}},
	}
}

// register sets the number of registered VMs.
func (f *fakeFleet) register(size int) {
	vms := &catalog.VMSnapshot{ByName: map[string]catalog.VM{}}
	for i := range size {
		vms.ByName[name(i)] = catalog.VM{Name: name(i)}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms = vms
}

// restart replaces the process of a VM.
func (f *fakeFleet) restart(vm string, tolerance float64) {
	limiter := lending.New(lending.Config{
		Fleet: member{
			fakeFleet: f,
			name:      vm,
		},
		Peers: member{
			fakeFleet: f,
			name:      vm,
		},
		Timer:     f.clock,
		Log:       logr.Discard(),
		Registry:  metrics.NewRegistry(),
		Tolerance: tolerance,
		Window:    5 * time.Second,
		UnregisteredFleetSize: func() int {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.unregistered
		},
		Start: func() limits.Start {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.start
		},
		MayUseShares: func() bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			return !f.uncertain[vm]
		},
	})
	limiter.UpdateBuckets()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limiters[vm] = limiter
}

// admitAll sends requests to a VM until it refuses one, and returns the number of admitted
// ones.
func (f *fakeFleet) admitAll(vm string) int {
	admitted := 0
	for f.limiters[vm].Admit(context.Background(), "ws") == nil {
		admitted++
	}
	return admitted
}

// admitAllFor calls admitAll for the given VMs every 100 ms for a duration, and returns the
// number of admitted requests.
func (f *fakeFleet) admitAllFor(duration time.Duration, vms ...string) int {
	const step = 100 * time.Millisecond
	admitted := 0
	for elapsed := time.Duration(0); elapsed <= duration; elapsed += step {
		for _, vm := range vms {
			admitted += f.admitAll(vm)
		}
		f.clock.Advance(step)
	}
	return admitted
}

// expectAdmitted guards against a fleet that exceeds a limit, and against one that refuses
// requests within the limit.
func expectAdmitted(admitted int, least, most float64) {
	GinkgoHelper()
	Expect(float64(admitted)).To(BeNumerically(">=", least))
	Expect(float64(admitted)).To(BeNumerically("<=", most))
}

// declareWorkspaces declares many workspaces with the same limit.
func (f *fakeFleet) declareWorkspaces(count int, rate, burst float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.configuration = &catalog.Configuration{Workspaces: map[string]catalog.Workspace{}}
	for i := range count {
		workspace := fmt.Sprintf("ws%d", i)
		f.configuration.Workspaces[workspace] = catalog.Workspace{
			Name:          workspace,
			RatePerSecond: rate,
			Burst:         burst,
		}
	}
}

var _ = Describe("a change of the fleet", func() {
	It("costs no more memory among many VMs", func() {
		// Guards against sorting the whole fleet for each workspace. With 190 workspaces
		// and 295 VMs that took half of the processor time of the upkeep.
		cost := func(size int) float64 {
			f := newFleet(1, 50, 100)
			f.declareWorkspaces(190, 50, 100)
			f.limiters[name(0)].UpdateBuckets()
			const changes = 20
			var before, after runtime.MemStats
			total := uint64(0)
			for range changes {
				f.register(size)
				runtime.ReadMemStats(&before)
				f.limiters[name(0)].UpdateBuckets()
				runtime.ReadMemStats(&after)
				total += after.TotalAlloc - before.TotalAlloc
			}
			return float64(total) / changes
		}
		Expect(cost(295)).To(BeNumerically("<=", 1.3*cost(30)))
	})
})

var _ = Describe("Limits", func() {
	const rate, burst = 70, 70

	all := func(size int) []string {
		var names []string
		for i := range size {
			names = append(names, name(i))
		}
		return names
	}

	DescribeTable("hold the fleet to rate and burst, regardless of where requests arrive",
		func(size int, vms []string) {
			f := newFleet(size, rate, burst)
			f.clock.Advance(10 * time.Second)
			admitted := f.admitAllFor(5*time.Second, vms...)
			expectAdmitted(admitted, 0.9*(burst+5*rate), burst+5*rate+rate/10.0+1)
		},
		Entry("at all VMs", 7, all(7)),
		Entry("at one VM", 7, all(1)),
		Entry("at all VMs of a fleet in which some hold no share", 20, all(20)),
		Entry("on a fleet of one", 1, all(1)),
	)

	It("admit no second burst after a restart", func() {
		f := newFleet(7, rate, burst)
		f.clock.Advance(10 * time.Second)
		f.admitAllFor(0, all(7)...)
		for _, vm := range all(7) {
			f.restart(vm, 0)
		}
		// The buckets fill for the assumed minimum gap between two processes.
		expectAdmitted(f.admitAllFor(0, all(7)...), 0, 0.4*rate)
	})

	It("admit after a restart at most what the tolerance allows", func() {
		f := newFleet(7, rate, burst)
		f.clock.Advance(10 * time.Second)
		before := f.admitAllFor(0, all(7)...)
		for _, vm := range all(7) {
			f.restart(vm, 0.1)
		}
		after := f.admitAllFor(0, all(7)...)
		Expect(after).To(BeNumerically(">", 20))
		Expect(float64(before + after)).To(BeNumerically("<=", 1.1*(burst+5*rate)))
	})

	It("apply a lower rate immediately, and a lower burst within seconds", func() {
		f := newFleet(7, rate, burst)
		f.clock.Advance(10 * time.Second)
		f.configureLimit(7, 7)
		expectAdmitted(f.admitAllFor(5*time.Second, all(7)...), 0.9*burst, burst+5*7+1)
		f = newFleet(7, rate, burst)
		f.clock.Advance(10 * time.Second)
		f.configureLimit(7, 7)
		for _, vm := range all(7) {
			f.limiters[vm].UpdateBuckets()
		}
		f.clock.Advance(4 * time.Second)
		expectAdmitted(f.admitAllFor(5*time.Second, all(7)...), 25, 7+5*7+1)
	})

	It("refund the token of an operation that did not run, for a short time", func() {
		// Guards against operations that use up the limit although they did not run, and
		// against a refund that adds to a later burst.
		f := newFleet(1, rate, burst)
		f.clock.Advance(10 * time.Second)
		f.admitAll(name(0))
		f.limiters[name(0)].Refund("ws")
		f.limiters[name(0)].Refund("ws")
		Expect(f.admitAll(name(0))).To(Equal(2))
		f.configureLimit(0, burst)
		f.limiters[name(0)].Refund("ws")
		f.clock.Advance(time.Second)
		Expect(f.admitAll(name(0))).To(BeZero())
	})

	It("discard a loan whose response arrives late", func() {
		// Guards against exceeding the limit with late loans.
		f := newFleet(7, rate, burst)
		f.clock.Advance(10 * time.Second)
		own := f.admitAll(name(0))
		f.restart(name(0), 0)
		f.responseDelay = time.Second
		Expect(f.admitAll(name(0))).To(BeNumerically("<=", own))
	})

	It("refuse requests immediately while no lender has tokens, as not run and with a retry delay", func() {
		// Guards against requests that wait for tokens that no VM has.
		f := newFleet(7, rate, burst)
		f.admitAll(name(0))
		err := f.limiters[name(0)].Admit(context.Background(), "ws")
		refused, ok := refusal.As(err)
		Expect(ok).To(BeTrue())
		Expect(refused.Outcome).To(Equal(refusal.NotRun))
		Expect(refused.Reason).To(Equal(refusal.RateExceeded))
		Expect(refused.RetryAfter).To(BeNumerically(">", 0))
	})

	It("admit requests from the shares of reachable VMs while others are unreachable", func() {
		// Guards against refusing all requests because some lenders are unreachable.
		f := newFleet(7, rate, burst)
		f.clock.Advance(10 * time.Second)
		for _, vm := range all(7)[4:] {
			f.down[vm] = true
		}
		expectAdmitted(f.admitAll(name(0)), 0.9*burst*4/7-4, burst)
	})

	DescribeTable("whose burst is below a tenth of the rate admit their rate",
		// Guards against a limit that refuses all requests.
		func(size int, burst float64) {
			const steep = 100
			f := newFleet(size, steep, burst)
			f.clock.Advance(10 * time.Second)
			admitted := 0
			for range 500 {
				admitted += f.admitAll(name(0))
				f.clock.Advance(10 * time.Millisecond)
			}
			expectAdmitted(admitted, 0.9*5*steep, 5*steep+burst+1)
		},
		Entry("at a VM without others", 1, 5.0),
		Entry("without a burst", 1, 0.0),
	)

	It("refuse requests of a workspace that is not configured", func() {
		f := newFleet(1, rate, burst)
		refused, _ := refusal.As(f.limiters[name(0)].Admit(context.Background(), "other"))
		Expect(refused.Reason).To(Equal(refusal.NotAllowed))
	})

	It("admit nothing before this VM is registered", func() {
		// Guards against a VM that admits requests before it can know its share.
		f := newFleet(1, rate, burst)
		f.register(0)
		f.restart(name(0), 0.1)
		f.clock.Advance(time.Second)
		Expect(f.admitAll(name(0))).To(BeZero())
		f.register(1)
		Expect(f.admitAll(name(0))).To(BeNumerically(">", 50))
	})

	// All VMs may have to restart after a power failure while the store is unreachable.
	It("give a small share to a VM that starts while the store is unreachable", func() {
		// Guards against a fleet that refuses all requests until the store is reachable
		// again.
		for _, known := range []int{1, 40} {
			f := newFleet(1, rate, burst)
			f.register(0)
			f.unregistered = known
			f.restart(name(0), 0.1)
			f.clock.Advance(10 * time.Second)
			expectAdmitted(f.admitAll(name(0)), 1, burst/8+1)
		}
	})
})
