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

// fifo is a first-in-first-out queue with a bound on the steps that run.
type fifo struct {
	slots, running int
	waiting        []scheduling.Item
}

func (q *fifo) Enqueue(_ time.Time, item scheduling.Item) scheduling.Decision {
	q.waiting = append(q.waiting, item)
	return scheduling.Enqueued{}
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

// observer is what a test says about the members.
type observer struct {
	mu        sync.Mutex
	view      routing.DatabaseView
	durable   logpos.Position
	stalled   bool
	unwatched bool
	lost      bool
	confirmed bool

	attended   []string
	resolution failover.Resolution
	// resolved holds the terms that were asked about.
	resolved []uint64
}

func (o *observer) WatchTemporarily(database string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.attended = append(o.attended, database)
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
	o.resolved = append(o.resolved, sentTerm)
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
	return 0, false
}

func (o *observer) WaitApplied(context.Context, string, logpos.Position) error { return nil }

func (o *observer) WaitDurable(context.Context, string, logpos.Position) error {
	if o.lost {
		return errors.New("not durable")
	}
	return nil
}

func (o *observer) WritesHealthy(string) bool { return !o.stalled }

// member is an endpoint that answers as a test says.
type member struct {
	endpointv1connect.UnimplementedEndpointServiceHandler
	server *httptest.Server

	mu       sync.Mutex
	refuse   bool
	answer   func(run *endpointv1.Run) (frames []*endpointv1.ConnectResponse, keep bool)
	open     int
	most     int
	statuses *endpointv1.GetOutcomeResponse
	// seen holds, for each connection, the commands that ran on it.
	seen [][]string
}

func newMember() *member {
	m := &member{answer: func(run *endpointv1.Run) ([]*endpointv1.ConnectResponse, bool) {
		return []*endpointv1.ConnectResponse{done(run, 0, true)}, true
	}}
	mux := http.NewServeMux()
	mux.Handle(endpointv1connect.NewEndpointServiceHandler(m))
	m.server = httptest.NewUnstartedServer(mux)
	m.server.Config.Protocols = new(http.Protocols)
	m.server.Config.Protocols.SetUnencryptedHTTP2(true)
	m.server.Start()
	DeferCleanup(func() {
		m.server.CloseClientConnections()
		m.server.Close()
	})
	return m
}

func (m *member) address() netip.AddrPort {
	return netip.MustParseAddrPort(strings.TrimPrefix(m.server.URL, "http://"))
}

func (m *member) counts() (open, most int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.open, m.most
}

func (m *member) Connect(_ context.Context, stream *connect.BidiStream[endpointv1.ConnectRequest, endpointv1.ConnectResponse]) error {
	if _, err := stream.Receive(); err != nil {
		return err
	}
	if m.refuse {
		return stream.Send(failure(0, true))
	}
	m.mu.Lock()
	m.open++
	m.most = max(m.most, m.open)
	number := len(m.seen)
	m.seen = append(m.seen, nil)
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.open--
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
		m.mu.Lock()
		m.seen[number] = append(m.seen[number], run.GetStatement().GetCommand())
		answer := m.answer
		m.mu.Unlock()
		frames, keep := answer(run)
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

func (m *member) GetOutcome(context.Context, *endpointv1.GetOutcomeRequest) (*endpointv1.GetOutcomeResponse, error) {
	return m.statuses, nil
}

func done(run *endpointv1.Run, sequence uint32, last bool) *endpointv1.ConnectResponse {
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

func failure(id uint64, notRun bool) *endpointv1.ConnectResponse {
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

// fixture is a home in front of one member.
type fixture struct {
	clock    *timer.Manual
	home     *Home
	member   *member
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
		clock:  timer.NewManual(timer.ManualConfig{}),
		member: newMember(),
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
	f.place(f.member.address())
	client := peer.NewHTTPClient(peer.ClientConfig{})
	home, err := New(Config{
		Configuration: f,
		Dial: func(address netip.AddrPort) endpointv1connect.EndpointServiceClient {
			return endpointv1connect.NewEndpointServiceClient(client, "http://"+address.String())
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

// fixtureSlots of the endpoint.
const fixtureSlots = 3

// place declares the endpoint at an address, with 3 slots and 10 connections.
func (f *fixture) place(address netip.AddrPort) {
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

// run executes a request and moves the time until it has ended, once ready
// allows it; nil moves it at once when the request does not end by itself.
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
