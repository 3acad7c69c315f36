package limits

import "time"

// StartDecisionTime is how long a process that starts waits for a sign that the fleet has
// been running. VMs of a region respond within milliseconds and those of other regions
// within 50 ms.
const StartDecisionTime = 500 * time.Millisecond

// Start is how a process may begin to use its shares of limits: Resumed, NewFleet, Joined
// or Undecided.
type Start interface{ start() }

// Resumed means that the VM has stayed registered, so that no other VM took over its shares.
type Resumed struct{}

// NewFleet means that no VM has been running, so that no other VM holds the shares.
type NewFleet struct{}

// Joined means that other VMs may hold the shares until they learn of this VM.
type Joined struct{}

// Undecided means that it is not known yet whether the fleet has been running.
type Undecided struct{}

func (Resumed) start()   {}
func (NewFleet) start()  {}
func (Joined) start()    {}
func (Undecided) start() {}

// StartInput is the input of the decision about the start of a process.
type StartInput struct {
	// RegistrationKept is true if other VMs still know the registration of the VM's previous
	// process.
	RegistrationKept bool
	// RunningPeer is true if a VM has responded that has known the whole fleet for a while.
	RunningPeer bool
	Uptime      time.Duration
}

// Decide returns how the process starts.
func (in StartInput) Decide() Start {
	switch {
	case in.RegistrationKept:
		return Resumed{}
	case in.RunningPeer:
		return Joined{}
	case in.Uptime >= StartDecisionTime:
		return NewFleet{}
	default:
		return Undecided{}
	}
}
