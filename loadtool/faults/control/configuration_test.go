package control_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/goccy/go-yaml"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/declaration"
	"amaranthdock.dev/loadtool/harness"
	"amaranthdock.dev/timer"
)

const (
	// maxActivationTime is the longest time until a change is active at every VM.
	maxActivationTime = 9 * time.Second
	// sampleInterval is how often a proxy's dump is read.
	sampleInterval = 20 * time.Millisecond
)

// vmVersion is the entry of one VM in the output of amaranthctl versions.
type vmVersion struct {
	VM       string `json:"vm"`
	Version  uint64 `json:"version"`
	Answered bool   `json:"answered"`
}

// changeOutput is the output of an amaranthctl command that makes a change.
type changeOutput struct {
	ChangeID   string `json:"changeId"`
	Version    uint64 `json:"version"`
	Everywhere bool   `json:"everywhere"`
}

func parseChange(output string) changeOutput {
	GinkgoHelper()
	var change changeOutput
	Expect(json.Unmarshal([]byte(output), &change)).To(Succeed(), output)
	return change
}

// activeDocument returns the active declaration, as amaranthctl show prints it.
func (d *deployment) activeDocument() *declaration.Document {
	GinkgoHelper()
	document := &declaration.Document{}
	Expect(json.Unmarshal([]byte(d.mustRunAmaranthctl("show", "--output", "json")), document)).To(Succeed())
	return document
}

// expectActivated makes a change with amaranthctl and waits until amaranthctl
// versions lists its version, or a later one, for every VM.
func (d *deployment) expectActivated(args ...string) changeOutput {
	GinkgoHelper()
	startedAt := clock.Now()
	change := parseChange(d.mustRunAmaranthctl(append([]string{"--output", "json", "--wait", "0s"}, args...)...))
	Eventually(func(g Gomega) {
		var vms []vmVersion
		g.Expect(json.Unmarshal([]byte(d.mustRunAmaranthctl("--output", "json", "versions")), &vms)).To(Succeed())
		g.Expect(vms).To(HaveLen(len(d.VMs)))
		for _, vm := range vms {
			g.Expect(vm.Answered).To(BeTrue(), vm.VM)
			g.Expect(vm.Version).To(BeNumerically(">=", change.Version), vm.VM)
		}
	}, maxActivationTime, sampleInterval).Should(Succeed())
	duration := clock.Now().Sub(startedAt)
	GinkgoWriter.Printf("%v: version %d active at all VMs after %s\n", args, change.Version, duration)
	Expect(duration).To(BeNumerically("<", maxActivationTime))
	return change
}

// versionSampler regularly reads the configuration version and the active preset
// from the dumps of all proxies.
type versionSampler struct {
	stop func()

	mu         sync.Mutex
	count      int
	highest    map[string]uint64
	presets    map[uint64]map[string]bool
	violations []string
}

func (d *deployment) startVersionSampler() *versionSampler {
	ctx, cancel := context.WithCancel(context.Background())
	s := &versionSampler{
		highest: map[string]uint64{},
		presets: map[uint64]map[string]bool{},
	}
	var wg sync.WaitGroup
	for _, v := range d.VMs {
		wg.Go(func() {
			for timer.Sleep(ctx, clock, sampleInterval) == nil {
				// A proxy that is down has no active configuration.
				if dump, err := d.fetchDump(v); err == nil {
					s.add(v, dump)
				}
			}
		})
	}
	s.stop = func() {
		cancel()
		wg.Wait()
	}
	return s
}

func (s *versionSampler) add(v *harness.VM, dump *proxyDump) {
	s.mu.Lock()
	defer s.mu.Unlock()
	version := dump.Gossip.ConfigurationVersion
	if !dump.Gossip.Ready && !dump.Gossip.Authorized {
		// The process has just started; it is not ready, so it receives no requests
		// and would refuse them.
		return
	}
	s.count++
	if version < s.highest[v.Name] {
		s.violations = append(s.violations, fmt.Sprintf("%s went back from version %d to %d", v.Name, s.highest[v.Name], version))
	}
	s.highest[v.Name] = max(s.highest[v.Name], version)
	if s.presets[version] == nil {
		s.presets[version] = map[string]bool{}
	}
	s.presets[version][dump.Gossip.PresetInForce] = true
}

var _ = Describe("configuration", Ordered, ContinueOnFailure, func() {
	var (
		balancer        *loadBalancer
		d               *deployment
		backgroundLoads []*load
	)

	BeforeAll(func() {
		d = startDeployment(103, defaultConfig, withoutLimits)
		balancer = d.startLoadBalancer()
		DeferCleanup(balancer.stop)
		for i, workspace := range []string{"inspectors", "wholesalers"} {
			backgroundLoads = append(backgroundLoads, d.startLoad(loadConfig{
				key:       d.declared.Keys[workspace],
				keyPrefix: workspace,
				rate:      150,
				targets:   balancer.readyVMs,
				write:     i == 1,
			}))
		}
	})

	DescribeTable("G13: a change becomes active at every proxy in time",
		// Guards against a change that reaches a proxy later than maxActivationTime, or
		// never.
		func(args ...string) { d.expectActivated(args...) },
		Entry("a preset", "preset", "use", harness.PresetPeak),
		Entry("a limit", "workspace", "set", "logbooks", "--rate", "70"),
		Entry("a drain", "endpoint", "drain", "register-3-c"),
		Entry("the end of a drain", "endpoint", "undrain", "register-3-c"),
		Entry("a new key", "key", "create", "archive"),
		Entry("a removed workspace", "workspace", "remove", "audits"),
	)

	It("G13: each version has exactly one preset, and a proxy never goes back to an older version", func() {
		// Guards against one version that is active with two presets, at the same proxy
		// or at different ones, and against a proxy that replaces its version by an
		// older one.
		sampler := d.startVersionSampler()
		expected := map[uint64]string{}
		document := d.activeDocument()
		expected[document.Version] = document.PresetInForce
		names := []string{harness.PresetOrdinary, harness.PresetPeak, harness.PresetMaintenance}
		for n := range 10 {
			name := names[n%len(names)]
			expected[d.expectActivated("preset", "use", name).Version] = name
		}
		sampler.stop()
		Expect(sampler.violations).To(BeEmpty())
		Expect(sampler.count).To(BeNumerically(">", 100))
		for version, presets := range sampler.presets {
			Expect(presets).To(HaveLen(1), "active presets in version %d", version)
			Expect(presets).To(HaveKey(expected[version]), "version %d", version)
		}
	})

	It("G13: a restarted proxy is ready only when it can serve requests", func() {
		// Guards against a proxy that is ready too early and refuses requests, because
		// it has the configuration from its peers but cannot read its shares from the
		// store.
		restartedVM := d.VMs[3]
		Expect(restartedVM.Kill()).To(Succeed())
		Eventually(balancer.readyVMs).ShouldNot(ContainElement(restartedVM))
		startedAt := clock.Now()
		// Its peers send it the configuration, but the shares are only in the store.
		d.setStoreFaults(`{"outage":"fail"}`)
		Expect(restartedVM.Start()).To(Succeed())
		sleep(3 * time.Second)
		d.setStoreFaults(`{"outage":"off"}`)
		Eventually(balancer.readyVMs, 10*time.Second).Should(ContainElement(restartedVM))
		sleep(time.Second)
		for _, l := range backgroundLoads {
			for _, r := range l.sentBetween(startedAt, clock.Now()) {
				// Other VMs may refuse because they still use the restarted VM as a home.
				if r.vm == restartedVM {
					Expect(r.reason).NotTo(Equal("notReady"), "%s after the start: %v", r.sent.Sub(startedAt), r.err)
				}
			}
		}
	})

	It("G13: a proxy does not start with an old version after stale reads from the store", func() {
		// Guards against a proxy that becomes ready with an old version because its
		// reads from the store at the start were stale.
		newest := d.expectActivated("preset", "use", harness.PresetPeak)
		sampler := d.startVersionSampler()
		for _, v := range []*harness.VM{d.VMs[0], d.VMs[6]} {
			Expect(v.Kill()).To(Succeed())
			Eventually(balancer.readyVMs).ShouldNot(ContainElement(v))
			d.setStoreFaults(`{"staleReads":20}`)
			Expect(v.Start()).To(Succeed())
			Expect(d.WaitReady(context.Background(), v)).To(Succeed())
			dump, err := d.fetchDump(v)
			Expect(err).NotTo(HaveOccurred())
			Expect(dump.Gossip.ConfigurationVersion).To(BeNumerically(">=", newest.Version), "%s when it became ready", v.Name)
		}
		d.setStoreFaults(`{"staleReads":0}`)
		sleep(time.Second)
		sampler.stop()
		Expect(sampler.violations).To(BeEmpty())
		Expect(sampler.highest).To(HaveLen(len(d.VMs)))
		for name, version := range sampler.highest {
			Expect(version).To(Equal(newest.Version), name)
		}
	})

	DescribeTable("G13: a change is reported as done if the store loses its response",
		// Guards against a change that took effect but is reported as failed, and
		// against one that is applied a second time because its response was lost.
		func(faults string) {
			before := d.activeDocument().Version
			d.setStoreFaults(faults)
			change := parseChange(d.mustRunAmaranthctl("--output", "json", "preset", "use", harness.PresetOrdinary))
			Expect(change.Version).To(Equal(before + 1))
			Expect(change.Everywhere).To(BeTrue())
			d.setStoreFaults(`{"loseAnswers":0,"staleReads":0}`)
			document := d.activeDocument()
			Expect(document.Version).To(Equal(before + 1))
			_, found := declaration.FindChange(document, change.ChangeID)
			Expect(found).To(BeTrue())
		},
		Entry("one response", `{"loseAnswers":1}`),
		Entry("one response, then a stale read", `{"loseAnswers":1,"staleReads":1}`),
		Entry("several responses", `{"loseAnswers":5}`),
	)

	It("G13: only one of two operators succeeds in changing the same version", func() {
		// Guards against two operators who are both told that their change succeeded,
		// although the later change overwrote the earlier one.
		for n := range 3 {
			d.raceToApply(n)
		}
	})

	It("G13: requests succeed during all changes", func() {
		for _, l := range backgroundLoads {
			l.stop()
			counts := countReasons(l.allRequests())
			GinkgoWriter.Printf("reasons: %v\n", counts)
			for _, r := range l.allRequests() {
				// A home that has just started has no configuration yet. A VM that
				// read a stale share record refuses requests until it reads a newer
				// one.
				if r.reason == "notReady" && !strings.Contains(r.err.Error(), "the home has no configuration yet") {
					Expect(r.vm).To(BeElementOf(d.VMs[0], d.VMs[6]), "%v", r.err)
				}
			}
			Expect(counts["configurationStale"]).To(BeZero())
			Expect(counts[""]).To(BeNumerically(">", len(l.allRequests())*9/10))
		}
	})
})

// raceToApply lets two operators concurrently apply different documents to the same
// version: one succeeds, the other is told about the conflict.
func (d *deployment) raceToApply(n int) {
	GinkgoHelper()
	document := d.activeDocument()
	base := document.Version
	authors := []string{fmt.Sprintf("anja%d", n), fmt.Sprintf("bojan%d", n)}
	files := make([]string, len(authors))
	for i, author := range authors {
		document.Workspaces[0].Worth = 10 + 2*n + i
		text, err := yaml.Marshal(document)
		Expect(err).NotTo(HaveOccurred())
		files[i] = filepath.Join(d.workDir, author+".yaml")
		Expect(os.WriteFile(files[i], text, 0o600)).To(Succeed())
	}
	results := make([]commandResult, len(authors))
	var wg sync.WaitGroup
	for i, author := range authors {
		wg.Go(func() {
			defer GinkgoRecover()
			results[i] = d.runAmaranthctl("--author", author, "--output", "json", "apply", files[i], "--expect-version", fmt.Sprint(base))
		})
	}
	wg.Wait()
	winner, loser := 0, 1
	if results[0].code != 0 {
		winner, loser = 1, 0
	}
	Expect(results[winner].code).To(BeZero(), results[winner].stderr)
	Expect(results[loser].code).To(Equal(3), results[loser].stderr)
	change := parseChange(results[winner].stdout)
	Expect(results[loser].stderr).To(ContainSubstring(change.ChangeID))
	Expect(results[loser].stderr).To(ContainSubstring(authors[winner]))
	GinkgoWriter.Printf("error message of the conflict: %s\n", strings.TrimSpace(results[loser].stderr))
	after := d.activeDocument()
	Expect(after.Version).To(Equal(base + 1))
	Expect(after.Workspaces[0].Worth).To(Equal(10 + 2*n + winner))
}
