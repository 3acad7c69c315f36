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

// expectMember guards against updates that are applied in the wrong order.
func expectMember(table *Table, incarnation, sequence uint64, state State) {
	GinkgoHelper()
	got, _ := table.Member("b")
	Expect(got).To(Equal(member("b", incarnation, sequence, state)))
}

// probed returns the peers that one tick probes.
func probed(table *Table, now time.Time) []ProbePeer {
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
		Entry("late suspicion", member("b", 1, 1, Alive), member("b", 1, 0, Suspect), member("b", 1, 1, Alive)),
		Entry("death", member("b", 1, 0, Suspect), member("b", 1, 0, Dead), member("b", 1, 0, Dead)),
		Entry("life after death without refutation", member("b", 1, 0, Dead), member("b", 1, 0, Alive), member("b", 1, 0, Alive)),
		Entry("late life", member("b", 1, 0, Suspect), member("b", 1, 0, Alive), member("b", 1, 0, Suspect)),
		Entry("refuted death", member("b", 1, 3, Alive), member("b", 1, 2, Dead), member("b", 1, 3, Alive)),
		Entry("restart", member("b", 1, 9, Suspect), member("b", 2, 0, Alive), member("b", 2, 0, Alive)),
		Entry("former process", member("b", 2, 0, Alive), member("b", 1, 9, Dead), member("b", 2, 0, Alive)),
		Entry("leaving stays", member("b", 1, 0, Leaving), member("b", 1, 1, Alive), member("b", 1, 1, Leaving)),
		Entry("leaving ends with a restart", member("b", 1, 0, Leaving), member("b", 2, 0, Alive), member("b", 2, 0, Alive)),
	)

	DescribeTable("refutes what is said of itself",
		func(update Member, sequence uint64, state State) {
			table := newTable("a", 1)
			table.Apply(start, []Member{update})
			Expect(table.Self().Sequence).To(Equal(sequence))
			Expect(table.Self().State).To(Equal(state))
		},
		Entry("suspicion", member("a", 5, 0, Suspect), uint64(1), Alive),
		Entry("death", member("a", 5, 7, Dead), uint64(8), Alive),
		Entry("former process", member("a", 4, 7, Dead), uint64(0), Alive),
		Entry("leaving is adopted", member("a", 5, 0, Leaving), uint64(1), Leaving),
	)

	It("suspects and then declares dead a peer that nobody reaches", func() {
		table := newTable("a", 1)
		table.Apply(start, []Member{member("b", 1, 0, Alive), member("c", 1, 0, Dead)})
		probe := probed(table, start)[0]
		Expect(table.HandleProbeTimeout(start.Add(150*time.Millisecond), probe.ID)).To(Equal(None{}))
		expectMember(table, 1, 0, Suspect)
		for elapsed := 150 * time.Millisecond; elapsed < 750*time.Millisecond; elapsed += 50 * time.Millisecond {
			table.Tick(start.Add(elapsed))
			expectMember(table, 1, 0, Suspect)
		}
		table.Tick(start.Add(750 * time.Millisecond))
		expectMember(table, 1, 0, Dead)
	})

	It("asks others first and ignores a miss after its own pause", func() {
		table := newTable("a", 1)
		table.Apply(start, []Member{member("b", 1, 0, Alive), member("c", 1, 0, Alive), member("d", 1, 0, Alive)})
		probe := probed(table, start)[0]
		through, ok := table.HandleProbeTimeout(start.Add(150*time.Millisecond), probe.ID).(ProbeIndirectly)
		Expect(ok).To(BeTrue())
		Expect(through.Relays).To(HaveLen(2))
		Expect(through.Relays).NotTo(ContainElement(through.Peer))
		table.HandleProbeTimeout(start.Add(5*time.Second), through.ID)
		suspected, _ := table.Member(through.Peer.VM)
		Expect(suspected.State).To(Equal(Alive))
	})

	It("does not declare anybody dead right after its own pause", func() {
		table := newTable("a", 1)
		table.Tick(start)
		table.Apply(start, []Member{member("b", 1, 0, Suspect)})
		table.Tick(start.Add(time.Minute))
		expectMember(table, 1, 0, Suspect)
	})

	It("probes each member once in each round", func() {
		table := newTable("a", 1)
		for i := range 20 {
			table.Apply(start, []Member{member(fmt.Sprintf("m%d", i), 1, 0, Alive)})
		}
		probed(table, start)
		for round := range 3 {
			counts := map[string]int{}
			for i := range 20 {
				at := start.Add(time.Duration(round*20+i+1) * DefaultProbeInterval)
				counts[probed(table, at)[0].Peer.VM]++
			}
			Expect(len(counts)).To(BeNumerically(">=", 19))
		}
	})

	It("sends an update a bounded number of times in bounded messages", func() {
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
		Expect(table.Size()).To(Equal(2), "a VM that the list dropped came back")
		Expect(table.Updates("c")).To(ContainElement(member("b", 3, 2, Dead)))
		table.Apply(start, []Member{member("b", 4, 0, Alive)})
		expectMember(table, 4, 0, Alive)
	})

	It("tells a former process from one that has taken its place", func() {
		table := newTable("a", 1)
		table.Apply(start, []Member{member("a", 8, 2, Dead)})
		Expect(table.Self().Incarnation).To(BeEquivalentTo(9))
		table.MarkJoined()
		table.Apply(start, []Member{member("a", 10, 0, Alive)})
		Expect(table.Replaced()).To(BeTrue())
	})
})

// TestConvergence guards against views that depend on the order of updates.
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
