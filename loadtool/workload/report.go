package workload

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"amaranthdock.dev/client"
)

// Latency returns a percentile of the latency of the requests that were done.
func (j *Recorder) Latency(kind Kind, percentile float64) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	h, ok := j.latencies[kind]
	if !ok {
		return 0
	}
	return time.Duration(h.ValueAtQuantile(percentile))
}

// Count returns the number of requests of a kind with an outcome.
func (j *Recorder) Count(kind Kind, outcome client.Outcome) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.outcomes[kind][outcome]
}

// ReplicaShare returns the share of the reads that replicas served, 0 to 1.
func (j *Recorder) ReplicaShare() float64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.reads == 0 {
		return 0
	}
	return float64(j.replicaReads) / float64(j.reads)
}

// WriteTable writes the outcomes, latencies and reasons as a table. The work names
// what the users call each kind; a kind without a name stands for itself.
func (j *Recorder) WriteTable(output io.Writer, work map[Kind]string) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "work\tdone\tnot run\tunknown\tp50\tp99\tmax\t")
	const p50, p99 = 50, 99
	for _, kind := range slices.Sorted(maps.Keys(j.outcomes)) {
		counts := j.outcomes[kind]
		h := j.latencies[kind]
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%s\t%s\t%s\t\n", cmp.Or(work[kind], string(kind)),
			counts[client.Done], counts[client.NotRun], counts[client.Unknown],
			rounded(h.ValueAtQuantile(p50)), rounded(h.ValueAtQuantile(p99)), rounded(h.Max()))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, reason := range slices.Sorted(maps.Keys(j.reasons)) {
		fmt.Fprintf(output, "  refused or failed, %s: %d\n", reason, j.reasons[reason])
	}
	if name, worst := j.worstServed(); worst != nil {
		fmt.Fprintf(output, "worst-served workspace: %s, %d of %d requests done, slowest %s\n",
			name, worst.done, worst.requests, rounded(int64(worst.worst)))
	}
	return nil
}

// worstServed returns the workspace with the lowest share of requests that were
// done; the caller holds the lock.
func (j *Recorder) worstServed() (string, *workspaceCount) {
	names := slices.Sorted(maps.Keys(j.fleet))
	if len(names) == 0 {
		return "", nil
	}
	name := slices.MinFunc(names, func(a, b string) int {
		return cmp.Compare(j.fleet[a].share(), j.fleet[b].share())
	})
	return name, j.fleet[name]
}

func (w *workspaceCount) share() float64 {
	return float64(w.done) / float64(max(w.requests, 1))
}

func rounded(nanoseconds int64) time.Duration {
	return time.Duration(nanoseconds).Round(10 * time.Microsecond)
}
