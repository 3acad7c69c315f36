package endpoint

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/types/known/durationpb"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
	endpointv1 "amaranthdock.dev/api/amaranthdock/endpoint/v1"
	"amaranthdock.dev/api/amaranthdock/endpoint/v1/endpointv1connect"
	peerv1 "amaranthdock.dev/api/amaranthdock/peer/v1"
	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/decision/scheduling"
	"amaranthdock.dev/declaration"
	"amaranthdock.dev/proxy/failover"
	"amaranthdock.dev/proxy/peer"
	"amaranthdock.dev/timer"
)

func TestEndpoint(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "endpoint")
}

// fifo is a first-in-first-out queue with a limit on the number of running steps.
type fifo struct {
	slots, running int
	waiting        []scheduling.Item
}

func (q *fifo) Enqueue(_ time.Time, item scheduling.Item) scheduling.Decision {
	q.waiting = append(q.waiting, item)
	return scheduling.Enqueued{}
}

func (q *fifo) Evaluate(time.Time, scheduling.Item) (scheduling.Decision, time.Duration) {
	return scheduling.Enqueued{}, 0
}

func (q *fifo) ExpectedWait(time.Time, string) time.Duration { return 0 }

func (q *fifo) ReleaseUnmeasured(uint64) { q.running-- }

func (q *fifo) Complete(time.Time, uint64) { q.running-- }

func (q *fifo) Next(time.Time) scheduling.Decision {
	if len(q.waiting) == 0 || q.running >= q.slots {
		return scheduling.Idle{}
	}
	item := q.waiting[0]
	q.waiting = q.waiting[1:]
	q.running++
	return scheduling.Run{Item: item}
}

func (q *fifo) Remove(id uint64) bool {
	count := len(q.waiting)
	q.waiting = slices.DeleteFunc(q.waiting, func(i scheduling.Item) bool { return i.ID == id })
	return len(q.waiting) < count
}

// observer is a fake Observer whose state the test sets.
type observer struct {
	mu         sync.Mutex
	view       routing.DatabaseView
	durable    logpos.Position
	stalled    bool
	unwatched  bool
	notDurable bool
	confirmed  bool
	// catchUpKnown is set if there is an estimate of the catch-up time, which is 0.
	catchUpKnown bool

	temporaryWatches []string
	resolution       failover.Resolution
	// resolvedTerms contains the terms passed to Resolve.
	resolvedTerms []uint64
}

func (o *observer) WatchTemporarily(database string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.temporaryWatches = append(o.temporaryWatches, database)
}

func (o *observer) DurablePosition(string) (logpos.Position, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.durable, !o.unwatched
}

func (o *observer) LookUpOutcome(context.Context, string, string) failover.Resolution {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.resolution
}

func (o *observer) PrimaryConfirmed(string) bool { return o.confirmed }

func (o *observer) Resolve(_ context.Context, _, _ string, sentTerm uint64) failover.Resolution {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.resolvedTerms = append(o.resolvedTerms, sentTerm)
	if o.resolution.Outcome == 0 {
		return failover.Resolution{Outcome: refusal.Unknown}
	}
	return o.resolution
}

func (o *observer) View(string) (routing.DatabaseView, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.view, true
}

func (o *observer) ExpectedCatchUp(string, logpos.Position) (time.Duration, bool) {
	return 0, o.catchUpKnown
}

func (o *observer) WaitApplied(context.Context, string, logpos.Position) error { return nil }

func (o *observer) WaitDurable(context.Context, string, logpos.Position) error {
	if o.notDurable {
		return errors.New("not durable")
	}
	return nil
}

func (o *observer) WritesHealthy(string) bool { return !o.stalled }

// fakeEndpoint is a fake endpoint server whose responses the test sets.
type fakeEndpoint struct {
	endpointv1connect.UnimplementedEndpointServiceHandler
	server *httptest.Server

	mu                sync.Mutex
	refuseConnections bool
	respond           func(run *endpointv1.Run) (frames []*endpointv1.ConnectResponse, keep bool)
	openConnections   int
	maxConnections    int
	outcome           *endpointv1.GetOutcomeResponse
	// commands contains the commands that ran on each connection.
	commands [][]string
}

func newFakeEndpoint() *fakeEndpoint {
	e := &fakeEndpoint{respond: func(run *endpointv1.Run) ([]*endpointv1.ConnectResponse, bool) {
		return []*endpointv1.ConnectResponse{pieceFrame(run, 0, true)}, true
	}}
	mux := http.NewServeMux()
	mux.Handle(endpointv1connect.NewEndpointServiceHandler(e))
	e.server = httptest.NewUnstartedServer(mux)
	e.server.Config.Protocols = new(http.Protocols)
	e.server.Config.Protocols.SetUnencryptedHTTP2(true)
	e.server.Start()
	DeferCleanup(func() {
		e.server.CloseClientConnections()
		e.server.Close()
	})
	return e
}

func (e *fakeEndpoint) address() netip.AddrPort {
	return netip.MustParseAddrPort(strings.TrimPrefix(e.server.URL, "http://"))
}

func (e *fakeEndpoint) connectionCounts() (open, maximum int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.openConnections, e.maxConnections
}

func (e *fakeEndpoint) Connect(_ context.Context, stream *connect.BidiStream[endpointv1.ConnectRequest, endpointv1.ConnectResponse]) error {
	if _, err := stream.Receive(); err != nil {
		return err
	}
	if e.refuseConnections {
		return stream.Send(failureFrame(0, true))
	}
	e.mu.Lock()
	e.openConnections++
	e.maxConnections = max(e.maxConnections, e.openConnections)
	number := len(e.commands)
	e.commands = append(e.commands, nil)
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.openConnections--
	}()
	welcome := &endpointv1.ConnectResponse{
		Frame: &endpointv1.ConnectResponse_Welcome{Welcome: &endpointv1.Welcome{}},
	}
	if err := stream.Send(welcome); err != nil {
		return err
	}
	for {
		request, err := stream.Receive()
		if err != nil {
			return err
		}
		run := request.GetRun()
		e.mu.Lock()
		e.commands[number] = append(e.commands[number], run.GetStatement().GetCommand())
		respond := e.respond
		e.mu.Unlock()
		frames, keep := respond(run)
		for _, frame := range frames {
			if err := stream.Send(frame); err != nil {
				return err
			}
		}
		if !keep {
			return errors.New("broken")
		}
	}
}

func (e *fakeEndpoint) GetOutcome(context.Context, *endpointv1.GetOutcomeRequest) (*endpointv1.GetOutcomeResponse, error) {
	return e.outcome, nil
}

func pieceFrame(run *endpointv1.Run, sequence uint32, last bool) *endpointv1.ConnectResponse {
	return &endpointv1.ConnectResponse{
		Frame: &endpointv1.ConnectResponse_Piece{
			Piece: &endpointv1.Piece{
				Id:       run.GetId(),
				Sequence: sequence,
				Last:     last,
				Rows:     []*callerv1.Row{{Columns: []string{run.GetStatement().GetCommand()}}},
				Position: &endpointv1.Position{Term: 1, Index: 5},
				Term:     1,
			},
		},
	}
}

func failureFrame(id uint64, notRun bool) *endpointv1.ConnectResponse {
	return &endpointv1.ConnectResponse{
		Frame: &endpointv1.ConnectResponse_Failure{
			Failure: &endpointv1.Failure{
				Id:     id,
				Reason: "statementFailed",
				NotRun: notRun,
			},
		},
	}
}

// fixture is a home with one fake endpoint.
type fixture struct {
	clock    *timer.Manual
	home     *Home
	endpoint *fakeEndpoint
	observer *observer
	snapshot *declaration.Snapshot
	mu       sync.Mutex
}

func (f *fixture) Current() *declaration.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshot
}

func (f *fixture) Subscribe() (<-chan struct{}, func()) { return nil, func() {} }
func (f *fixture) Live() []routing.VM                   { return []routing.VM{f.Self()} }
func (f *fixture) Self() routing.VM                     { return routing.VM{Name: "v", DataCentre: "x"} }

func newFixture() *fixture {
	f := &fixture{
		clock:    timer.NewManual(timer.ManualConfig{}),
		endpoint: newFakeEndpoint(),
		observer: &observer{
			confirmed: true,
			durable:   logpos.Position{Term: 1, Index: 4},
			view: routing.DatabaseView{
				Database: "d",
				Term:     1,
				Primary:  "e",
			},
		},
	}
	f.declareEndpoint(f.endpoint.address())
	client := peer.NewHTTPClient(peer.ClientConfig{})
	home, err := New(Config{
		Configuration: f,
		Dial: func(address netip.AddrPort) endpointv1connect.EndpointServiceClient {
			return endpointv1connect.NewEndpointServiceClient(client, "http://"+address.String(), peer.EndpointClientOptions()...)
		},
		Directory: f,
		NewQueue:  func(c QueueConfig) Queue { return &fifo{slots: c.Slots} },
		Observer:  f.observer,
		Timer:     f.clock,
	})
	Expect(err).NotTo(HaveOccurred())
	f.home = home
	DeferCleanup(home.closeAll)
	return f
}

// fixtureSlots is the number of slots of the fake endpoint.
const fixtureSlots = 3

// declareEndpoint declares the endpoint at an address, with 10 connections.
func (f *fixture) declareEndpoint(address netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshot = declaration.NewSnapshot(&declaration.Document{
		Services: []declaration.Service{{
			Databases: []declaration.Database{{
				Name: "d",
				Endpoints: []declaration.Endpoint{{
					Name:        "e",
					DataCentre:  "x",
					Address:     address,
					Slots:       fixtureSlots,
					Connections: 10,
				}},
			}},
		}},
	})
}

func newRequest(access callerv1.Access, command string) *peerv1.ForwardRequest {
	return &peerv1.ForwardRequest{
		RequestId: command,
		Workspace: "w",
		Database:  "d",
		Endpoint:  "e",
		Verb:      endpointv1.Verb_VERB_EXECUTE,
		Access:    access,
		Statement: &callerv1.Statement{Command: command},
		Timeout:   durationpb.New(5 * time.Second),
	}
}

func inTransaction(id string, verb endpointv1.Verb, command string) *peerv1.ForwardRequest {
	request := newRequest(callerv1.Access_ACCESS_WRITE, command)
	request.TransactionId = id
	request.Verb = verb
	return request
}

// run executes a request and advances the clock until the request has ended.
func (f *fixture) run(request *peerv1.ForwardRequest) (*peerv1.ForwardResult, []*callerv1.Row) {
	GinkgoHelper()
	type ended struct {
		result *peerv1.ForwardResult
		rows   []*callerv1.Row
	}
	results := make(chan ended, 1)
	go func() {
		var e ended
		e.result = f.home.Execute(context.Background(), request, func(rows []*callerv1.Row) error {
			e.rows = append(e.rows, rows...)
			return nil
		})
		results <- e
	}()
	var e ended
	Eventually(func() bool {
		select {
		case e = <-results:
			return true
		default:
			f.clock.Advance(50 * time.Millisecond)
			return false
		}
	}).WithTimeout(20 * time.Second).Should(BeTrue())
	return e.result, e.rows
}

func (f *fixture) begin() string {
	GinkgoHelper()
	request := newRequest(callerv1.Access_ACCESS_WRITE, "begin")
	request.Verb = endpointv1.Verb_VERB_BEGIN
	result, _ := f.run(request)
	Expect(result.GetOutcome()).To(Equal(callerv1.Outcome_OUTCOME_DONE), result.GetMessage())
	return result.GetTransactionId()
}
