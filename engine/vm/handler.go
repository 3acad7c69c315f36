package vm

import (
	"context"

	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/peer"
)

// handler serves the requests of other VMs by dispatching them to the parts of this one.
type handler struct {
	vm *VM
}

// Run runs a statement. It rejects new work while this VM is leaving, because another VM
// can take it; statements in open transactions still run.
func (h handler) Run(ctx context.Context, request *peer.Run) *peer.Ran {
	startsWork := request.Step == peer.Single || request.Step == peer.First
	if startsWork && h.vm.leaving.Load() {
		return &peer.Ran{Refused: refusal.NewNotRun(refusal.NotReady, "the endpoint's home is leaving")}
	}
	return h.vm.home.Run(ctx, request)
}

func (h handler) Abandon(key peer.TransactionKey) { h.vm.home.Abandon(key) }

func (h handler) Lend(request *peer.Loan) peer.Lent { return h.vm.limits.Lend(request) }

func (h handler) News(request *peer.News) peer.NewsReply { return h.vm.gossip.News(request) }

func (h handler) Suspect(request *peer.Suspicion) { h.vm.failover.Suspect(request.Target) }

func (h handler) Confirm(ctx context.Context, request *peer.Suspicion) peer.SuspicionReply {
	return peer.SuspicionReply{Reached: h.vm.failover.Confirm(ctx, request.Target)}
}

func (h handler) Promoted(request *peer.Promotion) { h.vm.failover.Promoted(request) }
