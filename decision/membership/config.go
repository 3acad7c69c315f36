package membership

import (
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
)

// Defaults of the configuration.
const (
	// DefaultDeadProbeInterval bounds how long two sides of a healed partition
	// stay apart: members declared dead are probed too, one each interval.
	DefaultDeadProbeInterval = time.Second
	// DefaultDeadRetention is how long a VM that does not read the platform's
	// list keeps a dead member.
	DefaultDeadRetention = 10 * time.Minute
	// DefaultIndirectProbes is the number of VMs asked to probe after a miss.
	DefaultIndirectProbes = 2
	// DefaultProbeInterval between two probes of one VM.
	DefaultProbeInterval = 200 * time.Millisecond
	// DefaultProbeTimeout of a direct probe and of a round of indirect ones.
	DefaultProbeTimeout = 150 * time.Millisecond
	// DefaultSuspicionTimeout is the time that a suspect has for its refutation.
	DefaultSuspicionTimeout = 600 * time.Millisecond
	// DefaultTransmitFactor times the logarithm of the fleet's size is the
	// number of times that one VM sends an update.
	DefaultTransmitFactor = 2
	// DefaultUpdatesPerMessage bounds the records in one message.
	DefaultUpdatesPerMessage = 8
	// DefaultUrgentProbes is the number of extra probes that spread a suspicion
	// or a death.
	DefaultUrgentProbes = 3
	// minUpdatesPerMessage leaves room for the sender's own record, that of a
	// receiver under suspicion, one queued update and one of the table.
	minUpdatesPerMessage = 4
	// tombstoneRetention outlasts the time for which a cut-off VM may still
	// spread a record of a VM that the platform's list has dropped.
	tombstoneRetention = 24 * time.Hour
)

// Config configures a Table. Zero values stand for the defaults.
type Config struct {
	// Self is this VM; its incarnation must not be 0.
	Self Member
	// Random shuffles the probe order.
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
	defaultTo(&c.DeadProbeInterval, DefaultDeadProbeInterval)
	defaultTo(&c.DeadRetention, DefaultDeadRetention)
	defaultTo(&c.IndirectProbes, DefaultIndirectProbes)
	defaultTo(&c.ProbeInterval, DefaultProbeInterval)
	defaultTo(&c.ProbeTimeout, DefaultProbeTimeout)
	defaultTo(&c.SuspicionTimeout, DefaultSuspicionTimeout)
	defaultTo(&c.TransmitFactor, DefaultTransmitFactor)
	defaultTo(&c.UpdatesPerMessage, DefaultUpdatesPerMessage)
	defaultTo(&c.UrgentProbes, DefaultUrgentProbes)
	c.UpdatesPerMessage = max(c.UpdatesPerMessage, minUpdatesPerMessage)
	return c
}

func defaultTo[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
