package member

import (
	"context"
	"errors"
	"io"
	"sync"

	"connectrpc.com/connect"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
	endpointv1 "amaranthdock.dev/api/amaranthdock/endpoint/v1"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/timer"
)

// ConnectionLimit is the failure reason of a connection above the limit.
const ConnectionLimit = "connectionLimit"

// maxQueuedSteps is the number of pipelined steps that a connection queues.
const maxQueuedSteps = 64

type connectStream = connect.BidiStream[endpointv1.ConnectRequest, endpointv1.ConnectResponse]

// connection is one open stream. Its steps run one at a time, in the order of their
// arrival. The pieces of different responses may interleave.
type connection struct {
	member           *Member
	sendMu           sync.Mutex
	stream           *connectStream
	delayedResponses sync.WaitGroup
	transaction      *openTransaction
}

// openTransaction is a transaction between begin and commit.
type openTransaction struct {
	*transaction
	term uint64
}

// Connect serves one connection until the stream ends.
func (m *Member) Connect(ctx context.Context, stream *connectStream) error {
	first, err := stream.Receive()
	if err != nil {
		return err
	}
	if first.GetHello() == nil {
		return connect.NewError(connect.CodeInvalidArgument, errors.New("the first frame is not a hello"))
	}
	if !m.addConnection() {
		return stream.Send(failureFrame(0, ConnectionLimit))
	}
	defer m.removeConnection()
	if err := timer.Sleep(ctx, m.config.Timer, m.config.ConnectionCost); err != nil {
		return err
	}
	welcome := &endpointv1.ConnectResponse{
		Frame: &endpointv1.ConnectResponse_Welcome{Welcome: &endpointv1.Welcome{}},
	}
	if err := stream.Send(welcome); err != nil {
		return err
	}
	c := &connection{
		member: m,
		stream: stream,
	}
	return c.serve(ctx)
}

func (m *Member) addConnection() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.openedConnections++
	if m.connections >= m.config.MaxConnections {
		return false
	}
	m.connections++
	return true
}

func (m *Member) removeConnection() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.connections--
}

// serve receives and runs steps until the stream ends. An open transaction is then
// discarded.
func (c *connection) serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	steps := make(chan *endpointv1.Run, maxQueuedSteps)
	var worker sync.WaitGroup
	worker.Go(func() {
		for run := range steps {
			c.sendResponse(ctx, run.GetId(), c.member.runStep(ctx, c, run))
		}
	})
	err := c.receive(ctx, steps)
	close(steps)
	if err != nil {
		cancel()
	}
	worker.Wait()
	c.delayedResponses.Wait()
	return err
}

func (c *connection) receive(ctx context.Context, steps chan<- *endpointv1.Run) error {
	for {
		request, err := c.stream.Receive()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		run := request.GetRun()
		if run == nil || run.GetId() == 0 {
			return connect.NewError(connect.CodeInvalidArgument, errors.New("a frame is not a run with an ID"))
		}
		select {
		case steps <- run:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// sendResponse sends the frames of one response. If MaxPieceDelay is set, it sends them
// in random order and with random delays.
func (c *connection) sendResponse(ctx context.Context, id uint64, response stepResponse) {
	frames := c.member.frames(id, response)
	maxDelay := c.member.config.MaxPieceDelay
	if maxDelay <= 0 {
		for _, frame := range frames {
			c.sendFrame(frame)
		}
		return
	}
	c.member.random.shuffle(len(frames), func(i, j int) {
		frames[i], frames[j] = frames[j], frames[i]
	})
	c.delayedResponses.Go(func() {
		for _, frame := range frames {
			if err := timer.Sleep(ctx, c.member.config.Timer, c.member.random.delay(maxDelay)); err != nil {
				return
			}
			c.sendFrame(frame)
		}
	})
}

// sendFrame only logs errors, because receive also fails if the stream is lost.
func (c *connection) sendFrame(frame *endpointv1.ConnectResponse) {
	c.sendMu.Lock()
	defer c.sendMu.Unlock()
	if err := c.stream.Send(frame); err != nil {
		c.member.config.Logger.V(1).Info("member: could not send a response", "cause", err.Error())
	}
}

// frames splits a response into pieces.
func (m *Member) frames(id uint64, response stepResponse) []*endpointv1.ConnectResponse {
	if response.reason != "" {
		return []*endpointv1.ConnectResponse{failureFrame(id, response.reason)}
	}
	var frames []*endpointv1.ConnectResponse
	rows := response.rows
	for {
		count := min(len(rows), m.config.PieceRows)
		piece := &endpointv1.Piece{
			Id:           id,
			Sequence:     uint32(len(frames)),
			Last:         count == len(rows),
			Rows:         toRows(rows[:count]),
			RowsAffected: response.affected,
			Position:     toPosition(response.position),
			Term:         response.term,
			Duplicate:    response.duplicate,
		}
		frames = append(frames, &endpointv1.ConnectResponse{
			Frame: &endpointv1.ConnectResponse_Piece{Piece: piece},
		})
		rows = rows[count:]
		if piece.GetLast() {
			return frames
		}
	}
}

// failureFrame returns a failure that is marked as not run. That is always correct,
// because a step can fail only before its entry is added to the log.
func failureFrame(id uint64, reason refusal.Reason) *endpointv1.ConnectResponse {
	return &endpointv1.ConnectResponse{
		Frame: &endpointv1.ConnectResponse_Failure{Failure: &endpointv1.Failure{
			Id:     id,
			Reason: string(reason),
			NotRun: true,
		}},
	}
}

func toRows(rows [][]string) []*callerv1.Row {
	converted := make([]*callerv1.Row, 0, len(rows))
	for _, columns := range rows {
		converted = append(converted, &callerv1.Row{Columns: columns})
	}
	return converted
}
