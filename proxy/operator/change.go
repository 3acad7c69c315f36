package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"

	operatorv1 "amaranthdock.dev/api/amaranthdock/operator/v1"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/declaration"
	"amaranthdock.dev/timer"
)

const (
	// changeTimeout is the timeout of a change. A shorter deadline of the caller
	// takes precedence.
	changeTimeout = 10 * time.Second
	// changeRetryInterval is the delay between two attempts at a change.
	changeRetryInterval = 100 * time.Millisecond
	// maxStaleReads is the number of stale reads with which a change fails. A read
	// counts as stale if its version is lower than the expected one, or equal to it
	// but lower than that of this VM's snapshot. Earlier stale reads are retried.
	maxStaleReads = 3
	// maxTextLength is the maximum length of a change's id, author and summary, in
	// bytes.
	maxTextLength = 256
)

// ChangeConfiguration replaces the document in the store if it has the expected
// version. If the store does not respond to a write, the outcome is determined by
// looking for the change id in the stored document.
func (o *Operator) ChangeConfiguration(ctx context.Context, r *operatorv1.ChangeConfigurationRequest) (*operatorv1.ChangeConfigurationResponse, error) {
	document, refused := checkChange(r)
	if refused != nil {
		return nil, o.refusalError(connect.CodeInvalidArgument, refused)
	}
	callCtx, cancel := timer.WithTimeout(ctx, o.config.Timer, changeTimeout)
	defer cancel()
	c := &change{
		operator: o,
		request:  r,
		document: document,
	}
	for {
		response, err := c.attempt(callCtx)
		if response != nil || err != nil {
			return response, err
		}
		if err := timer.Sleep(callCtx, o.config.Timer, changeRetryInterval); err != nil {
			return nil, c.timeoutError()
		}
	}
}

// change is the state of a ChangeConfiguration call across its attempts.
type change struct {
	operator *Operator
	request  *operatorv1.ChangeConfigurationRequest
	document *declaration.Document
	// maybeApplied is set once a write has been sent whose outcome is unknown.
	maybeApplied bool
	staleReads   int
	// lastErr is the last error of the store.
	lastErr error
}

// attempt reads the document from the store and replaces it. It returns neither a
// response nor an error if a retry may succeed.
func (c *change) attempt(ctx context.Context) (*operatorv1.ChangeConfigurationResponse, error) {
	current, err := c.operator.readStored(ctx)
	if err != nil {
		c.lastErr = err
		return nil, nil
	}
	if accepted, found := declaration.FindChange(current.document, c.request.GetChangeId()); found {
		return c.acceptedResponse(accepted.Version, !c.maybeApplied), nil
	}
	expected := c.request.GetExpectedVersion()
	version := current.document.Version
	// Versions never decrease, so a version lower than that of this VM's snapshot is
	// a stale read.
	if version < expected || version < c.operator.currentVersion() && version == expected {
		c.staleReads++
		if c.staleReads < maxStaleReads {
			return nil, nil
		}
		if version < c.operator.currentVersion() {
			return nil, c.storeBehindError(version)
		}
		return nil, c.conflictError(current.document)
	}
	if version > expected {
		return nil, c.conflictError(current.document)
	}
	return c.swap(ctx, current)
}

// swap writes the new document, provided that the store still has the current one.
// Like attempt, it returns neither a response nor an error if a retry may succeed.
func (c *change) swap(ctx context.Context, current storedDocument) (*operatorv1.ChangeConfigurationResponse, error) {
	version := current.document.Version + 1
	c.document.Changes = current.document.Changes
	declaration.AppendChange(c.document, declaration.Change{
		ID:      c.request.GetChangeId(),
		Version: version,
		Author:  c.request.GetAuthor(),
		Summary: c.request.GetSummary(),
	})
	value, err := declaration.Encode(c.document)
	if err != nil {
		return nil, c.operator.refusalError(connect.CodeInvalidArgument, &refusal.Error{
			Outcome: refusal.NotRun,
			Reason:  refusal.InvalidRequest,
			Message: err.Error(),
			Field:   "document",
		})
	}
	_, swapped, err := c.operator.config.Store.CompareAndSwap(ctx, ConfigurationKey, value, current.revision)
	if err != nil {
		c.maybeApplied = c.maybeApplied || !refusal.IsNotRun(err)
		c.lastErr = err
		return nil, nil
	}
	if swapped {
		return c.acceptedResponse(version, false), nil
	}
	return nil, nil
}

// acceptedResponse logs an accepted change, counts it unless it is repeated, and returns
// its response. A change is repeated if an earlier call had already made it.
func (c *change) acceptedResponse(version uint64, repeated bool) *operatorv1.ChangeConfigurationResponse {
	if !repeated {
		c.operator.changes.Inc(1)
	}
	c.operator.logger.Info("Configuration changed.", "version", version, "change", c.request.GetChangeId(),
		"author", c.request.GetAuthor(), "summary", c.request.GetSummary(), "repeated", repeated)
	return &operatorv1.ChangeConfigurationResponse{
		Version:  version,
		Repeated: repeated,
	}
}

// storeBehindError returns the refusal for a store that keeps returning an older
// version than this VM has. This is not a conflict, because the caller's change may
// still be accepted through another VM.
func (c *change) storeBehindError(version uint64) error {
	outcome := refusal.NotRun
	if c.maybeApplied {
		outcome = refusal.Unknown
	}
	return c.operator.refusalError(connect.CodeUnavailable, &refusal.Error{
		Outcome:    outcome,
		Reason:     refusal.NotReady,
		Message:    fmt.Sprintf("the store returns version %d, this VM has version %d", version, c.operator.currentVersion()),
		RetryAfter: changeRetryInterval,
	})
}

// conflictError returns the refusal for a version other than the expected one. Its
// message names the change that was accepted instead of the caller's. If the document
// still lists that change, the caller's change was not and will not be accepted,
// because a write that is still in flight expects a revision that has passed. If the
// document no longer lists it, after too many later changes, the outcome is unknown.
func (c *change) conflictError(current *declaration.Document) error {
	c.operator.conflicts.Inc(1)
	expected := c.request.GetExpectedVersion()
	message := fmt.Sprintf("version %d was expected, the configuration has version %d", expected, current.Version)
	outcome := refusal.Unknown
	if current.Version <= expected && !c.maybeApplied {
		outcome = refusal.NotRun
	}
	for _, other := range current.Changes {
		if other.Version <= expected {
			continue
		}
		message += fmt.Sprintf("; version %d is by %s: %s (change %s)", other.Version, other.Author, other.Summary, other.ID)
		if other.Version == expected+1 {
			outcome = refusal.NotRun
		}
		break
	}
	return c.operator.refusalError(connect.CodeAborted, &refusal.Error{
		Outcome: outcome,
		Reason:  refusal.VersionConflict,
		Message: message,
		Field:   "expectedVersion",
	})
}

// timeoutError returns the refusal for a change whose deadline has passed.
func (c *change) timeoutError() error {
	message := "the store did not accept the change before the deadline"
	if c.lastErr != nil {
		message += ": " + c.lastErr.Error()
	}
	if !c.maybeApplied {
		return c.operator.refusalError(connect.CodeUnavailable, refusal.NewNotRun(refusal.Unreachable, message))
	}
	c.operator.unknownChanges.Inc(1)
	return c.operator.refusalError(connect.CodeDeadlineExceeded, refusal.NewUnknown(refusal.DeadlineExceeded,
		message+"; repeat it with the same change id to learn its outcome"))
}

// checkChange decodes and validates the document of a request.
func checkChange(r *operatorv1.ChangeConfigurationRequest) (*declaration.Document, *refusal.Error) {
	invalid := func(field, message string) *refusal.Error {
		return &refusal.Error{
			Outcome: refusal.NotRun,
			Reason:  refusal.InvalidRequest,
			Message: message,
			Field:   field,
		}
	}
	if r.GetChangeId() == "" || len(r.GetChangeId()) > maxTextLength {
		return nil, invalid("changeId", fmt.Sprintf("the change id must have 1 to %d bytes", maxTextLength))
	}
	if len(r.GetAuthor()) > maxTextLength || len(r.GetSummary()) > maxTextLength {
		return nil, invalid("author", fmt.Sprintf("author and summary must have at most %d bytes", maxTextLength))
	}
	document := &declaration.Document{}
	decoder := json.NewDecoder(bytes.NewReader(r.GetDocument()))
	// Unknown fields are rejected, because they would be lost when the document is
	// written to the store.
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(document); err != nil {
		return nil, invalid("document", "the document is not valid JSON: "+err.Error())
	}
	if err := declaration.Validate(document); err != nil {
		field := "document"
		var problems declaration.ValidationError
		if errors.As(err, &problems) {
			field += "." + problems[0].Field
		}
		return nil, invalid(field, err.Error())
	}
	return document, nil
}
