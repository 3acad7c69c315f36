package endpoint

import (
	"context"

	"google.golang.org/protobuf/types/known/durationpb"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
	endpointv1 "amaranthdock.dev/api/amaranthdock/endpoint/v1"
	peerv1 "amaranthdock.dev/api/amaranthdock/peer/v1"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/proxy/peer"
)

// ExplainStep returns what Execute would do with a step now. It reads the state on which
// Execute decides; it queues nothing, opens no connection and does not watch the database.
func (h *Home) ExplainStep(_ context.Context, request *peerv1.ForwardRequest) (*peerv1.ExplainStepResponse, error) {
	response := &peerv1.ExplainStepResponse{}
	exclusion, err := h.explainStep(request, response)
	if err != nil {
		response.Result = peer.EncodeRefusal(err)
		response.Exclusion = string(exclusion)
	} else {
		response.Result = &peerv1.ForwardResult{Outcome: callerv1.Outcome_OUTCOME_DONE}
	}
	response.Result.View = h.encodedView(request)
	return response, nil
}

// explainStep adds the state of the endpoint to the response. It returns the error with
// which Execute would refuse the step, and why the endpoint cannot serve it.
func (h *Home) explainStep(request *peerv1.ForwardRequest, response *peerv1.ExplainStepResponse) (routing.Exclusion, error) {
	s, err := h.newStep(request)
	if err != nil {
		return routing.RefusedByHome, err
	}
	if err := s.checkDatabase(); err != nil {
		return routing.RefusedByHome, err
	}
	declared, _, err := h.checkHome(s.snapshot, s.GetEndpoint())
	if err != nil {
		return routing.RefusedByHome, err
	}
	if h.isDraining() {
		return routing.RefusedByHome, errLeaving()
	}
	settings := settingsFor(s.snapshot, declared)
	response.Slots = uint32(settings.slots)
	response.ConnectionLimit = uint32(settings.connections)
	response.TransactionLimit = uint32(settings.pinLimit())
	client, ok := h.existingClient(s.GetEndpoint())
	var queueErr error
	if ok {
		queueErr = h.explainQueue(s, client, response)
	}
	if exclusion, err := h.explainServing(s, response); err != nil {
		return exclusion, err
	}
	return routing.OverCapacity, queueErr
}

// explainServing returns the error with which Execute would refuse the step before it is
// queued.
func (h *Home) explainServing(s *step, response *peerv1.ExplainStepResponse) (routing.Exclusion, error) {
	if s.GetVerb() == endpointv1.Verb_VERB_BEGIN || s.GetAccess() == callerv1.Access_ACCESS_WRITE {
		_, err := h.writableTerm(s)
		if refused, ok := refusal.As(err); ok {
			return routing.ExclusionOf(refused.Reason), err
		}
		return "", err
	}
	in := h.serveInput(s)
	decision, exclusion := routing.ExplainServe(in)
	if wait, ok := decision.(routing.WaitForPosition); ok {
		response.CatchUp = durationpb.New(in.CatchUp)
		response.CatchUpLimit = durationpb.New(wait.Limit)
		return "", nil
	}
	return exclusion, h.servingError(decision)
}

// explainQueue adds the state of the queue and of the connections to the response. It
// returns the error with which the queue or the pool would refuse the step.
func (h *Home) explainQueue(s *step, client *endpointClient, response *peerv1.ExplainStepResponse) error {
	client.mu.Lock()
	decision, wait := client.queue.Evaluate(h.config.Timer.Now(), h.queueItem(s))
	response.Steps = uint32(len(client.tasks))
	client.mu.Unlock()
	response.QueueWait = durationpb.New(wait)
	connections, transactions := client.pool.usage()
	response.Connections, response.Transactions = uint32(connections), uint32(transactions)
	if s.GetVerb() == endpointv1.Verb_VERB_BEGIN && transactions >= client.settings.pinLimit() {
		return errTooManyTransactions()
	}
	if err := queueError(decision); err != nil {
		return err
	}
	return client.pool.checkPinned()
}

func (h *Home) isDraining() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.draining
}

// usage returns the number of open connections and how many of them transactions hold.
func (p *pool) usage() (connections, transactions int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) + p.inUse, p.pinned
}
