package caller_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"amaranthdock.dev/decision/evacuation"
	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/caller"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/peer"
	"amaranthdock.dev/engine/statement"
	"amaranthdock.dev/engine/view"
	"amaranthdock.dev/timer"
)

func TestCaller(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "engine/caller")
}

// fakeFleet acts as the homes of all endpoints and as the rate limiter.
type fakeFleet struct {
	mu   sync.Mutex
	runs []peer.RunRequest
	// respond overrides the result of a run. If it is nil or returns nothing, the run
	// succeeds.
	respond func(vm string, request *peer.RunRequest) (*peer.RunResponse, error)
	// admitRefusal is returned by Admit; nil admits the operation.
	admitRefusal *refusal.Error
	refunds      int
}

func (f *fakeFleet) run(vm string, request *peer.RunRequest) (*peer.RunResponse, error) {
	f.mu.Lock()
	f.runs = append(f.runs, *request)
	respond := f.respond
	f.mu.Unlock()
	if respond != nil {
		if result, err := respond(vm, request); result != nil || err != nil {
			return result, err
		}
	}
	return successResult(request), nil
}

// successResult returns a success at log position 3/100.
func successResult(request *peer.RunRequest) *peer.RunResponse {
	return &peer.RunResponse{
		Signature: "signed by " + request.Endpoint,
		Position: logpos.Position{
			Term:  3,
			Index: 100,
		},
		ProvedPrimary: request.Endpoint == "p" && (request.Write || request.Fenced || request.Step == peer.StepPosition),
	}
}

func (f *fakeFleet) Run(_ context.Context, request *peer.RunRequest) *peer.RunResponse {
	result, err := f.run("self", request)
	if err != nil {
		return &peer.RunResponse{Refused: refusal.NewNotRun(refusal.Unreachable, err.Error())}
	}
	return result
}

func (f *fakeFleet) Call(_ context.Context, vm catalog.VM, _ string, arguments, reply any, _ time.Duration) error {
	result, err := f.run(vm.Name, arguments.(*peer.RunRequest))
	if err != nil {
		return err
	}
	*reply.(*peer.RunResponse) = *result
	return nil
}

func (f *fakeFleet) Admit(context.Context, string) error {
	if f.admitRefusal != nil {
		return f.admitRefusal
	}
	return nil
}

func (f *fakeFleet) AdmitWithPriority(ctx context.Context, workspace string, _ int) error {
	return f.Admit(ctx, workspace)
}

func (f *fakeFleet) Refund(string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refunds++
}

// steps returns the endpoint and text of each run except the requests for position
// samples.
func (f *fakeFleet) steps() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var steps []string
	for _, r := range f.runs {
		if r.Step != peer.StepPosition {
			steps = append(steps, r.Endpoint+" "+r.Text)
		}
	}
	return steps
}

// lastRun returns the last run that was not a request for a position sample.
func (f *fakeFleet) lastRun() peer.RunRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := len(f.runs) - 1; i >= 0; i-- {
		if f.runs[i].Step != peer.StepPosition {
			return f.runs[i]
		}
	}
	return peer.RunRequest{}
}

// fixture is a VM and its fake fleet. After start it has a configuration, the primary p
// and the replicas r1 and r2.
type fixture struct {
	fleet    *fakeFleet
	view     *view.View
	sessions *caller.SessionManager
}

func configuration(version uint64, keys map[string]string) *catalog.Configuration {
	route := func(host string, kind catalog.ReadConsistency) catalog.Route {
		return catalog.Route{
			Host:         host,
			Database:     "db",
			Kind:         kind,
			Timeout:      300 * time.Millisecond,
			MaxStaleness: time.Second,
		}
	}
	return &catalog.Configuration{
		Version: version,
		Routes: map[string]catalog.Route{
			"strict":  route("strict", catalog.PrimaryReads),
			"bounded": route("bounded", catalog.BoundedStaleness),
			"own":     route("own", catalog.ReadYourWrites),
		},
		Databases:       map[string]catalog.Database{"db": {Name: "db", MaxConnections: 30}},
		Workspaces:      map[string]catalog.Workspace{"ws": {Name: "ws"}},
		WorkspaceByKey:  keys,
		TransactionIdle: time.Second,
	}
}

func endpoints(revision uint64, primary string) *catalog.EndpointSnapshot {
	e := &catalog.EndpointSnapshot{
		Revision: revision,
		ByID:     map[string]catalog.Endpoint{},
	}
	for _, id := range []string{"p", "r1", "r2"} {
		role := catalog.RoleReplica
		if id == primary {
			role = catalog.RolePrimary
		}
		e.ByID[id] = catalog.Endpoint{
			Key:        catalog.EndpointKey{ID: id},
			Database:   "db",
			DataCentre: "a1",
			Slots:      5,
			Role:       role,
		}
	}
	return e
}

// drainLimit is the time after which a draining endpoint may get no new statements.
const drainLimit = 100 * time.Millisecond

// evacuationLimit is the time after which an evacuated data centre may get no more requests.
const evacuationLimit = evacuation.Margin + 150*time.Millisecond

func newFixture() *fixture {
	return newFixtureWith(func(*caller.Config) {})
}

// newFixtureWith returns a fixture with changed settings.
func newFixtureWith(change func(*caller.Config)) *fixture {
	f := &fixture{fleet: &fakeFleet{}}
	self := catalog.VM{
		Name:       "self",
		DataCentre: "a1",
		Region:     "a",
	}
	f.view = view.New(view.Config{
		Self: self,
		Regions: map[string]string{
			"a1": "a",
			"a2": "a",
			"b1": "b",
		},
		EvacuationLimit: evacuationLimit,
		Timer:           timer.NewSystem(),
		Log:             logr.Discard(),
		Unreachable:     func(string) bool { return false },
		DrainLimit:      drainLimit,
	})
	config := caller.Config{
		View:     f.view,
		Home:     f.fleet,
		Peers:    f.fleet,
		Limiter:  f.fleet,
		Joined:   func() bool { return len(f.view.VMs().ByName) > 0 },
		Timer:    timer.NewSystem(),
		Log:      logr.Discard(),
		Registry: metrics.NewRegistry(),
	}
	change(&config)
	f.sessions = caller.New(config)
	return f
}

// start gives the VM its configuration, the endpoints and the list of VMs.
func (f *fixture) start() *fixture {
	f.view.AcceptConfiguration(configuration(1, map[string]string{"key": "ws"}), "test")
	f.view.AcceptEndpoints(endpoints(1, "p"), "test")
	f.view.AcceptVMs(&catalog.VMSnapshot{
		Revision: 1,
		ByName:   map[string]catalog.VM{"self": f.view.Self()},
	}, "test")
	return f
}

// open returns a session with the workspace's key.
func (f *fixture) open(host string) *caller.Session {
	GinkgoHelper()
	session, refused := f.sessions.Open(context.Background(), host, "key")
	Expect(refused).To(BeNil())
	return session
}

// acceptSample gives the VM a fresh position sample of the primary.
func (f *fixture) acceptSample(index uint64) {
	f.view.AddSample("db", f.view.SinceBoot(), logpos.Position{
		Term:  3,
		Index: index,
	})
}

func do(session *caller.Session, st statement.Statement, text string) statement.Response {
	return session.Do(context.Background(), statement.Request{
		ID:        "id1",
		Text:      text,
		Statement: st,
	})
}

// expectServed expects a success that leaves the session in the given state. It guards
// against a statement that is refused, or that leaves the session in a wrong state.
func expectServed(response statement.Response, state statement.State) {
	GinkgoHelper()
	Expect(response.Refused).To(BeNil())
	Expect(response.State).To(Equal(state))
}

// expectRefused expects a refusal with the given outcome and reason that leaves the
// session in the given state. It guards against a wrong outcome, and against a refusal
// that leaves the session in a wrong state.
func expectRefused(response statement.Response, outcome refusal.Outcome, reason refusal.Reason, state statement.State) {
	GinkgoHelper()
	Expect(response.Refused).NotTo(BeNil())
	Expect(response.Refused.Outcome.String()).To(Equal(outcome.String()))
	Expect(response.Refused.Reason).To(Equal(reason))
	Expect(response.State).To(Equal(state))
}
