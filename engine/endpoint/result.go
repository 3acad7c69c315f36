package endpoint

import (
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/peer"
)

// bodyOf returns the command that carries the caller's statement.
func bodyOf(request *peer.Run, name string) Command {
	if request.Prepared != nil {
		return Execute{
			ID:        request.ID,
			Name:      name,
			Arguments: request.Text,
			After:     request.After,
		}
	}
	return Forward{
		ID:    request.ID,
		Text:  request.Text,
		After: request.After,
	}
}

// ranFrom translates an endpoint's reply to a statement.
func ranFrom(reply Reply, provesPrimary bool) *peer.Ran {
	if reply.Err != nil {
		return &peer.Ran{
			Refused:  refusedBy(reply.Err),
			Position: reply.Position,
		}
	}
	return &peer.Ran{
		Rows:          reply.Rows,
		Signature:     reply.Signature,
		Position:      reply.Position,
		ProvedPrimary: provesPrimary,
	}
}

// lost answers for a single statement without a whole reply. A read has no effect.
func lost(request *peer.Run, err error) *peer.Ran {
	if request.Write {
		return refused(refusal.NewUnknown(refusal.OutcomeNotKnown, "the endpoint did not answer the write: "+err.Error()))
	}
	return refused(refusal.NewUnknown(refusal.DeadlineExceeded, "the endpoint did not answer the read: "+err.Error()))
}

// answeredBy tells whether the time of a statement says something of the endpoint's
// service time.
func answeredBy(result *peer.Ran) bool {
	return result.Refused == nil
}

func refused(e *refusal.Error) *peer.Ran {
	return &peer.Ran{Refused: e}
}

func refusedError(err error) *peer.Ran {
	if e, ok := refusal.As(err); ok {
		return refused(e)
	}
	return refused(refusal.NewNotRun(refusal.Internal, err.Error()))
}
