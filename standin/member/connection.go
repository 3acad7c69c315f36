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

// ConnectionLimit is the reason of a refused connection.
const ConnectionLimit = "connectionLimit"

// pipelinedSteps is the number of steps that a connection takes in advance.
const pipelinedSteps = 64

type connectStream = connect.BidiStream[endpointv1.ConnectRequest, endpointv1.ConnectResponse]

// connection is one open stream. Steps run one at a time, in their order; the
// pieces of different answers may interleave.
type connection struct {
	member      *Member
	sendMu      sync.Mutex
	stream      *connectStream
	answers     sync.WaitGroup
	transaction *openTransaction
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
		return connect.NewError(connect.CodeInvalidArgument, errors.New("the first frame is no hello"))
	}
	if !m.addConnection() {
		return stream.Send(failure(0, ConnectionLimit))
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
	if m.connections >= m.config.Connections {
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

// serve receives steps and runs them until the stream ends, which drops an open
// transaction.
func (c *connection) serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	steps := make(chan *endpointv1.Run, pipelinedSteps)
	var worker sync.WaitGroup
	worker.Go(func() {
		for run := range steps {
			c.answer(ctx, run.GetId(), c.member.step(ctx, c, run))
		}
	})
	err := c.receive(ctx, steps)
	close(steps)
	if err != nil {
		cancel()
	}
	worker.Wait()
	c.answers.Wait()
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
			return connect.NewError(connect.CodeInvalidArgument, errors.New("a frame is no run with an id"))
		}
		select {
		case steps <- run:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// answer sends the frames of one answer, late and out of order if configured.
func (c *connection) answer(ctx context.Context, id uint64, a answer) {
	frames := c.member.frames(id, a)
	longest := c.member.config.AnswerDelay
	if longest <= 0 {
		for _, frame := range frames {
			c.send(frame)
		}
		return
	}
	c.member.random.shuffle(len(frames), func(i, j int) {
		frames[i], frames[j] = frames[j], frames[i]
	})
	c.answers.Go(func() {
		for _, frame := range frames {
			if err := timer.Sleep(ctx, c.member.config.Timer, c.member.random.delay(longest)); err != nil {
				return
			}
			c.send(frame)
		}
	})
}

// send ignores errors, because the receiving side learns of a lost stream.
func (c *connection) send(frame *endpointv1.ConnectResponse) {
	c.sendMu.Lock()
	defer c.sendMu.Unlock()
	if err := c.stream.Send(frame); err != nil {
		c.member.config.Logger.V(1).Info("member: answer not sent", "cause", err.Error())
	}
}

// frames splits an answer into pieces.
func (m *Member) frames(id uint64, a answer) []*endpointv1.ConnectResponse {
	if a.reason != "" {
		return []*endpointv1.ConnectResponse{failure(id, a.reason)}
	}
	var frames []*endpointv1.ConnectResponse
	rows := a.rows
	for {
		count := min(len(rows), m.config.PieceRows)
		piece := &endpointv1.Piece{
			Id:           id,
			Sequence:     uint32(len(frames)),
			Last:         count == len(rows),
			Rows:         toRows(rows[:count]),
			RowsAffected: a.affected,
			Position:     toPosition(a.position),
			Term:         a.term,
			Duplicate:    a.duplicate,
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

// failure always proves that the step had no effect: the member decides about
// every step before it adds an entry to its log.
func failure(id uint64, reason refusal.Reason) *endpointv1.ConnectResponse {
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
