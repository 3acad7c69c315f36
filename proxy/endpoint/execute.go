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

// stalledRetryAfter is the stall bound of replication: a sooner try is refused.
const stalledRetryAfter = time.Second

// step is a request with what it is decided on.
type step struct {
	*peerv1.ForwardRequest
	deadline time.Time
	node     *node
	snapshot *declaration.Snapshot
}

// execute runs a step and returns its rows beside the result.
func (h *Home) execute(ctx context.Context, request *peerv1.ForwardRequest) (*peerv1.ForwardResult, []*callerv1.Row, error) {
	s := &step{
		ForwardRequest: request,
		deadline:       h.config.Timer.Now().Add(request.GetTimeout().AsDuration()),
		snapshot:       h.config.Configuration.Current(),
	}
	if s.snapshot == nil {
		return nil, nil, refusal.NewNotRun(refusal.NotReady, "the home has no configuration yet")
	}
	if request.GetTransactionId() != "" {
		return h.continueTransaction(ctx, s)
	}
	database, ok := s.snapshot.DatabaseOf(request.GetEndpoint())
	if ok && database.Name != request.GetDatabase() {
		return nil, nil, refusal.NewNotRun(refusal.InvalidRequest, "the endpoint belongs to another database")
	}
	n, leave, err := h.enter(s.snapshot, request.GetEndpoint())
	if err != nil {
		return nil, nil, err
	}
	defer leave()
	s.node = n
	switch {
	case request.GetLookUpOutcome():
		return h.lookUpOutcome(ctx, s)
	case request.GetVerb() == endpointv1.Verb_VERB_BEGIN:
		return h.begin(ctx, s)
	case request.GetVerb() != endpointv1.Verb_VERB_EXECUTE:
		return nil, nil, refusal.NewNotRun(refusal.TransactionUnknown, "the step names no transaction")
	case request.GetAccess() == callerv1.Access_ACCESS_READ:
		return h.read(ctx, s)
	case request.GetAccess() == callerv1.Access_ACCESS_WRITE:
		return h.write(ctx, s)
	default:
		return nil, nil, refusal.NewNotRun(refusal.InvalidRequest, "the access mode is missing")
	}
}

// write runs a write at the primary. Its slot and its connection are free again
// while it waits to be durable.
func (h *Home) write(ctx context.Context, s *step) (*peerv1.ForwardResult, []*callerv1.Row, error) {
	if _, err := h.writableTerm(s); err != nil {
		return nil, nil, err
	}
	var (
		got  answer
		term uint64
	)
	err := s.node.submit(ctx, h.item(s), h.checkWrite(s), func() error {
		var err error
		if term, err = h.writableTerm(s); err != nil {
			return err
		}
		got, err = s.node.pool.runOnce(ctx, s.run(term))
		return err
	})
	if err != nil {
		return h.settle(ctx, s, term, err)
	}
	if err := h.waitDurable(ctx, s, got.position); err != nil {
		return h.settle(ctx, s, got.position.Term, err)
	}
	return &peerv1.ForwardResult{
		Outcome:      callerv1.Outcome_OUTCOME_DONE,
		RowsAffected: got.rowsAffected,
		Position:     peer.EncodePosition(got.position),
	}, got.rows, nil
}

// checkWrite returns the check of a write that waits in the queue.
func (h *Home) checkWrite(s *step) func() error {
	return func() error {
		_, err := h.writableTerm(s)
		return err
	}
}

// writableTerm returns the term in which a write may be sent to the endpoint now.
func (h *Home) writableTerm(s *step) (uint64, error) {
	view, ok := h.config.Observer.View(s.GetDatabase())
	if !ok || view.Primary == "" {
		return 0, refusal.NewNotRun(refusal.NoPrimary, "the database has no known primary")
	}
	// A session that has seen a later term knows of a newer primary.
	if view.Primary != s.GetEndpoint() || s.GetRequired().GetTerm() > view.Term {
		return 0, refusal.NewNotRun(refusal.NotPrimary, "the endpoint is not the primary")
	}
	if declared, ok := s.snapshot.Endpoint(s.GetEndpoint()); ok && declared.Leaving {
		return 0, refusal.NewNotRun(refusal.EndpointLeaving, "the endpoint is leaving")
	}
	if !h.config.Observer.WritesHealthy(s.GetDatabase()) {
		return 0, h.refuseUnhealthy(s, view)
	}
	return view.Term, nil
}

// refuseUnhealthy says why a write cannot be expected to become durable. Unless it
// is the replication, the entry lets the write wait for another view.
func (h *Home) refuseUnhealthy(s *step, view routing.DatabaseView) error {
	if primary, ok := view.Member(view.Primary); ok && !primary.Reachable {
		return refusal.NewNotRun(refusal.NoPrimary, "the primary does not answer")
	}
	// The second-ranked home may not watch the database.
	if _, ok := h.config.Observer.DurablePosition(s.GetDatabase()); !ok {
		return refusal.NewNotRun(refusal.NotHome, "no durable entry of the primary's term is known here")
	}
	return &refusal.Error{
		Outcome:    refusal.NotRun,
		Reason:     refusal.ReplicationStalled,
		Message:    "no replica confirms writes",
		RetryAfter: stalledRetryAfter,
	}
}

func (h *Home) waitDurable(ctx context.Context, s *step, position logpos.Position) error {
	if err := h.config.Observer.WaitDurable(ctx, s.GetDatabase(), position); err != nil {
		return refusal.NewUnknown(refusal.DeadlineExceeded, "the write is not known to be durable")
	}
	return nil
}

// item is the step as the queue sees it.
func (h *Home) item(s *step) scheduling.Item {
	subject, _ := s.snapshot.Subject(subjectOf(s.ForwardRequest))
	return scheduling.Item{
		Subject:     subjectOf(s.ForwardRequest),
		Weight:      max(1, subject.Worth),
		Arrived:     h.config.Timer.Now(),
		Deadline:    s.deadline,
		Transaction: s.GetTransactionId() != "",
	}
}

// run is the step as the endpoint sees it; the term is 0 on reads.
func (s *step) run(term uint64) *endpointv1.Run {
	return &endpointv1.Run{
		Verb:      s.GetVerb(),
		Access:    s.GetAccess(),
		Statement: s.GetStatement(),
		RequestId: s.GetRequestId(),
		Workspace: s.GetWorkspace(),
		Term:      term,
	}
}

func (s *step) site(endpoint string) routing.DeclaredEndpoint {
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

// subjectOf returns the subject of a step's limit and of its turn in the queue.
func subjectOf(request *peerv1.ForwardRequest) string {
	if request.GetWorkspace() != "" {
		return request.GetWorkspace()
	}
	return declaration.RouteSubjectPrefix + request.GetRoute()
}
