package membership

import (
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
)

// Defaults of the configuration.
const (
	// DefaultDeadProbeInterval is the interval between two probes of dead members, one
	// member per probe. It limits how long it takes after a network partition until both
	// sides find each other again.
	DefaultDeadProbeInterval = time.Second
	// DefaultDeadRetention is how long a VM that does not read the platform's list keeps a
	// dead member.
	DefaultDeadRetention = 10 * time.Minute
	// DefaultIndirectProbes is the number of VMs that are asked to probe a member that
	// did not respond to a direct probe.
	DefaultIndirectProbes = 2
	// DefaultProbeInterval is the time between two probes that one VM sends.
	DefaultProbeInterval = 200 * time.Millisecond
	// DefaultProbeTimeout is the timeout of a direct probe, and of a round of indirect
	// probes.
	DefaultProbeTimeout = 150 * time.Millisecond
	// DefaultSuspicionTimeout is how long a suspect can refute the suspicion before it is
	// declared dead.
	DefaultSuspicionTimeout = 600 * time.Millisecond
	// DefaultTransmitFactor, multiplied by the binary logarithm of the fleet's size, is
	// how many times one VM sends an update.
	DefaultTransmitFactor = 2
	// DefaultUpdatesPerMessage is the maximum number of records in one message.
	DefaultUpdatesPerMessage = 8
	// DefaultUrgentProbes is the number of extra probes that are sent to spread a new
	// suspicion or death quickly.
	DefaultUrgentProbes = 3
	// minUpdatesPerMessage leaves room for the sender's record, the record of a receiver
	// that is not alive, one queued update and one record of the table.
	minUpdatesPerMessage = 4
	// tombstoneRetention is how long a VM that was removed from the platform's list is
	// remembered. It must be longer than the time for which a VM that was cut off from
	// the fleet may still spread a record of the removed VM.
	tombstoneRetention = 24 * time.Hour
)

// Config configures a Table. The default is used for each duration or count that is zero.
type Config struct {
	// Self is this VM; its incarnation must not be 0.
	Self Member
	// Random is the source of the probe order and of the choice of random members.
	Random            *rand.Rand
	DeadProbeInterval time.Duration
	DeadRetention     time.Duration
	IndirectProbes    int
	ProbeInterval     time.Duration
	ProbeTimeout      time.Duration
	SuspicionTimeout  time.Duration
	TransmitFactor    int
	UpdatesPerMessage int
	UrgentProbes      int
}

func (c Config) validate() error {
	if c.Self.VM == "" {
		return eris.New("membership: the name of the VM is empty")
	}
	if c.Self.Incarnation == 0 {
		return eris.New("membership: the incarnation of the VM is 0")
	}
	if c.Random == nil {
		return eris.New("membership: the random source is missing")
	}
	return nil
}

func (c Config) withDefaults() Config {
	setDefault(&c.DeadProbeInterval, DefaultDeadProbeInterval)
	setDefault(&c.DeadRetention, DefaultDeadRetention)
	setDefault(&c.IndirectProbes, DefaultIndirectProbes)
	setDefault(&c.ProbeInterval, DefaultProbeInterval)
	setDefault(&c.ProbeTimeout, DefaultProbeTimeout)
	setDefault(&c.SuspicionTimeout, DefaultSuspicionTimeout)
	setDefault(&c.TransmitFactor, DefaultTransmitFactor)
	setDefault(&c.UpdatesPerMessage, DefaultUpdatesPerMessage)
	setDefault(&c.UrgentProbes, DefaultUrgentProbes)
	c.UpdatesPerMessage = max(c.UpdatesPerMessage, minUpdatesPerMessage)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
