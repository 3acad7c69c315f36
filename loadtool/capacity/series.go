package capacity

import (
	"context"

	"github.com/rotisserie/eris"

	"amaranthdock.dev/loadtool/harness"
)

const (
	idle = "idle"
	// lightRate is the mixed load at each VM, in statements per second.
	lightRate = 10
	// ownTokens and borrowed are loads whose entry does and doesn't hold a part of
	// the workspace's limit.
	ownTokens = "own tokens"
	borrowed  = "borrowed"
	// probeReads find out whether a VM borrows for a workspace.
	probeReads = 20
)

// varyVMs keeps the databases, because members for a constant number of endpoints
// at each VM take more processor time at 56 VMs than a machine of 10 cores has.
// The endpoints of each VM decrease with the fleet; the series "databases" tells
// what they cost.
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
		workspaces: fewWorkspaces,
	}
	f, err := r.start(ctx, size)
	if err != nil {
		return err
	}
	defer f.stop()
	if err := r.measureWindow(ctx, f, name, idle, x); err != nil {
		return err
	}
	if err := f.waitServing(ctx); err != nil {
		return err
	}
	load := f.mixed(ctx, lightRate)
	err = r.measureWindow(ctx, f, name, "light", x)
	load.stop()
	if err != nil {
		return err
	}
	r.printf("light load: %d statements, %d failed\n", load.done.Load(), load.failed.Load())
	total, spread, err := f.changeTime(ctx)
	if err != nil {
		return err
	}
	drop, err := f.dropTime(ctx)
	if err != nil {
		return err
	}
	r.add(name, "event", x, []Measure{
		named("changeEverywhere_s", total.Seconds()),
		named("changeFirstToLast_s", spread.Seconds()),
		named("killedVmDroppedByAll_s", drop.Seconds()),
	})
	return nil
}

// measureWindow settles and adds the measures of a window.
func (r *runner) measureWindow(ctx context.Context, f *fleet, name, load string, x float64) error {
	if err := f.sleep(ctx, settleTime); err != nil {
		return err
	}
	w, err := f.observe(ctx, windowTime)
	if err != nil {
		return err
	}
	r.add(name, load, x, w.measures())
	return nil
}

// varyDatabases is against the endpoints that are homed at each VM.
func (r *runner) varyDatabases(ctx context.Context) error {
	const vms = 14
	for _, databases := range []int{3, 9, 18} {
		f, err := r.start(ctx, fleetConfig{
			vms:        vms,
			databases:  databases,
			workspaces: fewWorkspaces,
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

// varyWorkspaces makes the document of one fleet larger.
func (r *runner) varyWorkspaces(ctx context.Context) error {
	const name = "workspaces"
	f, err := r.start(ctx, fleetConfig{
		vms:        14,
		databases:  3,
		workspaces: fewWorkspaces,
	})
	if err != nil {
		return err
	}
	defer f.stop()
	for _, count := range []int{fewWorkspaces, 200, 1000} {
		if count > fewWorkspaces {
			f.setWorkspaces(count)
			if err := f.deployment.Apply(ctx, f.declared); err != nil {
				return err
			}
		}
		if err := r.measureWindow(ctx, f, name, idle, float64(count)); err != nil {
			return err
		}
		total, spread, err := f.changeTime(ctx)
		if err != nil {
			return err
		}
		r.add(name, "event", float64(count), []Measure{
			named("changeEverywhere_s", total.Seconds()),
			named("changeFirstToLast_s", spread.Seconds()),
		})
	}
	return nil
}

// varyConnections holds client connections at one VM.
func (r *runner) varyConnections(ctx context.Context) error {
	f, err := r.start(ctx, fleetConfig{
		vms:        7,
		databases:  3,
		workspaces: fewWorkspaces,
	})
	if err != nil {
		return err
	}
	defer f.stop()
	v := f.deployment.VMs[0]
	for _, count := range []int{0, 500, 2000} {
		release, err := holdConnections(v, count)
		if err != nil {
			return err
		}
		if err := f.sleep(ctx, settleTime); err != nil {
			release()
			return err
		}
		w, err := f.observe(ctx, windowTime)
		release()
		if err != nil {
			return err
		}
		r.add("connections", idle, float64(count), []Measure{
			named("cores", w.cores(v.Name)),
			named("residentMiB", float64(w.after[v.Name].resident)/mebibyte),
		})
	}
	return nil
}

// varyStatements reads through one entry at the home of another VM, with a
// workspace whose limit the entry holds a part of and with one that it doesn't.
func (r *runner) varyStatements(ctx context.Context) error {
	f, err := r.start(ctx, fleetConfig{
		vms:        28,
		databases:  3,
		workspaces: 2 * fewWorkspaces,
	})
	if err != nil {
		return err
	}
	defer f.stop()
	if err := f.waitServing(ctx); err != nil {
		return err
	}
	result, err := f.readOnce(ctx, f.deployment.VMs[0], f.shape.Workspaces[0].Name)
	if err != nil {
		return err
	}
	home := f.homeOf(result.Endpoint)
	entry, workspaces, err := f.findEntry(ctx, home)
	if err != nil {
		return err
	}
	r.printf("reads of %s through %s at its home %s\n", result.Endpoint, entry.Name, home)
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

// findEntry returns a VM that is not the home, and a workspace whose limit it
// holds a part of and one that it doesn't.
func (f *fleet) findEntry(ctx context.Context, home string) (*harness.VM, map[string]string, error) {
	for _, v := range f.deployment.VMs {
		if v.Name == home {
			continue
		}
		found := map[string]string{}
		for _, w := range f.shape.Workspaces {
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
	return nil, nil, eris.New("capacity: no VM holds parts of some workspaces only")
}

func (f *fleet) countLoans(ctx context.Context, v *harness.VM, workspace string) (float64, error) {
	const loans = "lending.loans"
	before, err := f.fetchMetrics(v)
	if err != nil {
		return 0, err
	}
	for range probeReads {
		if _, err := f.readOnce(ctx, v, workspace); err != nil {
			return 0, eris.Wrapf(err, "capacity: read at %s", v.Name)
		}
	}
	after, err := f.fetchMetrics(v)
	return after[loans] - before[loans], err
}

// readLoad is a load of reads and where it goes.
type readLoad struct {
	name      string
	workspace string
	entry     *harness.VM
	home      string
	rate      int
}

func (r *runner) measureReads(ctx context.Context, f *fleet, l readLoad) error {
	load := f.reads(ctx, l.entry, l.workspace, l.rate)
	defer load.stop()
	if err := f.sleep(ctx, shortSettle); err != nil {
		return err
	}
	before := load.done.Load()
	w, err := f.observe(ctx, windowTime)
	if err != nil {
		return err
	}
	achieved := float64(load.done.Load()-before) / w.length.Seconds()
	others := 0.0
	for vm := range w.after {
		if vm != l.entry.Name && vm != l.home {
			others += w.cores(vm)
		}
	}
	entry := l.entry.Name
	r.add("statements", l.name, achieved, []Measure{
		named("entryCores", w.cores(entry)),
		named("homeCores", w.cores(l.home)),
		named("otherVmsCoresTotal", others),
		named("entryResidentMiB", float64(w.after[entry].resident)/mebibyte),
		named("homeResidentMiB", float64(w.after[l.home].resident)/mebibyte),
		named("entryLoans/s", w.rate(entry, "lending.loans")),
		named("entryLendingPayloadBytes/s", w.rate(entry, "peer.lending.bytesSent", "peer.lending.bytesReceived")),
		named("entryForwardPayloadBytes/s", w.rate(entry, "peer.forward.bytesSent", "peer.forward.bytesReceived")),
		named("entryPeerWireBytes/s", w.rate(entry, "peer.client.bytesWritten", "peer.client.bytesRead")),
		named("failed", float64(load.failed.Load())),
	})
	return nil
}

// setWorkspaces declares more workspaces, each with a key of its own.
func (f *fleet) setWorkspaces(count int) {
	f.shape.Workspaces = newWorkspaces(count)
	f.declared = f.deployment.AddWorkspaces(f.declared, f.shape.Workspaces)
}
