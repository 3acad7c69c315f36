package workload

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"amaranthdock.dev/client"
	"amaranthdock.dev/standin/memberlog"
)

// MemberLog is the response of a simulated member's test hook /log.
type MemberLog struct {
	Endpoint   string            `json:"endpoint"`
	IsPrimary  bool              `json:"leads"`
	FencedTerm uint64            `json:"fencedTerm"`
	Entries    []memberlog.Entry `json:"entries"`
}

// FetchLog reads the log of a member.
func FetchLog(httpClient *http.Client, memberURL string) (*MemberLog, error) {
	response, err := httpClient.Get(memberURL + "/log")
	if err != nil {
		return nil, eris.Wrap(err, "workload: read a member's log")
	}
	defer response.Body.Close()
	log := &MemberLog{}
	if err := json.NewDecoder(response.Body).Decode(log); err != nil {
		return nil, eris.Wrap(err, "workload: decode a member's log")
	}
	return log, nil
}

// VerifyResult is the result of comparing the callers' records with the members' logs.
type VerifyResult struct {
	Acknowledged int
	NotRun       int
	Unknown      int
	// Lost holds acknowledged writes that are missing from the primary's log.
	Lost []string
	// Doubled holds writes whose request id is in the primary's log more than once.
	Doubled []string
	// FalseNotRun holds writes reported as not run that are in the primary's log.
	FalseNotRun []string
	// WrongWorkspace holds writes logged under a workspace other than the caller's.
	WrongWorkspace []string
}

// Passed reports whether no write was lost, applied twice or misreported.
func (v *VerifyResult) Passed() bool {
	return len(v.Lost)+len(v.Doubled)+len(v.FalseNotRun)+len(v.WrongWorkspace) == 0
}

// Verify compares the writes to one database with the log of its primary, which is the log
// with the highest term among the members that consider themselves the primary.
func Verify(writes []WriteRecord, database string, logs []*MemberLog) (*VerifyResult, error) {
	primary := findPrimary(logs)
	if primary == nil {
		return nil, eris.Errorf("workload: database %s has no primary", database)
	}
	entries := map[string][]memberlog.Entry{}
	for _, e := range primary.Entries {
		if e.RequestID != "" {
			entries[e.RequestID] = append(entries[e.RequestID], e)
		}
	}
	result := &VerifyResult{}
	for _, w := range writes {
		if w.Database != database {
			continue
		}
		// The proxy prefixes the request id with the workspace, so that equal ids of different
		// workspaces do not collide.
		found := entries[w.Workspace+"/"+w.RequestID]
		name := fmt.Sprintf("%s (%s)", w.RequestID, w.Keys)
		switch w.Outcome {
		case client.Done:
			result.Acknowledged++
			if len(found) == 0 {
				result.Lost = append(result.Lost, name)
			}
		case client.NotRun:
			result.NotRun++
			if len(found) > 0 {
				result.FalseNotRun = append(result.FalseNotRun, name+" "+w.Reason)
			}
		default:
			result.Unknown++
		}
		if len(found) > 1 {
			result.Doubled = append(result.Doubled, name)
		}
		for _, e := range found {
			if e.Workspace != w.Workspace {
				result.WrongWorkspace = append(result.WrongWorkspace, name)
			}
		}
	}
	return result, nil
}

func findPrimary(logs []*MemberLog) *MemberLog {
	var primary *MemberLog
	for _, l := range logs {
		if l.IsPrimary && (primary == nil || l.FencedTerm > primary.FencedTerm) {
			primary = l
		}
	}
	return primary
}

// LongestWriteGap returns the longest time between two consecutive acknowledged writes to the
// database.
func LongestWriteGap(writes []WriteRecord, database string) time.Duration {
	var ends []time.Time
	for _, w := range writes {
		if w.Database == database && w.Outcome == client.Done {
			ends = append(ends, w.EndedAt)
		}
	}
	slices.SortFunc(ends, time.Time.Compare)
	var gap time.Duration
	for i := 1; i < len(ends); i++ {
		gap = max(gap, ends[i].Sub(ends[i-1]))
	}
	return gap
}
