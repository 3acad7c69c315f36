// Package bench measures the decisions of the proxy against their baselines in a
// seeded discrete-event run: no socket, no clock, the same result on each run.
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
	// Seed of all random values.
	Seed uint64
	// Duration of each scenario; 60 s if 0.
	Duration time.Duration
}

// Report is the result of a run.
type Report struct {
	Seed    uint64   `json:"seed"`
	Results []Result `json:"results"`
}

// Result is one choice in one scenario.
type Result struct {
	Section  string `json:"section"`
	Scenario string `json:"scenario"`
	Choice   string `json:"choice"`
	// Pick marks the product's choice; the others are baselines.
	Pick     bool      `json:"pick"`
	Measures []Measure `json:"measures"`
}

// Measure is one figure of a result.
type Measure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}

// Run measures every choice in every scenario.
func Run(config Config) Report {
	if config.Duration == 0 {
		config.Duration = time.Minute
	}
	report := Report{Seed: config.Seed}
	report.Results = append(report.Results, flood(config)...)
	report.Results = append(report.Results, crowded(config)...)
	report.Results = append(report.Results, overload(config)...)
	report.Results = append(report.Results, mixed(config)...)
	report.Results = append(report.Results, storm(config)...)
	report.Results = append(report.Results, limited(config)...)
	report.Results = append(report.Results, retried(config)...)
	report.Results = append(report.Results, homes(config)...)
	report.Results = append(report.Results, replicaReads(config)...)
	return report
}

// JSON returns the report as indented JSON.
func (r Report) JSON() ([]byte, error) {
	return json.MarshalIndent(r, "", "  ")
}

// Table returns the report as text. The product's choices are marked with "*".
func (r Report) Table() string {
	var b bytes.Buffer
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	for _, result := range r.Results {
		mark := ""
		if result.Pick {
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

func measure(name string, value float64) Measure {
	return Measure{
		Name:  name,
		Value: value,
	}
}
