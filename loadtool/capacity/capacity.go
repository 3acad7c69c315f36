// Package capacity measures the resource use of a proxy and how it grows with the size of
// the fleet. It runs deployments of real processes.
package capacity

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"amaranthdock.dev/timer"
)

// Config configures Run.
type Config struct {
	// BinDir holds the programs.
	BinDir string
	// Output receives progress messages and the table.
	Output io.Writer
	// JSON receives the report; nil for no JSON report.
	JSON  io.Writer
	Timer timer.Service
	// Series lists the names of the series to measure; all if empty.
	Series []string
	// VMs holds the fleet sizes of the series "vms".
	VMs []int
}

const (
	// runTimeout limits the whole measurement.
	runTimeout = 6 * time.Minute
	// Each fleet uses its own subnet from firstSubnet to lastSubnet.
	firstSubnet = 150
	lastSubnet  = 169
	// maxStartAttempts limits the attempts to start one fleet.
	maxStartAttempts = 3
	// settleTime is the wait between a start or a change of the fleet and a measurement.
	settleTime = 4 * time.Second
	// loadSettleTime is the wait if only the load has changed.
	loadSettleTime = time.Second
	windowLength   = 4 * time.Second
)

// runner runs the series and collects the report.
type runner struct {
	config Config
	report *Report
	subnet byte
}

// series varies one parameter of the fleet or of its load.
type series struct {
	name string
	run  func(ctx context.Context) error
}

// Run measures the selected series and writes the table. A series that fails is reported
// and does not stop the others.
func Run(ctx context.Context, config Config) error {
	ctx, cancel := timer.WithTimeout(ctx, config.Timer, runTimeout)
	defer cancel()
	r := &runner{
		config: config,
		subnet: firstSubnet,
		report: &Report{
			StartedAt:  config.Timer.Now(),
			Cores:      runtime.NumCPU(),
			LoadBefore: machineLoad(),
		},
	}
	for _, s := range r.allSeries() {
		if !isSelected(config.Series, s.name) || ctx.Err() != nil {
			continue
		}
		if err := s.run(ctx); err != nil {
			r.report.Failures = append(r.report.Failures, s.name+": "+err.Error())
			r.printf("series %s ended early: %s\n", s.name, err)
		}
	}
	r.report.LoadAfter = machineLoad()
	r.report.fitLines()
	r.printf("%d cores; load average before %s, after %s\n", r.report.Cores, r.report.LoadBefore, r.report.LoadAfter)
	if err := r.report.WriteTable(config.Output); err != nil {
		return err
	}
	if config.JSON != nil {
		if err := r.report.WriteJSON(config.JSON); err != nil {
			return err
		}
	}
	if len(r.report.Failures) > 0 {
		return eris.Errorf("capacity: %d series ended early", len(r.report.Failures))
	}
	return nil
}

// Names returns the names of all series.
func Names() []string {
	var names []string
	for _, s := range (&runner{}).allSeries() {
		names = append(names, s.name)
	}
	return names
}

func (r *runner) allSeries() []series {
	return []series{
		{
			name: "vms",
			run:  r.varyVMs,
		},
		{
			name: "databases",
			run:  r.varyDatabases,
		},
		{
			name: "workspaces",
			run:  r.varyWorkspaces,
		},
		{
			name: "connections",
			run:  r.varyConnections,
		},
		{
			name: "statements",
			run:  r.varyStatements,
		},
	}
}

// startFleetWithRetry starts a fleet on its own subnet and retries on another subnet if
// that fails. A start can fail because a port that was free when it was chosen has become
// the source port of a connection before the process listens on it.
func (r *runner) startFleetWithRetry(ctx context.Context, size fleetConfig) (*fleet, error) {
	lastErr := eris.New("all subnets have been used")
	for range maxStartAttempts {
		if r.subnet > lastSubnet {
			break
		}
		size.subnet = r.subnet
		r.subnet++
		r.printf("%d VMs, %d databases, %d workspaces\n", size.vms, size.databases, size.workspaces)
		started, err := startFleet(ctx, r.config, size)
		if err == nil {
			return started, nil
		}
		r.printf("start failed: %s\n", err)
		lastErr = err
	}
	return nil, eris.Wrap(lastErr, "capacity: start a fleet")
}

func (r *runner) addMeasurement(name, load string, x float64, measures []Measure) {
	r.report.Runs = append(r.report.Runs, Measurement{
		Series:   name,
		X:        x,
		Load:     load,
		Measures: measures,
	})
}

func (r *runner) printf(format string, values ...any) {
	// Write errors are ignored: the output is only for people to read.
	_, _ = fmt.Fprintf(r.config.Output, format, values...)
}

func isSelected(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return len(names) == 0
}

// machineLoad returns the load averages of 1, 5 and 15 minutes.
func machineLoad() string {
	const averages = 3
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	fields := strings.Fields(string(text))
	return strings.Join(fields[:min(averages, len(fields))], " ")
}
