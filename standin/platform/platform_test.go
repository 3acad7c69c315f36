package platform_test

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/types/known/durationpb"

	platformv1 "amaranthdock.dev/api/amaranthdock/platform/v1"
	"amaranthdock.dev/api/amaranthdock/platform/v1/platformv1connect"
	"amaranthdock.dev/standin/platform"
	"amaranthdock.dev/timer"
)

func TestPlatform(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "standin/platform")
}

var _ = Describe("Platform", func() {
	var (
		clock  *timer.Manual
		server *platform.Platform
		client platformv1connect.PlatformServiceClient
	)

	BeforeEach(func() {
		clock = timer.NewManual(timer.ManualConfig{})
		var err error
		server, err = platform.New(platform.Config{
			Listen:  netip.MustParseAddrPort("127.0.0.1:0"),
			Timer:   clock,
			Logger:  logr.Discard(),
			ListLag: 2 * time.Second,
		})
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- server.Run(ctx) }()
		DeferCleanup(func() {
			cancel()
			Expect(<-done).To(Succeed())
		})
		protocols := &http.Protocols{}
		protocols.SetUnencryptedHTTP2(true)
		client = platformv1connect.NewPlatformServiceClient(
			&http.Client{Transport: &http.Transport{Protocols: protocols}},
			"http://"+server.Address().String())
	})

	admin := func(path, body string) string {
		GinkgoHelper()
		url := "http://" + server.Address().String() + path
		var response *http.Response
		var err error
		if body == "" {
			response, err = http.Get(url)
		} else {
			response, err = http.Post(url, "application/json", strings.NewReader(body))
		}
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		content, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK), string(content))
		return string(content)
	}

	compareAndSwap := func(key, value string, expected, lease uint64) (*platformv1.CompareAndSwapResponse, error) {
		return client.CompareAndSwap(context.Background(), &platformv1.CompareAndSwapRequest{
			Key:              key,
			Value:            []byte(value),
			ExpectedRevision: expected,
			Lease:            lease,
		})
	}

	// expectValue checks the value of a key; an empty value means that the key must not
	// exist. It guards against a store that keeps a value too long, loses it or returns
	// a wrong one.
	expectValue := func(key, value string) {
		GinkgoHelper()
		response, err := client.Get(context.Background(), &platformv1.GetRequest{Key: key})
		Expect(err).NotTo(HaveOccurred())
		Expect(response.GetFound()).To(Equal(value != ""))
		Expect(string(response.GetEntry().GetValue())).To(Equal(value))
	}

	It("swaps only at the expected revision", func() {
		first, err := compareAndSwap("k", "one", 0, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(first.GetSwapped()).To(BeTrue())
		second, err := compareAndSwap("k", "two", 0, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(second.GetSwapped()).To(BeFalse())
		Expect(string(second.GetEntry().GetValue())).To(Equal("one"))
		Expect(second.GetEntry().GetRevision()).To(Equal(first.GetEntry().GetRevision()))
	})

	It("ends a watch when the lease of its key expires", func() {
		grant, err := client.GrantLease(context.Background(), &platformv1.GrantLeaseRequest{Duration: durationpb.New(time.Second)})
		Expect(err).NotTo(HaveOccurred())
		entry, err := compareAndSwap("k", "one", 0, grant.GetLease())
		Expect(err).NotTo(HaveOccurred())
		subscribers := clock.Subscribers()
		changed := make(chan bool, 1)
		go func() {
			response, err := client.Watch(context.Background(), &platformv1.WatchRequest{
				Key:           "k",
				AfterRevision: entry.GetEntry().GetRevision(),
				Wait:          durationpb.New(time.Minute),
			})
			changed <- err == nil && response.GetChanged() && len(response.GetEntry().GetValue()) == 0
		}()
		Eventually(clock.Subscribers).Should(Equal(subscribers + 1))
		clock.Advance(500 * time.Millisecond)
		renewed, err := client.RenewLease(context.Background(), &platformv1.RenewLeaseRequest{Lease: grant.GetLease()})
		Expect(err).NotTo(HaveOccurred())
		Expect(renewed.GetAlive()).To(BeTrue())
		clock.Advance(500 * time.Millisecond)
		expectValue("k", "one")
		clock.Advance(500 * time.Millisecond)
		Eventually(changed).Should(Receive(BeTrue()))
		expectValue("k", "")
	})

	DescribeTable("injects the configured faults",
		// Guards against a fault that is accepted but not injected, so that a fault
		// test would pass without it.
		func(faults string, verify func()) {
			_, err := compareAndSwap("k", "one", 0, 0)
			Expect(err).NotTo(HaveOccurred())
			_, err = compareAndSwap("k", "two", 1, 0)
			Expect(err).NotTo(HaveOccurred())
			admin(platform.FaultsPath, faults)
			verify()
		},
		Entry("outage", `{"outage":"fail"}`, func() {
			_, err := compareAndSwap("k", "three", 2, 0)
			Expect(connect.CodeOf(err)).To(Equal(connect.CodeUnavailable))
			admin(platform.FaultsPath, `{"outage":"off"}`)
			expectValue("k", "two")
		}),
		Entry("hanging outage", `{"outage":"hang"}`, func() {
			done := make(chan error, 1)
			go func() {
				_, err := compareAndSwap("k", "three", 2, 0)
				done <- err
			}()
			Consistently(done, 50*time.Millisecond).ShouldNot(Receive())
			admin(platform.FaultsPath, `{"outage":"off"}`)
			Eventually(done).Should(Receive(BeNil()))
		}),
		Entry("lost response", `{"loseAnswers":1}`, func() {
			_, err := compareAndSwap("k", "three", 2, 0)
			Expect(connect.CodeOf(err)).To(Equal(connect.CodeUnavailable))
			expectValue("k", "three")
			_, err = compareAndSwap("k", "four", 3, 0)
			Expect(err).NotTo(HaveOccurred())
		}),
		Entry("stale read", `{"staleReads":1}`, func() {
			expectValue("k", "one")
			expectValue("k", "two")
		}),
		Entry("value limit", `{"maxValueSize":3}`, func() {
			_, err := compareAndSwap("k", "three", 2, 0)
			Expect(connect.CodeOf(err)).To(Equal(connect.CodeResourceExhausted))
		}),
		Entry("delayed response", `{"delay":"1s"}`, func() {
			subscribers := clock.Subscribers()
			done := make(chan error, 1)
			go func() {
				_, err := compareAndSwap("k", "three", 2, 0)
				done <- err
			}()
			Eventually(clock.Subscribers).Should(Equal(subscribers + 1))
			Expect(done).NotTo(Receive())
			clock.Advance(time.Second)
			Eventually(done).Should(Receive(BeNil()))
		}),
	)

	It("makes a change of the VM list visible after the lag", func() {
		admin(platform.VMsPath, `{"vms":[{"name":"vm-1","dataCentre":"s1","peerAddress":"127.0.0.1:1","leaving":true}]}`)
		list, err := client.ListVms(context.Background(), &platformv1.ListVmsRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(list.GetVms()).To(BeEmpty())
		clock.Advance(2 * time.Second)
		list, err = client.ListVms(context.Background(), &platformv1.ListVmsRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(list.GetVms()).To(HaveLen(1))
		Expect(list.GetVms()[0].GetState()).To(Equal(platformv1.VmState_VM_STATE_LEAVING))
		Expect(admin(platform.CountersPath, "")).To(MatchJSON(`{"listVms":2}`))
	})
})
