package confsync_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/confsync"
)

var _ = Describe("SourceInput", func() {
	// upToDate is a VM in the middle of the ranking of a large region, with a recent
	// update.
	upToDate := func() confsync.SourceInput {
		return confsync.SourceInput{
			Registered: true,
			Rank:       20,
			RegionSize: 33,
			HasUpdate:  true,
			UpdateAge:  time.Second,
			Uptime:     time.Minute,
		}
	}

	DescribeTable("where a VM reads the content of the store from",
		// Guards against calls to the store from all VMs of a region, and against a VM
		// that gets no updates because its readers send none.
		func(change func(*confsync.SourceInput), expected confsync.Source) {
			r := upToDate()
			change(&r)
			Expect(r.ChooseSource()).To(Equal(expected))
		},
		Entry("its latest update is recent", func(*confsync.SourceInput) {}, confsync.AskReaders{}),
		Entry("its latest update is at the age limit", func(r *confsync.SourceInput) { r.UpdateAge = confsync.MaxUpdateAge }, confsync.AskReaders{}),
		Entry("its latest update is at the age limit of its rank", func(r *confsync.SourceInput) {
			r.UpdateAge = confsync.MaxUpdateAge + 20*confsync.UpdateAgeSpreadPerVM
		}, confsync.AskReaders{}),
		Entry("it ranks last in a large region and its readers cannot reach the store", func(r *confsync.SourceInput) {
			r.Rank, r.RegionSize = 699, 700
			r.UpdateAge = confsync.MaxUpdateAge + confsync.MaxUpdateAgeSpread + 1
		}, confsync.ReadStore{Reason: "the latest update from the readers is too old"}),
		Entry("its readers cannot reach the store", func(r *confsync.SourceInput) {
			r.UpdateAge = confsync.MaxUpdateAge + 20*confsync.UpdateAgeSpreadPerVM + 1
		},
			confsync.ReadStore{Reason: "the latest update from the readers is too old"}),
		Entry("neither its readers nor the VM itself can reach the store", func(r *confsync.SourceInput) {
			r.UpdateAge = time.Minute
			r.StoreUnreachable = true
		}, confsync.AskReaders{}),
		Entry("it is a reader that cannot reach the store", func(r *confsync.SourceInput) {
			r.Rank = 1
			r.StoreUnreachable = true
		}, confsync.ReadStore{Reason: "the VM is a reader"}),
		Entry("it is a reader", func(r *confsync.SourceInput) { r.Rank = 1 }, confsync.ReadStore{Reason: "the VM is a reader"}),
		Entry("it is one of the readers of a larger region", func(r *confsync.SourceInput) {
			r.Rank = 4
			r.RegionSize = 150
		}, confsync.ReadStore{Reason: "the VM is a reader"}),
		Entry("it is the leader", func(r *confsync.SourceInput) { r.IsLeader = true }, confsync.ReadStore{Reason: "the VM is the leader"}),
		Entry("its registration has expired because the store turns it away", func(r *confsync.SourceInput) {
			r.Registered = false
			r.Rank = -1
			r.StoreUnreachable = true
		}, confsync.AskReaders{}),
		Entry("its registration has expired", func(r *confsync.SourceInput) { r.Registered = false },
			confsync.ReadStore{Reason: "the VM is not registered"}),
		Entry("it has just started and does not know the fleet", func(r *confsync.SourceInput) {
			r.Registered, r.HasUpdate = false, false
			r.Rank = -1
			r.Uptime = confsync.MinUnknownFleetDelay - 1
		}, confsync.AskReaders{}),
		Entry("other VMs contact it at their start", func(r *confsync.SourceInput) {
			r.Registered, r.HasUpdate = false, false
			r.Rank = -1
			r.Uptime = 0
			r.IsSeed = true
		}, confsync.ReadStore{Reason: "the VM is not registered"}),
		Entry("it does not learn the fleet", func(r *confsync.SourceInput) {
			r.Registered, r.HasUpdate = false, false
			r.Rank = -1
			r.Uptime = confsync.MaxUnknownFleetDelay
			r.Spread = 1
		}, confsync.ReadStore{Reason: "the VM is not registered"}),
		Entry("it has just started with many others", func(r *confsync.SourceInput) {
			r.HasUpdate = false
			r.Uptime = 5 * time.Second
		}, confsync.AskReaders{}),
		Entry("its readers have sent no update for a long time", func(r *confsync.SourceInput) {
			r.HasUpdate = false
			r.Uptime = 33*confsync.MaxStartDelayPerVM + 1
		}, confsync.ReadStore{Reason: "no update from the readers since the start"}),
		Entry("it has just started in a small region", func(r *confsync.SourceInput) {
			r.HasUpdate = false
			r.Rank = 3
			r.RegionSize = 5
			r.Uptime = 251 * time.Millisecond
		}, confsync.ReadStore{Reason: "no update from the readers since the start"}),
	)

	It("spreads the VMs of a large region that have not got the data in time", func() {
		// Guards against 145 VMs that read a large configuration over the link between regions at
		// once, so that none of them gets it within the timeout of a call.
		readers := func(uptime time.Duration) int {
			count := 0
			for rank := range 150 {
				r := upToDate()
				r.HasUpdate = false
				r.Rank, r.RegionSize = rank, 150
				r.Uptime = uptime
				if _, ok := r.ChooseSource().(confsync.ReadStore); ok {
					count++
				}
			}
			return count
		}
		Expect(readers(confsync.MaxStartDelay + time.Second)).To(Equal(5))
		Expect(readers(150*confsync.MaxStartDelayPerVM - time.Second)).To(BeNumerically("<=", 20))
		Expect(readers(150*confsync.MaxStartDelayPerVM + 1)).To(Equal(150))
	})

	It("needs the same number of readers for two small regions, and more for a large one", func() {
		// Guards against a small region with a single reader, and against a large region
		// with too few.
		Expect(confsync.ReaderCount(1)).To(Equal(2))
		Expect(confsync.ReaderCount(60)).To(Equal(2))
		Expect(confsync.ReaderCount(61)).To(Equal(3))
	})
})
