package client

import (
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
)

// Outcome says whether a request took effect, as far as that is known.
type Outcome int

// The values of Outcome.
const (
	// Unknown means that the request may have taken effect.
	Unknown Outcome = iota
	// Done means that the request took effect.
	Done
	// NotRun means that the request had no effect and may be retried.
	NotRun
)

// String returns the outcome in camel case.
func (o Outcome) String() string {
	switch o {
	case Done:
		return "done"
	case NotRun:
		return "notRun"
	default:
		return "unknown"
	}
}

// Error describes a failed request. If the response carries no refusal from the
// proxy, for example because the connection was lost, the outcome is unknown and
// the reason is empty.
type Error struct {
	Outcome Outcome
	// Reason is a stable identifier in camel case, such as "rateExceeded".
	Reason string
	// Field is the name of the invalid field or header, if any.
	Field string
	// RetryAfter is the shortest useful delay before a retry; 0 if unknown.
	RetryAfter           time.Duration
	RequestID            string
	ConfigurationVersion uint64

	cause error
}

// Error returns the request ID, the outcome and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("request %s: %s: %v", e.RequestID, e.Outcome, e.cause)
}

// Unwrap returns the cause, which is usually an error of the transport.
func (e *Error) Unwrap() error { return e.cause }

// As returns the first *Error in the chain of err, if there is one.
func As(err error) (*Error, bool) {
	var callErr *Error
	if errors.As(err, &callErr) {
		return callErr, true
	}
	return nil, false
}

// newError returns an *Error for a failed call, or nil if err is nil.
func newError(err error, requestID string) error {
	if err == nil {
		return nil
	}
	callErr := &Error{
		Outcome:   Unknown,
		RequestID: requestID,
		cause:     err,
	}
	var connectErr *connect.Error
	if !errors.As(err, &connectErr) {
		return callErr
	}
	for _, detail := range connectErr.Details() {
		value, err := detail.Value()
		if err != nil {
			continue
		}
		if refusal, ok := value.(*callerv1.Refusal); ok {
			callErr.Outcome = decodeOutcome(refusal.GetOutcome())
			callErr.Reason = refusal.GetReason()
			callErr.Field = refusal.GetField()
			callErr.RetryAfter = refusal.GetRetryAfter().AsDuration()
			callErr.ConfigurationVersion = refusal.GetConfigurationVersion()
		}
	}
	return callErr
}

func decodeOutcome(outcome callerv1.Outcome) Outcome {
	switch outcome {
	case callerv1.Outcome_OUTCOME_DONE:
		return Done
	case callerv1.Outcome_OUTCOME_NOT_RUN:
		return NotRun
	default:
		return Unknown
	}
}
