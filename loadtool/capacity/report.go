package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
)

// Report holds the measurements and the lines fitted to them.
type Report struct {
	StartedAt  time.Time     `json:"began"`
	Cores      int           `json:"cores"`
	LoadBefore string        `json:"loadBefore"`
	LoadAfter  string        `json:"loadAfter"`
	Runs       []Measurement `json:"runs"`
	Fits       []Fit         `json:"fits"`
	// Failures holds the name and the error of each series that ended early.
	Failures []string `json:"failures,omitempty"`
}

// Measurement holds the measures of a fleet at one value of the varied parameter.
type Measurement struct {
	Series string `json:"series"`
	// X is the value of the parameter that the series varies.
	X float64 `json:"x"`
	// Load is "idle" or the kind of load.
	Load     string    `json:"load"`
	Measures []Measure `json:"measures"`
}

// Measure is one value; its name contains the unit.
type Measure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}

// Fit is the line through one measure as a function of the parameter that a series varies.
type Fit struct {
	Series  string  `json:"series"`
	Load    string  `json:"load"`
	Measure string  `json:"measure"`
	Points  []Point `json:"points"`
	Line
}

// fitLines fits a line to each measure of each series, in the order of the measurements.
func (r *Report) fitLines() {
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
		r.Fits[i].Line = fitLine(r.Fits[i].Points)
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
