package promotion

// Decision is what the caller of Step has to do. Each decision is returned once;
// its result goes back to the Monitor.
type Decision interface {
	decision()
}

// ConfirmSuspicion asks other VMs whether they reach an endpoint now. The result
// goes to Monitor.Confirmed.
type ConfirmSuspicion struct {
	Endpoint string
}

// Fence claims a term at all targets. The result goes to Monitor.Fenced.
type Fence struct {
	Term     uint64
	Claimant string
	Targets  []string
	// Cause of the claim, for the log.
	Cause Cause
}

// DeferToOthers says that this VM alone cannot reach an endpoint, so that it leaves
// the promotion to others.
type DeferToOthers struct {
	Endpoint string
}

// None says that there is nothing to do.
type None struct{}

// Promote makes an endpoint the primary of a fenced term. The result goes to
// Monitor.Promoted. An endpoint is promoted for a term by one claimant only, and
// no other endpoint is tried for that term.
type Promote struct {
	Endpoint string
	Term     uint64
	Claimant string
}

// Publish writes a new primary to the store, as a hint for others.
type Publish struct {
	Endpoint string
	Term     uint64
}

func (ConfirmSuspicion) decision() {}
func (Fence) decision()            {}
func (DeferToOthers) decision()    {}
func (None) decision()             {}
func (Promote) decision()          {}
func (Publish) decision()          {}

// Cause is why a database needs a new primary.
type Cause string

// The causes.
const (
	// CauseNone says that the database has a healthy primary.
	CauseNone Cause = ""
	// CauseLeaving says that the primary's endpoint is leaving.
	CauseLeaving Cause = "leaving"
	// CauseNoPrimary says that no member leads the highest term.
	CauseNoPrimary Cause = "noPrimary"
	// CausePrimaryLost says that the primary sends no status.
	CausePrimaryLost Cause = "primaryLost"
	// CauseReplicasStalled says that no replica hears the primary.
	CauseReplicasStalled Cause = "replicasStalled"
	// CauseTermUnled says that a member has accepted a term without a primary,
	// after a claim that failed.
	CauseTermUnled Cause = "termUnled"
)
