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

// MemberLog is the log of one member, as its hook /log gives it.
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

// VerifyResult compares the records of the callers with the members' logs.
type VerifyResult struct {
	Acknowledged int
	NotRun       int
	Unknown      int
	// Lost are acknowledged writes that are not in the primary's log.
	Lost []string
	// Doubled are request ids that stand more than once in the primary's log.
	Doubled []string
	// FalseNotRun are writes refused as not run that are in the primary's log.
	FalseNotRun []string
	// WrongWorkspace are entries whose workspace is not that of the caller.
	WrongWorkspace []string
}

// Passed tells whether no record was lost, doubled or misreported.
func (v *VerifyResult) Passed() bool {
	return len(v.Lost)+len(v.Doubled)+len(v.FalseNotRun)+len(v.WrongWorkspace) == 0
}

// Verify checks the writes of one database against the log of its primary: the
// log that leads in the highest term.
func Verify(writes []WriteRecord, database string, logs []*MemberLog) (*VerifyResult, error) {
	primary := leader(logs)
	if primary == nil {
		return nil, eris.Errorf("workload: database %s has no primary", database)
	}
	entries := map[string][]memberlog.Entry{}
	for _, e := range primary.Entries {
		if e.RequestID != "" {
			entries[e.RequestID] = append(entries[e.RequestID], e)
		}
	}
	verdict := &VerifyResult{}
	for _, w := range writes {
		if w.Database != database {
			continue
		}
		// The entry proxy puts the workspace before the id, so that workspaces
		// cannot meet each other's ids.
		found := entries[w.Workspace+"/"+w.RequestID]
		name := fmt.Sprintf("%s (%s)", w.RequestID, w.Keys)
		switch w.Outcome {
		case client.Done:
			verdict.Acknowledged++
			if len(found) == 0 {
				verdict.Lost = append(verdict.Lost, name)
			}
		case client.NotRun:
			verdict.NotRun++
			if len(found) > 0 {
				verdict.FalseNotRun = append(verdict.FalseNotRun, name+" "+w.Reason)
			}
		default:
			verdict.Unknown++
		}
		if len(found) > 1 {
			verdict.Doubled = append(verdict.Doubled, name)
		}
		for _, e := range found {
			if e.Workspace != w.Workspace {
				verdict.WrongWorkspace = append(verdict.WrongWorkspace, name)
			}
		}
	}
	return verdict, nil
}

func leader(logs []*MemberLog) *MemberLog {
	var best *MemberLog
	for _, l := range logs {
		if l.IsPrimary && (best == nil || l.FencedTerm > best.FencedTerm) {
			best = l
		}
	}
	return best
}

// LongestWriteGap returns the longest time in which no write of the database was
// acknowledged, between the first and the last acknowledgement.
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
