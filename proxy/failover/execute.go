package failover

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/types/known/durationpb"

	endpointv1 "amaranthdock.dev/api/amaranthdock/endpoint/v1"
	peerv1 "amaranthdock.dev/api/amaranthdock/peer/v1"
	"amaranthdock.dev/decision/promotion"
	"amaranthdock.dev/proxy/peer"
	"amaranthdock.dev/timer"
)

const (
	// memberProbeTimeout is the timeout of another VM's call to the suspected member.
	// This VM waits confirmRequestTimeout for that VM's response.
	memberProbeTimeout    = 150 * time.Millisecond
	confirmRequestTimeout = 250 * time.Millisecond
	// confirmerCount is the number of VMs that are asked to confirm a suspicion.
	confirmerCount = 2
	fenceTimeout   = 300 * time.Millisecond
	// fenceGracePeriod is how long to wait for the remaining responses once a majority
	// has accepted the term.
	fenceGracePeriod = 50 * time.Millisecond
	promoteTimeout   = 250 * time.Millisecond
	promoteAttempts  = 3
	publishTimeout   = time.Second
	// publishRetryInterval is the delay between two attempts to publish a primary, for
	// example while the store is unavailable.
	publishRetryInterval = time.Second
	// primariesPrefix and the name of the database form the store key.
	primariesPrefix = "primaries/"
)

// publishedPrimary is the value of a store key under primariesPrefix.
type publishedPrimary struct {
	Term    uint64 `json:"term"`
	Primary string `json:"primary"`
}

// execute carries out a decision in the background, so that it doesn't block runSteps.
func (d *databaseWatch) execute(ctx context.Context, decision promotion.Decision) {
	log := d.manager.config.Logger.WithValues("database", d.name)
	switch x := decision.(type) {
	case promotion.ConfirmSuspicion:
		d.beginFailover()
		d.manager.tasks.Go(func() { d.confirmSuspicion(ctx, x) })
	case promotion.Fence:
		log.Info("failover: claiming a term", "term", x.Term, "cause", string(x.Cause))
		d.count("claims")
		d.beginFailover()
		d.manager.tasks.Go(func() { d.fence(ctx, x) })
	case promotion.DeferToOthers:
		log.Info("failover: deferring to other VMs, which can reach the endpoint", "endpoint", x.Endpoint)
		d.count("handOvers")
		d.endFailover()
	case promotion.Promote:
		log.Info("failover: promoting a member", "endpoint", x.Endpoint, "term", x.Term)
		d.manager.tasks.Go(func() { d.promote(ctx, x) })
	case promotion.Publish:
		log.Info("failover: new primary", "endpoint", x.Endpoint, "term", x.Term)
		d.count("promotions")
		if startedAt := d.endFailover(); !startedAt.IsZero() {
			duration := d.manager.config.Timer.Now().Sub(startedAt)
			metrics.GetOrRegisterTimer("failover.duration", d.manager.config.Registry).Update(duration)
		}
		d.manager.tasks.Go(func() { d.publish(ctx, x) })
	case promotion.None:
	}
}

// beginFailover records the start time unless a failover is already in progress.
func (d *databaseWatch) beginFailover() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failoverStartedAt.IsZero() {
		d.failoverStartedAt = d.manager.config.Timer.Now()
	}
}

// endFailover returns the start time of the failover and clears it. The result is zero
// if no failover was in progress.
func (d *databaseWatch) endFailover() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	startedAt := d.failoverStartedAt
	d.failoverStartedAt = time.Time{}
	return startedAt
}

func (d *databaseWatch) count(name string) {
	metrics.GetOrRegisterCounter("failover."+name, d.manager.config.Registry).Inc(1)
}

// confirmSuspicion asks other VMs whether they can reach a suspected member. The
// suspicion is confirmed if none of those that responded can, or if there is no other
// live VM. Without any response it stays open.
func (d *databaseWatch) confirmSuspicion(ctx context.Context, suspicion promotion.ConfirmSuspicion) {
	vms := d.chooseConfirmers()
	responses := make(chan *peerv1.ConfirmSuspicionResponse, len(vms))
	ctx, cancel := timer.WithTimeout(ctx, d.manager.config.Timer, confirmRequestTimeout)
	defer cancel()
	for _, vm := range vms {
		d.manager.tasks.Go(func() {
			responses <- d.requestConfirmation(ctx, vm, suspicion.Endpoint)
		})
	}
	responded, reached := 0, 0
	for range vms {
		response := <-responses
		if response == nil {
			continue
		}
		responded++
		if response.GetReachable() {
			reached++
		}
	}
	if responded == 0 && len(vms) > 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if reached > 0 {
		d.failoverStartedAt = time.Time{}
	}
	d.monitor.HandleConfirmation(d.manager.config.Timer.Now(), suspicion.Endpoint, reached == 0)
}

// requestConfirmation asks a VM to probe an endpoint. It returns nil if the VM does not
// respond.
func (d *databaseWatch) requestConfirmation(ctx context.Context, vm, endpoint string) *peerv1.ConfirmSuspicionResponse {
	address, ok := d.manager.config.Directory.Address(vm)
	if !ok {
		return nil
	}
	response, err := d.manager.config.Dial(address).ConfirmSuspicion(ctx, &peerv1.ConfirmSuspicionRequest{
		Database: d.name,
		Endpoint: endpoint,
		Timeout:  durationpb.New(memberProbeTimeout),
	})
	if err != nil {
		return nil
	}
	return response
}

// chooseConfirmers returns the VMs to ask: the other claimants first, then random ones.
func (d *databaseWatch) chooseConfirmers() []string {
	self := d.manager.config.Directory.Self().Name
	d.mu.Lock()
	vms := slices.Clone(d.claimants)
	d.mu.Unlock()
	var others []string
	for _, v := range d.manager.config.Directory.Live() {
		if !slices.Contains(vms, v.Name) {
			others = append(others, v.Name)
		}
	}
	if len(others) > 0 {
		first := int(d.manager.config.Random() * float64(len(others)))
		others = append(others[first:], others[:first]...)
	}
	vms = slices.DeleteFunc(append(vms, others...), func(vm string) bool { return vm == self })
	return vms[:min(confirmerCount, len(vms))]
}

// fence claims a term at all members. Once a majority has accepted, it waits only
// fenceGracePeriod for the others.
func (d *databaseWatch) fence(ctx context.Context, fence promotion.Fence) {
	ctx, cancel := timer.WithTimeout(ctx, d.manager.config.Timer, fenceTimeout)
	defer cancel()
	clients := d.clients()
	responses := make(chan promotion.FenceResult, len(clients))
	for endpoint, client := range clients {
		d.manager.tasks.Go(func() {
			responses <- d.fenceOne(ctx, endpoint, client, fence)
		})
	}
	var graceEnd <-chan time.Time
	var results []promotion.FenceResult
	accepted := 0
	for pending := len(clients); pending > 0; {
		select {
		case result := <-responses:
			pending--
			results = append(results, result)
			if result.Accepted {
				accepted++
			}
			if accepted == len(clients)/2+1 && graceEnd == nil {
				subscription := d.manager.config.Timer.After(fenceGracePeriod)
				defer subscription.Stop()
				graceEnd = subscription.C()
			}
		case <-graceEnd:
			pending = 0
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.monitor.HandleFenceResults(d.manager.config.Timer.Now(), fence.Term, results)
}

func (d *databaseWatch) fenceOne(ctx context.Context, endpoint string, client endpointClient, fence promotion.Fence) promotion.FenceResult {
	response, err := client.Fence(ctx, &endpointv1.FenceRequest{
		Term:     fence.Term,
		Claimant: fence.Claimant,
	})
	if err != nil {
		return promotion.FenceResult{Endpoint: endpoint}
	}
	d.observe(endpoint, response.GetStatus())
	return promotion.FenceResult{
		Endpoint:     endpoint,
		Accepted:     response.GetAccepted(),
		LastPosition: peer.DecodePosition(response.GetStatus().GetLast()),
	}
}

// promote sends a promote request and retries it at the same endpoint if the call fails.
func (d *databaseWatch) promote(ctx context.Context, promote promotion.Promote) {
	client, ok := d.clients()[promote.Endpoint]
	accepted := false
	for attempt := 0; ok && attempt < promoteAttempts; attempt++ {
		response, err := d.promoteOnce(ctx, client, promote)
		if err == nil {
			d.observe(promote.Endpoint, response.GetStatus())
			accepted = response.GetAccepted()
			break
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.monitor.HandlePromoteResult(d.manager.config.Timer.Now(), promote.Term, accepted)
}

func (d *databaseWatch) promoteOnce(ctx context.Context, client endpointClient, promote promotion.Promote) (*endpointv1.PromoteResponse, error) {
	ctx, cancel := timer.WithTimeout(ctx, d.manager.config.Timer, promoteTimeout)
	defer cancel()
	return client.Promote(ctx, &endpointv1.PromoteRequest{
		Term:     promote.Term,
		Claimant: promote.Claimant,
	})
}

// publish writes the primary to the store. It retries until the store holds this primary
// or a newer one.
func (d *databaseWatch) publish(ctx context.Context, publish promotion.Publish) {
	for ctx.Err() == nil && !d.isSuperseded(publish.Term) {
		if d.publishOnce(ctx, publish) {
			return
		}
		if err := timer.Sleep(ctx, d.manager.config.Timer, publishRetryInterval); err != nil {
			return
		}
	}
}

func (d *databaseWatch) isSuperseded(term uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, newest := d.monitor.LatestPrimary()
	return newest > term
}

func (d *databaseWatch) publishOnce(ctx context.Context, publish promotion.Publish) bool {
	ctx, cancel := timer.WithTimeout(ctx, d.manager.config.Timer, publishTimeout)
	defer cancel()
	key := primariesPrefix + d.name
	entry, err := d.manager.config.Store.Get(ctx, key)
	if err != nil {
		return false
	}
	var current publishedPrimary
	if entry.Found && json.Unmarshal(entry.Value, &current) == nil && current.Term >= publish.Term {
		return true
	}
	value, err := json.Marshal(publishedPrimary{
		Term:    publish.Term,
		Primary: publish.Endpoint,
	})
	if err != nil {
		return false
	}
	_, swapped, err := d.manager.config.Store.CompareAndSwap(ctx, key, value, entry.Revision)
	return err == nil && swapped
}
