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

// fixture is an entry between a client and homes that answer as a test says.
type fixture struct {
	caller *Caller
	client callerv1connect.CallerServiceClient
	clock  *timer.Manual
	sealer *session.Signer
	url    string

	mu    sync.Mutex
	admit error
	// afterCurrent, if set, runs once after a snapshot was taken.
	afterCurrent func()
	changes      chan struct{}
	forwarded    []*peerv1.ForwardRequest
	home         func(ctx context.Context, request *peerv1.ForwardRequest, send peer.SendRows) *peerv1.ForwardResult
	incarnation  uint64
	logged       strings.Builder
	revoked      map[string]bool
	stale        bool
	// step is how far the time moves while a call is awaited.
	step time.Duration
	view routing.DatabaseView
}

func (f *fixture) Admit(context.Context, string) error { return f.admit }

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

func (f *fixture) Live() []routing.VM { return []routing.VM{f.Self()} }

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

// executions counts the statements that were forwarded, without look-ups.
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

// verbs returns the verbs of the steps that were forwarded.
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
	sealer, err := session.NewSigner(session.SignerConfig{Keys: [][]byte{make([]byte, session.MinKeyBytes)}})
	Expect(err).NotTo(HaveOccurred())
	f := &fixture{
		changes:     make(chan struct{}, 1),
		clock:       timer.NewManual(timer.ManualConfig{}),
		home:        answering(&peerv1.ForwardResult{Outcome: callerv1.Outcome_OUTCOME_DONE, TransactionId: "t", Position: &endpointv1.Position{Term: 1, Index: 9}}),
		incarnation: 1,
		revoked:     map[string]bool{"k2": true},
		sealer:      sealer,
		step:        20 * time.Millisecond,
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
		Forwarder:     f,
		Limiter:       f,
		Log:           log,
		Observer:      f,
		Signer:        sealer,
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

// withKey returns a context whose calls carry a key; none if it is empty.
func withKey(key string) context.Context {
	ctx, info := connect.NewClientContext(context.Background())
	if key != "" {
		info.RequestHeader().Set("Authorization", "Bearer "+key)
	}
	return ctx
}

// answering makes a home give the results in turn, and the last one from then on.
func answering(results ...*peerv1.ForwardResult) func(context.Context, *peerv1.ForwardRequest, peer.SendRows) *peerv1.ForwardResult {
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

func refusedWith(outcome refusal.Outcome, reason refusal.Reason) *peerv1.ForwardResult {
	return peer.EncodeRefusal(&refusal.Error{
		Outcome: outcome,
		Reason:  reason,
	})
}

func done() *peerv1.ForwardResult {
	return &peerv1.ForwardResult{
		Outcome:  callerv1.Outcome_OUTCOME_DONE,
		Position: &endpointv1.Position{Term: 1, Index: 9},
	}
}

func (f *fixture) token(workspace string) string {
	token := session.Token{Workspace: workspace}
	return f.sealer.SignToken(token.WithPosition("d", logpos.Position{Term: 1, Index: 3}, true))
}

func newExecute(access callerv1.Access) *callerv1.ExecuteRequest {
	return &callerv1.ExecuteRequest{
		Database:  "d",
		Access:    access,
		Statement: &callerv1.Statement{Command: "verify"},
		RequestId: "id",
	}
}

// execute runs a request while the time moves on.
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
			f.clock.Advance(f.step)
			return false
		}
	}).WithTimeout(30 * time.Second).Should(BeTrue())
	return err
}

// expectRefusal guards against errors without their detail or with a wrong code.
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
