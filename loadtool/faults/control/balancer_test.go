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

// readinessPollInterval is how often the load balancer checks the readiness of the
// VMs.
const readinessPollInterval = 50 * time.Millisecond

// loadBalancer keeps the list of the VMs that report that they are ready.
type loadBalancer struct {
	stop func()

	mu    sync.Mutex
	ready []*harness.VM
}

func (d *deployment) startLoadBalancer() *loadBalancer {
	ctx, cancel := context.WithCancel(context.Background())
	b := &loadBalancer{
		ready: d.VMs,
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		for timer.Sleep(ctx, clock, readinessPollInterval) == nil {
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
		wg.Wait()
	}
	return b
}

func (d *deployment) isReady(v *harness.VM) bool {
	response, err := d.httpClient.Get("http://" + v.Observe.String() + "/ready")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (b *loadBalancer) readyVMs() []*harness.VM {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ready
}

func (b *loadBalancer) readyAddresses() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, v := range b.readyVMs() {
		addresses = append(addresses, v.Caller)
	}
	return addresses
}
