package membership

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestMembership(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "membership")
}

var start = time.Unix(1000, 0)

func member(vm string, incarnation, sequence uint64, state State) Member {
	return Member{
		VM:          vm,
		DataCentre:  "a1",
		Address:     netip.MustParseAddrPort("10.0.0.1:1"),
		Incarnation: incarnation,
		Sequence:    sequence,
		State:       state,
	}
}

func newTable(vm string, seed uint64) *Table {
	table, err := New(Config{
		Self:   member(vm, 5, 0, Alive),
		Random: rand.New(rand.NewPCG(seed, 1)),
	})
	Expect(err).NotTo(HaveOccurred())
	return table
}

// expectMember checks the record of member b. It guards against an older update that
// overwrites a newer one.
func expectMember(table *Table, incarnation, sequence uint64, state State) {
	GinkgoHelper()
	got, _ := table.Member("b")
	Expect(got).To(Equal(member("b", incarnation, sequence, state)))
}

// tickProbes calls Tick once and returns its direct probes.
func tickProbes(table *Table, now time.Time) []ProbePeer {
	var probes []ProbePeer
	for _, d := range table.Tick(now) {
		if probe, ok := d.(ProbePeer); ok {
			probes = append(probes, probe)
		}
	}
	return probes
}

var _ = Describe("Table", func() {
	DescribeTable("applies the newer of two records",
		func(first, second, expected Member) {
			table := newTable("a", 1)
			table.Apply(start, []Member{first, second})
			expectMember(table, expected.Incarnation, expected.Sequence, expected.State)
		},
		Entry("suspicion", member("b", 1, 0, Alive), member("b", 1, 0, Suspect), member("b", 1, 0, Suspect)),
		Entry("refutation", member("b", 1, 0, Suspect), member("b", 1, 1, Alive), member("b", 1, 1, Alive)),
		Entry("delayed suspicion", member("b", 1, 1, Alive), member("b", 1, 0, Suspect), member("b", 1, 1, Alive)),
		Entry("death", member("b", 1, 0, Suspect), member("b", 1, 0, Dead), member("b", 1, 0, Dead)),
		Entry("alive after an unknown member's death", member("b", 1, 0, Dead), member("b", 1, 0, Alive), member("b", 1, 0, Alive)),
		Entry("alive without a refutation", member("b", 1, 0, Suspect), member("b", 1, 0, Alive), member("b", 1, 0, Suspect)),
		Entry("refuted death", member("b", 1, 3, Alive), member("b", 1, 2, Dead), member("b", 1, 3, Alive)),
		Entry("restart", member("b", 1, 9, Suspect), member("b", 2, 0, Alive), member("b", 2, 0, Alive)),
		Entry("previous process", member("b", 2, 0, Alive), member("b", 1, 9, Dead), member("b", 2, 0, Alive)),
		Entry("leaving is kept", member("b", 1, 0, Leaving), member("b", 1, 1, Alive), member("b", 1, 1, Leaving)),
		Entry("leaving ends with a restart", member("b", 1, 0, Leaving), member("b", 2, 0, Alive), member("b", 2, 0, Alive)),
	)

	DescribeTable("refutes a suspicion or death of itself",
		// Guards against a running VM that other VMs declare dead.
		func(update Member, sequence uint64, state State) {
			table := newTable("a", 1)
			table.Apply(start, []Member{update})
			Expect(table.Self().Sequence).To(Equal(sequence))
			Expect(table.Self().State).To(Equal(state))
		},
		Entry("suspicion", member("a", 5, 0, Suspect), uint64(1), Alive),
		Entry("death", member("a", 5, 7, Dead), uint64(8), Alive),
		Entry("previous process", member("a", 4, 7, Dead), uint64(0), Alive),
		Entry("leaving is adopted", member("a", 5, 0, Leaving), uint64(1), Leaving),
	)

	It("suspects and then declares dead a peer that does not respond", func() {
		table := newTable("a", 1)
		table.Apply(start, []Member{member("b", 1, 0, Alive), member("c", 1, 0, Dead)})
		probe := tickProbes(table, start)[0]
		Expect(table.HandleProbeTimeout(start.Add(150*time.Millisecond), probe.ID)).To(Equal(None{}))
		expectMember(table, 1, 0, Suspect)
		for elapsed := 150 * time.Millisecond; elapsed < 750*time.Millisecond; elapsed += 50 * time.Millisecond {
			table.Tick(start.Add(elapsed))
			expectMember(table, 1, 0, Suspect)
		}
		table.Tick(start.Add(750 * time.Millisecond))
		expectMember(table, 1, 0, Dead)
	})

	It("probes indirectly first, and ignores a timeout after its own pause", func() {
		// Guards against suspecting a peer because of a single broken path or of the VM's
		// own pause.
		table := newTable("a", 1)
		table.Apply(start, []Member{member("b", 1, 0, Alive), member("c", 1, 0, Alive), member("d", 1, 0, Alive)})
		probe := tickProbes(table, start)[0]
		through, ok := table.HandleProbeTimeout(start.Add(150*time.Millisecond), probe.ID).(ProbeIndirectly)
		Expect(ok).To(BeTrue())
		Expect(through.Relays).To(HaveLen(2))
		Expect(through.Relays).NotTo(ContainElement(through.Peer))
		table.HandleProbeTimeout(start.Add(5*time.Second), through.ID)
		suspected, _ := table.Member(through.Peer.VM)
		Expect(suspected.State).To(Equal(Alive))
	})

	It("declares no member dead right after its own pause", func() {
		table := newTable("a", 1)
		table.Tick(start)
		table.Apply(start, []Member{member("b", 1, 0, Suspect)})
		table.Tick(start.Add(time.Minute))
		expectMember(table, 1, 0, Suspect)
	})

	It("probes each member once in each round", func() {
		// Guards against a member that is not probed for several rounds, so that its
		// failure is detected late.
		table := newTable("a", 1)
		for i := range 20 {
			table.Apply(start, []Member{member(fmt.Sprintf("m%d", i), 1, 0, Alive)})
		}
		tickProbes(table, start)
		for round := range 3 {
			counts := map[string]int{}
			for i := range 20 {
				at := start.Add(time.Duration(round*20+i+1) * DefaultProbeInterval)
				counts[tickProbes(table, at)[0].Peer.VM]++
			}
			Expect(len(counts)).To(BeNumerically(">=", 19))
		}
	})

	It("limits how often an update is sent and how many are in a message", func() {
		// Guards against updates that are sent forever, and against messages that grow
		// with the fleet.
		table := newTable("a", 1)
		for i := range 30 {
			table.Apply(start, []Member{member(fmt.Sprintf("m%d", i), 1, 0, Alive)})
		}
		sent := 0
		for range 1000 {
			updates := table.Updates("m0")
			Expect(len(updates)).To(BeNumerically("<=", DefaultUpdatesPerMessage))
			sent += len(updates) - 2
		}
		Expect(sent).To(BeNumerically("<=", 30*DefaultTransmitFactor*5))
	})

	It("merges the platform's list", func() {
		// Guards against members that an incomplete list removes, and against removed
		// members that a late update adds again.
		table := newTable("a", 1)
		listed := []PlatformVM{{VM: "a"}, {VM: "b", DataCentre: "a1", Address: netip.MustParseAddrPort("10.0.0.1:1")}}
		Expect(table.MergePlatformList(start, listed)).To(Succeed())
		expectMember(table, 0, 0, Alive)
		table.Apply(start, []Member{member("b", 3, 2, Alive), member("c", 1, 0, Alive)})
		listed[1].Leaving = true
		Expect(table.MergePlatformList(start, listed)).To(Succeed())
		expectMember(table, 3, 2, Leaving)
		Expect(table.MergePlatformList(start, nil)).To(MatchError(ErrListIncomplete))
		Expect(table.MergePlatformList(start, listed[1:])).To(MatchError(ErrListIncomplete))
		Expect(table.MergePlatformList(start, listed[:1])).To(Succeed())
		table.Apply(start, []Member{member("b", 3, 9, Alive)})
		Expect(table.Size()).To(Equal(2), "a VM that was removed from the list was added again")
		Expect(table.Updates("c")).To(ContainElement(member("b", 3, 2, Dead)))
		table.Apply(start, []Member{member("b", 4, 0, Alive)})
		expectMember(table, 4, 0, Alive)
	})

	It("distinguishes a previous process from one that has replaced it", func() {
		// Guards against a new process whose incarnation is not above that of its
		// predecessor, and against a replaced process that does not notice it.
		table := newTable("a", 1)
		table.Apply(start, []Member{member("a", 8, 2, Dead)})
		Expect(table.Self().Incarnation).To(BeEquivalentTo(9))
		table.MarkJoined()
		table.Apply(start, []Member{member("a", 10, 0, Alive)})
		Expect(table.Replaced()).To(BeTrue())
	})
})

// TestConvergence checks that the table does not depend on the order of updates. It
// guards against VMs whose tables differ although they received the same updates, in
// another order.
func TestConvergence(t *testing.T) {
	RegisterTestingT(t)
	rapid.Check(t, func(t *rapid.T) {
		updates := rapid.SliceOf(rapid.Custom(func(t *rapid.T) Member {
			return member("b",
				rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
				rapid.Uint64Range(0, 3).Draw(t, "sequence"),
				rapid.SampledFrom([]State{Alive, Suspect, Dead}).Draw(t, "state"))
		})).Draw(t, "updates")
		first, second := newTable("a", 1), newTable("a", 2)
		for _, table := range []*Table{first, second} {
			table.Apply(start, []Member{member("b", 1, 0, Alive)})
		}
		first.Apply(start, updates)
		second.Apply(start, rapid.Permutation(updates).Draw(t, "order"))
		one, _ := first.Member("b")
		two, _ := second.Member("b")
		if one != two {
			t.Fatalf("%v and %v", one, two)
		}
	})
}
