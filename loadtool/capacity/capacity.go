// Package capacity measures what a proxy costs, and how that grows with the
// fleet, on deployments of real processes.
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
	// Output receives the progress and the table.
	Output io.Writer
	// JSON receives the report; nil for none.
	JSON  io.Writer
	Timer timer.Service
	// Series to measure; all if empty.
	Series []string
	// VMs holds the sizes of the fleets of the series "vms".
	VMs []int
}

const (
	// runLimit bounds the whole measurement.
	runLimit = 6 * time.Minute
	// firstSubnet of the fleets; each takes one.
	firstSubnet = 150
	lastSubnet  = 169
	// startTries bounds the starts of one fleet.
	startTries = 3
	// settleTime after a start or a change, before a window.
	settleTime = 4 * time.Second
	// shortSettle after a change of the load only.
	shortSettle = time.Second
	windowTime  = 4 * time.Second
)

// runner collects the report.
type runner struct {
	config Config
	report *Report
	subnet byte
}

// series is one dimension of the measurement.
type series struct {
	name string
	run  func(ctx context.Context) error
}

// Run measures all series and writes the table. A series that fails is reported
// and doesn't stop the others.
func Run(ctx context.Context, config Config) error {
	ctx, cancel := timer.WithTimeout(ctx, config.Timer, runLimit)
	defer cancel()
	r := &runner{
		config: config,
		subnet: firstSubnet,
		report: &Report{
			Began:      config.Timer.Now(),
			Cores:      runtime.NumCPU(),
			LoadBefore: machineLoad(),
		},
	}
	for _, s := range r.allSeries() {
		if !wanted(config.Series, s.name) || ctx.Err() != nil {
			continue
		}
		if err := s.run(ctx); err != nil {
			r.report.Failures = append(r.report.Failures, s.name+": "+err.Error())
			r.printf("series %s ended early: %s\n", s.name, err)
		}
	}
	r.report.LoadAfter = machineLoad()
	r.report.fitAll()
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

// Names returns the names of the series.
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

// start starts a fleet on a subnet of its own. It tries again if that fails: a
// port that was free when it was picked may be the source of a connection by the
// time that its process listens.
func (r *runner) start(ctx context.Context, size fleetConfig) (*fleet, error) {
	last := eris.New("no subnet is left")
	for range startTries {
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
		last = err
	}
	return nil, eris.Wrap(last, "capacity: start a fleet")
}

func (r *runner) add(name, load string, x float64, measures []Measure) {
	r.report.Runs = append(r.report.Runs, State{
		Series:   name,
		X:        x,
		Load:     load,
		Measures: measures,
	})
}

func (r *runner) printf(format string, values ...any) {
	// The output is for people; a failure to write it changes nothing.
	_, _ = fmt.Fprintf(r.config.Output, format, values...)
}

func wanted(names []string, name string) bool {
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
