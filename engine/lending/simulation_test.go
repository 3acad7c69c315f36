package lending_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/limits"
	"amaranthdock.dev/engine/catalog"
)

// fleetOf returns the registrations of the given VMs.
func fleetOf(vms ...string) *catalog.VMSnapshot {
	snapshot := &catalog.VMSnapshot{ByName: map[string]catalog.VM{}}
	for _, vm := range vms {
		snapshot.ByName[vm] = catalog.VM{Name: vm}
	}
	return snapshot
}

// admissions records the admitted requests of each step of a simulation.
type admissions struct {
	step     time.Duration
	admitted []int
}

// run admits as many requests as possible at all VMs in each step, after calling change with
// the number of the step.
func (a *admissions) run(f *fakeFleet, vms []string, steps int, change func(step int)) {
	for i := range steps {
		change(i)
		total := 0
		for _, vm := range vms {
			f.limiters[vm].UpdateBuckets()
			total += f.admitAll(vm)
		}
		a.admitted = append(a.admitted, total)
		f.clock.Advance(a.step)
	}
}

// busiestWindow returns the largest number of admitted requests in a window.
func (a *admissions) busiestWindow(window time.Duration) (most int) {
	steps := int(window / a.step)
	for first := range a.admitted {
		sum := 0
		for _, n := range a.admitted[first:min(first+steps, len(a.admitted))] {
			sum += n
		}
		most = max(most, sum)
	}
	return most
}

// quotaWindow is the window within which the users' platform counts requests.
const quotaWindow = 5 * time.Second

// expectWithinLimit guards against a fleet that exceeds a limit by more than the platform
// tolerates: 10% and 20 requests.
func (a *admissions) expectWithinLimit(rate, burst float64) {
	GinkgoHelper()
	Expect(float64(a.busiestWindow(quotaWindow))).To(BeNumerically("<=", 1.1*(rate*quotaWindow.Seconds()+burst)+20), "admitted by step: %v", a.admitted)
}

var _ = Describe("a limit whose workspace asks for more", func() {
	const (
		size  = 69
		rate  = 200.0
		burst = 150.0
		step  = 100 * time.Millisecond
	)
	var (
		f   *fakeFleet
		all []string
		a   *admissions
	)

	BeforeEach(func() {
		f = newFleet(size, rate, burst)
		all = nil
		for i := range size {
			all = append(all, name(i))
		}
		f.clock.Advance(10 * time.Second)
		a = &admissions{step: step}
	})

	It("holds while the fleet's registrations lapse and return one by one", func() {
		// Guards against more holders than shares: after an outage of the store with
		// lapsed leases, each VM of 69 saw another part of the fleet, and 1,313 requests
		// were admitted in 5 s instead of 1,274.
		random := rand.New(rand.NewPCG(1, 2))
		a.run(f, all, 100, func(i int) {
			if i < 30 || i > 45 {
				f.views = nil
				return
			}
			f.views = map[string]*catalog.VMSnapshot{}
			for _, vm := range all {
				seen := []string{vm}
				for _, other := range all {
					if random.IntN(16) < i-29 {
						seen = append(seen, other)
					}
				}
				f.views[vm] = fleetOf(seen...)
			}
		})
		a.expectWithinLimit(rate, burst)
	})

	It("holds while holders are replaced by other VMs", func() {
		// Guards against a new holder that starts with a full burst although the previous
		// one has spent it, and against both using the share while VMs learn of the change.
		f = newFleet(size, rate, burst)
		f.clock.Advance(10 * time.Second)
		a.run(f, all, 100, func(i int) {
			gone := min(i/10, 8)
			late := min(max(i-10, 0)/10, 8)
			f.register(size - gone)
			f.views = map[string]*catalog.VMSnapshot{}
			for n, vm := range all {
				if n%2 == 0 {
					f.views[vm] = fleetOf(all[:size-late]...)
				}
			}
		})
		a.expectWithinLimit(rate, burst)
	})

	It("is used in full again soon after the fleet has changed", func() {
		// Guards against holders that never use the share of a VM that has left.
		a.run(f, all, 80, func(i int) {
			if i == 30 {
				f.register(size - 8)
			}
		})
		sum := 0
		for _, n := range a.admitted[60:] {
			sum += n
		}
		Expect(float64(sum)).To(BeNumerically(">=", 0.9*rate*(20*step).Seconds()))
	})

	It("is used in full as soon as it is lowered", func() {
		// Guards against refusals below a lowered limit, which has fewer holders with
		// larger shares: half of the requests were refused for 2 s.
		const lowerRate = 40.0
		a.run(f, all, 70, func(i int) {
			if i == 30 {
				f.configureLimit(lowerRate, 20)
			}
		})
		sum := 0
		for _, n := range a.admitted[30:50] {
			sum += n
		}
		Expect(float64(sum)).To(BeNumerically(">=", 0.9*lowerRate*(20*step).Seconds()))
	})

	It("holds when processes start whose registrations had lapsed", func() {
		// Guards against a second burst at VMs whose shares others held meanwhile.
		f.start = limits.Joined{}
		a.run(f, all, 60, func(i int) {
			if i == 20 {
				for _, vm := range all {
					f.restart(vm, 0.1)
				}
			}
		})
		a.expectWithinLimit(rate, burst)
	})
})
