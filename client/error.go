package client

import (
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
)

// Outcome is what is known of a request's effect.
type Outcome int

// The outcomes.
const (
	// Unknown requests may have had an effect.
	Unknown Outcome = iota
	// Done requests had their effect.
	Done
	// NotRun requests had no effect, and may be sent again.
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

// Error is a request that failed. An error that carries no refusal of the system,
// such as a lost connection, has an unknown outcome and no reason.
type Error struct {
	Outcome Outcome
	// Reason is a stable camelCase word such as "rateExceeded".
	Reason string
	// Field names the field or header at fault; empty if none is.
	Field string
	// RetryAfter is the earliest useful time for another try; 0 if unknown.
	RetryAfter           time.Duration
	RequestID            string
	ConfigurationVersion uint64

	cause error
}

// Error returns the reason, the outcome and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("request %s: %s: %v", e.RequestID, e.Outcome, e.cause)
}

// Unwrap returns the error of the transport.
func (e *Error) Unwrap() error { return e.cause }

// As returns the failed request in the chain of err, if there is one.
func As(err error) (*Error, bool) {
	var failed *Error
	if errors.As(err, &failed) {
		return failed, true
	}
	return nil, false
}

// newError returns the typed error of a failed call, or nil.
func newError(err error, requestID string) error {
	if err == nil {
		return nil
	}
	typed := &Error{
		Outcome:   Unknown,
		RequestID: requestID,
		cause:     err,
	}
	var failed *connect.Error
	if !errors.As(err, &failed) {
		return typed
	}
	for _, detail := range failed.Details() {
		value, err := detail.Value()
		if err != nil {
			continue
		}
		if refused, ok := value.(*callerv1.Refusal); ok {
			typed.Outcome = decodeOutcome(refused.GetOutcome())
			typed.Reason = refused.GetReason()
			typed.Field = refused.GetField()
			typed.RetryAfter = refused.GetRetryAfter().AsDuration()
			typed.ConfigurationVersion = refused.GetConfigurationVersion()
		}
	}
	return typed
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
