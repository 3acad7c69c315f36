package endpoint

import (
	"context"
	"time"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
	endpointv1 "amaranthdock.dev/api/amaranthdock/endpoint/v1"
	peerv1 "amaranthdock.dev/api/amaranthdock/peer/v1"
	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/decision/scheduling"
	"amaranthdock.dev/declaration"
	"amaranthdock.dev/proxy/peer"
)

// stalledRetryAfter equals the replication stall timeout; an earlier retry would be
// refused as well.
const stalledRetryAfter = time.Second

// step is a forwarded request with the state that its decisions are based on.
type step struct {
	*peerv1.ForwardRequest
	deadline time.Time
	client   *endpointClient
	snapshot *declaration.Snapshot
}

// execute runs a step and returns its result and rows.
func (h *Home) execute(ctx context.Context, request *peerv1.ForwardRequest) (*peerv1.ForwardResult, []*callerv1.Row, error) {
	s, err := h.newStep(request)
	if err != nil {
		return nil, nil, err
	}
	if request.GetTransactionId() != "" {
		return h.continueTransaction(ctx, s)
	}
	if err := s.checkDatabase(); err != nil {
		return nil, nil, err
	}
	client, release, err := h.acquireClient(s.snapshot, request.GetEndpoint())
	if err != nil {
		return nil, nil, err
	}
	defer release()
	s.client = client
	switch {
	case request.GetLookUpOutcome():
		return h.lookUpOutcome(ctx, s)
	case request.GetVerb() == endpointv1.Verb_VERB_BEGIN:
		return h.begin(ctx, s)
	case request.GetVerb() != endpointv1.Verb_VERB_EXECUTE:
		return nil, nil, refusal.NewNotRun(refusal.TransactionUnknown, "the step requires a transaction id")
	case request.GetAccess() == callerv1.Access_ACCESS_READ:
		return h.read(ctx, s)
	case request.GetAccess() == callerv1.Access_ACCESS_WRITE:
		return h.write(ctx, s)
	default:
		return nil, nil, refusal.NewNotRun(refusal.InvalidRequest, "the access mode is missing")
	}
}

// newStep returns the step of a request, or a refusal if there is no configuration.
func (h *Home) newStep(request *peerv1.ForwardRequest) (*step, error) {
	snapshot := h.config.Configuration.Current()
	if snapshot == nil {
		return nil, refusal.NewNotRun(refusal.NotReady, "the home has no configuration yet")
	}
	return &step{
		ForwardRequest: request,
		deadline:       h.config.Timer.Now().Add(request.GetTimeout().AsDuration()),
		snapshot:       snapshot,
	}, nil
}

// checkDatabase returns a refusal if the endpoint belongs to another database.
func (s *step) checkDatabase() error {
	database, ok := s.snapshot.DatabaseOf(s.GetEndpoint())
	if ok && database.Name != s.GetDatabase() {
		return refusal.NewNotRun(refusal.InvalidRequest, "the endpoint belongs to another database")
	}
	return nil
}

// write runs a write at the primary and waits until it is durable. The slot and the
// connection are released before this wait.
func (h *Home) write(ctx context.Context, s *step) (*peerv1.ForwardResult, []*callerv1.Row, error) {
	if _, err := h.writableTerm(s); err != nil {
		return nil, nil, err
	}
	var (
		resp response
		term uint64
	)
	err := s.client.submit(ctx, h.queueItem(s), h.writeCheck(s), func() error {
		var err error
		if term, err = h.writableTerm(s); err != nil {
			return err
		}
		resp, err = s.client.pool.runAndPut(ctx, s.runMessage(term))
		return err
	})
	if err != nil {
		return h.resolveOutcome(ctx, s, term, err)
	}
	if err := h.waitDurable(ctx, s, resp.position); err != nil {
		return h.resolveOutcome(ctx, s, resp.position.Term, err)
	}
	return &peerv1.ForwardResult{
		Outcome:      callerv1.Outcome_OUTCOME_DONE,
		RowsAffected: resp.rowsAffected,
		Position:     peer.EncodePosition(resp.position),
	}, resp.rows, nil
}

// writeCheck returns a function that checks whether a queued write may still run.
func (h *Home) writeCheck(s *step) func() error {
	return func() error {
		_, err := h.writableTerm(s)
		return err
	}
}

// writableTerm returns the term in which the endpoint currently accepts writes.
func (h *Home) writableTerm(s *step) (uint64, error) {
	view, ok := h.config.Observer.View(s.GetDatabase())
	if !ok || view.Primary == "" {
		return 0, refusal.NewNotRun(refusal.NoPrimary, "the database has no known primary")
	}
	// A required position with a later term means that there is a newer primary.
	if view.Primary != s.GetEndpoint() || s.GetRequired().GetTerm() > view.Term {
		return 0, refusal.NewNotRun(refusal.NotPrimary, "the endpoint is not the primary")
	}
	if declared, ok := s.snapshot.Endpoint(s.GetEndpoint()); ok && declared.Leaving {
		return 0, refusal.NewNotRun(refusal.EndpointLeaving, "the endpoint is leaving")
	}
	if !h.config.Observer.WritesHealthy(s.GetDatabase()) {
		return 0, h.unhealthyError(s, view)
	}
	return view.Term, nil
}

// unhealthyError returns the reason why a write is not expected to become durable.
// For NoPrimary and NotHome, the VM that received the request retries the write
// when it has a newer view of the database.
func (h *Home) unhealthyError(s *step, view routing.DatabaseView) error {
	if primary, ok := view.Member(view.Primary); ok && !primary.Reachable {
		return refusal.NewNotRun(refusal.NoPrimary, "the primary does not respond")
	}
	// The fallback home may not be watching the database.
	if _, ok := h.config.Observer.DurablePosition(s.GetDatabase()); !ok {
		return refusal.NewNotRun(refusal.NotHome, "this home knows no durable log position of the primary's term")
	}
	return &refusal.Error{
		Outcome:    refusal.NotRun,
		Reason:     refusal.ReplicationStalled,
		Message:    "no replica acknowledges writes",
		RetryAfter: stalledRetryAfter,
	}
}

// waitDurable waits until the position is durable. The outcome of the write is
// unknown if the wait fails.
func (h *Home) waitDurable(ctx context.Context, s *step, position logpos.Position) error {
	if err := h.config.Observer.WaitDurable(ctx, s.GetDatabase(), position); err != nil {
		return refusal.NewUnknown(refusal.DeadlineExceeded, "the write is not known to be durable")
	}
	return nil
}

// queueItem returns the queue item of a step.
func (h *Home) queueItem(s *step) scheduling.Item {
	subject, _ := s.snapshot.Subject(subjectOf(s.ForwardRequest))
	return scheduling.Item{
		Subject:     subjectOf(s.ForwardRequest),
		Weight:      max(1, subject.Worth),
		ArrivedAt:   h.config.Timer.Now(),
		Deadline:    s.deadline,
		Transaction: s.GetTransactionId() != "",
	}
}

// runMessage returns the message that sends the step to the endpoint. The term is 0 for
// reads.
func (s *step) runMessage(term uint64) *endpointv1.Run {
	return &endpointv1.Run{
		Verb:      s.GetVerb(),
		Access:    s.GetAccess(),
		Statement: s.GetStatement(),
		RequestId: s.GetRequestId(),
		Workspace: s.GetWorkspace(),
		Term:      term,
	}
}

// declaredEndpoint returns the routing input for an endpoint; the zero value if the
// snapshot does not contain it.
func (s *step) declaredEndpoint(endpoint string) routing.DeclaredEndpoint {
	declared, ok := s.snapshot.Endpoint(endpoint)
	if !ok {
		return routing.DeclaredEndpoint{}
	}
	return routing.DeclaredEndpoint{
		ID:         declared.Name,
		DataCentre: declared.DataCentre,
		Region:     s.snapshot.RegionOf(declared.DataCentre),
		Leaving:    declared.Leaving,
	}
}

// subjectOf returns the subject whose rate limit and queue share the step uses: its
// workspace or its public route.
func subjectOf(request *peerv1.ForwardRequest) string {
	if request.GetWorkspace() != "" {
		return request.GetWorkspace()
	}
	return declaration.RouteSubjectPrefix + request.GetRoute()
}
