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
	// inForceBound is the longest time until a change is in force everywhere.
	inForceBound = 9 * time.Second
	// samplePause between two looks at a proxy's dump.
	samplePause = 20 * time.Millisecond
)

// listedVersion is a VM in the output of amaranthctl versions.
type listedVersion struct {
	VM       string `json:"vm"`
	Version  uint64 `json:"version"`
	Answered bool   `json:"answered"`
}

// changeOutput is the output of a change by amaranthctl.
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

// document returns the document that a proxy has in force.
func (d *deployment) document() *declaration.Document {
	GinkgoHelper()
	document := &declaration.Document{}
	Expect(json.Unmarshal([]byte(d.mustControl("show", "--output", "json")), document)).To(Succeed())
	return document
}

// expectInForce makes a change and waits until amaranthctl versions lists it at
// every VM.
func (d *deployment) expectInForce(args ...string) changeOutput {
	GinkgoHelper()
	began := clock.Now()
	change := parseChange(d.mustControl(append([]string{"--output", "json", "--wait", "0s"}, args...)...))
	Eventually(func(g Gomega) {
		var listed []listedVersion
		g.Expect(json.Unmarshal([]byte(d.mustControl("--output", "json", "versions")), &listed)).To(Succeed())
		g.Expect(listed).To(HaveLen(len(d.VMs)))
		for _, vm := range listed {
			g.Expect(vm.Answered).To(BeTrue(), vm.VM)
			g.Expect(vm.Version).To(BeNumerically(">=", change.Version), vm.VM)
		}
	}, inForceBound, samplePause).Should(Succeed())
	took := clock.Now().Sub(began)
	GinkgoWriter.Printf("%v: version %d in force at all VMs after %s\n", args, change.Version, took)
	Expect(took).To(BeNumerically("<", inForceBound))
	return change
}

// versionSamples watch the dumps of all proxies.
type versionSamples struct {
	stop func()

	mu      sync.Mutex
	count   int
	highest map[string]uint64
	presets map[uint64]map[string]bool
	faults  []string
}

func (d *deployment) sampleVersions() *versionSamples {
	ctx, cancel := context.WithCancel(context.Background())
	s := &versionSamples{
		highest: map[string]uint64{},
		presets: map[uint64]map[string]bool{},
	}
	var running sync.WaitGroup
	for _, v := range d.VMs {
		running.Go(func() {
			for timer.Sleep(ctx, clock, samplePause) == nil {
				// A proxy that is down has nothing in force.
				if dump, err := d.tryDump(v); err == nil {
					s.add(v, dump)
				}
			}
		})
	}
	s.stop = func() {
		cancel()
		running.Wait()
	}
	return s
}

func (s *versionSamples) add(v *harness.VM, dump *proxyDump) {
	s.mu.Lock()
	defer s.mu.Unlock()
	version := dump.Gossip.ConfigurationVersion
	if !dump.Gossip.Ready && !dump.Gossip.Authorized {
		// The process has just started; it refuses requests and gets none.
		return
	}
	s.count++
	if version < s.highest[v.Name] {
		s.faults = append(s.faults, fmt.Sprintf("%s went back from version %d to %d", v.Name, s.highest[v.Name], version))
	}
	s.highest[v.Name] = max(s.highest[v.Name], version)
	if s.presets[version] == nil {
		s.presets[version] = map[string]bool{}
	}
	s.presets[version][dump.Gossip.PresetInForce] = true
}

var _ = Describe("configuration", Ordered, ContinueOnFailure, func() {
	var (
		b          *balancer
		d          *deployment
		background []*load
	)

	BeforeAll(func() {
		d = startControl(103, asHladnik, withoutLimits)
		b = d.startBalancer()
		DeferCleanup(b.stop)
		for i, workspace := range []string{"inspectors", "wholesalers"} {
			background = append(background, d.startLoad(loadConfig{
				key:     d.declared.Keys[workspace],
				marker:  workspace,
				rate:    150,
				targets: b.vms,
				write:   i == 1,
			}))
		}
	})

	DescribeTable("G13: guards against a change that is late at a proxy",
		func(args ...string) { d.expectInForce(args...) },
		Entry("a preset", "preset", "use", harness.PresetPeak),
		Entry("a limit", "workspace", "set", "logbooks", "--rate", "70"),
		Entry("a drain", "endpoint", "drain", "register-3-c"),
		Entry("the end of a drain", "endpoint", "undrain", "register-3-c"),
		Entry("a new key", "key", "create", "archive"),
		Entry("a removed workspace", "workspace", "remove", "audits"),
	)

	It("G13: guards against two presets in force at a proxy, and against a version that falls", func() {
		samples := d.sampleVersions()
		expected := map[uint64]string{}
		document := d.document()
		expected[document.Version] = document.PresetInForce
		names := []string{harness.PresetOrdinary, harness.PresetPeak, harness.PresetMaintenance}
		for n := range 10 {
			name := names[n%len(names)]
			expected[d.expectInForce("preset", "use", name).Version] = name
		}
		samples.stop()
		Expect(samples.faults).To(BeEmpty())
		Expect(samples.count).To(BeNumerically(">", 100))
		for version, presets := range samples.presets {
			Expect(presets).To(HaveLen(1), "presets in force in version %d", version)
			Expect(presets).To(HaveKey(expected[version]), "version %d", version)
		}
	})

	It("G13: guards against a proxy that is ready before it can serve", func() {
		restarted := d.VMs[3]
		Expect(restarted.Kill()).To(Succeed())
		Eventually(b.vms).ShouldNot(ContainElement(restarted))
		began := clock.Now()
		// Peers give it the configuration, but only the store holds the shares.
		d.storeFaults(`{"outage":"fail"}`)
		Expect(restarted.Start()).To(Succeed())
		pause(3 * time.Second)
		d.storeFaults(`{"outage":"off"}`)
		Eventually(b.vms, 10*time.Second).Should(ContainElement(restarted))
		pause(time.Second)
		for _, l := range background {
			for _, r := range l.between(began, clock.Now()) {
				// Other VMs may still take the one that has just started for a home.
				if r.vm == restarted {
					Expect(r.reason).NotTo(Equal("notReady"), "%s after the start: %v", r.sent.Sub(began), r.err)
				}
			}
		}
	})

	It("G13: guards against a proxy that starts with an old version from a stale store", func() {
		newest := d.expectInForce("preset", "use", harness.PresetPeak)
		samples := d.sampleVersions()
		for _, v := range []*harness.VM{d.VMs[0], d.VMs[6]} {
			Expect(v.Kill()).To(Succeed())
			Eventually(b.vms).ShouldNot(ContainElement(v))
			d.storeFaults(`{"staleReads":20}`)
			Expect(v.Start()).To(Succeed())
			Expect(d.WaitReady(context.Background(), v)).To(Succeed())
			dump, err := d.tryDump(v)
			Expect(err).NotTo(HaveOccurred())
			Expect(dump.Gossip.ConfigurationVersion).To(BeNumerically(">=", newest.Version), "%s when it is ready", v.Name)
		}
		d.storeFaults(`{"staleReads":0}`)
		pause(time.Second)
		samples.stop()
		Expect(samples.faults).To(BeEmpty())
		Expect(samples.highest).To(HaveLen(len(d.VMs)))
		for name, version := range samples.highest {
			Expect(version).To(Equal(newest.Version), name)
		}
	})

	DescribeTable("G13: guards against a lost answer of the store that is reported wrongly",
		func(faults string) {
			before := d.document().Version
			d.storeFaults(faults)
			change := parseChange(d.mustControl("--output", "json", "preset", "use", harness.PresetOrdinary))
			Expect(change.Version).To(Equal(before + 1))
			Expect(change.Everywhere).To(BeTrue())
			d.storeFaults(`{"loseAnswers":0,"staleReads":0}`)
			document := d.document()
			Expect(document.Version).To(Equal(before + 1))
			_, found := declaration.FindChange(document, change.ChangeID)
			Expect(found).To(BeTrue())
		},
		Entry("the answer", `{"loseAnswers":1}`),
		Entry("the answer, then a stale read", `{"loseAnswers":1,"staleReads":1}`),
		Entry("several answers", `{"loseAnswers":5}`),
	)

	It("G13: guards against two operators who both win a race", func() {
		for n := range 3 {
			d.race(n)
		}
	})

	It("G13: requests went on through all changes", func() {
		for _, l := range background {
			l.stop()
			counts := reasons(l.all())
			GinkgoWriter.Printf("reasons: %v\n", counts)
			for _, r := range l.all() {
				// A home that has just started has no configuration, and a VM that
				// got a stale share record refuses until it has read a newer one.
				if r.reason == "notReady" && !strings.Contains(r.err.Error(), "the home has no configuration yet") {
					Expect(r.vm).To(BeElementOf(d.VMs[0], d.VMs[6]), "%v", r.err)
				}
			}
			Expect(counts["configurationStale"]).To(BeZero())
			Expect(counts[""]).To(BeNumerically(">", len(l.all())*9/10))
		}
	})
})

// race lets two operators apply different documents to the same version.
func (d *deployment) race(n int) {
	GinkgoHelper()
	document := d.document()
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
	results := make([]controlResult, len(authors))
	var running sync.WaitGroup
	for i, author := range authors {
		running.Go(func() {
			defer GinkgoRecover()
			results[i] = d.control("--author", author, "--output", "json", "apply", files[i], "--expect-version", fmt.Sprint(base))
		})
	}
	running.Wait()
	winner, loser := 0, 1
	if results[0].code != 0 {
		winner, loser = 1, 0
	}
	Expect(results[winner].code).To(BeZero(), results[winner].stderr)
	Expect(results[loser].code).To(Equal(3), results[loser].stderr)
	change := parseChange(results[winner].stdout)
	Expect(results[loser].stderr).To(ContainSubstring(change.ChangeID))
	Expect(results[loser].stderr).To(ContainSubstring(authors[winner]))
	GinkgoWriter.Printf("the loser was told: %s\n", strings.TrimSpace(results[loser].stderr))
	after := d.document()
	Expect(after.Version).To(Equal(base + 1))
	Expect(after.Workspaces[0].Worth).To(Equal(10 + 2*n + winner))
}
