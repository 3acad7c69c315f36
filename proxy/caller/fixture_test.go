package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
	"amaranthdock.dev/api/amaranthdock/caller/v1/callerv1connect"
	endpointv1 "amaranthdock.dev/api/amaranthdock/endpoint/v1"
	peerv1 "amaranthdock.dev/api/amaranthdock/peer/v1"
	"amaranthdock.dev/decision/limits"
	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/decision/session"
	"amaranthdock.dev/declaration"
	"amaranthdock.dev/proxy/peer"
	"amaranthdock.dev/timer"
)

func TestCaller(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "caller")
}

const (
	goodKey    = "ad_k1_one_secret"
	revokedKey = "ad_k2_two"
	otherKey   = "ad_k3_three"
	secondKey  = "ad_k4_four"
)

// fixture is a Caller with a client and with fake homes whose responses the test sets.
type fixture struct {
	caller *Caller
	client callerv1connect.CallerServiceClient
	clock  *timer.Manual
	signer *session.Signer
	url    string

	mu       sync.Mutex
	admitErr error
	// afterCurrent, if set, runs once after Current has taken a snapshot.
	afterCurrent func()
	changes      chan struct{}
	explain      func(vm string, request *peerv1.ForwardRequest) (*peerv1.ExplainStepResponse, error)
	explained    []*peerv1.ForwardRequest
	forwarded    []*peerv1.ForwardRequest
	home         func(ctx context.Context, request *peerv1.ForwardRequest, send peer.SendRows) *peerv1.ForwardResult
	incarnation  uint64
	// live contains the live VMs; nil for this VM only.
	live    []routing.VM
	logged  strings.Builder
	revoked map[string]bool
	stale   bool
	// clockStep is the interval by which await advances the clock.
	clockStep time.Duration
	view      routing.DatabaseView
}

func (f *fixture) Admit(context.Context, string) error { return f.admitErr }

func (f *fixture) Evaluate(string) (limits.Admission, error) {
	return limits.Admission{Limit: limits.Limit{Rate: 5}}, f.admitErr
}

func (f *fixture) Explain(_ context.Context, vm string, request *peerv1.ForwardRequest) (*peerv1.ExplainStepResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.explained = append(f.explained, request)
	return f.explain(vm, request)
}

func (f *fixture) Authorized() bool { return !f.stale }

func (f *fixture) Current() *declaration.Snapshot {
	f.mu.Lock()
	snapshot := f.newSnapshot()
	after := f.afterCurrent
	f.afterCurrent = nil
	f.mu.Unlock()
	if after != nil {
		after()
	}
	return snapshot
}

func (f *fixture) Subscribe() (<-chan struct{}, func()) { return f.changes, func() {} }

func (f *fixture) Address(string) (netip.AddrPort, bool) { return netip.AddrPort{}, false }

func (f *fixture) Incarnation(string) (uint64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.incarnation, true
}

func (f *fixture) Live() []routing.VM {
	if f.live != nil {
		return f.live
	}
	return []routing.VM{f.Self()}
}

func (f *fixture) Self() routing.VM { return routing.VM{Name: "v", DataCentre: "x", Region: "y"} }

func (f *fixture) View(string) (routing.DatabaseView, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view, true
}

func (f *fixture) Forward(ctx context.Context, _ string, request *peerv1.ForwardRequest, send peer.SendRows) *peerv1.ForwardResult {
	f.mu.Lock()
	f.forwarded = append(f.forwarded, request)
	home := f.home
	f.mu.Unlock()
	return home(ctx, request, send)
}

// executions returns the number of forwarded steps, without outcome look-ups.
func (f *fixture) executions() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, request := range f.forwarded {
		if !request.GetLookUpOutcome() {
			count++
		}
	}
	return count
}

// verbs returns the verbs of the forwarded steps.
func (f *fixture) verbs() []endpointv1.Verb {
	f.mu.Lock()
	defer f.mu.Unlock()
	var verbs []endpointv1.Verb
	for _, request := range f.forwarded {
		verbs = append(verbs, request.GetVerb())
	}
	return verbs
}

func (f *fixture) revoke(id string) {
	f.mu.Lock()
	f.revoked[id] = true
	f.mu.Unlock()
	select {
	case f.changes <- struct{}{}:
	default:
	}
}

func (f *fixture) newSnapshot() *declaration.Snapshot {
	newKey := func(text string) declaration.Key {
		parts := strings.SplitN(text, "_", 3)
		sum := sha256.Sum256([]byte(parts[2]))
		return declaration.Key{
			ID:      parts[1],
			Hash:    hex.EncodeToString(sum[:]),
			Revoked: f.revoked[parts[1]],
		}
	}
	return declaration.NewSnapshot(&declaration.Document{
		Version: 7,
		Regions: []declaration.Region{{Name: "y", DataCentres: []string{"x"}}},
		Routes:  []declaration.Route{{Name: "open", Database: "d", Commands: []string{"verify"}}},
		Services: []declaration.Service{{
			Databases: []declaration.Database{
				{
					Name: "d",
					Endpoints: []declaration.Endpoint{
						{Name: "p", DataCentre: "x"},
						{Name: "r", DataCentre: "x"},
					},
				},
				{Name: "closed"},
			},
		}},
		Workspaces: []declaration.Workspace{
			{Name: "w", Databases: []string{"d"}, Keys: []declaration.Key{newKey(goodKey), newKey(revokedKey), newKey(secondKey)}},
			{Name: "other", Databases: []string{"d"}, Keys: []declaration.Key{newKey(otherKey)}},
		},
	})
}

func newFixture() *fixture {
	signer, err := session.NewSigner(session.SignerConfig{Keys: [][]byte{make([]byte, session.MinKeyBytes)}})
	Expect(err).NotTo(HaveOccurred())
	f := &fixture{
		changes:     make(chan struct{}, 1),
		clock:       timer.NewManual(timer.ManualConfig{}),
		home:        responding(&peerv1.ForwardResult{Outcome: callerv1.Outcome_OUTCOME_DONE, TransactionId: "t", Position: &endpointv1.Position{Term: 1, Index: 9}}),
		incarnation: 1,
		revoked:     map[string]bool{"k2": true},
		signer:      signer,
		clockStep:   20 * time.Millisecond,
		view: routing.DatabaseView{
			Database: "d",
			Term:     1,
			Primary:  "p",
			Members: []routing.MemberView{
				{Endpoint: "p", Role: routing.RolePrimary, Reachable: true},
				{Endpoint: "r", Role: routing.RoleReplica, Reachable: true},
			},
		},
	}
	log := funcr.New(func(_, text string) { f.logged.WriteString(text) }, funcr.Options{Verbosity: 10})
	f.caller, err = New(Config{
		Configuration: f,
		Dial:          peer.NewClients(peer.ClientConfig{}).Dial,
		Directory:     f,
		Explainer:     f,
		Forwarder:     f,
		Limiter:       f,
		Log:           log,
		Observer:      f,
		Signer:        signer,
		Timer:         f.clock,
	})
	Expect(err).NotTo(HaveOccurred())
	mux := http.NewServeMux()
	mux.Handle(f.caller.HTTPHandler())
	server := httptest.NewServer(mux)
	DeferCleanup(server.Close)
	f.url = server.URL
	f.client = callerv1connect.NewCallerServiceClient(server.Client(), server.URL)
	return f
}

// withKey returns a context whose calls have the key, or no key if it is empty.
func withKey(key string) context.Context {
	ctx, info := connect.NewClientContext(context.Background())
	if key != "" {
		info.RequestHeader().Set("Authorization", "Bearer "+key)
	}
	return ctx
}

// responding returns a home that responds with the results in order and repeats the
// last one.
func responding(results ...*peerv1.ForwardResult) func(context.Context, *peerv1.ForwardRequest, peer.SendRows) *peerv1.ForwardResult {
	var mu sync.Mutex
	return func(context.Context, *peerv1.ForwardRequest, peer.SendRows) *peerv1.ForwardResult {
		mu.Lock()
		defer mu.Unlock()
		result := results[0]
		if len(results) > 1 {
			results = results[1:]
		}
		return result
	}
}

func refusedResult(outcome refusal.Outcome, reason refusal.Reason) *peerv1.ForwardResult {
	return peer.EncodeRefusal(&refusal.Error{
		Outcome: outcome,
		Reason:  reason,
	})
}

func doneResult() *peerv1.ForwardResult {
	return &peerv1.ForwardResult{
		Outcome:  callerv1.Outcome_OUTCOME_DONE,
		Position: &endpointv1.Position{Term: 1, Index: 9},
	}
}

func (f *fixture) token(workspace string) string {
	token := session.Token{Workspace: workspace}
	return f.signer.SignToken(token.WithPosition("d", logpos.Position{Term: 1, Index: 3}, true))
}

func newExecute(access callerv1.Access) *callerv1.ExecuteRequest {
	return &callerv1.ExecuteRequest{
		Database:  "d",
		Access:    access,
		Statement: &callerv1.Statement{Command: "verify"},
		RequestId: "id",
	}
}

// execute runs a request while it advances the clock.
func (f *fixture) execute(key string, request *callerv1.ExecuteRequest) (*callerv1.ExecuteResponse, error) {
	GinkgoHelper()
	var response *callerv1.ExecuteResponse
	err := f.await(func() error {
		var err error
		response, err = f.client.Execute(withKey(key), request)
		return err
	})
	return response, err
}

// await advances the clock until the call has returned.
func (f *fixture) await(call func() error) error {
	GinkgoHelper()
	ended := make(chan error, 1)
	go func() { ended <- call() }()
	var err error
	Eventually(func() bool {
		select {
		case err = <-ended:
			return true
		default:
			f.clock.Advance(f.clockStep)
			return false
		}
	}).WithTimeout(30 * time.Second).Should(BeTrue())
	return err
}

// expectRefusal guards against errors with a wrong code or without a Refusal detail.
func expectRefusal(err error, code connect.Code, outcome callerv1.Outcome, reason refusal.Reason, field string) {
	GinkgoHelper()
	var failed *connect.Error
	Expect(errors.As(err, &failed)).To(BeTrue())
	Expect(failed.Code()).To(Equal(code), failed.Message())
	Expect(failed.Details()).To(HaveLen(1))
	value, err := failed.Details()[0].Value()
	Expect(err).NotTo(HaveOccurred())
	refused := value.(*callerv1.Refusal)
	Expect(refused.GetReason()).To(Equal(string(reason)))
	Expect(refused.GetOutcome()).To(Equal(outcome))
	Expect(refused.GetField()).To(Equal(field))
	Expect(refused.GetConfigurationVersion()).To(BeEquivalentTo(7))
}
