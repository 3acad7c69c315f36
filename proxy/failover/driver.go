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
	// confirmTimeout of the other VM's own call to the member; this VM waits
	// peerTimeout for its answer.
	confirmTimeout = 150 * time.Millisecond
	peerTimeout    = 250 * time.Millisecond
	// confirmers is the number of VMs that are asked at once.
	confirmers   = 2
	fenceTimeout = 300 * time.Millisecond
	// fenceSettle is the time for a last answer once a majority accepted.
	fenceSettle     = 50 * time.Millisecond
	promoteTimeout  = 250 * time.Millisecond
	promoteAttempts = 3
	publishTimeout  = time.Second
	// publishRetry while the store is out.
	publishRetry = time.Second
	// primariesPrefix precedes the database in the store's keys.
	primariesPrefix = "primaries/"
)

// published is the value of a store key under primariesPrefix.
type published struct {
	Term    uint64 `json:"term"`
	Primary string `json:"primary"`
}

// execute carries out a decision without blocking the steps.
func (d *database) execute(ctx context.Context, decision promotion.Decision) {
	log := d.part.config.Logger.WithValues("database", d.name)
	switch x := decision.(type) {
	case promotion.ConfirmSuspicion:
		d.beginFailover()
		d.part.tasks.Go(func() { d.confirm(ctx, x) })
	case promotion.Fence:
		log.Info("failover: claim a term", "term", x.Term, "cause", string(x.Cause))
		d.count("claims")
		d.beginFailover()
		d.part.tasks.Go(func() { d.fence(ctx, x) })
	case promotion.DeferToOthers:
		log.Info("failover: other VMs reach the endpoint, leave it to them", "endpoint", x.Endpoint)
		d.count("handOvers")
		d.endFailover()
	case promotion.Promote:
		log.Info("failover: promote", "endpoint", x.Endpoint, "term", x.Term)
		d.part.tasks.Go(func() { d.promote(ctx, x) })
	case promotion.Publish:
		log.Info("failover: new primary", "endpoint", x.Endpoint, "term", x.Term)
		d.count("promotions")
		if began := d.endFailover(); !began.IsZero() {
			took := d.part.config.Timer.Now().Sub(began)
			metrics.GetOrRegisterTimer("failover.duration", d.part.config.Registry).Update(took)
		}
		d.part.tasks.Go(func() { d.publish(ctx, x) })
	case promotion.None:
	}
}

// beginFailover notes the time unless a failover has begun already.
func (d *database) beginFailover() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failing.IsZero() {
		d.failing = d.part.config.Timer.Now()
	}
}

// endFailover returns when the failover began.
func (d *database) endFailover() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	began := d.failing
	d.failing = time.Time{}
	return began
}

func (d *database) count(name string) {
	metrics.GetOrRegisterCounter("failover."+name, d.part.config.Registry).Inc(1)
}

// confirm asks other VMs about a suspect. Without another live VM there is
// nobody to ask, and the suspicion stands.
func (d *database) confirm(ctx context.Context, suspicion promotion.ConfirmSuspicion) {
	asked := d.confirmers()
	answers := make(chan *peerv1.ConfirmSuspicionResponse, len(asked))
	ctx, cancel := timer.WithTimeout(ctx, d.part.config.Timer, peerTimeout)
	defer cancel()
	for _, vm := range asked {
		d.part.tasks.Go(func() {
			answers <- d.ask(ctx, vm, suspicion.Endpoint)
		})
	}
	answered, reached := 0, 0
	for range asked {
		answer := <-answers
		if answer == nil {
			continue
		}
		answered++
		if answer.GetReachable() {
			reached++
		}
	}
	if answered == 0 && len(asked) > 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if reached > 0 {
		d.failing = time.Time{}
	}
	d.monitor.HandleConfirmation(d.part.config.Timer.Now(), suspicion.Endpoint, reached == 0)
}

// ask returns nil if the VM does not answer.
func (d *database) ask(ctx context.Context, vm, endpoint string) *peerv1.ConfirmSuspicionResponse {
	address, ok := d.part.config.Directory.Address(vm)
	if !ok {
		return nil
	}
	response, err := d.part.config.Dial(address).ConfirmSuspicion(ctx, &peerv1.ConfirmSuspicionRequest{
		Database: d.name,
		Endpoint: endpoint,
		Timeout:  durationpb.New(confirmTimeout),
	})
	if err != nil {
		return nil
	}
	return response
}

// confirmers returns the VMs to ask: the other claimants first, then random ones.
func (d *database) confirmers() []string {
	self := d.part.config.Directory.Self().Name
	d.mu.Lock()
	asked := slices.Clone(d.claimants)
	d.mu.Unlock()
	var others []string
	for _, v := range d.part.config.Directory.Live() {
		if !slices.Contains(asked, v.Name) {
			others = append(others, v.Name)
		}
	}
	if len(others) > 0 {
		first := int(d.part.config.Random() * float64(len(others)))
		others = append(others[first:], others[:first]...)
	}
	asked = slices.DeleteFunc(append(asked, others...), func(vm string) bool { return vm == self })
	return asked[:min(confirmers, len(asked))]
}

// fence claims a term at all members. Once a majority accepted, the others get
// little more time.
func (d *database) fence(ctx context.Context, fence promotion.Fence) {
	ctx, cancel := timer.WithTimeout(ctx, d.part.config.Timer, fenceTimeout)
	defer cancel()
	clients := d.clients()
	answers := make(chan promotion.FenceResult, len(clients))
	for endpoint, client := range clients {
		d.part.tasks.Go(func() {
			answers <- d.fenceOne(ctx, endpoint, client, fence)
		})
	}
	var settled <-chan time.Time
	var reports []promotion.FenceResult
	accepted := 0
	for waiting := len(clients); waiting > 0; {
		select {
		case report := <-answers:
			waiting--
			reports = append(reports, report)
			if report.Accepted {
				accepted++
			}
			if accepted == len(clients)/2+1 && settled == nil {
				subscription := d.part.config.Timer.After(fenceSettle)
				defer subscription.Stop()
				settled = subscription.C()
			}
		case <-settled:
			waiting = 0
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.monitor.HandleFenceResults(d.part.config.Timer.Now(), fence.Term, reports)
}

func (d *database) fenceOne(ctx context.Context, endpoint string, client endpointClient, fence promotion.Fence) promotion.FenceResult {
	response, err := client.Fence(ctx, &endpointv1.FenceRequest{
		Term:     fence.Term,
		Claimant: fence.Claimant,
	})
	if err != nil {
		return promotion.FenceResult{Endpoint: endpoint}
	}
	d.observe(endpoint, response.GetStatus())
	return promotion.FenceResult{
		Endpoint: endpoint,
		Accepted: response.GetAccepted(),
		Last:     peer.DecodePosition(response.GetStatus().GetLast()),
	}
}

// promote repeats a promote call whose answer is lost, at the same endpoint only.
func (d *database) promote(ctx context.Context, promote promotion.Promote) {
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
	d.monitor.HandlePromoteResult(d.part.config.Timer.Now(), promote.Term, accepted)
}

func (d *database) promoteOnce(ctx context.Context, client endpointClient, promote promotion.Promote) (*endpointv1.PromoteResponse, error) {
	ctx, cancel := timer.WithTimeout(ctx, d.part.config.Timer, promoteTimeout)
	defer cancel()
	return client.Promote(ctx, &endpointv1.PromoteRequest{
		Term:     promote.Term,
		Claimant: promote.Claimant,
	})
}

// publish writes the primary to the store, until it is there or a newer one is.
func (d *database) publish(ctx context.Context, publish promotion.Publish) {
	for ctx.Err() == nil && !d.superseded(publish.Term) {
		if d.publishOnce(ctx, publish) {
			return
		}
		if err := timer.Sleep(ctx, d.part.config.Timer, publishRetry); err != nil {
			return
		}
	}
}

func (d *database) superseded(term uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, newest := d.monitor.LatestPrimary()
	return newest > term
}

func (d *database) publishOnce(ctx context.Context, publish promotion.Publish) bool {
	ctx, cancel := timer.WithTimeout(ctx, d.part.config.Timer, publishTimeout)
	defer cancel()
	key := primariesPrefix + d.name
	entry, err := d.part.config.Store.Get(ctx, key)
	if err != nil {
		return false
	}
	var held published
	if entry.Found && json.Unmarshal(entry.Value, &held) == nil && held.Term >= publish.Term {
		return true
	}
	value, err := json.Marshal(published{
		Term:    publish.Term,
		Primary: publish.Endpoint,
	})
	if err != nil {
		return false
	}
	_, swapped, err := d.part.config.Store.CompareAndSwap(ctx, key, value, entry.Revision)
	return err == nil && swapped
}
