package lending_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

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

// fakeFleet is a fleet whose VMs share one clock.
type fakeFleet struct {
	clock *timer.Manual

	mu            sync.Mutex
	configuration *catalog.Configuration
	vms           *catalog.VMSnapshot
	limits        map[string]*lending.Limiter
	down          map[string]bool
	unregistered  int
	// late delays the answers of loans.
	late time.Duration
}

// member is one VM's sight of the fleet.
type member struct {
	*fakeFleet
	name string
}

func (m member) Self() catalog.VM { return catalog.VM{Name: m.name} }

func (m member) VMs() *catalog.VMSnapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
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
	lender, late := m.limits[vm.Name], m.late
	m.mu.Unlock()
	*answer.(*peer.LoanResponse) = lender.Lend(arguments.(*peer.LoanRequest))
	m.clock.Advance(late)
	return nil
}

func newFleet(size int, rate, burst float64) *fakeFleet {
	f := &fakeFleet{
		clock:  timer.NewManual(timer.ManualConfig{Start: time.Unix(1000, 0)}),
		limits: map[string]*lending.Limiter{},
		down:   map[string]bool{},
	}
	f.declare(rate, burst)
	f.register(size)
	for i := range size {
		f.restart(name(i), 0)
	}
	return f
}

func name(i int) string { return fmt.Sprintf("vm%d", i) }

// declare changes the workspace's limit.
func (f *fakeFleet) declare(rate, burst float64) {
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

// register makes a fleet of VMs known.
func (f *fakeFleet) register(size int) {
	vms := &catalog.VMSnapshot{ByName: map[string]catalog.VM{}}
	for i := range size {
		vms.ByName[name(i)] = catalog.VM{Name: name(i)}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms = vms
}

// restart replaces a VM's process.
func (f *fakeFleet) restart(vm string, tolerance float64) {
	limits := lending.New(lending.Config{
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
	})
	limits.UpdateBuckets()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limits[vm] = limits
}

// flood asks a VM for more than there is, and returns what it admits.
func (f *fakeFleet) flood(vm string) int {
	admitted := 0
	for f.limits[vm].Admit(context.Background(), "ws") == nil {
		admitted++
	}
	return admitted
}

// floodFor floods the given VMs in steps over a time.
func (f *fakeFleet) floodFor(duration time.Duration, vms ...string) int {
	const step = 100 * time.Millisecond
	admitted := 0
	for elapsed := time.Duration(0); elapsed <= duration; elapsed += step {
		for _, vm := range vms {
			admitted += f.flood(vm)
		}
		f.clock.Advance(step)
	}
	return admitted
}

// expectAdmitted guards against a fleet that passes a limit, and against one that
// refuses what it allows.
func expectAdmitted(admitted int, least, most float64) {
	GinkgoHelper()
	Expect(float64(admitted)).To(BeNumerically(">=", least))
	Expect(float64(admitted)).To(BeNumerically("<=", most))
}

var _ = Describe("Limits", func() {
	const rate, burst = 70, 70

	all := func(size int) []string {
		var names []string
		for i := range size {
			names = append(names, name(i))
		}
		return names
	}

	DescribeTable("hold the fleet to rate and burst, wherever the requests arrive",
		func(size int, vms []string) {
			f := newFleet(size, rate, burst)
			f.clock.Advance(10 * time.Second)
			admitted := f.floodFor(5*time.Second, vms...)
			expectAdmitted(admitted, 0.9*(burst+5*rate), burst+5*rate+rate/10.0+1)
		},
		Entry("at all VMs", 7, all(7)),
		Entry("at one VM", 7, all(1)),
		Entry("at a VM without a part of its own", 20, all(20)),
		Entry("on a fleet of one", 1, all(1)),
	)

	It("admit no second burst after a restart", func() {
		f := newFleet(7, rate, burst)
		f.clock.Advance(10 * time.Second)
		f.floodFor(0, all(7)...)
		for _, vm := range all(7) {
			f.restart(vm, 0)
		}
		// A part of a second passes between the end of a process and its successor.
		expectAdmitted(f.floodFor(0, all(7)...), 0, 0.4*rate)
	})

	It("admit after a restart at most what the tolerance allows", func() {
		f := newFleet(7, rate, burst)
		f.clock.Advance(10 * time.Second)
		before := f.floodFor(0, all(7)...)
		for _, vm := range all(7) {
			f.restart(vm, 0.1)
		}
		after := f.floodFor(0, all(7)...)
		Expect(after).To(BeNumerically(">", 20))
		Expect(float64(before + after)).To(BeNumerically("<=", 1.1*(burst+5*rate)))
	})

	It("apply a lower rate at once, and a lower burst within seconds", func() {
		f := newFleet(7, rate, burst)
		f.clock.Advance(10 * time.Second)
		f.declare(7, 7)
		expectAdmitted(f.floodFor(5*time.Second, all(7)...), 0.9*burst, burst+5*7+1)
		f = newFleet(7, rate, burst)
		f.clock.Advance(10 * time.Second)
		f.declare(7, 7)
		for _, vm := range all(7) {
			f.limits[vm].UpdateBuckets()
		}
		f.clock.Advance(4 * time.Second)
		expectAdmitted(f.floodFor(5*time.Second, all(7)...), 25, 7+5*7+1)
	})

	It("take back the token of an operation that did not run, for a short time", func() {
		f := newFleet(1, rate, burst)
		f.clock.Advance(10 * time.Second)
		f.flood(name(0))
		f.limits[name(0)].Refund("ws")
		f.limits[name(0)].Refund("ws")
		Expect(f.flood(name(0))).To(Equal(2))
		f.declare(0, burst)
		f.limits[name(0)].Refund("ws")
		f.clock.Advance(time.Second)
		Expect(f.flood(name(0))).To(BeZero())
	})

	It("spend no loan that arrives late", func() {
		f := newFleet(7, rate, burst)
		f.clock.Advance(10 * time.Second)
		own := f.flood(name(0))
		f.restart(name(0), 0)
		f.late = time.Second
		Expect(f.flood(name(0))).To(BeNumerically("<=", own))
	})

	It("refuse at once while no lender has tokens, as not run and with a delay", func() {
		f := newFleet(7, rate, burst)
		f.flood(name(0))
		err := f.limits[name(0)].Admit(context.Background(), "ws")
		refused, ok := refusal.As(err)
		Expect(ok).To(BeTrue())
		Expect(refused.Outcome).To(Equal(refusal.NotRun))
		Expect(refused.Reason).To(Equal(refusal.RateExceeded))
		Expect(refused.RetryAfter).To(BeNumerically(">", 0))
	})

	It("admit from the other VMs' parts while some cannot be reached", func() {
		f := newFleet(7, rate, burst)
		f.clock.Advance(10 * time.Second)
		for _, vm := range all(7)[4:] {
			f.down[vm] = true
		}
		expectAdmitted(f.flood(name(0)), 0.9*burst*4/7-4, burst)
	})

	It("know no workspace that the configuration does not name", func() {
		f := newFleet(1, rate, burst)
		refused, _ := refusal.As(f.limits[name(0)].Admit(context.Background(), "other"))
		Expect(refused.Reason).To(Equal(refusal.NotAllowed))
	})

	It("give nothing before this VM has a place in the fleet", func() {
		f := newFleet(1, rate, burst)
		f.register(0)
		f.restart(name(0), 0.1)
		f.clock.Advance(time.Second)
		Expect(f.flood(name(0))).To(BeZero())
		f.register(1)
		Expect(f.flood(name(0))).To(BeNumerically(">", 50))
	})

	// All VMs may have lost power while the store is away.
	It("give a small part to a VM that has to start without the store", func() {
		for _, known := range []int{1, 40} {
			f := newFleet(1, rate, burst)
			f.register(0)
			f.unregistered = known
			f.restart(name(0), 0.1)
			f.clock.Advance(10 * time.Second)
			expectAdmitted(f.flood(name(0)), 1, burst/8+1)
		}
	})
})
