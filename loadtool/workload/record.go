// Package workload runs the users' kinds of work against a deployment as caller
// sessions, keeps a record of every write, and compares the records with the
// members' logs.
package workload

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"amaranthdock.dev/client"
)

// Kind of a request.
type Kind string

// The kinds of requests.
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
	// Keys that the request writes, each of them once.
	Keys      []string
	Outcome   client.Outcome
	Reason    string
	StartedAt time.Time
	EndedAt   time.Time
}

// histogram bounds.
const (
	minLatency  = time.Microsecond
	maxLatency  = time.Minute
	significant = 3
)

// Recorder collects what the sessions saw. It is safe for concurrent use.
type Recorder struct {
	mu        sync.Mutex
	writes    []WriteRecord
	outcomes  map[Kind]map[client.Outcome]int
	reasons   map[string]int
	latencies map[Kind]*hdrhistogram.Histogram
	fleet     map[string]*workspaceCount
	// replicaReads counts the reads that a replica answered.
	replicaReads int
	reads        int
	staleReads   []string
}

type workspaceCount struct {
	requests int
	done     int
	worth    int
	worst    time.Duration
}

// NewRecorder returns an empty Journal.
func NewRecorder() *Recorder {
	return &Recorder{
		outcomes:  map[Kind]map[client.Outcome]int{},
		reasons:   map[string]int{},
		latencies: map[Kind]*hdrhistogram.Histogram{},
		fleet:     map[string]*workspaceCount{},
	}
}

// Writes returns a copy of the records of all writes.
func (j *Recorder) Writes() []WriteRecord {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]WriteRecord(nil), j.writes...)
}

// StaleReads describes the reads that broke read-your-writes.
func (j *Recorder) StaleReads() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]string(nil), j.staleReads...)
}

// observation is one finished request.
type observation struct {
	kind      Kind
	workspace string
	worth     int
	err       error
	latency   time.Duration
	replica   bool
}

func (j *Recorder) observe(o observation) {
	outcome, reason := Classify(o.err)
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.outcomes[o.kind] == nil {
		j.outcomes[o.kind] = map[client.Outcome]int{}
		j.latencies[o.kind] = hdrhistogram.New(int64(minLatency), int64(maxLatency), significant)
	}
	j.outcomes[o.kind][outcome]++
	w, ok := j.fleet[o.workspace]
	if !ok {
		w = &workspaceCount{
			worth: o.worth,
		}
		j.fleet[o.workspace] = w
	}
	w.requests++
	if outcome != client.Done {
		j.reasons[reason]++
		return
	}
	w.done++
	w.worst = max(w.worst, o.latency)
	// Latencies are far below the histogram's bound.
	_ = j.latencies[o.kind].RecordValue(int64(min(o.latency, maxLatency)))
	if o.kind == KindRead || o.kind == KindMaxAgeRead {
		j.reads++
		if o.replica {
			j.replicaReads++
		}
	}
}

func (j *Recorder) recordWrite(w WriteRecord) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.writes = append(j.writes, w)
}

func (j *Recorder) recordStale(description string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.staleReads = append(j.staleReads, description)
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
