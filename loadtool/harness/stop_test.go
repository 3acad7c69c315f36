package harness

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestHarness(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "harness")
}

var _ = Describe("Deployment", func() {
	It("stops when its start failed before all processes were started", func() {
		// Guards against a panic that hides the error of a failed start.
		d := &Deployment{
			Members: []*Member{{}},
			VMs: []*VM{{
				Process: &Process{},
			}},
		}
		Expect(d.Stop).NotTo(Panic())
	})
})
