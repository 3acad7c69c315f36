package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
)

// Report holds the runs and the lines through them.
type Report struct {
	Began      time.Time `json:"began"`
	Cores      int       `json:"cores"`
	LoadBefore string    `json:"loadBefore"`
	LoadAfter  string    `json:"loadAfter"`
	Runs       []State   `json:"runs"`
	Fits       []Fit     `json:"fits"`
	// Failures name the series that ended early.
	Failures []string `json:"failures,omitempty"`
}

// State is one state of a fleet in which it was measured.
type State struct {
	Series string `json:"series"`
	// X is the value of what the series varies.
	X float64 `json:"x"`
	// Load is idle or the kind of load.
	Load     string    `json:"load"`
	Measures []Measure `json:"measures"`
}

// Measure is one figure, with its unit in the name.
type Measure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}

// Fit is the line of one measure against what a series varies.
type Fit struct {
	Series  string  `json:"series"`
	Load    string  `json:"load"`
	Measure string  `json:"measure"`
	Points  []Point `json:"points"`
	Line
}

// fitAll fits each measure of each series, in the order of the runs.
func (r *Report) fitAll() {
	type key struct {
		series, load, measure string
	}
	indexes := map[key]int{}
	for _, run := range r.Runs {
		for _, m := range run.Measures {
			k := key{
				series:  run.Series,
				load:    run.Load,
				measure: m.Name,
			}
			i, ok := indexes[k]
			if !ok {
				i = len(r.Fits)
				indexes[k] = i
				r.Fits = append(r.Fits, Fit{
					Series:  run.Series,
					Load:    run.Load,
					Measure: m.Name,
				})
			}
			r.Fits[i].Points = append(r.Fits[i].Points, Point{
				X: run.X,
				Y: m.Value,
			})
		}
	}
	for i := range r.Fits {
		r.Fits[i].Line = fit(r.Fits[i].Points)
	}
}

// WriteJSON writes the report as indented JSON.
func (r *Report) WriteJSON(output io.Writer) error {
	encoder := json.NewEncoder(output)
	encoder.SetIndent("", "  ")
	return eris.Wrap(encoder.Encode(r), "capacity: write the report")
}

// WriteTable writes one row for each measure of each series.
func (r *Report) WriteTable(output io.Writer) error {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	rows := []string{"series\tload\tmeasure\tvalues by x\tslope\tintercept"}
	for _, f := range r.Fits {
		values := ""
		for _, p := range f.Points {
			values += fmt.Sprintf("%.4g:%.4g ", p.X, p.Y)
		}
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%.4g\t%.4g", f.Series, f.Load, f.Measure, values, f.Slope, f.Intercept))
	}
	for _, row := range rows {
		if _, err := fmt.Fprintln(table, row); err != nil {
			return eris.Wrap(err, "capacity: write the table")
		}
	}
	return eris.Wrap(table.Flush(), "capacity: write the table")
}
