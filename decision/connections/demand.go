package connections

import (
	"math"
	"time"
)

const (
	// averagingTime is the time constant of the averages of a workspace's demand. It follows waves of
	// tens of seconds and outlasts the gaps between the statements of small workspaces.
	averagingTime = 20 * time.Second
	// minUse is the rate of expected uses, in 1/s, below which an unused connection is closed. After a
	// single statement it takes 4.5 s until the average is that low, after one statement a second 64 s.
	minUse = 0.04
	// MinIdleTime is the time for which an unused connection is kept at least.
	MinIdleTime = 4 * time.Second
	// urgencyFactor is the ratio of the value of a use to that of the next less urgent priority. In
	// the example of docs/hard-load.md the utility falls to a half and to a quarter.
	urgencyFactor = 2
	// maxUrgency is the priority from which on priorities count the same.
	maxUrgency = 7
)

// Idle is an unused connection.
type Idle struct {
	Workspace string
	// Since is when it was last used.
	Since time.Duration
}

// workspaceDemand is the demand of one workspace.
type workspaceDemand struct {
	// uses is the mean number of uses a second, and busy that of connections in use, at a time.
	uses, busy float64
	at         time.Duration
	inUse      int
	// priority is the most urgent one of the recent uses.
	priority   int
	priorityAt time.Duration
}

func (w *workspaceDemand) advance(now time.Duration) {
	if now <= w.at {
		return
	}
	keep := math.Exp(-(now - w.at).Seconds() / averagingTime.Seconds())
	w.uses *= keep
	w.busy = w.busy*keep + float64(w.inUse)*(1-keep)
	w.at = now
}

// Demand is the demand for connections to an endpoint, by workspace. A statement outside of a
// transaction and a transaction use a connection once each. All times are readings of a clock that
// does not go back.
type Demand struct {
	// ByUrgency is true if the uses of more urgent workspaces count more.
	ByUrgency  bool
	workspaces map[string]*workspaceDemand
}

// Begin records that a connection of a workspace gets used.
func (d *Demand) Begin(now time.Duration, workspace string, priority int) {
	w, ok := d.workspaces[workspace]
	if !ok {
		if d.workspaces == nil {
			d.workspaces = map[string]*workspaceDemand{}
		}
		w = &workspaceDemand{
			at:         now,
			priority:   priority,
			priorityAt: now,
		}
		d.workspaces[workspace] = w
	}
	w.advance(now)
	w.uses += 1 / averagingTime.Seconds()
	w.inUse++
	if priority <= w.priority || now-w.priorityAt >= averagingTime {
		w.priority = priority
		w.priorityAt = now
	}
}

// End records that a connection of a workspace is not used any more.
func (d *Demand) End(now time.Duration, workspace string) {
	if w, ok := d.workspaces[workspace]; ok {
		w.advance(now)
		w.inUse = max(w.inUse-1, 0)
	}
}

// Forget removes workspaces without demand.
func (d *Demand) Forget(now time.Duration) {
	for name, w := range d.workspaces {
		w.advance(now)
		if w.inUse == 0 && w.uses < minUse/100 {
			delete(d.workspaces, name)
		}
	}
}

// Evict returns the index of the unused connection that is expected to be missed least, and of
// several ones of a workspace that which has not been used for longest. There must be one.
func (d *Demand) Evict(now time.Duration, idle []Idle) int {
	counts := d.counts(idle)
	victim, least := 0, math.Inf(1)
	for i, c := range idle {
		value := d.uses(now, c.Workspace, counts[c.Workspace])
		if d.ByUrgency {
			value *= d.urgency(c.Workspace)
		}
		if value < least || value == least && c.Since < idle[victim].Since {
			victim, least = i, value
		}
	}
	return victim
}

// Unneeded returns which unused connections are to be closed because their use is not expected soon.
// Those that have not been used for longest come first within a workspace.
func (d *Demand) Unneeded(now time.Duration, idle []Idle) []bool {
	counts := d.counts(idle)
	unneeded := make([]bool, len(idle))
	for i, c := range idle {
		if now-c.Since >= MinIdleTime && d.uses(now, c.Workspace, counts[c.Workspace]) < minUse {
			unneeded[i] = true
			counts[c.Workspace]--
		}
	}
	return unneeded
}

// counts returns the number of connections of each workspace with an unused one.
func (d *Demand) counts(idle []Idle) map[string]int {
	counts := map[string]int{}
	for _, c := range idle {
		if counts[c.Workspace] == 0 {
			if w, ok := d.workspaces[c.Workspace]; ok {
				counts[c.Workspace] = w.inUse
			}
		}
		counts[c.Workspace]++
	}
	return counts
}

// uses returns the expected number of uses a second of the last of a workspace's connections. It is
// used when all others are in use.
func (d *Demand) uses(now time.Duration, workspace string, count int) float64 {
	w, ok := d.workspaces[workspace]
	if !ok {
		return 0
	}
	w.advance(now)
	return w.uses * math.Pow(min(w.busy, 1), float64(count-1))
}

// urgency returns the relative value of a use.
func (d *Demand) urgency(workspace string) float64 {
	w, ok := d.workspaces[workspace]
	if !ok {
		return 1
	}
	return math.Pow(urgencyFactor, -float64(min(max(w.priority, 0), maxUrgency)))
}
