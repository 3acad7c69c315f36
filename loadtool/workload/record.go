// Package workload runs caller sessions that send the users' kinds of requests to a
// deployment. It records every write and compares the records with the members' logs.
package workload

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"amaranthdock.dev/client"
)

// Kind is the kind of a request.
type Kind string

// Kinds of requests. A max-age read accepts data up to a maximum age.
const (
	KindRead        Kind = "read"
	KindMaxAgeRead  Kind = "aged read"
	KindWrite       Kind = "write"
	KindTransaction Kind = "transaction"
)

// WriteRecord is the record of one write request.
type WriteRecord struct {
	RequestID string
	Database  string
	Workspace string
	// Keys are the keys that the request writes, each of them once.
	Keys      []string
	Outcome   client.Outcome
	Reason    string
	StartedAt time.Time
	EndedAt   time.Time
}

// Range and precision of the latency histograms.
const (
	minLatency        = time.Microsecond
	maxLatency        = time.Minute
	significantDigits = 3
)

// Recorder records the results of all requests. It is safe for concurrent use.
type Recorder struct {
	mu         sync.Mutex
	writes     []WriteRecord
	outcomes   map[Kind]map[client.Outcome]int
	reasons    map[string]int
	latencies  map[Kind]*hdrhistogram.Histogram
	workspaces map[string]*workspaceStats
	// replicaReads counts the reads served by a replica.
	replicaReads int
	reads        int
	staleReads   []string
}

type workspaceStats struct {
	requests   int
	done       int
	worth      int
	maxLatency time.Duration
}

// NewRecorder returns an empty Recorder.
func NewRecorder() *Recorder {
	return &Recorder{
		outcomes:   map[Kind]map[client.Outcome]int{},
		reasons:    map[string]int{},
		latencies:  map[Kind]*hdrhistogram.Histogram{},
		workspaces: map[string]*workspaceStats{},
	}
}

// Writes returns a copy of the records of all writes.
func (r *Recorder) Writes() []WriteRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]WriteRecord(nil), r.writes...)
}

// StaleReads describes the reads that violated read-your-writes consistency.
func (r *Recorder) StaleReads() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.staleReads...)
}

// requestResult is the result of one request.
type requestResult struct {
	kind        Kind
	workspace   string
	worth       int
	err         error
	latency     time.Duration
	fromReplica bool
}

func (r *Recorder) recordRequest(result requestResult) {
	outcome, reason := Classify(result.err)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.outcomes[result.kind] == nil {
		r.outcomes[result.kind] = map[client.Outcome]int{}
		r.latencies[result.kind] = hdrhistogram.New(int64(minLatency), int64(maxLatency), significantDigits)
	}
	r.outcomes[result.kind][outcome]++
	w, ok := r.workspaces[result.workspace]
	if !ok {
		w = &workspaceStats{
			worth: result.worth,
		}
		r.workspaces[result.workspace] = w
	}
	w.requests++
	if outcome != client.Done {
		r.reasons[reason]++
		return
	}
	w.done++
	w.maxLatency = max(w.maxLatency, result.latency)
	// The value is within the histogram's range, so recording it cannot fail.
	_ = r.latencies[result.kind].RecordValue(int64(min(result.latency, maxLatency)))
	if result.kind == KindRead || result.kind == KindMaxAgeRead {
		r.reads++
		if result.fromReplica {
			r.replicaReads++
		}
	}
}

func (r *Recorder) recordWrite(w WriteRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writes = append(r.writes, w)
}

func (r *Recorder) recordStaleRead(description string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.staleReads = append(r.staleReads, description)
}

// Classify returns the outcome and the reason of a request's error.
func Classify(err error) (client.Outcome, string) {
	if err == nil {
		return client.Done, ""
	}
	if failed, ok := client.As(err); ok {
		reason := failed.Reason
		if reason == "" {
			reason = "no answer"
		}
		return failed.Outcome, reason
	}
	return client.Unknown, "other"
}
