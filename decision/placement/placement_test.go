package placement_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/placement"
)

func TestPlacement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "placement")
}

var (
	here = placement.Location{
		DataCentre: "a1",
		Region:     "a",
	}
	required = logpos.Position{
		Term:  2,
		Index: 100,
	}
)

func replica(id, dataCentre, region string) placement.Candidate {
	return placement.Candidate{
		ID:          id,
		DataCentre:  dataCentre,
		Region:      region,
		Slots:       5,
		ServiceTime: 30 * time.Millisecond,
		Position:    required,
	}
}

// expectChoice guards against reads at an endpoint that costs more than another, or
// that is known to lack the position.
func expectChoice(expected string, candidates ...placement.Candidate) {
	GinkgoHelper()
	chosen, ok := placement.Choose(here, required, candidates)
	Expect(ok).To(Equal(expected != ""))
	Expect(chosen).To(Equal(expected))
}

var _ = Describe("Choose", func() {
	near, far := replica("near", "a2", "a"), replica("far", "b1", "b")
	primary := replica("primary", "a1", "a")
	primary.Primary = true

	It("leaves the primary's slots to writes", func() {
		expectChoice("near", near, far, primary)
	})

	It("does not cross regions for a short wait", func() {
		waiting := near
		waiting.ReportedWait = 50 * time.Millisecond
		expectChoice("near", waiting, far)
	})

	It("crosses regions when the wait is longer than the trip is worth", func() {
		waiting := near
		waiting.ReportedWait = 200 * time.Millisecond
		expectChoice("far", waiting, far)
	})

	It("forgets a reported wait as it ages", func() {
		waiting := near
		waiting.ReportedWait = 200 * time.Millisecond
		waiting.ReportAge = 300 * time.Millisecond
		expectChoice("near", waiting, far)
	})

	It("counts its own statements before a report tells of them", func() {
		loaded := near
		loaded.InFlight = 20
		expectChoice("far", loaded, far)
	})

	It("passes over an endpoint that has just lacked the position", func() {
		behind := near
		behind.Position = logpos.Position{
			Term:  2,
			Index: 90,
		}
		behind.MissingPosition = logpos.Position{
			Term:  2,
			Index: 95,
		}
		expectChoice("primary", behind, primary)
	})

	It("tries an endpoint again after the pause", func() {
		behind := near
		behind.Position = logpos.Position{
			Term:  2,
			Index: 90,
		}
		behind.MissingPosition = logpos.Position{
			Term:  2,
			Index: 95,
		}
		behind.MissingPositionAge = time.Second
		expectChoice("near", behind, primary)
	})

	It("finds none if all lack the position", func() {
		behind := near
		behind.Position = logpos.Position{
			Term:  1,
			Index: 900,
		}
		behind.MissingPosition = required
		expectChoice("", behind)
	})
})
