package confsync_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/confsync"
)

var _ = Describe("Reading", func() {
	// upToDate is a VM in the middle of the ranking of a large region, with a recent
	// update.
	upToDate := func() confsync.Reading {
		return confsync.Reading{
			Registered: true,
			Place:      20,
			Region:     33,
			NewsKnown:  true,
			NewsAge:    time.Second,
			SinceStart: time.Minute,
		}
	}

	DescribeTable("where a VM reads the content of the store from",
		func(change func(*confsync.Reading), expected confsync.Source) {
			r := upToDate()
			change(&r)
			Expect(r.Decide()).To(Equal(expected))
		},
		Entry("its latest update is recent", func(*confsync.Reading) {}, confsync.AskReaders{}),
		Entry("its latest update is at the age limit", func(r *confsync.Reading) { r.NewsAge = confsync.MaxUpdateAge }, confsync.AskReaders{}),
		Entry("its readers cannot reach the store", func(r *confsync.Reading) { r.NewsAge = confsync.MaxUpdateAge + 1 },
			confsync.ReadStore{Reason: "the latest update from the readers is too old"}),
		Entry("neither its readers nor the VM itself can reach the store", func(r *confsync.Reading) {
			r.NewsAge = time.Minute
			r.Lost = true
		}, confsync.AskReaders{}),
		Entry("it is a reader that cannot reach the store", func(r *confsync.Reading) {
			r.Place = 1
			r.Lost = true
		}, confsync.ReadStore{Reason: "the VM is a reader"}),
		Entry("it is a reader", func(r *confsync.Reading) { r.Place = 1 }, confsync.ReadStore{Reason: "the VM is a reader"}),
		Entry("it is one of the readers of a larger region", func(r *confsync.Reading) {
			r.Place = 4
			r.Region = 100
		}, confsync.ReadStore{Reason: "the VM is a reader"}),
		Entry("it is the leader", func(r *confsync.Reading) { r.Leads = true }, confsync.ReadStore{Reason: "the VM is the leader"}),
		Entry("its registration has expired", func(r *confsync.Reading) { r.Registered = false },
			confsync.ReadStore{Reason: "the VM is not registered"}),
		Entry("it has just started with many others", func(r *confsync.Reading) {
			r.NewsKnown = false
			r.SinceStart = 5 * time.Second
		}, confsync.AskReaders{}),
		Entry("its readers have sent no update for a long time", func(r *confsync.Reading) {
			r.NewsKnown = false
			r.SinceStart = confsync.MaxStartDelay + 1
		}, confsync.ReadStore{Reason: "no update from the readers since the start"}),
		Entry("it has just started in a small region", func(r *confsync.Reading) {
			r.NewsKnown = false
			r.Place = 3
			r.Region = 5
			r.SinceStart = 251 * time.Millisecond
		}, confsync.ReadStore{Reason: "no update from the readers since the start"}),
	)

	It("needs the same number of readers for two small regions, and more for a large one", func() {
		Expect(confsync.Readers(1)).To(Equal(2))
		Expect(confsync.Readers(40)).To(Equal(2))
		Expect(confsync.Readers(41)).To(Equal(3))
	})
})
