// Package refusal defines the typed error that components return to each other and to
// callers when a request does not succeed.
package refusal

import (
	"errors"
	"fmt"
	"time"
)

// Outcome is what is known about the effect of a request.
type Outcome int

// The outcomes. NotRun is only used with proof that the request had no effect.
const (
	Done Outcome = iota + 1
	NotRun
	Unknown
)

// String returns the outcome in camel case.
func (o Outcome) String() string {
	switch o {
	case Done:
		return "done"
	case NotRun:
		return "notRun"
	case Unknown:
		return "unknown"
	default:
		return "unspecified"
	}
}

// Reason is a stable camelCase identifier of the cause of a refusal.
type Reason string

// The reasons.
const (
	AccessMismatch      Reason = "accessMismatch"
	ConfigurationStale  Reason = "configurationStale"
	ConnectionLost      Reason = "connectionLost"
	DataCentreEvacuated Reason = "dataCentreEvacuated"
	DeadlineExceeded    Reason = "deadlineExceeded"
	DeadlineTooShort    Reason = "deadlineTooShort"
	EndpointEjected     Reason = "endpointEjected"
	EndpointLeaving     Reason = "endpointLeaving"
	Internal            Reason = "internal"
	InvalidRequest      Reason = "invalidRequest"
	KeyUnknown          Reason = "keyUnknown"
	KeyRevoked          Reason = "keyRevoked"
	NoPrimary           Reason = "noPrimary"
	NotAllowed          Reason = "notAllowed"
	NotHome             Reason = "notHome"
	NotPrimary          Reason = "notPrimary"
	NotReady            Reason = "notReady"
	OutcomeNotKnown     Reason = "outcomeNotKnown"
	Overloaded          Reason = "overloaded"
	QueueTimeout        Reason = "queueTimeout"
	RateExceeded        Reason = "rateExceeded"
	RegionNotAllowed    Reason = "regionNotAllowed"
	ReplicaBehind       Reason = "replicaBehind"
	ReplicationStalled  Reason = "replicationStalled"
	SessionTokenInvalid Reason = "sessionTokenInvalid"
	StatementFailed     Reason = "statementFailed"
	TransactionConflict Reason = "transactionConflict"
	TransactionUnknown  Reason = "transactionUnknown"
	Unreachable         Reason = "unreachable"
	VersionConflict     Reason = "versionConflict"
)

// Error is a refusal: what is known about the effect of the request, and the reason.
type Error struct {
	Outcome Outcome
	Reason  Reason
	// Message is a short, human-readable description.
	Message string
	// Field names the invalid field or header; empty if there is none.
	Field string
	// RetryAfter is the delay after which a retry can succeed; 0 if unknown.
	RetryAfter time.Duration
}

// Error returns the reason, the outcome and the message as one text.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Reason, e.Outcome, e.Message)
}

// As returns the first refusal in the error chain of err, if there is one.
func As(err error) (*Error, bool) {
	var refused *Error
	if errors.As(err, &refused) {
		return refused, true
	}
	return nil, false
}

// IsNotRun reports whether err contains proof that the request had no effect.
func IsNotRun(err error) bool {
	refused, ok := As(err)
	return ok && refused.Outcome == NotRun
}

// NewNotRun returns a refusal of a request that is proven to have had no effect.
func NewNotRun(reason Reason, message string) *Error {
	return &Error{
		Outcome: NotRun,
		Reason:  reason,
		Message: message,
	}
}

// NewUnknown returns a refusal of a request that may or may not have had an effect.
func NewUnknown(reason Reason, message string) *Error {
	return &Error{
		Outcome: Unknown,
		Reason:  reason,
		Message: message,
	}
}
