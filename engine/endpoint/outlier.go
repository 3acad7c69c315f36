package endpoint

import (
	"errors"
	"os"
	"time"

	"amaranthdock.dev/decision/outlier"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/peer"
)

const (
	// minEvidenceTimeout is the timeout below which a missing reply says nothing about the
	// endpoint, because the statement had little time left.
	minEvidenceTimeout = 200 * time.Millisecond
	// failingReportInterval is the least time between two reports of a failing primary.
	failingReportInterval = 500 * time.Millisecond
)

// observeReplies tells the outlier detector the outcomes of the callers' statements among the
// commands.
func (e *endpointClient) observeReplies(workspace string, timeout time.Duration, commands []Command, replies []Reply, err error) {
	for i, command := range commands {
		if !isCallerStatement(command) {
			continue
		}
		var reply Reply
		if err == nil {
			reply = replies[i]
		}
		if err == nil && reply.Err != nil && reply.Err.Code == Busy {
			e.recordRejection(workspace)
		} else if outcome, ok := outcomeOf(timeout, reply, err); ok {
			e.recordOutcome(workspace, outcome)
		}
	}
}

func isCallerStatement(command Command) bool {
	switch command.(type) {
	case Forward, Execute, Commit:
		return true
	default:
		return false
	}
}

// outcomeOf classifies the reply to a statement; false if it says nothing about the endpoint, or if
// it is a busy reply, on which recordRejection decides.
func outcomeOf(timeout time.Duration, reply Reply, err error) (outlier.Outcome, bool) {
	switch {
	case errors.Is(err, errEndedHere):
		return 0, false
	case err != nil:
		return outlier.NoResponse, timeout >= minEvidenceTimeout || !errors.Is(err, os.ErrDeadlineExceeded)
	case reply.Err == nil:
		return outlier.Succeeded, true
	case reply.Err.Code == ExecutionFailed:
		return outlier.Failed, true
	default:
		return 0, false
	}
}

// recordOutcome records the outcome of a statement, and reports a primary that fails too many.
func (e *endpointClient) recordOutcome(workspace string, outcome outlier.Outcome) {
	now := e.config.Timer.SinceBoot()
	e.mu.Lock()
	changed := e.detector.Record(now, workspace, outcome)
	state := e.detector.State()
	reportDue := e.detector.ShouldReplacePrimary(now) && now-e.failingReportAt >= failingReportInterval
	if reportDue {
		e.failingReportAt = now
	}
	e.mu.Unlock()
	if changed {
		e.logState(state)
	}
	if reportDue && e.config.ReportFailing != nil {
		e.config.ReportFailing(e.target)
	}
}

func (e *endpointClient) logState(state outlier.State) {
	switch s := state.(type) {
	case outlier.Ejected:
		e.config.Metrics.ejections.Inc(1)
		e.config.Log.Info("The endpoint fails a part of its statements; reads run elsewhere.", "endpoint", e.target.Key.ID,
			"database", e.target.Database)
	case outlier.Recovering:
		e.config.Log.V(1).Info("The endpoint recovers.", "endpoint", e.target.Key.ID, "database", e.target.Database, "share", s.Share)
	case outlier.Healthy:
		e.config.Log.Info("The endpoint serves its statements again.", "endpoint", e.target.Key.ID, "database", e.target.Database)
	}
}

// admitRead refuses a statement that may run at another endpoint while this one fails a part of
// its statements, except for probes.
func (e *endpointClient) admitRead(request *peer.RunRequest) *refusal.Error {
	if !request.Alternatives {
		return nil
	}
	e.advanceDetector()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.detector.Admit(e.config.Timer.SinceBoot()) {
		return nil
	}
	return refusal.NewNotRun(refusal.EndpointEjected, "the endpoint fails a part of its statements; another one can run this statement")
}

// isEjected reports whether reads should avoid the endpoint.
func (e *endpointClient) isEjected() bool {
	_, ejected := e.advanceDetector().(outlier.Ejected)
	return ejected
}

// advanceDetector brings the detector's state up to date, logs a change and returns the state.
func (e *endpointClient) advanceDetector() outlier.State {
	e.mu.Lock()
	changed := e.detector.Advance(e.config.Timer.SinceBoot())
	state := e.detector.State()
	e.mu.Unlock()
	if changed {
		e.logState(state)
	}
	return state
}

// ServesWell reports whether an endpoint of which this VM is the home has served statements
// recently without being ejected.
func (h *Home) ServesWell(target catalog.Endpoint) bool {
	h.mu.Lock()
	client, ok := h.clients[target.Key]
	h.mu.Unlock()
	if !ok {
		return false
	}
	client.mu.Lock()
	defer client.mu.Unlock()
	return client.detector.ServesWell(client.config.Timer.SinceBoot())
}
