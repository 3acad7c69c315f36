package endpoint_test

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/endpoint"
	"amaranthdock.dev/engine/peer"
	"amaranthdock.dev/engine/statement"
	"amaranthdock.dev/timer"
)

func TestEndpoint(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "engine/endpoint")
}

// fakeEndpoint records the commands that it receives and sends scripted replies.
type fakeEndpoint struct {
	mu   sync.Mutex
	log  []string
	open int
	// limit is the connection limit; 0 for none.
	limit int
	// respond returns the reply to a command, or an error that ends the connection. If it
	// is nil, or its reply contains no error, the command succeeds.
	respond func(command endpoint.Command) (endpoint.Reply, error)
	// holdReads, if set, blocks the reply to each read until a value is sent or the
	// channel is closed.
	holdReads chan struct{}
	// holdDials, if set, blocks each attempt to connect until the channel is closed; dials counts
	// those that are blocked.
	holdDials chan struct{}
	dials     int
	// onDial is called when a connection was opened; may be nil.
	onDial func()
	// foreign is the number of connections of other homes that the status contains.
	foreign int
	// lingers makes the endpoint count connections after their end until settle is called, unless
	// the home waits for the end and unconfirmed is not set.
	lingers, unconfirmed bool
	lingering            int
	// rejected counts the connections beyond the limit.
	rejected int
	// unreachable makes all attempts to connect fail.
	unreachable bool
	// unresponsiveReports counts the calls of Config.ReportUnresponsive.
	unresponsiveReports int
}

func (f *fakeEndpoint) recordUnresponsive(catalog.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unresponsiveReports++
}

var errConnectionLost = errors.New("the connection was lost")

func (f *fakeEndpoint) Dial(_ context.Context, _ catalog.Endpoint, workspace string) (endpoint.Connection, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if hold := f.holdDials; hold != nil {
		f.dials++
		f.mu.Unlock()
		<-hold
		f.mu.Lock()
		f.dials--
	}
	if f.unreachable {
		return nil, errConnectionLost
	}
	if f.limit > 0 && f.open+f.lingering >= f.limit {
		f.rejected++
		return nil, &endpoint.ReplyError{
			Code: endpoint.TooManyConnections,
			Text: "TOOMANY",
		}
	}
	f.open++
	f.log = append(f.log, "start "+workspace)
	if f.onDial != nil {
		f.onDial()
	}
	return &fakeConnection{
		fake:  f,
		ended: make(chan struct{}),
	}, nil
}

func (f *fakeEndpoint) commands() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.log...)
}

func (f *fakeEndpoint) dialing() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dials
}

func (f *fakeEndpoint) connections() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.open
}

type fakeConnection struct {
	fake   *fakeEndpoint
	state  statement.State
	closed bool
	// ended is closed with the connection.
	ended chan struct{}
}

func (c *fakeConnection) Broken() bool {
	c.fake.mu.Lock()
	defer c.fake.mu.Unlock()
	return c.closed
}

func (c *fakeConnection) Close() {
	c.fake.mu.Lock()
	defer c.fake.mu.Unlock()
	if !c.closed {
		c.closed = true
		close(c.ended)
		c.fake.open--
		if c.fake.lingers {
			c.fake.lingering++
		}
		c.fake.log = append(c.fake.log, "close")
	}
}

func (c *fakeConnection) End(time.Duration) bool {
	c.Close()
	c.fake.mu.Lock()
	defer c.fake.mu.Unlock()
	if c.fake.unconfirmed {
		return false
	}
	if c.fake.lingers {
		c.fake.lingering--
	}
	return true
}

func (c *fakeConnection) Run(_ time.Duration, commands []endpoint.Command) ([]endpoint.Reply, error) {
	var replies []endpoint.Reply
	for _, command := range commands {
		text := describe(command)
		c.fake.mu.Lock()
		c.fake.log = append(c.fake.log, text)
		respond, holdReads := c.fake.respond, c.fake.holdReads
		c.fake.mu.Unlock()
		if holdReads != nil && strings.HasPrefix(text, "READ") {
			select {
			case <-holdReads:
			case <-c.ended:
				return replies, errConnectionLost
			}
		}
		reply := endpoint.Reply{
			Signature: "signed",
			Position: logpos.Position{
				Term:  3,
				Index: 70,
			},
		}
		if respond != nil {
			scripted, err := respond(command)
			if err != nil {
				return replies, err
			}
			if scripted.Err != nil {
				reply = scripted
			}
		}
		if _, ok := command.(endpoint.Status); ok {
			reply.Report = &endpoint.Report{Connections: c.fake.connections() + c.fake.foreign}
		}
		reply.State = c.nextState(command, reply.Err)
		replies = append(replies, reply)
	}
	return replies, nil
}

func (c *fakeConnection) nextState(command endpoint.Command, problem *endpoint.ReplyError) statement.State {
	switch command.(type) {
	case endpoint.Begin:
		if problem == nil {
			c.state = statement.InTransaction
		}
	case endpoint.Commit, endpoint.Rollback:
		if problem == nil || problem.Code != endpoint.Busy {
			c.state = statement.Idle
		}
	default:
		if problem != nil && c.state == statement.InTransaction {
			c.state = statement.InFailedTransaction
		}
	}
	return c.state
}

// describe returns a command as a line of text.
func describe(command endpoint.Command) string {
	after := func(p logpos.Position) string {
		if p.IsZero() {
			return ""
		}
		return " after " + p.String()
	}
	switch c := command.(type) {
	case endpoint.Forward:
		return c.Text + after(c.After)
	case endpoint.Execute:
		return "EXECUTE " + c.Name + " " + c.Arguments
	case endpoint.Begin:
		return "begin" + after(c.After)
	case endpoint.Commit:
		return "commit"
	case endpoint.Rollback:
		return "rollback"
	case endpoint.Set:
		return "set " + c.Name + "=" + c.Value
	case endpoint.Prepare:
		return "prepare " + c.Name + " " + c.Prepared.Shape
	case endpoint.Discard:
		return "discard"
	default:
		return "status"
	}
}

// scriptedRefusal returns a reply with an error code.
func scriptedRefusal(code endpoint.ErrorCode) (endpoint.Reply, error) {
	return endpoint.Reply{Err: &endpoint.ReplyError{
		Code: code,
		Text: "scripted",
	}}, nil
}

// newHome returns a home of the fake endpoint.
func newHome(fake *fakeEndpoint) *endpoint.Home {
	return newHomeWithClock(fake, timer.NewSystem())
}

// newHomeWithClock returns a home of the fake endpoint that uses the given clock.
func newHomeWithClock(fake *fakeEndpoint, clock timer.Service) *endpoint.Home {
	return newHomeWith(fake, func(c *endpoint.Config) { c.Timer = clock })
}

// newHomeWith returns a home of the fake endpoint with a changed configuration.
func newHomeWith(fake *fakeEndpoint, change func(*endpoint.Config)) *endpoint.Home {
	config := endpoint.Config{
		Dialer:             fake,
		ReportUnresponsive: fake.recordUnresponsive,
		Timer:              timer.NewSystem(),
		Log:                logr.Discard(),
		Registry:           metrics.NewRegistry(),
		Lookup:             func(id string) (catalog.Endpoint, bool) { return target, id == target.Key.ID },
		IsFirstHome:        func(catalog.Endpoint) bool { return true },
	}
	change(&config)
	return endpoint.New(config)
}

var target = catalog.Endpoint{
	Key:      catalog.EndpointKey{ID: "e1"},
	Database: "db",
	Slots:    2,
}

// request returns a request of a workspace to the fake endpoint.
func request(step peer.Step, text string, change ...func(*peer.RunRequest)) *peer.RunRequest {
	r := &peer.RunRequest{
		Workspace:       "ws",
		Endpoint:        target.Key.ID,
		MaxConnections:  10,
		Step:            step,
		ID:              "id1",
		Text:            text,
		Write:           strings.HasPrefix(text, "WRITE"),
		Timeout:         400 * time.Millisecond,
		TransactionIdle: time.Second,
	}
	if step != peer.StepSingle {
		r.Transaction = peer.TransactionKey{
			Process: 7,
			Number:  1,
		}
	}
	for _, c := range change {
		c(r)
	}
	return r
}

// expectServed expects a success with the endpoint's signature. It guards against a
// success that the endpoint did not sign.
func expectServed(ran *peer.RunResponse) {
	GinkgoHelper()
	Expect(ran.Refused).To(BeNil())
	Expect(ran.Signature).To(Equal("signed"))
}

// expectRefused expects a refusal with the given outcome and reason. It guards against a
// wrong outcome, such as not run for a statement that may have run.
func expectRefused(ran *peer.RunResponse, outcome refusal.Outcome, reason refusal.Reason) {
	GinkgoHelper()
	Expect(ran.Refused).NotTo(BeNil())
	Expect(ran.Refused.Outcome.String()).To(Equal(outcome.String()))
	Expect(ran.Refused.Reason).To(Equal(reason))
}

// expectCommands expects that the endpoint received exactly these commands in order. It
// guards against commands that are missing, additional or out of order.
func expectCommands(fake *fakeEndpoint, expected ...string) {
	GinkgoHelper()
	Expect(fake.commands()).To(Equal(expected))
}
