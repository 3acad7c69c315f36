package member

import (
	"encoding/json"
	"math"
	"net/http"
	"slices"
	"time"

	"amaranthdock.dev/standin/memberlog"
)

// maxExecutedStatements limits the length of the statement list. When it is reached,
// the older half is dropped.
const maxExecutedStatements = 1 << 20

// executedStatement is one statement that the member executed.
type executedStatement struct {
	Workspace string   `json:"workspace"`
	RequestID string   `json:"requestId"`
	Command   string   `json:"command"`
	Arguments []string `json:"arguments,omitempty"`
}

// logDump is the response of the test hook /log.
type logDump struct {
	Endpoint string `json:"endpoint"`
	// Leads is set if the member is the primary.
	Leads      bool              `json:"leads"`
	FencedTerm uint64            `json:"fencedTerm"`
	Entries    []memberlog.Entry `json:"entries"`
}

// connectionDump is the response of the test hook /connections.
type connectionDump struct {
	// Opened counts all connections since the start of the process, also refused ones.
	Opened int `json:"opened"`
}

// registerHooks adds the test hooks: GET /connections, GET /log, GET /statements,
// POST /lag?value=50ms and POST /replication?state=stopped|running.
func (m *Member) registerHooks(mux *http.ServeMux) {
	mux.HandleFunc("GET /connections", m.serveConnections)
	mux.HandleFunc("GET /log", m.serveLog)
	mux.HandleFunc("GET /statements", m.serveStatements)
	mux.HandleFunc("POST /lag", m.serveLag)
	mux.HandleFunc("POST /replication", m.serveReplication)
}

func (m *Member) serveConnections(w http.ResponseWriter, _ *http.Request) {
	m.mu.Lock()
	dump := connectionDump{Opened: m.openedConnections}
	m.mu.Unlock()
	m.writeJSON(w, dump)
}

func (m *Member) serveLag(w http.ResponseWriter, r *http.Request) {
	lag, err := time.ParseDuration(r.FormValue("value"))
	if err != nil || lag < 0 {
		http.Error(w, "value is not a duration of at least 0", http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.replicationLag = lag
}

func (m *Member) serveLog(w http.ResponseWriter, _ *http.Request) {
	m.mu.Lock()
	dump := logDump{
		Endpoint:   m.config.Name,
		Leads:      m.log.IsPrimary(),
		FencedTerm: m.log.FencedTerm(),
		Entries:    m.log.Entries(1, math.MaxInt),
	}
	m.mu.Unlock()
	m.writeJSON(w, dump)
}

// serveReplication stops or resumes the sending and accepting of replicated entries.
func (m *Member) serveReplication(w http.ResponseWriter, r *http.Request) {
	state := r.FormValue("state")
	if state != "stopped" && state != "running" {
		http.Error(w, "state must be stopped or running", http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.replicationStopped = state == "stopped"
	m.notify()
}

func (m *Member) serveStatements(w http.ResponseWriter, _ *http.Request) {
	m.mu.Lock()
	statements := slices.Clone(m.executedStatements)
	m.mu.Unlock()
	if statements == nil {
		statements = []executedStatement{}
	}
	m.writeJSON(w, statements)
}

func (m *Member) writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(value); err != nil {
		m.config.Logger.V(1).Info("member: could not send the response of a test hook", "cause", err.Error())
	}
}
