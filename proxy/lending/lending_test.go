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

// fleet is a set of parts over one store, with calls that run in the process.
type fleet struct {
	clock    *timer.Manual
	snapshot *declaration.Snapshot
	parts    map[string]*Part

	mu      sync.Mutex
	live    []routing.VM
	entry   platform.Entry
	pending *platform.Entry
	// down fails each call, lose drops the answers of writes, delay makes writes
	// take effect only when land is called.
	down, lose, delay bool
	// slow moves the time while a loan is on its way.
	slow time.Duration
}

func newFleet(rate float64, burst int64, names ...string) *fleet {
	f := &fleet{
		clock: timer.NewManual(timer.ManualConfig{}),
		parts: map[string]*Part{},
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

func (f *fleet) start(name string) *Part {
	GinkgoHelper()
	part, err := New(Config{
		Configuration: f,
		Dial:          f.dial,
		Directory:     &directory{fleet: f, self: name},
		Logger:        logr.Discard(),
		Metrics:       metrics.NewRegistry(),
		Random:        func() float64 { return 0.5 },
		Store:         f,
		Timer:         f.clock,
	})
	Expect(err).NotTo(HaveOccurred())
	if _, again := f.parts[name]; !again {
		f.live = append(f.live, routing.VM{Name: name})
	}
	f.parts[name] = part
	return part
}

// settle runs cycles of all VMs until the record is shared evenly.
func (f *fleet) settle() {
	GinkgoHelper()
	for range 4 {
		for _, v := range f.live {
			Expect(f.parts[v.Name].cycle(context.Background())).To(Succeed())
		}
	}
}

func (f *fleet) Current() *declaration.Snapshot { return f.snapshot }

func (f *fleet) Subscribe() (<-chan struct{}, func()) {
	return make(chan struct{}), func() {}
}

func (f *fleet) Get(context.Context, string) (platform.Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return platform.Entry{}, errors.New("down")
	}
	return f.entry, nil
}

func (f *fleet) CompareAndSwap(_ context.Context, key string, value []byte, expected uint64) (platform.Entry, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return platform.Entry{}, false, errors.New("down")
	}
	written := platform.Entry{Key: key, Value: value, Revision: expected + 1, Found: true}
	if f.delay {
		f.pending = &written
		return platform.Entry{}, false, errors.New("no answer")
	}
	swapped := expected == f.entry.Revision
	if swapped {
		f.entry = written
	}
	if f.lose {
		return platform.Entry{}, false, errors.New("no answer")
	}
	return f.entry, swapped, nil
}

func (f *fleet) ListVMs(context.Context) ([]platform.VM, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, errors.New("down")
	}
	var vms []platform.VM
	for _, v := range f.live {
		vms = append(vms, platform.VM{Name: v.Name})
	}
	return vms, nil
}

func (f *fleet) dial(address netip.AddrPort) peerv1connect.PeerServiceClient {
	return &lender{fleet: f, part: f.parts[f.live[address.Port()].Name]}
}

func (f *fleet) millionths(vm string) int64 {
	GinkgoHelper()
	record, err := limits.DecodeShareRecord(f.entry.Value)
	Expect(err).NotTo(HaveOccurred())
	return record.Share("w", vm).Millionths
}

// drain admits at one VM until a request is refused, and returns the count.
func (f *fleet) drain(vm string, bound int) int {
	GinkgoHelper()
	for count := range bound {
		err := f.admit(vm)
		if err != nil {
			refused, ok := refusal.As(err)
			Expect(ok).To(BeTrue())
			Expect(refused.Outcome).To(Equal(refusal.NotRun))
			Expect(refused.RetryAfter).To(BeNumerically(">", 0))
			return count
		}
	}
	return bound
}

// admit moves the time on in small steps while a request waits.
func (f *fleet) admit(vm string) error {
	GinkgoHelper()
	result := make(chan error, 1)
	go func() { result <- f.parts[vm].Admit(context.Background(), "w") }()
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

type directory struct {
	fleet *fleet
	self  string
}

func (d *directory) Address(vm string) (netip.AddrPort, bool) {
	for i, v := range d.fleet.live {
		if v.Name == vm {
			return netip.AddrPortFrom(netip.IPv6Loopback(), uint16(i)), true
		}
	}
	return netip.AddrPort{}, false
}

func (d *directory) Live() []routing.VM { return d.fleet.live }
func (d *directory) Self() routing.VM   { return routing.VM{Name: d.self} }

type lender struct {
	peerv1connect.PeerServiceClient
	fleet *fleet
	part  *Part
}

func (l *lender) Borrow(ctx context.Context, request *peerv1.BorrowRequest) (*peerv1.BorrowResponse, error) {
	response, err := l.part.Borrow(ctx, request)
	l.fleet.clock.Advance(l.fleet.slow)
	return response, err
}

var _ = Describe("Part", func() {
	It("shares a new subject evenly, with empty buckets", func() {
		f := newFleet(10, 41, "a", "b", "c", "d")
		Expect(f.admit("a")).To(MatchError(ContainSubstring("notReady")))
		f.settle()
		for _, v := range f.live {
			Expect(f.millionths(v.Name)).To(Equal(int64(250_000)))
			granted, _, next := f.parts[v.Name].Lend("w", 1)
			Expect(granted).To(BeZero())
			Expect(next).To(Equal(400 * time.Millisecond))
		}
	})

	It("admits the whole limit at one VM, and not more", func() {
		// Guards against refusals within the rate when the balancer is uneven,
		// and against loans that exceed the bound.
		f := newFleet(10, 41, "a", "b", "c", "d")
		f.settle()
		f.clock.Advance(time.Minute)
		begin := f.clock.Now()
		admitted := f.drain("a", 200)
		elapsed := f.clock.Now().Sub(begin).Seconds()
		Expect(admitted).To(BeNumerically(">=", 38))
		Expect(float64(admitted)).To(BeNumerically("<=", math.Floor(41+10*elapsed)))
	})

	It("counts a refusal as wrongful only while the VM admits less than its share", func() {
		f := newFleet(1, 41, "a", "b")
		f.settle()
		wrongful := f.parts["a"].counts.wrongful
		Expect(f.admit("a")).To(HaveOccurred())
		Expect(wrongful.Count()).To(Equal(int64(1)))
		f.clock.Advance(time.Minute)
		f.drain("a", 200)
		Expect(wrongful.Count()).To(Equal(int64(1)))
	})

	It("discards loans that arrive late", func() {
		f := newFleet(10, 41, "a", "b")
		f.settle()
		f.clock.Advance(time.Minute)
		f.slow = limits.LoanTimeout + time.Millisecond
		f.drain("a", 200)
		Expect(f.parts["a"].counts.borrowed.Count()).To(BeZero())
		Expect(f.parts["a"].counts.discarded.Count()).To(BeNumerically(">", 0))
	})

	DescribeTable("stays within the bound when a write is not answered",
		// Guards against a part that is used by the old and the new holder.
		func(prepare func(f *fleet), after func(f *fleet), want int64) {
			f := newFleet(10, 41, "a")
			f.settle()
			f.clock.Advance(time.Minute)
			f.start("b")
			prepare(f)
			Expect(f.parts["a"].cycle(context.Background())).To(Succeed())
			f.lose, f.delay = false, false
			after(f)
			Expect(f.parts["a"].subjects["w"].share.Millionths()).To(Equal(want))
		},
		Entry("lost after it took effect",
			func(f *fleet) { f.lose = true }, func(*fleet) {}, int64(500_000)),
		Entry("still on its way",
			func(f *fleet) { f.delay = true }, func(*fleet) {}, int64(500_000)),
		Entry("landed late, after a restart",
			func(f *fleet) { f.delay = true },
			func(f *fleet) {
				p := f.start("a")
				Expect(p.read(context.Background())).To(Succeed())
			}, int64(0)),
		Entry("overtaken by the restarted process",
			func(f *fleet) { f.delay = true },
			func(f *fleet) {
				f.start("a")
				f.live = f.live[:1]
				f.settle()
				Expect(f.entry.Revision).To(BeNumerically(">=", f.pending.Revision))
			}, int64(limits.TotalMillionths)),
	)

	It("releases its parts when it leaves, and admits on loans only", func() {
		f := newFleet(10, 41, "a", "b")
		f.settle()
		f.clock.Advance(time.Minute)
		Expect(f.parts["a"].Release(context.Background())).To(Succeed())
		Expect(f.millionths("a")).To(BeZero())
		Expect(f.millionths("b")).To(Equal(int64(limits.TotalMillionths)))
		Expect(f.parts["a"].Lend("w", 1)).To(BeZero())
		Expect(f.parts["b"].cycle(context.Background())).To(Succeed())
		Expect(f.admit("a")).To(Succeed())
	})

	It("moves the part of a VM that the list no longer names, after a while", func() {
		f := newFleet(10, 41, "a", "b", "c")
		f.settle()
		lost := f.live[0].Name
		if f.parts[lost].manages() {
			lost = f.live[1].Name
		}
		var kept []routing.VM
		for _, v := range f.live {
			if v.Name != lost {
				kept = append(kept, v)
			}
		}
		f.live = kept
		f.settle()
		Expect(f.millionths(lost)).To(BeNumerically(">", 0))
		for range 6 {
			f.clock.Advance(2 * time.Second)
			f.settle()
		}
		Expect(f.millionths(lost)).To(BeZero())
		Expect(f.millionths(kept[0].Name)).To(Equal(int64(500_000)))
	})

	It("reads the record and changes it by itself until its context ends", func() {
		f := newFleet(10, 41, "a")
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- f.parts["a"].Run(ctx) }()
		Eventually(func() uint64 { return f.parts["a"].Dump().(Dump).Revision }).Should(Equal(uint64(1)))
		cancel()
		Eventually(done).Should(Receive(BeNil()))
	})

	It("goes on while the store is down", func() {
		f := newFleet(10, 41, "a", "b")
		f.settle()
		f.clock.Advance(time.Minute)
		f.down = true
		Expect(f.parts["a"].cycle(context.Background())).NotTo(Succeed())
		Expect(f.drain("a", 30)).To(Equal(30))
	})
})
