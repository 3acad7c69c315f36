package endpoint

import (
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/peer"
)

// statementCommand returns the command that runs the caller's statement. The name is
// that of the prepared statement, if there is one.
func statementCommand(request *peer.RunRequest, name string) Command {
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

// resultFromReply converts an endpoint's reply to a statement.
func resultFromReply(reply Reply, provesPrimary bool) *peer.RunResponse {
	if reply.Err != nil {
		return &peer.RunResponse{
			Refused:  refusalFromReply(reply.Err),
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

// refusalFromReply converts an endpoint's error reply to a refusal.
func refusalFromReply(e *ReplyError) *refusal.Error {
	outcome := refusal.Unknown
	if e.NotRun() {
		outcome = refusal.NotRun
	}
	reason := refusal.StatementFailed
	switch e.Code {
	case Busy, TooManyConnections:
		reason = refusal.Overloaded
	case ReplicaBehind:
		reason = refusal.ReplicaBehind
	case NotPrimary:
		reason = refusal.NotPrimary
	case WrongEndpoint:
		reason = refusal.Unreachable
	case Aborted:
		outcome = refusal.NotRun
		reason = refusal.TransactionConflict
	case InvalidCommand, UnknownPreparedName:
		reason = refusal.InvalidRequest
	case ExecutionTimeout:
		reason = refusal.DeadlineExceeded
	case UnknownCode, ExecutionFailed:
	}
	return &refusal.Error{
		Outcome: outcome,
		Reason:  reason,
		Message: e.Text,
	}
}

// noReplyResult returns the result of a statement outside of a transaction for which no
// complete reply arrived. A write may have taken effect.
func noReplyResult(request *peer.RunRequest, err error) *peer.RunResponse {
	if request.Write {
		return refusedResult(refusal.NewUnknown(refusal.OutcomeNotKnown, "the endpoint did not respond to the write: "+err.Error()))
	}
	return refusedResult(refusal.NewUnknown(refusal.DeadlineExceeded, "the endpoint did not respond to the read: "+err.Error()))
}

// measuresServiceTime reports whether the duration of a statement counts as a
// measurement of the endpoint's service time.
func measuresServiceTime(result *peer.RunResponse) bool {
	return result.Refused == nil
}

func refusedResult(e *refusal.Error) *peer.RunResponse {
	return &peer.RunResponse{Refused: e}
}

// notRunResult returns the result of a statement that was not run, because the endpoint refused
// the begin of its transaction.
func notRunResult(e *ReplyError) *peer.RunResponse {
	refused := refusalFromReply(e)
	refused.Outcome = refusal.NotRun
	return refusedResult(refused)
}

// errorResult returns a result with the refusal in err, or an internal error.
func errorResult(err error) *peer.RunResponse {
	if e, ok := refusal.As(err); ok {
		return refusedResult(e)
	}
	return refusedResult(refusal.NewNotRun(refusal.Internal, err.Error()))
}
