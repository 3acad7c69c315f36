package control_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/client"
	"amaranthdock.dev/loadtool/harness"
)

const (
	// steadyShare of its rate that a workspace must get without a refusal.
	steadyShare = 0.85
	// warmUp before a steady state, also after a change of the fleet.
	warmUp = 5 * time.Second
	// steadyTime is how long the steady state is watched in each phase.
	steadyTime = 4 * time.Second
	// floodFactor of a workspace's rate.
	floodFactor = 3
)

var _ = Describe("limits", Ordered, ContinueOnFailure, func() {
	var d *deployment

	BeforeAll(func() {
		d = startControl(101, asHladnik, asDeclared)
	})

	// limitOf returns the shape of a workspace.
	limitOf := func(name string) harness.WorkspaceSpec {
		GinkgoHelper()
		at := slices.IndexFunc(d.shape.Workspaces, func(w harness.WorkspaceSpec) bool { return w.Name == name })
		Expect(at).To(BeNumerically(">=", 0))
		return d.shape.Workspaces[at]
	}
	start := func(name, marker string, factor float64, targets func() []*harness.VM) *load {
		return d.startLoad(loadConfig{
			key:     d.declared.Keys[name],
			marker:  marker,
			rate:    limitOf(name).Rate * factor,
			targets: targets,
		})
	}

	It("G7: guards against wrongful refusals at 85% of the rate", func() {
		lost := d.VMs[2]
		present := func() []*harness.VM {
			return slices.DeleteFunc(slices.Clone(d.LiveVMs()), func(v *harness.VM) bool { return v == lost })
		}
		loads := map[string]*load{
			"through one":         start("inspectors", "steady", steadyShare, always(d.VMs[0])),
			"through two":         start("wholesalers", "steady", steadyShare, always(d.VMs[1], d.VMs[5])),
			"evenly":              start("certificates", "steady", steadyShare, present),
			"small through one":   start("installers", "steady", steadyShare, always(d.VMs[6])),
			"small through two":   start("logbooks", "steady", steadyShare, always(d.VMs[3], d.VMs[4])),
			"small, evenly":       start("training", "steady", steadyShare, present),
			"public, through one": d.startLoad(d.publicLoad(steadyShare*100, always(d.VMs[1]))),
		}
		phases := []struct {
			name  string
			begin func()
		}{
			{name: "all VMs", begin: func() {}},
			{name: "store out", begin: func() { d.storeFaults(`{"outage":"fail"}`) }},
			{name: "one VM lost", begin: func() {
				d.storeFaults(`{"outage":"off"}`)
				d.loseVM(lost)
			}},
		}
		type window struct{ from, to time.Time }
		windows := map[string]window{}
		for _, p := range phases {
			p.begin()
			pause(warmUp)
			from := clock.Now()
			pause(steadyTime)
			windows[p.name] = window{from: from, to: clock.Now()}
			held, tokens := d.shares()
			GinkgoWriter.Printf("%s: millionths held %v, tokens %v\n", p.name, held, tokens)
		}
		for _, l := range loads {
			l.stop()
		}
		d.returnVM(lost)
		for phase, w := range windows {
			for name, l := range loads {
				requests := l.between(w.from, w.to)
				counts := reasons(requests)
				GinkgoWriter.Printf("%s, %s: %d requests, by reason %v\n", phase, name, len(requests), counts)
				Expect(requests).NotTo(BeEmpty())
				for _, r := range requests {
					Expect(r.reason).NotTo(Equal("rateExceeded"), "%s, %s: %s after the start of the phase at %s: %v",
						phase, name, r.sent.Sub(w.from)+warmUp, r.vm.Name, r.err)
				}
			}
		}
	})

	DescribeTable("G7: guards against more than burst + rate x t under a flood",
		func(workspace, marker string, targets func() []*harness.VM, fault func()) {
			first := clock.Now()
			l := start(workspace, marker, floodFactor, targets)
			pause(time.Second)
			fault()
			pause(2 * time.Second)
			l.stop()
			elapsed := clock.Now().Sub(first)
			limit := limitOf(workspace)
			ran := d.countMarked(marker)
			bound := float64(limit.Burst) + limit.Rate*elapsed.Seconds()
			GinkgoWriter.Printf("%d ran at the members, bound %.0f, in %s\n", ran, bound, elapsed)
			Expect(float64(ran)).To(BeNumerically("<=", bound))
			Expect(float64(ran)).To(BeNumerically(">=", 0.6*limit.Rate*elapsed.Seconds()), "the flood must reach the limit")
			Expect(reasons(l.all())["rateExceeded"]).To(BeNumerically(">", 0))
			expectSlidingBound(l.all(), limit)
		},
		Entry("evenly", "inspectors", "flood-even", func() []*harness.VM { return d.VMs }, func() {}),
		Entry("through one proxy", "wholesalers", "flood-one", func() []*harness.VM { return d.VMs[:1] }, func() {}),
		Entry("while a proxy is killed and restarted", "inspectors", "flood-kill", func() []*harness.VM { return d.VMs }, func() {
			Expect(d.VMs[3].Kill()).To(Succeed())
			pause(time.Second)
			Expect(d.VMs[3].Start()).To(Succeed())
			pause(time.Second)
		}),
		Entry("while a proxy is frozen", "wholesalers", "flood-freeze", func() []*harness.VM { return d.VMs }, func() {
			Expect(d.VMs[4].Pause()).To(Succeed())
			pause(1500 * time.Millisecond)
			Expect(d.VMs[4].Continue()).To(Succeed())
		}),
		Entry("while the store is out", "inspectors", "flood-store", func() []*harness.VM { return d.VMs }, func() {
			d.storeFaults(`{"outage":"hang"}`)
			pause(2 * time.Second)
			d.storeFaults(`{"outage":"off"}`)
		}),
		Entry("while a holder's VM is replaced", "wholesalers", "flood-replace", func() []*harness.VM { return d.VMs }, func() {
			d.loseVM(d.VMs[2])
			pause(1500 * time.Millisecond)
			d.returnVM(d.VMs[2])
		}),
	)
})

// publicLoad is a load on the public route.
func (d *deployment) publicLoad(rate float64, targets func() []*harness.VM) loadConfig {
	return loadConfig{
		marker:  "public",
		rate:    rate,
		route:   harness.PublicRoute,
		targets: targets,
	}
}

// loseVM kills a VM, and the platform's list soon no longer names it.
func (d *deployment) loseVM(v *harness.VM) {
	GinkgoHelper()
	Expect(v.Kill()).To(Succeed())
	Expect(d.SetVMList(GinkgoT().Context(), d.LiveVMs())).To(Succeed())
}

// returnVM starts a VM again that was lost.
func (d *deployment) returnVM(v *harness.VM) {
	GinkgoHelper()
	Expect(v.Start()).To(Succeed())
	Expect(d.SetVMList(GinkgoT().Context(), d.LiveVMs())).To(Succeed())
	Expect(d.WaitReady(GinkgoT().Context(), v)).To(Succeed())
}

// countMarked counts the requests of a load that ran at any member.
func (d *deployment) countMarked(marker string) int {
	GinkgoHelper()
	ids := map[string]struct{}{}
	for _, s := range d.allStatements() {
		if len(s.Arguments) > 0 && markerOf(s.Arguments[0]) == marker {
			Expect(s.RequestID).NotTo(BeEmpty())
			ids[s.RequestID] = struct{}{}
		}
	}
	return len(ids)
}

// expectSlidingBound checks the bound on the requests that were done wholly
// within any window.
func expectSlidingBound(requests []sentRequest, limit harness.WorkspaceSpec) {
	GinkgoHelper()
	done := slices.DeleteFunc(requests, func(r sentRequest) bool { return r.outcome != client.Done })
	bySent := slices.Clone(done)
	slices.SortFunc(bySent, func(a, b sentRequest) int { return a.sent.Compare(b.sent) })
	slices.SortFunc(done, func(a, b sentRequest) int { return a.received.Compare(b.received) })
	for _, first := range bySent {
		count := 0
		for _, r := range done {
			if r.sent.Before(first.sent) {
				continue
			}
			count++
			window := r.received.Sub(first.sent)
			if float64(count) > float64(limit.Burst)+limit.Rate*window.Seconds() {
				Fail("more was admitted than burst + rate x t in a window of " + window.String())
			}
		}
	}
}
