package endpoint

import (
	"context"
	"net/netip"
	"sync"

	"github.com/rotisserie/eris"

	endpointv1 "amaranthdock.dev/api/amaranthdock/endpoint/v1"
	"amaranthdock.dev/api/amaranthdock/endpoint/v1/endpointv1connect"
	"amaranthdock.dev/decision/refusal"
)

// errNotSent proves that a connection was broken before a step was sent on it.
var errNotSent = eris.New("the connection was broken before the step was sent")

// stream is what a connection uses of the connect-go stream.
type stream interface {
	CloseRequest() error
	Receive() (*endpointv1.ConnectResponse, error)
	Send(*endpointv1.ConnectRequest) error
}

// connection is one database connection. One step at a time runs on it; pieces
// of earlier steps may still arrive and are dropped.
type connection struct {
	address netip.AddrPort
	cancel  context.CancelFunc
	stream  stream

	mu     sync.Mutex
	broken error
	calls  map[uint64]*call
	lastID uint64
}

type call struct {
	assembly assembly
	// result has room for one, and gets exactly one.
	result chan callResult
}

type callResult struct {
	answer answer
	err    error
}

// openConnection connects and waits for the welcome. The connection ends with
// base; ctx bounds the opening only. All errors prove that no step was sent.
func openConnection(ctx, base context.Context, client endpointv1connect.EndpointServiceClient, address netip.AddrPort, proxy string) (*connection, error) {
	life, cancel := context.WithCancel(base)
	stop := context.AfterFunc(ctx, cancel)
	c := &connection{
		address: address,
		cancel:  cancel,
		calls:   map[uint64]*call{},
	}
	err := c.greet(life, client, proxy)
	if !stop() && err == nil {
		err = eris.New("no welcome in time")
	}
	if err != nil {
		c.hangUp()
		if _, ok := refusal.As(err); ok {
			return nil, err
		}
		return nil, refusal.NewNotRun(refusal.Unreachable, "the endpoint cannot be reached: "+err.Error())
	}
	go c.receive()
	return c, nil
}

func (c *connection) greet(ctx context.Context, client endpointv1connect.EndpointServiceClient, proxy string) error {
	opened, err := client.Connect(ctx)
	if err != nil {
		return err
	}
	c.stream = opened
	hello := &endpointv1.ConnectRequest{
		Frame: &endpointv1.ConnectRequest_Hello{
			Hello: &endpointv1.Hello{Proxy: proxy},
		},
	}
	if err := opened.Send(hello); err != nil {
		return err
	}
	first, err := opened.Receive()
	if err != nil {
		return err
	}
	if failure := first.GetFailure(); failure != nil {
		return refusal.NewNotRun(refusal.Overloaded, "the endpoint refused the connection: "+failure.GetReason())
	}
	if first.GetWelcome() == nil {
		return eris.New("no welcome")
	}
	return nil
}

// close ends the connection; the member rolls back what is open on it.
func (c *connection) close() {
	c.fail(eris.New("closed"))
}

// fail ends the connection and every step on it.
func (c *connection) fail(err error) {
	c.hangUp()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken == nil {
		c.broken = err
	}
	for id, waiting := range c.calls {
		delete(c.calls, id)
		waiting.result <- callResult{
			err: refusal.NewUnknown(refusal.ConnectionLost, "the connection to the endpoint was lost"),
		}
	}
}

// hangUp ends the stream. The HTTP/2 transport looks at the context only once
// the request body has ended, so that canceling alone would leave the stream open.
func (c *connection) hangUp() {
	c.cancel()
	if c.stream != nil {
		_ = c.stream.CloseRequest()
	}
}

func (c *connection) isBroken() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken != nil
}

// receive reads until the stream ends.
func (c *connection) receive() {
	for {
		message, err := c.stream.Receive()
		if err != nil {
			c.fail(err)
			return
		}
		if err := c.dispatch(message); err != nil {
			c.fail(err)
			return
		}
	}
}

// dispatch gives a message to the step that it belongs to. Messages for steps
// that are no longer waiting are dropped.
func (c *connection) dispatch(message *endpointv1.ConnectResponse) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch frame := message.GetFrame().(type) {
	case *endpointv1.ConnectResponse_Piece:
		id := frame.Piece.GetId()
		waiting, ok := c.calls[id]
		if !ok {
			return nil
		}
		complete, err := waiting.assembly.add(frame.Piece)
		if err != nil {
			return err
		}
		if complete {
			delete(c.calls, id)
			waiting.result <- callResult{answer: waiting.assembly.answer()}
		}
	case *endpointv1.ConnectResponse_Failure:
		id := frame.Failure.GetId()
		if id == 0 {
			return eris.Errorf("the endpoint ended the connection: %s", frame.Failure.GetReason())
		}
		if waiting, ok := c.calls[id]; ok {
			delete(c.calls, id)
			waiting.result <- callResult{err: decodeFailure(frame.Failure)}
		}
	}
	return nil
}

// run sends a step and waits for its whole answer. It closes the connection when
// the context ends first, because the member may still be busy with the step.
// errNotSent is returned if the connection was broken already.
func (c *connection) run(ctx context.Context, step *endpointv1.Run) (answer, error) {
	if ctx.Err() != nil {
		return answer{}, refusal.NewNotRun(refusal.DeadlineExceeded, "the deadline passed before the step was sent")
	}
	waiting := &call{result: make(chan callResult, 1)}
	c.mu.Lock()
	if c.broken != nil {
		c.mu.Unlock()
		return answer{}, errNotSent
	}
	c.lastID++
	step.Id = c.lastID
	c.calls[step.Id] = waiting
	c.mu.Unlock()

	stop := context.AfterFunc(ctx, c.close)
	defer stop()
	request := &endpointv1.ConnectRequest{
		Frame: &endpointv1.ConnectRequest_Run{Run: step},
	}
	// A failed send proves nothing: parts of it may have left.
	if err := c.stream.Send(request); err != nil {
		c.fail(err)
	}
	result := <-waiting.result
	refused, ok := refusal.As(result.err)
	if ok && refused.Reason == refusal.ConnectionLost && ctx.Err() != nil {
		return answer{}, refusal.NewUnknown(refusal.DeadlineExceeded, "the deadline passed while the endpoint ran the step")
	}
	return result.answer, result.err
}

func decodeFailure(failure *endpointv1.Failure) error {
	reason := refusal.Reason(failure.GetReason())
	if reason == "" {
		reason = refusal.StatementFailed
	}
	if failure.GetNotRun() {
		return refusal.NewNotRun(reason, "the endpoint refused the step")
	}
	return refusal.NewUnknown(reason, "the endpoint failed to run the step")
}
