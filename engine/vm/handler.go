package vm

import (
	"context"

	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/peer"
)

// handler serves the requests of other VMs by dispatching them to the components of this one.
type handler struct {
	vm *VM
}

// Run runs a statement. It rejects new work while this VM is leaving, because another VM
// can take it; statements in open transactions still run.
func (h handler) Run(ctx context.Context, request *peer.RunRequest) *peer.RunResponse {
	startsWork := request.Step == peer.StepSingle || request.Step == peer.StepFirst
	if startsWork && h.vm.leaving.Load() {
		return &peer.RunResponse{Refused: refusal.NewNotRun(refusal.NotReady, "the endpoint's home is leaving")}
	}
	return h.vm.home.Run(ctx, request)
}

func (h handler) RollBackTransaction(key peer.TransactionKey) { h.vm.home.RollBackTransaction(key) }

func (h handler) Lend(request *peer.LoanRequest) peer.LoanResponse { return h.vm.limits.Lend(request) }

func (h handler) News(request *peer.GossipRequest) peer.GossipResponse {
	return h.vm.gossip.News(request)
}

func (h handler) Part(request *peer.PartRequest) peer.PartResponse {
	return h.vm.gossip.Part(request)
}

func (h handler) Suspect(request *peer.Suspicion) {
	if request.Failing {
		h.vm.failover.RecordFailing(request.Target, request.From)
		return
	}
	h.vm.failover.Suspect(request.Target)
}

func (h handler) Confirm(ctx context.Context, request *peer.Suspicion) peer.ConfirmResponse {
	if request.Failing {
		return peer.ConfirmResponse{Reached: h.vm.failover.ServesWell(request.Target)}
	}
	return peer.ConfirmResponse{Reached: h.vm.failover.Probe(ctx, request.Target)}
}

func (h handler) Promoted(request *peer.PromotionNotice) { h.vm.failover.ApplyPromotion(request) }
