package member

import (
	"encoding/json"
	"math"
	"net/http"
	"slices"
	"time"

	"amaranthdock.dev/standin/memberlog"
)

// maxStatements bounds the memory of the statement list; the oldest ones go.
const maxStatements = 1 << 20

// ranStatement is one statement that the member ran.
type ranStatement struct {
	Workspace string   `json:"workspace"`
	RequestID string   `json:"requestId"`
	Command   string   `json:"command"`
	Arguments []string `json:"arguments,omitempty"`
}

// logDump is the answer of the hook /log.
type logDump struct {
	Endpoint   string            `json:"endpoint"`
	Leads      bool              `json:"leads"`
	FencedTerm uint64            `json:"fencedTerm"`
	Entries    []memberlog.Entry `json:"entries"`
}

// registerHooks adds the test hooks: GET /log, GET /statements,
// POST /lag?value=50ms and POST /replication?state=stopped|running.
func (m *Member) registerHooks(mux *http.ServeMux) {
	mux.HandleFunc("GET /log", m.serveLog)
	mux.HandleFunc("GET /statements", m.serveStatements)
	mux.HandleFunc("POST /lag", m.serveLag)
	mux.HandleFunc("POST /replication", m.serveReplication)
}

func (m *Member) serveLag(w http.ResponseWriter, r *http.Request) {
	lag, err := time.ParseDuration(r.FormValue("value"))
	if err != nil || lag < 0 {
		http.Error(w, "value is no duration", http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lag = lag
}

func (m *Member) serveLog(w http.ResponseWriter, _ *http.Request) {
	m.mu.Lock()
	dump := logDump{
		Endpoint:   m.config.Name,
		Leads:      m.log.Leads(),
		FencedTerm: m.log.FencedTerm(),
		Entries:    m.log.Entries(1, math.MaxInt),
	}
	m.mu.Unlock()
	m.writeJSON(w, dump)
}

// serveReplication stops or starts sending and accepting replicated entries.
func (m *Member) serveReplication(w http.ResponseWriter, r *http.Request) {
	state := r.FormValue("state")
	if state != "stopped" && state != "running" {
		http.Error(w, "state is neither stopped nor running", http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = state == "stopped"
	m.notify()
}

func (m *Member) serveStatements(w http.ResponseWriter, _ *http.Request) {
	m.mu.Lock()
	statements := slices.Clone(m.statements)
	m.mu.Unlock()
	if statements == nil {
		statements = []ranStatement{}
	}
	m.writeJSON(w, statements)
}

func (m *Member) writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(value); err != nil {
		m.config.Logger.V(1).Info("member: hook answer not sent", "cause", err.Error())
	}
}
