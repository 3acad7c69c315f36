package vm

import (
	"context"

	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/peer"
)

// handler answers other VMs with the parts of this one.
type handler struct {
	vm *VM
}

// Run runs a statement, unless this VM is leaving and another one can take it.
func (h handler) Run(ctx context.Context, request *peer.RunRequest) *peer.RunResponse {
	starts := request.Step == peer.StepSingle || request.Step == peer.StepFirst
	if starts && h.vm.leaving.Load() {
		return &peer.RunResponse{Refused: refusal.NewNotRun(refusal.NotReady, "the home is leaving")}
	}
	return h.vm.home.Run(ctx, request)
}

func (h handler) Abandon(key peer.TransactionKey) { h.vm.home.RollBackTransaction(key) }

func (h handler) Lend(request *peer.LoanRequest) peer.LoanResponse { return h.vm.limits.Lend(request) }

func (h handler) News(request *peer.GossipRequest) peer.GossipResponse {
	return h.vm.gossip.News(request)
}

func (h handler) Suspect(request *peer.Suspicion) { h.vm.failover.Suspect(request.Target) }

func (h handler) Confirm(ctx context.Context, request *peer.Suspicion) peer.ConfirmResponse {
	return peer.ConfirmResponse{Reached: h.vm.failover.Probe(ctx, request.Target)}
}

func (h handler) Promoted(request *peer.PromotionNotice) { h.vm.failover.ApplyPromotion(request) }
