package gossip_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/peer"
)

var _ = Describe("the set of evacuated data centres", func() {
	const age = 700 * time.Millisecond
	evacuate := func(v *vm, revision uint64, names ...string) {
		ages := map[string]time.Duration{}
		for _, name := range names {
			ages[name] = age
		}
		v.view.AcceptEvacuations(revision, ages, "test")
	}

	It("arrives whole and with its age at a VM that does not reach the store", func() {
		// Guards against a limit that starts anew at each VM that the set passes.
		source := startVM("source").withData(7, 40)
		evacuate(source, 3, "a1", "a2")
		partitioned := startVM("partitioned", source.view.Self().Address)
		evacuate(partitioned, 2, "a3")
		partitioned.runGossip()
		Eventually(func() []string { return partitioned.view.Evacuations().DataCentres() }).WithTimeout(2 * time.Second).Should(Equal([]string{"a1", "a2"}))
		Expect(partitioned.view.Evacuations().Ages(partitioned.clock.SinceBoot())["a1"]).To(BeNumerically(">=", age))
		evacuate(source, 4)
		Eventually(func() []string { return partitioned.view.Evacuations().DataCentres() }).WithTimeout(2 * time.Second).Should(BeEmpty())
	})

	It("is not sent to VMs that have it", func() {
		source := startVM("source")
		evacuate(source, 3, "a1")
		Expect(source.News(&peer.GossipRequest{EvacuationsRevision: 3}).Evacuations).To(BeNil())
		Expect(source.News(&peer.GossipRequest{EvacuationsRevision: 2}).Evacuations.DataCentres).To(HaveKey("a1"))
	})

	It("is not complete if the reader does not know it", func() {
		// Guards against a VM that becomes a reader and continues the watch after an evacuation
		// that its reader, of an older build, has not passed on.
		reader, v := startVM("reader").withData(7, 40), startVM("other")
		reader.contact.age = time.Millisecond
		v.contact.readers = []catalog.VM{reader.view.Self()}
		v.runGossip()
		Eventually(v.contact.lastConfirmedAt).WithTimeout(2 * time.Second).ShouldNot(BeZero())
		Expect(v.contact.lastRevision()).To(BeZero())
		evacuate(reader, 3)
		Eventually(v.contact.lastRevision).WithTimeout(2 * time.Second).Should(Equal(uint64(40)))
	})
})
