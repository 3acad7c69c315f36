package lending

import (
	"context"
	"errors"
	"math"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	peerv1 "amaranthdock.dev/api/amaranthdock/peer/v1"
	"amaranthdock.dev/api/amaranthdock/peer/v1/peerv1connect"
	"amaranthdock.dev/decision/limits"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/declaration"
	"amaranthdock.dev/proxy/platform"
	"amaranthdock.dev/timer"
)

func TestLending(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "lending")
}

// fakeFleet is a set of limiters that share one fake store and call each other
// directly. It is also their configuration and their store.
type fakeFleet struct {
	clock    *timer.Manual
	snapshot *declaration.Snapshot
	limiters map[string]*Limiter

	mu           sync.Mutex
	live         []routing.VM
	entry        platform.Entry
	delayedWrite *platform.Entry
	// storeDown makes each call to the store fail. loseResponses makes writes take
	// effect but return an error. delayWrites makes writes return an error and only
	// keeps the last one in delayedWrite.
	storeDown, loseResponses, delayWrites bool
	// loanDelay is how long the response of a loan request takes.
	loanDelay time.Duration
}

func newFleet(rate float64, burst int64, names ...string) *fakeFleet {
	f := &fakeFleet{
		clock:    timer.NewManual(timer.ManualConfig{}),
		limiters: map[string]*Limiter{},
		snapshot: declaration.NewSnapshot(&declaration.Document{
			Version:    1,
			Workspaces: []declaration.Workspace{{Name: "w", Rate: rate, Burst: burst, Worth: 1}},
		}),
	}
	for _, n := range names {
		f.start(n)
	}
	return f
}

func (f *fakeFleet) start(name string) *Limiter {
	GinkgoHelper()
	limiter, err := New(Config{
		Configuration: f,
		Dial:          f.dial,
		Directory:     &fakeDirectory{fleet: f, self: name},
		Logger:        logr.Discard(),
		Metrics:       metrics.NewRegistry(),
		Random:        func() float64 { return 0.5 },
		Store:         f,
		Timer:         f.clock,
	})
	Expect(err).NotTo(HaveOccurred())
	if _, restarted := f.limiters[name]; !restarted {
		f.live = append(f.live, routing.VM{Name: name})
	}
	f.limiters[name] = limiter
	return limiter
}

// reconcileAll reconciles all live VMs often enough for even shares.
func (f *fakeFleet) reconcileAll() {
	GinkgoHelper()
	for range 4 {
		for _, v := range f.live {
			Expect(f.limiters[v.Name].reconcile(context.Background())).To(Succeed())
		}
	}
}

func (f *fakeFleet) Current() *declaration.Snapshot { return f.snapshot }

func (f *fakeFleet) Subscribe() (<-chan struct{}, func()) {
	return make(chan struct{}), func() {}
}

func (f *fakeFleet) Get(context.Context, string) (platform.Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.storeDown {
		return platform.Entry{}, errors.New("store unreachable")
	}
	return f.entry, nil
}

func (f *fakeFleet) CompareAndSwap(_ context.Context, key string, value []byte, expected uint64) (platform.Entry, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.storeDown {
		return platform.Entry{}, false, errors.New("store unreachable")
	}
	written := platform.Entry{Key: key, Value: value, Revision: expected + 1, Found: true}
	if f.delayWrites {
		f.delayedWrite = &written
		return platform.Entry{}, false, errors.New("no response")
	}
	swapped := expected == f.entry.Revision
	if swapped {
		f.entry = written
	}
	if f.loseResponses {
		return platform.Entry{}, false, errors.New("no response")
	}
	return f.entry, swapped, nil
}

func (f *fakeFleet) ListVMs(context.Context) ([]platform.VM, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.storeDown {
		return nil, errors.New("store unreachable")
	}
	var vms []platform.VM
	for _, v := range f.live {
		vms = append(vms, platform.VM{Name: v.Name})
	}
	return vms, nil
}

func (f *fakeFleet) dial(address netip.AddrPort) peerv1connect.PeerServiceClient {
	return &fakePeerClient{fleet: f, limiter: f.limiters[f.live[address.Port()].Name]}
}

func (f *fakeFleet) millionths(vm string) int64 {
	GinkgoHelper()
	record, err := limits.DecodeShareRecord(f.entry.Value)
	Expect(err).NotTo(HaveOccurred())
	return record.Share("w", vm).Millionths
}

// admitUntilRefused sends requests to one VM until one is refused or the limit is
// reached, and returns how many were admitted.
func (f *fakeFleet) admitUntilRefused(vm string, limit int) int {
	GinkgoHelper()
	for count := range limit {
		err := f.admit(vm)
		if err != nil {
			refused, ok := refusal.As(err)
			Expect(ok).To(BeTrue())
			Expect(refused.Outcome).To(Equal(refusal.NotRun))
			Expect(refused.RetryAfter).To(BeNumerically(">", 0))
			return count
		}
	}
	return limit
}

// admit sends one request to a VM and advances the clock in small steps while the
// request waits.
func (f *fakeFleet) admit(vm string) error {
	GinkgoHelper()
	result := make(chan error, 1)
	go func() { result <- f.limiters[vm].Admit(context.Background(), "w") }()
	var err error
	Eventually(func() bool {
		select {
		case err = <-result:
			return true
		default:
			if f.clock.Subscribers() > 1 {
				f.clock.Advance(time.Millisecond)
			}
			return false
		}
	}).WithPolling(100 * time.Microsecond).WithTimeout(20 * time.Second).Should(BeTrue())
	return err
}

type fakeDirectory struct {
	fleet *fakeFleet
	self  string
}

func (d *fakeDirectory) Address(vm string) (netip.AddrPort, bool) {
	for i, v := range d.fleet.live {
		if v.Name == vm {
			return netip.AddrPortFrom(netip.IPv6Loopback(), uint16(i)), true
		}
	}
	return netip.AddrPort{}, false
}

func (d *fakeDirectory) Live() []routing.VM { return d.fleet.live }
func (d *fakeDirectory) Self() routing.VM   { return routing.VM{Name: d.self} }

type fakePeerClient struct {
	peerv1connect.PeerServiceClient
	fleet   *fakeFleet
	limiter *Limiter
}

func (c *fakePeerClient) Borrow(ctx context.Context, request *peerv1.BorrowRequest) (*peerv1.BorrowResponse, error) {
	response, err := c.limiter.Borrow(ctx, request)
	c.fleet.clock.Advance(c.fleet.loanDelay)
	return response, err
}

var _ = Describe("Limiter", func() {
	It("assigns even shares of a new subject, with empty buckets", func() {
		// Guards against VMs that admit a burst as soon as they get a share.
		f := newFleet(10, 41, "a", "b", "c", "d")
		Expect(f.admit("a")).To(MatchError(ContainSubstring("notReady")))
		f.reconcileAll()
		for _, v := range f.live {
			Expect(f.millionths(v.Name)).To(Equal(int64(250_000)))
			granted, _, next := f.limiters[v.Name].Lend("w", 1)
			Expect(granted).To(BeZero())
			Expect(next).To(Equal(400 * time.Millisecond))
		}
	})

	It("admits the whole limit at one VM, and not more", func() {
		// Guards against refusals within the rate limit if the load balancer
		// distributes requests unevenly, and against loans that exceed the limit.
		f := newFleet(10, 41, "a", "b", "c", "d")
		f.reconcileAll()
		f.clock.Advance(time.Minute)
		start := f.clock.Now()
		admitted := f.admitUntilRefused("a", 200)
		elapsed := f.clock.Now().Sub(start).Seconds()
		Expect(admitted).To(BeNumerically(">=", 38))
		Expect(float64(admitted)).To(BeNumerically("<=", math.Floor(41+10*elapsed)))
	})

	It("counts a refusal as wrongful only while the VM admits less than its fair rate", func() {
		// Guards against counting refusals above the limit as wrongful.
		f := newFleet(1, 41, "a", "b")
		f.reconcileAll()
		wrongfulRefusals := f.limiters["a"].counters.wrongful
		Expect(f.admit("a")).To(HaveOccurred())
		Expect(wrongfulRefusals.Count()).To(Equal(int64(1)))
		f.clock.Advance(time.Minute)
		f.admitUntilRefused("a", 200)
		Expect(wrongfulRefusals.Count()).To(Equal(int64(1)))
	})

	It("discards loans that arrive late", func() {
		// Guards against exceeding the limit with late loans.
		f := newFleet(10, 41, "a", "b")
		f.reconcileAll()
		f.clock.Advance(time.Minute)
		f.loanDelay = limits.LoanTimeout + time.Millisecond
		f.admitUntilRefused("a", 200)
		Expect(f.limiters["a"].counters.borrowed.Count()).To(BeZero())
		Expect(f.limiters["a"].counters.discarded.Count()).To(BeNumerically(">", 0))
	})

	DescribeTable("stays within the limit when a write of the record gets no response",
		// Guards against a share that the old and the new holder use at the same time.
		func(prepare func(f *fakeFleet), after func(f *fakeFleet), want int64) {
			f := newFleet(10, 41, "a")
			f.reconcileAll()
			f.clock.Advance(time.Minute)
			f.start("b")
			prepare(f)
			Expect(f.limiters["a"].reconcile(context.Background())).To(Succeed())
			f.loseResponses, f.delayWrites = false, false
			after(f)
			Expect(f.limiters["a"].subjects["w"].share.Millionths()).To(Equal(want))
		},
		Entry("response lost after the write took effect",
			func(f *fakeFleet) { f.loseResponses = true }, func(*fakeFleet) {}, int64(500_000)),
		Entry("write still in flight",
			func(f *fakeFleet) { f.delayWrites = true }, func(*fakeFleet) {}, int64(500_000)),
		Entry("write still in flight, process restarted",
			func(f *fakeFleet) { f.delayWrites = true },
			func(f *fakeFleet) {
				limiter := f.start("a")
				Expect(limiter.readRecord(context.Background())).To(Succeed())
			}, int64(0)),
		Entry("write superseded by one of the restarted process",
			func(f *fakeFleet) { f.delayWrites = true },
			func(f *fakeFleet) {
				f.start("a")
				f.live = f.live[:1]
				f.reconcileAll()
				Expect(f.entry.Revision).To(BeNumerically(">=", f.delayedWrite.Revision))
			}, int64(limits.TotalMillionths)),
	)

	It("releases its shares when it leaves, and then admits with borrowed tokens only", func() {
		// Guards against a part of the limit that is lost when a VM leaves.
		f := newFleet(10, 41, "a", "b")
		f.reconcileAll()
		f.clock.Advance(time.Minute)
		Expect(f.limiters["a"].Release(context.Background())).To(Succeed())
		Expect(f.millionths("a")).To(BeZero())
		Expect(f.millionths("b")).To(Equal(int64(limits.TotalMillionths)))
		Expect(f.limiters["a"].Lend("w", 1)).To(BeZero())
		Expect(f.limiters["b"].reconcile(context.Background())).To(Succeed())
		Expect(f.admit("a")).To(Succeed())
	})

	It("moves the share of a VM once it has been absent from the VM list for a while", func() {
		// Guards against a share that is lost with its holder, and against one that is
		// moved while its holder may still use it.
		f := newFleet(10, 41, "a", "b", "c")
		f.reconcileAll()
		removed := f.live[0].Name
		if f.limiters[removed].isManager() {
			removed = f.live[1].Name
		}
		var kept []routing.VM
		for _, v := range f.live {
			if v.Name != removed {
				kept = append(kept, v)
			}
		}
		f.live = kept
		f.reconcileAll()
		Expect(f.millionths(removed)).To(BeNumerically(">", 0))
		for range 6 {
			f.clock.Advance(2 * time.Second)
			f.reconcileAll()
		}
		Expect(f.millionths(removed)).To(BeZero())
		Expect(f.millionths(kept[0].Name)).To(Equal(int64(500_000)))
	})

	It("reads and writes the record in Run until the context ends", func() {
		f := newFleet(10, 41, "a")
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- f.limiters["a"].Run(ctx) }()
		Eventually(func() uint64 { return f.limiters["a"].Dump().(Dump).Revision }).Should(Equal(uint64(1)))
		cancel()
		Eventually(done).Should(Receive(BeNil()))
	})

	It("keeps admitting requests while the store is down", func() {
		f := newFleet(10, 41, "a", "b")
		f.reconcileAll()
		f.clock.Advance(time.Minute)
		f.storeDown = true
		Expect(f.limiters["a"].reconcile(context.Background())).NotTo(Succeed())
		Expect(f.admitUntilRefused("a", 30)).To(Equal(30))
	})
})
