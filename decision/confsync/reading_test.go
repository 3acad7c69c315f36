package confsync_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/confsync"
)

var _ = Describe("Reading", func() {
	// informed is a VM in the middle of a large region with fresh news.
	informed := func() confsync.SourceInput {
		return confsync.SourceInput{
			Registered: true,
			Rank:       20,
			RegionSize: 33,
			HasUpdate:  true,
			UpdateAge:  time.Second,
			Uptime:     time.Minute,
		}
	}

	DescribeTable("where a VM learns what the store holds",
		func(change func(*confsync.SourceInput), expected confsync.Source) {
			r := informed()
			change(&r)
			Expect(r.ChooseSource()).To(Equal(expected))
		},
		Entry("it has fresh news", func(*confsync.SourceInput) {}, confsync.AskReaders{}),
		Entry("its news is as old as may be", func(r *confsync.SourceInput) { r.UpdateAge = confsync.NewsLimit }, confsync.AskReaders{}),
		Entry("its readers are cut off", func(r *confsync.SourceInput) { r.UpdateAge = confsync.NewsLimit + 1 },
			confsync.ReadStore{Reason: "the news of the readers is old"}),
		Entry("its readers are cut off, as it is itself", func(r *confsync.SourceInput) {
			r.UpdateAge = time.Minute
			r.StoreUnreachable = true
		}, confsync.AskReaders{}),
		Entry("it is a reader that is cut off", func(r *confsync.SourceInput) {
			r.Rank = 1
			r.StoreUnreachable = true
		}, confsync.ReadStore{Reason: "the VM is a reader"}),
		Entry("it is a reader", func(r *confsync.SourceInput) { r.Rank = 1 }, confsync.ReadStore{Reason: "the VM is a reader"}),
		Entry("it is one of the readers of a larger region", func(r *confsync.SourceInput) {
			r.Rank = 4
			r.RegionSize = 100
		}, confsync.ReadStore{Reason: "the VM is a reader"}),
		Entry("it leads", func(r *confsync.SourceInput) { r.IsLeader = true }, confsync.ReadStore{Reason: "the VM leads"}),
		Entry("its registration has lapsed", func(r *confsync.SourceInput) { r.Registered = false },
			confsync.ReadStore{Reason: "the VM is not registered"}),
		Entry("it has just started with many others", func(r *confsync.SourceInput) {
			r.HasUpdate = false
			r.Uptime = 5 * time.Second
		}, confsync.AskReaders{}),
		Entry("its readers have told nothing for long", func(r *confsync.SourceInput) {
			r.HasUpdate = false
			r.Uptime = confsync.StartLimit + 1
		}, confsync.ReadStore{Reason: "the readers have told nothing"}),
		Entry("it has just started in a small region", func(r *confsync.SourceInput) {
			r.HasUpdate = false
			r.Rank = 3
			r.RegionSize = 5
			r.Uptime = 251 * time.Millisecond
		}, confsync.ReadStore{Reason: "the readers have told nothing"}),
	)

	It("needs the same number of readers for two small regions, and more for a large one", func() {
		Expect(confsync.ReaderCount(1)).To(Equal(2))
		Expect(confsync.ReaderCount(40)).To(Equal(2))
		Expect(confsync.ReaderCount(41)).To(Equal(3))
	})
})
