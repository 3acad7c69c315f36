package capacity

import (
	"context"
	"time"
)

// window is the difference between two samples of a fleet.
type window struct {
	length time.Duration
	before map[string]sample
	after  map[string]sample
	store  map[string]float64
}

// controlPurposes of the messages between proxies.
var controlPurposes = []string{"failover", "gossip", "lending"}

// storeWrites are the kinds of calls that change the store.
var storeWrites = map[string]bool{
	"compareAndSwap": true,
	"grantLease":     true,
	"renewLease":     true,
}

// observe samples the fleet at both ends of a window.
func (f *fleet) observe(ctx context.Context, length time.Duration) (*window, error) {
	callsBefore, err := f.fetchStoreCalls()
	if err != nil {
		return nil, err
	}
	before, err := f.sampleAll()
	if err != nil {
		return nil, err
	}
	began := f.config.Timer.Now()
	if err := f.sleep(ctx, length); err != nil {
		return nil, err
	}
	elapsed := f.config.Timer.Now().Sub(began)
	after, err := f.sampleAll()
	if err != nil {
		return nil, err
	}
	callsAfter, err := f.fetchStoreCalls()
	if err != nil {
		return nil, err
	}
	for kind := range callsAfter {
		callsAfter[kind] -= callsBefore[kind]
	}
	return &window{
		length: elapsed,
		before: before,
		after:  after,
		store:  callsAfter,
	}, nil
}

// rate returns the growth per second of the sum of some metrics of a VM.
func (w *window) rate(vm string, names ...string) float64 {
	total := 0.0
	for _, name := range names {
		total += w.after[vm].metrics[name] - w.before[vm].metrics[name]
	}
	return total / w.length.Seconds()
}

// cores returns the processor time of a VM per second.
func (w *window) cores(vm string) float64 {
	return (w.after[vm].cpu - w.before[vm].cpu).Seconds() / w.length.Seconds()
}

// mean returns the mean over the VMs.
func (w *window) mean(value func(vm string) float64) float64 {
	total := 0.0
	for vm := range w.after {
		total += value(vm)
	}
	return total / float64(len(w.after))
}

// measures returns the figures of the window for each VM and for the store.
func (w *window) measures() []Measure {
	var messages, payload []string
	for _, purpose := range controlPurposes {
		for _, direction := range []string{"Sent", "Received"} {
			messages = append(messages, "peer."+purpose+".messages"+direction)
			payload = append(payload, "peer."+purpose+".bytes"+direction)
		}
	}
	of := func(names ...string) float64 {
		return w.mean(func(vm string) float64 { return w.rate(vm, names...) })
	}
	reads, writes := 0.0, 0.0
	for kind, count := range w.store {
		if storeWrites[kind] {
			writes += count
		} else {
			reads += count
		}
	}
	greatest := 0.0
	for vm := range w.after {
		greatest = max(greatest, w.cores(vm))
	}
	return []Measure{
		named("cores", w.mean(w.cores)),
		named("coresMax", greatest),
		named("residentMiB", w.mean(func(vm string) float64 { return float64(w.after[vm].resident) / mebibyte })),
		named("controlMessages/s", of(messages...)),
		named("controlPayloadBytes/s", of(payload...)),
		named("peerWireSentBytes/s", of("peer.client.bytesWritten", "peer.server.bytesWritten")),
		named("peerWireReceivedBytes/s", of("peer.client.bytesRead", "peer.server.bytesRead")),
		named("forwardPayloadBytes/s", of("peer.forward.bytesSent", "peer.forward.bytesReceived")),
		named("statusWireBytes/s", of("failover.status.bytesRead", "failover.status.bytesWritten")),
		named("loans/s", of("lending.loans")),
		named("storeReads/s", reads/w.length.Seconds()),
		named("storeWrites/s", writes/w.length.Seconds()),
	}
}

func named(name string, value float64) Measure {
	return Measure{
		Name:  name,
		Value: value,
	}
}
