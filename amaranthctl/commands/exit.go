package commands

import (
	"errors"
	"net"

	"connectrpc.com/connect"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
	"amaranthdock.dev/decision/refusal"
)

// The exit codes of the program.
const (
	exitDone          = 0
	exitFailed        = 1
	exitUsage         = 2
	exitConflict      = 3
	exitNotEverywhere = 4
	exitUnknown       = 5
)

// codedError is an error with the exit code that it causes.
type codedError struct {
	code int
	err  error
}

// Error returns the message of the cause.
func (e *codedError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *codedError) Unwrap() error { return e.err }

func withCode(code int, err error) error {
	return &codedError{
		code: code,
		err:  err,
	}
}

func codeOf(err error) int {
	var coded *codedError
	if errors.As(err, &coded) {
		return coded.code
	}
	return exitFailed
}

// refusalOf returns the Refusal detail of an error, or nil.
func refusalOf(err error) *callerv1.Refusal {
	var failure *connect.Error
	if !errors.As(err, &failure) {
		return nil
	}
	for _, detail := range failure.Details() {
		value, err := detail.Value()
		if err != nil {
			continue
		}
		if refused, ok := value.(*callerv1.Refusal); ok {
			return refused
		}
	}
	return nil
}

func isConflict(err error) bool {
	return refusalOf(err).GetReason() == string(refusal.VersionConflict)
}

func isNotRun(err error) bool {
	return refusalOf(err).GetOutcome() == callerv1.Outcome_OUTCOME_NOT_RUN
}

// notSent tells whether the connection failed before anything was sent.
func notSent(err error) bool {
	var failure *net.OpError
	return errors.As(err, &failure) && failure.Op == "dial"
}
