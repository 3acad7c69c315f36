// Package bench compares the decision logic of the proxy with simpler baselines in a
// discrete-event simulation. It uses neither sockets nor the real clock, so the same seed
// always gives the same results.
package bench

import (
	"bytes"
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"
)

// Config configures a run.
type Config struct {
	// Seed is the seed of all random values.
	Seed uint64
	// Duration is the simulated time of each scenario; 60 s if 0.
	Duration time.Duration
}

// Report is the result of a run.
type Report struct {
	Seed    uint64   `json:"seed"`
	Results []Result `json:"results"`
}

// Result holds the measurements of one choice (an algorithm or a setting) in one scenario.
type Result struct {
	Section  string `json:"section"`
	Scenario string `json:"scenario"`
	Choice   string `json:"choice"`
	// UsedByProxy marks the choice that the proxy uses; the others are baselines.
	UsedByProxy bool      `json:"pick"`
	Measures    []Measure `json:"measures"`
}

// Measure is one named value of a result.
type Measure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}

// Run runs every choice in every scenario.
func Run(config Config) Report {
	if config.Duration == 0 {
		config.Duration = time.Minute
	}
	report := Report{Seed: config.Seed}
	report.Results = append(report.Results, measureFlood(config)...)
	report.Results = append(report.Results, measureFloodOverCapacity(config)...)
	report.Results = append(report.Results, measureOverload(config)...)
	report.Results = append(report.Results, measureMixedOverload(config)...)
	report.Results = append(report.Results, measureOutageRecovery(config)...)
	report.Results = append(report.Results, measureUrgency(config)...)
	report.Results = append(report.Results, measureSharedLimits(config)...)
	report.Results = append(report.Results, measureRetryBudget(config)...)
	report.Results = append(report.Results, measureHomes(config)...)
	report.Results = append(report.Results, measureReplicaReads(config)...)
	report.Results = append(report.Results, MeasurePools(config)...)
	report.Results = append(report.Results, MeasureUnevenEndpoints(config)...)
	return report
}

// JSON returns the report as indented JSON.
func (r Report) JSON() ([]byte, error) {
	return json.MarshalIndent(r, "", "  ")
}

// Table returns the report as text. A "*" marks the choices that the proxy uses.
func (r Report) Table() string {
	var b bytes.Buffer
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	for _, result := range r.Results {
		mark := ""
		if result.UsedByProxy {
			mark = "*"
		}
		fmt.Fprintf(w, "%s\t%s\t%s%s", result.Section, result.Scenario, result.Choice, mark)
		for _, m := range result.Measures {
			fmt.Fprintf(w, "\t%s %.3f", m.Name, m.Value)
		}
		fmt.Fprintln(w)
	}
	// Writes to a buffer do not fail.
	_ = w.Flush()
	return b.String()
}

func newMeasure(name string, value float64) Measure {
	return Measure{
		Name:  name,
		Value: value,
	}
}
