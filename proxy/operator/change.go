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
	// changeTimeout bounds a change whose caller gave no deadline.
	changeTimeout = 10 * time.Second
	// changeRetryInterval is the wait after a call of the store that failed.
	changeRetryInterval = 100 * time.Millisecond
	// maxStaleReads is how many reads below the expected version are taken for
	// stale ones before the expected version is taken for wrong.
	maxStaleReads = 3
	// maxTextLength of a change's id, author and summary in bytes.
	maxTextLength = 256
)

// ChangeConfiguration swaps the document if its version is the expected one. An
// answer of the store that is lost is resolved by looking for the change id in
// the document.
func (o *Operator) ChangeConfiguration(ctx context.Context, r *operatorv1.ChangeConfigurationRequest) (*operatorv1.ChangeConfigurationResponse, error) {
	document, refused := checkChange(r)
	if refused != nil {
		return nil, o.fail(connect.CodeInvalidArgument, refused)
	}
	limited, cancel := timer.WithTimeout(ctx, o.config.Timer, changeTimeout)
	defer cancel()
	c := &change{
		operator: o,
		request:  r,
		document: document,
	}
	for {
		response, err := c.try(limited)
		if response != nil || err != nil {
			return response, err
		}
		if err := timer.Sleep(limited, o.config.Timer, changeRetryInterval); err != nil {
			return nil, c.end()
		}
	}
}

// change is one ChangeConfiguration call over its tries.
type change struct {
	operator *Operator
	request  *operatorv1.ChangeConfigurationRequest
	document *declaration.Document
	// sent is set once a swap was sent whose effect is not known.
	sent       bool
	staleReads int
	// last is the latest failure of the store.
	last error
}

// try reads the document and swaps it. It returns neither a response nor an error
// if another try may succeed.
func (c *change) try(ctx context.Context) (*operatorv1.ChangeConfigurationResponse, error) {
	current, err := c.operator.read(ctx)
	if err != nil {
		c.last = err
		return nil, nil
	}
	if accepted, found := declaration.FindChange(current.document, c.request.GetChangeId()); found {
		return c.accept(accepted.Version, !c.sent), nil
	}
	expected := c.request.GetExpectedVersion()
	version := current.document.Version
	// A read below what is known is stale: versions never fall.
	if version < expected || version < c.operator.currentVersion() && version == expected {
		c.staleReads++
		if c.staleReads < maxStaleReads {
			return nil, nil
		}
		if version < c.operator.currentVersion() {
			return nil, c.behind(version)
		}
		return nil, c.conflict(current.document)
	}
	if version > expected {
		return nil, c.conflict(current.document)
	}
	return c.swap(ctx, current)
}

func (c *change) swap(ctx context.Context, current stored) (*operatorv1.ChangeConfigurationResponse, error) {
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
		return nil, c.operator.fail(connect.CodeInvalidArgument, &refusal.Error{
			Outcome: refusal.NotRun,
			Reason:  refusal.InvalidRequest,
			Message: err.Error(),
			Field:   "document",
		})
	}
	_, swapped, err := c.operator.config.Store.CompareAndSwap(ctx, ConfigurationKey, value, current.revision)
	if err != nil {
		c.sent = c.sent || !refusal.IsNotRun(err)
		c.last = err
		return nil, nil
	}
	if swapped {
		return c.accept(version, false), nil
	}
	return nil, nil
}

func (c *change) accept(version uint64, repeated bool) *operatorv1.ChangeConfigurationResponse {
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

// behind reports a store that keeps returning an older version than this VM has.
// That is no conflict: the caller's change may yet be accepted elsewhere.
func (c *change) behind(version uint64) error {
	outcome := refusal.NotRun
	if c.sent {
		outcome = refusal.Unknown
	}
	return c.operator.fail(connect.CodeUnavailable, &refusal.Error{
		Outcome:    outcome,
		Reason:     refusal.NotReady,
		Message:    fmt.Sprintf("the store returns version %d, this VM has version %d", version, c.operator.currentVersion()),
		RetryAfter: changeRetryInterval,
	})
}

// conflict names the change that was accepted in place of the caller's. That one
// is proof that the caller's change was not and will not be accepted, because a
// swap that is still on its way expects a revision that has passed. Without it,
// e.g. after more changes than the document lists, the outcome is unknown.
func (c *change) conflict(current *declaration.Document) error {
	c.operator.conflicts.Inc(1)
	expected := c.request.GetExpectedVersion()
	message := fmt.Sprintf("version %d was expected, the configuration has version %d", expected, current.Version)
	outcome := refusal.Unknown
	if current.Version <= expected && !c.sent {
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
	return c.operator.fail(connect.CodeAborted, &refusal.Error{
		Outcome: outcome,
		Reason:  refusal.VersionConflict,
		Message: message,
		Field:   "expectedVersion",
	})
}

// end reports a change whose deadline has passed.
func (c *change) end() error {
	message := "the store did not accept the change before the deadline"
	if c.last != nil {
		message += ": " + c.last.Error()
	}
	if !c.sent {
		return c.operator.fail(connect.CodeUnavailable, refusal.NewNotRun(refusal.Unreachable, message))
	}
	c.operator.unknowns.Inc(1)
	return c.operator.fail(connect.CodeDeadlineExceeded, refusal.NewUnknown(refusal.DeadlineExceeded,
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
	// A field that this version does not know would be lost in the store.
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
