package capacity

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"amaranthdock.dev/loadtool/harness"
	"amaranthdock.dev/timer"
)

// fleet is a running deployment under measurement.
type fleet struct {
	config     Config
	spec       harness.Spec
	deployment *harness.Deployment
	declared   *harness.Declaration
	http       *http.Client
	workDir    string
}

// fleetConfig is the size of a fleet.
type fleetConfig struct {
	vms        int
	databases  int
	workspaces int
	subnet     byte
}

const (
	// workspaceRate is higher than any measured load, so no request is refused.
	workspaceRate  = 20_000
	workspaceBurst = 20_000
	// slots and connections are high enough that the endpoints do not limit the results.
	slots       = 20
	connections = 60
	// httpTimeout limits one HTTP request for the metrics of a process.
	httpTimeout = 5 * time.Second
	// defaultWorkspaces is the number of workspaces unless a series varies it.
	defaultWorkspaces = 8
)

// startFleet starts the processes and applies a declaration.
func startFleet(ctx context.Context, config Config, size fleetConfig) (*fleet, error) {
	workDir, err := os.MkdirTemp("", "amaranthdock-capacity-")
	if err != nil {
		return nil, eris.Wrap(err, "capacity: create the work directory")
	}
	f := &fleet{
		config:  config,
		spec:    newSpec(size),
		workDir: workDir,
		http: &http.Client{
			Timeout: httpTimeout,
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 64,
			},
		},
	}
	f.deployment, err = harness.Start(ctx, harness.Config{
		Spec:    f.spec,
		BinDir:  config.BinDir,
		WorkDir: workDir,
		Subnet:  size.subnet,
		Timer:   config.Timer,
	})
	if err != nil {
		_ = os.RemoveAll(workDir)
		return nil, err
	}
	f.declared = f.deployment.NewDeclaration()
	if err := f.deployment.Apply(ctx, f.declared); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

// stop ends the processes and deletes their files.
func (f *fleet) stop() {
	f.deployment.Stop()
	f.http.CloseIdleConnections()
	// Files that cannot be deleted remain in the system's temporary directory.
	_ = os.RemoveAll(f.workDir)
}

func (f *fleet) sleep(ctx context.Context, duration time.Duration) error {
	return timer.Sleep(ctx, f.config.Timer, duration)
}

func newSpec(size fleetConfig) harness.Spec {
	spec := harness.Hladnik()
	dataCentres := spec.VMs
	spec.Slots = slots
	spec.Connections = connections
	spec.ConnectionCost = time.Millisecond
	spec.StatementTime = 0
	spec.VMs = nil
	for i := range size.vms {
		spec.VMs = append(spec.VMs, dataCentres[i%len(dataCentres)])
	}
	spec.Databases = nil
	for i := range size.databases {
		spec.Databases = append(spec.Databases, fmt.Sprintf("database-%d", i+1))
	}
	spec.Workspaces = newWorkspaces(size.workspaces)
	return spec
}

func newWorkspaces(count int) []harness.WorkspaceSpec {
	var specs []harness.WorkspaceSpec
	for i := range count {
		specs = append(specs, harness.WorkspaceSpec{
			Name:  fmt.Sprintf("workspace-%d", i+1),
			Worth: 1,
			Rate:  workspaceRate,
			Burst: workspaceBurst,
		})
	}
	return specs
}
