package platform

import (
	"fmt"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
)

// ErrStaleList is returned if the platform's service returns a VM list that is older
// than one received before.
var ErrStaleList = eris.New("platform: the VM list is older than one received before")

// OutcomeUnknownError is returned for a write without a response. The write may have
// taken effect or may still do so. The caller has to read the key to learn the
// outcome.
type OutcomeUnknownError struct {
	Key   string
	Cause error
}

// Error returns a message with the key and the cause.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("platform: the outcome of the write of %q is unknown: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error {
	return e.Cause
}

// isRejected reports whether an error is a response of the service that proves that the
// call was not run.
func isRejected(err error) bool {
	if !connect.IsWireError(err) {
		return false
	}
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeUnauthenticated,
		connect.CodePermissionDenied, connect.CodeUnimplemented,
		connect.CodeResourceExhausted, connect.CodeFailedPrecondition:
		return true
	default:
		return false
	}
}
