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

// Latency returns a percentile of the latency of successful requests.
func (r *Recorder) Latency(kind Kind, percentile float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	h, ok := r.latencies[kind]
	if !ok {
		return 0
	}
	return time.Duration(h.ValueAtQuantile(percentile))
}

// Count returns the number of requests of a kind with an outcome.
func (r *Recorder) Count(kind Kind, outcome client.Outcome) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outcomes[kind][outcome]
}

// ReplicaShare returns the fraction of the reads served by replicas, 0 to 1.
func (r *Recorder) ReplicaShare() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reads == 0 {
		return 0
	}
	return float64(r.replicaReads) / float64(r.reads)
}

// WriteTable writes the outcomes, latencies and reasons as a table. The names are the users'
// terms for the kinds of requests; a kind without a name is written as it is.
func (r *Recorder) WriteTable(output io.Writer, names map[Kind]string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "work\tdone\tnot run\tunknown\tp50\tp99\tmax\t")
	const p50, p99 = 50, 99
	for _, kind := range slices.Sorted(maps.Keys(r.outcomes)) {
		counts := r.outcomes[kind]
		h := r.latencies[kind]
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%s\t%s\t%s\t\n", cmp.Or(names[kind], string(kind)),
			counts[client.Done], counts[client.NotRun], counts[client.Unknown],
			rounded(h.ValueAtQuantile(p50)), rounded(h.ValueAtQuantile(p99)), rounded(h.Max()))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, reason := range slices.Sorted(maps.Keys(r.reasons)) {
		fmt.Fprintf(output, "  refused or failed, %s: %d\n", reason, r.reasons[reason])
	}
	if name, worst := r.worstServed(); worst != nil {
		fmt.Fprintf(output, "worst-served workspace: %s, %d of %d requests done, slowest %s\n",
			name, worst.done, worst.requests, rounded(int64(worst.maxLatency)))
	}
	return nil
}

// worstServed returns the workspace with the lowest fraction of successful requests. The
// caller must hold the lock.
func (r *Recorder) worstServed() (string, *workspaceStats) {
	names := slices.Sorted(maps.Keys(r.workspaces))
	if len(names) == 0 {
		return "", nil
	}
	name := slices.MinFunc(names, func(a, b string) int {
		return cmp.Compare(r.workspaces[a].share(), r.workspaces[b].share())
	})
	return name, r.workspaces[name]
}

func (w *workspaceStats) share() float64 {
	return float64(w.done) / float64(max(w.requests, 1))
}

func rounded(nanoseconds int64) time.Duration {
	return time.Duration(nanoseconds).Round(10 * time.Microsecond)
}
