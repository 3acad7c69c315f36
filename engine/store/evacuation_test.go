package store_test

import (
	"context"
	"errors"
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/evacuation"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/store"
	"amaranthdock.dev/timer"
)

const evacuationLimit = 5 * time.Second

var errInvalid = errors.New("the configuration is invalid")

// evacuationSource serves the evacuations of the fake store, each of which is a change, and its
// configuration.
type evacuationSource struct{ configurationSource }

func (e evacuationSource) ReadEvacuations(context.Context) (catalog.Evacuations, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.evacuationReads++
	if e.unreachable {
		return catalog.Evacuations{}, errUnreachable
	}
	read := catalog.Evacuations{
		Revision:    max(e.version, 1),
		DataCentres: map[string]bool{},
	}
	for _, c := range e.evacuations {
		read.Revision = max(read.Revision, c.Revision)
		if delete(read.DataCentres, c.DataCentre); c.Evacuated {
			read.DataCentres[c.DataCentre] = true
		}
	}
	return read, nil
}

func (e evacuationSource) WatchDeclarations(ctx context.Context, after uint64, wait time.Duration) (store.Declarations, error) {
	deadline := time.Now().Add(min(wait, 100*time.Millisecond))
	for time.Now().Before(deadline) {
		var declared store.Declarations
		e.mu.Lock()
		for _, c := range e.evacuations {
			if c.Revision > after && !e.watchesMissChanges && !e.unreachable {
				declared.Evacuations = append(declared.Evacuations, c)
				declared.Revision = c.Revision
			}
		}
		invalid := e.invalid
		e.mu.Unlock()
		switch {
		case invalid && len(declared.Evacuations) > 0:
			return declared, errInvalid
		case len(declared.Evacuations) > 0:
			return declared, nil
		}
		time.Sleep(2 * time.Millisecond)
	}
	configuration, revision, err := e.Watch(ctx, after, time.Millisecond)
	return store.Declarations{
		Configuration: configuration,
		Revision:      revision,
	}, err
}

var _ = Describe("evacuations", func() {
	var f *fixture
	follow := func() { go f.syncer.FollowConfiguration(f.ctx) }
	requestEvacuation := func(revision uint64) {
		f.fake.set(func() {
			f.fake.evacuations = append(f.fake.evacuations, evacuation.Change{
				Revision:   revision,
				DataCentre: "a2",
				Evacuated:  true,
			})
		})
	}
	access := func() evacuation.Access { return f.view.Access(catalog.Endpoint{DataCentre: "a2"}) }
	reads := func() int {
		f.fake.mu.Lock()
		defer f.fake.mu.Unlock()
		return f.fake.evacuationReads
	}

	BeforeEach(func() {
		f = newFixtureWith(timer.NewSystem(), func(f *fixture, c *store.Config) {
			c.EvacuationSource = evacuationSource{configurationSource{f.fake}}
		})
	})

	It("are read once and then received with the watch of the configuration", func() {
		// Guards against further calls to the store, which are billed.
		follow()
		f.expectVersion(1)
		Expect(reads()).To(Equal(1))
		requestEvacuation(4)
		Eventually(access).Should(Equal(evacuation.WritesOnly))
		f.fake.set(func() { f.fake.version = 7 })
		f.expectVersion(7)
		Expect(reads()).To(Equal(1))
	})

	It("that were requested before the start permit nothing", func() {
		// Guards against a new process that uses the whole limit of an old request.
		requestEvacuation(4)
		follow()
		f.expectVersion(1)
		Expect(access()).To(Equal(evacuation.Closed))
	})

	It("are read again after the store has compacted its history", func() {
		follow()
		f.expectVersion(1)
		requestEvacuation(4)
		f.fake.set(func() { f.fake.watchesMissChanges = true })
		f.fake.set(func() { f.fake.compacted = true })
		Eventually(reads).WithTimeout(2 * time.Second).Should(Equal(2))
		Eventually(func() []string { return f.view.Evacuations().DataCentres() }).Should(Equal([]string{"a2"}))
	})

	It("apply also if the configuration is invalid", func() {
		follow()
		f.expectVersion(1)
		f.fake.set(func() { f.fake.invalid = true })
		requestEvacuation(4)
		Eventually(access).Should(Equal(evacuation.WritesOnly))
	})

	It("stay in force while the store is unavailable", func() {
		follow()
		f.expectVersion(1)
		requestEvacuation(4)
		Eventually(access).Should(Equal(evacuation.WritesOnly))
		f.fake.set(func() { f.fake.unreachable = true })
		Consistently(func() []string { return f.view.Evacuations().DataCentres() }, 300*time.Millisecond).Should(Equal([]string{"a2"}))
	})

	It("are as old as the data of a VM that becomes a reader", func() {
		// Guards against a VM whose readers were cut off from the store: it learns of an
		// evacuation 2 s late and must not use the whole limit.
		Expect(f.joinFleet(1, "")).To(BeTrue())
		f.view.AcceptEvacuations(1, nil, "test")
		f.view.AcceptConfiguration(&catalog.Configuration{Version: 1}, "test")
		f.syncer.RecordReaderUpdate(f.sinceBoot()-1900*time.Millisecond, 3)
		requestEvacuation(4)
		follow()
		Eventually(access).WithTimeout(2 * time.Second).Should(Equal(evacuation.Closed))
		Expect(f.view.Evacuations().Ages(f.sinceBoot())["a2"]).To(BeNumerically("<", math.MaxInt64))
	})
})
