package lending

import (
	"time"

	"amaranthdock.dev/decision/limits"
)

const (
	// absenceTimeout is how long a VM must be absent from the platform's VM list
	// before its shares move to other VMs. With a read every managerInterval, that
	// takes three reads in a row. The store client rejects a list that is older than
	// the last one.
	absenceTimeout = 3 * time.Second
	// maxListGap is the longest time between two reads of the VM list. After a
	// longer gap, all absences are counted from the read that ends the gap.
	maxListGap = 5 * time.Second
)

// absenceTracker records since when share holders have been absent from the
// platform's VM list.
type absenceTracker struct {
	absentSince map[string]time.Time
	updatedAt   time.Time
}

// update records which share holders are not in listed, the names on the VM list. The
// result contains these holders; its value is true for those that have been absent for
// absenceTimeout.
func (a *absenceTracker) update(now time.Time, record limits.ShareRecord, listed map[string]bool) map[string]bool {
	if now.Sub(a.updatedAt) > maxListGap {
		a.absentSince = map[string]time.Time{}
	}
	a.updatedAt = now
	timedOut := map[string]bool{}
	absentSince := map[string]time.Time{}
	for _, s := range record.Subjects {
		for _, share := range s.Shares {
			if listed[share.VM] {
				continue
			}
			first, seen := a.absentSince[share.VM]
			if !seen {
				first = now
			}
			absentSince[share.VM] = first
			timedOut[share.VM] = now.Sub(first) >= absenceTimeout
		}
	}
	a.absentSince = absentSince
	return timedOut
}
