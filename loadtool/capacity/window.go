package capacity

import (
	"context"
	"time"
)

// window is the time between two samples of a fleet.
type window struct {
	length     time.Duration
	before     map[string]sample
	after      map[string]sample
	storeCalls map[string]float64
}

// controlPurposes are the purposes of the control messages between proxies. They are part
// of the metric names, such as peer.gossip.bytesSent.
var controlPurposes = []string{"failover", "gossip", "lending"}

// storeWrites holds the kinds of store calls that write.
var storeWrites = map[string]bool{
	"compareAndSwap": true,
	"grantLease":     true,
	"renewLease":     true,
}

// recordWindow samples the fleet, waits, and samples it again.
func (f *fleet) recordWindow(ctx context.Context, length time.Duration) (*window, error) {
	callsBefore, err := f.fetchStoreCalls()
	if err != nil {
		return nil, err
	}
	before, err := f.sampleAll()
	if err != nil {
		return nil, err
	}
	startedAt := f.config.Timer.Now()
	if err := f.sleep(ctx, length); err != nil {
		return nil, err
	}
	elapsed := f.config.Timer.Now().Sub(startedAt)
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
		length:     elapsed,
		before:     before,
		after:      after,
		storeCalls: callsAfter,
	}, nil
}

// rate returns the increase per second of the sum of some metrics of a VM.
func (w *window) rate(vm string, names ...string) float64 {
	total := 0.0
	for _, name := range names {
		total += w.after[vm].metrics[name] - w.before[vm].metrics[name]
	}
	return total / w.length.Seconds()
}

// cores returns the processor time of a VM per second of the window.
func (w *window) cores(vm string) float64 {
	return (w.after[vm].cpu - w.before[vm].cpu).Seconds() / w.length.Seconds()
}

// mean returns the mean of a value over all VMs.
func (w *window) mean(value func(vm string) float64) float64 {
	total := 0.0
	for vm := range w.after {
		total += value(vm)
	}
	return total / float64(len(w.after))
}

// measures returns the mean measures per VM, and the rates of store calls.
func (w *window) measures() []Measure {
	var messages, payload []string
	for _, purpose := range controlPurposes {
		for _, direction := range []string{"Sent", "Received"} {
			messages = append(messages, "peer."+purpose+".messages"+direction)
			payload = append(payload, "peer."+purpose+".bytes"+direction)
		}
	}
	meanRate := func(names ...string) float64 {
		return w.mean(func(vm string) float64 { return w.rate(vm, names...) })
	}
	reads, writes := 0.0, 0.0
	for kind, count := range w.storeCalls {
		if storeWrites[kind] {
			writes += count
		} else {
			reads += count
		}
	}
	maxCores := 0.0
	for vm := range w.after {
		maxCores = max(maxCores, w.cores(vm))
	}
	return []Measure{
		newMeasure("cores", w.mean(w.cores)),
		newMeasure("coresMax", maxCores),
		newMeasure("residentMiB", w.mean(func(vm string) float64 { return float64(w.after[vm].resident) / mebibyte })),
		newMeasure("controlMessages/s", meanRate(messages...)),
		newMeasure("controlPayloadBytes/s", meanRate(payload...)),
		newMeasure("peerWireSentBytes/s", meanRate("peer.client.bytesWritten", "peer.server.bytesWritten")),
		newMeasure("peerWireReceivedBytes/s", meanRate("peer.client.bytesRead", "peer.server.bytesRead")),
		newMeasure("forwardPayloadBytes/s", meanRate("peer.forward.bytesSent", "peer.forward.bytesReceived")),
		newMeasure("statusWireBytes/s", meanRate("failover.status.bytesRead", "failover.status.bytesWritten")),
		newMeasure("loans/s", meanRate("lending.loans")),
		newMeasure("storeReads/s", reads/w.length.Seconds()),
		newMeasure("storeWrites/s", writes/w.length.Seconds()),
	}
}

func newMeasure(name string, value float64) Measure {
	return Measure{
		Name:  name,
		Value: value,
	}
}
