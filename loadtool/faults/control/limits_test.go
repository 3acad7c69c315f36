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
	// steadyRateFactor is the fraction of its rate that a workspace must get without a
	// refusal.
	steadyRateFactor = 0.85
	// warmUpTime is the time until the load is steady, at the start and after each
	// change of the fleet.
	warmUpTime = 5 * time.Second
	// steadyDuration is how long the steady load is measured in each phase.
	steadyDuration = 4 * time.Second
	// floodRateFactor is the rate of a flood in multiples of the workspace's rate.
	floodRateFactor = 3
)

var _ = Describe("limits", Ordered, ContinueOnFailure, func() {
	var d *deployment

	BeforeAll(func() {
		d = startDeployment(101, defaultConfig, defaultDeclaration)
	})

	// limitOf returns the specification of a workspace, which holds its limit.
	limitOf := func(name string) harness.WorkspaceSpec {
		GinkgoHelper()
		at := slices.IndexFunc(d.spec.Workspaces, func(w harness.WorkspaceSpec) bool { return w.Name == name })
		Expect(at).To(BeNumerically(">=", 0))
		return d.spec.Workspaces[at]
	}
	startWorkspaceLoad := func(name, keyPrefix string, factor float64, targets func() []*harness.VM) *load {
		return d.startLoad(loadConfig{
			key:       d.declared.Keys[name],
			keyPrefix: keyPrefix,
			rate:      limitOf(name).Rate * factor,
			targets:   targets,
		})
	}

	It("G7: requests at 85% of the rate are not refused", func() {
		// Guards against wrongful refusals of a workspace below its limit, through
		// whichever VMs its requests arrive, and also while the store is down or after
		// a VM was lost.
		removedVM := d.VMs[2]
		remainingVMs := func() []*harness.VM {
			return slices.DeleteFunc(slices.Clone(d.LiveVMs()), func(v *harness.VM) bool { return v == removedVM })
		}
		loads := map[string]*load{
			"through one VM":              startWorkspaceLoad("inspectors", "steady", steadyRateFactor, fixedTargets(d.VMs[0])),
			"through two VMs":             startWorkspaceLoad("wholesalers", "steady", steadyRateFactor, fixedTargets(d.VMs[1], d.VMs[5])),
			"through all VMs":             startWorkspaceLoad("certificates", "steady", steadyRateFactor, remainingVMs),
			"low rate through one VM":     startWorkspaceLoad("installers", "steady", steadyRateFactor, fixedTargets(d.VMs[6])),
			"low rate through two VMs":    startWorkspaceLoad("logbooks", "steady", steadyRateFactor, fixedTargets(d.VMs[3], d.VMs[4])),
			"low rate through all VMs":    startWorkspaceLoad("training", "steady", steadyRateFactor, remainingVMs),
			"public route through one VM": d.startLoad(d.publicLoad(steadyRateFactor*100, fixedTargets(d.VMs[1]))),
		}
		phases := []struct {
			name  string
			begin func()
		}{
			{name: "all VMs", begin: func() {}},
			{name: "store down", begin: func() { d.setStoreFaults(`{"outage":"fail"}`) }},
			{name: "one VM lost", begin: func() {
				d.setStoreFaults(`{"outage":"off"}`)
				d.killAndUnlist(removedVM)
			}},
		}
		type window struct{ from, to time.Time }
		windows := map[string]window{}
		for _, p := range phases {
			p.begin()
			sleep(warmUpTime)
			from := clock.Now()
			sleep(steadyDuration)
			windows[p.name] = window{from: from, to: clock.Now()}
			totalShares, tokens := d.shares()
			GinkgoWriter.Printf("%s: shares in millionths %v, tokens %v\n", p.name, totalShares, tokens)
		}
		for _, l := range loads {
			l.stop()
		}
		d.restartAndList(removedVM)
		for phase, w := range windows {
			for name, l := range loads {
				requests := l.sentBetween(w.from, w.to)
				counts := countReasons(requests)
				GinkgoWriter.Printf("%s, %s: %d requests, by reason %v\n", phase, name, len(requests), counts)
				Expect(requests).NotTo(BeEmpty())
				for _, r := range requests {
					Expect(r.reason).NotTo(Equal("rateExceeded"), "%s, %s: %s after the start of the phase at %s: %v",
						phase, name, r.sent.Sub(w.from)+warmUpTime, r.vm.Name, r.err)
				}
			}
		}
	})

	DescribeTable("G7: a flood does not get more than burst + rate x t",
		// Guards against a workspace that exceeds its limit because it sends through
		// several proxies, or because a proxy is restarted, paused or replaced or the
		// store is down.
		func(workspace, keyPrefix string, targets func() []*harness.VM, fault func()) {
			startedAt := clock.Now()
			l := startWorkspaceLoad(workspace, keyPrefix, floodRateFactor, targets)
			sleep(time.Second)
			fault()
			sleep(2 * time.Second)
			l.stop()
			elapsed := clock.Now().Sub(startedAt)
			limit := limitOf(workspace)
			executed := d.countExecutedRequests(keyPrefix)
			maxAdmitted := float64(limit.Burst) + limit.Rate*elapsed.Seconds()
			GinkgoWriter.Printf("%d executed at the members, at most %.0f allowed, in %s\n", executed, maxAdmitted, elapsed)
			Expect(float64(executed)).To(BeNumerically("<=", maxAdmitted))
			Expect(float64(executed)).To(BeNumerically(">=", 0.6*limit.Rate*elapsed.Seconds()), "the flood must reach the limit")
			Expect(countReasons(l.allRequests())["rateExceeded"]).To(BeNumerically(">", 0))
			expectLimitInEveryWindow(l.allRequests(), limit)
		},
		Entry("through all proxies", "inspectors", "flood-even", func() []*harness.VM { return d.VMs }, func() {}),
		Entry("through one proxy", "wholesalers", "flood-one", func() []*harness.VM { return d.VMs[:1] }, func() {}),
		Entry("while a proxy is killed and restarted", "inspectors", "flood-kill", func() []*harness.VM { return d.VMs }, func() {
			Expect(d.VMs[3].Kill()).To(Succeed())
			sleep(time.Second)
			Expect(d.VMs[3].Start()).To(Succeed())
			sleep(time.Second)
		}),
		Entry("while a proxy is paused", "wholesalers", "flood-freeze", func() []*harness.VM { return d.VMs }, func() {
			Expect(d.VMs[4].Pause()).To(Succeed())
			sleep(1500 * time.Millisecond)
			Expect(d.VMs[4].Continue()).To(Succeed())
		}),
		Entry("while the store is down", "inspectors", "flood-store", func() []*harness.VM { return d.VMs }, func() {
			d.setStoreFaults(`{"outage":"hang"}`)
			sleep(2 * time.Second)
			d.setStoreFaults(`{"outage":"off"}`)
		}),
		Entry("while a VM that holds a share is replaced", "wholesalers", "flood-replace", func() []*harness.VM { return d.VMs }, func() {
			d.killAndUnlist(d.VMs[2])
			sleep(1500 * time.Millisecond)
			d.restartAndList(d.VMs[2])
		}),
	)
})

// publicLoad returns the configuration of a load on the public route.
func (d *deployment) publicLoad(rate float64, targets func() []*harness.VM) loadConfig {
	return loadConfig{
		keyPrefix: "public",
		rate:      rate,
		route:     harness.PublicRoute,
		targets:   targets,
	}
}

// killAndUnlist kills a VM and removes it from the platform's list.
func (d *deployment) killAndUnlist(v *harness.VM) {
	GinkgoHelper()
	Expect(v.Kill()).To(Succeed())
	Expect(d.SetVMList(GinkgoT().Context(), d.LiveVMs())).To(Succeed())
}

// restartAndList starts a killed VM and adds it to the platform's list again.
func (d *deployment) restartAndList(v *harness.VM) {
	GinkgoHelper()
	Expect(v.Start()).To(Succeed())
	Expect(d.SetVMList(GinkgoT().Context(), d.LiveVMs())).To(Succeed())
	Expect(d.WaitReady(GinkgoT().Context(), v)).To(Succeed())
}

// countExecutedRequests counts the requests of a load that a member executed.
func (d *deployment) countExecutedRequests(keyPrefix string) int {
	GinkgoHelper()
	ids := map[string]struct{}{}
	for _, s := range d.allExecutedStatements() {
		if len(s.Arguments) > 0 && keyPrefixOf(s.Arguments[0]) == keyPrefix {
			Expect(s.RequestID).NotTo(BeEmpty())
			ids[s.RequestID] = struct{}{}
		}
	}
	return len(ids)
}

// expectLimitInEveryWindow checks, for every time window, that no more than
// burst + rate x t requests were both sent and answered successfully within it.
func expectLimitInEveryWindow(requests []sentRequest, limit harness.WorkspaceSpec) {
	GinkgoHelper()
	done := slices.DeleteFunc(requests, func(r sentRequest) bool { return r.outcome != client.Done })
	bySent := slices.Clone(done)
	slices.SortFunc(bySent, func(a, b sentRequest) int { return a.sent.Compare(b.sent) })
	slices.SortFunc(done, func(a, b sentRequest) int { return a.received.Compare(b.received) })
	for _, firstRequest := range bySent {
		count := 0
		for _, r := range done {
			if r.sent.Before(firstRequest.sent) {
				continue
			}
			count++
			window := r.received.Sub(firstRequest.sent)
			if float64(count) > float64(limit.Burst)+limit.Rate*window.Seconds() {
				Fail("more than burst + rate x t requests were admitted in a window of " + window.String())
			}
		}
	}
}
