package limits_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"amaranthdock.dev/decision/limits"
	"amaranthdock.dev/decision/routing"
)

var start = time.Unix(0, 0)

func TestLimits(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "limits")
}

func fleetOf(names ...string) limits.Fleet {
	f := limits.Fleet{
		ListedActiveVMs: names,
		ListedVMs:       names,
		LongAbsentVMs:   map[string]bool{},
	}
	for _, n := range names {
		f.LiveVMs = append(f.LiveVMs, routing.VM{Name: n})
	}
	return f
}

func subjectOf(rate float64, burst int64) []limits.Subject {
	return []limits.Subject{{
		Name:  "w",
		Limit: limits.Limit{Rate: rate, Burst: burst},
	}}
}

// sizes returns the millionths by VM and checks that the record survives encoding.
func sizes(record limits.ShareRecord) map[string]int64 {
	GinkgoHelper()
	data, err := record.Encode()
	Expect(err).NotTo(HaveOccurred())
	Expect(limits.DecodeShareRecord(data)).To(Equal(record))
	held := map[string]int64{}
	for _, p := range record.Shares("w") {
		held[p.VM] = p.Millionths
	}
	return held
}

func reconciled(record limits.ShareRecord, subjects []limits.Subject, fleet limits.Fleet) limits.ShareRecord {
	GinkgoHelper()
	changed, ok := limits.Reconcile(record, subjects, fleet).(limits.Changed)
	Expect(ok).To(BeTrue())
	return changed.Record
}

var _ = Describe("Bucket", func() {
	It("starts empty and holds no more than its capacity after a pause", func() {
		// Guards against a process that admits more than its burst after it was
		// suspended.
		b := limits.NewBucket(start, 4, 10)
		Expect(b.Available(start)).To(BeZero())
		Expect(b.TimeUntil(start, 1)).To(Equal(100 * time.Millisecond))
		Expect(b.TimeUntil(start, 5)).To(Equal(limits.Never))
		later := start.Add(time.Hour)
		Expect(b.Take(later, 10)).To(Equal(int64(4)))
		Expect(b.Take(start, 1)).To(BeZero())
		Expect(b.Available(later.Add(150 * time.Millisecond))).To(Equal(int64(1)))
	})
})

var _ = Describe("Limit", func() {
	DescribeTable("has a number of holders that depends on the burst",
		// Guards against shares that are too small to admit a request.
		func(rate float64, burst int64, want int) {
			Expect(limits.Limit{Rate: rate, Burst: burst}.HolderCount()).To(Equal(want))
		},
		Entry("smallest", 10.0, int64(2), 1),
		Entry("two shares", 10.0, int64(9), 2),
		Entry("almost two shares", 10.0, int64(8), 1),
		Entry("large", 100.0, int64(1000), 8),
	)
})

var _ = Describe("Record", func() {
	It("assigns a new subject in even shares", func() {
		// Guards against VMs without a share of a new subject, and against a record that
		// is written again although nothing has changed.
		record := reconciled(limits.ShareRecord{}, subjectOf(10, 100), fleetOf("a", "b", "c"))
		Expect(sizes(record)).To(HaveLen(3))
		Expect(record.Share("w", "a").Millionths).To(BeNumerically("~", 333_333, 1))
		Expect(limits.Reconcile(record, subjectOf(10, 100), fleetOf("a", "b", "c"))).To(Equal(limits.Unchanged{}))
	})

	DescribeTable("reassigns a share only when its holder is known to be gone",
		// Guards against a share that two VMs use at the same time.
		func(live, listed []string, gone bool, reassigned bool) {
			record := reconciled(limits.ShareRecord{}, subjectOf(10, 100), fleetOf("a", "b"))
			fleet := fleetOf(live...)
			fleet.ListedActiveVMs = listed
			fleet.ListedVMs = listed
			fleet.LongAbsentVMs = map[string]bool{"b": gone}
			change := limits.Reconcile(record, subjectOf(10, 100), fleet)
			if !reassigned {
				Expect(change).To(Equal(limits.Unchanged{}))
				return
			}
			moved := change.(limits.Changed).Record
			Expect(sizes(moved)).To(Equal(map[string]int64{"a": limits.TotalMillionths}))
			Expect(moved.Share("w", "a").Epoch).To(Equal(record.Share("w", "a").Epoch))
		},
		Entry("dead, but still listed", []string{"a"}, []string{"a", "b"}, true, false),
		Entry("live, but not listed", []string{"a", "b"}, []string{"a"}, true, false),
		Entry("not listed for a short time", []string{"a"}, []string{"a"}, false, false),
		Entry("gone", []string{"a"}, []string{"a"}, true, true),
		Entry("no list", []string{"a"}, nil, false, false),
	)

	It("lets a holder give a new VM its share", func() {
		// Guards against a new VM that stays without a share.
		record := reconciled(limits.ShareRecord{}, subjectOf(10, 100), fleetOf("a"))
		change := limits.Rebalance(record, subjectOf(10, 100), fleetOf("a", "b"), "a").(limits.Changed)
		Expect(sizes(change.Record)).To(Equal(map[string]int64{"a": 500_000, "b": 500_000}))
		Expect(change.Reductions).To(Equal([]limits.ShareReduction{{Subject: "w", Millionths: 500_000}}))
		Expect(limits.Rebalance(change.Record, subjectOf(10, 100), fleetOf("a", "b"), "a")).To(Equal(limits.Unchanged{}))
	})

	It("merges shares that a lowered burst made too small", func() {
		// Guards against shares of less than one token, which admit nothing.
		record := reconciled(limits.ShareRecord{}, subjectOf(10, 100), fleetOf("a", "b", "c"))
		for _, vm := range []string{"a", "b", "c"} {
			if c, ok := limits.Rebalance(record, subjectOf(1, 3), fleetOf("a", "b", "c"), vm).(limits.Changed); ok {
				record = c.Record
			}
		}
		Expect(sizes(record)).To(HaveLen(1))
		Expect(sizes(record)).To(ContainElement(int64(limits.TotalMillionths)))
	})

	It("moves the shares of a leaving VM and raises the epoch of new holders", func() {
		// Guards against a part of the limit that is lost with a leaving VM.
		record := reconciled(limits.ShareRecord{}, subjectOf(1, 3), fleetOf("a"))
		change := limits.Release(record, subjectOf(1, 3), fleetOf("a", "b"), "a").(limits.Changed)
		Expect(sizes(change.Record)).To(Equal(map[string]int64{"b": limits.TotalMillionths}))
		Expect(change.Record.Share("w", "b").Epoch).To(BeNumerically(">", record.Share("w", "a").Epoch))
	})

	DescribeTable("is rejected if it is invalid",
		// Guards against putting an invalid record into effect, such as one with more
		// than the whole limit.
		func(data string) {
			_, err := limits.DecodeShareRecord([]byte(data))
			Expect(err).To(HaveOccurred())
		},
		Entry("not JSON", `{`),
		Entry("sum above the whole limit", `{"epoch":2,"subjects":[{"name":"w","parts":[{"vm":"a","millionths":600000,"epoch":1},{"vm":"b","millionths":600000,"epoch":2}]}]}`),
		Entry("negative share", `{"epoch":1,"subjects":[{"name":"w","parts":[{"vm":"a","millionths":-1,"epoch":1}]}]}`),
		Entry("VM listed twice", `{"epoch":1,"subjects":[{"name":"w","parts":[{"vm":"a","millionths":1,"epoch":1},{"vm":"a","millionths":1,"epoch":1}]}]}`),
	)
})

var _ = Describe("Loans", func() {
	DescribeTable("are usable within the timeout",
		// Guards against late loans, with which VMs could admit more than the limit
		// allows.
		func(after time.Duration, want bool) {
			Expect(limits.Loan{RequestedAt: start}.UsableAt(start.Add(after))).To(Equal(want))
		},
		Entry("at the timeout", limits.LoanTimeout, true),
		Entry("late", limits.LoanTimeout+1, false),
	)

	It("are requested from as few lenders as possible, those with the most tokens first", func() {
		// Guards against needless loan requests, and against requests to a lender without
		// tokens.
		lender := func(vm string, remaining int64) limits.Lender {
			return limits.Lender{
				VM:       vm,
				State:    limits.LenderState{RespondedAt: start, RemainingTokens: remaining, UntilNextToken: time.Second},
				Capacity: 10,
				Rate:     1,
			}
		}
		lenders := []limits.Lender{lender("a", 2), lender("b", 6), lender("c", 0)}
		Expect(limits.PlanLoans(start, 3, lenders)).To(Equal([]limits.LoanRequest{{Lender: "b", Tokens: 3}}))
		Expect(limits.PlanLoans(start, 9, lenders)).To(Equal([]limits.LoanRequest{{Lender: "b", Tokens: 6}, {Lender: "a", Tokens: 2}}))
		Expect(limits.TimeUntilLendable(start, lenders[2:])).To(Equal(time.Second))
	})
})

// TestWindows guards against any window of t seconds in which three VMs together
// admit more than burst + rate x t while they take, lend, pause, restart, join and
// leave.
func TestWindows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		limit := limits.Limit{
			Rate:  float64(rapid.IntRange(1, 50).Draw(t, "rate")),
			Burst: int64(rapid.IntRange(6, 60).Draw(t, "burst")),
		}
		subjects := []limits.Subject{{Name: "w", Limit: limit}}
		record, revision, now := limits.ShareRecord{}, uint64(0), start
		shares := map[string]*limits.LocalShare{}
		for _, n := range names {
			shares[n] = limits.NewLocalShare(now, limit, 0)
		}
		var admitted []time.Time
		vm := rapid.SampledFrom(names)
		write := func(change limits.Change, writer string) {
			if c, ok := change.(limits.Changed); ok {
				for _, s := range c.Reductions {
					shares[writer].Reduce(now, s.Millionths, revision)
				}
				record = c.Record
				revision++
			}
		}
		admit := func(count int64) {
			for range count {
				admitted = append(admitted, now)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"take": func(t *rapid.T) {
				admit(shares[vm.Draw(t, "vm")].Take(now, int64(rapid.IntRange(1, 20).Draw(t, "count"))))
			},
			"borrow": func(t *rapid.T) {
				loan := limits.Loan{RequestedAt: now}
				granted := limits.GrantLoan(now, shares[vm.Draw(t, "vm")], 5, 0)
				now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
				if loan.UsableAt(now) {
					admit(granted)
				}
			},
			"load": func(t *rapid.T) {
				n := vm.Draw(t, "vm")
				shares[n].Apply(now, revision, record.Share("w", n))
			},
			"reconcile": func(t *rapid.T) {
				write(limits.Reconcile(record, subjects, fleetOf(names[:rapid.IntRange(1, 3).Draw(t, "live")]...)), "")
			},
			"rebalance": func(t *rapid.T) {
				n := vm.Draw(t, "vm")
				shares[n].Apply(now, revision, record.Share("w", n))
				write(limits.Rebalance(record, subjects, fleetOf(names...), n), n)
			},
			"release": func(t *rapid.T) {
				n := vm.Draw(t, "vm")
				shares[n].Apply(now, revision, record.Share("w", n))
				write(limits.Release(record, subjects, fleetOf(names...), n), n)
			},
			"restart": func(t *rapid.T) {
				shares[vm.Draw(t, "vm")] = limits.NewLocalShare(now, limit, revision)
			},
			"": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
				checkWindows(t, limit, admitted)
			},
		})
	})
}

func checkWindows(t *rapid.T, limit limits.Limit, admitted []time.Time) {
	allowed := float64(limit.Burst)
	for i, at := range admitted {
		if i > 0 {
			allowed = math.Min(allowed+limit.Rate*at.Sub(admitted[i-1]).Seconds(), float64(limit.Burst))
		}
		allowed--
		if allowed < -1e-6 {
			t.Fatal(fmt.Sprintf("request %d at %s exceeds the limit", i, at))
		}
	}
}

var _ = Describe("ResizeKeepingSurplus", func() {
	start := time.Unix(1000, 0)
	full := func() limits.Bucket {
		b := limits.NewBucket(start, 10, 10)
		b.Available(start.Add(time.Second))
		return b
	}
	now := start.Add(time.Second)

	It("keeps the surplus until the given time", func() {
		// Guards against tokens that are lost when the capacity is lowered.
		b := full()
		b.ResizeKeepingSurplus(now, 2, 1, now.Add(3*time.Second))
		Expect(b.Take(now, 20)).To(Equal(int64(10)))
		Expect(b.Available(now)).To(BeZero())
	})

	It("keeps no more than the new capacity after that time", func() {
		// Guards against a burst above the new capacity long after it was lowered.
		b := full()
		b.ResizeKeepingSurplus(now, 2, 1, now.Add(3*time.Second))
		Expect(b.Available(now.Add(3 * time.Second))).To(Equal(int64(2)))
	})

	It("refills at the new rate immediately", func() {
		// Guards against the old rate staying in effect while there is a surplus.
		b := full()
		b.ResizeKeepingSurplus(now, 2, 1, now.Add(3*time.Second))
		b.Take(now, 10)
		Expect(b.Available(now.Add(2 * time.Second))).To(Equal(int64(2)))
	})
})
