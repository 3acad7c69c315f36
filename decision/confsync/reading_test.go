package confsync_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/confsync"
)

var _ = Describe("Reading", func() {
	// informed is a VM in the middle of a large region with fresh news.
	informed := func() confsync.Reading {
		return confsync.Reading{
			Registered: true,
			Place:      20,
			Region:     33,
			NewsKnown:  true,
			NewsAge:    time.Second,
			SinceStart: time.Minute,
		}
	}

	DescribeTable("where a VM learns what the store holds",
		func(change func(*confsync.Reading), expected confsync.Source) {
			r := informed()
			change(&r)
			Expect(r.Decide()).To(Equal(expected))
		},
		Entry("it has fresh news", func(*confsync.Reading) {}, confsync.AskReaders{}),
		Entry("its news is as old as may be", func(r *confsync.Reading) { r.NewsAge = confsync.NewsLimit }, confsync.AskReaders{}),
		Entry("its readers are cut off", func(r *confsync.Reading) { r.NewsAge = confsync.NewsLimit + 1 },
			confsync.ReadStore{Reason: "the news of the readers is old"}),
		Entry("its readers are cut off, as it is itself", func(r *confsync.Reading) {
			r.NewsAge = time.Minute
			r.Lost = true
		}, confsync.AskReaders{}),
		Entry("it is a reader that is cut off", func(r *confsync.Reading) {
			r.Place = 1
			r.Lost = true
		}, confsync.ReadStore{Reason: "the VM is a reader"}),
		Entry("it is a reader", func(r *confsync.Reading) { r.Place = 1 }, confsync.ReadStore{Reason: "the VM is a reader"}),
		Entry("it is one of the readers of a larger region", func(r *confsync.Reading) {
			r.Place = 4
			r.Region = 100
		}, confsync.ReadStore{Reason: "the VM is a reader"}),
		Entry("it leads", func(r *confsync.Reading) { r.Leads = true }, confsync.ReadStore{Reason: "the VM leads"}),
		Entry("its registration has lapsed", func(r *confsync.Reading) { r.Registered = false },
			confsync.ReadStore{Reason: "the VM is not registered"}),
		Entry("it has just started with many others", func(r *confsync.Reading) {
			r.NewsKnown = false
			r.SinceStart = 5 * time.Second
		}, confsync.AskReaders{}),
		Entry("its readers have told nothing for long", func(r *confsync.Reading) {
			r.NewsKnown = false
			r.SinceStart = confsync.StartLimit + 1
		}, confsync.ReadStore{Reason: "the readers have told nothing"}),
		Entry("it has just started in a small region", func(r *confsync.Reading) {
			r.NewsKnown = false
			r.Place = 3
			r.Region = 5
			r.SinceStart = 251 * time.Millisecond
		}, confsync.ReadStore{Reason: "the readers have told nothing"}),
	)

	It("needs the same number of readers for two small regions, and more for a large one", func() {
		Expect(confsync.Readers(1)).To(Equal(2))
		Expect(confsync.Readers(40)).To(Equal(2))
		Expect(confsync.Readers(41)).To(Equal(3))
	})
})
