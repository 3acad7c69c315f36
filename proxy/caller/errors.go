package caller

import (
	"connectrpc.com/connect"

	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/proxy/peer"
)

// callerError converts an error to the error for the caller, with a Refusal as its
// detail.
func (c *Caller) callerError(err error, requestID string, version uint64) error {
	refused, ok := refusal.As(err)
	if !ok {
		refused = refusal.NewUnknown(refusal.Internal, "internal error")
		c.config.Log.Error(err, "caller: internal error", "requestId", requestID)
	}
	c.refusals.Mark(1)
	c.count("refusals/" + string(refused.Reason))
	failed, err := peer.NewConnectError(connectCode(refused), refused.Error(), refused, requestID, version)
	if err != nil {
		c.config.Log.Error(err, "caller: could not encode a refusal", "requestId", requestID)
	}
	return failed
}

// connectCode returns the Connect code of a refusal. Common clients retry a request
// after CodeUnavailable, so it is used only if the request certainly was not run.
func connectCode(refused *refusal.Error) connect.Code {
	switch refused.Reason {
	case refusal.InvalidRequest, refusal.SessionTokenInvalid, refusal.AccessMismatch:
		return connect.CodeInvalidArgument
	case refusal.KeyUnknown, refusal.KeyRevoked:
		return connect.CodeUnauthenticated
	case refusal.NotAllowed:
		return connect.CodePermissionDenied
	case refusal.RateExceeded, refusal.Overloaded, refusal.QueueTimeout:
		return connect.CodeResourceExhausted
	case refusal.DeadlineExceeded, refusal.DeadlineTooShort:
		return connect.CodeDeadlineExceeded
	case refusal.StatementFailed:
		return connect.CodeFailedPrecondition
	case refusal.TransactionConflict, refusal.VersionConflict:
		return connect.CodeAborted
	case refusal.TransactionUnknown:
		return connect.CodeNotFound
	case refusal.Internal:
		return connect.CodeInternal
	}
	if refused.Outcome == refusal.NotRun {
		return connect.CodeUnavailable
	}
	return connect.CodeUnknown
}

// invalidRequest returns the refusal of a request with an invalid field.
func invalidRequest(field, message string) *refusal.Error {
	return &refusal.Error{
		Outcome: refusal.NotRun,
		Reason:  refusal.InvalidRequest,
		Message: message,
		Field:   field,
	}
}
