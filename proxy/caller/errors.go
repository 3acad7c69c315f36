package caller

import (
	"connectrpc.com/connect"

	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/proxy/peer"
)

// toConnect returns the error for the caller, with a Refusal as its detail.
func (c *Caller) toConnect(err error, requestID string, version uint64) error {
	refused, ok := refusal.As(err)
	if !ok {
		refused = refusal.NewUnknown(refusal.Internal, "internal error")
		c.config.Log.Error(err, "caller: internal error", "requestId", requestID)
	}
	c.refused.Mark(1)
	c.count("refusals/" + string(refused.Reason))
	failed, err := peer.NewConnectError(codeOf(refused), refused.Error(), refused, requestID, version)
	if err != nil {
		c.config.Log.Error(err, "caller: refusal not encoded", "requestId", requestID)
	}
	return failed
}

// codeOf returns the code of a refusal. Unavailable makes common clients send the
// request again, so it is given with proof of not run only.
func codeOf(refused *refusal.Error) connect.Code {
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

func invalid(field, message string) *refusal.Error {
	return &refusal.Error{
		Outcome: refusal.NotRun,
		Reason:  refusal.InvalidRequest,
		Message: message,
		Field:   field,
	}
}
