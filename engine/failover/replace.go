package failover

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"amaranthdock.dev/decision/takeover"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/endpoint"
	"amaranthdock.dev/engine/peer"
	"amaranthdock.dev/engine/store"
	"amaranthdock.dev/timer"
)

const (
	// orderTimeout for the answer to an order.
	orderTimeout = 800 * time.Millisecond
	// numberTries to get the number of an order.
	numberTries = 3
	// catchUpLimit within which a replica should have received all of a primary that
	// stepped down.
	catchUpLimit = 1500 * time.Millisecond
	// lookPause between two looks at an endpoint that should soon have a position or
	// the lead.
	lookPause = 40 * time.Millisecond
	// leadLimit within which a promotion takes effect; it takes up to a second.
	leadLimit = 1600 * time.Millisecond
)

// replace promotes the reachable endpoint that has received most.
func (p *Manager) replace(ctx context.Context, name string, old catalog.Endpoint, cause string) {
	answered := p.candidates(ctx, name, old)
	known, confirming := p.knownReplicas(name, old), p.syncReplicas(name)
	chosen, ok := takeover.Choose(answered)
	if !ok || !takeover.CoversAcknowledgedCommits(len(answered), known, confirming) {
		p.config.Log.Info("No endpoint can lead the database.", "database", name, "cause", cause, "answered", len(answered), "replicas", known,
			"syncReplicas", confirming)
		return
	}
	p.order(ctx, name, chosen, cause)
}

// handOver ends acknowledgements at a primary that is leaving, waits until another
// endpoint has received all of its log, and promotes that.
func (p *Manager) handOver(ctx context.Context, name string, old catalog.Endpoint) {
	if len(p.candidates(ctx, name, old)) == 0 {
		p.config.Log.Info("No endpoint can take over from a leaving primary.", "database", name, "endpoint", old.Key.ID)
		return
	}
	before, err := p.config.Prober.RunControlCommand(ctx, old, endpoint.Status{})
	if err != nil {
		p.config.Log.Info("A leaving primary does not tell its term.", "database", name, "endpoint", old.Key.ID, "error", err.Error())
		return
	}
	after, err := p.config.Prober.RunControlCommand(ctx, old, endpoint.StepDown{Term: max(before.Term, before.FencedTerm) + 1})
	if err != nil {
		p.config.Log.Info("A leaving primary did not confirm that it stepped down.", "database", name, "endpoint", old.Key.ID, "error", err.Error())
		p.replace(ctx, name, old, "the leaving primary may have stepped down")
		return
	}
	p.config.View.RecordPromotion(name, "", false)
	deadline := p.config.Timer.Now().Add(catchUpLimit)
	for {
		chosen, ok := takeover.Choose(p.candidates(ctx, name, old))
		complete := ok && chosen.Received.Covers(after.ReceivedPosition)
		if complete || !p.config.Timer.Now().Before(deadline) {
			if !ok {
				p.config.Log.Info("No endpoint can take over.", "database", name)
				return
			}
			p.config.Log.Info("A primary that is leaving stepped down.", "database", name, "endpoint", old.Key.ID, "position", after.ReceivedPosition.String(),
				"successor", chosen.ID, "received", chosen.Received.String(), "complete", complete)
			p.order(ctx, name, chosen, "the primary is leaving")
			return
		}
		if err := timer.Sleep(ctx, p.config.Timer, lookPause); err != nil {
			return
		}
	}
}

// syncReplicas returns how many replicas confirm a commit of the database.
func (p *Manager) syncReplicas(name string) int {
	c := p.config.View.Configuration()
	if c == nil {
		return 0
	}
	return c.Databases[name].SyncReplicas
}

// candidates asks all members but the old primary for what they have received. One
// that is leaving counts only where commits are confirmed by replicas, since it may be
// the only one that holds such a commit.
func (p *Manager) candidates(ctx context.Context, name string, old catalog.Endpoint) []takeover.Candidate {
	var (
		mu         sync.Mutex
		candidates []takeover.Candidate
		asked      sync.WaitGroup
	)
	confirming := p.syncReplicas(name)
	for _, e := range p.config.View.Members(name) {
		if e.Key == old.Key || (e.Draining && confirming == 0) {
			continue
		}
		asked.Go(func() {
			report, err := p.config.Prober.RunControlCommand(ctx, e, endpoint.Status{})
			if err != nil {
				p.config.Log.Info("An endpoint does not report its position.", "database", name, "endpoint", e.Key.ID, "error", err.Error())
				return
			}
			mu.Lock()
			defer mu.Unlock()
			candidates = append(candidates, takeover.Candidate{
				ID:         e.Key.ID,
				Received:   report.ReceivedPosition,
				SameRegion: p.config.View.Region(e.DataCentre) == p.config.View.Region(old.DataCentre),
			})
		})
	}
	asked.Wait()
	return candidates
}

// order gives one order, tells the fleet, and waits until the endpoint leads.
func (p *Manager) order(ctx context.Context, name string, chosen takeover.Candidate, cause string) {
	number, err := p.number(ctx, name)
	if err != nil {
		p.config.Log.Info("No number for an order.", "database", name, "error", err.Error())
		return
	}
	if !p.IsLeader() {
		p.config.Log.Info("The lease ended before an order.", "database", name)
		return
	}
	p.mu.Lock()
	p.database(name).orderedAt = p.config.Timer.SinceBoot()
	p.mu.Unlock()
	p.orders.Inc(1)
	child, cancel := timer.WithTimeout(ctx, p.config.Timer, orderTimeout)
	defer cancel()
	err = p.config.Promoter.Promote(child, name, chosen.ID, p.config.View.Self().Name, number)
	p.config.Log.Info("Ordered a promotion.", "database", name, "endpoint", chosen.ID, "received", chosen.Received.String(), "number", number,
		"cause", cause, "error", errorText(err))
	p.broadcast(name, chosen.ID, false)
	p.awaitLead(ctx, name, chosen.ID)
}

// awaitLead waits until the endpoint reports that it leads, and tells the fleet.
func (p *Manager) awaitLead(ctx context.Context, name, id string) {
	deadline := p.config.Timer.Now().Add(leadLimit)
	for p.config.Timer.Now().Before(deadline) {
		target, ok := p.config.View.Endpoints().ByID[id]
		if !ok {
			return
		}
		report, err := p.config.Prober.RunControlCommand(ctx, target, endpoint.Status{})
		if err == nil && report.Role == catalog.RolePrimary {
			p.config.Log.Info("A promotion took effect.", "database", name, "endpoint", id, "term", report.Term)
			p.broadcast(name, id, true)
			return
		}
		if err := timer.Sleep(ctx, p.config.Timer, lookPause); err != nil {
			return
		}
	}
	p.config.Log.Info("A promotion had no effect in time.", "database", name, "endpoint", id)
}

// broadcast tells all VMs of an order, or that it took effect.
func (p *Manager) broadcast(name, id string, leads bool) {
	promotion := &peer.PromotionNotice{
		Database: name,
		Endpoint: id,
		Leads:    leads,
	}
	p.ApplyPromotion(promotion)
	for _, vm := range p.config.View.Peers() {
		go func() {
			if err := p.config.Clients.Call(context.Background(), vm, "Promoted", promotion, &peer.Empty{}, confirmTimeout); err != nil {
				p.config.Log.Info("A VM was not told of a promotion.", "peer", vm.Name, "database", name, "error", err.Error())
			}
		}()
	}
}

// number takes the next number for an order of the database. The change holds only
// while this VM's key of the leader stands.
func (p *Manager) number(ctx context.Context, name string) (uint64, error) {
	key := store.OrderPrefix + name
	var last error
	for range numberTries {
		item, found, err := p.config.Store.Get(ctx, key)
		if err != nil {
			last = err
			continue
		}
		number := uint64(1)
		if found {
			given, err := strconv.ParseUint(string(item.Value), 10, 64)
			if err != nil {
				return 0, eris.Wrapf(err, "the number of the last order under %q", key)
			}
			number = given + 1
		}
		_, err = p.config.Store.Commit(ctx, store.Change{
			Conditions: []store.Condition{
				{
					Key:      key,
					Revision: item.Revision,
				},
				{
					Key:      store.LeaderKey,
					Revision: p.current().revision,
				},
			},
			Writes: []store.Write{{
				Key:   key,
				Value: []byte(strconv.FormatUint(number, 10)),
			}},
		})
		if err == nil {
			return number, nil
		}
		last = err
	}
	return 0, eris.Wrap(last, "take the number of an order")
}

// isRefusal tells whether an endpoint answered with a refusal.
func isRefusal(err error) bool {
	var refused *endpoint.ReplyError
	return errors.As(err, &refused)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
