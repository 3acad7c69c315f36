package guard_test

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/engine/guard"
	"amaranthdock.dev/timer"
)

func TestGuard(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "engine/guard")
}

// Guards against one unexpected error that ends the process, and all its sessions with it.
var _ = Describe("a panic", func() {
	var lines []string
	log := funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})

	BeforeEach(func() { lines = nil })

	It("ends only its task, and is logged with the stack", func() {
		func() {
			defer guard.Recover(log, "session")
			panic("broken")
		}()
		Expect(lines).To(ConsistOf(And(ContainSubstring("session"), ContainSubstring("broken"), ContainSubstring("guard_test.go"))))
	})

	It("becomes an error of a call", func() {
		call := func() (err error) {
			defer guard.RecoverTo(log, "call", &err)
			panic("broken")
		}
		Expect(call()).To(MatchError(ContainSubstring("call")))
	})

	It("does not end a loop", func() {
		ctx, stop := context.WithCancel(context.Background())
		runs := 0
		guard.Loop(ctx, timer.NewSystem(), log, "loop", func(context.Context) {
			runs++
			if runs == 1 {
				panic("broken")
			}
			stop()
		})
		Expect(runs).To(Equal(2))
	})

	It("is not reported when there is none", func() {
		ctx, stop := context.WithTimeout(context.Background(), time.Second)
		defer stop()
		guard.Loop(ctx, timer.NewSystem(), log, "loop", func(context.Context) {})
		Expect(lines).To(BeEmpty())
	})
})
