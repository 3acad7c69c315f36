package endpoint

import (
	"context"
	"net/netip"
	"sync"

	"github.com/rotisserie/eris"

	endpointv1 "amaranthdock.dev/api/amaranthdock/endpoint/v1"
	"amaranthdock.dev/api/amaranthdock/endpoint/v1/endpointv1connect"
	"amaranthdock.dev/decision/memory"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/proxy/peer"
	"amaranthdock.dev/proxy/reqmem"
)

// errNotSent is returned if the connection was broken before the step was sent, so
// the endpoint cannot have run it.
var errNotSent = eris.New("the connection was broken before the step was sent")

// errUnexpected is returned for a long message that belongs to no step.
var errUnexpected = eris.New("the endpoint sent a long message without a step")

// stream contains the methods of the connect-go stream that a connection uses.
type stream interface {
	CloseRequest() error
	Receive() (*endpointv1.ConnectResponse, error)
	Send(*endpointv1.ConnectRequest) error
}

// connection is one connection to an endpoint. It runs one step at a time. Pieces
// that arrive for earlier steps are discarded.
type connection struct {
	address netip.AddrPort
	cancel  context.CancelFunc
	stream  stream

	mu      sync.Mutex
	broken  error
	pending map[uint64]*pendingStep
	lastID  uint64
	// current is the step that runs; nil between steps.
	current *pendingStep
}

// pendingStep is a step that waits for its response.
type pendingStep struct {
	assembler responseAssembler
	// memory is that of the step's request, group its workspace.
	memory *reqmem.Request
	group  string
	// received is the length of the messages that were received since the step was sent.
	received int64
	// result has a buffer of one and receives exactly one value.
	result chan stepResult
}

type stepResult struct {
	response response
	err      error
}

// openConnection connects to an endpoint and performs the handshake. The connection
// lasts until base ends; ctx limits the opening only. An error means that no step
// was sent.
func openConnection(ctx, base context.Context, client endpointv1connect.EndpointServiceClient, address netip.AddrPort, proxy string) (*connection, error) {
	streamCtx, cancel := context.WithCancel(base)
	stop := context.AfterFunc(ctx, cancel)
	c := &connection{
		address: address,
		cancel:  cancel,
		pending: map[uint64]*pendingStep{},
	}
	err := c.handshake(peer.WithCharge(streamCtx, c.charge), client, proxy)
	if !stop() && err == nil {
		err = eris.New("the endpoint did not send a welcome frame in time")
	}
	if err != nil {
		c.closeStream()
		if _, ok := refusal.As(err); ok {
			return nil, err
		}
		return nil, refusal.NewNotRun(refusal.Unreachable, "the endpoint cannot be reached: "+err.Error())
	}
	go c.receive()
	return c, nil
}

// handshake sends the hello frame and waits for the welcome frame.
func (c *connection) handshake(ctx context.Context, client endpointv1connect.EndpointServiceClient, proxy string) error {
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
	firstFrame, err := opened.Receive()
	if err != nil {
		return err
	}
	if failure := firstFrame.GetFailure(); failure != nil {
		return refusal.NewNotRun(refusal.Overloaded, "the endpoint refused the connection: "+failure.GetReason())
	}
	if firstFrame.GetWelcome() == nil {
		return eris.New("the first frame of the endpoint is not a welcome frame")
	}
	return nil
}

// close closes the connection. The endpoint then rolls back the transaction that is
// open on it.
func (c *connection) close() {
	c.fail(eris.New("closed"))
}

// fail closes the connection and fails all pending steps with an unknown outcome.
func (c *connection) fail(err error) {
	c.closeStream()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken == nil {
		c.broken = err
	}
	for id, pending := range c.pending {
		delete(c.pending, id)
		pending.result <- stepResult{
			err: refusal.NewUnknown(refusal.ConnectionLost, "the connection to the endpoint was lost"),
		}
	}
}

// closeStream closes the stream. The HTTP/2 transport checks the context only after the
// request body has ended, so canceling the context alone would leave the stream
// open.
func (c *connection) closeStream() {
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

// receive reads and dispatches messages until the stream ends.
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

// dispatch delivers a message to the step with its id. Messages for steps that no
// longer wait are discarded.
func (c *connection) dispatch(message *endpointv1.ConnectResponse) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch frame := message.GetFrame().(type) {
	case *endpointv1.ConnectResponse_Piece:
		id := frame.Piece.GetId()
		pending, ok := c.pending[id]
		if !ok {
			return nil
		}
		complete, err := pending.assembler.add(frame.Piece)
		if err != nil {
			return err
		}
		if complete {
			delete(c.pending, id)
			pending.result <- stepResult{response: pending.assembler.response()}
		}
	case *endpointv1.ConnectResponse_Failure:
		id := frame.Failure.GetId()
		if id == 0 {
			return eris.Errorf("the endpoint ended the connection: %s", frame.Failure.GetReason())
		}
		if pending, ok := c.pending[id]; ok {
			delete(c.pending, id)
			pending.result <- stepResult{err: decodeFailure(frame.Failure)}
		}
	}
	return nil
}

// run sends a step and waits for its complete response. If the context ends first,
// it closes the connection, because the endpoint may still be running the step. It
// returns errNotSent if the connection was already broken.
func (c *connection) run(ctx context.Context, step *endpointv1.Run) (response, error) {
	if ctx.Err() != nil {
		return response{}, refusal.NewNotRun(refusal.DeadlineExceeded, "the deadline passed before the step was sent")
	}
	pending := &pendingStep{
		memory: reqmem.FromContext(ctx),
		group:  step.GetWorkspace(),
		result: make(chan stepResult, 1),
	}
	c.mu.Lock()
	if c.broken != nil {
		c.mu.Unlock()
		return response{}, errNotSent
	}
	c.lastID++
	step.Id = c.lastID
	c.pending[step.Id] = pending
	c.current = pending
	c.mu.Unlock()
	defer c.endCurrent(pending)

	stop := context.AfterFunc(ctx, c.close)
	defer stop()
	request := &endpointv1.ConnectRequest{
		Frame: &endpointv1.ConnectRequest_Run{Run: step},
	}
	// A failed send does not prove that the step was not run: parts of the request
	// may have been sent.
	if err := c.stream.Send(request); err != nil {
		c.fail(err)
	}
	result := <-pending.result
	refused, ok := refusal.As(result.err)
	if ok && refused.Reason == refusal.ConnectionLost && ctx.Err() != nil {
		return response{}, refusal.NewUnknown(refusal.DeadlineExceeded, "the deadline passed while the endpoint ran the step")
	}
	return result.response, result.err
}

// endCurrent records that a step has ended.
func (c *connection) endCurrent(ended *pendingStep) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == ended {
		c.current = nil
	}
}

// charge takes the memory of a message of the endpoint before it is read. If it fails, the current
// step fails and the connection ends: the endpoint has run the step.
func (c *connection) charge(length int64) error {
	c.mu.Lock()
	current := c.current
	c.mu.Unlock()
	if current == nil {
		// Such a message is discarded.
		if length > memory.SmallHolding {
			return errUnexpected
		}
		return nil
	}
	current.received += length
	err := current.memory.HoldAnswer(current.group, current.received, length)
	if err == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken == nil {
		c.broken = err
	}
	for id, pending := range c.pending {
		if pending == current {
			delete(c.pending, id)
			pending.result <- stepResult{err: refusal.NewUnknown(refusal.Overloaded, "the home VM has no memory left for the response of the endpoint")}
		}
	}
	return err
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
