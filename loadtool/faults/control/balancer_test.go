package control_test

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"amaranthdock.dev/loadtool/harness"
	"amaranthdock.dev/timer"
)

// balancerPoll is the interval at which the balancer asks for readiness.
const balancerPoll = 50 * time.Millisecond

// balancer keeps the list of the VMs that report that they are ready.
type balancer struct {
	stop func()

	mu    sync.Mutex
	ready []*harness.VM
}

func (d *deployment) startBalancer() *balancer {
	ctx, cancel := context.WithCancel(context.Background())
	b := &balancer{
		ready: d.VMs,
	}
	var running sync.WaitGroup
	running.Go(func() {
		for timer.Sleep(ctx, clock, balancerPoll) == nil {
			var ready []*harness.VM
			for _, v := range d.VMs {
				if d.isReady(v) {
					ready = append(ready, v)
				}
			}
			b.mu.Lock()
			b.ready = ready
			b.mu.Unlock()
		}
	})
	b.stop = func() {
		cancel()
		running.Wait()
	}
	return b
}

func (d *deployment) isReady(v *harness.VM) bool {
	response, err := d.http.Get("http://" + v.Observe.String() + "/ready")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (b *balancer) vms() []*harness.VM {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ready
}

func (b *balancer) addresses() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, v := range b.vms() {
		addresses = append(addresses, v.Caller)
	}
	return addresses
}
