package vm

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

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
		ended:       map[string]endedUse{},
		dataCentres: metrics.GetOrRegisterGauge("evacuation.dataCentres", v.config.Registry),
		statements:  metrics.GetOrRegisterGauge("evacuation.statements", v.config.Registry),
	}
	for ctx.Err() == nil {
		changed := v.view.Changed()
		if progress.update(); len(progress.ended) > 0 {
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

// endedUse is what of this VM has ended in a data centre.
type endedUse struct {
	statements, connections bool
}

// evacuationProgress logs and counts what this VM still uses in evacuated data centres.
type evacuationProgress struct {
	vm *VM
	// ended holds what has ended in each evacuated data centre.
	ended       map[string]endedUse
	dataCentres metrics.Gauge
	statements  metrics.Gauge
}

// update ends what has to end now, and records what remains.
func (p *evacuationProgress) update() {
	evacuated := p.vm.view.Evacuations()
	p.vm.home.Evacuate()
	statements := 0
	ended := map[string]endedUse{}
	for _, name := range evacuated.DataCentres() {
		usage := p.vm.home.Usage(name)
		statements += usage.Statements
		mayStart := p.vm.mayStartIn(name)
		now := endedUse{
			statements:  !mayStart && usage.Statements == 0,
			connections: !mayStart && usage.Connections == 0,
		}
		if now.statements && !p.ended[name].statements {
			p.vm.config.Log.Info("This VM's last statement in an evacuated data centre has ended.", "dataCentre", name)
		}
		if now.connections && !p.ended[name].connections {
			p.vm.config.Log.Info("This VM's last connection to an evacuated data centre has ended.", "dataCentre", name)
		}
		ended[name] = now
	}
	p.ended = ended
	p.dataCentres.Update(int64(len(ended)))
	p.statements.Update(int64(statements))
}

// mayStartIn reports whether this VM may still start statements in an evacuated data centre:
// writes at a primary that has no successor yet.
func (v *VM) mayStartIn(dataCentre string) bool {
	for _, e := range v.view.Endpoints().ByID {
		if e.DataCentre == dataCentre && v.view.MayKeepConnections(e) {
			return true
		}
	}
	return false
}
