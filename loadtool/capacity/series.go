package capacity

import (
	"context"

	"github.com/rotisserie/eris"

	"amaranthdock.dev/loadtool/harness"
)

const (
	idle = "idle"
	// lightRate is the rate of the mixed load at each VM, in statements per second.
	lightRate = 10
	// ownTokens and borrowed name two loads: the VM that receives the requests holds a share
	// of the workspace's rate limit, or holds none and borrows tokens from other VMs.
	ownTokens = "own tokens"
	borrowed  = "borrowed"
	// probeReads is the number of reads that find out whether a VM borrows for a workspace.
	probeReads = 20
)

// varyVMs varies the number of VMs and keeps the number of databases, because the members
// needed for a constant number of endpoints per VM use more processor time at 56 VMs than a
// machine with 10 cores has. The endpoints per VM therefore decrease as the fleet grows; the
// series "databases" measures their cost.
func (r *runner) varyVMs(ctx context.Context) error {
	for _, vms := range r.config.VMs {
		if err := r.measureFleet(ctx, vms); err != nil {
			return err
		}
	}
	return nil
}

func (r *runner) measureFleet(ctx context.Context, vms int) error {
	const name = "vms"
	x := float64(vms)
	size := fleetConfig{
		vms:        vms,
		databases:  3,
		workspaces: defaultWorkspaces,
	}
	f, err := r.startFleetWithRetry(ctx, size)
	if err != nil {
		return err
	}
	defer f.stop()
	if err := r.measureWindow(ctx, f, name, idle, x); err != nil {
		return err
	}
	if err := f.waitUntilServing(ctx); err != nil {
		return err
	}
	load := f.startMixedLoad(ctx, lightRate)
	err = r.measureWindow(ctx, f, name, "light", x)
	load.stop()
	if err != nil {
		return err
	}
	r.printf("light load: %d statements, %d failed\n", load.succeeded.Load(), load.failed.Load())
	total, spread, err := f.measureChange(ctx)
	if err != nil {
		return err
	}
	detection, err := f.measureFailureDetection(ctx)
	if err != nil {
		return err
	}
	r.addMeasurement(name, "event", x, []Measure{
		newMeasure("changeEverywhere_s", total.Seconds()),
		newMeasure("changeFirstToLast_s", spread.Seconds()),
		newMeasure("killedVmDroppedByAll_s", detection.Seconds()),
	})
	return nil
}

// measureWindow waits until the fleet has settled and adds the measures of one window.
func (r *runner) measureWindow(ctx context.Context, f *fleet, name, load string, x float64) error {
	if err := f.sleep(ctx, settleTime); err != nil {
		return err
	}
	w, err := f.recordWindow(ctx, windowLength)
	if err != nil {
		return err
	}
	r.addMeasurement(name, load, x, w.measures())
	return nil
}

// varyDatabases varies the mean number of endpoints that have their home on the same VM.
func (r *runner) varyDatabases(ctx context.Context) error {
	const vms = 14
	for _, databases := range []int{3, 9, 18} {
		f, err := r.startFleetWithRetry(ctx, fleetConfig{
			vms:        vms,
			databases:  databases,
			workspaces: defaultWorkspaces,
		})
		if err != nil {
			return err
		}
		endpoints := float64(databases*harness.MembersPerDatabase) / vms
		err = r.measureWindow(ctx, f, "databases", idle, endpoints)
		f.stop()
		if err != nil {
			return err
		}
	}
	return nil
}

// varyWorkspaces varies the number of workspaces, and so the size of the configuration.
func (r *runner) varyWorkspaces(ctx context.Context) error {
	const name = "workspaces"
	f, err := r.startFleetWithRetry(ctx, fleetConfig{
		vms:        14,
		databases:  3,
		workspaces: defaultWorkspaces,
	})
	if err != nil {
		return err
	}
	defer f.stop()
	for _, count := range []int{defaultWorkspaces, 200, 1000} {
		if count > defaultWorkspaces {
			f.setWorkspaces(count)
			if err := f.deployment.Apply(ctx, f.declared); err != nil {
				return err
			}
		}
		if err := r.measureWindow(ctx, f, name, idle, float64(count)); err != nil {
			return err
		}
		total, spread, err := f.measureChange(ctx)
		if err != nil {
			return err
		}
		r.addMeasurement(name, "event", float64(count), []Measure{
			newMeasure("changeEverywhere_s", total.Seconds()),
			newMeasure("changeFirstToLast_s", spread.Seconds()),
		})
	}
	return nil
}

// varyConnections varies the number of open client connections at one VM.
func (r *runner) varyConnections(ctx context.Context) error {
	f, err := r.startFleetWithRetry(ctx, fleetConfig{
		vms:        7,
		databases:  3,
		workspaces: defaultWorkspaces,
	})
	if err != nil {
		return err
	}
	defer f.stop()
	v := f.deployment.VMs[0]
	for _, count := range []int{0, 500, 2000} {
		closeAll, err := openConnections(v, count)
		if err != nil {
			return err
		}
		if err := f.sleep(ctx, settleTime); err != nil {
			closeAll()
			return err
		}
		w, err := f.recordWindow(ctx, windowLength)
		closeAll()
		if err != nil {
			return err
		}
		r.addMeasurement("connections", idle, float64(count), []Measure{
			newMeasure("cores", w.cores(v.Name)),
			newMeasure("residentMiB", float64(w.after[v.Name].resident)/mebibyte),
		})
	}
	return nil
}

// varyStatements varies the rate of reads that one VM (the entry) receives and forwards to
// the endpoint's home VM. It measures two workspaces: one whose rate limit the entry VM
// holds a share of, and one for which it borrows all tokens.
func (r *runner) varyStatements(ctx context.Context) error {
	f, err := r.startFleetWithRetry(ctx, fleetConfig{
		vms:        28,
		databases:  3,
		workspaces: 2 * defaultWorkspaces,
	})
	if err != nil {
		return err
	}
	defer f.stop()
	if err := f.waitUntilServing(ctx); err != nil {
		return err
	}
	result, err := f.readOnce(ctx, f.deployment.VMs[0], f.spec.Workspaces[0].Name)
	if err != nil {
		return err
	}
	home := f.homeOf(result.Endpoint)
	entry, workspaces, err := f.findEntryVM(ctx, home)
	if err != nil {
		return err
	}
	r.printf("reading from %s through %s; its home VM is %s\n", result.Endpoint, entry.Name, home)
	for _, load := range []string{ownTokens, borrowed} {
		for _, rate := range []int{0, 250, 500, 1000} {
			if err := r.measureReads(ctx, f, readLoad{
				name:      load,
				workspace: workspaces[load],
				entry:     entry,
				home:      home,
				rate:      rate,
			}); err != nil {
				return err
			}
		}
	}
	return nil
}

// findEntryVM returns a VM other than the home, and two workspaces by the name of the load:
// one whose rate limit the VM holds a share of, and one whose limit it holds no share of.
func (f *fleet) findEntryVM(ctx context.Context, home string) (*harness.VM, map[string]string, error) {
	for _, v := range f.deployment.VMs {
		if v.Name == home {
			continue
		}
		found := map[string]string{}
		for _, w := range f.spec.Workspaces {
			loans, err := f.countLoans(ctx, v, w.Name)
			if err != nil {
				return nil, nil, err
			}
			if loans == 0 {
				found[ownTokens] = w.Name
			} else if loans >= probeReads {
				found[borrowed] = w.Name
			}
			if len(found) == 2 {
				return v, found, nil
			}
		}
	}
	return nil, nil, eris.New("capacity: found no VM that holds a share of one workspace's rate limit but not of another's")
}

func (f *fleet) countLoans(ctx context.Context, v *harness.VM, workspace string) (float64, error) {
	const loans = "lending.loans"
	before, err := f.fetchMetrics(v)
	if err != nil {
		return 0, err
	}
	for range probeReads {
		if _, err := f.readOnce(ctx, v, workspace); err != nil {
			return 0, eris.Wrapf(err, "capacity: read through %s", v.Name)
		}
	}
	after, err := f.fetchMetrics(v)
	return after[loans] - before[loans], err
}

// readLoad is a load of reads and the VMs that take part in it.
type readLoad struct {
	name      string
	workspace string
	entry     *harness.VM
	home      string
	rate      int
}

func (r *runner) measureReads(ctx context.Context, f *fleet, l readLoad) error {
	load := f.startReads(ctx, l.entry, l.workspace, l.rate)
	defer load.stop()
	if err := f.sleep(ctx, loadSettleTime); err != nil {
		return err
	}
	before := load.succeeded.Load()
	w, err := f.recordWindow(ctx, windowLength)
	if err != nil {
		return err
	}
	achieved := float64(load.succeeded.Load()-before) / w.length.Seconds()
	others := 0.0
	for vm := range w.after {
		if vm != l.entry.Name && vm != l.home {
			others += w.cores(vm)
		}
	}
	entry := l.entry.Name
	r.addMeasurement("statements", l.name, achieved, []Measure{
		newMeasure("entryCores", w.cores(entry)),
		newMeasure("homeCores", w.cores(l.home)),
		newMeasure("otherVmsCoresTotal", others),
		newMeasure("entryResidentMiB", float64(w.after[entry].resident)/mebibyte),
		newMeasure("homeResidentMiB", float64(w.after[l.home].resident)/mebibyte),
		newMeasure("entryLoans/s", w.rate(entry, "lending.loans")),
		newMeasure("entryLendingPayloadBytes/s", w.rate(entry, "peer.lending.bytesSent", "peer.lending.bytesReceived")),
		newMeasure("entryForwardPayloadBytes/s", w.rate(entry, "peer.forward.bytesSent", "peer.forward.bytesReceived")),
		newMeasure("entryPeerWireBytes/s", w.rate(entry, "peer.client.bytesWritten", "peer.client.bytesRead")),
		newMeasure("failed", float64(load.failed.Load())),
	})
	return nil
}

// setWorkspaces adds workspaces, each with its own key, to the declaration.
func (f *fleet) setWorkspaces(count int) {
	f.spec.Workspaces = newWorkspaces(count)
	f.declared = f.deployment.AddWorkspaces(f.declared, f.spec.Workspaces)
}
