package operator_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
	operatorv1 "amaranthdock.dev/api/amaranthdock/operator/v1"
	peerv1 "amaranthdock.dev/api/amaranthdock/peer/v1"
	"amaranthdock.dev/api/amaranthdock/peer/v1/peerv1connect"
	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/declaration"
	"amaranthdock.dev/proxy/operator"
	"amaranthdock.dev/proxy/platform"
	"amaranthdock.dev/timer"
)

func TestOperator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "proxy/operator")
}

var errNoResponse = errors.New("no response")

// fakeStore holds one key and injects faults. The counters loseResponses, dropCalls
// and staleReads say how many calls are affected; a lost response is one of a write
// that took effect. A store that is down fails all calls.
type fakeStore struct {
	mu            sync.Mutex
	entry         platform.Entry
	previous      platform.Entry
	loseResponses int
	dropCalls     int
	staleReads    int
	down          bool
}

func (s *fakeStore) Get(context.Context, string) (platform.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return platform.Entry{}, errNoResponse
	}
	if s.staleReads > 0 {
		s.staleReads--
		return s.previous, nil
	}
	return s.entry, nil
}

func (s *fakeStore) CompareAndSwap(_ context.Context, _ string, value []byte, expected uint64) (platform.Entry, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return platform.Entry{}, false, errNoResponse
	}
	if s.dropCalls > 0 {
		s.dropCalls--
		return platform.Entry{}, false, errNoResponse
	}
	if s.entry.Revision != expected {
		return s.entry, false, nil
	}
	s.previous = s.entry
	s.entry = platform.Entry{
		Value:    value,
		Revision: expected + 1,
		Found:    true,
	}
	if s.loseResponses > 0 {
		s.loseResponses--
		return platform.Entry{}, false, errNoResponse
	}
	return s.entry, true, nil
}

// fakeFleet implements Directory, Configuration, Observer and Dumps.
type fakeFleet struct {
	snapshot *declaration.Snapshot
	// noFreshView makes FetchView fail.
	noFreshView bool
	// explainErr is the error of ExplainRoute.
	explainErr error
}

func (f *fakeFleet) Address(vm string) (netip.AddrPort, bool) {
	return netip.MustParseAddrPort("127.0.0.1:1"), vm == "vm-2"
}
func (f *fakeFleet) AuthorityAge() time.Duration       { return time.Second }
func (f *fakeFleet) Authorized() bool                  { return true }
func (f *fakeFleet) Current() *declaration.Snapshot    { return f.snapshot }
func (f *fakeFleet) Incarnation(string) (uint64, bool) { return 7, true }
func (f *fakeFleet) JSON() ([]byte, error)             { return []byte(`{"vm":"vm-1"}`), nil }
func (f *fakeFleet) Self() routing.VM                  { return f.Live()[0] }
func (f *fakeFleet) FetchView(context.Context, string) (v routing.DatabaseView, err error) {
	if f.noFreshView {
		return v, errNoResponse
	}
	v.Term = 4
	return v, nil
}
func (f *fakeFleet) View(string) (v routing.DatabaseView, ok bool) {
	v.Term = 3
	v.Primary = "main-1"
	return v, true
}
func (f *fakeFleet) Live() []routing.VM {
	var live []routing.VM
	for i, dataCentre := range []string{"s1", "s2", "n1"} {
		live = append(live, routing.VM{
			Name:       fmt.Sprintf("vm-%d", i+1),
			DataCentre: dataCentre,
		})
	}
	return live
}

type fakePeer struct {
	peerv1connect.PeerServiceClient
}

func (fakePeer) FetchConfiguration(_ context.Context, r *peerv1.FetchConfigurationRequest) (*peerv1.FetchConfigurationResponse, error) {
	return &peerv1.FetchConfigurationResponse{Version: r.GetNewerThan()}, nil
}

func newHandler(clock *timer.Manual, store *fakeStore, fleet *fakeFleet) *operator.Operator {
	GinkgoHelper()
	handler, err := operator.New(operator.Config{
		Timer:         clock,
		Logger:        logr.Discard(),
		Registry:      metrics.NewRegistry(),
		Store:         store,
		Directory:     fleet,
		Configuration: fleet,
		Observer:      fleet,
		Dumps:         fleet,
		Explainer:     fleet,
		Dial:          func(netip.AddrPort) peerv1connect.PeerServiceClient { return fakePeer{} },
	})
	Expect(err).NotTo(HaveOccurred())
	return handler
}

var _ = Describe("Operator", func() {
	var (
		clock    *timer.Manual
		store    *fakeStore
		fleet    *fakeFleet
		handler  *operator.Operator
		document []byte
	)

	BeforeEach(func() {
		clock = timer.NewManual(timer.ManualConfig{})
		store = &fakeStore{}
		fleet = &fakeFleet{}
		source, err := os.ReadFile("../../declaration/testdata/valid.yaml")
		Expect(err).NotTo(HaveOccurred())
		parsed, err := declaration.Parse("valid.yaml", source)
		Expect(err).NotTo(HaveOccurred())
		document, err = json.Marshal(parsed)
		Expect(err).NotTo(HaveOccurred())
		handler = newHandler(clock, store, fleet)
	})

	// change calls ChangeConfiguration and advances the clock until the call ends.
	change := func(id string, expected uint64) (response *operatorv1.ChangeConfigurationResponse, err error) {
		GinkgoHelper()
		Eventually(clock.Subscribers).Should(BeZero())
		done := make(chan struct{})
		go func() {
			defer close(done)
			response, err = handler.ChangeConfiguration(context.Background(), &operatorv1.ChangeConfigurationRequest{
				Document:        document,
				ExpectedVersion: expected,
				ChangeId:        id,
				Author:          "author of " + id,
				Summary:         "summary of " + id,
			})
		}()
		Eventually(func() chan struct{} {
			// There are two subscribers while the call waits before a retry: its
			// deadline and the retry delay.
			if clock.Subscribers() == 2 {
				clock.Advance(50 * time.Millisecond)
			}
			return done
		}, 10*time.Second, time.Millisecond).Should(BeClosed())
		return response, err
	}

	// expectVersion checks that a change is reported as accepted with a version. It
	// guards against an accepted change that is reported as refused, with another
	// version or wrongly as repeated.
	expectVersion := func(id string, expected, version uint64, repeated bool) {
		GinkgoHelper()
		response, err := change(id, expected)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.GetVersion()).To(Equal(version))
		Expect(response.GetRepeated()).To(Equal(repeated))
	}

	// expectRefusal checks the code, outcome and reason of an error. It guards against a
	// wrong outcome, above all a wrong "not run", which would make callers repeat a
	// change that took effect.
	expectRefusal := func(err error, code connect.Code, outcome callerv1.Outcome, reason string) {
		GinkgoHelper()
		var failure *connect.Error
		Expect(errors.As(err, &failure)).To(BeTrue(), "%v", err)
		Expect(failure.Code()).To(Equal(code))
		Expect(failure.Details()).To(HaveLen(1))
		detail, err := failure.Details()[0].Value()
		Expect(err).NotTo(HaveOccurred())
		Expect(detail.(*callerv1.Refusal).GetOutcome()).To(Equal(outcome))
		Expect(detail.(*callerv1.Refusal).GetReason()).To(Equal(reason))
	}

	DescribeTable("accepts a change exactly once despite faults of the store",
		func(prepare func()) {
			expectVersion("first", 0, 1, false)
			prepare()
			expectVersion("second", 1, 2, false)
			expectVersion("second", 1, 2, true)
			expectVersion("third", 2, 3, false)
			expectVersion("second", 1, 2, true)
		},
		Entry("no fault", func() {}),
		Entry("response lost after the write", func() { store.loseResponses = 1 }),
		Entry("calls lost before the write", func() { store.dropCalls = 2 }),
		Entry("call lost, then response lost", func() { store.dropCalls, store.loseResponses = 1, 1 }),
		Entry("stale reads", func() { store.staleReads = 2 }),
	)

	It("names the accepted change in the refusal of a concurrent one", func() {
		// Guards against a refusal that does not show with which change it conflicts.
		expectVersion("first", 0, 1, false)
		expectVersion("winner", 1, 2, false)
		expectVersion("later", 2, 3, false)
		_, err := change("loser", 1)
		expectRefusal(err, connect.CodeAborted, callerv1.Outcome_OUTCOME_NOT_RUN, "versionConflict")
		Expect(err.Error()).To(ContainSubstring("version 2 is by author of winner: summary of winner (change winner)"))
	})

	It("reports an unknown outcome if the document no longer lists the relevant changes", func() {
		// Guards against reporting a change as not run that may have been accepted
		// earlier.
		for version := range uint64(declaration.MaxChanges + 2) {
			expectVersion(string(rune('A'+version)), version, version+1, false)
		}
		_, err := change("A", 0)
		expectRefusal(err, connect.CodeAborted, callerv1.Outcome_OUTCOME_UNKNOWN, "versionConflict")
	})

	It("reports a wrong expected version as not run", func() {
		expectVersion("first", 0, 1, false)
		_, err := change("second", 5)
		expectRefusal(err, connect.CodeAborted, callerv1.Outcome_OUTCOME_NOT_RUN, "versionConflict")
	})

	It("does not report a conflict if the store returns an older version than this VM has", func() {
		expectVersion("first", 0, 1, false)
		expectVersion("second", 1, 2, false)
		current, err := declaration.Decode(store.entry.Value)
		Expect(err).NotTo(HaveOccurred())
		fleet.snapshot = declaration.NewSnapshot(current)
		store.entry = store.previous
		_, err = change("third", 1)
		expectRefusal(err, connect.CodeUnavailable, callerv1.Outcome_OUTCOME_NOT_RUN, "notReady")
	})

	DescribeTable("fails at the deadline during a store outage",
		func(prepare func(), code connect.Code, outcome callerv1.Outcome, reason string) {
			prepare()
			_, err := change("first", 0)
			expectRefusal(err, code, outcome, reason)
		},
		Entry("before anything was sent", func() { store.down = true },
			connect.CodeUnavailable, callerv1.Outcome_OUTCOME_NOT_RUN, "unreachable"),
		Entry("after writes without a response", func() { store.dropCalls = 1_000_000 },
			connect.CodeDeadlineExceeded, callerv1.Outcome_OUTCOME_UNKNOWN, "deadlineExceeded"),
	)

	It("lists all problems when it refuses an invalid document", func() {
		document = []byte(`{"storeRegion":"nowhere"}`)
		_, err := change("first", 0)
		expectRefusal(err, connect.CodeInvalidArgument, callerv1.Outcome_OUTCOME_NOT_RUN, "invalidRequest")
		Expect(err.Error()).To(And(ContainSubstring("storeRegion"), ContainSubstring("presetInForce")))
	})

	It("returns this VM's snapshot during a store outage and after a stale read", func() {
		// Guards against a version that reverts, and against an error while the store is
		// down.
		expectVersion("first", 0, 1, false)
		expectVersion("second", 1, 2, false)
		current, err := declaration.Decode(store.entry.Value)
		Expect(err).NotTo(HaveOccurred())
		fleet.snapshot = declaration.NewSnapshot(current)
		expectSource := func(fromStore bool) {
			GinkgoHelper()
			response, err := handler.GetConfiguration(context.Background(), &operatorv1.GetConfigurationRequest{})
			Expect(err).NotTo(HaveOccurred())
			Expect(response.GetVersion()).To(Equal(uint64(2)))
			Expect(response.GetFromStore()).To(Equal(fromStore))
		}
		expectSource(true)
		store.staleReads = 1
		expectSource(false)
		store.down = true
		expectSource(false)
	})

	It("lists the versions of all VMs and marks those that do not respond", func() {
		// Guards against a list that fails or omits a VM because it does not respond.
		response, err := handler.ListVersions(context.Background(), &operatorv1.ListVersionsRequest{})
		Expect(err).NotTo(HaveOccurred())
		var answered []bool
		for _, vm := range response.GetVms() {
			answered = append(answered, vm.GetAnswered())
		}
		Expect(answered).To(Equal([]bool{true, true, false}))
	})

	It("reports status and dump", func() {
		expectVersion("first", 0, 1, false)
		current, err := declaration.Decode(store.entry.Value)
		Expect(err).NotTo(HaveOccurred())
		fleet.snapshot = declaration.NewSnapshot(current)
		status, err := handler.GetStatus(context.Background(), &operatorv1.GetStatusRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(status.GetPreset()).To(Equal("ordinary"))
		Expect(status.GetDatabases()[0].GetMembers()).To(HaveLen(3))
		Expect(status.GetDatabases()[0].GetMembers()[0].GetHome()).To(Equal("vm-1"))
		Expect(status.GetDatabases()[0].GetTerm()).To(BeEquivalentTo(4), "the fetched view should be used")
		fleet.noFreshView = true
		status, err = handler.GetStatus(context.Background(), &operatorv1.GetStatusRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(status.GetDatabases()[0].GetTerm()).To(BeEquivalentTo(3), "the last view should be used")
		dump, err := handler.GetDump(context.Background(), &operatorv1.GetDumpRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(dump.GetDump()).To(MatchJSON(`{"vm":"vm-1"}`))
		_, err = handler.GetDump(context.Background(), &operatorv1.GetDumpRequest{Vm: "vm-2"})
		expectRefusal(err, connect.CodeInvalidArgument, callerv1.Outcome_OUTCOME_NOT_RUN, "invalidRequest")
	})
})
