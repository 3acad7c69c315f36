package caller

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
	operatorv1 "amaranthdock.dev/api/amaranthdock/operator/v1"
	peerv1 "amaranthdock.dev/api/amaranthdock/peer/v1"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/proxy/peer"
	"amaranthdock.dev/timer"
)

// homeTimeout is the timeout for a home's answer. It is far above the round trip between
// regions.
const homeTimeout = 500 * time.Millisecond

// endpointHome is an endpoint and one of its homes.
type endpointHome struct {
	endpoint, vm string
}

// homeAnswer is the answer of a home. The response is nil if the home's state is unknown.
type homeAnswer struct {
	response *peerv1.ExplainStepResponse
	answered bool
}

// homeAnswers asks the homes of endpoints what they would do with a step, each once.
type homeAnswers struct {
	explainer Explainer
	timer     timer.Service

	mu      sync.Mutex
	answers map[endpointHome]homeAnswer
}

func newHomeAnswers(explainer Explainer, service timer.Service) *homeAnswers {
	return &homeAnswers{
		explainer: explainer,
		timer:     service,
		answers:   map[endpointHome]homeAnswer{},
	}
}

// Forward returns the result that a home would have for a step. If the state of the home
// is unknown, the step counts as accepted.
func (h *homeAnswers) Forward(ctx context.Context, vm string, request *peerv1.ForwardRequest, _ peer.SendRows) *peerv1.ForwardResult {
	answer, ok := h.answerFor(request.GetEndpoint(), vm)
	if !ok {
		answer = h.ask(ctx, vm, request)
	}
	if answer.response == nil {
		return &peerv1.ForwardResult{Outcome: callerv1.Outcome_OUTCOME_DONE}
	}
	return answer.response.GetResult()
}

// ask asks a home and keeps the answer.
func (h *homeAnswers) ask(ctx context.Context, vm string, request *peerv1.ForwardRequest) homeAnswer {
	ctx, cancel := timer.WithTimeout(ctx, h.timer, homeTimeout)
	defer cancel()
	response, err := h.explainer.Explain(ctx, vm, request)
	answer := homeAnswer{
		response: response,
		answered: err == nil,
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answers[endpointHome{endpoint: request.GetEndpoint(), vm: vm}] = answer
	return answer
}

// answerFor returns the answer of a home of an endpoint; false if it was not asked.
func (h *homeAnswers) answerFor(endpoint, vm string) (homeAnswer, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	answer, ok := h.answers[endpointHome{endpoint: endpoint, vm: vm}]
	return answer, ok
}

// unanswered returns the VMs that were asked and did not answer, sorted by name.
func (h *homeAnswers) unanswered() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	vms := map[string]bool{}
	for key, answer := range h.answers {
		if !answer.answered {
			vms[key.vm] = true
		}
	}
	return slices.Sorted(maps.Keys(vms))
}

// askHomes asks the first home of each endpoint of the database, concurrently.
func (x *explanation) askHomes(ctx context.Context) {
	d := x.dispatch
	var calls sync.WaitGroup
	for _, declared := range d.declaredEndpoints() {
		vm, ok := x.caller.firstHome(d, declared.ID)
		if !ok {
			continue
		}
		request := proto.CloneOf(d.forward)
		request.Endpoint = declared.ID
		request.Timeout = durationpb.New(x.caller.remainingTime(d))
		calls.Go(func() { x.ask(ctx, vm, request) })
	}
	calls.Wait()
}

// firstHome returns the first home of an endpoint.
func (c *Caller) firstHome(d *dispatch, endpoint string) (string, bool) {
	declared, ok := d.snapshot.Endpoint(endpoint)
	if !ok {
		return "", false
	}
	first, ok := c.homes.FirstHome(endpoint, declared.DataCentre, d.snapshot.RegionOf(declared.DataCentre), c.config.Directory.Live())
	return first.Name, ok
}

// candidate returns an endpoint with the verdict on it and the answer of its home.
func (x *explanation) candidate(verdict routing.Verdict, refused bool) *operatorv1.RouteCandidate {
	candidate := x.viewedCandidate(verdict.Endpoint)
	candidate.Reason = string(verdict.Exclusion)
	if verdict.CostKnown {
		candidate.Cost = durationpb.New(verdict.Cost)
	}
	candidate.Home = x.homeOf(verdict)
	answer, ok := x.answerFor(verdict.Endpoint, candidate.Home)
	if !ok || answer.response == nil {
		return candidate
	}
	home := answer.response
	byHome := verdict.Exclusion == routing.RefusedByHome || (verdict.Exclusion == "" && refused)
	if byHome && home.GetResult().GetReason() != "" {
		candidate.Reason = exclusionOf(home)
	}
	candidate.HomeAnswered = answer.answered
	if member, ok := peer.DecodeView(home.GetResult().GetView()).Member(verdict.Endpoint); ok {
		candidate.HomePosition, candidate.HomeAge = encodeData(member)
	}
	candidate.HomeReason = home.GetResult().GetReason()
	candidate.ExpectedWait = waitOf(answer)
	candidate.CatchUp, candidate.CatchUpLimit = home.GetCatchUp(), home.GetCatchUpLimit()
	candidate.Slots, candidate.Steps = home.GetSlots(), home.GetSteps()
	candidate.Connections, candidate.ConnectionLimit = home.GetConnections(), home.GetConnectionLimit()
	candidate.Transactions, candidate.TransactionLimit = home.GetTransactions(), home.GetTransactionLimit()
	return candidate
}

// homeOf returns the home that was asked about an endpoint: that of the last attempt, or
// the first home.
func (x *explanation) homeOf(verdict routing.Verdict) string {
	if verdict.Endpoint == x.last.endpoint {
		return x.last.vm
	}
	first, _ := x.caller.firstHome(x.dispatch, verdict.Endpoint)
	return first
}

// viewedCandidate returns an endpoint as declared and as this VM's view shows it.
func (x *explanation) viewedCandidate(endpoint string) *operatorv1.RouteCandidate {
	candidate := &operatorv1.RouteCandidate{Endpoint: endpoint}
	if declared, ok := x.dispatch.snapshot.Endpoint(endpoint); ok {
		candidate.DataCentre = declared.DataCentre
		candidate.Region = x.dispatch.snapshot.RegionOf(declared.DataCentre)
	}
	member, ok := x.last.view.Member(endpoint)
	if !ok {
		return candidate
	}
	candidate.Role = member.Role.String()
	candidate.Reachable = member.Reachable
	candidate.Position, candidate.Age = encodeData(member)
	return candidate
}

// encodeData returns the position and the age of a member's data; the age is nil if it is
// unknown.
func encodeData(member routing.MemberView) (*operatorv1.LogPosition, *durationpb.Duration) {
	position := &operatorv1.LogPosition{
		Term:  member.LastPosition.Term,
		Index: member.LastPosition.Index,
	}
	if !member.AgeKnown {
		return position, nil
	}
	return position, durationpb.New(member.Age)
}

// exclusionOf returns why a home refuses a step. Refusals of the transport have a reason
// only.
func exclusionOf(home *peerv1.ExplainStepResponse) string {
	if home.GetExclusion() != "" {
		return home.GetExclusion()
	}
	return string(routing.ExclusionOf(refusal.Reason(home.GetResult().GetReason())))
}

// waitOf returns the expected wait in an answer; nil if it is unknown. A home without a
// queue for the endpoint has nothing that waits.
func waitOf(answer homeAnswer) *durationpb.Duration {
	switch {
	case !answer.answered:
		return nil
	case answer.response.GetQueueWait() == nil:
		return durationpb.New(0)
	default:
		return answer.response.GetQueueWait()
	}
}
