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

// fleet is a deployment that is measured.
type fleet struct {
	config     Config
	shape      harness.Spec
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
	// workspaceRate is above any load of the measurements.
	workspaceRate  = 20_000
	workspaceBurst = 20_000
	// slots and connections leave the members out of the figures.
	slots       = 20
	connections = 60
	// httpTimeout of a page of a process.
	httpTimeout = 5 * time.Second
	// fewWorkspaces is the number of workspaces unless a series varies it.
	fewWorkspaces = 8
)

// startFleet starts the processes and applies a declaration.
func startFleet(ctx context.Context, config Config, size fleetConfig) (*fleet, error) {
	workDir, err := os.MkdirTemp("", "amaranthdock-capacity-")
	if err != nil {
		return nil, eris.Wrap(err, "capacity: work directory")
	}
	f := &fleet{
		config:  config,
		shape:   newShape(size),
		workDir: workDir,
		http: &http.Client{
			Timeout: httpTimeout,
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 64,
			},
		},
	}
	f.deployment, err = harness.Start(ctx, harness.Config{
		Spec:    f.shape,
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

// stop ends the processes and removes their files.
func (f *fleet) stop() {
	f.deployment.Stop()
	f.http.CloseIdleConnections()
	// What is left of the files is in the system's temporary directory.
	_ = os.RemoveAll(f.workDir)
}

func (f *fleet) sleep(ctx context.Context, duration time.Duration) error {
	return timer.Sleep(ctx, f.config.Timer, duration)
}

func newShape(size fleetConfig) harness.Spec {
	shape := harness.Hladnik()
	dataCentres := shape.VMs
	shape.Slots = slots
	shape.Connections = connections
	shape.ConnectionCost = time.Millisecond
	shape.StatementTime = 0
	shape.VMs = nil
	for i := range size.vms {
		shape.VMs = append(shape.VMs, dataCentres[i%len(dataCentres)])
	}
	shape.Databases = nil
	for i := range size.databases {
		shape.Databases = append(shape.Databases, fmt.Sprintf("database-%d", i+1))
	}
	shape.Workspaces = newWorkspaces(size.workspaces)
	return shape
}

func newWorkspaces(count int) []harness.WorkspaceSpec {
	var shapes []harness.WorkspaceSpec
	for i := range count {
		shapes = append(shapes, harness.WorkspaceSpec{
			Name:  fmt.Sprintf("workspace-%d", i+1),
			Worth: 1,
			Rate:  workspaceRate,
			Burst: workspaceBurst,
		})
	}
	return shapes
}
