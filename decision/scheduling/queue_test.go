package scheduling_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/decision/scheduling"
)

const service = 10 * time.Millisecond

func TestScheduling(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "scheduling")
}

// fixture is a queue with a clock that the test controls.
type fixture struct {
	*scheduling.Queue
	now  time.Time
	next uint64
	// priority and target are those of the items that arrive.
	priority int
	target   time.Time
}

func newFixture(config scheduling.Config) *fixture {
	config.InitialServiceTime = service
	return &fixture{
		Queue: scheduling.New(config),
		now:   time.Unix(0, 0),
	}
}

// expectOrder runs items one after another and checks their order. It guards against urgent
// statements that wait behind less urgent ones.
func (f *fixture) expectOrder(ids ...uint64) {
	GinkgoHelper()
	for _, id := range ids {
		run, ok := f.Next(f.now).(scheduling.Run)
		Expect(ok).To(BeTrue())
		Expect(run.Item.ID).To(Equal(id))
		f.now = f.now.Add(service)
		f.Complete(f.now, id)
	}
}

func (f *fixture) arrive(subject string, weight int, timeout time.Duration, transaction bool) scheduling.Decision {
	f.next++
	return f.Enqueue(f.now, scheduling.Item{
		ID:          f.next,
		Subject:     subject,
		Weight:      weight,
		ArrivedAt:   f.now,
		Deadline:    f.now.Add(timeout),
		Transaction: transaction,
		Priority:    f.priority,
		Target:      f.target,
	})
}

func (f *fixture) flood(subject string, count int) {
	for range count {
		f.arrive(subject, 1, time.Hour, false)
	}
}

// serve runs one item at a time and counts the items of each subject.
func (f *fixture) serve(count int) (map[string]int, []string) {
	served := map[string]int{}
	var order []string
	for range count {
		run, ok := f.Next(f.now).(scheduling.Run)
		if !ok {
			break
		}
		served[run.Item.Subject]++
		order = append(order, run.Item.Subject)
		f.now = f.now.Add(service)
		f.Complete(f.now, run.Item.ID)
	}
	return served, order
}

var _ = Describe("Queue", func() {
	DescribeTable("serves in the order of the policy",
		// Guards against a policy that ignores weights, the minimum share or the
		// rotation.
		func(policy scheduling.Policy, weight, wantA, wantB int) {
			f := newFixture(scheduling.Config{
				Policy: policy,
				Slots:  1,
			})
			for range 200 {
				f.arrive("a", weight, time.Hour, false)
			}
			for range 200 {
				f.arrive("b", 1, time.Hour, false)
			}
			served, _ := f.serve(120)
			Expect(served["a"]).To(BeNumerically("~", wantA, 2))
			Expect(served["b"]).To(BeNumerically("~", wantB, 2))
		},
		Entry("weighted", scheduling.WeightedFair{}, 3, 90, 30),
		Entry("minimum share", scheduling.WeightedFair{}, 1000, 107, 13),
		Entry("round robin", scheduling.RoundRobin{}, 3, 60, 60),
		Entry("first in first out", scheduling.FirstInFirstOut{}, 3, 120, 0),
	)

	It("records no service time for items that the endpoint did not respond to", func() {
		// Guards against refusals as overloaded after a failover, when each lost
		// statement held its slot until the lost connection was detected.
		f := newFixture(scheduling.Config{
			Slots:   1,
			MaxWait: time.Second,
		})
		for range 10 {
			f.arrive("a", 1, time.Hour, false)
			run, ok := f.Next(f.now).(scheduling.Run)
			Expect(ok).To(BeTrue())
			f.now = f.now.Add(time.Minute)
			f.ReleaseUnmeasured(run.Item.ID)
		}
		Expect(f.Running()).To(BeZero())
		f.flood("a", 10)
		Expect(f.ExpectedWait(f.now, "a")).To(BeNumerically("<", time.Second))
	})

	It("gives precedence to transaction steps, up to a bound", func() {
		// Guards against transaction steps that wait behind statements while their
		// transaction holds a connection, and against a subject that starves others
		// with transaction steps.
		f := newFixture(scheduling.Config{Slots: 1})
		f.flood("a", 100)
		for range 100 {
			f.arrive("b", 1, time.Hour, true)
		}
		_, order := f.serve(60)
		Expect(order[:10]).To(HaveEach("b"))
		Expect(order[25:]).To(ContainElement("a"))
	})

	DescribeTable("refuses at arrival",
		// Guards against running statements that cannot finish in time, and against
		// unbounded waits.
		func(backlog int, timeout time.Duration, want scheduling.Decision) {
			f := newFixture(scheduling.Config{
				Slots:   1,
				MaxWait: 100 * time.Millisecond,
			})
			for range backlog {
				f.arrive("a", 1, time.Hour, false)
				f.Next(f.now)
			}
			Expect(f.arrive("a", 1, timeout, false)).To(Equal(want))
		},
		Entry("idle endpoint", 0, time.Millisecond, scheduling.Enqueued{}),
		Entry("deadline passed", 0, time.Duration(0), scheduling.Refused{Reason: refusal.DeadlineTooShort}),
		Entry("deadline just long enough", 5, 61*time.Millisecond, scheduling.Enqueued{}),
		Entry("deadline too short", 5, 60*time.Millisecond, scheduling.Refused{Reason: refusal.DeadlineTooShort}),
		Entry("overloaded", 12, time.Hour, scheduling.Refused{
			Reason:     refusal.Overloaded,
			RetryAfter: 10 * time.Millisecond,
		}),
	)

	It("refuses only the subject that floods the endpoint", func() {
		f := newFixture(scheduling.Config{
			Slots:   5,
			MaxWait: 200 * time.Millisecond,
		})
		f.flood("a", 10000)
		Expect(f.arrive("a", 1, time.Hour, false)).To(BeAssignableToTypeOf(scheduling.Refused{}))
		Expect(f.arrive("b", 1, time.Hour, false)).To(Equal(scheduling.Enqueued{}))
		Expect(f.ExpectedWait(f.now, "a")).To(BeNumerically(">", 150*time.Millisecond))
		Expect(f.ExpectedWait(f.now, "c")).To(BeNumerically("<", 20*time.Millisecond))
	})

	DescribeTable("lets a subject that used more than its share yield",
		// Guards against a flood that delays subjects within their share, and
		// against a subject that still yields long after its flood has ended.
		func(pause time.Duration, want int) {
			f := newFixture(scheduling.Config{Slots: 1})
			f.arrive("b", 1, time.Hour, false)
			f.flood("a", 300)
			f.serve(301)
			f.now = f.now.Add(pause)
			f.flood("a", 20)
			f.flood("b", 20)
			served, _ := f.serve(20)
			Expect(served["b"]).To(BeNumerically("~", want, 1))
		},
		Entry("during the flood", time.Duration(0), 20),
		Entry("after the flood", 10*time.Second, 10),
	)

	It("drops items that can no longer finish in time and lets callers remove waiting items", func() {
		// Guards against running items that cannot finish in time or that their caller
		// has removed.
		f := newFixture(scheduling.Config{Slots: 1})
		f.flood("a", 1)
		f.Next(f.now)
		f.arrive("a", 1, 25*time.Millisecond, false)
		f.arrive("a", 1, time.Hour, false)
		Expect(f.Remove(3)).To(BeTrue())
		Expect(f.Remove(3)).To(BeFalse())
		Expect(f.Remove(1)).To(BeFalse())
		expired, ok := f.Next(f.now.Add(15 * time.Millisecond)).(scheduling.Expired)
		Expect(ok).To(BeTrue())
		Expect(expired.Item.ID).To(Equal(uint64(2)))
	})

	DescribeTable("reserves time for a long statement of a subject with short and long ones",
		// Guards against long statements that start too late to finish and waste a
		// slot.
		func(backlog int, want scheduling.Decision) {
			f := newFixture(scheduling.Config{Slots: 1})
			for i := range 20 {
				f.arrive("a", 1, time.Hour, false)
				run, ok := f.Next(f.now).(scheduling.Run)
				Expect(ok).To(BeTrue())
				f.now = f.now.Add(time.Duration(1+20*(i%2)) * time.Millisecond)
				f.Complete(f.now, run.Item.ID)
			}
			f.flood("a", backlog)
			f.Next(f.now)
			Expect(f.arrive("a", 1, 75*time.Millisecond, false)).To(Equal(want))
		},
		Entry("light load", 2, scheduling.Enqueued{}),
		Entry("long queue", 4, scheduling.Refused{Reason: refusal.DeadlineTooShort}),
	)

	It("accepts a subject again after a slow statement", func() {
		// Guards against an average that rises once and causes refusals forever.
		f := newFixture(scheduling.Config{Slots: 1})
		f.arrive("a", 1, time.Hour, false)
		f.Next(f.now)
		f.now = f.now.Add(10 * time.Second)
		f.Complete(f.now, 1)
		Expect(f.arrive("a", 1, time.Second, false)).To(Equal(scheduling.Enqueued{}))
		Expect(f.Next(f.now)).To(BeAssignableToTypeOf(scheduling.Run{}))
	})
})

// TestQueueKeepsItems guards against items that are lost, returned twice or run
// beyond the slots, and against slots that stay free while items wait, for any order
// of calls and any policy.
func TestQueueKeepsItems(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		f := newFixture(scheduling.Config{
			Policy: rapid.SampledFrom([]scheduling.Policy{
				scheduling.FirstInFirstOut{},
				scheduling.RoundRobin{},
				scheduling.WeightedFair{},
				scheduling.MostUrgentFirst{},
			}).Draw(t, "policy"),
			Slots:   slots,
			MaxWait: 50 * time.Millisecond,
		})
		waiting := map[uint64]bool{}
		running := map[uint64]bool{}
		removeWaiting := func(id uint64) {
			if !waiting[id] {
				t.Fatalf("item %d was returned but is not waiting", id)
			}
			delete(waiting, id)
		}
		anyOf := func(ids map[uint64]bool) uint64 {
			return rapid.Uint64Range(1, max(f.next, 1)).Filter(func(id uint64) bool { return len(ids) == 0 || ids[id] }).Draw(t, "id")
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				subject := fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "subject"))
				timeout := time.Duration(rapid.IntRange(1, 100).Draw(t, "timeout")) * time.Millisecond
				f.priority = rapid.IntRange(0, 2).Draw(t, "priority")
				f.target = f.now.Add(time.Duration(rapid.IntRange(-10, 100).Draw(t, "target")) * time.Millisecond)
				decision := f.arrive(subject, rapid.IntRange(1, 5).Draw(t, "weight"), timeout, rapid.Bool().Draw(t, "step"))
				if _, ok := decision.(scheduling.Enqueued); ok {
					waiting[f.next] = true
				}
			},
			"next": func(*rapid.T) {
				switch d := f.Next(f.now).(type) {
				case scheduling.Run:
					removeWaiting(d.Item.ID)
					running[d.Item.ID] = true
				case scheduling.Expired:
					removeWaiting(d.Item.ID)
				case scheduling.Displaced:
					removeWaiting(d.Item.ID)
				case scheduling.Idle:
					if len(waiting) > 0 && len(running) < slots {
						t.Fatalf("%d of %d slots are free while %d items wait", slots-len(running), slots, len(waiting))
					}
				}
			},
			"finish": func(*rapid.T) {
				if len(running) > 0 {
					id := anyOf(running)
					f.Complete(f.now, id)
					delete(running, id)
				}
			},
			"remove": func(*rapid.T) {
				if len(waiting) > 0 {
					id := anyOf(waiting)
					if f.Remove(id) {
						removeWaiting(id)
					}
				}
			},
			"": func(t *rapid.T) {
				f.now = f.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
				if f.Running() != len(running) || f.Waiting() != len(waiting) || len(running) > slots {
					t.Fatalf("%d running, %d waiting; want %d, %d", f.Running(), f.Waiting(), len(running), len(waiting))
				}
			},
		})
	})
}
