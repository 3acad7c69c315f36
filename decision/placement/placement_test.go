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
	callerLocation = placement.Location{
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

// expectChoice checks the choice. It guards against reads at an endpoint that costs more
// than another one, or that has not reached the required position.
func expectChoice(expected string, candidates ...placement.Candidate) {
	GinkgoHelper()
	chosen, ok := placement.Choose(callerLocation, required, candidates)
	Expect(ok).To(Equal(expected != ""))
	Expect(chosen).To(Equal(expected))
}

var _ = Describe("Choose", func() {
	near, far := replica("near", "a2", "a"), replica("far", "b1", "b")
	primary := replica("primary", "a1", "a")
	primary.Primary = true

	It("prefers a replica to the primary", func() {
		expectChoice("near", near, far, primary)
	})

	It("does not cross regions for a short wait", func() {
		waiting := near
		waiting.ReportedWait = 50 * time.Millisecond
		expectChoice("near", waiting, far)
	})

	It("crosses regions when the wait is longer than the round trip and its penalty", func() {
		waiting := near
		waiting.ReportedWait = 200 * time.Millisecond
		expectChoice("far", waiting, far)
	})

	It("reduces a reported wait with its age", func() {
		waiting := near
		waiting.ReportedWait = 200 * time.Millisecond
		waiting.ReportAge = 300 * time.Millisecond
		expectChoice("near", waiting, far)
	})

	It("counts this VM's own statements, which a report may not include yet", func() {
		loaded := near
		loaded.InFlight = 20
		expectChoice("far", loaded, far)
	})

	It("passes over an endpoint that recently did not have the position", func() {
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

	It("tries an endpoint again after the retry delay", func() {
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

	It("returns false if no endpoint has the position", func() {
		behind := near
		behind.Position = logpos.Position{
			Term:  1,
			Index: 900,
		}
		behind.MissingPosition = required
		expectChoice("", behind)
	})
})
