package platform

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	platformv1 "amaranthdock.dev/api/amaranthdock/platform/v1"
	"amaranthdock.dev/api/amaranthdock/platform/v1/platformv1connect"
	"amaranthdock.dev/timer"
)

func TestPlatform(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "platform")
}

// fakeService returns the responses that a test sets. If hang is set, it does not
// respond before the context ends.
type fakeService struct {
	platformv1connect.PlatformServiceClient
	err           error
	hang          bool
	entry         *platformv1.Entry
	listResponses []*platformv1.ListVmsResponse
	watchWait     time.Duration
}

func (s *fakeService) respond(ctx context.Context) error {
	if s.hang {
		<-ctx.Done()
		return connect.NewError(connect.CodeDeadlineExceeded, context.Cause(ctx))
	}
	return s.err
}

func (s *fakeService) CompareAndSwap(ctx context.Context, _ *platformv1.CompareAndSwapRequest) (*platformv1.CompareAndSwapResponse, error) {
	return &platformv1.CompareAndSwapResponse{Swapped: true, Entry: s.entry}, s.respond(ctx)
}

func (s *fakeService) Get(ctx context.Context, _ *platformv1.GetRequest) (*platformv1.GetResponse, error) {
	return &platformv1.GetResponse{Found: s.entry != nil, Entry: s.entry}, s.respond(ctx)
}

func (s *fakeService) ListVms(ctx context.Context, _ *platformv1.ListVmsRequest) (*platformv1.ListVmsResponse, error) {
	list := s.listResponses[0]
	s.listResponses = s.listResponses[1:]
	return list, s.respond(ctx)
}

func (s *fakeService) Watch(ctx context.Context, request *platformv1.WatchRequest) (*platformv1.WatchResponse, error) {
	s.watchWait = request.GetWait().AsDuration()
	return &platformv1.WatchResponse{Changed: s.entry != nil, Entry: s.entry}, s.respond(ctx)
}

var _ = ginkgo.Describe("Client", func() {
	var (
		clock    *timer.Manual
		service  *fakeService
		registry metrics.Registry
		client   *Client
		ctx      = context.Background()
	)

	ginkgo.BeforeEach(func() {
		clock = timer.NewManual(timer.ManualConfig{})
		service = &fakeService{}
		registry = metrics.NewRegistry()
		var err error
		client, err = New(Config{
			Service: service,
			Timer:   clock,
			Logger:  logr.Discard(),
			Metrics: registry,
			Random:  rand.New(rand.NewPCG(1, 1)),
		})
		Expect(err).NotTo(HaveOccurred())
	})

	// expectTimeout makes a call to a service that does not respond. It checks that
	// the call ends after exactly the timeout, and returns the call's error. It guards
	// against calls that hang for longer than their timeout.
	expectTimeout := func(timeout time.Duration, call func() error) error {
		ginkgo.GinkgoHelper()
		service.hang = true
		done := make(chan error, 1)
		go func() { done <- call() }()
		Eventually(clock.Subscribers).Should(Equal(1))
		clock.Advance(timeout - 1)
		Consistently(done, "20ms").ShouldNot(Receive())
		clock.Advance(1)
		var err error
		Eventually(done).Should(Receive(&err))
		return err
	}

	ginkgo.It("reads and writes entries", func() {
		entry, err := client.Get(ctx, "k")
		Expect(err).NotTo(HaveOccurred())
		Expect(entry).To(Equal(Entry{Key: "k"}))
		service.entry = &platformv1.Entry{Key: "k", Value: []byte("v"), Revision: 4}
		expected := Entry{Key: "k", Value: []byte("v"), Revision: 4, Found: true}
		Expect(client.Get(ctx, "k")).To(Equal(expected))
		entry, swapped, err := client.CompareAndSwap(ctx, "k", []byte("v"), 3)
		Expect([]any{entry, swapped, err}).To(Equal([]any{expected, true, nil}))
		entry, changed, err := client.Watch(ctx, "k", 3, 2*time.Second)
		Expect([]any{entry, changed, err}).To(Equal([]any{expected, true, nil}))
		Expect(service.watchWait).To(Equal(2 * time.Second))
		Expect(metrics.GetOrRegisterCounter("platform.get.calls", registry).Count()).To(BeEquivalentTo(2))
	})

	ginkgo.It("ends calls after their timeouts", func() {
		err := expectTimeout(DefaultCallTimeout, func() error {
			_, err := client.Get(ctx, "k")
			return err
		})
		Expect(connect.CodeOf(err)).To(Equal(connect.CodeDeadlineExceeded))
	})

	ginkgo.It("adds the wait time of a watch to its timeout", func() {
		// Guards against watches that time out before their wait time has passed.
		err := expectTimeout(2*time.Second+DefaultCallTimeout, func() error {
			_, _, err := client.Watch(ctx, "k", 3, 2*time.Second)
			return err
		})
		Expect(err).To(HaveOccurred())
	})

	ginkgo.It("reports an unknown outcome for a write without a response", func() {
		err := expectTimeout(DefaultCallTimeout, func() error {
			_, _, err := client.CompareAndSwap(ctx, "k", nil, 3)
			return err
		})
		var unknown *OutcomeUnknownError
		Expect(errors.As(err, &unknown)).To(BeTrue())
		Expect(unknown.Key).To(Equal("k"))
	})

	ginkgo.It("waits longer after each failure", func() {
		// Guards against calls that add load to a failing service, and against a delay
		// that stays after a success.
		service.err = connect.NewError(connect.CodeUnavailable, errors.New("unavailable"))
		last := time.Duration(0)
		for range 3 {
			_, err := client.Get(ctx, "k")
			Expect(err).To(HaveOccurred())
			wait := client.backoff.delay(clock.Now())
			Expect(wait).To(And(BeNumerically(">", last), BeNumerically("<=", maxBackoff*5/4)))
			last = wait
			clock.Advance(wait)
		}
		service.err = nil
		Expect(client.Get(ctx, "k")).To(Equal(Entry{Key: "k"}))
		Expect(client.backoff.delay(clock.Now())).To(BeZero())
	})

	ginkgo.It("rejects VM lists that are older than the last one or contain an invalid address", func() {
		// Guards against a list that reverts, and against VMs with an invalid address.
		vms := []*platformv1.Vm{{Name: "a", DataCentre: "p", PeerAddress: "10.0.0.1:7", State: platformv1.VmState_VM_STATE_LEAVING}}
		service.listResponses = []*platformv1.ListVmsResponse{
			{Revision: 2, Vms: vms},
			{Revision: 1},
			{Revision: 3, Vms: []*platformv1.Vm{vms[0], {Name: "b", PeerAddress: "nowhere"}}},
		}
		list, err := client.ListVMs(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(list).To(HaveLen(1))
		Expect(list[0].Leaving).To(BeTrue())
		_, err = client.ListVMs(ctx)
		Expect(err).To(MatchError(ErrStaleList))
		_, err = client.ListVMs(ctx)
		Expect(err).To(HaveOccurred())
	})
})
