package platform

import (
	"fmt"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
)

// ErrStaleList is returned for a VM list that is older than one received before.
var ErrStaleList = eris.New("platform: the VM list is older than the last one")

// OutcomeUnknownError is returned for a write without an answer. The write may
// have happened or may still happen; the caller has to read the key back.
type OutcomeUnknownError struct {
	Key   string
	Cause error
}

// Error names the key and the cause.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("platform: the outcome of the write of %q is unknown: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error {
	return e.Cause
}

// rejected tells whether the service answered that it did not run the call.
func rejected(err error) bool {
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
