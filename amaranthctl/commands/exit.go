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
	exitDone           = 0
	exitFailed         = 1
	exitUsage          = 2
	exitConflict       = 3
	exitNotOnAllVMs    = 4
	exitOutcomeUnknown = 5
)

// exitError is an error with its exit code.
type exitError struct {
	code int
	err  error
}

// Error returns the message of the cause.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

func withExitCode(code int, err error) error {
	return &exitError{
		code: code,
		err:  err,
	}
}

func exitCodeOf(err error) int {
	var coded *exitError
	if errors.As(err, &coded) {
		return coded.code
	}
	return exitFailed
}

// refusalOf returns the Refusal detail of an error, or nil.
func refusalOf(err error) *callerv1.Refusal {
	var connectErr *connect.Error
	if !errors.As(err, &connectErr) {
		return nil
	}
	for _, detail := range connectErr.Details() {
		value, err := detail.Value()
		if err != nil {
			continue
		}
		if refusal, ok := value.(*callerv1.Refusal); ok {
			return refusal
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

// isDialError reports whether the connection could not be opened, so that nothing
// was sent.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}
