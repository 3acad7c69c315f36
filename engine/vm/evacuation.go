package vm

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"amaranthdock.dev/engine/endpoint"
	"amaranthdock.dev/engine/store"
	"amaranthdock.dev/timer"
)

// evacuationCheckInterval is how often a VM looks for connections and transactions that it has
// to end while a data centre is evacuated.
const evacuationCheckInterval = 50 * time.Millisecond

// evacuationSource returns the source of evacuations; nil if the deployment has none.
func (v *VM) evacuationSource() store.EvacuationSource {
	if v.config.EvacuationLimit <= 0 {
		return nil
	}
	return v.config.EvacuationSource
}

// followEvacuations ends what this VM uses in evacuated data centres, until the context ends.
func (v *VM) followEvacuations(ctx context.Context) {
	if v.config.EvacuationLimit <= 0 {
		<-ctx.Done()
		return
	}
	progress := &evacuationProgress{
		vm:          v,
		remaining:   map[string]endpoint.Usage{},
		dataCentres: metrics.GetOrRegisterGauge("evacuation.dataCentres", v.config.Registry),
		statements:  metrics.GetOrRegisterGauge("evacuation.statements", v.config.Registry),
	}
	for ctx.Err() == nil {
		changed := v.view.Changed()
		if progress.update(); len(progress.remaining) > 0 {
			// The context is checked by the loop.
			_ = timer.Sleep(ctx, v.config.Timer, evacuationCheckInterval)
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// evacuationProgress logs and counts what this VM still uses in evacuated data centres.
type evacuationProgress struct {
	vm *VM
	// remaining holds what was in use in each evacuated data centre at the last update.
	remaining   map[string]endpoint.Usage
	dataCentres metrics.Gauge
	statements  metrics.Gauge
}

// update ends what has to end now, and records what remains.
func (p *evacuationProgress) update() {
	evacuated := p.vm.view.Evacuations()
	p.vm.home.Evacuate()
	statements := 0
	remaining := map[string]endpoint.Usage{}
	for _, name := range evacuated.DataCentres() {
		usage := p.vm.home.Usage(name)
		before, known := p.remaining[name]
		if usage.Statements == 0 && (!known || before.Statements > 0) {
			p.vm.config.Log.Info("This VM's last statement in an evacuated data centre has ended.", "dataCentre", name)
		}
		if usage.Connections == 0 && (!known || before.Connections > 0) {
			p.vm.config.Log.Info("This VM's last connection to an evacuated data centre has ended.", "dataCentre", name)
		}
		statements += usage.Statements
		remaining[name] = usage
	}
	p.remaining = remaining
	p.dataCentres.Update(int64(len(remaining)))
	p.statements.Update(int64(statements))
}
