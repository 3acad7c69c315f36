package endpoint

import (
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/peer"
)

// bodyOf returns the command that carries the caller's statement.
func bodyOf(request *peer.RunRequest, name string) Command {
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
func ranFrom(reply Reply, provesPrimary bool) *peer.RunResponse {
	if reply.Err != nil {
		return &peer.RunResponse{
			Refused:  refusedBy(reply.Err),
			Position: reply.Position,
		}
	}
	return &peer.RunResponse{
		Rows:          reply.Rows,
		Signature:     reply.Signature,
		Position:      reply.Position,
		ProvedPrimary: provesPrimary,
	}
}

// lost answers for a single statement without a whole reply. A read has no effect.
func lost(request *peer.RunRequest, err error) *peer.RunResponse {
	if request.Write {
		return refused(refusal.NewUnknown(refusal.OutcomeNotKnown, "the endpoint did not answer the write: "+err.Error()))
	}
	return refused(refusal.NewUnknown(refusal.DeadlineExceeded, "the endpoint did not answer the read: "+err.Error()))
}

// answeredBy tells whether the time of a statement says something of the endpoint's
// service time.
func answeredBy(result *peer.RunResponse) bool {
	return result.Refused == nil
}

func refused(e *refusal.Error) *peer.RunResponse {
	return &peer.RunResponse{Refused: e}
}

func refusedError(err error) *peer.RunResponse {
	if e, ok := refusal.As(err); ok {
		return refused(e)
	}
	return refused(refusal.NewNotRun(refusal.Internal, err.Error()))
}
