package memory_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/memory"
)

func TestMemory(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "decision/memory")
}

const (
	total = 32 << 20
	large = 3 << 20
	stall = time.Second
	now   = time.Minute
)

// takeAll adds large holders to a group until one does not get its memory, and returns the number
// of those that did. Their numbers begin after first.
func takeAll(b *memory.Budget, name string, first uint64) int {
	for n := 0; ; n++ {
		id := first + uint64(n) + 1
		b.Add(id, name)
		if !b.Take(id, large) {
			b.Remove(id)
			return n
		}
	}
}

// expectNext expects which waiting holder gets its memory next; 0 for none.
func expectNext(b *memory.Budget, expected uint64) {
	GinkgoHelper()
	id, ok := b.Next()
	Expect(ok).To(Equal(expected != 0))
	Expect(id).To(Equal(expected))
}

var _ = Describe("Budget", func() {
	var b *memory.Budget

	BeforeEach(func() { b = memory.NewBudget(total) })

	// Guards against connections or small messages that are refused because of large messages, and
	// against connections that use up the memory for messages.
	It("has parts for connections, answers, small and large holders", func() {
		Expect(takeAll(b, "w1", 0)).To(Equal(total * 3 / 8 / large))
		b.Add(100, "w1")
		Expect(b.Take(100, memory.SmallHolding)).To(BeTrue())
		b.AddAnswers(101, "w1")
		Expect(b.Take(101, memory.MaxAnswer(total))).To(BeTrue())
		Expect(b.Take(101, 1)).To(BeFalse())
		Expect(b.TakeFixed(memory.MaxFixed(total))).To(BeTrue())
		Expect(b.TakeFixed(1)).To(BeFalse())
		Expect(b.Used()).To(BeNumerically("<=", total))
	})

	// Guards against holders with the beginnings of messages that keep each other from the rest.
	It("lets holders become large while many small ones wait for that", func() {
		b.Add(1, "w1")
		Expect(b.Take(1, memory.SmallHolding)).To(BeTrue())
		n := uint64(2)
		for b.Add(n, "w1"); b.Take(n, memory.SmallHolding); b.Add(n, "w1") {
			n++
		}
		Expect(b.Take(1, large)).To(BeTrue())
		Expect(b.Take(n, memory.SmallHolding)).To(BeTrue(), "in the place of the one that became large")
	})

	It("gives callers without a key a part, which leaves memory for workspaces", func() {
		Expect(takeAll(b, memory.Anonymous, 0)).To(Equal(1))
		Expect(takeAll(b, "w1", 10)).To(Equal(total*3/8/large - 1))
	})

	// Guards against a small process that never serves a message of the largest legal length.
	It("grants one large request to callers without a key, also if their part is smaller", func() {
		b = memory.NewBudget(9 << 20)
		Expect(takeAll(b, memory.Anonymous, 0)).To(Equal(1))
	})

	It("grants the waiting request of the group that uses least", func() {
		granted := takeAll(b, "w1", 0)
		b.Add(50, "w1")
		b.Add(60, "w2")
		b.Wait(50, large)
		b.Wait(60, large)
		expectNext(b, 0)
		b.Release(1, large)
		expectNext(b, 60)
		b.Remove(2)
		expectNext(b, 50)
		Expect(b.UsedBy("w1")).To(Equal(int64(granted-1) * large))
	})

	It("keeps the order of large requests of a group", func() {
		takeAll(b, "w1", 0)
		b.Add(50, "w1")
		b.Add(51, "w1")
		b.Wait(50, 2*large)
		b.Remove(1)
		Expect(b.Take(51, large)).To(BeFalse())
		Expect(b.Take(51, 1<<10)).To(BeTrue(), "a small request")
		Expect(b.Cancel(50)).To(BeTrue())
		Expect(b.Cancel(50)).To(BeFalse())
		Expect(b.Take(51, large-1<<10)).To(BeTrue())
	})

	It("moves memory between groups", func() {
		b.Add(1, memory.Anonymous)
		Expect(b.Take(1, large)).To(BeTrue())
		b.Regroup(1, "w1")
		Expect(b.UsedBy(memory.Anonymous)).To(BeZero())
		Expect(b.UsedBy("w1")).To(Equal(int64(large)))
		Expect(b.Used()).To(Equal(int64(large)))
		Expect(takeAll(b, memory.Anonymous, 10)).To(Equal(1))
	})

	It("tells whether only the part of the group is used up", func() {
		takeAll(b, memory.Anonymous, 0)
		b.Add(50, memory.Anonymous)
		b.Add(51, "w1")
		Expect(b.LimitedByGroup(50, large)).To(BeTrue())
		takeAll(b, "w1", 100)
		Expect(b.LimitedByGroup(50, large)).To(BeFalse())
		Expect(b.LimitedByGroup(51, large)).To(BeFalse())
	})
})

func holder(id uint64, phase memory.Phase, held int64, opened, age time.Duration) memory.Holder {
	return memory.Holder{
		ID:         id,
		Group:      "w1",
		Phase:      phase,
		Held:       held,
		OpenedAt:   opened,
		ProgressAt: now - age,
	}
}

func usedEqually(string) int64 { return 1 }

// expectMemoryVictim expects which holder is closed for its memory; 0 for none.
func expectMemoryVictim(expected uint64, holders ...memory.Holder) {
	GinkgoHelper()
	h, ok := memory.ChooseForMemory(holders, usedEqually, 4<<10, stall, now)
	Expect(ok).To(Equal(expected != 0))
	Expect(h.ID).To(Equal(expected))
}

var _ = Describe("ChooseForMemory", func() {
	It("chooses the holder of much memory without progress", func() {
		expectMemoryVictim(2, holder(1, memory.Idle, 20<<10, 0, 5*time.Second), holder(2, memory.Receiving, large, 0, 2*time.Second))
	})

	// Guards against closing callers that work.
	It("spares holders that progress, run a request or hold little", func() {
		expectMemoryVictim(0, holder(1, memory.Receiving, large, 0, stall/2), holder(2, memory.Running, large, 0, time.Minute),
			holder(3, memory.Idle, 1<<10, 0, time.Minute))
	})

	It("spares connections that wait for memory themselves for longer", func() {
		expectMemoryVictim(0, holder(1, memory.Waiting, large, 0, 5*stall))
		expectMemoryVictim(1, holder(1, memory.Waiting, large, 0, 11*stall))
	})

	It("prefers the group that uses much, and callers without a key", func() {
		anonymous := holder(2, memory.Idle, large, 0, 2*stall)
		anonymous.Group = memory.Anonymous
		expectMemoryVictim(2, holder(1, memory.Idle, large, 0, 2*stall), anonymous)
		other := holder(3, memory.Idle, large, 0, 2*stall)
		other.Group = "w2"
		used := func(group string) int64 { return map[string]int64{"w1": 1 << 20, "w2": 9 << 20}[group] }
		h, ok := memory.ChooseForMemory([]memory.Holder{holder(1, memory.Idle, large, 0, 2*stall), other}, used, 4<<10, stall, now)
		Expect(ok).To(BeTrue())
		Expect(h.ID).To(Equal(uint64(3)))
	})
})

// expectConnectionVictim expects which holder is closed for its descriptor; 0 for none.
func expectConnectionVictim(expected uint64, holders ...memory.Holder) {
	GinkgoHelper()
	h, ok := memory.ChooseForConnection(holders, stall, now)
	Expect(ok).To(Equal(expected != 0))
	Expect(h.ID).To(Equal(expected))
}

var _ = Describe("ChooseForConnection", func() {
	It("chooses the newest idle session", func() {
		expectConnectionVictim(2, holder(1, memory.Idle, 0, 3*time.Second, 0), holder(2, memory.Idle, 0, 9*time.Second, 0), holder(3, memory.Idle, 0, time.Second, 0))
	})

	It("prefers the connection that has stalled longest", func() {
		expectConnectionVictim(3, holder(1, memory.Idle, 0, 0, time.Minute), holder(2, memory.Starting, 0, 0, 2*stall), holder(3, memory.Sending, 0, 0, 3*stall))
	})

	// Guards against connections without a session that end the sessions of others.
	It("prefers a connection that starts slowly to an idle session", func() {
		expectConnectionVictim(2, holder(1, memory.Idle, 0, 9*time.Second, 0), holder(2, memory.Starting, 0, 0, stall/2))
	})

	It("spares transactions, running requests, and connections that have just begun", func() {
		expectConnectionVictim(0, holder(1, memory.InTransaction, 0, 0, time.Minute), holder(2, memory.Running, 0, 0, time.Minute),
			holder(3, memory.Starting, 0, 0, stall/20), holder(4, memory.Waiting, 0, 0, time.Minute))
	})
})

// FuzzBudget guards against memory that is counted twice, or not returned, in any order of calls.
func FuzzBudget(f *testing.F) {
	f.Add([]byte{0, 10, 1, 200, 2, 3, 4, 5})
	f.Add([]byte("wait and cancel and release"))
	f.Fuzz(func(t *testing.T, data []byte) {
		groups := []string{memory.Anonymous, "w1", "w2"}
		b := memory.NewBudget(4 << 20)
		held := map[uint64]int64{}
		waiting := map[uint64]int64{}
		for id := range uint64(7) {
			b.Add(id, groups[id%3])
		}
		for i := 0; i+1 < len(data); i += 2 {
			id, bytes := uint64(data[i]%7), int64(data[i+1])<<12+1
			_, waits := waiting[id]
			switch {
			case waits && data[i] > 127:
				if !b.Cancel(id) {
					t.Fatal("the request was lost")
				}
				delete(waiting, id)
			case waits:
			case held[id] > 0 && data[i] > 127:
				b.Release(id, held[id])
				held[id] = 0
			case data[i] > 220:
				b.Regroup(id, groups[data[i]%3])
			case b.Take(id, bytes):
				held[id] += bytes
			default:
				b.Wait(id, bytes)
				waiting[id] = bytes
			}
			for {
				granted, ok := b.Next()
				if !ok {
					break
				}
				held[granted] += waiting[granted]
				delete(waiting, granted)
			}
			sum := int64(0)
			for id, h := range held {
				sum += h
				if h != b.Held(id) {
					t.Fatalf("the holder %d has %d bytes, counted are %d", id, h, b.Held(id))
				}
			}
			if sum != b.Used() || sum > 2<<20 {
				t.Fatalf("%d bytes are held, %d counted", sum, b.Used())
			}
			if sum == 0 && len(waiting) > 0 {
				t.Fatal("requests wait for an empty budget")
			}
		}
	})
}
